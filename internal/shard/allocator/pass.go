package allocator

import (
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/placement/orderer"
	"pomelomoor/internal/placement/placer"
	"pomelomoor/internal/work/descriptor"
)

const (
	// preemptionCooldown is the least time between two preemptions for the same waiting job. It gives the
	// preempted runs time to save their state before more are preempted.
	preemptionCooldown = 10 * time.Second
	// maxPreemptionProbes is how many waiting jobs one scheduling pass searches runs to preempt for.
	maxPreemptionProbes = 4
)

// Placement assigns a new run to a worker.
type Placement struct {
	Work   *Work
	Run    descriptor.RunID
	Worker descriptor.WorkerID
}

// WaitReason says why a job can't start yet.
type WaitReason struct {
	Job    descriptor.JobID
	Reason string
}

// Result is the outcome of one scheduling pass.
type Result struct {
	Placements  []Placement
	WaitReasons []WaitReason
	// Preemptions maps each run that should be checkpointed to the waiting job that needs its room.
	Preemptions map[descriptor.RunID]descriptor.JobID
}

// unplacedJob is a queued candidate for which no worker had room.
type unplacedJob struct {
	work      *Work
	candidate orderer.Candidate
}

// Schedule runs one scheduling pass: it goes through the waiting jobs in queue order and reserves
// capacity for those that fit. Either all tasks of a gang are placed or none.
func (allocator *Allocator) Schedule(now time.Time) Result {
	allocator.init()
	var result Result
	var unplaced []unplacedJob
	allocator.orderer.Walk(now, func(candidate orderer.Candidate) orderer.Verdict {
		work, ok := allocator.waiting[candidate.Job]
		if !ok {
			return orderer.Drop
		}
		err := allocator.placeCandidate(now, work, candidate, &result)
		if err == nil {
			return orderer.Placed
		}
		result.WaitReasons = append(result.WaitReasons, WaitReason{
			Job:    work.ID,
			Reason: err.Error(),
		})
		if errors.Is(err, placer.ErrNoRoom) {
			unplaced = append(unplaced, unplacedJob{
				work:      work,
				candidate: candidate,
			})
		}
		return orderer.Skip
	})
	allocator.removePlaced(result.Placements)
	allocator.holdWorkers(now, unplaced)
	allocator.choosePreemptions(now, unplaced, &result)
	return result
}

// removePlaced removes the placed jobs that have no waiting tasks left.
func (allocator *Allocator) removePlaced(placements []Placement) {
	for _, placement := range placements {
		if _, _, ok := allocator.orderer.Waiting(placement.Work.ID); !ok {
			allocator.RemoveFromQueue(placement.Work.ID)
		}
	}
}

// anyTask is the task index of a request that is not for one particular task of a job.
const anyTask = -1

func (allocator *Allocator) placementRequest(now time.Time, work *Work, task int) placer.Request {
	reservation, ok := allocator.orderer.Reservation(now)
	return placer.Request{
		Job:          work.ID,
		Need:         allocator.need(work),
		Where:        work.where,
		Spread:       work.Treatment.Spread,
		Avoid:        allocator.avoidedWorkers(work, task),
		End:          allocator.expectedEnd(work, now),
		Holder:       ok && reservation.Job == work.ID,
		TrialAllowed: work.Job.Idempotent && !work.gang(),
	}
}

