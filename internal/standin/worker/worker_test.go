package worker_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/gateway/executor"
	"pomelomoor/internal/standin/worker"
	"pomelomoor/internal/work/descriptor"
)

const lease = 15 * time.Second

var capacity = descriptor.Resources{
	MilliCPU:    4000,
	MemoryBytes: 1000,
}

func runID(task int) descriptor.RunID {
	return descriptor.RunID{
		Job:  "site-0.1",
		Task: task,
	}
}

func batchStart(task int, milliCPU int64, payload string) []executor.Start {
	return []executor.Start{
		{
			Run:  runID(task),
			Kind: descriptor.KindBatch,
			Task: descriptor.Resources{
				MilliCPU:    milliCPU,
				MemoryBytes: 100,
			},
			Payload: payload,
		},
	}
}

// fixture holds a worker without a network, as synctest requires.
type fixture struct {
	*testing.T
	worker *worker.Worker
	epoch  uint64
}

func withFakeClock(t *testing.T, test func(fixture *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		test(&fixture{
			T: t,
			worker: worker.New(worker.Options{
				ID:       "worker-1",
				Capacity: capacity,
			}),
			epoch: 1,
		})
	})
}

func (fixture *fixture) sync(request executor.SyncRequest) executor.SyncReply {
	fixture.Helper()
	request.Shard, request.Epoch, request.Lease = "site-0", fixture.epoch, lease
	response, err := fixture.worker.Sync(request)
	if err != nil {
		fixture.Fatal(err)
	}
	return response
}

func (fixture *fixture) start(starts []executor.Start) executor.SyncReply {
	fixture.Helper()
	return fixture.sync(executor.SyncRequest{
		Start: starts,
	})
}

func (fixture *fixture) outcomeOf(response executor.SyncReply, task int) executor.Outcome {
	for _, result := range response.Finished {
		if result.Run == runID(task) {
			return result.Outcome
		}
	}
	return ""
}

func (fixture *fixture) expectOutcome(response executor.SyncReply, task int, want executor.Outcome) {
	fixture.Helper()
	if got := fixture.outcomeOf(response, task); got != want {
		fixture.Errorf("task %d: outcome %q, want %q", task, got, want)
	}
}

// TestLeaseLapse guards against runs that continue after their lease has expired, or end although it was
// renewed.
func TestLeaseLapse(t *testing.T) {
	withFakeClock(t, func(fixture *fixture) {
		fixture.start(batchStart(1, 1000, `{"RunTime":"1h"}`))
		<-time.After(lease - time.Second)
		if response := fixture.sync(executor.SyncRequest{}); len(response.Running) != 1 {
			t.Fatalf("run under a lease renewed in time: %+v", response)
		}
		<-time.After(lease + time.Second)
		fixture.expectOutcome(fixture.sync(executor.SyncRequest{}), 1, executor.OutcomeLeaseLapsed)
		record := fixture.worker.History()[0]
		if ran := record.Ended.Sub(record.Started); ran != 2*lease-time.Second {
			t.Errorf("run ended after %v, want the expiry of its lease", ran)
		}
	})
}

// TestRunOnce guards against a run that starts again when its start is repeated or delayed: while it runs, after
// it ended, after it was acknowledged, and after a stop that arrived before the start.
func TestRunOnce(t *testing.T) {
	withFakeClock(t, func(fixture *fixture) {
		start := batchStart(1, 1000, `{"RunTime":"2s"}`)
		fixture.start(start)
		fixture.start(start)
		<-time.After(3 * time.Second)
		fixture.expectOutcome(fixture.start(start), 1, executor.OutcomeDone)
		fixture.sync(executor.SyncRequest{
			Acknowledge: []descriptor.RunID{runID(1)},
		})
		if response := fixture.start(start); len(response.Running)+len(response.Finished) != 0 {
			t.Errorf("start repeated after its run was acknowledged: %+v", response)
		}
		response := fixture.sync(executor.SyncRequest{
			Stop: []descriptor.RunID{runID(2)},
		})
		fixture.expectOutcome(response, 2, executor.OutcomeStopped)
		fixture.expectOutcome(fixture.start(batchStart(2, 1000, "")), 2, executor.OutcomeStopped)
		if history := fixture.worker.History(); len(history) != 1 {
			t.Errorf("history %+v, want one run", history)
		}
	})
}

