// Package planner decides what runs where in a cell: it holds the jobs, the workers and the runs, and
// turns what callers, workers and the advice service say into orders. It does no I/O and reads no clock.
//
// A run is written to the job's record before its worker is told, and an end before its worker may forget
// it. A new leader therefore knows from the records which worker each run may be on, and from the
// workers' lists what became of it.
package planner

import (
	"time"

	"pomelomoor/internal/cell/describer"
)

// Options are the bounds of the deployment.
type Options struct {
	// LongestLease is the longest lease of the runs on a worker.
	LongestLease time.Duration
	// StatusRetention is how long the state of an ended job is told.
	StatusRetention time.Duration
	// RemoteFactor is by how much tasks are slower away from their rack.
	RemoteFactor float64
	// Takeover is when this term began. Runs that an earlier leader started may be held until
	// Takeover + InheritedHold, and one lease more, on a worker that does not answer.
	Takeover time.Time
	// InheritedHold is how long after Takeover an earlier leader may go on to renew leases.
	InheritedHold time.Duration
}

const (
	// clockSlowness is by how much a worker's steady clock may be slow. Source: the protocol page.
	clockSlowness = 0.98
	// leaseMargin is added to the time at which a lease has lapsed, for the way of the message.
	leaseMargin = 300 * time.Millisecond
	// usualLease is the lease that is asked for: long enough for a change of leader, short enough to
	// start the tasks of a lost worker anew.
	usualLease = 6 * time.Second
	// startDeadline bounds how late a start order may still be carried out, by the worker's clock.
	startDeadline = 2 * time.Second
	// retentionMargin is added to the retention of ended jobs for callers that repeat a submission.
	retentionMargin = 60 * time.Second
)

// Planner is the state of one term of leadership. It is not safe for concurrent use.
type Planner struct {
	options Options
	config  *describer.Config
	jobs    map[describer.JobID]*job
	// ended holds the jobs that reached a final state, in order of their ends.
	ended   []*job
	workers map[describer.WorkerID]*worker
	// roomiest holds the workers that may be given work in this pass, the one with the most room first.
	roomiest []*worker
	// total is the capacity of the workers that can be used, in thousandths of a core.
	total int64
	// free is the share of total that no run has booked.
	free float64
	// reserved holds the workers that are kept for gangs in this pass; patient means that the step at
	// hand can wait and leaves them.
	reserved map[describer.WorkerID]bool
	patient  bool
	// waiting holds the steps that have tasks to place.
	waiting map[*step]struct{}
	// timed holds the jobs with occurrences that are not due yet.
	timed  map[*job]struct{}
	queues map[string]*queueStats
	// unanswered are the times of the last calls to workers that got no answer.
	unanswered []time.Time
	dirty      map[describer.JobID]struct{}
	effects    Effects
	// changed means that a pass may find something to place.
	changed bool
	// stats counts decisions for the metrics.
	stats Stats
}

// Stats are counts since the start of the term.
type Stats struct {
	Placed       int64
	Lost         int64
	Failed       int64
	Quarantines  int64
	AdviceCalls  int64
	AdviceWasted int64
}

// Effects are what the planner wants to be done.
type Effects struct {
	Starts []Start
	Stops  []Stop
	Advice []AdviceRequest
	// Looks are workers whose lists are wanted at once.
	Looks  []describer.WorkerID
	Events []Event
}

// Start is an order to start a run whose record is durable.
type Start struct {
	Worker *describer.Worker
	Order  describer.StartOrder
	// Waited is the time since the job was submitted.
	Waited time.Duration
}

// Stop is an order to end a run.
type Stop struct {
	Worker *describer.Worker
	Order  describer.StopOrder
	Reason string
}

// AdviceRequest asks which of Workers may run Step.
type AdviceRequest struct {
	Step    describer.StepID
	Workers []describer.WorkerID
	// Lateness is 0 if the job can meet its objective, higher if it is late. Lower comes first.
	Lateness int
	// Urgency orders the requests of one lateness; earlier comes first.
	Urgency time.Time
	// Takes is how long the advice service needs.
	Takes time.Duration
}

// Event is a decision or a change of belief for the log.
type Event struct {
	Kind   EventKind
	Job    describer.JobID
	Task   string
	Run    int
	Worker describer.WorkerID
	Detail string
	// Age is how old the inputs of the decision were.
	Age time.Duration
}

// EventKind tells what an Event is about.
type EventKind int

