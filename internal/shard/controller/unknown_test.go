package controller

import (
	"testing"
	"time"

	"pomelomoor/internal/shard/signaler"
	"pomelomoor/internal/work/descriptor"
)

// Guards against a job that one owner reports as Unknown and the next as Pending. This happens if the first
// owner derives Unknown from the end of a run before the record of that end is durable.
func TestUnknownAcrossTakeover(t *testing.T) {
	simulation := newSimulation(t, 2)
	simulation.usesDeclared = true
	id := simulation.submit(descriptor.Job{
		Name:   "job",
		Caller: "yard",
		Team:   "assay",
		Kind:   descriptor.KindBatch,
		Tasks:  2,
		Task:   capacity,
	})
	owner := simulation.owner()
	// The message that starts the first task is lost, and the worker of the second task restarts.
	for range 10 {
		simulation.advance(time.Second)
		simulation.write(len(owner.pendingAppends))
		for range len(owner.pendingSyncs) {
			fault := 0
			starts := owner.pendingSyncs[0].Request.Start
			if len(starts) > 0 && starts[0].Run.Task == 0 {
				fault = 1
			}
			simulation.deliver(owner, fault, 0)
			if fault > 0 {
				simulation.taskWorker(0).disconnected = true
			}
		}
		for _, worker := range simulation.workers {
			if len(worker.running) > 0 {
				worker.reset()
			}
		}
	}
	simulation.request++
	simulation.step(owner, signaler.Cancel{
		Request: simulation.request,
		ID:      id,
	})
	simulation.write(len(owner.pendingAppends))
	simulation.checkFates()
	simulation.taskWorker(0).disconnected = false
	for range 5 {
		simulation.advance(time.Second)
		for range len(owner.pendingSyncs) {
			simulation.deliver(owner, 0, 0)
		}
		simulation.checkFates()
	}
	simulation.takeOver()
	simulation.checkFates()
}

// taskWorker returns the worker on which a task of the first accepted job was placed.
func (simulation *simulation) taskWorker(task int) *fakeWorker {
	status, _ := simulation.owner().Status(simulation.accepted[0], false)
	return simulation.workerByID(status.Tasks[task].Worker)
}
