// Package scheduler schedules the tasks of a cell. It holds the state of jobs, workers and runs, and turns input
// from callers, workers and the advice service into orders. It does no I/O and reads no clock.
//
// A run is recorded durably before its worker gets the start order, and its end before the worker may forget
// it. A new leader therefore learns from the records where each run may be, and from the workers' lists what
// became of it.
package scheduler

import (
	"time"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/estimator"
	"pomelomoor/internal/cell/isolator"
	"pomelomoor/internal/placement/accountant"
	"pomelomoor/internal/work/descriptor"
)

// Options holds the limits of the deployment and the start of the term.
type Options struct {
	// Fence is the fencing token of the term.
	Fence describer.Fence
	// MaxLease is the maximum lease of the runs on a worker.
	MaxLease time.Duration
	// StatusRetention is how long the state of an ended job can be queried.
	StatusRetention time.Duration
	// RemoteFactor is the slowdown of tasks that run away from the rack they prefer.
	RemoteFactor float64
	// Takeover is when this term began. On a worker that does not answer, the leases of runs that an earlier leader
	// started may last until Takeover + InheritedRenewal plus one lease.
	Takeover time.Time
	// InheritedRenewal is how long after Takeover an earlier leader may still renew leases.
	InheritedRenewal time.Duration
	// CapOverage is the share by which a gang may exceed the cap of its organisation, and the jobs of an organisation those
	// that it is entitled to.
	CapOverage float64
	// EntitlementWindow and EntitlementSlack tell which jobs an organisation is entitled to, as accountant.Account does.
	EntitlementWindow time.Duration
	EntitlementSlack  int
}

const (
	// minClockRate is the lowest rate of a worker's monotonic clock that the protocol allows.
	minClockRate = 0.98
	// leaseMargin is added to the lease for the time that the order is in transit.
	leaseMargin = 300 * time.Millisecond
	// defaultLease is the requested lease: long enough to outlast a change of leader, short enough to restart the
	// tasks of a lost worker soon.
	defaultLease = 5 * time.Second
	// startValidity is how long a start order may be carried out, by the worker's clock.
	startValidity = 2 * time.Second
	// orderTransit is the time from sending an order to its arrival that is allowed for: the way by a courier in another
	// region.
	orderTransit = 100 * time.Millisecond
	// retentionMargin extends the retention of ended jobs for callers that retry a submission.
	retentionMargin = 60 * time.Second
)

// Scheduler is the state of one term of leadership. It is not safe for concurrent use.
type Scheduler struct {
	options Options
	config  *describer.Config
	jobs    map[describer.JobID]*job
	// ended holds the jobs in a final state, in the order in which they ended.
	ended   []*job
	workers map[describer.WorkerID]*worker
	// fence is the newest fencing token that this term may use. awaitingFence holds the workers that need a newer one.
	fence         describer.Fence
	awaitingFence map[describer.WorkerID]*worker
	// forgotten holds the last incarnations of workers that were forgotten in this term.
	forgotten map[describer.WorkerID]time.Time
	// lost holds the workers that were lost lately.
	lost map[describer.WorkerID]*lostWorker
	// ranked holds the workers that may be given work in this pass, the one with the most free capacity first.
	ranked  []*worker
	ranking ranking
	// totalMilliCPU is the CPU capacity of the usable workers, and total their whole capacity.
	totalMilliCPU int64
	total         descriptor.Resources
	// freeShare is the share of totalMilliCPU that is not allocated to runs.
	freeShare float64
	// scarcity counts the steps that gave way in the last pass.
	scarcity Scarcity
	// reserved holds the workers that are reserved for gangs in this pass, with the highest priority of their queues.
	// deferrable means that the step being placed can wait and must not use them, givesWay that it must not use those of
	// gangs whose queue is not below its own, and starves that it may use all.
	reserved   map[describer.WorkerID]int
	deferrable bool
	givesWay   bool
	starves    bool
	// isolating holds the workers chosen for the suspects of the gang being placed, which take no other member.
	isolating map[*worker]bool
	// adviceRoom is the room for requests in this pass.
	adviceRoom adviceRoom
	// waiting holds the steps with tasks to place.
	waiting map[*step]struct{}
	// overdueAt is when the steps without any value left were last looked at.
	overdueAt time.Time
	// scheduled holds the jobs with occurrences that are not due yet.
	scheduled map[*job]struct{}
	queues    map[string]*queueStats
	// latencies holds the latencies of orders to workers by data centre, and highestLatency the highest average.
	latencies      map[string]*estimator.Latency
	highestLatency time.Duration
	// accounts holds what each organisation has running, by name.
	accounts map[string]*accountant.Account
	// holds are what runs of ended jobs may still take up since a leader before has not seen them stop.
	holds []hold
	// capBlocked holds the organisations whose cap keeps a gang waiting in this pass, so that their later steps wait too.
	capBlocked map[*accountant.Account]bool
	// unansweredCalls holds the times of the most recent calls to workers that got no answer.
	unansweredCalls []time.Time
	dirty           map[describer.JobID]struct{}
	// setAside holds the jobs whose state could not be restored. They are not run in this term, since they may have
	// run already.
	setAside map[describer.JobID]bool
	effects  Effects
	// changed means that the next pass may be able to place something.
	changed bool
	// stats counts decisions.
	stats Stats
}

