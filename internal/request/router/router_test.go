package router

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pomelomoor/internal/config/parser"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newRunners(count int) []Runner {
	var runners []Runner
	for i := range count {
		runners = append(runners, Runner{
			ID:      fmt.Sprintf("runner-%d", i),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i)),
		})
	}
	return runners
}

// region models all entry instances of one region, which have the same members and runners.
type region struct {
	now     time.Time
	members []string
	routers map[string]*Router
	runners []Runner
	held    []Slot
	// refusedUntil is when a runner may get work again after a leaving refusal, by member and runner.
	refusedUntil map[string]time.Time
}

func (region *region) setMembership(t *rapid.T) {
	region.members = nil
	for i := range 5 {
		if name := fmt.Sprintf("entry-%d", i); rapid.Bool().Draw(t, name) {
			region.members = append(region.members, name)
		}
	}
	region.runners = newRunners(rapid.IntRange(0, 4).Draw(t, "runners"))
	for i := range region.runners {
		region.runners[i].Leaving = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
	}
	for _, name := range region.members {
		if region.routers[name] == nil {
			region.routers[name] = &Router{
				Self: name,
			}
		}
		region.routers[name].SetMembers(region.members)
		region.routers[name].SetRunners(region.now, region.runners)
	}
}

// Guards against shares that overlap, slots without an owner, and a long lane with more than half of
// a runner's slots.
func (region *region) checkShares(t *rapid.T) {
	if len(region.members) == 0 {
		return
	}
	for _, runner := range region.runners {
		var sum Share
		for _, name := range region.members {
			share := region.routers[name].Share(runner.ID)
			sum.Slots += share.Slots
			sum.LongSlots += share.LongSlots
			sum.Connections += share.Connections
		}
		want := Share{
			Slots:       SlotsPerRunner,
			LongSlots:   SlotsPerRunner / 2,
			Connections: ConnectionsPerRunner,
		}
		if sum != want {
			t.Fatalf("shares of %s add up to %+v", runner.ID, sum)
		}
	}
}

func (region *region) choose(t *rapid.T) {
	if len(region.members) == 0 {
		return
	}
	name := rapid.SampledFrom(region.members).Draw(t, "member")
	lane := rapid.SampledFrom([]parser.Lane{parser.LaneShort, parser.LaneLong}).Draw(t, "lane")
	router := region.routers[name]
	_, free := router.Slots(region.now, lane)
	slot, ok := router.Choose(region.now, lane, "")
	if ok != (free > 0) {
		t.Fatalf("%d slots are free, but Choose returned %v", free, ok)
	}
	if !ok {
		return
	}
	if region.now.Before(region.refusedUntil[name+slot.Runner]) {
		t.Fatalf("%s got work after it refused as leaving", slot.Runner)
	}
	for _, runner := range region.runners {
		if runner.ID == slot.Runner && runner.Leaving {
			t.Fatalf("%s got work while it is listed as leaving", slot.Runner)
		}
	}
	holders, outsideLong := 0, 0
	region.held = append(region.held, slot)
	for _, held := range region.held {
		if held.Runner != slot.Runner {
			continue
		}
		if held.runner == slot.runner && held.Index == slot.Index {
			holders++
		}
		if held.Lane == parser.LaneLong && held.Index >= SlotsPerRunner/2 {
			outsideLong++
		}
	}
	if holders != 1 {
		t.Fatalf("slot %d of %s is held %d times", slot.Index, slot.Runner, holders)
	}
	if slot.runner.owned&(1<<slot.Index) == 0 {
		t.Fatalf("slot %d of %s belongs to another member", slot.Index, slot.Runner)
	}
	if outsideLong > 0 {
		t.Fatalf("long work holds a slot reserved for short work")
	}
}

