package scheduler

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/isolator"
	"pomelomoor/internal/work/descriptor"
)

// Record is the stored state of a job.
type Record struct {
	State describer.JobState
	// Queue, Organisation, Ended and Held are set in a final state only. Held is what runs of the job took up when it ended
	// and was not known to have stopped.
	Queue        string               `json:",omitempty"`
	Organisation string               `json:",omitempty"`
	Ended        time.Time            `json:",omitzero"`
	Held         descriptor.Resources `json:",omitzero"`
	// Policy is the policy that was last known, if that is not the one in the job's description.
	Policy *describer.Policy `json:",omitempty"`
	// Next is the first occurrence that was not due yet; Completed counts the finished occurrences.
	Next        int `json:",omitempty"`
	Completed   int `json:",omitempty"`
	Occurrences []OccurrenceRecord
}

// OccurrenceRecord is the stored state of an unfinished occurrence.
type OccurrenceRecord struct {
	Number int `json:",omitempty"`
	Steps  []StepRecord
}

// StepRecord is the stored state of a step.
type StepRecord struct {
	// Done lists the indices of the tasks that are done.
	Done []int `json:",omitempty"`
	// Failures counts the failed runs of a gang, of which FailedRun is the last one.
	Failures  int          `json:",omitempty"`
	FailedRun int          `json:",omitempty"`
	Tasks     []TaskRecord `json:",omitempty"`
}

// TaskRecord is the stored state of a task that has had a run and is not done.
type TaskRecord struct {
	isolator.History

	Index    int
	Run      int
	Failures int `json:",omitempty"`
	// GivenUp is the latest run that was given up without an end, so that its failure is not counted yet.
	GivenUp    int    `json:",omitempty"`
	Checkpoint string `json:",omitempty"`
	// Worker is the worker that may have the run; empty if the run has ended.
	Worker describer.WorkerID `json:",omitempty"`
	// Born identifies the worker's incarnation by its start time in Unix milliseconds.
	Born int64 `json:",omitempty"`
	// Hold is the time on the clock of the worker's incarnation, in milliseconds, until which orders for a former one may
	// have extended its leases; 0 if none may have.
	Hold int64 `json:",omitempty"`
	// Placed is when the run was placed, in Unix milliseconds.
	Placed int64 `json:",omitempty"`
}

// Dirty returns the jobs whose records have changed since they were last encoded.
func (scheduler *Scheduler) Dirty() []describer.JobID {
	ids := slices.Collect(maps.Keys(scheduler.dirty))
	slices.Sort(ids)
	return ids
}

// Encode returns the record of a job, its generation and whether the job's state is final. A nil record means
// that the stored record is to be removed.
func (scheduler *Scheduler) Encode(id describer.JobID) (record []byte, generation int64, final bool, err error) {
	delete(scheduler.dirty, id)
	job := scheduler.jobs[id]
	if job == nil {
		return nil, 0, true, nil
	}
	record, err = json.Marshal(job.record())
	if err != nil {
		return nil, 0, false, errors.Wrapf(err, "encode record of %s", id)
	}
	return record, job.generation, job.state.Final(), nil
}

func (job *job) record() Record {
	record := Record{
		State: job.state,
	}
	if job.state.Final() {
		record.Queue = job.Queue
		record.Organisation = job.Organisation
		record.Ended = job.endedAt
		record.Held = job.held
		return record
	}
	record.Policy = job.recordedPolicy()
	record.Next = job.nextOccurrence
	record.Completed = job.completed
	for _, number := range slices.Sorted(maps.Keys(job.occurrences)) {
		occurrence := job.occurrences[number]
		steps := make([]StepRecord, 0, len(occurrence.steps))
		for _, step := range occurrence.steps {
			steps = append(steps, step.record())
		}
		record.Occurrences = append(record.Occurrences, OccurrenceRecord{
			Number: number,
			Steps:  steps,
		})
	}
	return record
}

// recordedPolicy returns the policy that the record has to hold: none if it is unknown or in the job's description.
func (job *job) recordedPolicy() *describer.Policy {
	policy := job.policy
	if policy.Equal(job.Policy) || policy.Equal(&describer.Policy{}) {
		return nil
	}
	return &policy
}

func (step *step) record() StepRecord {
	record := StepRecord{
		Failures:  step.gangFailures,
		FailedRun: step.failedRun,
	}
	for _, task := range step.tasks {
		if task.state == taskDone {
			record.Done = append(record.Done, task.index)
			continue
		}
		if task.run == 0 {
			continue
		}
		entry := TaskRecord{
			History:    task.history,
			Index:      task.index,
			Run:        task.run,
			Failures:   task.failures,
			GivenUp:    task.givenUp,
			Checkpoint: task.checkpoint,
		}
		if task.active != nil {
			entry.Worker = task.active.worker.id
			entry.Born = task.active.worker.incarnation.UnixMilli()
			entry.Hold = task.active.worker.formerHold.Milliseconds()
			entry.Placed = task.active.firstPlaced.UnixMilli()
		}
		record.Tasks = append(record.Tasks, entry)
	}
	return record
}

