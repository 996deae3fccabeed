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

// history is what a test knows about a Queuer from its answers.
type history struct {
	queuer  Queuer
	now     time.Time
	waiting map[string]Item
	// served and since count Take calls per group of lane, class and caller: when it was last
	// served and since when it has waited without interruption.
	served, since map[string]int
	takes, ids    int
}

func group(item Item) string {
	return fmt.Sprint(item.Lane, item.Urgency.Rank(), item.Caller)
}

func (history *history) lost(t *rapid.T, refusals []Refusal) {
	for _, refusal := range refusals {
		history.leave(t, refusal.Item)
	}
}

func (history *history) leave(t *rapid.T, item Item) {
	if _, ok := history.waiting[item.ID]; !ok {
		t.Fatalf("%s ended twice or never waited", item.ID)
	}
	delete(history.waiting, item.ID)
	for _, other := range history.waiting {
		if group(other) == group(item) {
			return
		}
	}
	delete(history.since, group(item))
}

func (history *history) offer(t *rapid.T) {
	history.ids++
	item := Item{
		ID:       fmt.Sprint(history.ids),
		Caller:   rapid.SampledFrom([]string{"greedy", "greedy", "greedy", "a", "b", "c"}).Draw(t, "caller"),
		Lane:     rapid.SampledFrom([]parser.Lane{parser.LaneShort, parser.LaneLong}).Draw(t, "lane"),
		Urgency:  rapid.SampledFrom([]descriptor.Urgency{"High", "", "Low"}).Draw(t, "urgency"),
		Deadline: history.now.Add(time.Duration(rapid.IntRange(-5, 300).Draw(t, "deadline")) * time.Millisecond),
	}
	slots := Slots{
		Usable: rapid.IntRange(0, 8).Draw(t, "usable"),
	}
	refusal, displaced := history.queuer.Offer(history.now, item, slots)
	history.lost(t, displaced)
	for _, gone := range displaced {
		if gone.Item.Urgency.Rank() < item.Urgency.Rank() {
			t.Fatalf("%v displaced the more urgent %v", item, gone.Item)
		}
	}
	if refusal != nil {
		if refusal.RetryAfter <= 0 {
			t.Fatal("refusal without a retry time")
		}
		if refusal.Reason == ReasonFull {
			history.checkFull(t, item)
		}
		return
	}
	if slots.Usable == 0 || !item.Deadline.After(history.now) {
		t.Fatalf("%v was admitted without hope", item)
	}
	history.waiting[item.ID] = item
	if _, ok := history.since[group(item)]; !ok {
		history.since[group(item)] = history.takes
	}
	if history.queuer.Len(item.Lane) > history.queuer.Limit {
		t.Fatal("queue exceeds its limit")
	}
}

// checkFull fails if a full lane refused item while less urgent or greedier work holds a place.
func (history *history) checkFull(t *rapid.T, item Item) {
	counts := map[string]int{}
	for _, waiting := range history.waiting {
		if waiting.Lane == item.Lane && waiting.Urgency.Rank() > item.Urgency.Rank() {
			t.Fatalf("%v was refused while %v waits", item, waiting)
		}
		counts[group(waiting)]++
	}
	for _, waiting := range history.waiting {
		same := waiting.Lane == item.Lane && waiting.Urgency.Rank() == item.Urgency.Rank()
		if same && counts[group(waiting)] > counts[group(item)]+1 {
			t.Fatalf("%v was refused while the greedier %s waits", item, waiting.Caller)
		}
	}
}

