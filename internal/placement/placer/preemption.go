package placer

import (
	"cmp"
	"slices"

	"pomelomoor/internal/work/descriptor"
)

// Limits of the search for runs to preempt.
const (
	maxVictims         = 16
	maxSearchedWorkers = 8
)

// FindVictims returns the preemptible runs with a rank above rank that would have to be preempted on
// one worker for need to fit. It returns false if need would not fit, or only with more than maxVictims
// preemptions. If need fits already, it returns no runs and true.
func (placer *Placer) FindVictims(id descriptor.WorkerID, need descriptor.Resources, rank int) ([]descriptor.RunID, bool) {
	worker, ok := placer.workers[id]
	if !ok || need.Negative() || !worker.fitsAfterPreemption(need, rank) {
		return nil, false
	}
	victims, ok := worker.findVictims(need, rank)
	if !ok {
		return nil, false
	}
	ids := make([]descriptor.RunID, 0, len(victims))
	for _, victim := range victims {
		ids = append(ids, victim.Run)
	}
	return ids, true
}

// FindVictimsOnAnyWorker returns the worker with the lowest preemption cost, and the runs that would
// have to be preempted on it. It considers at most maxSearchedWorkers workers, and later calls start at
// others.
func (placer *Placer) FindVictimsOnAnyWorker(request Request, rank int) (descriptor.WorkerID, []descriptor.RunID, bool) {
	var best *workerEntry
	var bestVictims []*runEntry
	bestCost := 0.0
	searched := 0
	for _, class := range placer.index.Matching(request.Filter) {
		for i := range class.Items {
			worker := class.Items[(i+placer.cursor)%len(class.Items)].Value
			if !worker.item.IsAvailable() || worker.held || !worker.fitsAfterPreemption(request.Need, rank) ||
				slices.Contains(request.Avoid, worker.ID) {
				continue
			}
			victims, ok := worker.findVictims(request.Need, rank)
			searched++
			if cost := worker.preemptionCost(victims); ok && (best == nil || cost < bestCost) {
				best, bestVictims, bestCost = worker, victims, cost
			}
			if searched == maxSearchedWorkers {
				break
			}
		}
		if searched == maxSearchedWorkers {
			break
		}
	}
	placer.cursor += maxSearchedWorkers
	if best == nil {
		return "", nil, false
	}
	ids := make([]descriptor.RunID, 0, len(bestVictims))
	for _, victim := range bestVictims {
		ids = append(ids, victim.Run)
	}
	return best.ID, ids, true
}

// fitsAfterPreemption reports whether need fits if all preemptible runs above rank are preempted.
func (workerEntry *workerEntry) fitsAfterPreemption(need descriptor.Resources, rank int) bool {
	free := workerEntry.free
	for i := max(rank+1, 0); i <= MaxRank; i++ {
		free = free.Add(workerEntry.preemptible[i])
	}
	return need.Fits(free)
}

// findVictims selects runs by descending rank, then by descending size, until need fits. It then drops
// the runs whose preemption turns out to be unnecessary.
func (workerEntry *workerEntry) findVictims(need descriptor.Resources, rank int) ([]*runEntry, bool) {
	var preemptible []*runEntry
	for _, run := range workerEntry.runs {
		if run.Preemptible && run.Rank > rank {
			preemptible = append(preemptible, run)
		}
	}
	slices.SortFunc(preemptible, func(a, b *runEntry) int {
		return cmp.Or(
			cmp.Compare(b.Rank, a.Rank),
			cmp.Compare(b.Need.DominantShare(workerEntry.Capacity), a.Need.DominantShare(workerEntry.Capacity)),
			cmp.Compare(a.Run.Job, b.Run.Job),
			cmp.Compare(a.Run.Task, b.Run.Task),
			cmp.Compare(a.Run.Attempt, b.Run.Attempt),
		)
	})
	free := workerEntry.free
	var victims []*runEntry
	for _, run := range preemptible {
		if need.Fits(free) || len(victims) == maxVictims {
			break
		}
		victims = append(victims, run)
		free = free.Add(run.Need)
	}
	if !need.Fits(free) {
		return nil, false
	}
	for i := len(victims) - 1; i >= 0; i-- {
		if spared := free.Sub(victims[i].Need); need.Fits(spared) {
			free = spared
			victims = slices.Delete(victims, i, i+1)
		}
	}
	return victims, true
}

// preemptionCost returns the sum of the dominant shares of the runs, weighted by descending rank.
func (workerEntry *workerEntry) preemptionCost(victims []*runEntry) float64 {
	cost := 0.0
	for _, victim := range victims {
		cost += victim.Need.DominantShare(workerEntry.Capacity) * float64(1+MaxRank-victim.Rank)
	}
	return cost
}

// FitsInPlaceOf reports whether a task could be placed on the worker of a run if that run ended.
func (placer *Placer) FitsInPlaceOf(request Request, run descriptor.RunID) bool {
	current, ok := placer.runs[run]
	if !ok {
		return false
	}
	worker := current.worker
	return worker.State == InUse && (!worker.held || request.OwnsHold) &&
		!slices.Contains(request.Avoid, worker.ID) &&
		request.Filter.Matches(worker.labels()) &&
		request.Need.Fits(worker.free.Add(current.Need))
}
