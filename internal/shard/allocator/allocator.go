// Package allocator decides for one shard what starts next and where. It combines the placement
// packages and keeps their views of workers, reservations and team use consistent.
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

// Worker describes a worker that answers.
type Worker struct {
	ID       descriptor.WorkerID
	Place    descriptor.Place
	Labels   descriptor.Labels
	Capacity descriptor.Resources
	// Closed means that it takes no new runs, because it is leaving or does not answer.
	Closed bool
}

// Work is a job as the allocator sees it.
type Work struct {
	ID        descriptor.JobID
	Job       *descriptor.Job
	Treatment parser.Treatment
	Arrival   time.Time
	// Attempts holds the number of the latest attempt of each task.
	Attempts []int
	// Behind is when a run of the job last gave way as a straggler; zero means never.
	Behind time.Time
	// Avoid lists workers on which the job's runs failed.
	Avoid []descriptor.WorkerID

	where placer.Where
	// declaredOnly is set when no worker could hold the learned size.
	declaredOnly bool
	// failures holds those of each task; failedAt is the time of the latest one.
	failures map[int]failure
	failedAt time.Time
}

// NewWork returns the work of a job. It fails if the job's selector is malformed.
func NewWork(id descriptor.JobID, job *descriptor.Job, treatment parser.Treatment, arrival time.Time) (*Work, error) {
	work := &Work{
		ID:       id,
		Job:      job,
		Arrival:  arrival,
		Attempts: make([]int, job.TaskCount()),
	}
	return work, work.Treat(treatment)
}

// Treat replaces the treatment. A waiting job has to be queued again afterwards.
func (work *Work) Treat(treatment parser.Treatment) error {
	own, err := selector.Parse(work.Job.Where)
	if err != nil {
		return err
	}
	work.Treatment = treatment
	work.where = placer.NewWhere(append([]selector.Selector{own}, treatment.Where...)...)
	return nil
}

func (work *Work) gang() bool {
	return work.Job.Kind == descriptor.KindGang
}

// rank orders runs for preemption: urgency first, then whether the team is within its quota.
func (work *Work) rank(borrowed bool) int {
	rank := 2 * work.Treatment.Urgency.Rank()
	if borrowed {
		rank++
	}
	return rank
}

// Allocator holds the waiting work and the reservations of one shard. The zero value is ready.
type Allocator struct {
	placer    placer.Placer
	orderer   orderer.Orderer
	estimator estimator.Estimator
	detector  detector.Detector

	workers map[descriptor.WorkerID]Worker
	works   map[descriptor.JobID]*Work
	// unreserved counts adopted runs for which their worker has no room by its declared sizes.
	unreserved      map[descriptor.RunID]descriptor.WorkerID
	unreservedCount map[descriptor.WorkerID]int
	// teams lists all teams that had work.
	teams map[string]struct{}
	// elsewhere is the use in other shards.
	elsewhere map[string]descriptor.Resources
	// preempted tells when a job last had others checkpointed.
	preempted map[descriptor.JobID]time.Time
	// failing lists the workers whose latest runs all failed.
	failing map[descriptor.WorkerID]struct{}
}

func (allocator *Allocator) init() {
	if allocator.workers != nil {
		return
	}
	allocator.workers = map[descriptor.WorkerID]Worker{}
	allocator.works = map[descriptor.JobID]*Work{}
	allocator.unreserved = map[descriptor.RunID]descriptor.WorkerID{}
	allocator.unreservedCount = map[descriptor.WorkerID]int{}
	allocator.preempted = map[descriptor.JobID]time.Time{}
	allocator.teams = map[string]struct{}{}
	allocator.failing = map[descriptor.WorkerID]struct{}{}
}

// SetWorker adds a worker or updates its description.
func (allocator *Allocator) SetWorker(worker Worker) {
	allocator.init()
	if _, ok := allocator.workers[worker.ID]; !ok {
		allocator.detector.Add(worker.ID)
	}
	allocator.workers[worker.ID] = worker
	allocator.index(worker.ID)
}

// index brings the placer's view of a worker up to date.
func (allocator *Allocator) index(id descriptor.WorkerID) {
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
	indexed, _, known := allocator.placer.Worker(id)
	described := placer.Worker{
		ID:       id,
		Place:    worker.Place,
		Labels:   worker.Labels,
		Capacity: worker.Capacity,
		State:    state,
	}
	if known && indexed.State == state && indexed.Capacity == worker.Capacity && indexed.Place == worker.Place && equal(indexed.Labels, worker.Labels) {
		return
	}
	if err := allocator.placer.SetWorker(described); err != nil {
		// A worker with a nonsensical capacity takes no work.
		allocator.placer.RemoveWorker(id)
	}
}

func equal(one, other descriptor.Labels) bool {
	if len(one) != len(other) {
		return false
	}
	for key, value := range one {
		if found, ok := other[key]; !ok || found != value {
			return false
		}
	}
	return true
}

// RemoveWorker removes a worker that holds no runs.
func (allocator *Allocator) RemoveWorker(id descriptor.WorkerID) {
	allocator.init()
	delete(allocator.workers, id)
	delete(allocator.failing, id)
	allocator.placer.RemoveWorker(id)
	allocator.apply(allocator.detector.Remove(id))
}

func (allocator *Allocator) apply(changes []detector.Change) {
	for _, change := range changes {
		allocator.index(change.Worker)
	}
}

