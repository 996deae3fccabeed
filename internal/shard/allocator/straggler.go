package allocator

import (
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/placement/orderer"
	"pomelomoor/internal/placement/placer"
	"pomelomoor/internal/work/descriptor"
)

// Straggler is a run that lasts far longer than expected and that may be moved.
type Straggler struct {
	Work    *Work
	Run     descriptor.RunID
	Elapsed time.Duration
}

// Straggling reports whether a run of the work has lasted far longer than expected. The work of a run
// that gave way before is known to be long, and has to make way again after its estimate.
func (allocator *Allocator) Straggling(work *Work, elapsed time.Duration) bool {
	estimate := allocator.estimate(work)
	if !work.Behind.IsZero() {
		return elapsed > estimate.RunTime
	}
	return estimate.Straggling(elapsed)
}

// shorter is waiting work that found no room.
type shorter struct {
	work *Work
	// left is the number of waiting tasks without a straggler that gives way.
	left int
}

// Displace returns the stragglers that have to give way, each with the shorter job of the same or a
// higher urgency that fits in its place. The search is bounded by the look-ahead.
func (allocator *Allocator) Displace(now time.Time, stragglers []Straggler) map[descriptor.RunID]descriptor.JobID {
	if len(stragglers) == 0 {
		return nil
	}
	displaced := map[descriptor.RunID]descriptor.JobID{}
	waiting := allocator.shorter(now)
	for _, straggler := range stragglers {
		for _, one := range waiting {
			if one.left > 0 && allocator.outranks(now, one.work, straggler) {
				one.left--
				allocator.preempted[one.work.ID] = now
				displaced[straggler.Run] = one.work.ID
				break
			}
		}
	}
	return displaced
}

func (allocator *Allocator) shorter(now time.Time) []*shorter {
	var found []*shorter
	allocator.orderer.Walk(now, func(candidate orderer.Candidate) orderer.Verdict {
		work, ok := allocator.works[candidate.Job]
		if ok && !work.gang() && work.Behind.IsZero() && now.Sub(allocator.preempted[work.ID]) >= preemptPause {
			found = append(found, &shorter{
				work: work,
			})
		}
		return orderer.Skip
	})
	for _, one := range found {
		_, tasks, _ := allocator.orderer.Waiting(one.work.ID)
		if len(tasks) == 0 {
			continue
		}
		if _, err := allocator.choose(now, one.work, tasks[:1]); errors.Is(err, placer.ErrNoRoom) {
			one.left = len(tasks)
		}
	}
	return found
}

func (allocator *Allocator) outranks(now time.Time, work *Work, straggler Straggler) bool {
	return work.ID != straggler.Work.ID &&
		work.Treatment.Urgency.Rank() <= straggler.Work.Treatment.Urgency.Rank() &&
		allocator.estimate(work).RunTime < straggler.Elapsed &&
		allocator.placer.InPlaceOf(allocator.request(now, work, anyTask), straggler.Run)
}
