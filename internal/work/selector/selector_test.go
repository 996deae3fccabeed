package selector_test

import (
	"testing"

	"pomelomoor/internal/work/descriptor"
	"pomelomoor/internal/work/selector"
)

// TestMatches guards against selectors that match work they do not name.
func TestMatches(t *testing.T) {
	labels := descriptor.Labels{
		"Kind":    "Batch",
		"Urgency": "High",
	}
	for _, test := range []struct {
		text string
		want bool
	}{
		{"", true},
		{"Kind=Batch", true},
		{"Kind=Gang", false},
		{"Kind!=Gang", true},
		{"Kind in (Batch,Gang),Urgency=High", true},
		{"Kind notin (Batch)", false},
		{"Pilot", false},
		{"!Pilot,Kind", true},
	} {
		parsed, err := selector.Parse(test.text)
		if err != nil {
			t.Fatalf("Parse(%q): %v", test.text, err)
		}
		if got := parsed.Matches(labels); got != test.want {
			t.Errorf("%q matches: got %v, want %v", test.text, got, test.want)
		}
	}
}

// FuzzParse guards against panics and against a printed form that reads back differently.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{"", "A=b", "A in (b,c),!D", "A notin (x)", "((", "A=,B"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := selector.Parse(text)
		if err != nil {
			return
		}
		again, err := selector.Parse(parsed.String())
		if err != nil || again.String() != parsed.String() {
			t.Fatalf("%q prints as %q, which reads as %q (%v)", text, parsed, again, err)
		}
	})
}
