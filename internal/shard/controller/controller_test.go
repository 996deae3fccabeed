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

func (world *world) submit(job descriptor.Job) descriptor.JobID {
	world.nonce++
	world.request++
	id := registrar.NewJobID("hof-0", &job, world.now, world.nonce)
	world.jobs[id] = job
	world.step(world.owner(), signaler.Accept{
		Request: world.request,
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

// happen lets one random thing happen.
func (world *world) happen(t *rapid.T) {
	owner := world.owner()
	machine := world.workers[rapid.IntRange(0, len(world.workers)-1).Draw(t, "worker")]
	switch rapid.SampledFrom([]string{
		"submit", "submit", "write", "write", "write", "deliver", "deliver", "deliver", "deliver", "fault",
		"tick", "tick", "tick", "wait", "finish", "finish", "fail", "restart", "cut", "cut", "unlist", "takeover", "partition",
		"cancel", "refuse", "late", "old", "old",
	}).Draw(t, "event") {
	case "submit":
		if len(world.jobs) < 8 {
			world.submit(drawJob(t))
		}
	case "write":
		world.write(rapid.IntRange(1, 5).Draw(t, "count"))
	case "deliver":
		world.deliver(owner, 0, 0)
	case "fault":
		world.deliver(owner, rapid.IntRange(1, 4).Draw(t, "fault"), drawDelay(t))
	case "tick":
		world.advance(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
	case "wait":
		for range rapid.IntRange(1, 12).Draw(t, "seconds") {
			world.advance(2 * time.Second)
			for range len(owner.network) {
				world.deliver(owner, 0, 0)
			}
		}
	case "finish", "fail":
		for _, id := range sortedKeys(machine.running) {
			outcome := rapid.SampledFrom([]executor.Outcome{executor.OutcomeDone, executor.OutcomeFailed}).Draw(t, "outcome")
			world.finish(machine, id, outcome)
			break
		}
	case "restart":
		machine.reset()
	case "cut":
		machine.cut = !machine.cut
	case "unlist":
		machine.unlisted = !machine.unlisted
		world.step(owner, world.list())
	case "takeover":
		world.takeOver()
	case "partition":
		world.partition(t, machine)
	case "cancel":
		if len(world.accepted) > 0 {
			world.request++
			world.step(owner, signaler.Cancel{
				Request: world.request,
				ID:      rapid.SampledFrom(world.accepted).Draw(t, "job"),
			})
		}
	case "refuse":
		world.refuse()
	case "late":
		world.arrive(world.now.Add(maxDelay))
	case "old":
		if len(world.owners) > 1 {
			old := world.owners[len(world.owners)-2]
			world.step(old, signaler.Tick{})
			world.deliver(old, rapid.SampledFrom([]int{0, 0, 4}).Draw(t, "fault"), drawDelay(t))
		}
	}
}

// partition hides a worker from the next owner, while the last one's messages to it come late.
func (world *world) partition(t *rapid.T, machine *machine) {
	old := world.owner()
	world.advance(time.Duration(rapid.IntRange(0, 2500).Draw(t, "ms")) * time.Millisecond)
	for range len(old.network) {
		fault := 0
		if old.network[0].Worker == machine.id {
			fault = 4
		}
		world.deliver(old, fault, drawDelay(t))
	}
	world.takeOver()
	machine.hidden = world.owner()
	for range rapid.IntRange(0, 30).Draw(t, "rounds") {
		world.round(world.owner())
	}
}

func (world *world) advance(by time.Duration) {
	world.now = world.now.Add(by)
	world.arrive(world.now)
	for _, machine := range world.workers {
		world.lapse(machine)
	}
	world.step(world.owner(), signaler.Tick{})
}

// settle ends all faults and lets all runs finish.
func (world *world) settle() {
	for _, machine := range world.workers {
		machine.cut, machine.unlisted, machine.hidden = false, false, nil
	}
	world.arrive(world.now.Add(maxDelay))
	owner := world.owner()
	world.step(owner, world.list())
	for round := range 400 {
		if round == 100 {
			world.cancelServices()
		}
		world.advance(time.Second)
		for len(owner.queue)+len(owner.network) > 0 {
			world.write(len(owner.queue))
			world.deliver(owner, 0, 0)
		}
		for _, machine := range world.workers {
			for _, id := range sortedKeys(machine.running) {
				if world.jobs[id.Job].Kind != descriptor.KindService {
					world.finish(machine, id, executor.OutcomeDone)
				}
			}
		}
	}
}

func (world *world) cancelServices() {
	for _, id := range world.accepted {
		if world.jobs[id].Kind == descriptor.KindService {
			world.request++
			world.step(world.owner(), signaler.Cancel{
				Request: world.request,
				ID:      id,
			})
		}
	}
}

// Guards against a run in two places, a second run of work that must not be repeated, a worker beyond
// its capacity, NotRun for work that ran, Done for work that did not, an accepted job that is lost or
// never comes to an end, under random crashes of owners and workers and losses of messages.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(t, rapid.IntRange(1, 4).Draw(t, "workers"))
		for range rapid.IntRange(20, 150).Draw(t, "events") {
			world.happen(t)
			world.check()
		}
		world.settle()
		world.check()
		for _, id := range world.accepted {
			status, _ := world.owner().Status(id, true)
			switch fate := status.Fate.Fate; {
			case fate == "Done", fate == "NotRun", fate == "Failed", fate == "Unknown":
			case fate == "Pending" && strings.HasPrefix(status.Fate.Reason, "larger than"):
				// Accepted before the workers were known, by an owner that has crashed since.
			default:
				t.Fatalf("job %s is %v in the end: %s", id, status.Fate, trail(status))
			}
		}
	})
}

func trail(status descriptor.JobStatus) string {
	text := fmt.Sprintf("%+v\n", status.Job)
	for _, decision := range status.Trail {
		text += fmt.Sprintf("%s %s: %s\n", decision.At.Format("04:05.000"), decision.Code, decision.Text)
	}
	return text
}

// place runs one idempotent task and returns the worker that it is on.
func (world *world) place() *machine {
	world.submit(descriptor.Job{
		Name:       "job",
		Caller:     "yard",
		Team:       "assay",
		Kind:       descriptor.KindBatch,
		Idempotent: true,
		Task:       capacity,
	})
	for range 5 {
		world.round(world.owner())
	}
	for _, machine := range world.workers {
		if len(machine.running) > 0 {
			return machine
		}
	}
	world.t.Fatal("the task does not run")
	return nil
}

// round lets a second pass in which the owners write and exchange messages.
func (world *world) round(owners ...*owner) {
	world.advance(time.Second)
	for _, owner := range owners {
		world.step(owner, signaler.Tick{})
		world.write(len(world.owner().queue))
		for range len(owner.network) {
			world.deliver(owner, 0, 0)
		}
	}
}

// Guards against an owner cut off from the store that keeps a run alive while the next owner, which
// reaches the other workers, starts it again.
func TestOwnersInTwoPartitions(t *testing.T) {
	world := newWorld(t, 3)
	machine := world.place()
	old := world.owner()
	world.takeOver()
	machine.hidden = world.owner()
	for _, other := range world.workers {
		if other != machine {
			other.hidden = old
		}
	}
	for range 60 {
		world.round(old, world.owner())
	}
	for name, starts := range world.starts {
		if starts != 2 {
			t.Errorf("task %s was started %d times, want 2", name, starts)
		}
	}
}

// Guards against a renewal of the last owner that reaches its worker late, extends the lease beyond the
// next owner's wait and leaves the task running in two places.
func TestDelayedRenewal(t *testing.T) {
	for delay := time.Second; delay <= maxDelay; delay += time.Second {
		world := newWorld(t, 3)
		machine := world.place()
		old := world.owner()
		for len(old.network) == 0 {
			world.advance(time.Second)
		}
		for len(old.network) > 0 {
			fault := 0
			if old.network[0].Worker == machine.id {
				fault = 4
			}
			world.deliver(old, fault, delay)
		}
		world.takeOver()
		machine.hidden = world.owner()
		for range 60 {
			world.round(world.owner())
		}
		for name, starts := range world.starts {
			if starts != 2 {
				t.Errorf("delay %v: task %s was started %d times, want 2", delay, name, starts)
			}
		}
	}
}

// Guards against renewing the lease of a worker that hears its owner but is not heard: its run would
// neither end nor start elsewhere.
func TestLostReplies(t *testing.T) {
	world := newWorld(t, 3)
	world.place().muted = world.owner()
	for range 60 {
		world.round(world.owner())
	}
	for name, starts := range world.starts {
		if starts != 2 {
			t.Errorf("task %s was started %d times, want 2", name, starts)
		}
	}
}