// RecordStored notes that the record of a job is stored up to generation, and starts the runs that waited for it.
func (scheduler *Scheduler) RecordStored(now time.Time, id describer.JobID, generation int64) {
	job := scheduler.jobs[id]
	if job == nil || generation <= job.storedGeneration {
		return
	}
	job.storedGeneration = generation
	remaining := job.intended[:0]
	for _, run := range job.intended {
		switch {
		case run.phase != phaseIntended:
		case run.generation > generation:
			remaining = append(remaining, run)
		default:
			scheduler.orderStart(now, run)
		}
	}
	job.intended = remaining
}

// Restore restores a job from its description and stored record. The record is nil if no earlier leader stored
// one; the description is nil if the state is final.
func (scheduler *Scheduler) Restore(now time.Time, id describer.JobID, description *describer.Job, stored []byte) error {
	record := Record{
		State: describer.JobQueued,
	}
	if stored != nil {
		var err error
		if record, err = ParseRecord(stored); err != nil {
			return errors.Wrapf(err, "record of %s", id)
		}
	}
	if record.State.Final() {
		scheduler.restoreEnded(id, record)
		return nil
	}
	if description == nil {
		return errors.Errorf("record of %s has no description", id)
	}
	if scheduler.jobs[id] != nil {
		return nil
	}
	if err := record.check(description); err != nil {
		return errors.Wrapf(err, "record of %s", id)
	}
	job := scheduler.newJob(description)
	if record.Policy != nil && scheduler.config.Queue(job.Queue) == nil {
		job.policy = *record.Policy
	}
	job.state = record.State
	job.nextOccurrence = record.Next
	job.completed = record.Completed
	for _, stored := range record.Occurrences {
		scheduler.restoreOccurrence(now, job, stored)
	}
	scheduler.openDue(now, job)
	scheduler.closeFinished(now, job)
	return nil
}

// removeExpired removes ended jobs and their records after the retention period. A job whose last record is not stored yet
// stays: without it, and with the description that goes with it, the next leader would take the job for a new one.
func (scheduler *Scheduler) removeExpired(now time.Time) {
	keep := scheduler.options.StatusRetention + retentionMargin
	var unstored []*job
	for len(scheduler.ended) > 0 && now.Sub(scheduler.ended[0].endedAt) > keep {
		job := scheduler.ended[0]
		scheduler.ended = scheduler.ended[1:]
		if job.storedGeneration < job.generation {
			unstored = append(unstored, job)
			continue
		}
		delete(scheduler.jobs, job.ID)
		scheduler.dirty[job.ID] = struct{}{}
	}
	if len(unstored) > 0 {
		scheduler.ended = append(unstored, scheduler.ended...)
	}
}

// SetAside drops what was restored of a job whose stored state cannot be used. Its record stays as it is.
func (scheduler *Scheduler) SetAside(id describer.JobID) {
	scheduler.setAside[id] = true
	job := scheduler.jobs[id]
	if job == nil {
		return
	}
	delete(scheduler.jobs, id)
	delete(scheduler.dirty, id)
	delete(scheduler.scheduled, job)
	for step := range scheduler.waiting {
		if step.job == job {
			delete(scheduler.waiting, step)
		}
	}
	for _, worker := range scheduler.workers {
		for _, run := range worker.runs {
			if run.task.step.job == job {
				scheduler.deallocate(run)
			}
		}
	}
}

func (scheduler *Scheduler) restoreEnded(id describer.JobID, record Record) {
	job := &job{
		Job: &describer.Job{
			ID:           id,
			Queue:        record.Queue,
			Organisation: record.Organisation,
		},
		queue:   scheduler.statsFor(record.Queue),
		state:   record.State,
		endedAt: record.Ended,
	}
	scheduler.jobs[id] = job
	scheduler.ended = append(scheduler.ended, job)
	scheduler.holdEnded(record)
}

func (scheduler *Scheduler) restoreOccurrence(now time.Time, job *job, stored OccurrenceRecord) {
	occurrence := scheduler.openOccurrence(job, stored.Number)
	for index, stepRecord := range stored.Steps {
		if index >= len(occurrence.steps) {
			break
		}
		step := occurrence.steps[index]
		step.gangFailures = stepRecord.Failures
		step.failedRun = stepRecord.FailedRun
		for _, done := range stepRecord.Done {
			scheduler.markDone(step.tasks[done])
		}
		for _, entry := range stepRecord.Tasks {
			scheduler.restoreTask(now, step.tasks[entry.Index], entry)
		}
	}
}

