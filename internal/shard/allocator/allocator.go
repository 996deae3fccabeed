// Package allocator schedules the tasks of one shard: it decides which waiting task starts next and on
// which worker. It combines the placement packages and keeps their views of workers, allocations and
// team usage consistent.
package allocator

import (
	"time"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/placement/detector"
	"pomelomoor/internal/placement/estimator"
	"pomelomoor/internal/placement/orderer"
	"pomelomoor/internal/placement/placer"
	"pomelomoor/internal/work/descriptor"
	"pomelomoor/internal/work/selector"
)

// Worker describes a worker that has reported its capacity.
type Worker struct {
	ID       descriptor.WorkerID
	Place    descriptor.Place
	Labels   descriptor.Labels
	Capacity descriptor.Resources
	// Closed means that the worker takes no new runs, for instance because it is leaving or unresponsive.
	Closed bool
}

// QueuedJob holds a job together with its scheduling state.
type QueuedJob struct {
	ID              descriptor.JobID
	Job             *descriptor.Job
	EffectivePolicy parser.EffectivePolicy
	Arrival         time.Time
	// Attempts holds the latest attempt number of each task.
	Attempts []int
	// DisplacedAt is when a straggling run of the job was last displaced; zero means never.
	DisplacedAt time.Time
	// Avoid lists workers on which the job's runs failed.
	Avoid []descriptor.WorkerID

	filter placer.Filter
	// useDeclaredSize is set once no worker is large enough for the learned size.
	useDeclaredSize bool
	// failures is keyed by task. lastFailedAt is the time of the latest failure of any task.
	failures     map[int]taskFailures
	lastFailedAt time.Time
}

// NewQueuedJob returns the scheduling state of a new job. It fails if the job's selector is malformed.
func NewQueuedJob(id descriptor.JobID, job *descriptor.Job, effectivePolicy parser.EffectivePolicy, arrival time.Time) (*QueuedJob, error) {
	queuedJob := &QueuedJob{
		ID:       id,
		Job:      job,
		Arrival:  arrival,
		Attempts: make([]int, job.TaskCount()),
	}
	return queuedJob, queuedJob.SetEffectivePolicy(effectivePolicy)
}

// SetEffectivePolicy replaces the policies that apply to the job. The caller must enqueue a waiting job again
// afterwards.
func (queuedJob *QueuedJob) SetEffectivePolicy(effectivePolicy parser.EffectivePolicy) error {
	jobSelector, err := selector.Parse(queuedJob.Job.Where)
	if err != nil {
		return err
	}
	queuedJob.EffectivePolicy = effectivePolicy
	queuedJob.filter = placer.NewFilter(append([]selector.Selector{jobSelector}, effectivePolicy.Where...)...)
	return nil
}

func (queuedJob *QueuedJob) gang() bool {
	return queuedJob.Job.Kind == descriptor.KindGang
}

// rank returns the preemption rank of a run. Urgency comes first, then whether the team is within its
// quota. Runs may be preempted only for work of a lower rank.
func (queuedJob *QueuedJob) rank(overQuota bool) int {
	rank := 2 * queuedJob.EffectivePolicy.Urgency.Rank()
	if overQuota {
		rank++
	}
	return rank
}

// Allocator holds the waiting jobs and the allocations of one shard. The zero value is ready to use.
type Allocator struct {
	placer    placer.Placer
	orderer   orderer.Orderer
	estimator estimator.Estimator
	detector  detector.Detector

	workers map[descriptor.WorkerID]Worker
	waiting map[descriptor.JobID]*QueuedJob
	// unallocatedRuns maps each adopted run that does not fit its worker by the declared sizes to that
	// worker. unallocatedCount holds the number of such runs for each worker.
	unallocatedRuns  map[descriptor.RunID]descriptor.WorkerID
	unallocatedCount map[descriptor.WorkerID]int
	// teams holds every team that has had a run or a waiting job.
	teams map[string]struct{}
	// otherShardsUsage is what each team uses in other shards.
	otherShardsUsage map[string]descriptor.Resources
	// lastPreemption is when runs of other jobs were last checkpointed to free capacity for a waiting job.
	lastPreemption map[descriptor.JobID]time.Time
	// failingWorkers holds the workers whose latest runs all failed.
	failingWorkers map[descriptor.WorkerID]struct{}
}

func (allocator *Allocator) init() {
	if allocator.workers != nil {
		return
	}
	allocator.workers = map[descriptor.WorkerID]Worker{}
	allocator.waiting = map[descriptor.JobID]*QueuedJob{}
	allocator.unallocatedRuns = map[descriptor.RunID]descriptor.WorkerID{}
	allocator.unallocatedCount = map[descriptor.WorkerID]int{}
	allocator.lastPreemption = map[descriptor.JobID]time.Time{}
	allocator.teams = map[string]struct{}{}
	allocator.failingWorkers = map[descriptor.WorkerID]struct{}{}
}