func (region *region) release(t *rapid.T) {
	if len(region.held) == 0 {
		return
	}
	at := rapid.IntRange(0, len(region.held)-1).Draw(t, "held")
	slot := region.held[at]
	region.held = append(region.held[:at], region.held[at+1:]...)
	outcome := Outcome(rapid.IntRange(int(OutcomeSuccess), int(OutcomeCancelled)).Draw(t, "outcome"))
	took := time.Duration(rapid.IntRange(0, 200).Draw(t, "took")) * time.Millisecond
	for name, router := range region.routers {
		if router.byID[slot.Runner] != slot.runner {
			continue
		}
		router.Release(region.now, slot, outcome, took)
		if outcome == OutcomeLeaving {
			region.refusedUntil[name+slot.Runner] = region.now.Add(maxListLag)
		}
		return
	}
	t.Fatalf("no router has the runner of slot %+v", slot)
}

// Runs random membership changes, reservations and releases against the checks of region: shares are
// disjoint and complete, no slot is reserved twice, and leaving runners get no work.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		region := &region{
			now:          start,
			routers:      map[string]*Router{},
			refusedUntil: map[string]time.Time{},
		}
		region.setMembership(t)
		t.Repeat(map[string]func(*rapid.T){
			"change":  region.setMembership,
			"choose":  region.choose,
			"choose2": region.choose,
			"choose3": region.choose,
			"release": region.release,
			"pass": func(t *rapid.T) {
				region.now = region.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pass")) * time.Millisecond)
			},
			"": region.checkShares,
		})
	})
}

// simulateLoad sends one request every 2 ms and returns how many each runner got. Respond returns the
// outcome and duration of a request.
func simulateLoad(router *Router, now time.Time, requests int, respond func(runner string) (Outcome, time.Duration)) map[string]int {
	type pending struct {
		at      time.Time
		took    time.Duration
		slot    Slot
		outcome Outcome
	}
	counts := map[string]int{}
	var running []pending
	for range requests {
		now = now.Add(2 * time.Millisecond)
		unfinished := running[:0]
		for _, attempt := range running {
			if attempt.at.After(now) {
				unfinished = append(unfinished, attempt)
				continue
			}
			router.Release(now, attempt.slot, attempt.outcome, attempt.took)
		}
		running = unfinished
		slot, ok := router.Choose(now, parser.LaneShort, "")
		if !ok {
			continue
		}
		counts[slot.Runner]++
		outcome, took := respond(slot.Runner)
		running = append(running, pending{
			at:      now.Add(took),
			took:    took,
			slot:    slot,
			outcome: outcome,
		})
	}
	for _, attempt := range running {
		router.Release(now, attempt.slot, attempt.outcome, attempt.took)
	}
	return counts
}

// Guards against runners that attract work because they fail fast, slow runners that keep their
// share, busy refusals that reduce a runner's share, and recovered runners that get no work.
func TestHealth(t *testing.T) {
	const requests, runners = 5000, 8
	tests := []struct {
		name     string
		outcome  Outcome
		took     time.Duration
		min, max int
	}{
		{"fast errors", OutcomeFailure, time.Millisecond, 1, requests / 100},
		{"slow", OutcomeSuccess, 400 * time.Millisecond, 1, requests / runners / 4},
		{"hangs", OutcomeTimeout, time.Second, 1, requests / 100},
		{"busy", OutcomeBusy, time.Millisecond, 100, requests / runners},
		{"as others", OutcomeSuccess, 20 * time.Millisecond, requests / runners / 2, requests / runners * 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			router := &Router{}
			router.SetRunners(start, newRunners(runners))
			healthy := func(string) (Outcome, time.Duration) {
				return OutcomeSuccess, 20 * time.Millisecond
			}
			simulateLoad(router, start, requests, healthy)
			now := start.Add(time.Minute)
			got := simulateLoad(router, now, requests, func(runner string) (Outcome, time.Duration) {
				if runner == "runner-3" {
					return test.outcome, test.took
				}
				return healthy(runner)
			})["runner-3"]
			if got < test.min || got > test.max {
				t.Errorf("runner got %d of %d requests, want %d to %d", got, requests, test.min, test.max)
			}
			now = now.Add(time.Minute)
			if got := simulateLoad(router, now, requests, healthy)["runner-3"]; got < requests/runners/3 {
				t.Errorf("recovered runner got only %d of %d requests", got, requests)
			}
		})
	}
}