// Stats holds counters since the start of the term.
type Stats struct {
	Placed       int64
	Lost         int64
	GivenUp      int64
	Failed       int64
	Quarantines  int64
	AdviceCalls  int64
	AdviceWasted int64
	// Examined counts the workers that were looked at to place a task or to choose whom to request advice for. It grows
	// with the processor time of the passes.
	Examined int64
}

// job is one job and its progress.
type job struct {
	*describer.Job

	queue *queueStats
	// account is that of the job's organisation; nil if it has none. excess means that the organisation is not entitled to
	// the job, once entitled tells that this was decided.
	account  *accountant.Account
	excess   bool
	entitled bool
	// policy is the queue's, or the last known one if the queue was removed.
	policy describer.Policy
	state  describer.JobState
	// nextOccurrence is the first occurrence that is not due yet.
	nextOccurrence int
	occurrences    map[int]*occurrence
	// completed counts the finished occurrences.
	completed int
	// generation counts the changes to the record; storedGeneration is the last one that is stored.
	generation       int64
	storedGeneration int64
	// intended holds the runs whose start waits until their record is durable.
	intended []*run
	// finalGeneration is the generation in which the job reached its final state.
	finalGeneration int64
	endedAt         time.Time
	// held is what runs of the job took up when it ended, if it belongs to an organisation.
	held descriptor.Resources
}

// occurrence is one execution of all steps of a job.
type occurrence struct {
	number     int
	due        time.Time
	steps      []*step
	unfinished int
}

// step is one step of an occurrence.
type step struct {
	*describer.Step

	job        *job
	occurrence *occurrence
	index      int
	tasks      []*task
	// unplaced counts the tasks that wait for a run; unfinished counts all tasks that are not done.
	unplaced   int
	unfinished int
	// blockers counts the unfinished steps that this step depends on.
	blockers int
	advice   advice
	// runTimes holds the run times of the tasks that are done.
	runTimes estimator.Comparison
	// gangFailures counts the failed runs of a gang.
	gangFailures int
	gangRun      int
	// failedRun is the last run of the gang that was counted in gangFailures.
	failedRun int
	// criticalPath is the estimated time from the start of this step to the end of its occurrence.
	criticalPath time.Duration
	// waitingFrom is when the waiting tasks of a lasting step began to wait, zero before the first run.
	waitingFrom time.Time
	// placesHeldUntil is until when places are kept for this lasting step at the longest. No runs are stopped for it before
	// evictableFrom.
	placesHeldUntil time.Time
	evictableFrom   time.Time
	// fitsOneRack reports whether a rack could hold the step, as of rackCheckedAt.
	fitsOneRack   bool
	rackCheckedAt time.Time
	feasibility   feasibility
	// idleFrom is since when no task of the step has run although most of the cell is free; zero if one runs.
	idleFrom time.Time
	failing  failing
	// evacuated is the pass in which a task of the step was last found on a draining worker.
	evacuated time.Time
}

