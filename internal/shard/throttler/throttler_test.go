package throttler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pomelomoor/internal/shard/allocator"
	"pomelomoor/internal/shard/arbiter"
	"pomelomoor/internal/shard/throttler"
	"pomelomoor/internal/work/descriptor"
)

var now = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// run returns a run that declares 30 and uses an amount of memory.
func run(name string, use int64, change func(*arbiter.Run, *descriptor.Job)) *arbiter.Run {
	job := &descriptor.Job{
		Kind: descriptor.KindBatch,
		Task: descriptor.Resources{
			MemoryBytes: 30,
		},
		Idempotent: true,
	}
	run := &arbiter.Run{
		ID: descriptor.RunID{
			Job: descriptor.JobID(name),
		},
		Phase: arbiter.PhaseRunning,
		Usage: descriptor.Usage{
			Resources: descriptor.Resources{
				MemoryBytes: use,
			},
			At: now,
		},
	}
	work := &allocator.Work{
		Job: job,
	}
	work.Treatment.Urgency = descriptor.UrgencyNormal
	run.Job = &arbiter.Job{
		Work: work,
	}
	if change != nil {
		change(run, job)
	}
	return run
}

func once(run *arbiter.Run, job *descriptor.Job) {
	job.Idempotent = false
}

func throttled(run *arbiter.Run, _ *descriptor.Job) {
	run.Throttled = now.Add(-time.Minute)
}

// Guards against ending a run that keeps to its declared size, against ending one that a milder measure
// would do for or that is about to shrink, and against the wrong order of those that have to give way.
func TestChoose(t *testing.T) {
	tests := []struct {
		name string
		runs []*arbiter.Run
		want []string
	}{
		{"below the limit", []*arbiter.Run{run("a", 95, nil)}, nil},
		{"within the declared sizes", []*arbiter.Run{run("a", 30, nil), run("b", 30, once), run("c", 30, nil), run("d", 30, nil)}, nil},
		{"largest excess", []*arbiter.Run{run("a", 40, nil), run("b", 60, nil)}, []string{"b 0"}},
		{"only what exceeds", []*arbiter.Run{run("a", 30, once), run("b", 30, nil), run("c", 37, nil)}, []string{"c 0"}},
		{"repeatable first", []*arbiter.Run{run("a", 59, once), run("b", 41, nil)}, []string{"b 0"}},
		{"once-only work last", []*arbiter.Run{run("a", 65, once), run("b", 35, nil)}, []string{"b 0"}},
		{"both if one is not enough", []*arbiter.Run{run("a", 70, once), run("b", 35, nil)}, []string{"b 0", "a 0"}},
		{"less urgent first", []*arbiter.Run{run("a", 60, func(run *arbiter.Run, _ *descriptor.Job) {
			run.Job.Work.Treatment.Urgency = descriptor.UrgencyHigh
		}), run("b", 40, nil)}, []string{"b 0"}},
		{"still too large when throttled", []*arbiter.Run{run("a", 99, throttled)}, []string{"a 2"}},
		{"checkpoint if possible", []*arbiter.Run{run("a", 99, func(run *arbiter.Run, job *descriptor.Job) {
			throttled(run, job)
			job.Checkpointable = true
		})}, []string{"a 1"}},
		{"throttled a moment ago", []*arbiter.Run{run("a", 99, func(run *arbiter.Run, _ *descriptor.Job) {
			run.Throttled = now.Add(-time.Second)
		})}, nil},
		{"being stopped", []*arbiter.Run{run("a", 60, func(run *arbiter.Run, _ *descriptor.Job) {
			run.Stop = true
		}), run("b", 40, nil)}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var got []string
			for _, relief := range throttler.Choose(descriptor.Resources{
				MemoryBytes: 100,
			}, test.runs) {
				got = append(got, fmt.Sprintf("%s %d", relief.Run.ID.Job, relief.Measure))
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
