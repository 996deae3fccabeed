package allocator

import (
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/placement/orderer"
	"pomelomoor/internal/placement/placer"
	"pomelomoor/internal/work/descriptor"
)

// Straggler is a run that has lasted far longer than expected and that may be displaced by other work.
type Straggler struct {
	QueuedJob *QueuedJob
	Run       descriptor.RunID
	Elapsed   time.Duration
}

// Straggling reports whether a run of the job has lasted far longer than expected. A job with a run that
// was displaced before is known to be long, so its runs count as straggling as soon as they have lasted
// for their estimate.
func (allocator *Allocator) Straggling(queuedJob *QueuedJob, elapsed time.Duration) bool {
	estimate := allocator.estimate(queuedJob)
	if !queuedJob.DisplacedAt.IsZero() {
		return elapsed > estimate.RunTime
	}
	return estimate.Straggling(elapsed)
}

// displacingJob is a waiting job that may displace stragglers because it fits on no worker.
type displacingJob struct {
	queuedJob *QueuedJob
	// unmatchedTasks is the number of waiting tasks for which no straggler has been chosen yet.
	unmatchedTasks int
}

// ChooseDisplaced returns the stragglers to displace, each with the shorter job of the same or a higher
// urgency that fits in its place. Only the jobs within the look-ahead of the orderer are considered.
func (allocator *Allocator) ChooseDisplaced(now time.Time, stragglers []Straggler) map[descriptor.RunID]descriptor.JobID {
	if len(stragglers) == 0 {
		return nil
	}
	displaced := map[descriptor.RunID]descriptor.JobID{}
	waiting := allocator.displacingJobs(now)
	for _, straggler := range stragglers {
		for _, job := range waiting {
			if job.unmatchedTasks > 0 && allocator.mayDisplace(now, job.queuedJob, straggler) {
				job.unmatchedTasks--
				allocator.lastPreemption[job.queuedJob.ID] = now
				displaced[straggler.Run] = job.queuedJob.ID
				break
			}
		}
	}
	return displaced
}

// displacingJobs returns the waiting jobs, in queue order, with the number of tasks that fit on no worker.
// Gangs, jobs that were displaced themselves and jobs in their preemption cooldown are left out.
func (allocator *Allocator) displacingJobs(now time.Time) []*displacingJob {
	var jobs []*displacingJob
	allocator.orderer.Walk(now, func(candidate orderer.Candidate) orderer.Decision {
		queuedJob, ok := allocator.waiting[candidate.Job]
		if ok && !queuedJob.gang() && queuedJob.DisplacedAt.IsZero() && now.Sub(allocator.lastPreemption[queuedJob.ID]) >= preemptionCooldown {
			jobs = append(jobs, &displacingJob{
				queuedJob: queuedJob,
			})
		}
		return orderer.Skip
	})
	for _, job := range jobs {
		_, tasks, _ := allocator.orderer.Waiting(job.queuedJob.ID)
		if len(tasks) == 0 {
			continue
		}
		if _, err := allocator.chooseWorkers(now, job.queuedJob, tasks[:1]); errors.Is(err, placer.ErrNoCapacity) {
			job.unmatchedTasks = len(tasks)
		}
	}
	return jobs
}

func (allocator *Allocator) mayDisplace(now time.Time, queuedJob *QueuedJob, straggler Straggler) bool {
	return queuedJob.ID != straggler.QueuedJob.ID &&
		queuedJob.EffectivePolicy.Urgency.Rank() <= straggler.QueuedJob.EffectivePolicy.Urgency.Rank() &&
		allocator.estimate(queuedJob).RunTime < straggler.Elapsed &&
		allocator.placer.FitsInPlaceOf(allocator.placementRequest(now, queuedJob, anyTask), straggler.Run)
}
