package queuer

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/work/descriptor"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// model tracks the expected state of a Queuer from the results of its calls.
type model struct {
	queuer  Queuer
	now     time.Time
	waiting map[string]Item
	// lastServed and waitingSince hold, for each group of lane, class and caller, the number of served
	// items when the group was last served and when its current wait began.
	lastServed, waitingSince map[string]int
	takeCount, idCount       int
}

func group(item Item) string {
	return fmt.Sprint(item.Lane, item.Urgency.Rank(), item.Caller)
}

func (model *model) removeAll(t *rapid.T, refusals []Refusal) {
	for _, refusal := range refusals {
		model.remove(t, refusal.Item)
	}
}

func (model *model) remove(t *rapid.T, item Item) {
	if _, ok := model.waiting[item.ID]; !ok {
		t.Fatalf("item %s was returned twice or was never waiting", item.ID)
	}
	delete(model.waiting, item.ID)
	for _, other := range model.waiting {
		if group(other) == group(item) {
			return
		}
	}
	delete(model.waitingSince, group(item))
}

func (model *model) offer(t *rapid.T) {
	model.idCount++
	item := Item{
		ID:       fmt.Sprint(model.idCount),
		Caller:   rapid.SampledFrom([]string{"greedy", "greedy", "greedy", "a", "b", "c"}).Draw(t, "caller"),
		Lane:     rapid.SampledFrom([]parser.Lane{parser.LaneShort, parser.LaneLong}).Draw(t, "lane"),
		Urgency:  rapid.SampledFrom([]descriptor.Urgency{"High", "", "Low"}).Draw(t, "urgency"),
		Deadline: model.now.Add(time.Duration(rapid.IntRange(-5, 300).Draw(t, "deadline")) * time.Millisecond),
	}
	slots := Slots{
		Usable: rapid.IntRange(0, 8).Draw(t, "usable"),
	}
	refusal, displaced := model.queuer.Offer(model.now, item, slots)
	model.removeAll(t, displaced)
	for _, victim := range displaced {
		if victim.Item.Urgency.Rank() < item.Urgency.Rank() {
			t.Fatalf("%v displaced the more urgent %v", item, victim.Item)
		}
	}
	if refusal != nil {
		if refusal.RetryAfter <= 0 {
			t.Fatal("refusal without a retry time")
		}
		if refusal.Reason == ReasonFull {
			model.checkFull(t, item)
		}
		return
	}
	if slots.Usable == 0 || !item.Deadline.After(model.now) {
		t.Fatalf("%v was admitted past its deadline or without usable slots", item)
	}
	model.waiting[item.ID] = item
	if _, ok := model.waitingSince[group(item)]; !ok {
		model.waitingSince[group(item)] = model.takeCount
	}
	if model.queuer.Len(item.Lane) > model.queuer.Limit {
		t.Fatal("queue exceeds its limit")
	}
}

// checkFull fails if a full lane refused item while it holds less urgent items, or items of a caller
// whose queue is more than one longer.
func (model *model) checkFull(t *rapid.T, item Item) {
	counts := map[string]int{}
	for _, waiting := range model.waiting {
		if waiting.Lane == item.Lane && waiting.Urgency.Rank() > item.Urgency.Rank() {
			t.Fatalf("%v was refused while the less urgent %v waits", item, waiting)
		}
		counts[group(waiting)]++
	}
	for _, waiting := range model.waiting {
		sameClass := waiting.Lane == item.Lane && waiting.Urgency.Rank() == item.Urgency.Rank()
		if sameClass && counts[group(waiting)] > counts[group(item)]+1 {
			t.Fatalf("%v was refused while caller %s with a longer queue waits", item, waiting.Caller)
		}
	}
}

func (model *model) take(t *rapid.T) {
	short, long := rapid.Bool().Draw(t, "short"), rapid.Bool().Draw(t, "long")
	item, dropped, ok := model.queuer.Take(model.now, short, long)
	model.removeAll(t, dropped)
	if !ok {
		for _, waiting := range model.waiting {
			if short && waiting.Lane == parser.LaneShort || long && waiting.Lane == parser.LaneLong {
				t.Fatalf("nothing was served while %v waits", waiting)
			}
		}
		return
	}
	if !item.Deadline.After(model.now) {
		t.Fatalf("%v was served after its deadline", item)
	}
	previous, servedBefore := model.lastServed[group(item)]
	model.remove(t, item)
	for _, other := range model.waiting {
		eligible := other.Lane == parser.LaneShort && short || other.Lane == parser.LaneLong && long
		if eligible && other.Urgency.Rank() < item.Urgency.Rank() {
			t.Fatalf("%v was served before the more urgent %v", item, other)
		}
		if other.Lane != item.Lane {
			continue
		}
		if group(other) == group(item) && other.Deadline.Before(item.Deadline) {
			t.Fatalf("%v was served before %v with an earlier deadline", item, other)
		}
		since, waited := model.waitingSince[group(other)]
		if other.Urgency.Rank() != item.Urgency.Rank() || other.Caller == item.Caller || !servedBefore || !waited {
			continue
		}
		if since < previous && model.lastServed[group(other)] < previous {
			t.Fatalf("caller %s was served twice while %s waited", item.Caller, other.Caller)
		}
	}
	model.takeCount++
	model.lastServed[group(item)] = model.takeCount
}

