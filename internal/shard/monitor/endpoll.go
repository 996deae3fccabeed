package monitor

// An end poll is a message to a worker that is sent only to learn whether a run has ended. It is sent when
// the run is expected to end, so that the end is known before the next regular message.

import (
	"time"

	"pomelomoor/internal/shard/arbiter"
)

const (
	// SyncInterval is the time between two messages to a worker for which there are no commands.
	SyncInterval = 2 * time.Second
	// minEndPollInterval is the minimum time between any message to a worker and a subsequent end poll. It is
	// also the first gap between two end polls for a run that is past its expected end.
	minEndPollInterval = 100 * time.Millisecond
	// expectedEndMargin is added to the expected end of a run, so that a run which takes exactly the
	// expected time has ended when the worker is polled.
	expectedEndMargin = 20 * time.Millisecond
)

// SetExpectedEnd sets the expected end of a run that was reported for the first time. Each run adds one
// end poll to the worker's EndPollsLeft, which all runs on the worker share. An end poll that finds an
// ended run is not counted: ScheduleEndPoll adds it to EndPollsLeft again. So runs that outlast their
// estimates don't increase the number of messages any further.
func (worker *Worker) SetExpectedEnd(now time.Time, run *arbiter.Run, remaining time.Duration) {
	if run.Job.IsService() {
		return
	}
	run.NextEndPoll = now.Add(remaining + expectedEndMargin)
	run.EndPollGap = 0
	worker.EndPollsLeft++
}

// ScheduleEndPoll schedules the next end poll after a report. For a run that is past its expected end,
// the gap between polls doubles until it reaches SyncInterval; from then on the regular messages are
// enough. The argument ended is true if the worker has fewer runs than before the report.
func (worker *Worker) ScheduleEndPoll(now time.Time, ended bool) {
	if worker.EndPollInFlight && ended {
		worker.EndPollsLeft++
	}
	worker.EndPollInFlight = false
	worker.NextEndPoll = time.Time{}
	for _, run := range worker.Runs {
		if run.NextEndPoll.IsZero() {
			continue
		}
		if !now.Before(run.NextEndPoll) {
			run.EndPollGap = max(2*run.EndPollGap, minEndPollInterval)
			run.NextEndPoll = now.Add(run.EndPollGap)
		}
		if run.EndPollGap >= SyncInterval {
			run.NextEndPoll = time.Time{}
			continue
		}
		if worker.NextEndPoll.IsZero() || run.NextEndPoll.Before(worker.NextEndPoll) {
			worker.NextEndPoll = run.NextEndPoll
		}
	}
}

// TakeEndPoll reports whether an end poll is due, and takes it from EndPollsLeft if so.
func (worker *Worker) TakeEndPoll(now time.Time) bool {
	if worker.NextEndPoll.IsZero() || now.Before(worker.NextEndPoll) || now.Sub(worker.LastSent) < minEndPollInterval {
		return false
	}
	if worker.EndPollsLeft == 0 || worker.InFlight || worker.Unresponsive {
		return false
	}
	worker.EndPollInFlight = true
	worker.EndPollsLeft--
	worker.NextEndPoll = time.Time{}
	return true
}
