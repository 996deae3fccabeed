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

func listed(count int) []Runner {
	var runners []Runner
	for i := range count {
		runners = append(runners, Runner{
			ID:      fmt.Sprintf("runner-%d", i),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i)),
		})
	}
	return runners
}

// region is all entry instances of one region, which agree on members and runners.
type region struct {
	now     time.Time
	names   []string
	routers map[string]*Router
	runners []Runner
	held    []Slot
	// refused tells until when a runner takes no work after a leaving refusal, by member.
	refused map[string]time.Time
}

func (region *region) change(t *rapid.T) {
	region.names = nil
	for i := range 5 {
		if name := fmt.Sprintf("entry-%d", i); rapid.Bool().Draw(t, name) {
			region.names = append(region.names, name)
		}
	}
	region.runners = listed(rapid.IntRange(0, 4).Draw(t, "runners"))
	for i := range region.runners {
		region.runners[i].Leaving = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
	}
	for _, name := range region.names {
		if region.routers[name] == nil {
			region.routers[name] = &Router{
				Self: name,
			}
		}
		region.routers[name].SetMembers(region.names)
		region.routers[name].SetRunners(region.now, region.runners)
	}
}

// Guards against shares that overlap, leave slots without an owner, or give the long lane more
// than half of a runner.
func (region *region) checkShares(t *rapid.T) {
	if len(region.names) == 0 {
		return
	}
	for _, runner := range region.runners {
		var sum Share
		for _, name := range region.names {
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
	if len(region.names) == 0 {
		return
	}
	name := rapid.SampledFrom(region.names).Draw(t, "member")
	lane := rapid.SampledFrom([]parser.Lane{parser.LaneShort, parser.LaneLong}).Draw(t, "lane")
	router := region.routers[name]
	_, free := router.Slots(region.now, lane)
	slot, ok := router.Choose(region.now, lane, "")
	if ok != (free > 0) {
		t.Fatalf("%d free slots, but a slot was chosen: %v", free, ok)
	}
	if !ok {
		return
	}
	if region.now.Before(region.refused[name+slot.Runner]) {
		t.Fatalf("%s gets work after it refused as leaving", slot.Runner)
	}
	for _, runner := range region.runners {
		if runner.ID == slot.Runner && runner.Leaving {
			t.Fatalf("%s gets work while it is leaving", slot.Runner)
		}
	}
	own, long := 0, 0
	region.held = append(region.held, slot)
	for _, held := range region.held {
		if held.Runner != slot.Runner {
			continue
		}
		if held.runner == slot.runner && held.Index == slot.Index {
			own++
		}
		if held.Lane == parser.LaneLong && held.Index >= SlotsPerRunner/2 {
			long++
		}
	}
	if own != 1 {
		t.Fatalf("slot %d of %s is held %d times", slot.Index, slot.Runner, own)
	}
	if slot.runner.owned&(1<<slot.Index) == 0 {
		t.Fatalf("slot %d of %s is another member's", slot.Index, slot.Runner)
	}
	if long > 0 {
		t.Fatalf("long work holds a slot that is for short work only")
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
			region.refused[name+slot.Runner] = region.now.Add(leavingHold)
		}
		return
	}
	t.Fatalf("runner of slot %+v is not known any more", slot)
}

func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		region := &region{
			now:     start,
			routers: map[string]*Router{},
			refused: map[string]time.Time{},
		}
		region.change(t)
		t.Repeat(map[string]func(*rapid.T){
			"change":  region.change,
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

// load sends one request each 2 ms for a while and returns how many each runner got. Answer tells
// the outcome and time of a request.
func load(router *Router, now time.Time, requests int, answer func(runner string) (Outcome, time.Duration)) map[string]int {
	type pending struct {
		at      time.Time
		took    time.Duration
		slot    Slot
		outcome Outcome
	}
	got := map[string]int{}
	var running []pending
	for range requests {
		now = now.Add(2 * time.Millisecond)
		rest := running[:0]
		for _, ending := range running {
			if ending.at.After(now) {
				rest = append(rest, ending)
				continue
			}
			router.Release(now, ending.slot, ending.outcome, ending.took)
		}
		running = rest
		slot, ok := router.Choose(now, parser.LaneShort, "")
		if !ok {
			continue
		}
		got[slot.Runner]++
		outcome, took := answer(slot.Runner)
		running = append(running, pending{
			at:      now.Add(took),
			took:    took,
			slot:    slot,
			outcome: outcome,
		})
	}
	for _, ending := range running {
		router.Release(now, ending.slot, ending.outcome, ending.took)
	}
	return got
}

// Guards against runners that fail fast and so attract work, slow runners that keep their share,
// busy refusals that cost one, and runners that get no work after they recovered.
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
			router.SetRunners(start, listed(runners))
			healthy := func(string) (Outcome, time.Duration) {
				return OutcomeSuccess, 20 * time.Millisecond
			}
			load(router, start, requests, healthy)
			now := start.Add(time.Minute)
			got := load(router, now, requests, func(runner string) (Outcome, time.Duration) {
				if runner == "runner-3" {
					return test.outcome, test.took
				}
				return healthy(runner)
			})["runner-3"]
			if got < test.min || got > test.max {
				t.Errorf("runner got %d of %d requests, want %d to %d", got, requests, test.min, test.max)
			}
			now = now.Add(time.Minute)
			if got := load(router, now, requests, healthy)["runner-3"]; got < requests/runners/3 {
				t.Errorf("runner got %d of %d requests after it recovered", got, requests)
			}
		})
	}
}

// Guards against a slow runner that is used before others are full, or keeps its slots.
func TestSlowRunner(t *testing.T) {
	router := &Router{}
	router.SetRunners(start, listed(8))
	load(router, start, 2000, func(string) (Outcome, time.Duration) {
		return OutcomeSuccess, 20 * time.Millisecond
	})
	now := start.Add(4 * time.Second)
	// Demand exceeds the slots, so the slow runner is used as far as it may.
	load(router, now, 5000, func(runner string) (Outcome, time.Duration) {
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

// Guards against a loss of slots when the work itself fails, on all runners alike.
func TestFaultyWork(t *testing.T) {
	router := &Router{}
	router.SetRunners(start, listed(4))
	requests := 0
	load(router, start, 5000, func(string) (Outcome, time.Duration) {
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

// Guards against a new runner that gets its full share of work before it has answered once.
func TestNewRunnerStartsGently(t *testing.T) {
	router := &Router{}
	router.SetRunners(start, listed(1))
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

// Guards against forwards that cost more than they save, and billed traffic without need.
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
				t.Fatalf("one slot of %s was used twice", got)
			}
			peers.Return(got, false)
			if again, _ := peers.Choose(start, demand); again != got {
				t.Fatalf("chose %q after the slot was free again, want %q", again, got)
			}
		})
	}
}
