package watcher

import (
	"time"

	"pomelomoor/internal/shard/arbiter"
)

const (
	// Interval is the time between two messages to a worker that has no commands.
	Interval = 2 * time.Second
	// minGap is the least time between two messages that only ask for the end of a run.
	minGap = 100 * time.Millisecond
	// slack is added to the expected end of a run, so that a run as long as expected is not missed.
	slack = 20 * time.Millisecond
)

// Expect notes the expected rest of a run that was reported for the first time. Each run allows one
// message in vain, so that runs which outlast their estimates cannot multiply the messages.
func (worker *Worker) Expect(now time.Time, run *arbiter.Run, remaining time.Duration) {
	if run.Job.Service() {
		return
	}
	run.Expected = now.Add(remaining + slack)
	run.Gap = 0
	worker.Questions++
}

// Plan decides after a report when to ask for the end of the next run. Runs that go on although their
// end was expected are asked for after gaps that double up to the regular interval. Ended tells that the
// report contains the end of a run.
func (worker *Worker) Plan(now time.Time, ended bool) {
	if worker.Question && ended {
		worker.Questions++
	}
	worker.Question = false
	worker.Expected = time.Time{}
	for _, run := range worker.Runs {
		if run.Expected.IsZero() {
			continue
		}
		if !now.Before(run.Expected) {
			run.Gap = max(2*run.Gap, minGap)
			run.Expected = now.Add(run.Gap)
		}
		if run.Gap >= Interval {
			run.Expected = time.Time{}
			continue
		}
		if worker.Expected.IsZero() || run.Expected.Before(worker.Expected) {
			worker.Expected = run.Expected
		}
	}
}

// AskForEnd reports whether it is time to ask for the end of a run, and counts the message.
func (worker *Worker) AskForEnd(now time.Time) bool {
	if worker.Expected.IsZero() || now.Before(worker.Expected) || now.Sub(worker.Asked) < minGap {
		return false
	}
	if worker.Questions == 0 || worker.InFlight || worker.Suspect {
		return false
	}
	worker.Question = true
	worker.Questions--
	worker.Expected = time.Time{}
	return true
}
