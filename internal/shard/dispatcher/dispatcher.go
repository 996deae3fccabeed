// Package dispatcher is the part of a shard's state machine that places tasks, commands workers and
// compares their reports with what was intended.
//
// Nothing is started on a worker before its intent is durable, and a worker may forget a run only when
// the record of its end is.
package dispatcher

import (
	"maps"
	"slices"
	"time"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/gateway/executor"
	"pomelomoor/internal/placement/estimator"
	"pomelomoor/internal/shard/allocator"
	"pomelomoor/internal/shard/arbiter"
	"pomelomoor/internal/shard/recorder"
	"pomelomoor/internal/shard/recoverer"
	"pomelomoor/internal/shard/signaler"
	"pomelomoor/internal/shard/throttler"
	"pomelomoor/internal/shard/watcher"
	"pomelomoor/internal/work/descriptor"
)

// Dispatcher holds the live view of one shard in one term of its owner.
type Dispatcher struct {
	shard     descriptor.ShardID
	outbox    *signaler.Outbox
	durable   *recorder.State
	epoch     uint64
	loaded    bool
	authority signaler.Authority
	config    *parser.Compiled

	recoverer recoverer.Recoverer
	allocator allocator.Allocator
	throttler throttler.Throttler
	jobs      map[descriptor.JobID]*arbiter.Job
	fleet     watcher.Fleet

	// placementDue is set when something changed that may let waiting work start.
	placementDue bool
	// syncQueue lists workers that may be due for a message.
	syncQueue []*watcher.Worker
	swept     time.Time
}

// New returns a dispatcher that writes to outbox and reads durable.
func New(shard descriptor.ShardID, outbox *signaler.Outbox, durable *recorder.State) *Dispatcher {
	return &Dispatcher{
		shard:   shard,
		outbox:  outbox,
		durable: durable,
		config:  &parser.Compiled{},
		jobs:    map[descriptor.JobID]*arbiter.Job{},
	}
}

// Job returns the live view of a job, or nil.
func (dispatcher *Dispatcher) Job(id descriptor.JobID) *arbiter.Job {
	return dispatcher.jobs[id]
}

// Forget drops an ended job.
func (dispatcher *Dispatcher) Forget(id descriptor.JobID) {
	delete(dispatcher.jobs, id)
}

// Load returns the summary that other instances see.
func (dispatcher *Dispatcher) Load() allocator.Load {
	return dispatcher.allocator.Load()
}

// SetAuthority tells what the owner may do from now on.
func (dispatcher *Dispatcher) SetAuthority(authority signaler.Authority) {
	dispatcher.authority = authority
	dispatcher.placementDue = true
}

// Configure gives the configuration in force.
func (dispatcher *Dispatcher) Configure(config *parser.Compiled) {
	dispatcher.allocator.Configure(dispatcher.config, config)
	dispatcher.config = config
	for _, id := range slices.Sorted(maps.Keys(dispatcher.jobs)) {
		dispatcher.treat(dispatcher.jobs[id])
	}
	dispatcher.placementDue = true
}

// SetElsewhere gives the use of teams in other shards.
func (dispatcher *Dispatcher) SetElsewhere(teams map[string]descriptor.Resources) {
	dispatcher.allocator.SetElsewhere(teams)
	dispatcher.placementDue = true
}

// Estimates returns the learned sizes.
func (dispatcher *Dispatcher) Estimates() []estimator.State {
	return dispatcher.allocator.Estimates()
}

// Place starts waiting work if something has changed since the last call.
func (dispatcher *Dispatcher) Place(now time.Time) {
	dispatcher.relieve(now)
	if !dispatcher.placementDue || !dispatcher.loaded || dispatcher.authority != signaler.AuthorityAct {
		return
	}
	dispatcher.placementDue = false
	dispatcher.place(now)
}

// NewJob returns the live view of a job, or the reason why it can never run, as far as the workers
// are known. The error is that of a malformed selector.
func (dispatcher *Dispatcher) NewJob(now time.Time, id descriptor.JobID, description *descriptor.Job) (job *arbiter.Job, impossible string, err error) {
	treatment := dispatcher.config.JobTreatment(description)
	work, err := allocator.NewWork(id, description, treatment, now)
	if err != nil {
		return nil, "", err
	}
	if dispatcher.fleet.Complete() {
		if reason := dispatcher.allocator.Impossible(now, work); reason != "" {
			return nil, reason, nil
		}
	}
	return arbiter.New(work, !dispatcher.fleet.Complete()), "", nil
}

