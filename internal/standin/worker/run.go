package worker

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"pomelomoor/internal/gateway/executor"
	"pomelomoor/internal/work/descriptor"
)

// Payload describes how to simulate a task. All fields are optional.
type Payload struct {
	// RunTime is how long the task runs. Without it, a service runs until it is stopped, and any other task
	// for the worker's default run time.
	RunTime descriptor.Duration `json:",omitzero"`
	// Use is the actual resource usage. The default is the declared size.
	Use *descriptor.Resources `json:",omitempty"`
	// UseAfter is the time from the start until Use applies. Before it, usage is at most the declared size.
	UseAfter descriptor.Duration `json:",omitzero"`
	// Fail makes the task fail when its run time has passed.
	Fail bool `json:",omitempty"`
}

// checkpointSeparator separates the run from its progress in the name of a checkpoint.
const checkpointSeparator = "@"

// run is the state of a run in progress.
type run struct {
	start        executor.Start
	payload      Payload
	untilStopped bool
	started      time.Time
	// restoredProgress is the progress in the checkpoint from which the run started.
	restoredProgress time.Duration
	// throttledAt is zero for a run that is not throttled.
	throttledAt time.Time
	endTimer    *time.Timer
	// recordIndex is the index of the run's record in the history.
	recordIndex int
}

func newRun(start executor.Start, defaultRunTime time.Duration, now time.Time) *run {
	run := &run{
		start:   start,
		started: now,
	}
	// The payload may be of another format. Such a task gets the defaults.
	_ = json.Unmarshal([]byte(start.Payload), &run.payload)
	if run.payload.RunTime.Duration == 0 {
		run.untilStopped = start.Kind == descriptor.KindService
		run.payload.RunTime.Duration = defaultRunTime
	}
	if _, progress, ok := strings.Cut(start.Checkpoint, checkpointSeparator); ok {
		run.restoredProgress, _ = time.ParseDuration(progress)
	}
	return run
}

// checkpoint returns the name of a checkpoint. The name holds the progress, so that any worker can resume it.
func (run *run) checkpoint(now time.Time) string {
	return fmt.Sprintf("%s%s%s", run.start.Run, checkpointSeparator, run.progress(now))
}

func (run *run) progress(now time.Time) time.Duration {
	if run.throttledAt.IsZero() {
		return run.restoredProgress + now.Sub(run.started)
	}
	throttledProgress := float64(now.Sub(run.throttledAt)) * run.speed()
	return run.restoredProgress + run.throttledAt.Sub(run.started) + time.Duration(throttledProgress)
}

// remaining returns the time until the run ends at its current speed.
func (run *run) remaining(now time.Time) time.Duration {
	remainingWork := float64(run.payload.RunTime.Duration - run.progress(now))
	return time.Duration(remainingWork / run.speed())
}

// speed returns the relative speed of the run. It is less than 1 for a throttled run whose unrestricted
// processor usage exceeds the declared one.
func (run *run) speed() float64 {
	declared, wanted := run.start.Task.MilliCPU, run.unrestrictedUse().MilliCPU
	if run.throttledAt.IsZero() || wanted <= declared || declared <= 0 {
		return 1
	}
	return float64(declared) / float64(wanted)
}

// unrestrictedUse returns the usage of a run that is not throttled, after Payload.UseAfter.
func (run *run) unrestrictedUse() descriptor.Resources {
	if run.payload.Use == nil {
		return run.start.Task
	}
	return *run.payload.Use
}

// useAt returns the usage at a time since the start of the run.
func (run *run) useAt(at time.Time) descriptor.Resources {
	isThrottled := !run.throttledAt.IsZero() && !at.Before(run.throttledAt)
	if isThrottled || at.Before(run.started.Add(run.payload.UseAfter.Duration)) {
		return run.restrictedUse()
	}
	return run.unrestrictedUse()
}

// restrictedUse returns the usage of a run that is throttled or before Payload.UseAfter. It is limited to the
// declared size.
func (run *run) restrictedUse() descriptor.Resources {
	unrestricted, declared := run.unrestrictedUse(), run.start.Task
	return descriptor.Resources{
		MilliCPU:     min(unrestricted.MilliCPU, declared.MilliCPU),
		MemoryBytes:  min(unrestricted.MemoryBytes, declared.MemoryBytes),
		Accelerators: min(unrestricted.Accelerators, declared.Accelerators),
	}
}

// peak returns the largest usage from the start until now.
func (run *run) peak(now time.Time) descriptor.Resources {
	useBegins := run.started.Add(run.payload.UseAfter.Duration)
	unrestricted := !now.Before(useBegins) && (run.throttledAt.IsZero() || run.throttledAt.After(useBegins))
	if unrestricted {
		return run.unrestrictedUse()
	}
	return run.restrictedUse()
}

// report returns the run's report with the usage as it was lag ago, if the run had started by then.
func (run *run) report(now time.Time, lag time.Duration) executor.RunReport {
	report := executor.RunReport{
		Run:     run.start.Run,
		Started: run.started,
	}
	if measuredAt := now.Add(-lag); !measuredAt.Before(run.started) {
		report.Usage = descriptor.Usage{
			Resources: run.useAt(measuredAt),
			At:        measuredAt,
		}
	}
	return report
}