// SetWorker adds a worker or updates its description.
func (allocator *Allocator) SetWorker(worker Worker) {
	allocator.init()
	if _, ok := allocator.workers[worker.ID]; !ok {
		allocator.detector.Add(worker.ID)
	}
	allocator.workers[worker.ID] = worker
	allocator.updatePlacer(worker.ID)
}

// updatePlacer passes a worker's description and state to the placer if they have changed.
func (allocator *Allocator) updatePlacer(id descriptor.WorkerID) {
	worker, ok := allocator.workers[id]
	if !ok {
		return
	}
	state := placer.InUse
	switch {
	case worker.Closed, allocator.unallocatedCount[id] > 0:
		state = placer.Leaving
	case allocator.detector.State(id) == detector.Quarantined:
		state = placer.Quarantined
	case allocator.detector.State(id) == detector.Trial:
		state = placer.Trial
	}
	current, _, known := allocator.placer.Worker(id)
	updated := placer.Worker{
		ID:       id,
		Place:    worker.Place,
		Labels:   worker.Labels,
		Capacity: worker.Capacity,
		State:    state,
	}
	if known && current.State == state && current.Capacity == worker.Capacity && current.Place == worker.Place && equalLabels(current.Labels, worker.Labels) {
		return
	}
	if err := allocator.placer.SetWorker(updated); err != nil {
		// The capacity is invalid, so the worker gets no runs.
		allocator.placer.RemoveWorker(id)
	}
}

func equalLabels(a, b descriptor.Labels) bool {
	if len(a) != len(b) {
		return false
	}
	for key, value := range a {
		if found, ok := b[key]; !ok || found != value {
			return false
		}
	}
	return true
}

// RemoveWorker removes a worker that has no runs.
func (allocator *Allocator) RemoveWorker(id descriptor.WorkerID) {
	allocator.init()
	delete(allocator.workers, id)
	delete(allocator.failingWorkers, id)
	allocator.placer.RemoveWorker(id)
	allocator.applyChanges(allocator.detector.Remove(id))
}

func (allocator *Allocator) applyChanges(changes []detector.Change) {
	for _, change := range changes {
		allocator.updatePlacer(change.Worker)
	}
}

// RecordRunEnd updates the failure statistics of the worker and the size and run time estimates of the
// job's class after a run has succeeded or failed.
func (allocator *Allocator) RecordRunEnd(now time.Time, queuedJob *QueuedJob, worker descriptor.WorkerID, peak descriptor.Resources, runTime time.Duration, failed bool) {
	allocator.init()
	allocator.applyChanges(allocator.detector.Report(now, worker, queuedJob.ID, failed))
	allocator.updateFailing(worker, failed)
	allocator.estimator.Finish(estimator.ClassOf(queuedJob.Job), peak, runTime, !failed, now)
}

// ObserveUsage updates the estimates with the measured usage of a run in progress. If the run uses more
// memory than its allocation, the allocation grows to that size, provided that it fits on the worker.
func (allocator *Allocator) ObserveUsage(queuedJob *QueuedJob, run descriptor.RunID, usage descriptor.Usage) {
	allocator.estimator.Observe(estimator.ClassOf(queuedJob.Job), usage)
	allocation, _, ok := allocator.placer.Allocation(run)
	if !ok || usage.MemoryBytes <= allocation.Need.MemoryBytes {
		return
	}
	allocation.Need.MemoryBytes = usage.MemoryBytes
	// The error can be ignored: if the allocation can't grow, the worker has no free memory that other
	// work could be allocated.
	_ = allocator.placer.UpdateAllocation(allocation)
}

// Estimates returns the learned estimates, to be stored for the next owner of the shard.
func (allocator *Allocator) Estimates() []estimator.ClassStats {
	return allocator.estimator.Export()
}

// ImportEstimates loads the estimates that an earlier owner of the shard stored.
func (allocator *Allocator) ImportEstimates(allStats []estimator.ClassStats) {
	allocator.estimator.Import(allStats)
}

// need returns what a new run of the job is allocated: the larger of the declared and the learned size.
// Only the declared size counts if no worker is large enough for the learned one, so that a wrong
// estimate can't keep the job from running.
func (allocator *Allocator) need(queuedJob *QueuedJob) descriptor.Resources {
	if queuedJob.useDeclaredSize {
		return queuedJob.Job.Task
	}
	return allocator.estimate(queuedJob).Resources
}

// RemainingTime returns the expected remaining run time of a run that has lasted for elapsed.
func (allocator *Allocator) RemainingTime(queuedJob *QueuedJob, elapsed time.Duration) time.Duration {
	return allocator.estimate(queuedJob).Remaining(elapsed)
}

func (allocator *Allocator) estimate(queuedJob *QueuedJob) estimator.Estimate {
	return allocator.estimator.Estimate(estimator.ClassOf(queuedJob.Job), queuedJob.Job.Task, queuedJob.Job.RunTime.Duration)
}