// Add queues the tasks of an accepted job.
func (dispatcher *Dispatcher) Add(now time.Time, job *arbiter.Job) {
	dispatcher.jobs[job.ID] = job
	dispatcher.note(now, job, "Accepted", "accepted by shard %s", dispatcher.shard)
	dispatcher.treat(job)
	dispatcher.queueAll(job)
}

func (dispatcher *Dispatcher) note(now time.Time, job *arbiter.Job, code, format string, args ...any) {
	dispatcher.outbox.Explain(job.ID, job.Note(now, code, format, args...))
}

// treat looks up the policies for a job and moves it in the queue.
func (dispatcher *Dispatcher) treat(job *arbiter.Job) {
	treatment := dispatcher.config.JobTreatment(job.Description())
	// The selector was accepted together with the job.
	_ = job.Work.Treat(treatment)
	job.Held = treatment.Hold
	if job.Ended {
		return
	}
	if job.Held {
		dispatcher.allocator.Unqueue(job.ID)
		job.Reason = "held by a policy"
		return
	}
	if waiting := job.InState(arbiter.TaskWaiting); len(waiting) > 0 && job.Resume.IsZero() {
		dispatcher.queue(job, waiting...)
	}
}

func (dispatcher *Dispatcher) queueAll(job *arbiter.Job) {
	dispatcher.queue(job, job.InState(arbiter.TaskWaiting)...)
}

func (dispatcher *Dispatcher) queue(job *arbiter.Job, tasks ...int) {
	if job.Held || job.Cancelled || job.Ended || len(tasks) == 0 {
		return
	}
	dispatcher.allocator.Queue(job.Work, tasks...)
	dispatcher.placementDue = true
}

// Cancel ends the waiting tasks of a job and stops the others.
func (dispatcher *Dispatcher) Cancel(now time.Time, job *arbiter.Job) {
	if job.Cancelled {
		return
	}
	dispatcher.note(now, job, "Cancelled", "cancelled by its caller")
	dispatcher.cancelTasks(now, job)
}

func (dispatcher *Dispatcher) cancelTasks(now time.Time, job *arbiter.Job) {
	// A gang that was being stopped to start again is only stopped now.
	job.Cancelled, job.Restarting = true, false
	dispatcher.allocator.Unqueue(job.ID)
	for i := range job.Tasks {
		task := &job.Tasks[i]
		switch {
		case task.State == arbiter.TaskWaiting:
			task.Drop("cancelled before it started", "cancelled between two attempts")
		case task.Run != nil:
			dispatcher.stop(now, task.Run, "cancelled")
		}
	}
	dispatcher.settle(now, job)
}

// Revive begins a term: the live view is rebuilt from the durable state, and all runs that may be in
// progress wait for the reports of their workers.
func (dispatcher *Dispatcher) Revive(now time.Time, epoch uint64) {
	dispatcher.epoch, dispatcher.loaded = epoch, true
	dispatcher.allocator.Learn(dispatcher.durable.Learned(now))
	for _, id := range slices.Sorted(maps.Keys(dispatcher.durable.Jobs)) {
		dispatcher.revive(now, dispatcher.durable.Jobs[id])
	}
	dispatcher.placementDue = true
}

// revive rebuilds the live view of a job.
func (dispatcher *Dispatcher) revive(now time.Time, durable *recorder.Job) {
	treatment := dispatcher.config.JobTreatment(&durable.Description)
	// The selector was accepted together with the job.
	work, _ := allocator.NewWork(durable.ID, &durable.Description, treatment, durable.Accepted)
	job, open := arbiter.Revive(durable, work)
	dispatcher.jobs[job.ID] = job
	for _, run := range open {
		dispatcher.attach(run)
	}
	if !job.Ended {
		dispatcher.note(now, job, "Recovered", "taken over by epoch %d", dispatcher.epoch)
	}
	for i := range durable.Tasks {
		ended := &durable.Tasks[i]
		if ended.Run.Outcome != "" {
			dispatcher.apply(now, job, i, executor.RunResult{
				Outcome:    ended.Run.Outcome,
				Checkpoint: ended.Checkpoint,
				Reason:     ended.Run.Reason,
			})
		}
	}
	if job.Ended {
		job.Close(durable.End)
		return
	}
	dispatcher.resumeJob(now, job)
}

// resumeJob continues what the last owner may have left half done.
func (dispatcher *Dispatcher) resumeJob(now time.Time, job *arbiter.Job) {
	waiting := job.InState(arbiter.TaskWaiting)
	switch {
	case job.Cancelled:
		dispatcher.cancelTasks(now, job)
	case job.Gang() && len(waiting) > 0 && len(waiting) < len(job.Tasks):
		dispatcher.restart(now, job)
	case job.Resume.IsZero():
		dispatcher.queueAll(job)
	}
	dispatcher.settle(now, job)
}