// placeCandidate reserves capacity for all tasks of a candidate, or for none of them if one fails.
func (allocator *Allocator) placeCandidate(now time.Time, work *Work, candidate orderer.Candidate, result *Result) error {
	workers, err := allocator.chooseWorkers(now, work, candidate.Tasks)
	if err != nil {
		return err
	}
	firstNew := len(result.Placements)
	for i, task := range candidate.Tasks {
		run := descriptor.RunID{
			Job:     work.ID,
			Task:    task,
			Attempt: work.Attempts[task] + 1,
		}
		if err := allocator.reserve(work, allocator.need(work), run, workers[i], now, candidate.Borrowed); err != nil {
			for _, placement := range result.Placements[firstNew:] {
				_ = allocator.placer.Release(placement.Run)
			}
			result.Placements = result.Placements[:firstNew]
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

// chooseWorkers returns a worker for each task. If the learned size is too large for all workers, it
// switches the job to its declared size.
func (allocator *Allocator) chooseWorkers(now time.Time, work *Work, tasks []int) ([]descriptor.WorkerID, error) {
	workers, err := allocator.findWorkers(now, work, tasks)
	if !errors.Is(err, placer.ErrTooLarge) || allocator.need(work) == work.Job.Task {
		return workers, err
	}
	work.useDeclaredSize = true
	return allocator.findWorkers(now, work, tasks)
}

func (allocator *Allocator) findWorkers(now time.Time, work *Work, tasks []int) ([]descriptor.WorkerID, error) {
	if work.gang() {
		return allocator.placer.PlaceGang(allocator.placementRequest(now, work, anyTask), len(tasks))
	}
	worker, err := allocator.placer.Place(allocator.placementRequest(now, work, tasks[0]))
	if err == nil && allocator.shouldWait(now, work, tasks[0], worker) {
		err = errors.Wrap(placer.ErrNoRoom, "room only on workers on which the job failed")
	}
	return []descriptor.WorkerID{worker}, err
}

// holdWorkers holds workers for the first gang that found no room. Work that ends before the gang is
// expected to start may still use them (backfilling).
func (allocator *Allocator) holdWorkers(now time.Time, unplaced []unplacedJob) {
	reservation, reserved := allocator.orderer.Reservation(now)
	if !reserved {
		allocator.placer.SetHold(placer.Hold{})
	}
	for _, job := range unplaced {
		if !job.work.gang() || reserved && reservation.Job != job.work.ID {
			continue
		}
		hold, ok := allocator.placer.Forecast(allocator.placementRequest(now, job.work, anyTask), job.work.Job.TaskCount(), now)
		if ok && allocator.orderer.Reserve(now, job.work.ID, hold.Start) {
			allocator.placer.SetHold(hold)
			return
		}
	}
}

// choosePreemptions selects runs of a higher rank to checkpoint for the first jobs that found no room.
func (allocator *Allocator) choosePreemptions(now time.Time, unplaced []unplacedJob, result *Result) {
	probes := 0
	for _, job := range unplaced {
		if probes == maxPreemptionProbes {
			return
		}
		if job.work.gang() || now.Sub(allocator.lastPreemption[job.work.ID]) < preemptionCooldown {
			continue
		}
		probes++
		_, victims, ok := allocator.placer.ProbeAny(allocator.placementRequest(now, job.work, job.candidate.Tasks[0]), job.work.rank(job.candidate.Borrowed))
		if !ok || len(victims) == 0 {
			continue
		}
		allocator.lastPreemption[job.work.ID] = now
		for _, victim := range victims {
			if result.Preemptions == nil {
				result.Preemptions = map[descriptor.RunID]descriptor.JobID{}
			}
			result.Preemptions[victim] = job.work.ID
		}
	}
}

// ImpossibleReason returns why no known worker could ever run the job, or an empty string if one could.
func (allocator *Allocator) ImpossibleReason(now time.Time, work *Work) string {
	allocator.init()
	_, err := allocator.chooseWorkers(now, work, make([]int, work.Job.TaskCount()))
	if errors.Is(err, placer.ErrNoMatch) || errors.Is(err, placer.ErrTooLarge) {
		return err.Error()
	}
	return ""
}

// Load summarises the shard's capacity and demand for other instances.
type Load struct {
	Capacity descriptor.Resources
	Free     descriptor.Resources
	Waiting  descriptor.Resources
	Teams    map[string]descriptor.Resources
}

// Load returns the total and the free capacity, the resources that waiting tasks ask for, and the use of
// each team.
func (allocator *Allocator) Load() Load {
	allocator.init()
	load := Load{
		Teams: map[string]descriptor.Resources{},
	}
	load.Capacity, load.Free = allocator.placer.Totals()
	for id, work := range allocator.waiting {
		if _, tasks, ok := allocator.orderer.Waiting(id); ok {
			load.Waiting = load.Waiting.Add(work.Job.Task.Scale(int64(len(tasks))))
		}
	}
	for team := range allocator.teams {
		load.Teams[team] = allocator.orderer.Used(team)
	}
	return load
}
