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

func starting(task int, milliCPU int64, payload string) []executor.Start {
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

// fixture is one worker without a network, so that synctest can control the time.
type fixture struct {
	*testing.T
	worker *worker.Worker
	epoch  uint64
}

func inBubble(t *testing.T, test func(fixture *fixture)) {
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
	reply, err := fixture.worker.Sync(request)
	if err != nil {
		fixture.Fatal(err)
	}
	return reply
}

func (fixture *fixture) start(starts []executor.Start) executor.SyncReply {
	fixture.Helper()
	return fixture.sync(executor.SyncRequest{
		Start: starts,
	})
}

func (fixture *fixture) outcome(reply executor.SyncReply, task int) executor.Outcome {
	for _, result := range reply.Finished {
		if result.Run == runID(task) {
			return result.Outcome
		}
	}
	return ""
}

func (fixture *fixture) expect(reply executor.SyncReply, task int, want executor.Outcome) {
	fixture.Helper()
	if got := fixture.outcome(reply, task); got != want {
		fixture.Errorf("task %d: outcome %q, want %q", task, got, want)
	}
}

// TestLeaseLapse guards against tasks that run on after the lease that covers them,
// or end although it was renewed.
func TestLeaseLapse(t *testing.T) {
	inBubble(t, func(fixture *fixture) {
		fixture.start(starting(1, 1000, `{"RunTime":"1h"}`))
		<-time.After(lease - time.Second)
		if reply := fixture.sync(executor.SyncRequest{}); len(reply.Running) != 1 {
			t.Fatalf("renewed in time: %+v", reply)
		}
		<-time.After(lease + time.Second)
		fixture.expect(fixture.sync(executor.SyncRequest{}), 1, executor.OutcomeLeaseLapsed)
		record := fixture.worker.History()[0]
		if ran := record.Ended.Sub(record.Started); ran != 2*lease-time.Second {
			t.Errorf("ran for %v", ran)
		}
	})
}

// TestRunOnce guards against a run that starts again when its message is repeated or comes late:
// while it runs, after it ended, after it was acknowledged, and after it was stopped before it came.
func TestRunOnce(t *testing.T) {
	inBubble(t, func(fixture *fixture) {
		start := starting(1, 1000, `{"RunTime":"2s"}`)
		fixture.start(start)
		fixture.start(start)
		<-time.After(3 * time.Second)
		fixture.expect(fixture.start(start), 1, executor.OutcomeDone)
		fixture.sync(executor.SyncRequest{
			Acknowledge: []descriptor.RunID{runID(1)},
		})
		if reply := fixture.start(start); len(reply.Running)+len(reply.Finished) != 0 {
			t.Errorf("started after it was acknowledged: %+v", reply)
		}
		reply := fixture.sync(executor.SyncRequest{
			Stop: []descriptor.RunID{runID(2)},
		})
		fixture.expect(reply, 2, executor.OutcomeStopped)
		fixture.expect(fixture.start(starting(2, 1000, "")), 2, executor.OutcomeStopped)
		if history := fixture.worker.History(); len(history) != 1 {
			t.Errorf("history %+v", history)
		}
	})
}

// TestStale guards against a message that was overtaken or held up and still starts a run.
func TestStale(t *testing.T) {
	inBubble(t, func(fixture *fixture) {
		first := fixture.sync(executor.SyncRequest{})
		fixture.sync(executor.SyncRequest{
			Ticket: first.Ticket,
		})
		late := executor.SyncRequest{
			Ticket: first.Ticket,
			Start:  starting(1, 1000, ""),
		}
		reply := fixture.sync(late)
		if !reply.Stale || len(reply.Running) != 0 {
			t.Errorf("overtaken: %+v", reply)
		}
		<-time.After(lease + time.Second)
		late.Ticket = reply.Ticket
		if reply = fixture.sync(late); !reply.Stale || len(reply.Running) != 0 {
			t.Errorf("held up: %+v", reply)
		}
		late.MaxAge = 4 * time.Second
		<-time.After(late.MaxAge + time.Second)
		late.Ticket = reply.Ticket
		if reply = fixture.sync(late); !reply.Stale || len(reply.Running) != 0 {
			t.Errorf("held up beyond its own limit: %+v", reply)
		}
		<-time.After(late.MaxAge)
		late.Ticket = reply.Ticket
		if reply = fixture.sync(late); reply.Stale || len(reply.Running) != 1 {
			t.Errorf("in order: %+v", reply)
		}
	})
}

// TestCapacity guards against a worker that takes more than it holds, by declared sizes of all
// shards together, and against room that is not given back.
func TestCapacity(t *testing.T) {
	inBubble(t, func(fixture *fixture) {
		fixture.start(starting(1, 3000, `{"RunTime":"5s"}`))
		other, err := fixture.worker.Sync(executor.SyncRequest{
			Shard: "site-1",
			Lease: lease,
			Start: starting(2, 1001, ""),
		})
		if err != nil {
			t.Fatal(err)
		}
		fixture.expect(other, 2, executor.OutcomeRefused)
		if reply := fixture.start(starting(3, 1000, "")); len(reply.Running) != 2 {
			t.Errorf("a run that fits: %+v", reply)
		}
		<-time.After(6 * time.Second)
		if reply := fixture.start(starting(4, 4000, "")); len(reply.Running) != 1 {
			t.Errorf("after the others ended: %+v", reply)
		}
		fixture.worker.SetFaults(worker.Faults{
			FailAll: true,
		})
		<-time.After(2 * time.Second)
		fixture.start(starting(5, 4000, `{"RunTime":"1h"}`))
		<-time.After(time.Second)
		fixture.expect(fixture.sync(executor.SyncRequest{}), 5, executor.OutcomeFailed)
	})
}

// TestUsage guards against usage that is reported without lag, memory that is exceeded unnoticed,
// and a throttle or checkpoint that has no effect.
func TestUsage(t *testing.T) {
	inBubble(t, func(fixture *fixture) {
		fixture.start(starting(1, 1000, `{"RunTime":"10s","Use":{"MilliCPU":2000,"MemoryBytes":400},"UseAfter":"3s"}`))
		<-time.After(4 * time.Second)
		usage := fixture.sync(executor.SyncRequest{}).Running[0].Usage
		if usage.MilliCPU != 1000 || time.Since(usage.At) != 2*time.Second {
			t.Errorf("usage %+v", usage)
		}
		fixture.sync(executor.SyncRequest{
			Throttle: []descriptor.RunID{runID(1)},
		})
		<-time.After(2 * time.Second)
		reply := fixture.sync(executor.SyncRequest{
			Checkpoint: []descriptor.RunID{runID(1)},
		})
		if usage := reply.Running; len(usage) != 0 || reply.Finished[0].Checkpoint != "site-0.1/1/0@5s" || reply.Finished[0].Peak.MilliCPU != 2000 {
			t.Errorf("checkpoint after 4 s at full and 2 s at half speed: %+v", reply)
		}
		restored := starting(2, 1000, `{"RunTime":"10s"}`)
		restored[0].Checkpoint = reply.Finished[0].Checkpoint
		fixture.start(restored)
		<-time.After(5*time.Second + time.Millisecond)
		fixture.expect(fixture.sync(executor.SyncRequest{}), 2, executor.OutcomeDone)
		fixture.start(starting(3, 1000, `{"RunTime":"10s","Use":{"MemoryBytes":300}}`))
		reply = fixture.start(starting(4, 1000, `{"RunTime":"10s","Use":{"MemoryBytes":800}}`))
		fixture.expect(reply, 3, "")
		fixture.expect(reply, 4, executor.OutcomeFailed)
	})
}

// TestClient guards against a message that is taken for one without effect although it had one,
// and against a former owner that is obeyed.
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
			Start: starting(task, 1000, `{"RunTime":"1h"}`),
		})
	}
	first, err := send(2, 1)
	if err != nil || len(first.Running) != 1 {
		t.Fatalf("%+v, %v", first, err)
	}
	if _, err := send(1, 2); !errors.Is(err, executor.ErrFenced) {
		t.Errorf("lower epoch: %v", err)
	}
	started.SetFaults(worker.Faults{
		LoseAnswers: 1,
	})
	if _, err := send(3, 3); !errors.Is(err, executor.ErrUncertain) {
		t.Errorf("lost answer: %v", err)
	}
	if reply, err := send(3, 3); err != nil || len(reply.Running) != 2 || reply.Incarnation != first.Incarnation {
		t.Errorf("after the lost answer: %+v, %v", reply, err)
	}
	started.Restart()
	if reply, err := send(3, 4); err != nil || len(reply.Running) != 1 || reply.Incarnation == first.Incarnation {
		t.Errorf("after a restart: %+v, %v", reply, err)
	}
	stop()
	// On a connection that is just being closed the outcome would be uncertain.
	closeIdle()
	if _, err := client.Sync(t.Context(), started.Address(), executor.SyncRequest{}); !errors.Is(err, executor.ErrUnreachable) {
		t.Errorf("worker that is gone: %v", err)
	}
}

