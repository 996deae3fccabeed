package throttler

import (
	"slices"
	"time"

	"pomelomoor/internal/shard/monitor"
)

// Throttler tracks the workers to check for memory pressure and the runs it has throttled. The zero value
// is ready to use.
type Throttler struct {
	// pendingWorkers lists the workers to check in the next call of Relieve.
	pendingWorkers []*monitor.Worker
	// throttledRuns lists the runs that were told to reduce their memory use, with their workers.
	throttledRuns []Relief
}

// QueueCheck queues a worker for a check because its runs reported their memory use.
func (throttler *Throttler) QueueCheck(worker *monitor.Worker) {
	if count := len(throttler.pendingWorkers); count == 0 || throttler.pendingWorkers[count-1] != worker {
		throttler.pendingWorkers = append(throttler.pendingWorkers, worker)
	}
}

// QueueThrottled queues the workers of throttled runs that still exceed their declared memory. It does
// not depend on new reports, because these omit runs whose use has not changed.
func (throttler *Throttler) QueueThrottled() {
	throttler.throttledRuns = slices.DeleteFunc(throttler.throttledRuns, func(relief Relief) bool {
		return relief.Run.Ended || relief.Run.Stop || relief.Run.Checkpoint
	})
	for _, relief := range throttler.throttledRuns {
		if ExcessMemory(relief.Run) > 0 {
			throttler.QueueCheck(relief.Worker)
		}
	}
}

// Relieve checks the queued workers, marks the runs to be throttled or checkpointed and returns all
// actions. Runs to be stopped are left to the caller. If the owner lacks the authority to act, Relieve
// only clears the queue.
func (throttler *Throttler) Relieve(now time.Time, mayAct bool) []Relief {
	workers := throttler.pendingWorkers
	throttler.pendingWorkers = nil
	if !mayAct {
		return nil
	}
	var reliefs []Relief
	for _, worker := range workers {
		for _, relief := range PlanRelief(now, worker.Description.Capacity, worker.SortedRuns()) {
			relief.Worker = worker
			relief.apply(now)
			if relief.Action == Throttle {
				throttler.throttledRuns = append(throttler.throttledRuns, relief)
			}
			reliefs = append(reliefs, relief)
		}
	}
	return reliefs
}

// apply marks the run for the action. Stopping is left to the caller of Relieve.
func (relief *Relief) apply(now time.Time) {
	switch relief.Action {
	case Throttle:
		relief.Run.Throttled = now
	case Checkpoint:
		relief.Run.Checkpoint = true
	case Stop:
	}
}

// String returns the action as a past participle, for use in messages.
func (action Action) String() string {
	switch action {
	case Throttle:
		return "throttled"
	case Checkpoint:
		return "checkpointed"
	default:
		return "stopped"
	}
}