// TestStale guards against a request that starts a run although a later one overtook it or it was delayed for
// too long.
func TestStale(t *testing.T) {
	withFakeClock(t, func(fixture *fixture) {
		first := fixture.sync(executor.SyncRequest{})
		fixture.sync(executor.SyncRequest{
			Ticket: first.Ticket,
		})
		delayed := executor.SyncRequest{
			Ticket: first.Ticket,
			Start:  batchStart(1, 1000, ""),
		}
		response := fixture.sync(delayed)
		if !response.Stale || len(response.Running) != 0 {
			t.Errorf("request with the ticket of an earlier response: %+v", response)
		}
		<-time.After(lease + time.Second)
		delayed.Ticket = response.Ticket
		if response = fixture.sync(delayed); !response.Stale || len(response.Running) != 0 {
			t.Errorf("request delayed for longer than its lease: %+v", response)
		}
		delayed.MaxAge = 4 * time.Second
		<-time.After(delayed.MaxAge + time.Second)
		delayed.Ticket = response.Ticket
		if response = fixture.sync(delayed); !response.Stale || len(response.Running) != 0 {
			t.Errorf("request delayed for longer than its MaxAge: %+v", response)
		}
		<-time.After(delayed.MaxAge)
		delayed.Ticket = response.Ticket
		if response = fixture.sync(delayed); response.Stale || len(response.Running) != 1 {
			t.Errorf("request with the current ticket: %+v", response)
		}
	})
}

// TestCapacity guards against a worker that accepts runs whose declared sizes exceed its capacity, summed over
// all shards, and against capacity that is not released when a run ends.
func TestCapacity(t *testing.T) {
	withFakeClock(t, func(fixture *fixture) {
		fixture.start(batchStart(1, 3000, `{"RunTime":"5s"}`))
		other, err := fixture.worker.Sync(executor.SyncRequest{
			Shard: "site-1",
			Lease: lease,
			Start: batchStart(2, 1001, ""),
		})
		if err != nil {
			t.Fatal(err)
		}
		fixture.expectOutcome(other, 2, executor.OutcomeRefused)
		if response := fixture.start(batchStart(3, 1000, "")); len(response.Running) != 2 {
			t.Errorf("run that fits the free capacity: %+v", response)
		}
		<-time.After(6 * time.Second)
		if response := fixture.start(batchStart(4, 4000, "")); len(response.Running) != 1 {
			t.Errorf("run that fits after the others ended: %+v", response)
		}
		fixture.worker.SetFaults(worker.Faults{
			FailAll: true,
		})
		<-time.After(2 * time.Second)
		fixture.start(batchStart(5, 4000, `{"RunTime":"1h"}`))
		<-time.After(time.Second)
		fixture.expectOutcome(fixture.sync(executor.SyncRequest{}), 5, executor.OutcomeFailed)
	})
}

// TestUsage guards against usage that is reported without lag, a memory limit that is not enforced, and a
// throttle or checkpoint that has no effect.
func TestUsage(t *testing.T) {
	withFakeClock(t, func(fixture *fixture) {
		fixture.start(batchStart(1, 1000, `{"RunTime":"10s","Use":{"MilliCPU":2000,"MemoryBytes":400},"UseAfter":"3s"}`))
		<-time.After(4 * time.Second)
		usage := fixture.sync(executor.SyncRequest{}).Running[0].Usage
		if usage.MilliCPU != 1000 || time.Since(usage.At) != 2*time.Second {
			t.Errorf("usage %+v, want the declared processor time, measured 2 s ago", usage)
		}
		fixture.sync(executor.SyncRequest{
			Throttle: []descriptor.RunID{runID(1)},
		})
		<-time.After(2 * time.Second)
		response := fixture.sync(executor.SyncRequest{
			Checkpoint: []descriptor.RunID{runID(1)},
		})
		if usage := response.Running; len(usage) != 0 || response.Finished[0].Checkpoint != "site-0.1/1/0@5s" || response.Finished[0].Peak.MilliCPU != 2000 {
			t.Errorf("checkpoint after 4 s at full speed and 2 s at half speed: %+v", response)
		}
		restored := batchStart(2, 1000, `{"RunTime":"10s"}`)
		restored[0].Checkpoint = response.Finished[0].Checkpoint
		fixture.start(restored)
		<-time.After(5*time.Second + time.Millisecond)
		fixture.expectOutcome(fixture.sync(executor.SyncRequest{}), 2, executor.OutcomeDone)
		fixture.start(batchStart(3, 1000, `{"RunTime":"10s","Use":{"MemoryBytes":300}}`))
		response = fixture.start(batchStart(4, 1000, `{"RunTime":"10s","Use":{"MemoryBytes":800}}`))
		fixture.expectOutcome(response, 3, "")
		fixture.expectOutcome(response, 4, executor.OutcomeFailed)
	})
}

