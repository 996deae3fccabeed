package dispatcher

import (
	"time"

	"pomelomoor/internal/shard/arbiter"
	"pomelomoor/internal/shard/monitor"
	"pomelomoor/internal/shard/signaler"
	"pomelomoor/internal/shard/throttler"
	"pomelomoor/internal/work/descriptor"
)

// recordUsage passes the usage that a worker reported for a run to the allocator and the throttler.
func (dispatcher *Dispatcher) recordUsage(worker *monitor.Worker, run *arbiter.Run, usage descriptor.Usage) {
	run.Usage = usage
	dispatcher.allocator.ObserveUsage(run.Job.QueuedJob, run.ID, usage)
	dispatcher.throttler.QueueCheck(worker)
}

// relieveMemory throttles, checkpoints or stops runs on workers whose memory is nearly full. It looks at
// the workers whose runs have reported their usage since the last call.
func (dispatcher *Dispatcher) relieveMemory(now time.Time) {
	for _, relief := range dispatcher.throttler.Relieve(now, dispatcher.authority == signaler.AuthorityFull) {
		run := relief.Run
		dispatcher.addDecision(now, run.Job, "Relieved", "task %d is %s: it uses %d bytes more than declared while %s is nearly full",
			run.ID.Task, relief.Action, throttler.ExcessMemory(run), run.Worker)
		if relief.Action == throttler.Stop {
			dispatcher.stopRun(now, run, "used more memory than declared on a worker that was nearly full")
			continue
		}
		dispatcher.requestSync(relief.Worker)
	}
}
