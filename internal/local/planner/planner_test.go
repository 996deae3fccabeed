package planner_test

import (
	"os"
	"reflect"
	"testing"

	"pomelomoor/internal/local/planner"
)

// TestExamples guards against example files that fail to parse, have no jobs or requests, or give different
// schedules when planned twice.
func TestExamples(t *testing.T) {
	for _, name := range []string{"kupferau", "inkoni"} {
		document, err := os.ReadFile("../../../examples/" + name + ".json")
		if err != nil {
			t.Fatal(err)
		}
		scenario, err := planner.Parse(document)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		first, err := scenario.Plan()
		if err != nil {
			t.Fatal(err)
		}
		second, _ := scenario.Plan()
		if !reflect.DeepEqual(first, second) {
			t.Errorf("%s: two schedules of one file differ", name)
		}
		if len(first.Submissions) == 0 || len(first.Requests) == 0 {
			t.Errorf("%s: %d jobs and %d requests", name, len(first.Submissions), len(first.Requests))
		}
	}
}
