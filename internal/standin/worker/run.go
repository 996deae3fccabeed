package worker

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"pomelomoor/internal/gateway/executor"
	"pomelomoor/internal/work/descriptor"
)

// Payload tells how a task is imitated. All fields may be left out.
type Payload struct {
	// RunTime is how long the task runs; a service without it runs until it is stopped.
	RunTime descriptor.Duration `json:",omitzero"`
	// Use is what the task really uses; left out, that is its declared size.
	Use *descriptor.Resources `json:",omitempty"`
	// UseAfter is when Use begins. Until then the task uses no more than its declared size.
	UseAfter descriptor.Duration `json:",omitzero"`
	// Fail makes the task fail at its end.
	Fail bool `json:",omitempty"`
}

// checkpointSeparator precedes the progress in the name of a checkpoint.
const checkpointSeparator = "@"

// run is a task in progress.
type run struct {
	start   executor.Start
	payload Payload
	forever bool
	started time.Time
	// restored is the progress that the checkpoint holds.
	restored time.Duration
	// throttled is zero for a run at full speed.
	throttled time.Time
	timer     *time.Timer
	// record is the index in the history.
	record int
}

func newRun(start executor.Start, defaultRunTime time.Duration, now time.Time) *run {
	run := &run{
		start:   start,
		started: now,
	}
	// A payload of another form makes an ordinary task.
	_ = json.Unmarshal([]byte(start.Payload), &run.payload)
	if run.payload.RunTime.Duration == 0 {
		run.forever = start.Kind == descriptor.KindService
		run.payload.RunTime.Duration = defaultRunTime
	}
	if _, progress, ok := strings.Cut(start.Checkpoint, checkpointSeparator); ok {
		run.restored, _ = time.ParseDuration(progress)
	}
	return run
}

// checkpoint names the saved state, from which any worker can go on.
func (run *run) checkpoint(now time.Time) string {
	return fmt.Sprintf("%s%s%s", run.start.Run, checkpointSeparator, run.progress(now))
}

func (run *run) progress(now time.Time) time.Duration {
	if run.throttled.IsZero() {
		return run.restored + now.Sub(run.started)
	}
	slow := float64(now.Sub(run.throttled)) * run.speed()
	return run.restored + run.throttled.Sub(run.started) + time.Duration(slow)
}

// remaining is the time until the run ends, if nothing changes.
func (run *run) remaining(now time.Time) time.Duration {
	left := float64(run.payload.RunTime.Duration - run.progress(now))
	return time.Duration(left / run.speed())
}

// speed is below 1 for a throttled run that would use more processor time than declared.
func (run *run) speed() float64 {
	declared, wanted := run.start.Task.MilliCPU, run.full().MilliCPU
	if run.throttled.IsZero() || wanted <= declared || declared <= 0 {
		return 1
	}
	return float64(declared) / float64(wanted)
}

// full is what the run uses when nothing holds it back.
func (run *run) full() descriptor.Resources {
	if run.payload.Use == nil {
		return run.start.Task
	}
	return *run.payload.Use
}

// use is what the run used at a time since its start.
func (run *run) use(at time.Time) descriptor.Resources {
	held := !run.throttled.IsZero() && !at.Before(run.throttled)
	if held || at.Before(run.started.Add(run.payload.UseAfter.Duration)) {
		return run.held()
	}
	return run.full()
}

func (run *run) held() descriptor.Resources {
	full, declared := run.full(), run.start.Task
	return descriptor.Resources{
		MilliCPU:     min(full.MilliCPU, declared.MilliCPU),
		MemoryBytes:  min(full.MemoryBytes, declared.MemoryBytes),
		Accelerators: min(full.Accelerators, declared.Accelerators),
	}
}

// peak is the largest use from the start until now.
func (run *run) peak(now time.Time) descriptor.Resources {
	began := run.started.Add(run.payload.UseAfter.Duration)
	reached := !now.Before(began) && (run.throttled.IsZero() || run.throttled.After(began))
	if reached {
		return run.full()
	}
	return run.held()
}

// report describes the run by a measurement that is as old as lag.
func (run *run) report(now time.Time, lag time.Duration) executor.RunReport {
	report := executor.RunReport{
		Run:     run.start.Run,
		Started: run.started,
	}
	if measured := now.Add(-lag); !measured.Before(run.started) {
		report.Usage = descriptor.Usage{
			Resources: run.use(measured),
			At:        measured,
		}
	}
	return report
}
