// Package throttler chooses the runs that have to give way before a worker's memory is exhausted.
package throttler

import (
	"cmp"
	"slices"
	"time"

	"pomelomoor/internal/shard/arbiter"
	"pomelomoor/internal/work/descriptor"
)

// Measure is what is done to a run.
type Measure int

// The measures, from the mildest.
const (
	Throttle Measure = iota
	Checkpoint
	Stop
)

// Relief is a run and what is to be done to it.
type Relief struct {
	Run     *arbiter.Run
	Measure Measure
}

const (
	// fullPercent is the part of a worker's memory from which runs beyond their declared size give way.
	fullPercent = 95
	// throttlePatience is how long a throttled run may take to shrink, by the time of its measurement.
	throttlePatience = 2 * time.Second
)

// Excess is the memory that a run uses beyond its declared size, by its latest report.
func Excess(run *arbiter.Run) int64 {
	return run.Usage.MemoryBytes - run.Job.Description().Task.MemoryBytes
}

// Choose returns the measures that bring the reported use of a worker's runs below the limit. No run
// within its declared size is chosen. A run is throttled first, and only one that has not shrunk
// after that is ended.
func Choose(capacity descriptor.Resources, runs []*arbiter.Run) []Relief {
	limit := capacity.MemoryBytes / 100 * fullPercent
	var used int64
	var candidates []*arbiter.Run
	for _, run := range runs {
		used += expected(run)
		if candidate(run) {
			candidates = append(candidates, run)
		}
	}
	if used <= limit || limit <= 0 {
		return nil
	}
	slices.SortStableFunc(candidates, compare)
	var chosen []Relief
	for _, run := range candidates {
		if used <= limit {
			break
		}
		relief := Relief{
			Run:     run,
			Measure: measure(run),
		}
		chosen = append(chosen, relief)
		used -= Excess(run)
		if relief.Measure != Throttle {
			used -= run.Job.Description().Task.MemoryBytes
		}
	}
	return chosen
}

// expected is the use that follows from the reported use and the measures already taken.
func expected(run *arbiter.Run) int64 {
	switch {
	case run.Stop || run.Checkpoint:
		return 0
	case shrinking(run):
		return min(run.Usage.MemoryBytes, run.Job.Description().Task.MemoryBytes)
	default:
		return run.Usage.MemoryBytes
	}
}

// shrinking reports whether the effect of throttling a run can't be seen in its reports yet.
func shrinking(run *arbiter.Run) bool {
	return !run.Throttled.IsZero() && run.Usage.At.Before(run.Throttled.Add(throttlePatience))
}

func candidate(run *arbiter.Run) bool {
	return run.Phase == arbiter.PhaseRunning && !run.Stop && !run.Checkpoint && Excess(run) > 0 && !shrinking(run)
}

func measure(run *arbiter.Run) Measure {
	switch {
	case run.Throttled.IsZero():
		return Throttle
	case run.Job.Description().Checkpointable && run.Job.Repeatable() && !run.Job.Gang():
		return Checkpoint
	default:
		return Stop
	}
}

// compare orders runs by how little is lost when they give way: those that may be repeated, then less
// urgent ones, then those with the largest excess.
func compare(one, other *arbiter.Run) int {
	if one.Job.Repeatable() != other.Job.Repeatable() {
		if one.Job.Repeatable() {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(other.Job.Work.Treatment.Urgency.Rank(), one.Job.Work.Treatment.Urgency.Rank()),
		cmp.Compare(Excess(other), Excess(one)),
	)
}
