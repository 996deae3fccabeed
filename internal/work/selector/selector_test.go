package selector_test

import (
	"testing"

	"pomelomoor/internal/work/descriptor"
	"pomelomoor/internal/work/selector"
)

// TestMatches guards against a requirement that matches labels it should not match, or misses labels it should.
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

// FuzzParse guards against panics in Parse and against a String result that Parse turns into another selector.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{"", "A=b", "A in (b,c),!D", "A notin (x)", "((", "A=,B"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := selector.Parse(text)
		if err != nil {
			return
		}
		reparsed, err := selector.Parse(parsed.String())
		if err != nil || reparsed.String() != parsed.String() {
			t.Fatalf("%q is formatted as %q, which parses as %q (%v)", text, parsed, reparsed, err)
		}
	})
}
