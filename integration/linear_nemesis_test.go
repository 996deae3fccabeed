package integration_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pomelomoor/internal/standin/keeper"
	"pomelomoor/internal/standin/runner"
	"pomelomoor/internal/standin/worker"
	"pomelomoor/internal/trial/interrupter"
	"pomelomoor/internal/work/descriptor"
)

// seedVariable sets the seed of the random faults and of the callers.
const seedVariable = "POMELOMOOR_SEED"

const (
	nemesisTime  = 20 * time.Second
	shortestGap  = 200 * time.Millisecond
	longestGap   = 900 * time.Millisecond
	shortestLife = 400 * time.Millisecond
	// longestLife is past the store lease and the silence after which a peer is suspected.
	longestLife = 3 * time.Second
)

// chooseSeed returns the seed of the environment or a new one.
func chooseSeed(t testing.TB) uint64 {
	t.Helper()
	text := os.Getenv(seedVariable)
	if text == "" {
		return rand.Uint64N(1_000_000)
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", seedVariable, err)
	}
	return seed
}

// planned is a fault that was drawn from the seed. What it hits also depends on which instances live.
type planned struct {
	at    time.Duration
	kind  int
	index int
	lasts time.Duration
}

func drawPlan(random *rand.Rand, kinds int) []planned {
	var plan []planned
	for at := shortestGap; at < nemesisTime; {
		plan = append(plan, planned{
			at:    at,
			kind:  random.IntN(kinds),
			index: random.IntN(1 << 20),
			lasts: between(random, shortestLife, longestLife),
		})
		at += between(random, shortestGap, longestGap)
	}
	return plan
}

func between(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Int64N(int64(longest-shortest)))
}

// undoing ends a fault.
type undoing struct {
	at     time.Duration
	target string
	undo   func()
}

// nemesis injects faults. All its methods run in the test's goroutine.
type nemesis struct {
	cell  *cell
	begun time.Time
	// origin is the time zero of the history, so that both can be compared.
	origin  time.Time
	started func(entry *entry)
	active  []undoing
	log     strings.Builder
}

// fault is a way to break the cell. It returns the target and how to break and heal it, or an empty
// target when there is nothing to break.
type fault func(nemesis *nemesis, planned planned) (target string, begin, heal func())

var faults = []fault{
	(*nemesis).kill,
	(*nemesis).pauseEntry,
	(*nemesis).pauseEntry,
	(*nemesis).breakStore,
	(*nemesis).breakStore,
	(*nemesis).breakStoreLink,
	(*nemesis).breakPeerLink,
	(*nemesis).breakWorkerLink,
	(*nemesis).breakWorkerLink,
	(*nemesis).isolate,
	(*nemesis).restartWorker,
	(*nemesis).breakWorker,
	(*nemesis).pauseWorker,
	(*nemesis).breakRunner,
}

// run injects the faults of a plan and heals everything in the end.
func (nemesis *nemesis) run(plan []planned) {
	nemesis.begun = time.Now()
	for _, planned := range plan {
		nemesis.healUntil(planned.at)
		nemesis.wait(planned.at)
		nemesis.inject(planned)
	}
	nemesis.healUntil(nemesisTime + longestLife)
}

func (nemesis *nemesis) wait(until time.Duration) {
	timer := time.NewTimer(time.Until(nemesis.begun.Add(until)))
	defer timer.Stop()
	<-timer.C
}

func (nemesis *nemesis) note(format string, arguments ...any) {
	fmt.Fprintf(&nemesis.log, "%s: %s\n", time.Since(nemesis.origin).Round(time.Millisecond), fmt.Sprintf(format, arguments...))
}

func (nemesis *nemesis) inject(planned planned) {
	target, begin, heal := faults[planned.kind](nemesis, planned)
	if target == "" || nemesis.broken(target) {
		return
	}
	begin()
	if heal == nil {
		return
	}
	nemesis.active = append(nemesis.active, undoing{
		at:     planned.at + planned.lasts,
		target: target,
		undo:   heal,
	})
}

func (nemesis *nemesis) broken(target string) bool {
	return slices.ContainsFunc(nemesis.active, func(undoing undoing) bool {
		return undoing.target == target
	})
}

// healUntil ends the faults that are due before a time.
func (nemesis *nemesis) healUntil(limit time.Duration) {
	slices.SortStableFunc(nemesis.active, func(left, right undoing) int {
		return int(left.at - right.at)
	})
	for len(nemesis.active) > 0 && nemesis.active[0].at <= limit {
		due := nemesis.active[0]
		nemesis.active = nemesis.active[1:]
		nemesis.wait(due.at)
		nemesis.note("%s is healed", due.target)
		due.undo()
	}
}

// running returns the live instances that are not paused.
func (nemesis *nemesis) running() []*entry {
	return slices.DeleteFunc(nemesis.cell.live(), func(entry *entry) bool {
		return entry.paused.Load()
	})
}

// choose returns a live instance, every second time the owner of the shard.
func (nemesis *nemesis) choose(planned planned) *entry {
	if planned.index%2 == 0 {
		if owner, _, err := nemesis.cell.owner(); err == nil {
			return owner
		}
	}
	live := nemesis.cell.live()
	return live[planned.index/2%len(live)]
}