// TestClient guards against a request that was applied but is reported as without effect, and against commands
// that are accepted from a former owner of the shard.
func TestClient(t *testing.T) {
	started, stop, err := worker.Start(worker.Options{
		ID:       "worker-1",
		Address:  netip.MustParseAddrPort("127.0.0.1:0"),
		Capacity: capacity,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	client, closeIdle := executor.New(executor.Options{
		Timeout: 10 * time.Second,
	})
	defer closeIdle()
	send := func(epoch uint64, task int) (executor.SyncReply, error) {
		return client.Sync(context.Background(), started.Address(), executor.SyncRequest{
			Shard: "site-0",
			Epoch: epoch,
			Lease: time.Hour,
			Start: batchStart(task, 1000, `{"RunTime":"1h"}`),
		})
	}
	first, err := send(2, 1)
	if err != nil || len(first.Running) != 1 {
		t.Fatalf("first start: %+v, %v", first, err)
	}
	if _, err := send(1, 2); !errors.Is(err, executor.ErrFenced) {
		t.Errorf("request with a lower epoch: %v", err)
	}
	started.SetFaults(worker.Faults{
		LoseAnswers: 1,
	})
	if _, err := send(3, 3); !errors.Is(err, executor.ErrUncertain) {
		t.Errorf("request whose response was lost: %v", err)
	}
	if response, err := send(3, 3); err != nil || len(response.Running) != 2 || response.Incarnation != first.Incarnation {
		t.Errorf("request repeated after the lost response: %+v, %v", response, err)
	}
	started.Restart()
	if response, err := send(3, 4); err != nil || len(response.Running) != 1 || response.Incarnation == first.Incarnation {
		t.Errorf("request after a restart of the worker: %+v, %v", response, err)
	}
	stop()
	// The outcome of a request on a kept-alive connection that the worker is closing would be uncertain.
	closeIdle()
	if _, err := client.Sync(t.Context(), started.Address(), executor.SyncRequest{}); !errors.Is(err, executor.ErrUnreachable) {
		t.Errorf("request to a stopped worker: %v", err)
	}
}

// TestChanges guards against a partial report that omits a start, an end or a change of usage, and against one
// that is sent to an owner that has not received the latest response.
func TestChanges(t *testing.T) {
	withFakeClock(t, func(fixture *fixture) {
		const payload = `{"RunTime":"10m","Use":{"MilliCPU":1,"MemoryBytes":50},"UseAfter":"5s"}`
		full := fixture.start(batchStart(1, 1, payload))
		if full.Partial || len(full.Running) != 1 || full.Capacity != capacity {
			t.Fatalf("first response: %+v", full)
		}
		syncChanges := func(ticket string, starts []executor.Start, stops ...descriptor.RunID) executor.SyncReply {
			return fixture.sync(executor.SyncRequest{
				Ticket:  ticket,
				Changes: true,
				Start:   starts,
				Stop:    stops,
			})
		}
		expectPartial := func(response executor.SyncReply, running, finished int) {
			t.Helper()
			if !response.Partial || len(response.Running) != running || len(response.Finished) != finished {
				t.Fatalf("want a partial response with other numbers of runs: %+v", response)
			}
		}
		started := syncChanges(full.Ticket, batchStart(2, 1, `{"RunTime":"10m"}`))
		expectPartial(started, 1, 0)
		unchanged := syncChanges(started.Ticket, nil)
		expectPartial(unchanged, 0, 0)
		time.Sleep(9 * time.Second)
		// By now, a usage measurement of both runs is available.
		used := syncChanges(unchanged.Ticket, nil)
		expectPartial(used, 2, 0)
		stopped := syncChanges(used.Ticket, nil, runID(2))
		expectPartial(stopped, 0, 1)
		repeated := syncChanges(stopped.Ticket, nil)
		expectPartial(repeated, 0, 1)
		if overtaken := syncChanges(stopped.Ticket, nil); overtaken.Partial || !overtaken.Stale || len(overtaken.Running) != 1 {
			t.Fatalf("response to an overtaken request: %+v", overtaken)
		}
	})
}