func (history *history) take(t *rapid.T) {
	short, long := rapid.Bool().Draw(t, "short"), rapid.Bool().Draw(t, "long")
	item, dropped, ok := history.queuer.Take(history.now, short, long)
	history.lost(t, dropped)
	if !ok {
		for _, waiting := range history.waiting {
			if short && waiting.Lane == parser.LaneShort || long && waiting.Lane == parser.LaneLong {
				t.Fatalf("%v was passed over", waiting)
			}
		}
		return
	}
	if !item.Deadline.After(history.now) {
		t.Fatalf("%v was served after its deadline", item)
	}
	before, servedBefore := history.served[group(item)]
	history.leave(t, item)
	for _, other := range history.waiting {
		open := other.Lane == parser.LaneShort && short || other.Lane == parser.LaneLong && long
		if open && other.Urgency.Rank() < item.Urgency.Rank() {
			t.Fatalf("%v was served before the more urgent %v", item, other)
		}
		if other.Lane != item.Lane {
			continue
		}
		if group(other) == group(item) && other.Deadline.Before(item.Deadline) {
			t.Fatalf("%v was served before %v", item, other)
		}
		since, waited := history.since[group(other)]
		if other.Urgency.Rank() != item.Urgency.Rank() || other.Caller == item.Caller || !servedBefore || !waited {
			continue
		}
		if since < before && history.served[group(other)] < before {
			t.Fatalf("caller %s was served twice while %s waited", item.Caller, other.Caller)
		}
	}
	history.takes++
	history.served[group(item)] = history.takes
}

// Guards against expired or lost items, unbounded queues, and order that lets one caller or less
// urgent work push others aside.
func TestQueuer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := &history{
			queuer: Queuer{
				Limit: 3,
			},
			now:     start,
			waiting: map[string]Item{},
			served:  map[string]int{},
			since:   map[string]int{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer":  history.offer,
			"offer2": history.offer,
			"offer3": history.offer,
			"offer4": history.offer,
			"take":   history.take,
			"cancel": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(1, history.ids+1).Draw(t, "id"))
				item, waits := history.waiting[id]
				if history.queuer.Cancel(id) != waits {
					t.Fatalf("cancel of %s disagrees with what waits", id)
				}
				if waits {
					history.leave(t, item)
				}
			},
			"pass": func(t *rapid.T) {
				history.now = history.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "pass")) * time.Millisecond)
			},
			"learn": func(t *rapid.T) {
				took := time.Duration(rapid.IntRange(1, 40).Draw(t, "took")) * time.Millisecond
				history.queuer.Learn(history.now, parser.LaneShort, took)
			},
			"": func(t *rapid.T) {
				if history.queuer.Len(parser.LaneShort)+history.queuer.Len(parser.LaneLong) != len(history.waiting) {
					t.Fatal("count of waiting items is wrong")
				}
			},
		})
	})
}

// Guards against queues that accept what they cannot serve in time, and against a lasting refusal
// after one slow spell.
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
		queuer.Learn(start, parser.LaneShort, 10*time.Millisecond)
	}
	admitted := 0
	for i := range 100 {
		if refusal, _ := queuer.Offer(start, item(fmt.Sprint(i), "greedy", "", 100*time.Millisecond), slots); refusal == nil {
			admitted++
		} else if refusal.Reason != ReasonLate {
			t.Fatalf("refused as %s", refusal.Reason)
		}
	}
	// 100 ms hold nine turns of two slots and the service time.
	if admitted < 12 || admitted > 18 {
		t.Fatalf("admitted %d items of one caller, want 12 to 18", admitted)
	}
	if refusal, _ := queuer.Offer(start, item("normal", "normal", "", 100*time.Millisecond), slots); refusal != nil {
		t.Fatalf("normal caller was refused as %s", refusal.Reason)
	}
	var displaced []Refusal
	for i := range 12 {
		refusal, gone := queuer.Offer(start, item(fmt.Sprint("high", i), "urgent", "High", 100*time.Millisecond), slots)
		if refusal != nil {
			t.Fatalf("urgent item was refused as %s", refusal.Reason)
		}
		displaced = append(displaced, gone...)
	}
	if len(displaced) < 5 {
		t.Fatalf("%d items were displaced, want at least 5", len(displaced))
	}
	for _, gone := range displaced {
		if gone.Item.Caller != "greedy" {
			t.Fatalf("item of %s was displaced while the greedy caller waits", gone.Item.Caller)
		}
	}
	checkStale(t, &queuer, slots)
}

// checkStale fails if times that no completion confirms still refuse work.
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
