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
	dispatcher.throttler.Reported(worker)
}

// relieve keeps workers from running out of memory, as far as reports came in since the last call.
func (dispatcher *Dispatcher) relieve(now time.Time) {
	for _, relief := range dispatcher.throttler.Relieve(now, dispatcher.authority == signaler.AuthorityAct) {
		run := relief.Run
		dispatcher.note(now, run.Job, "Relieved", "task %d is %s: it uses %d bytes more than declared while %s is nearly full",
			run.ID.Task, relief.Measure, throttler.Excess(run), run.Worker)
		if relief.Measure == throttler.Stop {
			dispatcher.stop(now, run, "used more memory than declared on a worker that was nearly full")
			continue
		}
		dispatcher.wake(relief.Worker)
	}
}
