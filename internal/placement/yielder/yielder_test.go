package yielder

import (
	"encoding/json"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// item is work of a load. Times are in seconds.
type item struct {
	Name            string
	Excess          bool
	Priority        int
	Due, Arrived    float64
	Amount          float64
	Done            float64
	Count           int
	ArrivalInterval float64
}

func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// TestLoads reads testdata/loads.json. Each load names the pattern that it answers, and what yields in it.
func TestLoads(t *testing.T) {
	document, err := os.ReadFile("testdata/loads.json")
	if err != nil {
		t.Fatal(err)
	}
	var loads []struct {
		Load    string
		Running []struct {
			Share, Remaining float64
		}
		Items []item
		// Yields holds how many items of each name yield.
		Yields map[string]int
	}
	if err := json.Unmarshal(document, &loads); err != nil {
		t.Fatal(err)
	}
	for _, load := range loads {
		supply := &Supply{}
		for _, running := range load.Running {
			supply.AddRunning(running.Share, time.Duration(running.Remaining*float64(time.Second)))
		}
		var items []Work
		names := map[time.Time][]string{}
		for _, entry := range load.Items {
			for number := range max(entry.Count, 1) {
				work := Work{
					Excess:   entry.Excess,
					Priority: entry.Priority,
					Due:      at(entry.Due).Add(time.Duration(len(items))),
					Amount:   entry.Amount,
					Done:     entry.Done,
					Arrived:  at(entry.Arrived + float64(number)*entry.ArrivalInterval),
				}
				names[work.Due] = []string{entry.Name}
				items = append(items, work)
			}
		}
		slices.SortFunc(items, func(left, right Work) int {
			return left.Due.Compare(right.Due)
		})
		yields := map[string]int{}
		for index, yielding := range Choose(at(0), supply, items) {
			if yielding {
				yields[names[items[index].Due][0]]++
			}
		}
		for _, entry := range load.Items {
			if yields[entry.Name] != load.Yields[entry.Name] {
				t.Errorf("%s: %d of %s yield, want %d", load.Load, yields[entry.Name], entry.Name, load.Yields[entry.Name])
			}
		}
	}
}

// TestKeptWorkFits guards against a choice after which the work that does not yield still does not fit, and against work
// that yields although all of it fits.
func TestKeptWorkFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		supply := &Supply{}
		supply.AddRunning(rapid.Float64Range(0, 1).Draw(t, "running"), time.Duration(rapid.IntRange(0, 5000).Draw(t, "remaining"))*time.Millisecond)
		items := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Work {
			return Work{
				Excess:   rapid.Bool().Draw(t, "excess"),
				Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
				Due:      at(rapid.Float64Range(0, 12).Draw(t, "due")),
				Amount:   rapid.Float64Range(0, 1).Draw(t, "amount"),
				Arrived:  at(-rapid.Float64Range(0, 10).Draw(t, "age")),
			}
		}), 0, 30).Draw(t, "items")
		slices.SortFunc(items, func(left, right Work) int {
			return left.Due.Compare(right.Due)
		})
		yields := Choose(at(0), supply, items)
		demand, kept, fits := 0.0, 0, true
		for index := range items {
			if yields[index] {
				continue
			}
			demand += items[index].Amount
			kept++
			if available := supply.Until(items[index].Due.Sub(at(0))); kept > 1 && demand > available+1e-9 {
				t.Fatalf("the kept work up to item %d needs %.3f, there is room for %.3f", index, demand, available)
			}
		}
		demand = 0
		for index := range items {
			demand += items[index].Amount
			fits = fits && demand <= supply.Until(items[index].Due.Sub(at(0)))
		}
		if fits && slices.Contains(yields, true) {
			t.Fatalf("work yields although all of it fits: %v", yields)
		}
	})
}
