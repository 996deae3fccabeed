package dispatcher

import (
	"time"

	"pomelomoor/internal/shard/arbiter"
	"pomelomoor/internal/shard/signaler"
	"pomelomoor/internal/shard/throttler"
	"pomelomoor/internal/shard/watcher"
	"pomelomoor/internal/work/descriptor"
)

func (dispatcher *Dispatcher) observe(worker *watcher.Worker, run *arbiter.Run, usage descriptor.Usage) {
	run.Usage = usage
	dispatcher.allocator.Observe(run.Job.Work, run.ID, usage)
	if count := len(dispatcher.pressed); count == 0 || dispatcher.pressed[count-1] != worker {
		dispatcher.pressed = append(dispatcher.pressed, worker)
	}
}

// relieve keeps workers from running out of memory, as far as reports came in since the last call.
func (dispatcher *Dispatcher) relieve(now time.Time) {
	pressed := dispatcher.pressed
	dispatcher.pressed = nil
	if dispatcher.authority != signaler.AuthorityAct {
		return
	}
	for _, worker := range pressed {
		for _, relief := range throttler.Choose(worker.Description.Capacity, worker.SortedRuns()) {
			dispatcher.curb(now, worker, relief)
		}
	}
}

func (dispatcher *Dispatcher) curb(now time.Time, worker *watcher.Worker, relief throttler.Relief) {
	run := relief.Run
	job := run.Job
	excess := throttler.Excess(run)
	switch relief.Measure {
	case throttler.Throttle:
		run.Throttled = now
		dispatcher.note(now, job, "Throttled", "task %d uses %d bytes more than declared while %s is nearly full", run.ID.Task, excess, worker.ID)
		dispatcher.wake(worker)
	case throttler.Checkpoint:
		run.Checkpoint = true
		dispatcher.note(now, job, "Relieved", "task %d is checkpointed: it uses %d bytes more than declared while %s is nearly full", run.ID.Task, excess, worker.ID)
		dispatcher.wake(worker)
	case throttler.Stop:
		dispatcher.note(now, job, "Relieved", "task %d is stopped: it uses %d bytes more than declared while %s is nearly full", run.ID.Task, excess, worker.ID)
		dispatcher.stop(now, run, "used more memory than declared on a worker that was nearly full")
	}
}
