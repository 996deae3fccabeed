package cell_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"pomelomoor/internal/cell/watcher"
	"pomelomoor/platform/standin"
)

const (
	// configApplyTime is the time after its acknowledgement from which a configuration is in force everywhere, as in the
	// settings of the stand-in.
	configApplyTime = 3 * time.Second
	// configCheckTime is how long callers go on after that.
	configCheckTime = 2 * time.Second
	// leaderKnownTime is how long after its election each instance knows the leader.
	leaderKnownTime = 2 * time.Second
	// callerInterval is the time between two calls of a caller.
	callerInterval = 30 * time.Millisecond
	// rollbackTime is how long after the first effect of a configuration the one before may still decide.
	rollbackTime = 250 * time.Millisecond
)

var (
	removedQueue = standin.Queue{
		Name:   "removed",
		Prefix: "/removed/",
	}
	addedQueue = standin.Queue{
		Name:   "added",
		Prefix: "/added/",
	}
)

// onCalls returns a function for SetFault that injects a fault into the calls of one kind, or into all.
func onCalls(fault standin.Fault, kind string) func(call string) standin.Fault {
	return func(call string) standin.Fault {
		if kind == "" || call == kind {
			return fault
		}
		return standin.FaultNone
	}
}

// follower returns an instance that does not lead.
func (cell *cell) follower() *instance {
	cell.t.Helper()
	cell.await(startTimeout, "a leader", func() bool {
		return len(cell.site.Store.Value("cell/leader")) > 0
	})
	for _, instance := range cell.instances {
		if !cell.leads(instance) {
			return instance
		}
	}
	cell.t.Fatal("each instance leads")
	return nil
}

// awaitServed waits until a leader has loaded the state of the cell and each instance knows it: only then are the counts
// of a queue answered.
func (cell *cell) awaitServed(queue standin.Queue) {
	cell.t.Helper()
	for _, instance := range cell.instances {
		cell.await(startTimeout, fmt.Sprintf("instance %d to count jobs", instance.index), func() bool {
			status, _ := cell.call(http.MethodGet, instance.index, queue.Prefix, nil)
			return status == http.StatusOK
		})
	}
}

// leads reports whether the leader key names an instance.
func (cell *cell) leads(instance *instance) bool {
	var leader struct {
		Instance string
	}
	err := json.Unmarshal(cell.site.Store.Value("cell/leader"), &leader)
	return err == nil && leader.Instance == fmt.Sprintf("front-%d", instance.index)
}

// TestConfigurationInForceBesideFaults guards against calls that an instance answers by a configuration that was
// replaced: only its own watch brought a change, so that an instance which the store turned away, or whose watch hung
// or missed the change, refused calls of a route that had been added and served one that had been removed.
func TestConfigurationInForceBesideFaults(t *testing.T) {
	cases := []struct {
		name string
		// inject injects the fault just before the change.
		inject func(instance *instance)
		// changed, if set, is called just after the change.
		changed func(instance *instance)
	}{
		{
			name: "store answers 429",
			inject: func(instance *instance) {
				instance.gate.SetFault(onCalls(standin.FaultBusy, ""))
			},
		},
		{
			name: "store answers 503",
			inject: func(instance *instance) {
				instance.gate.SetFault(onCalls(standin.FaultRefused, ""))
			},
		},
		{
			name: "store resets connections",
			inject: func(instance *instance) {
				instance.gate.SetFault(onCalls(standin.FaultReset, ""))
			},
		},
		{
			name: "store does not answer",
			inject: func(instance *instance) {
				instance.gate.SetFault(onCalls(standin.FaultDropped, ""))
			},
		},
		{
			name: "instance cut from the store",
			inject: func(instance *instance) {
				instance.store.Cut()
			},
		},
		{
			name: "open connections silent",
			inject: func(instance *instance) {
				instance.gate.Silence()
			},
		},
		{
			name: "watches not answered",
			inject: func(instance *instance) {
				instance.gate.SetFault(onCalls(standin.FaultDropped, standin.CallWatch))
			},
		},
		{
			name: "watches answered without the change",
			inject: func(instance *instance) {
				instance.gate.SetFault(onCalls(standin.FaultEventsLost, standin.CallWatch))
			},
		},
		{
			name: "history dropped after watches heard nothing",
			inject: func(instance *instance) {
				instance.gate.SetFault(onCalls(standin.FaultEventsLost, standin.CallWatch))
			},
			changed: func(instance *instance) {
				watcher.Sleep(t.Context(), time.Second)
				instance.cell.site.Store.Compact()
				instance.gate.SetFault(nil)
			},
		},
		{
			name: "instance paused",
			inject: func(instance *instance) {
				instance.signal(syscall.SIGSTOP, false)
			},
			changed: func(instance *instance) {
				watcher.Sleep(t.Context(), configApplyTime+time.Second)
				instance.signal(syscall.SIGCONT, false)
			},
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			cell := newCell(t, 3, 1, plainQueue, removedQueue)
			cell.awaitServed(plainQueue)
			target := cell.follower()
			test.inject(target)
			if err := cell.site.Configure(plainQueue, addedQueue); err != nil {
				t.Fatal(err)
			}
			acknowledged := time.Now()
			if test.changed != nil {
				test.changed(target)
			}
			var callers sync.WaitGroup
			for _, instance := range cell.instances {
				callers.Go(func() {
					cell.checkConfig(instance.index, acknowledged, routeProbes)
				})
			}
			callers.Wait()
		})
	}
}

// probe is a call by which a test observes which configuration is in force, and its status once the newest is.
type probe struct {
	path string
	key  string
	want int
}

