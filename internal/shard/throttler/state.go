package throttler

import (
	"slices"
	"time"

	"pomelomoor/internal/shard/watcher"
)

// Throttler keeps the workers that have to be looked at. The zero value is ready.
type Throttler struct {
	workers []*watcher.Worker
	// throttled lists the runs that were told to shrink, with their workers.
	throttled []Relief
}

// Reported has a worker looked at because its runs reported their use.
func (throttler *Throttler) Reported(worker *watcher.Worker) {
	if count := len(throttler.workers); count == 0 || throttler.workers[count-1] != worker {
		throttler.workers = append(throttler.workers, worker)
	}
}

// Review has the workers looked at whose throttled runs may not have shrunk, without a new report.
func (throttler *Throttler) Review() {
	throttler.throttled = slices.DeleteFunc(throttler.throttled, func(relief Relief) bool {
		return relief.Run.Ended || relief.Run.Stop || relief.Run.Checkpoint
	})
	for _, relief := range throttler.throttled {
		if Excess(relief.Run) > 0 {
			throttler.Reported(relief.Worker)
		}
	}
}

// Relieve looks at the workers and marks the runs to be throttled or checkpointed. Those to be stopped
// are left to the caller. Nothing is done if the owner may not act.
func (throttler *Throttler) Relieve(now time.Time, act bool) []Relief {
	workers := throttler.workers
	throttler.workers = nil
	if !act {
		return nil
	}
	var chosen []Relief
	for _, worker := range workers {
		for _, relief := range Choose(now, worker.Description.Capacity, worker.SortedRuns()) {
			relief.Worker = worker
			relief.mark(now)
			if relief.Measure == Throttle {
				throttler.throttled = append(throttler.throttled, relief)
			}
			chosen = append(chosen, relief)
		}
	}
	return chosen
}

func (relief *Relief) mark(now time.Time) {
	switch relief.Measure {
	case Throttle:
		relief.Run.Throttled = now
	case Checkpoint:
		relief.Run.Checkpoint = true
	case Stop:
	}
}

// String returns what is done to the run.
func (measure Measure) String() string {
	switch measure {
	case Throttle:
		return "throttled"
	case Checkpoint:
		return "checkpointed"
	default:
		return "stopped"
	}
}
