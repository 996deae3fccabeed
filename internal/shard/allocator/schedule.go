package allocator

import (
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/placement/orderer"
	"pomelomoor/internal/placement/placer"
	"pomelomoor/internal/work/descriptor"
)

const (
	// preemptionCooldown is the minimum time between two preemptions for the same waiting job. It gives the
	// preempted runs time to save their state before more are preempted.
	preemptionCooldown = 10 * time.Second
	// maxPreemptionSearches is how many waiting jobs one scheduling pass searches runs to preempt for.
	maxPreemptionSearches = 4
)

// Placement assigns a new run to a worker.
type Placement struct {
	QueuedJob *QueuedJob
	Run       descriptor.RunID
	Worker    descriptor.WorkerID
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
	// Preemptions maps each run that should be checkpointed to the waiting job that needs its capacity.
	Preemptions map[descriptor.RunID]descriptor.JobID
}

// unplacedJob is a queued candidate that fits on no worker.
type unplacedJob struct {
	queuedJob *QueuedJob
	candidate orderer.Candidate
}

// Schedule runs one scheduling pass: it goes through the waiting jobs in queue order and allocates
// capacity to those that fit. Either all tasks of a gang are placed or none.
func (allocator *Allocator) Schedule(now time.Time) Result {
	allocator.init()
	var result Result
	var unplaced []unplacedJob
	allocator.orderer.Walk(now, func(candidate orderer.Candidate) orderer.Decision {
		queuedJob, ok := allocator.waiting[candidate.Job]
		if !ok {
			return orderer.Drop
		}
		err := allocator.placeCandidate(now, queuedJob, candidate, &result)
		if err == nil {
			return orderer.Placed
		}
		result.WaitReasons = append(result.WaitReasons, WaitReason{
			Job:    queuedJob.ID,
			Reason: err.Error(),
		})
		if errors.Is(err, placer.ErrNoCapacity) {
			unplaced = append(unplaced, unplacedJob{
				queuedJob: queuedJob,
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
		if _, _, ok := allocator.orderer.Waiting(placement.QueuedJob.ID); !ok {
			allocator.RemoveFromQueue(placement.QueuedJob.ID)
		}
	}
}

// anyTask is the task index of a request that is not for one particular task of a job.
const anyTask = -1

func (allocator *Allocator) placementRequest(now time.Time, queuedJob *QueuedJob, task int) placer.Request {
	reservation, ok := allocator.orderer.Reservation(now)
	return placer.Request{
		Job:         queuedJob.ID,
		Need:        allocator.need(queuedJob),
		Filter:      queuedJob.filter,
		Spread:      queuedJob.EffectivePolicy.Spread,
		Avoid:       allocator.avoidedWorkers(queuedJob, task),
		End:         allocator.expectedEnd(queuedJob, now),
		OwnsHold:    ok && reservation.Job == queuedJob.ID,
		PreferTrial: queuedJob.Job.Idempotent && !queuedJob.gang(),
	}
}

// placeCandidate allocates capacity to all tasks of a candidate, or to none of them if one fails.
func (allocator *Allocator) placeCandidate(now time.Time, queuedJob *QueuedJob, candidate orderer.Candidate, result *Result) error {
	workers, err := allocator.chooseWorkers(now, queuedJob, candidate.Tasks)
	if err != nil {
		return err
	}
	firstNew := len(result.Placements)
	for i, task := range candidate.Tasks {
		run := descriptor.RunID{
			Job:     queuedJob.ID,
			Task:    task,
			Attempt: queuedJob.Attempts[task] + 1,
		}
		if err := allocator.allocate(queuedJob, allocator.need(queuedJob), run, workers[i], now, candidate.OverQuota); err != nil {
			for _, placement := range result.Placements[firstNew:] {
				_ = allocator.placer.Release(placement.Run)
			}
			result.Placements = result.Placements[:firstNew]
			return err
		}
		result.Placements = append(result.Placements, Placement{
			QueuedJob: queuedJob,
			Run:       run,
			Worker:    workers[i],
		})
	}
	return nil
}

// chooseWorkers returns a worker for each task. If the learned size is too large for all workers, it
// switches the job to its declared size.
func (allocator *Allocator) chooseWorkers(now time.Time, queuedJob *QueuedJob, tasks []int) ([]descriptor.WorkerID, error) {
	workers, err := allocator.findWorkers(now, queuedJob, tasks)
	if !errors.Is(err, placer.ErrTooLarge) || allocator.need(queuedJob) == queuedJob.Job.Task {
		return workers, err
	}
	queuedJob.useDeclaredSize = true
	return allocator.findWorkers(now, queuedJob, tasks)
}

func (allocator *Allocator) findWorkers(now time.Time, queuedJob *QueuedJob, tasks []int) ([]descriptor.WorkerID, error) {
	if queuedJob.gang() {
		return allocator.placer.PlaceGang(allocator.placementRequest(now, queuedJob, anyTask), len(tasks))
	}
	worker, err := allocator.placer.Place(allocator.placementRequest(now, queuedJob, tasks[0]))
	if err == nil && allocator.shouldWait(now, queuedJob, tasks[0], worker) {
		err = errors.Wrap(placer.ErrNoCapacity, "free capacity only on workers on which the job failed")
	}
	return []descriptor.WorkerID{worker}, err
}

// holdWorkers holds workers for the first gang that does not fit. Work that ends before the gang is
// expected to start may still use them (backfilling).
func (allocator *Allocator) holdWorkers(now time.Time, unplaced []unplacedJob) {
	reservation, reserved := allocator.orderer.Reservation(now)
	if !reserved {
		allocator.placer.SetHold(placer.Hold{})
	}
	for _, job := range unplaced {
		if !job.queuedJob.gang() || reserved && reservation.Job != job.queuedJob.ID {
			continue
		}
		hold, ok := allocator.placer.Forecast(allocator.placementRequest(now, job.queuedJob, anyTask), job.queuedJob.Job.TaskCount(), now)
		if ok && allocator.orderer.Reserve(now, job.queuedJob.ID, hold.Start) {
			allocator.placer.SetHold(hold)
			return
		}
	}
}

// choosePreemptions selects runs of a higher rank to checkpoint for the first jobs that do not fit.
func (allocator *Allocator) choosePreemptions(now time.Time, unplaced []unplacedJob, result *Result) {
	searches := 0
	for _, job := range unplaced {
		if searches == maxPreemptionSearches {
			return
		}
		if job.queuedJob.gang() || now.Sub(allocator.lastPreemption[job.queuedJob.ID]) < preemptionCooldown {
			continue
		}
		searches++
		_, victims, ok := allocator.placer.FindVictimsOnAnyWorker(allocator.placementRequest(now, job.queuedJob, job.candidate.Tasks[0]), job.queuedJob.rank(job.candidate.OverQuota))
		if !ok || len(victims) == 0 {
			continue
		}
		allocator.lastPreemption[job.queuedJob.ID] = now
		for _, victim := range victims {
			if result.Preemptions == nil {
				result.Preemptions = map[descriptor.RunID]descriptor.JobID{}
			}
			result.Preemptions[victim] = job.queuedJob.ID
		}
	}
}

// ImpossibleReason returns why no known worker could ever run the job, or an empty string if one could.
func (allocator *Allocator) ImpossibleReason(now time.Time, queuedJob *QueuedJob) string {
	allocator.init()
	_, err := allocator.chooseWorkers(now, queuedJob, make([]int, queuedJob.Job.TaskCount()))
	if errors.Is(err, placer.ErrNoMatch) || errors.Is(err, placer.ErrTooLarge) {
		return err.Error()
	}
	return ""
}

// LoadSummary summarises the shard's capacity and demand for other instances.
type LoadSummary struct {
	Capacity descriptor.Resources
	Free     descriptor.Resources
	Waiting  descriptor.Resources
	Teams    map[string]descriptor.Resources
}

// LoadSummary returns the total and the free capacity, the resources that waiting tasks request, and the
// usage of each team.
func (allocator *Allocator) LoadSummary() LoadSummary {
	allocator.init()
	summary := LoadSummary{
		Teams: map[string]descriptor.Resources{},
	}
	summary.Capacity, summary.Free = allocator.placer.Totals()
	for id, queuedJob := range allocator.waiting {
		if _, tasks, ok := allocator.orderer.Waiting(id); ok {
			summary.Waiting = summary.Waiting.Add(queuedJob.Job.Task.Scale(int64(len(tasks))))
		}
	}
	for team := range allocator.teams {
		summary.Teams[team] = allocator.orderer.Used(team)
	}
	return summary
}
