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

// newRun returns a run with a declared memory of 30 bytes and the given use. If modify is not nil, it
// changes the run and its job.
func newRun(name string, use int64, modify func(*arbiter.Run, *descriptor.Job)) *arbiter.Run {
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
	queuedJob := &allocator.QueuedJob{
		Job: job,
	}
	queuedJob.EffectivePolicy.Urgency = descriptor.UrgencyNormal
	run.Job = &arbiter.Job{
		QueuedJob: queuedJob,
	}
	if modify != nil {
		modify(run, job)
	}
	return run
}

func notIdempotent(run *arbiter.Run, job *descriptor.Job) {
	job.Idempotent = false
}

// throttledBefore marks the run as throttled long enough ago for the effect to show in its reports.
func throttledBefore(run *arbiter.Run, _ *descriptor.Job) {
	run.Throttled = now.Add(-time.Minute)
}

// Guards against selecting a run within its declared size, against ending a run before throttling has
// been tried and has had time to show, and against selecting runs in the wrong order.
func TestPlanRelief(t *testing.T) {
	tests := []struct {
		name string
		runs []*arbiter.Run
		want []string
	}{
		{"below the limit", []*arbiter.Run{newRun("a", 95, nil)}, nil},
		{"within the declared sizes", []*arbiter.Run{newRun("a", 30, nil), newRun("b", 30, notIdempotent), newRun("c", 30, nil), newRun("d", 30, nil)}, nil},
		{"largest excess", []*arbiter.Run{newRun("a", 40, nil), newRun("b", 60, nil)}, []string{"b throttled"}},
		{"only runs above their declared size", []*arbiter.Run{newRun("a", 30, notIdempotent), newRun("b", 30, nil), newRun("c", 37, nil)}, []string{"c throttled"}},
		{"idempotent run first", []*arbiter.Run{newRun("a", 59, notIdempotent), newRun("b", 41, nil)}, []string{"b throttled"}},
		{"non-idempotent run last", []*arbiter.Run{newRun("a", 65, notIdempotent), newRun("b", 35, nil)}, []string{"b throttled"}},
		{"both when one is not enough", []*arbiter.Run{newRun("a", 70, notIdempotent), newRun("b", 35, nil)}, []string{"b throttled", "a throttled"}},
		{"less urgent first", []*arbiter.Run{newRun("a", 60, func(run *arbiter.Run, _ *descriptor.Job) {
			run.Job.QueuedJob.EffectivePolicy.Urgency = descriptor.UrgencyHigh
		}), newRun("b", 40, nil)}, []string{"b throttled"}},
		{"still too large after throttling", []*arbiter.Run{newRun("a", 99, throttledBefore)}, []string{"a stopped"}},
		{"checkpoint if possible", []*arbiter.Run{newRun("a", 99, func(run *arbiter.Run, job *descriptor.Job) {
			throttledBefore(run, job)
			job.Checkpointable = true
		})}, []string{"a checkpointed"}},
		{"throttled a second ago", []*arbiter.Run{newRun("a", 99, func(run *arbiter.Run, _ *descriptor.Job) {
			run.Throttled = now.Add(-time.Second)
		})}, nil},
		{"being stopped", []*arbiter.Run{newRun("a", 60, func(run *arbiter.Run, _ *descriptor.Job) {
			run.Stop = true
		}), newRun("b", 40, nil)}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var got []string
			for _, relief := range throttler.PlanRelief(now, descriptor.Resources{
				MemoryBytes: 100,
			}, test.runs) {
				got = append(got, fmt.Sprintf("%s %s", relief.Run.ID.Job, relief.Action))
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