// Guards against a report of changes that hides a start, an end or a new usage, and against one to an
// owner that has not seen the latest reply.
func TestChanges(t *testing.T) {
	inBubble(t, func(fixture *fixture) {
		const payload = `{"RunTime":"10m","Use":{"MilliCPU":1,"MemoryBytes":50},"UseAfter":"5s"}`
		whole := fixture.start(starting(1, 1, payload))
		if whole.Partial || len(whole.Running) != 1 || whole.Capacity != capacity {
			t.Fatalf("%+v", whole)
		}
		ask := func(ticket string, starts []executor.Start, stops ...descriptor.RunID) executor.SyncReply {
			return fixture.sync(executor.SyncRequest{
				Ticket:  ticket,
				Changes: true,
				Start:   starts,
				Stop:    stops,
			})
		}
		expect := func(reply executor.SyncReply, running, finished int) {
			t.Helper()
			if !reply.Partial || len(reply.Running) != running || len(reply.Finished) != finished {
				t.Fatalf("%+v", reply)
			}
		}
		started := ask(whole.Ticket, starting(2, 1, `{"RunTime":"10m"}`))
		expect(started, 1, 0)
		same := ask(started.Ticket, nil)
		expect(same, 0, 0)
		time.Sleep(9 * time.Second)
		// Both runs have been measured since.
		used := ask(same.Ticket, nil)
		expect(used, 2, 0)
		stopped := ask(used.Ticket, nil, runID(2))
		expect(stopped, 0, 1)
		again := ask(stopped.Ticket, nil)
		expect(again, 0, 1)
		if old := ask(stopped.Ticket, nil); old.Partial || !old.Stale || len(old.Running) != 1 {
			t.Fatalf("%+v", old)
		}
	})
}
