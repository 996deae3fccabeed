package placer

import (
	"cmp"
	"slices"

	"pomelomoor/internal/work/descriptor"
)

// Limits of the search for runs to preempt.
const (
	maxVictims       = 16
	maxProbedWorkers = 8
)

// Probe returns the preemptible runs with a rank above rank that would have to go from one worker to
// make room for need. It returns false if that would take more than a bounded number of them, or
// would not be enough. No runs and true mean that there is room already.
func (placer *Placer) Probe(id descriptor.WorkerID, need descriptor.Resources, rank int) ([]descriptor.RunID, bool) {
	worker, ok := placer.workers[id]
	if !ok || need.Negative() || !worker.couldFit(need, rank) {
		return nil, false
	}
	victims, ok := worker.probe(need, rank)
	if !ok {
		return nil, false
	}
	ids := make([]descriptor.RunID, 0, len(victims))
	for _, victim := range victims {
		ids = append(ids, victim.Run)
	}
	return ids, true
}

// ProbeAny returns the worker, of a bounded number, on which the least would have to be preempted.
// Later calls look at other workers.
func (placer *Placer) ProbeAny(request Request, rank int) (descriptor.WorkerID, []descriptor.RunID, bool) {
	var best *entry
	var bestVictims []*reservation
	bestCost := 0.0
	probed := 0
	for _, group := range placer.index.Matching(request.Where) {
		for i := range group.Items {
			worker := group.Items[(i+placer.cursor)%len(group.Items)].Value
			if !worker.item.IsOpen() || worker.held || !worker.couldFit(request.Need, rank) ||
				slices.Contains(request.Avoid, worker.ID) {
				continue
			}
			victims, ok := worker.probe(request.Need, rank)
			probed++
			if cost := worker.cost(victims); ok && (best == nil || cost < bestCost) {
				best, bestVictims, bestCost = worker, victims, cost
			}
			if probed == maxProbedWorkers {
				break
			}
		}
		if probed == maxProbedWorkers {
			break
		}
	}
	placer.cursor += maxProbedWorkers
	if best == nil {
		return "", nil, false
	}
	ids := make([]descriptor.RunID, 0, len(bestVictims))
	for _, victim := range bestVictims {
		ids = append(ids, victim.Run)
	}
	return best.ID, ids, true
}

// couldFit reports whether need fits once all preemptible runs above rank are gone.
func (worker *entry) couldFit(need descriptor.Resources, rank int) bool {
	room := worker.free
	for i := max(rank+1, 0); i <= MaxRank; i++ {
		room = room.Add(worker.preemptible[i])
	}
	return need.Fits(room)
}

// probe takes the highest ranks first and within a rank the largest runs, and then spares the runs
// that turn out not to be needed.
func (worker *entry) probe(need descriptor.Resources, rank int) ([]*reservation, bool) {
	var preemptible []*reservation
	for _, run := range worker.runs {
		if run.Preemptible && run.Rank > rank {
			preemptible = append(preemptible, run)
		}
	}
	slices.SortFunc(preemptible, func(a, b *reservation) int {
		return cmp.Or(
			cmp.Compare(b.Rank, a.Rank),
			cmp.Compare(b.Need.DominantShare(worker.Capacity), a.Need.DominantShare(worker.Capacity)),
			cmp.Compare(a.Run.Job, b.Run.Job),
			cmp.Compare(a.Run.Task, b.Run.Task),
			cmp.Compare(a.Run.Attempt, b.Run.Attempt),
		)
	})
	room := worker.free
	var victims []*reservation
	for _, run := range preemptible {
		if need.Fits(room) || len(victims) == maxVictims {
			break
		}
		victims = append(victims, run)
		room = room.Add(run.Need)
	}
	if !need.Fits(room) {
		return nil, false
	}
	for i := len(victims) - 1; i >= 0; i-- {
		if without := room.Sub(victims[i].Need); need.Fits(without) {
			room = without
			victims = slices.Delete(victims, i, i+1)
		}
	}
	return victims, true
}

func (worker *entry) cost(victims []*reservation) float64 {
	cost := 0.0
	for _, victim := range victims {
		cost += victim.Need.DominantShare(worker.Capacity) * float64(1+MaxRank-victim.Rank)
	}
	return cost
}

// InPlaceOf reports whether a task would fit on the worker of a run if that run ended.
func (placer *Placer) InPlaceOf(request Request, run descriptor.RunID) bool {
	current, ok := placer.runs[run]
	if !ok {
		return false
	}
	worker := current.worker
	return worker.State == InUse && (!worker.held || request.Holder) &&
		!slices.Contains(request.Avoid, worker.ID) &&
		request.Where.Matches(worker.labels()) &&
		request.Need.Fits(worker.free.Add(current.Need))
}
