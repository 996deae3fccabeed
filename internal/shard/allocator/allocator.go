// Package allocator schedules the tasks of one shard: it decides which waiting task starts next and on
// which worker. It combines the placement packages and keeps their views of workers, reservations and
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

// Work holds a job together with its scheduling state.
type Work struct {
	ID        descriptor.JobID
	Job       *descriptor.Job
	Treatment parser.Treatment
	Arrival   time.Time
	// Attempts holds the latest attempt number of each task.
	Attempts []int
	// DisplacedAt is when a straggling run of the job was last displaced; zero means never.
	DisplacedAt time.Time
	// Avoid lists workers on which the job's runs failed.
	Avoid []descriptor.WorkerID

	where placer.Where
	// useDeclaredSize is set once no worker is large enough for the learned size.
	useDeclaredSize bool
	// failures is keyed by task. lastFailedAt is the time of the latest failure of any task.
	failures     map[int]taskFailures
	lastFailedAt time.Time
}

// NewWork returns the scheduling state of a new job. It fails if the job's selector is malformed.
func NewWork(id descriptor.JobID, job *descriptor.Job, treatment parser.Treatment, arrival time.Time) (*Work, error) {
	work := &Work{
		ID:       id,
		Job:      job,
		Arrival:  arrival,
		Attempts: make([]int, job.TaskCount()),
	}
	return work, work.SetTreatment(treatment)
}

// SetTreatment replaces the policies that apply to the job. The caller must enqueue a waiting job again
// afterwards.
func (work *Work) SetTreatment(treatment parser.Treatment) error {
	jobSelector, err := selector.Parse(work.Job.Where)
	if err != nil {
		return err
	}
	work.Treatment = treatment
	work.where = placer.NewWhere(append([]selector.Selector{jobSelector}, treatment.Where...)...)
	return nil
}

func (work *Work) gang() bool {
	return work.Job.Kind == descriptor.KindGang
}

// rank returns the preemption rank of a run. Urgency comes first, then whether the team is within its
// quota. Runs may be preempted only for work of a lower rank.
func (work *Work) rank(borrowed bool) int {
	rank := 2 * work.Treatment.Urgency.Rank()
	if borrowed {
		rank++
	}
	return rank
}

// Allocator holds the waiting jobs and the reservations of one shard. The zero value is ready to use.
type Allocator struct {
	placer    placer.Placer
	orderer   orderer.Orderer
	estimator estimator.Estimator
	detector  detector.Detector

	workers map[descriptor.WorkerID]Worker
	waiting map[descriptor.JobID]*Work
	// unreservedRuns maps each adopted run that does not fit its worker by the declared sizes to that
	// worker. unreservedCount holds the number of such runs for each worker.
	unreservedRuns  map[descriptor.RunID]descriptor.WorkerID
	unreservedCount map[descriptor.WorkerID]int
	// teams holds every team that has had a run or a waiting job.
	teams map[string]struct{}
	// usedElsewhere is what each team uses in other shards.
	usedElsewhere map[string]descriptor.Resources
	// lastPreemption is when runs of other jobs were last checkpointed to make room for a waiting job.
	lastPreemption map[descriptor.JobID]time.Time
	// failingWorkers holds the workers whose latest runs all failed.
	failingWorkers map[descriptor.WorkerID]struct{}
}