func (nemesis *nemesis) kill(planned planned) (string, func(), func()) {
	entry := nemesis.choose(planned)
	if entry.paused.Load() || len(nemesis.running()) < 2 {
		return "", nil, nil
	}
	return "process " + entry.id, func() {
		nemesis.note("kill %s", entry.id)
		entry.kill()
		next := nemesis.cell.startEntry()
		nemesis.note("%s is started", next.id)
		nemesis.started(next)
	}, nil
}

func (nemesis *nemesis) pauseEntry(planned planned) (string, func(), func()) {
	entry := nemesis.choose(planned)
	if entry.paused.Load() || len(nemesis.running()) < 2 {
		return "", nil, nil
	}
	return "pause of " + entry.id, func() {
		nemesis.note("pause %s", entry.id)
		entry.pause()
	}, entry.resume
}

func (nemesis *nemesis) breakStore(planned planned) (string, func(), func()) {
	var faults keeper.Faults
	switch planned.index % 3 {
	case 0:
		faults.Down = true
	case 1:
		faults.Slow.Duration = time.Duration(100+planned.index%500) * time.Millisecond
	default:
		faults.LoseAnswers = 1 + planned.index%6
	}
	store := nemesis.cell.store
	return "store", func() {
			nemesis.note("store: %+v", faults)
			store.setStore(faults)
		}, func() {
			store.setStore(keeper.Faults{})
		}
}

// breakLink cuts or slows a link or lets it lose answers.
func (nemesis *nemesis) breakLink(name string, link *interrupter.Link, planned planned) (string, func(), func()) {
	return name, func() {
		switch planned.index / 64 % 3 {
		case 0:
			nemesis.note("cut %s", name)
			link.Cut()
		case 1:
			nemesis.note("%s loses answers", name)
			link.LoseAnswers()
		default:
			nemesis.note("slow down %s", name)
			link.Slow(time.Duration(100+planned.index%900) * time.Millisecond)
		}
	}, link.Heal
}

func (nemesis *nemesis) breakStoreLink(planned planned) (string, func(), func()) {
	entry := nemesis.choose(planned)
	return nemesis.breakLink("link of "+entry.id+" to the store", entry.store, planned)
}

func (nemesis *nemesis) breakPeerLink(planned planned) (string, func(), func()) {
	entry := nemesis.choose(planned)
	return nemesis.breakLink("link of peers to "+entry.id, entry.peer, planned)
}

// isolate cuts an instance off from the store and from the calls of its peers. It still reaches workers.
func (nemesis *nemesis) isolate(planned planned) (string, func(), func()) {
	entry := nemesis.choose(planned)
	peers, store := "link of peers to "+entry.id, "link of "+entry.id+" to the store"
	if nemesis.broken(peers) || nemesis.broken(store) {
		return "", nil, nil
	}
	return store, func() {
		nemesis.note("isolate %s", entry.id)
		entry.store.Cut()
		entry.peer.Cut()
		nemesis.active = append(nemesis.active, undoing{
			at:     planned.at + planned.lasts,
			target: peers,
			undo:   entry.peer.Heal,
		})
	}, entry.store.Heal
}

func (nemesis *nemesis) breakWorkerLink(planned planned) (string, func(), func()) {
	entry := nemesis.choose(planned)
	node := nemesis.cell.workers[planned.index/8%len(nemesis.cell.workers)]
	entry.mutex.Lock()
	known := entry.workers[node.id+" "+node.address.String()]
	entry.mutex.Unlock()
	if known == nil {
		return "", nil, nil
	}
	return nemesis.breakLink("link of "+entry.id+" to "+node.id, known, planned)
}

func (nemesis *nemesis) restartWorker(planned planned) (string, func(), func()) {
	node := nemesis.cell.workers[planned.index%len(nemesis.cell.workers)]
	return node.id, func() {
		nemesis.note("restart %s", node.id)
		node.restart()
	}, nil
}

func (nemesis *nemesis) pauseWorker(planned planned) (string, func(), func()) {
	node := nemesis.cell.workers[planned.index%len(nemesis.cell.workers)]
	return node.id, func() {
		nemesis.note("pause %s", node.id)
		node.Pause()
	}, node.Resume
}

func (nemesis *nemesis) breakWorker(planned planned) (string, func(), func()) {
	node := nemesis.cell.workers[planned.index%len(nemesis.cell.workers)]
	var faults worker.Faults
	switch planned.index / 64 % 3 {
	case 0:
		faults.Down = true
	case 1:
		faults.LoseAnswers = 1 + planned.index%4
	default:
		faults.Slow = descriptor.Duration{
			Duration: time.Duration(200+planned.index%2000) * time.Millisecond,
		}
	}
	return node.id, func() {
			nemesis.note("%s: %+v", node.id, faults)
			node.setWorker(faults)
		}, func() {
			node.setWorker(worker.Faults{})
		}
}

func (nemesis *nemesis) breakRunner(planned planned) (string, func(), func()) {
	node := nemesis.cell.runners[planned.index%len(nemesis.cell.runners)]
	var faults runner.Faults
	switch planned.index / 64 % 3 {
	case 0:
		faults.LoseAnswers = 1 + planned.index%4
	default:
		faults.Leaving = true
	}
	return node.id, func() {
			nemesis.note("%s: %+v", node.id, faults)
			node.setRunner(faults)
		}, func() {
			node.setRunner(runner.Faults{})
		}
}
