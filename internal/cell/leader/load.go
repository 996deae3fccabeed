package leader

import (
	"context"
	"syscall"
	"time"

	"pomelomoor/internal/cell/scheduler"
	"pomelomoor/internal/cell/watcher"
)

const (
	// loadInterval is the time between two reports of the load.
	loadInterval = time.Second
	// stallLimit is how long a term may go without a pass before it ends, so that another instance can lead.
	stallLimit = 4 * time.Second
)

// LoadReport tells what a leader did in an interval and what waits at its end. A leader whose pauses between passes grow
// together with its waiting steps falls behind.
type LoadReport struct {
	Interval time.Duration
	// Processor is the processor time that the process used.
	Processor time.Duration
	Passes    int
	// PassTime is the time spent in passes, LongestPass the longest of them, and LongestPause the longest time from
	// the start of one pass to the start of the next.
	PassTime, LongestPass, LongestPause time.Duration
	// Updates counts the answers and submissions that were handled, and Queries the questions of callers.
	Updates, Queries int
	// Jobs counts the jobs that have not ended and WaitingSteps the steps with tasks to place, among them OverdueSteps
	// whose jobs have no value left.
	Jobs, WaitingSteps, OverdueSteps int
	// Scarcity tells how much room there is and what gives way.
	scheduler.Scarcity
	// WaitingAdvice counts the requests that wait for an instance, WaitingStarts the starts that wait to be sent, and
	// OpenStarts and OpenStops the orders that wait for an answer.
	WaitingAdvice, WaitingStarts, OpenStarts, OpenStops int
	// Organisations is the load of each organisation.
	Organisations []scheduler.OrganisationLoad
}

// loadMeter collects the load of the current interval. The leader's mutex guards it.
type loadMeter struct {
	load     LoadReport
	lastPass time.Time
}

// notePass notes a pass that began at start.
func (loadMeter *loadMeter) notePass(start time.Time, took time.Duration) {
	load := &loadMeter.load
	load.Passes++
	load.PassTime += took
	load.LongestPass = max(load.LongestPass, took)
	if !loadMeter.lastPass.IsZero() {
		load.LongestPause = max(load.LongestPause, start.Sub(loadMeter.lastPass))
	}
	loadMeter.lastPass = start
}

// reportLoad passes the load of each interval to the observer until ctx ends.
func (leader *Leader) reportLoad(ctx context.Context) error {
	start, processorStart := time.Now(), processorTime()
	for {
		watcher.Sleep(ctx, loadInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		now, processorNow := time.Now(), processorTime()
		leader.mutex.Lock()
		load := leader.meter.load
		leader.meter.load = LoadReport{}
		if !leader.meter.lastPass.IsZero() {
			load.LongestPause = max(load.LongestPause, now.Sub(leader.meter.lastPass))
		}
		load.Jobs, load.WaitingSteps, load.OverdueSteps = leader.scheduler.Backlog(now)
		load.Organisations = leader.scheduler.OrganisationLoads()
		load.Scarcity = leader.scheduler.Scarcity()
		leader.mutex.Unlock()
		load.Interval = now.Sub(start)
		load.Processor = processorNow - processorStart
		load.WaitingAdvice = leader.advisor.Waiting()
		load.WaitingStarts, load.OpenStarts = leader.starts.counts()
		load.OpenStops = len(leader.openStops)
		start, processorStart = now, processorNow
		leader.options.Observer.Loaded(load)
		if load.Passes == 0 && load.LongestPause > stallLimit {
			leader.cancelTerm(errStalled)
		}
	}
}

// processorTime returns the processor time that the process has used, or 0 if the system does not tell.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		// The load is then reported without the processor time.
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