// Checks random calls against the model. Guards against expired items that are served, lost items,
// queues beyond their limit, less urgent work that is served first, and callers that are served twice
// while another one waits.
func TestQueuer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &model{
			queuer: Queuer{
				Limit: 3,
			},
			now:          start,
			waiting:      map[string]Item{},
			lastServed:   map[string]int{},
			waitingSince: map[string]int{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer":  model.offer,
			"offer2": model.offer,
			"offer3": model.offer,
			"offer4": model.offer,
			"take":   model.take,
			"cancel": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(1, model.idCount+1).Draw(t, "id"))
				item, waits := model.waiting[id]
				if model.queuer.Cancel(id) != waits {
					t.Fatalf("cancel of %s does not report whether the item was waiting", id)
				}
				if waits {
					model.remove(t, item)
				}
			},
			"pass": func(t *rapid.T) {
				model.now = model.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "pass")) * time.Millisecond)
			},
			"learn": func(t *rapid.T) {
				took := time.Duration(rapid.IntRange(1, 40).Draw(t, "took")) * time.Millisecond
				model.queuer.ObserveServiceTime(model.now, parser.LaneShort, took)
			},
			"": func(t *rapid.T) {
				if model.queuer.Len(parser.LaneShort)+model.queuer.Len(parser.LaneLong) != len(model.waiting) {
					t.Fatal("number of waiting items is wrong")
				}
			},
		})
	})
}

// Guards against the admission of items that cannot be served in time, against refusal of normal or
// urgent callers because of a greedy one, and against refusals that continue after a slow period.
func TestAdmission(t *testing.T) {
	queuer := Queuer{}
	item := func(id, caller string, urgency descriptor.Urgency, deadline time.Duration) Item {
		return Item{
			ID:       id,
			Caller:   caller,
			Urgency:  urgency,
			Deadline: start.Add(deadline),
		}
	}
	slots := Slots{
		Usable: 2,
	}
	for range 50 {
		queuer.ObserveServiceTime(start, parser.LaneShort, 10*time.Millisecond)
	}
	admitted := 0
	for i := range 100 {
		if refusal, _ := queuer.Offer(start, item(fmt.Sprint(i), "greedy", "", 100*time.Millisecond), slots); refusal == nil {
			admitted++
		} else if refusal.Reason != ReasonLate {
			t.Fatalf("refused as %s", refusal.Reason)
		}
	}
	// Within 100 ms, two slots serve nine items each before the last item's own 10 ms of service.
	if admitted < 12 || admitted > 18 {
		t.Fatalf("admitted %d items of one caller, want 12 to 18", admitted)
	}
	if refusal, _ := queuer.Offer(start, item("normal", "normal", "", 100*time.Millisecond), slots); refusal != nil {
		t.Fatalf("normal caller was refused as %s", refusal.Reason)
	}
	var displaced []Refusal
	for i := range 12 {
		refusal, evicted := queuer.Offer(start, item(fmt.Sprint("high", i), "urgent", "High", 100*time.Millisecond), slots)
		if refusal != nil {
			t.Fatalf("urgent item was refused as %s", refusal.Reason)
		}
		displaced = append(displaced, evicted...)
	}
	if len(displaced) < 5 {
		t.Fatalf("%d items were displaced, want at least 5", len(displaced))
	}
	for _, evicted := range displaced {
		if evicted.Item.Caller != "greedy" {
			t.Fatalf("item of %s was displaced while items of the greedy caller wait", evicted.Item.Caller)
		}
	}
	checkStale(t, &queuer, slots)
}

// checkStale fails if samples older than staleAfter still cause refusals.
func checkStale(t *testing.T, queuer *Queuer, slots Slots) {
	now := start.Add(staleAfter + time.Millisecond)
	refusal, _ := queuer.Offer(now, Item{
		ID:       "later",
		Deadline: now.Add(9 * time.Millisecond),
	}, slots)
	if refusal != nil {
		t.Fatalf("refused as %s", refusal.Reason)
	}
}
