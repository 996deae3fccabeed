package placer

import (
	"cmp"
	"slices"
	"time"

	"pomelomoor/internal/work/descriptor"
)

// Hold keeps workers free for a gang that is expected to start at Start. Other work may use them only
// if it ends by then.
type Hold struct {
	Workers []descriptor.WorkerID
	Start   time.Time
}

// capacityGain is the number of additional tasks that fit on a worker from a point in time.
type capacityGain struct {
	worker *workerEntry
	at     time.Time
	tasks  int64
}

// Forecast returns the workers on which n tasks could start at the earliest time, according to the
// expected ends of the current runs. It returns false if the tasks would never fit. It examines all
// runs on the matching workers, so it should be called only once per reservation.
func (placer *Placer) Forecast(request Request, n int, now time.Time) (Hold, bool) {
	if n <= 0 || request.Need.Negative() {
		return Hold{}, false
	}
	var gains []capacityGain
	for _, class := range placer.index.Matching(request.Filter) {
		for _, item := range class.Items {
			if worker := item.Value; worker.State == InUse {
				gains = worker.capacityGains(gains, request.Need, int64(n), now)
			}
		}
	}
	slices.SortFunc(gains, func(a, b capacityGain) int {
		return cmp.Or(
			a.at.Compare(b.at),
			cmp.Compare(b.tasks, a.tasks),
			cmp.Compare(a.worker.ordinal, b.worker.ordinal),
		)
	})
	var hold Hold
	added := map[*workerEntry]bool{}
	remaining := int64(n)
	for _, gain := range gains {
		if remaining <= 0 {
			break
		}
		remaining -= gain.tasks
		hold.Start = gain.at
		if !added[gain.worker] {
			added[gain.worker] = true
			hold.Workers = append(hold.Workers, gain.worker.ID)
		}
	}
	return hold, remaining <= 0
}

// capacityGains appends the times at which more tasks fit on the worker.
func (workerEntry *workerEntry) capacityGains(gains []capacityGain, need descriptor.Resources, limit int64, now time.Time) []capacityGain {
	runs := slices.DeleteFunc(slices.Clone(workerEntry.runs), func(run *runEntry) bool {
		return run.End.IsZero()
	})
	slices.SortFunc(runs, func(a, b *runEntry) int {
		return a.End.Compare(b.End)
	})
	free := workerEntry.free
	fitBefore := fitCount(need, free, limit)
	if fitBefore > 0 {
		gains = append(gains, capacityGain{
			worker: workerEntry,
			at:     now,
			tasks:  fitBefore,
		})
	}
	for _, run := range runs {
		free = free.Add(run.Need)
		fitAfter := fitCount(need, free, limit)
		if fitAfter <= fitBefore {
			continue
		}
		at := run.End
		if at.Before(now) {
			at = now
		}
		gains = append(gains, capacityGain{
			worker: workerEntry,
			at:     at,
			tasks:  fitAfter - fitBefore,
		})
		fitBefore = fitAfter
	}
	return gains
}

// SetHold replaces the current hold. The zero Hold removes it.
func (placer *Placer) SetHold(hold Hold) {
	for _, id := range placer.hold.Workers {
		if worker, ok := placer.workers[id]; ok {
			worker.setHeld(false)
		}
	}
	placer.hold = Hold{
		Workers: slices.Clone(hold.Workers),
		Start:   hold.Start,
	}
	for _, id := range placer.hold.Workers {
		if worker, ok := placer.workers[id]; ok {
			worker.setHeld(true)
		}
	}
}

func (workerEntry *workerEntry) setHeld(held bool) {
	workerEntry.held = held
	workerEntry.reindex()
}