// markStarted notes that a task of the job has started. The new state is stored with the next change of the record.
func (job *job) markStarted() {
	if job.state == describer.JobQueued {
		job.state = describer.JobRunning
	}
}

type taskState int

const (
	taskWaiting taskState = iota
	taskActive
	taskDone
)

// task is one task of a step.
type task struct {
	step  *step
	index int
	state taskState
	// run is the number of the latest run, and givenUp that of the latest one that was given up without an end.
	run      int
	givenUp  int
	failures int
	// waitingFrom is when the task began to wait for its next run.
	waitingFrom time.Time
	// refusals counts the start orders in a row that were not accepted; the next is sent at retryAt at the earliest.
	refusals int
	retryAt  time.Time
	// history tells with which workers the task was lost.
	history    isolator.History
	checkpoint string
	active     *run
}

type runPhase int

const (
	// phaseIntended means that the record of the run is not durable yet.
	phaseIntended runPhase = iota
	// phaseStarting means that the start order was issued.
	phaseStarting
	// phaseRecovered means that the run may have been started by an earlier leader or on an earlier incarnation of
	// the worker.
	phaseRecovered
	// phaseRunning means that the worker confirmed the run.
	phaseRunning
	// phaseStopping means that the run is being stopped.
	phaseStopping
	// phaseUnlisted means that the worker does not have the run any more, or never had it, but may not have listed its end
	// yet. The run takes up no resources.
	phaseUnlisted
)

// run is one run of a task.
type run struct {
	task       *task
	number     int
	worker     *worker
	phase      runPhase
	generation int64
	// placedAt is when the run was placed, or when the last order to stop it was issued.
	placedAt time.Time
	// heldUntil is until when an incarnation that no leader knows may hold the run, which its start order may have reached;
	// zero once a known one has confirmed the run.
	heldUntil time.Time
	// firstPlaced is when the run was placed, also by an earlier leader.
	firstPlaced time.Time
	// confirmedAt is when the worker confirmed the start or the stop. Only a list that was requested later is sure to
	// reflect it.
	confirmedAt time.Time
	// unansweredAt is when the start order turned out to have no answer. A list that was requested later shows whether
	// the run has begun.
	unansweredAt time.Time
	// survived means that the worker has gone on for some time after the start of the run.
	survived bool
	// blamed means that the loss of the worker was counted against the task.
	blamed bool
	// checked means that the worker was polled to see whether it survived the start.
	checked bool
	// openStops counts the stop orders that were neither answered nor given up.
	openStops    int
	percent      int
	lastProgress time.Time
	ticket       ticket
}

func (run *run) id() describer.TaskID {
	return run.task.id()
}

func (task *task) id() describer.TaskID {
	return describer.TaskID{
		StepID: task.step.id(),
		Index:  task.index,
	}
}

func (step *step) id() describer.StepID {
	return describer.StepID{
		Job:        step.job.ID,
		Occurrence: step.occurrence.number,
		Step:       step.index,
	}
}

// New returns a scheduler without jobs and workers for a new term.
func New(options Options, config *describer.Config) *Scheduler {
	return &Scheduler{
		options: options,
		config:  config,
		jobs:    map[describer.JobID]*job{},
		workers: map[describer.WorkerID]*worker{},

		fence:         options.Fence,
		awaitingFence: map[describer.WorkerID]*worker{},
		forgotten:     map[describer.WorkerID]time.Time{},

		lost:      map[describer.WorkerID]*lostWorker{},
		reserved:  map[describer.WorkerID]int{},
		isolating: map[*worker]bool{},
		waiting:   map[*step]struct{}{},
		scheduled: map[*job]struct{}{},
		queues:    map[string]*queueStats{},
		latencies: map[string]*estimator.Latency{},

		accounts:   map[string]*accountant.Account{},
		capBlocked: map[*accountant.Account]bool{},

		dirty:    map[describer.JobID]struct{}{},
		setAside: map[describer.JobID]bool{},
	}
}