// The kinds of events.
const (
	EventJobPlanned EventKind = iota
	EventJobEnded
	EventRunPlaced
	EventRunEnded
	EventRunLost
	EventRunReleased
	EventWorkerSilent
	EventWorkerBack
	EventWorkerReborn
	EventWorkerAvoided
	EventStrangerStopped
)

// job is one job and its progress.
type job struct {
	*describer.Job

	queue *queueStats
	// policy is the queue's configuration, the last known one if the queue was removed.
	policy describer.Queue
	state  describer.JobState
	// next is the first occurrence that is not due yet.
	next        int
	occurrences map[int]*occurrence
	// completed counts the occurrences that are done.
	completed int
	// generation counts the changes of the record, durable tells up to which they are stored.
	generation int64
	durable    int64
	// intended holds the runs whose record is not durable yet.
	intended []*run
	// final is the generation of the final state.
	final   int64
	endedAt time.Time
}

// occurrence is one run of the steps of a job.
type occurrence struct {
	number int
	due    time.Time
	steps  []*step
	undone int
}

// step is one step of an occurrence.
type step struct {
	*describer.Step

	job        *job
	occurrence *occurrence
	index      int
	tasks      []*task
	// unplaced counts the tasks without a run that are not done, undone those that are not done.
	unplaced int
	undone   int
	// blockers counts the earlier steps that are not done.
	blockers int
	advice   advice
	// gangFailures counts the failed runs of a gang.
	gangFailures int
	gangRun      int
	// failedRun is the last run of the gang that counted as failed.
	failedRun int
	// tail is the estimated time from the start of this step to the end of its occurrence.
	tail time.Duration
}

// begin notes that a task of job has started. The record tells it with its next change.
func (job *job) begin() {
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
	// run is the number of the last run.
	run        int
	failures   int
	checkpoint string
	active     *run
}

type runPhase int

const (
	// phaseIntended means that the record of the run is not durable yet.
	phaseIntended runPhase = iota
	// phaseStarting means that the order was sent.
	phaseStarting
	// phaseRecovered means that an earlier leader may have started the run.
	phaseRecovered
	// phaseRunning means that the worker confirmed the run.
	phaseRunning
	// phaseStopping means that the run is to end.
	phaseStopping
)