// routeProbes observe the routes that a change added and removed.
var routeProbes = []probe{
	{
		path: addedQueue.Prefix,
		want: http.StatusOK,
	},
	{
		path: removedQueue.Prefix,
		want: http.StatusNotFound,
	},
}

// checkConfig makes the calls of probes to an instance and checks that a change is in force in time and does not revert.
// Responses with one of the neutral statuses tell nothing.
func (cell *cell) checkConfig(instance int, acknowledged time.Time, probes []probe, neutral ...int) {
	var first time.Time
	for time.Since(acknowledged) < configApplyTime+configCheckTime {
		for _, probe := range probes {
			sent := time.Now()
			got := cell.callWithKey(probe.key, http.MethodGet, instance, probe.path, nil).status
			switch {
			case slices.Contains(neutral, got):
			case got == probe.want && first.IsZero():
				first = time.Now()
			case got == probe.want:
			case sent.Sub(acknowledged) > configApplyTime:
				cell.t.Errorf("instance %d: status %d for %s %s after the change, want %d", instance, got, probe.path, sent.Sub(acknowledged), probe.want)
				return
			case !first.IsZero() && sent.Sub(first) > rollbackTime:
				cell.t.Errorf("instance %d: status %d for %s %s after the change was in force, want %d", instance, got, probe.path, sent.Sub(first), probe.want)
				return
			}
		}
		watcher.Sleep(cell.t.Context(), callerInterval)
	}
}

// TestUnconfirmedConfiguration guards against a refusal for good by a configuration that may have been replaced. While no
// instance can ask the store, a call without a route is rejected at once, and may come back; others are served.
func TestUnconfirmedConfiguration(t *testing.T) {
	cell := newCell(t, 2, 1, plainQueue)
	cell.awaitServed(plainQueue)
	target := cell.follower()
	for _, instance := range cell.instances {
		instance.gate.SetFault(onCalls(standin.FaultRefused, ""))
	}
	if err := cell.site.Configure(plainQueue, addedQueue); err != nil {
		t.Fatal(err)
	}
	acknowledged := time.Now()
	watcher.Sleep(t.Context(), configApplyTime)
	for range 20 {
		sent := time.Now()
		status, _ := cell.call(http.MethodGet, target.index, addedQueue.Prefix, nil)
		if status != http.StatusServiceUnavailable {
			t.Errorf("status %d for an added route %s after the change, want 503", status, sent.Sub(acknowledged))
		}
		if took := time.Since(sent); took > time.Second {
			t.Errorf("rejected after %s", took)
		}
		if status, _ := cell.call(http.MethodGet, target.index, plainQueue.Prefix, nil); status != http.StatusOK {
			t.Errorf("status %d for a route that stands, want 200", status)
		}
		watcher.Sleep(t.Context(), callerInterval)
	}
	for _, instance := range cell.instances {
		instance.gate.SetFault(nil)
	}
	cell.await(configApplyTime, "the added route to be served", func() bool {
		status, _ := cell.call(http.MethodGet, target.index, addedQueue.Prefix, nil)
		return status == http.StatusOK
	})
}

// TestConfigFindings guards against an instance that does not tell what its configuration has no effect with, tells it with
// each version, or keeps the version out of force because of it.
func TestConfigFindings(t *testing.T) {
	cell := newCell(t, 2, 1, plainQueue)
	cell.awaitServed(plainQueue)
	hiddenQueue := plainQueue
	hiddenQueue.Name = "hidden"
	for _, queues := range [][]standin.Queue{{plainQueue, hiddenQueue}, {plainQueue, hiddenQueue, addedQueue}} {
		if err := cell.site.Configure(queues...); err != nil {
			t.Fatal(err)
		}
		cell.awaitServed(queues[len(queues)-1])
	}
	for index, instance := range cell.instances {
		cell.await(configApplyTime, "the added queue to be told", func() bool {
			return instance.lines(`"ConfigChange"`, `"QueueAdded"`, `"Field":"routes[2]"`) == 1
		})
		if lines := instance.lines(`"ConfigFinding"`, `"QueueHidden"`, `"Field":"routes[1].prefix"`); lines != 1 {
			t.Errorf("instance %d told of the hidden queue %d times", index, lines)
		}
		if lines := instance.lines(`"ConfigFinding"`); lines != 1 {
			t.Errorf("instance %d told of %d findings", index, lines)
		}
	}
}

// TestCallsAtTurnedAwayLeader guards against an instance that loses its leadership because the store turns it away, and
// then does not know who leads: counts of its queues waited for a leader until the caller's deadline and were rejected.
func TestCallsAtTurnedAwayLeader(t *testing.T) {
	cell := newCell(t, 3, 1, plainQueue)
	var former *instance
	cell.await(startTimeout, "a leader", func() bool {
		for _, instance := range cell.instances {
			if cell.leads(instance) {
				former = instance
			}
		}
		return former != nil
	})
	former.gate.SetFault(onCalls(standin.FaultBusy, ""))
	cell.await(startTimeout, "another leader", func() bool {
		return len(cell.site.Store.Value("cell/leader")) > 0 && !cell.leads(former)
	})
	watcher.Sleep(t.Context(), leaderKnownTime)
	for range 20 {
		sent := time.Now()
		if status, _ := cell.call(http.MethodGet, former.index, plainQueue.Prefix, nil); status != http.StatusOK || time.Since(sent) > time.Second {
			t.Errorf("status %d after %s, want 200 within 1s", status, time.Since(sent))
		}
		watcher.Sleep(t.Context(), callerInterval)
	}
}
