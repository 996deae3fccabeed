package locator

import (
	"encoding/json"
	"testing"

	"github.com/go-faster/errors"
)

const document = `{
  "Teams": [
    {"Name": "a"},
    {"Name": "b",
     "Quota": {
       "MilliCPU": 3}}
  ],
  "Odd": "x.y"
}`

// TestLine guards against findings with the line of another field.
func TestLine(t *testing.T) {
	locator := New([]byte(document))
	for path, want := range map[string]int{
		"":                           1,
		"Teams":                      2,
		"Teams[0].Name":              3,
		"teams[1].name":              4,
		"Teams[1].Quota":             5,
		"Teams[1].Quota.MilliCPU":    6,
		"Teams[1].Quota.MemoryBytes": 5,
		"Teams[7].Name":              2,
		"Odd":                        8,
		"Missing":                    1,
	} {
		if got := locator.Line(path); got != want {
			t.Errorf("%s: line %d, want %d", path, got, want)
		}
	}
	if line := new(Locator).Line("Teams"); line != 0 {
		t.Errorf("line %d of no document", line)
	}
}

// TestPathAt guards against a fault of a decoder that is reported for another field.
func TestPathAt(t *testing.T) {
	wrong := []byte(`{"Teams": [{"Name": "a"}, {"Name": "b", "Quota": {"MilliCPU": "many"}}]}`)
	var target struct {
		Teams []struct {
			Name  string
			Quota struct{ MilliCPU int64 }
		}
	}
	var typeError *json.UnmarshalTypeError
	if !errors.As(json.Unmarshal(wrong, &target), &typeError) {
		t.Fatal("no type error")
	}
	if path := New(wrong).PathAt(typeError.Offset); path != "Teams[1].Quota.MilliCPU" {
		t.Errorf("path %s", path)
	}
}

// FuzzNew guards against panics on documents that are not JSON.
func FuzzNew(f *testing.F) {
	f.Add([]byte(document), "Teams[0]", int64(9))
	f.Add([]byte(`{"a":[{]`), "a[0]", int64(-1))
	f.Fuzz(func(t *testing.T, document []byte, path string, offset int64) {
		locator := New(document)
		locator.PathAt(offset)
		if line := locator.Line(path); line < 0 || line > len(document)+1 {
			t.Errorf("line %d", line)
		}
	})
}
