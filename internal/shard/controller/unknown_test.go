package controller

import (
	"testing"
	"time"

	"pomelomoor/internal/shard/signaler"
	"pomelomoor/internal/work/descriptor"
)

// Guards against a job that is reported as Unknown by an owner and as Pending by the next one, which
// does not know of an end that was not durable.
func TestUnknownAcrossTakeover(t *testing.T) {
	world := newWorld(t, 2)
	world.honest = true
	id := world.submit(descriptor.Job{
		Name:   "job",
		Caller: "yard",
		Team:   "assay",
		Kind:   descriptor.KindBatch,
		Tasks:  2,
		Task:   capacity,
	})
	owner := world.owner()
	// The start of the first task is lost on its way, and the worker of the second one restarts.
	for range 10 {
		world.advance(time.Second)
		world.write(len(owner.queue))
		for range len(owner.network) {
			fault := 0
			starts := owner.network[0].Request.Start
			if len(starts) > 0 && starts[0].Run.Task == 0 {
				fault = 1
			}
			world.deliver(owner, fault, 0)
			if fault > 0 {
				world.worker(0).cut = true
			}
		}
		for _, machine := range world.workers {
			if len(machine.running) > 0 {
				machine.reset()
			}
		}
	}
	world.request++
	world.step(owner, signaler.Cancel{
		Request: world.request,
		ID:      id,
	})
	world.write(len(owner.queue))
	world.check()
	world.worker(0).cut = false
	for range 5 {
		world.advance(time.Second)
		for range len(owner.network) {
			world.deliver(owner, 0, 0)
		}
		world.check()
	}
	world.takeOver()
	world.check()
}

// worker returns the one that the task was placed on.
func (world *world) worker(task int) *machine {
	status, _ := world.owner().Status(world.accepted[0], false)
	return world.machine(status.Tasks[task].Worker)
}
