// Package throttler relieves memory pressure on workers. It selects runs that exceed their declared
// memory and throttles, checkpoints or stops them before the worker runs out.
package throttler

import (
	"cmp"
	"slices"
	"time"

	"pomelomoor/internal/shard/arbiter"
	"pomelomoor/internal/shard/monitor"
	"pomelomoor/internal/work/descriptor"
)

// Action is a way to reduce the memory use of a run.
type Action int

// The actions, from the mildest to the most severe.
const (
	Throttle Action = iota
	Checkpoint
	Stop
)

// Relief is an action to be taken on one run to relieve memory pressure on its worker.
type Relief struct {
	Worker *monitor.Worker
	Run    *arbiter.Run
	Action Action
}

const (
	// memoryLimitPercent is the share of a worker's memory above which runs that exceed their declared
	// memory are throttled or ended.
	memoryLimitPercent = 95
	// throttleSettleTime is how long the effect of throttling a run may take to appear in reports:
	// measurements are some seconds old, and a worker is polled every two seconds. The timestamp of a
	// measurement can't be used instead, because reports omit usage that has not changed.
	throttleSettleTime = 6 * time.Second
)

// ExcessMemory returns the memory, in bytes, that a run uses beyond its declared size according to its
// latest report. It is negative for a run below its declared size.
func ExcessMemory(run *arbiter.Run) int64 {
	return run.Usage.MemoryBytes - run.Job.Description().Task.MemoryBytes
}

// PlanRelief returns the actions that bring the reported memory use of a worker's runs down to the
// limit. It never selects a run within its declared size. A run is throttled first and is ended only if
// throttling has not reduced its use.
func PlanRelief(now time.Time, capacity descriptor.Resources, runs []*arbiter.Run) []Relief {
	limit := capacity.MemoryBytes / 100 * memoryLimitPercent
	var used int64
	var candidates []*arbiter.Run
	for _, run := range runs {
		used += expectedUsage(now, run)
		if eligible(now, run) {
			candidates = append(candidates, run)
		}
	}
	if used <= limit || limit <= 0 {
		return nil
	}
	slices.SortStableFunc(candidates, compareByCost)
	var reliefs []Relief
	for _, run := range candidates {
		if used <= limit {
			break
		}
		relief := Relief{
			Run:    run,
			Action: nextAction(run),
		}
		reliefs = append(reliefs, relief)
		used -= ExcessMemory(run)
		if relief.Action != Throttle {
			used -= run.Job.Description().Task.MemoryBytes
		}
	}
	return reliefs
}

// expectedUsage returns the memory usage that a run will have once the actions already taken have effect.
func expectedUsage(now time.Time, run *arbiter.Run) int64 {
	switch {
	case run.Stop || run.Checkpoint:
		return 0
	case throttleSettling(now, run):
		return min(run.Usage.MemoryBytes, run.Job.Description().Task.MemoryBytes)
	default:
		return run.Usage.MemoryBytes
	}
}

// throttleSettling reports whether a run was throttled so recently that its reports may not show the
// effect yet.
func throttleSettling(now time.Time, run *arbiter.Run) bool {
	return !run.Throttled.IsZero() && now.Before(run.Throttled.Add(throttleSettleTime))
}

// eligible reports whether a new action may be taken on a run.
func eligible(now time.Time, run *arbiter.Run) bool {
	return run.Phase == arbiter.PhaseRunning && !run.Stop && !run.Checkpoint && ExcessMemory(run) > 0 && !throttleSettling(now, run)
}

// nextAction returns the mildest action that is still available for a run.
func nextAction(run *arbiter.Run) Action {
	switch {
	case run.Throttled.IsZero():
		return Throttle
	case run.Job.Description().Checkpointable && run.Job.Repeatable() && !run.Job.IsGang():
		return Checkpoint
	default:
		return Stop
	}
}

// compareByCost orders runs by how little is lost when they are ended: repeatable runs first, then less
// urgent ones, then those with the largest excess.
func compareByCost(a, b *arbiter.Run) int {
	if a.Job.Repeatable() != b.Job.Repeatable() {
		if a.Job.Repeatable() {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(b.Job.QueuedJob.EffectivePolicy.Urgency.Rank(), a.Job.QueuedJob.EffectivePolicy.Urgency.Rank()),
		cmp.Compare(ExcessMemory(b), ExcessMemory(a)),
	)
}
