package detector

import (
	"maps"
	"slices"
	"time"

	"pomelomoor/internal/work/descriptor"
)

// quarantine takes suspects out of use, the worst first, while the limit allows.
func (detector *Detector) quarantine(now time.Time) []Change {
	var changes []Change
	for len(detector.suspects) > 0 && len(detector.out) < len(detector.workers)/quarantineDivisor {
		worst := detector.least(detector.suspects, func(a, b *worker) bool {
			return a.score > b.score
		})
		worst.score = detector.score(worst)
		delete(detector.suspects, worst.id)
		if worst.score < threshold {
			continue
		}
		if now.Sub(worst.returned) > forgiveness {
			worst.pause = 0
		}
		detector.out[worst.id] = worst
		changes = append(changes, detector.pause(worst, now))
	}
	return changes
}

// pause starts a quarantine that is twice as long as the last one.
func (detector *Detector) pause(known *worker, now time.Time) Change {
	known.state = Quarantined
	known.pause = min(max(2*known.pause, FirstPause), MaxPause)
	known.until = now.Add(known.pause)
	return Change{
		Worker: known.id,
		State:  Quarantined,
		Score:  known.score,
		Until:  known.until,
	}
}

// restore puts a worker back into use and drops the evidence against it.
func (detector *Detector) restore(known *worker) Change {
	delete(detector.out, known.id)
	known.state = InUse
	known.outcomes = nil
	known.score = 0
	return Change{
		Worker: known.id,
		State:  InUse,
	}
}

// least returns the first worker by less, with ties broken by ID.
func (detector *Detector) least(workers map[descriptor.WorkerID]*worker, less func(a, b *worker) bool) *worker {
	var first *worker
	for _, id := range sorted(workers) {
		if one := workers[id]; first == nil || less(one, first) {
			first = one
		}
	}
	return first
}

func sorted(workers map[descriptor.WorkerID]*worker) []descriptor.WorkerID {
	return slices.Sorted(maps.Keys(workers))
}