// Guards against a slow runner that is chosen while others have free slots, or that keeps all of its
// own slots.
func TestSlowRunner(t *testing.T) {
	router := &Router{}
	router.SetRunners(start, newRunners(8))
	simulateLoad(router, start, 2000, func(string) (Outcome, time.Duration) {
		return OutcomeSuccess, 20 * time.Millisecond
	})
	now := start.Add(4 * time.Second)
	// Demand exceeds the capacity, so the slow runner gets as much work as its health permits.
	simulateLoad(router, now, 5000, func(runner string) (Outcome, time.Duration) {
		if runner == "runner-3" {
			return OutcomeSuccess, 1500 * time.Millisecond
		}
		return OutcomeSuccess, 150 * time.Millisecond
	})
	now = now.Add(10 * time.Second)
	for range 7 * SlotsPerRunner {
		if slot, _ := router.Choose(now, parser.LaneShort, ""); slot.Runner == "runner-3" {
			t.Fatal("slow runner was chosen while others were free")
		}
	}
	if usable, free := router.Slots(now, parser.LaneShort); free == 0 || usable > 7*SlotsPerRunner+SlotsPerRunner/2 {
		t.Fatalf("%d slots are usable and %d free", usable, free)
	}
}

// Guards against a loss of usable slots when the work itself fails, equally on all runners.
func TestFaultyWork(t *testing.T) {
	router := &Router{}
	router.SetRunners(start, newRunners(4))
	requests := 0
	simulateLoad(router, start, 5000, func(string) (Outcome, time.Duration) {
		requests++
		if requests%4 == 0 {
			return OutcomeFailure, 5 * time.Millisecond
		}
		return OutcomeSuccess, 20 * time.Millisecond
	})
	usable, _ := router.Slots(start.Add(10*time.Second), parser.LaneShort)
	if usable < 4*SlotsPerRunner*3/4 {
		t.Fatalf("%d of %d slots are usable", usable, 4*SlotsPerRunner)
	}
}

// Guards against a new runner that gets its full share of work before its first response.
func TestNewRunnerSlowStart(t *testing.T) {
	router := &Router{}
	router.SetRunners(start, newRunners(1))
	for round, want := range []int{1, 2, 4, 8, 8} {
		var slots []Slot
		for {
			slot, ok := router.Choose(start, parser.LaneShort, "")
			if !ok {
				break
			}
			slots = append(slots, slot)
		}
		if len(slots) != want {
			t.Fatalf("round %d: %d slots in use, want %d", round, len(slots), want)
		}
		for _, slot := range slots {
			router.Release(start, slot, OutcomeSuccess, time.Millisecond)
		}
	}
}

// Guards against forwards that take longer than waiting, and against unnecessary billed traffic
// between regions.
func TestPeers(t *testing.T) {
	near, far := Peer{
		ID:     "near",
		Region: "own",
		Free:   1,
	}, Peer{
		ID:     "far",
		Region: "other",
		Free:   1,
	}
	tests := []struct {
		name                    string
		reported                []Peer
		wait, service, deadline time.Duration
		want                    string
	}{
		{"no wait", []Peer{near, far}, 0, 20, 100, ""},
		{"own region first", []Peer{far, near}, 500, 20, 100, "near"},
		{"deadline would be met", []Peer{far}, 70, 20, 100, ""},
		{"deadline would be missed", []Peer{far}, 90, 20, 100, "far"},
		{"wait within round trip", []Peer{far}, 60, 20, 70, ""},
		{"too late for the round trip", []Peer{far}, 90, 20, 79, ""},
		{"nothing free", nil, 500, 20, 100, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			peers := Peers{
				Region: "own",
			}
			peers.Set(test.reported)
			demand := Demand{
				ID:       "x",
				Deadline: start.Add(test.deadline * time.Millisecond),
				Wait:     test.wait * time.Millisecond,
				Service:  test.service * time.Millisecond,
			}
			got, _ := peers.Choose(start, demand)
			if got != test.want {
				t.Fatalf("chose %q, want %q", got, test.want)
			}
			if again, ok := peers.Choose(start, demand); ok && again == got {
				t.Fatalf("the only free slot of %s was chosen twice", got)
			}
			peers.Release(got, false)
			if again, _ := peers.Choose(start, demand); again != got {
				t.Fatalf("chose %q after the slot was free again, want %q", again, got)
			}
		})
	}
}