// Report takes the end of a run into account. Failed tells how it ended and complete that its length
// and size are those of a whole run.
func (allocator *Allocator) Report(now time.Time, work *Work, worker descriptor.WorkerID, peak descriptor.Resources, length time.Duration, failed bool) {
	allocator.init()
	allocator.apply(allocator.detector.Report(now, worker, work.ID, failed))
	allocator.note(worker, failed)
	allocator.estimator.Finish(estimator.ClassOf(work.Job), peak, length, !failed, now)
}

// Observe learns from the measured use of a run in progress, and reserves as much for the run if its
// worker has the room.
func (allocator *Allocator) Observe(work *Work, run descriptor.RunID, usage descriptor.Usage) {
	allocator.estimator.Observe(estimator.ClassOf(work.Job), usage)
	reservation, _, ok := allocator.placer.Reserved(run)
	if !ok || usage.MemoryBytes <= reservation.Need.MemoryBytes {
		return
	}
	reservation.Need.MemoryBytes = usage.MemoryBytes
	// Without the room, the worker has no free memory that other work could take.
	_ = allocator.placer.Change(reservation)
}

// Estimates returns what was learned, for the next owner.
func (allocator *Allocator) Estimates() []estimator.State {
	return allocator.estimator.Export()
}

// Learn takes over what an earlier owner had learned.
func (allocator *Allocator) Learn(states []estimator.State) {
	allocator.estimator.Import(states)
}

// need is what a new run of the work reserves: the larger of the declared and the learned size. A
// learned size that no worker could hold must not keep declared work from running.
func (allocator *Allocator) need(work *Work) descriptor.Resources {
	if work.declaredOnly {
		return work.Job.Task
	}
	return allocator.estimate(work).Resources
}

// Remaining returns the expected rest of a run of the work that has lasted for elapsed.
func (allocator *Allocator) Remaining(work *Work, elapsed time.Duration) time.Duration {
	return allocator.estimate(work).Remaining(elapsed)
}

func (allocator *Allocator) estimate(work *Work) estimator.Estimate {
	return allocator.estimator.Estimate(estimator.ClassOf(work.Job), work.Job.Task, work.Job.RunTime.Duration)
}

// Tick moves quarantined workers on.
func (allocator *Allocator) Tick(now time.Time) {
	allocator.init()
	allocator.apply(allocator.detector.Tick(now))
	if _, ok := allocator.orderer.Reservation(now); !ok {
		allocator.placer.SetHold(placer.Hold{})
	}
}

// Configure sets the quotas of the teams.
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

// SetElsewhere sets what the teams use in other shards. Teams that are left out use nothing there.
func (allocator *Allocator) SetElsewhere(teams map[string]descriptor.Resources) {
	for team := range allocator.elsewhere {
		if _, ok := teams[team]; !ok {
			allocator.orderer.SetElsewhere(team, descriptor.Resources{})
		}
	}
	for team, used := range teams {
		allocator.orderer.SetElsewhere(team, used)
	}
	allocator.elsewhere = teams
}

// Adopt reserves a worker's capacity for a run that is, or may be, on it already. When there is no
// room by the declared sizes, the worker takes no new runs until this one has ended.
func (allocator *Allocator) Adopt(work *Work, run descriptor.RunID, worker descriptor.WorkerID, since time.Time) {
	allocator.init()
	allocator.teams[work.Job.Team] = struct{}{}
	allocator.orderer.Charge(work.Job.Team, work.Job.Task)
	borrowed := allocator.orderer.Borrowing(work.Job.Team)
	for _, need := range []descriptor.Resources{allocator.need(work), work.Job.Task} {
		if allocator.reserve(work, need, run, worker, since, borrowed) == nil {
			return
		}
	}
	allocator.unreserved[run] = worker
	allocator.unreservedCount[worker]++
	allocator.index(worker)
}

func (allocator *Allocator) reserve(work *Work, need descriptor.Resources, run descriptor.RunID, worker descriptor.WorkerID, since time.Time, borrowed bool) error {
	reservation := placer.Reservation{
		Run:         run,
		Need:        need,
		Rank:        work.rank(borrowed),
		Preemptible: work.Treatment.Preemptible && work.Job.Checkpointable && work.Job.Idempotent && !work.gang(),
		End:         allocator.end(work, since),
	}
	return allocator.placer.Reserve(worker, reservation)
}

func (allocator *Allocator) end(work *Work, since time.Time) time.Time {
	if work.Job.Kind == descriptor.KindService {
		return time.Time{}
	}
	return since.Add(allocator.estimate(work).RunTime)
}

// Release returns the capacity of a run that has ended.
func (allocator *Allocator) Release(work *Work, run descriptor.RunID) {
	allocator.init()
	allocator.orderer.Credit(work.Job.Team, work.Job.Task)
	if worker, ok := allocator.unreserved[run]; ok {
		delete(allocator.unreserved, run)
		allocator.unreservedCount[worker]--
		allocator.index(worker)
		return
	}
	// A run whose worker was removed has no reservation any more.
	_ = allocator.placer.Release(run)
}

// Queue adds tasks to the waiting work, or updates the description of a waiting job.
func (allocator *Allocator) Queue(work *Work, tasks ...int) {
	allocator.init()
	allocator.works[work.ID] = work
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
		Behind:   work.Behind,
	}, tasks...)
}

// Unqueue takes a job out of the waiting work.
func (allocator *Allocator) Unqueue(job descriptor.JobID) {
	allocator.orderer.Remove(job)
	delete(allocator.works, job)
	delete(allocator.preempted, job)
}
