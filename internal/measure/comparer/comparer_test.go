package comparer

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	"pomelomoor/internal/local/reporter"
	"pomelomoor/internal/work/descriptor"
)

// TestCompare guards against tables that differ between runs with the same seed, against a missing measure of
// the local run, and against more missed deadlines than a baseline.
func TestCompare(t *testing.T) {
	deployment := Deployments()[0]
	deployment.Live = &reporter.Report{
		Measures: reporter.Measures{
			Span: descriptor.Duration{
				Duration: time.Second,
			},
			BytesBetweenRegionsPerSecond: 4321,
		},
	}
	var tables [2]bytes.Buffer
	var rows []Row
	for i := range tables {
		var err error
		if rows, err = Compare(deployment, 3); err != nil {
			t.Fatal(err)
		}
		if err := WriteTable(&tables[i], rows); err != nil {
			t.Fatal(err)
		}
	}
	if tables[0].String() != tables[1].String() || !strings.Contains(tables[0].String(), "4321") {
		t.Fatalf("tables differ or lack the measure of the local run:\n%s\n%s", &tables[0], &tables[1])
	}
	var document bytes.Buffer
	if err := WriteJSON(&document, rows); err != nil {
		t.Fatal(err)
	}
	var read []Row
	if err := json.Unmarshal(document.Bytes(), &read); err != nil || !reflect.DeepEqual(read, rows) {
		t.Fatal(err, read)
	}
	for _, row := range rows {
		if row.Measure == "Missed deadlines at 95 % load" && row.Value > row.BaselineValue {
			t.Errorf("more missed deadlines than the baseline: %+v", row)
		}
	}
}
