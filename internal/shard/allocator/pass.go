package allocator

import (
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/placement/orderer"
	"pomelomoor/internal/placement/placer"
	"pomelomoor/internal/work/descriptor"
)

const (
	// preemptPause gives preempted work time to save its state before more is preempted for a job.
	preemptPause = 10 * time.Second
	// maxProbes bounds the search for work to preempt in one pass.
	maxProbes = 4
)

// Placement is a run that is to start.
type Placement struct {
	Work   *Work
	Run    descriptor.RunID
	Worker descriptor.WorkerID
}

// Refusal tells why a job keeps waiting.
type Refusal struct {
	Job    descriptor.JobID
	Reason string
}

// Result is the outcome of one pass.
type Result struct {
	Placements []Placement
	Refusals   []Refusal
	// Preempt lists runs to checkpoint so that waiting work can start, with the job that needs it.
	Preempt map[descriptor.RunID]descriptor.JobID
}

// skipped is a candidate that found no room.
type skipped struct {
	work      *Work
	candidate orderer.Candidate
}

// Pass offers the waiting work to the workers in order and reserves what fits. All tasks of a gang
// are placed or none.
func (allocator *Allocator) Pass(now time.Time) Result {
	allocator.init()
	var result Result
	var noRoom []skipped
	allocator.orderer.Walk(now, func(candidate orderer.Candidate) orderer.Verdict {
		work, ok := allocator.works[candidate.Job]
		if !ok {
			return orderer.Drop
		}
		err := allocator.start(now, work, candidate, &result)
		if err == nil {
			return orderer.Placed
		}
		result.Refusals = append(result.Refusals, Refusal{
			Job:    work.ID,
			Reason: err.Error(),
		})
		if errors.Is(err, placer.ErrNoRoom) {
			noRoom = append(noRoom, skipped{
				work:      work,
				candidate: candidate,
			})
		}
		return orderer.Skip
	})
	allocator.dropPlaced(result.Placements)
	allocator.hold(now, noRoom)
	allocator.preempt(now, noRoom, &result)
	return result
}

// dropPlaced forgets the works that wait no longer.
func (allocator *Allocator) dropPlaced(placements []Placement) {
	for _, placement := range placements {
		if _, _, ok := allocator.orderer.Waiting(placement.Work.ID); !ok {
			allocator.Unqueue(placement.Work.ID)
		}
	}
}

// anyTask stands for all tasks of a job.
const anyTask = -1

func (allocator *Allocator) request(now time.Time, work *Work, task int) placer.Request {
	reservation, ok := allocator.orderer.Reservation(now)
	return placer.Request{
		Job:          work.ID,
		Need:         allocator.need(work),
		Where:        work.where,
		Spread:       work.Treatment.Spread,
		Avoid:        allocator.avoid(work, task),
		End:          allocator.end(work, now),
		Holder:       ok && reservation.Job == work.ID,
		TrialAllowed: work.Job.Idempotent && !work.gang(),
	}
}

func (allocator *Allocator) start(now time.Time, work *Work, candidate orderer.Candidate, result *Result) error {
	workers, err := allocator.choose(now, work, candidate.Tasks)
	if err != nil {
		return err
	}
	first := len(result.Placements)
	for i, task := range candidate.Tasks {
		run := descriptor.RunID{
			Job:     work.ID,
			Task:    task,
			Attempt: work.Attempts[task] + 1,
		}
		if err := allocator.reserve(work, allocator.need(work), run, workers[i], now, candidate.Borrowed); err != nil {
			for _, placement := range result.Placements[first:] {
				_ = allocator.placer.Release(placement.Run)
			}
			result.Placements = result.Placements[:first]
			return err
		}
		result.Placements = append(result.Placements, Placement{
			Work:   work,
			Run:    run,
			Worker: workers[i],
		})
	}
	return nil
}

func (allocator *Allocator) choose(now time.Time, work *Work, tasks []int) ([]descriptor.WorkerID, error) {
	workers, err := allocator.find(now, work, tasks)
	if !errors.Is(err, placer.ErrTooLarge) || allocator.need(work) == work.Job.Task {
		return workers, err
	}
	work.declaredOnly = true
	return allocator.find(now, work, tasks)
}

func (allocator *Allocator) find(now time.Time, work *Work, tasks []int) ([]descriptor.WorkerID, error) {
	if work.gang() {
		return allocator.placer.PlaceGang(allocator.request(now, work, anyTask), len(tasks))
	}
	worker, err := allocator.placer.Place(allocator.request(now, work, tasks[0]))
	if err == nil && allocator.waits(now, work, tasks[0], worker) {
		err = errors.Wrap(placer.ErrNoRoom, "only where it failed")
	}
	return []descriptor.WorkerID{worker}, err
}

// hold keeps workers for the first gang that found no room. Shorter work may still use them until
// the gang is expected to start.
func (allocator *Allocator) hold(now time.Time, noRoom []skipped) {
	reservation, reserved := allocator.orderer.Reservation(now)
	if !reserved {
		allocator.placer.SetHold(placer.Hold{})
	}
	for _, one := range noRoom {
		if !one.work.gang() || reserved && reservation.Job != one.work.ID {
			continue
		}
		hold, ok := allocator.placer.Forecast(allocator.request(now, one.work, anyTask), one.work.Job.TaskCount(), now)
		if ok && allocator.orderer.Reserve(now, one.work.ID, hold.Start) {
			allocator.placer.SetHold(hold)
			return
		}
	}
}

// preempt names runs of lower rank to checkpoint for the first jobs that found no room.
func (allocator *Allocator) preempt(now time.Time, noRoom []skipped, result *Result) {
	probes := 0
	for _, one := range noRoom {
		if probes == maxProbes {
			return
		}
		if one.work.gang() || now.Sub(allocator.preempted[one.work.ID]) < preemptPause {
			continue
		}
		probes++
		_, victims, ok := allocator.placer.ProbeAny(allocator.request(now, one.work, one.candidate.Tasks[0]), one.work.rank(one.candidate.Borrowed))
		if !ok || len(victims) == 0 {
			continue
		}
		allocator.preempted[one.work.ID] = now
		for _, victim := range victims {
			if result.Preempt == nil {
				result.Preempt = map[descriptor.RunID]descriptor.JobID{}
			}
			result.Preempt[victim] = one.work.ID
		}
	}
}

// Impossible returns why no known worker could ever hold the work, or nothing.
func (allocator *Allocator) Impossible(now time.Time, work *Work) string {
	allocator.init()
	_, err := allocator.choose(now, work, make([]int, work.Job.TaskCount()))
	if errors.Is(err, placer.ErrNoMatch) || errors.Is(err, placer.ErrTooLarge) {
		return err.Error()
	}
	return ""
}

// Load is a summary for other instances.
type Load struct {
	Capacity descriptor.Resources
	Free     descriptor.Resources
	Waiting  descriptor.Resources
	Teams    map[string]descriptor.Resources
}

// Load returns the capacity in use, by team, and what waits.
func (allocator *Allocator) Load() Load {
	allocator.init()
	load := Load{
		Teams: map[string]descriptor.Resources{},
	}
	load.Capacity, load.Free = allocator.placer.Totals()
	for id, work := range allocator.works {
		if _, tasks, ok := allocator.orderer.Waiting(id); ok {
			load.Waiting = load.Waiting.Add(work.Job.Task.Scale(int64(len(tasks))))
		}
	}
	for team := range allocator.teams {
		load.Teams[team] = allocator.orderer.Used(team)
	}
	return load
}
