package tabulator

import (
	"fmt"
	"slices"
	"testing"

	"pomelomoor/internal/measure/profiler"
)

// TestSlopes guards against slopes over trials that differ in more than one factor, which would attribute the
// cost of one factor to another, and against groups without a slope.
func TestSlopes(t *testing.T) {
	want := map[string][]string{
		"Entry":    {"Workers [35 70 140 280]", "Tasks [0 12 24]", "Starts [0 15 30]"},
		"Requests": {" [50 100 200 400]"},
		"Kept":     {"Ended [0 1150 2300]"},
		"Takeover": {"Tasks [850 1700 3400 6800]", "Ended [0 1150 2300]"},
		"Sync":     {"Whole/ [0 6 12 24 48 96]", "Changes/ [0 24 96]"},
		"Exchange": {"Members [1 8 16 32]", "Shards [0 1 2 4]", "Teams [0 7 14 28]"},
		"Apply":    {"Policies [20 100 400]", "Instances [8 16 32 64]"},
	}
	for _, group := range Groups("") {
		var results []result
		for _, trial := range group.Trials {
			results = append(results, result{
				factors: trial.Factors,
			})
		}
		var got []string
		for _, series := range longestSeries(results) {
			got = append(got, fmt.Sprint(series.factor, " ", series.sizes))
		}
		if len(got) == 0 || want[group.Name] != nil && !slices.Equal(got, want[group.Name]) {
			t.Errorf("%s: series %q, want %q", group.Name, got, want[group.Name])
		}
	}
}

// TestMeasure guards against values assigned to the wrong sizes, a wrong least-squares slope and a wrong number
// of rounds.
func TestMeasure(t *testing.T) {
	trials := profiler.SweepCounts(func(meter profiler.Meter, size int) error {
		rounds := 0
		for meter.Loop() {
			rounds++
		}
		meter.ReportMetric(float64(3*size+rounds), "cost")
		meter.ReportMetric(0, profiler.RoundTimeUnit)
		return nil
	}, 20, 0, 10)
	slopes, err := Measure(t.Context(), group("Trial", 7, trials))
	if err != nil {
		t.Fatal(err)
	}
	if len(slopes) != 1 || slopes[0].PerUnit != 3 || !slices.Equal(slopes[0].Values, []float64{7, 37, 67}) {
		t.Errorf("slopes %+v", slopes)
	}
}