func (allocator *Allocator) init() {
	if allocator.workers != nil {
		return
	}
	allocator.workers = map[descriptor.WorkerID]Worker{}
	allocator.waiting = map[descriptor.JobID]*Work{}
	allocator.unreservedRuns = map[descriptor.RunID]descriptor.WorkerID{}
	allocator.unreservedCount = map[descriptor.WorkerID]int{}
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
	case worker.Closed, allocator.unreservedCount[id] > 0:
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
func (allocator *Allocator) RecordRunEnd(now time.Time, work *Work, worker descriptor.WorkerID, peak descriptor.Resources, runTime time.Duration, failed bool) {
	allocator.init()
	allocator.applyChanges(allocator.detector.Report(now, worker, work.ID, failed))
	allocator.updateFailing(worker, failed)
	allocator.estimator.Finish(estimator.ClassOf(work.Job), peak, runTime, !failed, now)
}

// ObserveUsage updates the estimates with the measured usage of a run in progress. If the run uses more
// memory than it has reserved, its reservation grows to that size, provided that the worker has room.
func (allocator *Allocator) ObserveUsage(work *Work, run descriptor.RunID, usage descriptor.Usage) {
	allocator.estimator.Observe(estimator.ClassOf(work.Job), usage)
	reservation, _, ok := allocator.placer.Reserved(run)
	if !ok || usage.MemoryBytes <= reservation.Need.MemoryBytes {
		return
	}
	reservation.Need.MemoryBytes = usage.MemoryBytes
	// The error can be ignored: if the reservation can't grow, the worker has no free memory that other
	// work could reserve.
	_ = allocator.placer.Change(reservation)
}

// Estimates returns the learned estimates, to be stored for the next owner of the shard.
func (allocator *Allocator) Estimates() []estimator.State {
	return allocator.estimator.Export()
}

// ImportEstimates loads the estimates that an earlier owner of the shard stored.
func (allocator *Allocator) ImportEstimates(states []estimator.State) {
	allocator.estimator.Import(states)
}

// need returns what a new run of the job reserves: the larger of the declared and the learned size. Only
// the declared size counts if no worker is large enough for the learned one, so that a wrong estimate
// can't keep the job from running.
func (allocator *Allocator) need(work *Work) descriptor.Resources {
	if work.useDeclaredSize {
		return work.Job.Task
	}
	return allocator.estimate(work).Resources
}

// RemainingTime returns the expected remaining run time of a run that has lasted for elapsed.
func (allocator *Allocator) RemainingTime(work *Work, elapsed time.Duration) time.Duration {
	return allocator.estimate(work).Remaining(elapsed)
}

func (allocator *Allocator) estimate(work *Work) estimator.Estimate {
	return allocator.estimator.Estimate(estimator.ClassOf(work.Job), work.Job.Task, work.Job.RunTime.Duration)
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

// SetElsewhere sets what the teams use in other shards. Teams that are not in the map use nothing there.
func (allocator *Allocator) SetElsewhere(teams map[string]descriptor.Resources) {
	for team := range allocator.usedElsewhere {
		if _, ok := teams[team]; !ok {
			allocator.orderer.SetElsewhere(team, descriptor.Resources{})
		}
	}
	for team, used := range teams {
		allocator.orderer.SetElsewhere(team, used)
	}
	allocator.usedElsewhere = teams
}

// AdoptRun reserves capacity for a run that already is, or may be, on a worker. If even the declared size
// doesn't fit, the worker takes no new runs until this run has ended.
func (allocator *Allocator) AdoptRun(work *Work, run descriptor.RunID, worker descriptor.WorkerID, started time.Time) {
	allocator.init()
	allocator.teams[work.Job.Team] = struct{}{}
	allocator.orderer.Charge(work.Job.Team, work.Job.Task)
	borrowed := allocator.orderer.Borrowing(work.Job.Team)
	for _, need := range []descriptor.Resources{allocator.need(work), work.Job.Task} {
		if allocator.reserve(work, need, run, worker, started, borrowed) == nil {
			return
		}
	}
	allocator.unreservedRuns[run] = worker
	allocator.unreservedCount[worker]++
	allocator.updatePlacer(worker)
}

func (allocator *Allocator) reserve(work *Work, need descriptor.Resources, run descriptor.RunID, worker descriptor.WorkerID, started time.Time, borrowed bool) error {
	reservation := placer.Reservation{
		Run:         run,
		Need:        need,
		Rank:        work.rank(borrowed),
		Preemptible: work.Treatment.Preemptible && work.Job.Checkpointable && work.Job.Idempotent && !work.gang(),
		End:         allocator.expectedEnd(work, started),
	}
	return allocator.placer.Reserve(worker, reservation)
}

func (allocator *Allocator) expectedEnd(work *Work, started time.Time) time.Time {
	if work.Job.Kind == descriptor.KindService {
		return time.Time{}
	}
	return started.Add(allocator.estimate(work).RunTime)
}

// Release frees the capacity of a run that has ended.
func (allocator *Allocator) Release(work *Work, run descriptor.RunID) {
	allocator.init()
	allocator.orderer.Credit(work.Job.Team, work.Job.Task)
	if worker, ok := allocator.unreservedRuns[run]; ok {
		delete(allocator.unreservedRuns, run)
		allocator.unreservedCount[worker]--
		allocator.updatePlacer(worker)
		return
	}
	// The reservation may already be gone, because its worker was removed.
	_ = allocator.placer.Release(run)
}

// Enqueue adds tasks of a job to the queue, or updates the entry of a waiting job.
func (allocator *Allocator) Enqueue(work *Work, tasks ...int) {
	allocator.init()
	allocator.waiting[work.ID] = work
	allocator.teams[work.Job.Team] = struct{}{}
	allocator.orderer.Add(orderer.Entry{
		Job:      work.ID,
		Team:     work.Job.Team,
		Urgency:  work.Treatment.Urgency,
		Need:     work.Job.Task,
		Gang:     work.gang(),
		Deadline: work.Job.Deadline,
		Estimate: allocator.estimate(work).RunTime,
		Arrival:  work.Arrival,
		Behind:   work.DisplacedAt,
	}, tasks...)
}

// RemoveFromQueue removes a job and all its waiting tasks from the queue.
func (allocator *Allocator) RemoveFromQueue(job descriptor.JobID) {
	allocator.orderer.Remove(job)
	delete(allocator.waiting, job)
	delete(allocator.lastPreemption, job)
}
