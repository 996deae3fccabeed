package controller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pomelomoor/internal/gateway/executor"
	"pomelomoor/internal/shard/registrar"
	"pomelomoor/internal/shard/signaler"
	"pomelomoor/internal/work/descriptor"
)

func (simulation *simulation) submit(job descriptor.Job) descriptor.JobID {
	simulation.nonce++
	simulation.request++
	id := registrar.NewJobID("hof-0", &job, simulation.now, simulation.nonce)
	simulation.jobs[id] = job
	simulation.step(simulation.owner(), signaler.Accept{
		Request: simulation.request,
		ID:      id,
		Job:     job,
	})
	return id
}

func drawJob(t *rapid.T) descriptor.Job {
	kind := rapid.SampledFrom([]descriptor.Kind{
		descriptor.KindBatch, descriptor.KindBatch, descriptor.KindGang, descriptor.KindService,
	}).Draw(t, "kind")
	return descriptor.Job{
		Name:    "job",
		Caller:  "yard",
		Team:    "assay",
		Kind:    kind,
		Urgency: rapid.SampledFrom([]descriptor.Urgency{descriptor.UrgencyHigh, descriptor.UrgencyLow}).Draw(t, "urgency"),
		Tasks:   rapid.IntRange(1, 3).Draw(t, "tasks"),
		Task: descriptor.Resources{
			MilliCPU:    int64(rapid.IntRange(1, 4).Draw(t, "size")) * 1000,
			MemoryBytes: 100,
		},
		Idempotent:     rapid.Bool().Draw(t, "idempotent"),
		Checkpointable: rapid.Bool().Draw(t, "checkpointable"),
	}
}

func drawDelay(t *rapid.T) time.Duration {
	return time.Duration(rapid.IntRange(0, int(maxDelay/time.Second)).Draw(t, "delay")) * time.Second
}

// randomEvent simulates one random event.
func (simulation *simulation) randomEvent(t *rapid.T) {
	owner := simulation.owner()
	worker := simulation.workers[rapid.IntRange(0, len(simulation.workers)-1).Draw(t, "worker")]
	switch rapid.SampledFrom([]string{
		"submit", "submit", "write", "write", "write", "deliver", "deliver", "deliver", "deliver", "fault",
		"tick", "tick", "tick", "wait", "finish", "finish", "fail", "restart", "cut", "cut", "unlist", "takeover", "partition",
		"cancel", "refuse", "late", "old", "old",
	}).Draw(t, "event") {
	case "submit":
		if len(simulation.jobs) < 8 {
			simulation.submit(drawJob(t))
		}
	case "write":
		simulation.write(rapid.IntRange(1, 5).Draw(t, "count"))
	case "deliver":
		simulation.deliver(owner, 0, 0)
	case "fault":
		simulation.deliver(owner, rapid.IntRange(1, 4).Draw(t, "fault"), drawDelay(t))
	case "tick":
		simulation.advance(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
	case "wait":
		for range rapid.IntRange(1, 12).Draw(t, "seconds") {
			simulation.advance(2 * time.Second)
			for range len(owner.pendingSyncs) {
				simulation.deliver(owner, 0, 0)
			}
		}
	case "finish", "fail":
		for _, id := range sortedKeys(worker.running) {
			outcome := rapid.SampledFrom([]executor.Outcome{executor.OutcomeDone, executor.OutcomeFailed}).Draw(t, "outcome")
			simulation.finishRun(worker, id, outcome)
			break
		}
	case "restart":
		worker.reset()
	case "cut":
		worker.disconnected = !worker.disconnected
	case "unlist":
		worker.unlisted = !worker.unlisted
		simulation.step(owner, simulation.listWorkers())
	case "takeover":
		simulation.takeOver()
	case "partition":
		simulation.partition(t, worker)
	case "cancel":
		if len(simulation.accepted) > 0 {
			simulation.request++
			simulation.step(owner, signaler.Cancel{
				Request: simulation.request,
				ID:      rapid.SampledFrom(simulation.accepted).Draw(t, "job"),
			})
		}
	case "refuse":
		simulation.refuseAppend()
	case "late":
		simulation.deliverDelayed(simulation.now.Add(maxDelay))
	case "old":
		if len(simulation.owners) > 1 {
			old := simulation.owners[len(simulation.owners)-2]
			simulation.step(old, signaler.Tick{})
			simulation.deliver(old, rapid.SampledFrom([]int{0, 0, 4}).Draw(t, "fault"), drawDelay(t))
		}
	}
}

// partition delays the current owner's messages to a worker and starts a new owner that can't reach it.
func (simulation *simulation) partition(t *rapid.T, worker *fakeWorker) {
	old := simulation.owner()
	simulation.advance(time.Duration(rapid.IntRange(0, 2500).Draw(t, "ms")) * time.Millisecond)
	for range len(old.pendingSyncs) {
		fault := 0
		if old.pendingSyncs[0].Worker == worker.id {
			fault = 4
		}
		simulation.deliver(old, fault, drawDelay(t))
	}
	simulation.takeOver()
	worker.unreachableFrom = simulation.owner()
	for range rapid.IntRange(0, 30).Draw(t, "rounds") {
		simulation.round(simulation.owner())
	}
}

func (simulation *simulation) advance(by time.Duration) {
	simulation.now = simulation.now.Add(by)
	simulation.deliverDelayed(simulation.now)
	for _, worker := range simulation.workers {
		simulation.expireLease(worker)
	}
	simulation.step(simulation.owner(), signaler.Tick{})
}

// finishAll ends all faults and advances the time until all runs have finished.
func (simulation *simulation) finishAll() {
	for _, worker := range simulation.workers {
		worker.disconnected, worker.unlisted, worker.unreachableFrom = false, false, nil
	}
	simulation.deliverDelayed(simulation.now.Add(maxDelay))
	owner := simulation.owner()
	simulation.step(owner, simulation.listWorkers())
	for round := range 400 {
		if round == 100 {
			simulation.cancelServices()
		}
		simulation.advance(time.Second)
		for len(owner.pendingAppends)+len(owner.pendingSyncs) > 0 {
			simulation.write(len(owner.pendingAppends))
			simulation.deliver(owner, 0, 0)
		}
		for _, worker := range simulation.workers {
			for _, id := range sortedKeys(worker.running) {
				if simulation.jobs[id.Job].Kind != descriptor.KindService {
					simulation.finishRun(worker, id, executor.OutcomeDone)
				}
			}
		}
	}
}

func (simulation *simulation) cancelServices() {
	for _, id := range simulation.accepted {
		if simulation.jobs[id].Kind == descriptor.KindService {
			simulation.request++
			simulation.step(simulation.owner(), signaler.Cancel{
				Request: simulation.request,
				ID:      id,
			})
		}
	}
}

// Guards, under random crashes of owners and workers and random loss and delay of messages, against:
//   - a task that runs on two workers at the same time
//   - a second run of a task that is not idempotent
//   - a worker that is loaded beyond its capacity
//   - NotRun for a task that ran, and Done for one that did not
//   - an accepted job that is lost or never ends
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(t, rapid.IntRange(1, 4).Draw(t, "workers"))
		for range rapid.IntRange(20, 150).Draw(t, "events") {
			simulation.randomEvent(t)
			simulation.checkFates()
		}
		simulation.finishAll()
		simulation.checkFates()
		for _, id := range simulation.accepted {
			status, _ := simulation.owner().Status(id, true)
			switch fate := status.Fate.Fate; {
			case fate == "Done", fate == "NotRun", fate == "Failed", fate == "Unknown":
			case fate == "Pending" && strings.HasPrefix(status.Fate.Reason, "larger than"):
				// The job can never run. It was accepted before the workers were known, by an owner that has
				// crashed since.
			default:
				t.Fatalf("job %s has the fate %v after all runs: %s", id, status.Fate, formatTrail(status))
			}
		}
	})
}