// SetConfig applies a configuration to all later decisions. When it lacks a queue of the former one, the policy under
// which the jobs of the queue go on is recorded for the next leader.
func (scheduler *Scheduler) SetConfig(config *describer.Config) {
	former := scheduler.config
	scheduler.config = config
	scheduler.setAccounts()
	for _, job := range scheduler.jobs {
		switch queue := config.Queue(job.Queue); {
		case queue != nil:
			job.policy = queue.Policy
		case former.Queue(job.Queue) != nil && !job.state.Final() && job.recordedPolicy() != nil:
			scheduler.markDirty(job)
		}
	}
	scheduler.changed = true
}

// TakeEffects returns and clears the effects since the last call.
func (scheduler *Scheduler) TakeEffects() Effects {
	effects := scheduler.effects
	scheduler.effects = Effects{}
	return effects
}

// Stats returns counters since the start of the term.
func (scheduler *Scheduler) Stats() Stats {
	return scheduler.stats
}

func (scheduler *Scheduler) emit(event Event) {
	scheduler.effects.Events = append(scheduler.effects.Events, event)
}

// markDirty marks the record of job as changed.
func (scheduler *Scheduler) markDirty(job *job) {
	job.generation++
	scheduler.dirty[job.ID] = struct{}{}
}

// Add adds a submitted job. It does nothing if the job is already known.
func (scheduler *Scheduler) Add(now time.Time, description *describer.Job) {
	if scheduler.jobs[description.ID] != nil || scheduler.setAside[description.ID] {
		return
	}
	job := scheduler.newJob(description)
	scheduler.openDue(now, job)
	scheduler.emit(Event{
		Kind: EventJobPlanned,
		Job:  job.ID,
		Age:  now.Sub(description.Submitted),
	})
}

func (scheduler *Scheduler) newJob(description *describer.Job) *job {
	job := &job{
		Job:         description,
		queue:       scheduler.statsFor(description.Queue),
		account:     scheduler.account(description.Organisation),
		state:       describer.JobQueued,
		occurrences: map[int]*occurrence{},
	}
	switch queue := scheduler.config.Queue(description.Queue); {
	case queue != nil:
		job.policy = queue.Policy
	case description.Policy != nil:
		job.policy = *description.Policy
	}
	scheduler.jobs[job.ID] = job
	return job
}

// Cancel cancels a job at its caller's request.
func (scheduler *Scheduler) Cancel(now time.Time, id describer.JobID) {
	job := scheduler.jobs[id]
	if job == nil || job.state.Final() {
		return
	}
	scheduler.finish(now, job, describer.JobCancelled, "cancelled by its caller")
}

// finish moves job to a final state and stops its remaining runs.
func (scheduler *Scheduler) finish(now time.Time, job *job, state describer.JobState, reason string) {
	job.state = state
	job.endedAt = now
	job.held = job.heldByRuns()
	scheduler.markDirty(job)
	job.finalGeneration = job.generation
	scheduler.ended = append(scheduler.ended, job)
	delete(scheduler.scheduled, job)
	for _, occurrence := range job.occurrences {
		for _, step := range occurrence.steps {
			delete(scheduler.waiting, step)
			for _, task := range step.tasks {
				if task.active != nil {
					scheduler.stop(now, task.active, reason)
				}
			}
		}
	}
	scheduler.emit(Event{
		Kind:   EventJobEnded,
		Job:    job.ID,
		Detail: state.String() + ": " + reason,
		Age:    now.Sub(job.Submitted),
	})
}

// Tick opens due occurrences, handles worker timeouts and removes expired jobs.
func (scheduler *Scheduler) Tick(now time.Time) {
	for job := range scheduler.scheduled {
		scheduler.openDue(now, job)
	}
	for _, worker := range scheduler.workers {
		scheduler.tickWorker(now, worker)
	}
	scheduler.effects.RaiseFence = len(scheduler.awaitingFence) > 0
	// Tickets and the quarantine of workers expire with time, so waiting steps need another pass.
	scheduler.changed = scheduler.changed || len(scheduler.waiting) > 0
	scheduler.releaseHolds(now)
	scheduler.forgetLost(now)
	scheduler.removeExpired(now)
}
