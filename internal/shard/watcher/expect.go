package watcher

import (
	"time"

	"pomelomoor/internal/shard/arbiter"
)

const (
	// Interval is the time between two messages to a worker for which there are no commands.
	Interval = 2 * time.Second
	// minEndPollInterval is the minimum time between any message and a subsequent end poll, which is a
	// message sent only to learn whether a run has ended.
	minEndPollInterval = 100 * time.Millisecond
	// expectedEndMargin is added to the expected end of a run, so that a run which takes exactly the
	// expected time has ended when the worker is polled.
	expectedEndMargin = 20 * time.Millisecond
)

// Expect sets the expected end of a run that was reported for the first time. Each run adds one end poll to
// the budget, and only an end poll that finds an ended run is refunded. So runs that outlast their
// estimates don't increase the number of messages any further.
func (worker *Worker) Expect(now time.Time, run *arbiter.Run, remaining time.Duration) {
	if run.Job.Service() {
		return
	}
	run.Expected = now.Add(remaining + expectedEndMargin)
	run.Gap = 0
	worker.EndPollBudget++
}

// Plan schedules the next end poll after a report. For a run that is past its expected end, the gap between
// polls doubles until it reaches Interval; from then on the regular messages are enough. The argument
// ended is true if the report contains the end of a run.
func (worker *Worker) Plan(now time.Time, ended bool) {
	if worker.Question && ended {
		worker.EndPollBudget++
	}
	worker.Question = false
	worker.NextEndPoll = time.Time{}
	for _, run := range worker.Runs {
		if run.Expected.IsZero() {
			continue
		}
		if !now.Before(run.Expected) {
			run.Gap = max(2*run.Gap, minEndPollInterval)
			run.Expected = now.Add(run.Gap)
		}
		if run.Gap >= Interval {
			run.Expected = time.Time{}
			continue
		}
		if worker.NextEndPoll.IsZero() || run.Expected.Before(worker.NextEndPoll) {
			worker.NextEndPoll = run.Expected
		}
	}
}

// AskForEnd reports whether an end poll is due, and takes it from the budget if so.
func (worker *Worker) AskForEnd(now time.Time) bool {
	if worker.NextEndPoll.IsZero() || now.Before(worker.NextEndPoll) || now.Sub(worker.Asked) < minEndPollInterval {
		return false
	}
	if worker.EndPollBudget == 0 || worker.InFlight || worker.Suspect {
		return false
	}
	worker.Question = true
	worker.EndPollBudget--
	worker.NextEndPoll = time.Time{}
	return true
}
