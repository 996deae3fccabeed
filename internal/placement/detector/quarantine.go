package detector

import (
	"maps"
	"slices"
	"time"

	"pomelomoor/internal/work/descriptor"
)

// quarantineWorst quarantines the workers in overThreshold, those with the highest scores first, up to
// the limit of workers out of use.
func (detector *Detector) quarantineWorst(now time.Time) []Change {
	var changes []Change
	for len(detector.overThreshold) > 0 && len(detector.outOfUse) < len(detector.workers)/quarantineDivisor {
		worst := detector.minWorker(detector.overThreshold, func(a, b *worker) bool {
			return a.score > b.score
		})
		worst.score = detector.score(worst)
		delete(detector.overThreshold, worst.id)
		if worst.score < scoreThreshold {
			continue
		}
		if now.Sub(worst.trialPassedAt) > backoffResetTime {
			worst.quarantineTime = 0
		}
		delete(detector.suspects, worst.id)
		detector.outOfUse[worst.id] = worst
		changes = append(changes, detector.startQuarantine(worst, now))
	}
	return changes
}

// startQuarantine quarantines a worker for twice as long as the last time.
func (detector *Detector) startQuarantine(worker *worker, now time.Time) Change {
	worker.state = Quarantined
	worker.quarantineTime = min(max(2*worker.quarantineTime, MinQuarantine), MaxQuarantine)
	worker.quarantineEnd = now.Add(worker.quarantineTime)
	return Change{
		Worker:        worker.id,
		State:         Quarantined,
		Score:         worker.score,
		QuarantineEnd: worker.quarantineEnd,
	}
}

// reinstate puts a worker back into use and deletes its outcomes.
func (detector *Detector) reinstate(worker *worker) Change {
	delete(detector.outOfUse, worker.id)
	worker.state = InUse
	worker.outcomes = nil
	worker.failures = 0
	worker.score = 0
	return Change{
		Worker: worker.id,
		State:  InUse,
	}
}

// minWorker returns the least worker by less, with ties broken by ID.
func (detector *Detector) minWorker(workers map[descriptor.WorkerID]*worker, less func(a, b *worker) bool) *worker {
	var first *worker
	for _, id := range sortedIDs(workers) {
		if candidate := workers[id]; first == nil || less(candidate, first) {
			first = candidate
		}
	}
	return first
}

func sortedIDs(workers map[descriptor.WorkerID]*worker) []descriptor.WorkerID {
	return slices.Sorted(maps.Keys(workers))
}