// run is one run of a task.
type run struct {
	task       *task
	number     int
	worker     *worker
	phase      runPhase
	generation int64
	placed     time.Time
	// confirmed is when the worker confirmed the run or its stop; a later list shows what is left of it.
	confirmed  time.Time
	percent    int
	progressed time.Time
	ticket     ticket
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

// New returns the planner of a term without jobs and workers.
func New(options Options, config *describer.Config) *Planner {
	return &Planner{
		options:  options,
		config:   config,
		jobs:     map[describer.JobID]*job{},
		workers:  map[describer.WorkerID]*worker{},
		reserved: map[describer.WorkerID]bool{},
		waiting:  map[*step]struct{}{},
		timed:    map[*job]struct{}{},
		queues:   map[string]*queueStats{},
		dirty:    map[describer.JobID]struct{}{},
	}
}

// SetConfig puts a configuration in force for all later decisions.
func (planner *Planner) SetConfig(config *describer.Config) {
	planner.config = config
	for _, job := range planner.jobs {
		if queue := config.Queue(job.Queue); queue != nil {
			job.policy = *queue
		}
	}
	planner.changed = true
}

// Take returns what is to be done since the last call.
func (planner *Planner) Take() Effects {
	effects := planner.effects
	planner.effects = Effects{}
	return effects
}

// Stats returns counts since the start of the term.
func (planner *Planner) Stats() Stats {
	return planner.stats
}

func (planner *Planner) emit(event Event) {
	planner.effects.Events = append(planner.effects.Events, event)
}

// touch marks the record of job as changed.
func (planner *Planner) touch(job *job) {
	job.generation++
	planner.dirty[job.ID] = struct{}{}
}

// Add takes a job that a caller submitted. A job that is known already stays as it is.
func (planner *Planner) Add(now time.Time, description *describer.Job) {
	if planner.jobs[description.ID] != nil {
		return
	}
	job := planner.newJob(description)
	planner.openDue(now, job)
	planner.emit(Event{
		Kind: EventJobPlanned,
		Job:  job.ID,
		Age:  now.Sub(description.Submitted),
	})
}

func (planner *Planner) newJob(description *describer.Job) *job {
	job := &job{
		Job:         description,
		queue:       planner.stat(description.Queue),
		state:       describer.JobQueued,
		occurrences: map[int]*occurrence{},
	}
	if queue := planner.config.Queue(description.Queue); queue != nil {
		job.policy = *queue
	}
	planner.jobs[job.ID] = job
	return job
}

// openDue opens the occurrences of job that are due.
func (planner *Planner) openDue(now time.Time, job *job) {
	for job.next < job.Occurrences() && !now.Before(job.Due(job.next)) {
		planner.open(job, job.next)
		job.next++
	}
	if job.next < job.Occurrences() {
		planner.timed[job] = struct{}{}
	} else {
		delete(planner.timed, job)
	}
}

// open creates the steps of an occurrence and queues those that wait for no other.
func (planner *Planner) open(job *job, number int) *occurrence {
	occurrence := &occurrence{
		number: number,
		due:    job.Due(number),
		undone: len(job.Steps),
	}
	job.occurrences[number] = occurrence
	for index := range job.Steps {
		description := &job.Steps[index]
		step := &step{
			Step:       description,
			job:        job,
			occurrence: occurrence,
			index:      index,
			unplaced:   description.Count,
			undone:     description.Count,
			blockers:   len(description.After),
		}
		for task := range description.Count {
			step.tasks = append(step.tasks, newTask(step, task))
		}
		occurrence.steps = append(occurrence.steps, step)
	}
	for index := len(occurrence.steps) - 1; index >= 0; index-- {
		step := occurrence.steps[index]
		own := planner.runTime(step)
		step.tail = max(step.tail, 0) + own
		for _, earlier := range step.After {
			before := occurrence.steps[earlier]
			before.tail = max(before.tail, step.tail)
		}
	}
	for _, step := range occurrence.steps {
		planner.enqueue(step)
	}
	return occurrence
}

func newTask(step *step, index int) *task {
	return &task{
		step:  step,
		index: index,
	}
}

// enqueue adds step to those that wait for workers if it has tasks to place.
func (planner *Planner) enqueue(step *step) {
	if step.unplaced > 0 && step.blockers == 0 && !step.job.state.Final() {
		planner.waiting[step] = struct{}{}
		planner.changed = true
	}
}

// Cancel ends a job on its caller's demand.
func (planner *Planner) Cancel(now time.Time, id describer.JobID) {
	job := planner.jobs[id]
	if job == nil || job.state.Final() {
		return
	}
	planner.finish(now, job, describer.JobCancelled, "cancelled by its caller")
}

// finish puts job into a final state and stops what is left of it.
func (planner *Planner) finish(now time.Time, job *job, state describer.JobState, reason string) {
	job.state = state
	job.endedAt = now
	planner.touch(job)
	job.final = job.generation
	planner.ended = append(planner.ended, job)
	delete(planner.timed, job)
	for _, occurrence := range job.occurrences {
		for _, step := range occurrence.steps {
			delete(planner.waiting, step)
			for _, task := range step.tasks {
				if task.active != nil {
					planner.stop(now, task.active, reason)
				}
			}
		}
	}
	planner.emit(Event{
		Kind:   EventJobEnded,
		Job:    job.ID,
		Detail: state.String() + ": " + reason,
		Age:    now.Sub(job.Submitted),
	})
}

// State returns what callers are told of a job. A final state is told when it is durable.
func (planner *Planner) State(id describer.JobID) describer.JobState {
	job := planner.jobs[id]
	switch {
	case job == nil:
		return describer.JobUnknown
	case job.state.Final() && job.durable < job.final:
		return describer.JobRunning
	default:
		return job.state
	}
}

// Pending returns the number of jobs of queue that have not begun.
func (planner *Planner) Pending(queue string) int {
	count := 0
	for _, job := range planner.jobs {
		if job.Queue == queue && job.state == describer.JobQueued {
			count++
		}
	}
	return count
}

// Tick does what is due by now.
func (planner *Planner) Tick(now time.Time) {
	for job := range planner.timed {
		planner.openDue(now, job)
	}
	for _, worker := range planner.workers {
		planner.tickWorker(now, worker)
	}
	// Tickets expire and workers are no longer avoided as time passes.
	planner.changed = planner.changed || len(planner.waiting) > 0
	planner.forget(now)
}

// forget removes the records of jobs whose state need not be told any more.
func (planner *Planner) forget(now time.Time) {
	keep := planner.options.StatusRetention + retentionMargin
	for len(planner.ended) > 0 && now.Sub(planner.ended[0].endedAt) > keep {
		job := planner.ended[0]
		planner.ended = planner.ended[1:]
		delete(planner.jobs, job.ID)
		planner.dirty[job.ID] = struct{}{}
	}
}