// maxRecordCount limits the counts in a record, far above those that a leader reaches, so that they can be added up.
const maxRecordCount = 1 << 40

// possibleCounts reports whether a leader can have written all of the counts.
func possibleCounts(counts ...int) bool {
	for _, count := range counts {
		if count < 0 || count > maxRecordCount {
			return false
		}
	}
	return true
}

// ParseRecord decodes the stored record of a job. It returns an error if the record has no state of a job.
func ParseRecord(stored []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(stored, &record); err != nil {
		return Record{}, errors.Wrap(err, "decode record")
	}
	if record.Held.Negative() || !record.Held.Fits(maxHeld) {
		return Record{}, errors.New("record holds an impossible amount of resources")
	}
	if record.State <= describer.JobUnknown || record.State > describer.JobCancelled {
		return Record{}, errors.Errorf("record has the unknown state %d", record.State)
	}
	return record, nil
}

// check returns an error if the record does not fit the description of its job.
func (record *Record) check(description *describer.Job) error {
	if err := record.Policy.Check(); err != nil {
		return err
	}
	if !possibleCounts(record.Next, record.Completed) || record.Next > description.Occurrences() || record.Completed > record.Next {
		return errors.Errorf("record has %d of %d occurrences, %d of them completed", record.Next, description.Occurrences(), record.Completed)
	}
	numbers := map[int]bool{}
	for _, occurrence := range record.Occurrences {
		if numbers[occurrence.Number] || occurrence.Number < 0 || occurrence.Number >= record.Next {
			return errors.Errorf("record names occurrence %d of %d, or names it twice", occurrence.Number, record.Next)
		}
		numbers[occurrence.Number] = true
		if len(occurrence.Steps) != len(description.Steps) {
			return errors.Errorf("record has %d steps, the job %d", len(occurrence.Steps), len(description.Steps))
		}
		for index := range occurrence.Steps {
			if err := occurrence.Steps[index].check(description.Steps[index].Count); err != nil {
				return errors.Wrapf(err, "step %d", index)
			}
		}
	}
	return nil
}

// check returns an error if the record does not fit a step with count tasks.
func (record *StepRecord) check(count int) error {
	if !possibleCounts(record.Failures, record.FailedRun) {
		return errors.Errorf("record has %d failures", record.Failures)
	}
	named := map[int]bool{}
	name := func(task int) error {
		if task < 0 || task >= count || named[task] {
			return errors.Errorf("record names task %d of %d, or names it twice", task, count)
		}
		named[task] = true
		return nil
	}
	for _, done := range record.Done {
		if err := name(done); err != nil {
			return err
		}
	}
	for _, task := range record.Tasks {
		if err := name(task.Index); err != nil {
			return err
		}
		if !possibleCounts(task.Run, task.Failures, task.GivenUp, task.Losses, task.Suspicions, task.Crashes, task.Proofs) {
			return errors.Errorf("record of task %d has an impossible count", task.Index)
		}
	}
	return nil
}

func (scheduler *Scheduler) restoreTask(now time.Time, task *task, entry TaskRecord) {
	task.run = entry.Run
	task.failures = entry.Failures
	task.givenUp = entry.GivenUp
	task.history = entry.History
	task.waitingFrom = now
	task.checkpoint = entry.Checkpoint
	task.step.gangRun = max(task.step.gangRun, entry.Run)
	if entry.Worker == "" {
		return
	}
	worker := scheduler.workerEntry(entry.Worker)
	incarnation := time.UnixMilli(entry.Born)
	if incarnation.After(worker.incarnation) {
		worker.incarnation = incarnation
		worker.formerHold = 0
		worker.recorded = time.Time{}
		if entry.Placed > 0 {
			// Records of earlier versions do not tell what the leases rest on.
			worker.recorded = incarnation
		}
	}
	inherited := scheduler.options.Takeover.Add(scheduler.options.InheritedRenewal)
	worker.extendLease(inherited, scheduler.leaseDuration(), LeaseInherited)
	if hold := time.Duration(entry.Hold) * time.Millisecond; hold > 0 && incarnation.Equal(worker.recorded) {
		worker.formerHold = max(worker.formerHold, hold)
		worker.extendLease(inherited, scheduler.options.MaxLease, LeaseFormer)
	}
	run := &run{
		task:     task,
		number:   entry.Run,
		worker:   worker,
		phase:    phaseRecovered,
		placedAt: now,

		firstPlaced: time.UnixMilli(entry.Placed),
	}
	if now.Sub(run.firstPlaced) < formerOrderPeriod || entry.Placed == 0 {
		// The earlier leader may not have had an answer of the worker since.
		run.heldUntil = leaseEnd(inherited, scheduler.options.MaxLease)
	}
	scheduler.allocate(run)
}