// Tick moves workers into and out of quarantine as time passes, and releases the held workers once no
// gang has a reservation.
func (allocator *Allocator) Tick(now time.Time) {
	allocator.init()
	allocator.applyChanges(allocator.detector.Tick(now))
	if _, ok := allocator.orderer.Reservation(now); !ok {
		allocator.placer.SetHold(placer.Hold{})
	}
}

// Configure replaces the team quotas of the old configuration by those of the current one. Old may be
// nil.
func (allocator *Allocator) Configure(old, current *parser.Compiled) {
	if old != nil {
		for _, team := range old.Config.Teams {
			allocator.orderer.SetTeam(team.Name, descriptor.Resources{})
		}
	}
	for _, team := range current.Config.Teams {
		allocator.orderer.SetTeam(team.Name, team.Quota)
	}
}

// SetOtherShardsUsage sets what the teams use in other shards. Teams that are not in the map use nothing
// there.
func (allocator *Allocator) SetOtherShardsUsage(teams map[string]descriptor.Resources) {
	for team := range allocator.otherShardsUsage {
		if _, ok := teams[team]; !ok {
			allocator.orderer.SetOtherShardsUsage(team, descriptor.Resources{})
		}
	}
	for team, used := range teams {
		allocator.orderer.SetOtherShardsUsage(team, used)
	}
	allocator.otherShardsUsage = teams
}

// AdoptRun allocates capacity to a run that already is, or may be, on a worker. If even the declared size
// doesn't fit, the worker takes no new runs until this run has ended.
func (allocator *Allocator) AdoptRun(queuedJob *QueuedJob, run descriptor.RunID, worker descriptor.WorkerID, started time.Time) {
	allocator.init()
	allocator.teams[queuedJob.Job.Team] = struct{}{}
	allocator.orderer.Charge(queuedJob.Job.Team, queuedJob.Job.Task)
	overQuota := allocator.orderer.OverQuota(queuedJob.Job.Team)
	for _, need := range []descriptor.Resources{allocator.need(queuedJob), queuedJob.Job.Task} {
		if allocator.allocate(queuedJob, need, run, worker, started, overQuota) == nil {
			return
		}
	}
	allocator.unallocatedRuns[run] = worker
	allocator.unallocatedCount[worker]++
	allocator.updatePlacer(worker)
}

func (allocator *Allocator) allocate(queuedJob *QueuedJob, need descriptor.Resources, run descriptor.RunID, worker descriptor.WorkerID, started time.Time, overQuota bool) error {
	allocation := placer.Allocation{
		Run:         run,
		Need:        need,
		Rank:        queuedJob.rank(overQuota),
		Preemptible: queuedJob.EffectivePolicy.Preemptible && queuedJob.Job.Checkpointable && queuedJob.Job.Idempotent && !queuedJob.gang(),
		End:         allocator.expectedEnd(queuedJob, started),
	}
	return allocator.placer.Allocate(worker, allocation)
}

func (allocator *Allocator) expectedEnd(queuedJob *QueuedJob, started time.Time) time.Time {
	if queuedJob.Job.Kind == descriptor.KindService {
		return time.Time{}
	}
	return started.Add(allocator.estimate(queuedJob).RunTime)
}

// Release frees the capacity of a run that has ended.
func (allocator *Allocator) Release(queuedJob *QueuedJob, run descriptor.RunID) {
	allocator.init()
	allocator.orderer.Credit(queuedJob.Job.Team, queuedJob.Job.Task)
	if worker, ok := allocator.unallocatedRuns[run]; ok {
		delete(allocator.unallocatedRuns, run)
		allocator.unallocatedCount[worker]--
		allocator.updatePlacer(worker)
		return
	}
	// The allocation may already be gone, because its worker was removed.
	_ = allocator.placer.Release(run)
}

// Enqueue adds tasks of a job to the queue, or updates the entry of a waiting job.
func (allocator *Allocator) Enqueue(queuedJob *QueuedJob, tasks ...int) {
	allocator.init()
	allocator.waiting[queuedJob.ID] = queuedJob
	allocator.teams[queuedJob.Job.Team] = struct{}{}
	allocator.orderer.Add(orderer.Entry{
		Job:             queuedJob.ID,
		Team:            queuedJob.Job.Team,
		Urgency:         queuedJob.EffectivePolicy.Urgency,
		Need:            queuedJob.Job.Task,
		Gang:            queuedJob.gang(),
		Deadline:        queuedJob.Job.Deadline,
		Estimate:        allocator.estimate(queuedJob).RunTime,
		Arrival:         queuedJob.Arrival,
		DeprioritizedAt: queuedJob.DisplacedAt,
	}, tasks...)
}

// RemoveFromQueue removes a job and all its waiting tasks from the queue.
func (allocator *Allocator) RemoveFromQueue(job descriptor.JobID) {
	allocator.orderer.Remove(job)
	delete(allocator.waiting, job)
	delete(allocator.lastPreemption, job)
}
