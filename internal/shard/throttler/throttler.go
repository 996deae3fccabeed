// Package throttler chooses the runs that have to give way before a worker's memory is exhausted.
package throttler

import (
	"cmp"
	"slices"
	"time"

	"pomelomoor/internal/shard/arbiter"
	"pomelomoor/internal/shard/watcher"
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
	Worker  *watcher.Worker
	Run     *arbiter.Run
	Measure Measure
}

const (
	// fullPercent is the part of a worker's memory from which runs beyond their declared size give way.
	fullPercent = 95
	// throttleSettleTime is how long the effect of throttling a run may take to show: a measurement is
	// some seconds old, and a worker is asked every two seconds. The time of the measurement does not
	// tell, because reports leave out a use that has not changed.
	throttleSettleTime = 6 * time.Second
)

// Excess is the memory that a run uses beyond its declared size, by its latest report.
func Excess(run *arbiter.Run) int64 {
	return run.Usage.MemoryBytes - run.Job.Description().Task.MemoryBytes
}

// Choose returns the measures that bring the reported use of a worker's runs below the limit. No run
// within its declared size is chosen. A run is throttled first, and only one that has not shrunk
// after that is ended.
func Choose(now time.Time, capacity descriptor.Resources, runs []*arbiter.Run) []Relief {
	limit := capacity.MemoryBytes / 100 * fullPercent
	var used int64
	var candidates []*arbiter.Run
	for _, run := range runs {
		used += expected(now, run)
		if candidate(now, run) {
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
func expected(now time.Time, run *arbiter.Run) int64 {
	switch {
	case run.Stop || run.Checkpoint:
		return 0
	case shrinking(now, run):
		return min(run.Usage.MemoryBytes, run.Job.Description().Task.MemoryBytes)
	default:
		return run.Usage.MemoryBytes
	}
}

// shrinking reports whether the effect of throttling a run can't be seen in its reports yet.
func shrinking(now time.Time, run *arbiter.Run) bool {
	return !run.Throttled.IsZero() && now.Before(run.Throttled.Add(throttleSettleTime))
}

func candidate(now time.Time, run *arbiter.Run) bool {
	return run.Phase == arbiter.PhaseRunning && !run.Stop && !run.Checkpoint && Excess(run) > 0 && !shrinking(now, run)
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