func formatTrail(status descriptor.JobStatus) string {
	text := fmt.Sprintf("%+v\n", status.Job)
	for _, decision := range status.Trail {
		text += fmt.Sprintf("%s %s: %s\n", decision.At.Format("04:05.000"), decision.Code, decision.Text)
	}
	return text
}

// startTask starts one idempotent task and returns the worker that runs it.
func (simulation *simulation) startTask() *fakeWorker {
	simulation.submit(descriptor.Job{
		Name:       "job",
		Caller:     "yard",
		Team:       "assay",
		Kind:       descriptor.KindBatch,
		Idempotent: true,
		Task:       capacity,
	})
	for range 5 {
		simulation.round(simulation.owner())
	}
	for _, worker := range simulation.workers {
		if len(worker.running) > 0 {
			return worker
		}
	}
	simulation.t.Fatal("the task is not running on any worker")
	return nil
}

// round advances the time by a second and lets the owners write and exchange messages.
func (simulation *simulation) round(owners ...*owner) {
	simulation.advance(time.Second)
	for _, owner := range owners {
		simulation.step(owner, signaler.Tick{})
		simulation.write(len(simulation.owner().pendingAppends))
		for range len(owner.pendingSyncs) {
			simulation.deliver(owner, 0, 0)
		}
	}
}

// Guards against two runs of one task in a network partition: the former owner, cut off from the store,
// keeps renewing the lease of the run's worker while the next owner, which reaches only the other workers,
// starts the task again.
func TestOwnersInTwoPartitions(t *testing.T) {
	simulation := newSimulation(t, 3)
	worker := simulation.startTask()
	old := simulation.owner()
	simulation.takeOver()
	worker.unreachableFrom = simulation.owner()
	for _, other := range simulation.workers {
		if other != worker {
			other.unreachableFrom = old
		}
	}
	for range 60 {
		simulation.round(old, simulation.owner())
	}
	for name, starts := range simulation.starts {
		if starts != 2 {
			t.Errorf("task %s was started %d times, want 2", name, starts)
		}
	}
}

// Guards against a lease renewal from the former owner that reaches the worker late. It would extend the
// lease beyond the time that the next owner waits, and the task would run on two workers.
func TestDelayedRenewal(t *testing.T) {
	for delay := time.Second; delay <= maxDelay; delay += time.Second {
		simulation := newSimulation(t, 3)
		worker := simulation.startTask()
		old := simulation.owner()
		for len(old.pendingSyncs) == 0 {
			simulation.advance(time.Second)
		}
		for len(old.pendingSyncs) > 0 {
			fault := 0
			if old.pendingSyncs[0].Worker == worker.id {
				fault = 4
			}
			simulation.deliver(old, fault, delay)
		}
		simulation.takeOver()
		worker.unreachableFrom = simulation.owner()
		for range 60 {
			simulation.round(simulation.owner())
		}
		for name, starts := range simulation.starts {
			if starts != 2 {
				t.Errorf("delay %v: task %s was started %d times, want 2", delay, name, starts)
			}
		}
	}
}

// Guards against renewing the lease of a worker that receives the owner's messages but whose replies are
// lost. Its run would neither end nor be started on another worker.
func TestLostReplies(t *testing.T) {
	simulation := newSimulation(t, 3)
	simulation.startTask().repliesLostTo = simulation.owner()
	for range 60 {
		simulation.round(simulation.owner())
	}
	for name, starts := range simulation.starts {
		if starts != 2 {
			t.Errorf("task %s was started %d times, want 2", name, starts)
		}
	}
}
