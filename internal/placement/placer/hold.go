package placer

import (
	"cmp"
	"slices"
	"time"

	"pomelomoor/internal/work/descriptor"
)

// Hold keeps workers for a gang. Other work uses them only if it ends before Start.
type Hold struct {
	Workers []descriptor.WorkerID
	Start   time.Time
}

// vacancy is room for more tasks on a worker from a time on.
type vacancy struct {
	worker *entry
	at     time.Time
	tasks  int64
}

// Forecast returns the workers on which n tasks could start at the earliest time, by the expected
// ends of the runs in place. It returns false if that would never be. Its cost is linear in the
// number of runs, so it is meant for one call per reservation.
func (placer *Placer) Forecast(request Request, n int, now time.Time) (Hold, bool) {
	if n <= 0 || request.Need.Negative() {
		return Hold{}, false
	}
	var vacancies []vacancy
	for _, group := range placer.index.Matching(request.Where) {
		for _, item := range group.Items {
			if worker := item.Value; worker.State == InUse {
				vacancies = worker.vacancies(vacancies, request.Need, int64(n), now)
			}
		}
	}
	slices.SortFunc(vacancies, func(a, b vacancy) int {
		return cmp.Or(
			a.at.Compare(b.at),
			cmp.Compare(b.tasks, a.tasks),
			cmp.Compare(a.worker.ordinal, b.worker.ordinal),
		)
	})
	var hold Hold
	seen := map[*entry]bool{}
	left := int64(n)
	for _, one := range vacancies {
		if left <= 0 {
			break
		}
		left -= one.tasks
		hold.Start = one.at
		if !seen[one.worker] {
			seen[one.worker] = true
			hold.Workers = append(hold.Workers, one.worker.ID)
		}
	}
	return hold, left <= 0
}

// vacancies appends the times from which the worker has room for more tasks.
func (worker *entry) vacancies(list []vacancy, need descriptor.Resources, limit int64, now time.Time) []vacancy {
	runs := slices.DeleteFunc(slices.Clone(worker.runs), func(run *reservation) bool {
		return run.End.IsZero()
	})
	slices.SortFunc(runs, func(a, b *reservation) int {
		return a.End.Compare(b.End)
	})
	room := worker.free
	had := times(need, room, limit)
	if had > 0 {
		list = append(list, vacancy{
			worker: worker,
			at:     now,
			tasks:  had,
		})
	}
	for _, run := range runs {
		room = room.Add(run.Need)
		has := times(need, room, limit)
		if has <= had {
			continue
		}
		at := run.End
		if at.Before(now) {
			at = now
		}
		list = append(list, vacancy{
			worker: worker,
			at:     at,
			tasks:  has - had,
		})
		had = has
	}
	return list
}

// SetHold replaces the hold. The zero Hold ends it.
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

func (worker *entry) setHeld(held bool) {
	worker.held = held
	worker.reindex()
}
