// Package dispatcher is the part of a shard's state machine that starts and stops runs on workers, and
// reconciles the workers' reports with the recorded intents.
//
// A run is started on a worker only after the record of its intent is durable, and a worker may forget a
// run only after the record of its end is durable.
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
	"pomelomoor/internal/shard/monitor"
	"pomelomoor/internal/shard/recorder"
	"pomelomoor/internal/shard/recoverer"
	"pomelomoor/internal/shard/signaler"
	"pomelomoor/internal/shard/throttler"
	"pomelomoor/internal/work/descriptor"
)

// Dispatcher holds the in-memory state of one shard during one term of its owner.
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
	fleet     monitor.Fleet

	// schedulingDue is set when a change may allow waiting tasks to start.
	schedulingDue bool
	// syncQueue lists the workers that may be due for a message. It may contain duplicates and workers that
	// are not due any more, which Sync drops.
	syncQueue []*monitor.Worker
	lastSweep time.Time
}

// New returns the dispatcher of a shard. It adds its actions and records to outbox, and reads the durable
// state.
func New(shard descriptor.ShardID, outbox *signaler.Outbox, durable *recorder.State) *Dispatcher {
	return &Dispatcher{
		shard:   shard,
		outbox:  outbox,
		durable: durable,
		config:  &parser.Compiled{},
		jobs:    map[descriptor.JobID]*arbiter.Job{},
	}
}

// Job returns the in-memory state of a job, or nil if the job is not known.
func (dispatcher *Dispatcher) Job(id descriptor.JobID) *arbiter.Job {
	return dispatcher.jobs[id]
}

// Forget removes an ended job.
func (dispatcher *Dispatcher) Forget(id descriptor.JobID) {
	delete(dispatcher.jobs, id)
}

// LoadSummary returns the load summary that is published to other instances.
func (dispatcher *Dispatcher) LoadSummary() allocator.LoadSummary {
	return dispatcher.allocator.LoadSummary()
}

// SetAuthority sets what the owner may do from now on.
func (dispatcher *Dispatcher) SetAuthority(authority signaler.Authority) {
	dispatcher.authority = authority
	dispatcher.schedulingDue = true
}

// Configure applies a new configuration to all jobs and quotas.
func (dispatcher *Dispatcher) Configure(config *parser.Compiled) {
	dispatcher.allocator.Configure(dispatcher.config, config)
	dispatcher.config = config
	for _, id := range slices.Sorted(maps.Keys(dispatcher.jobs)) {
		dispatcher.applyPolicies(dispatcher.jobs[id])
	}
	dispatcher.schedulingDue = true
}

// SetOtherShardsUsage sets what each team uses in other shards.
func (dispatcher *Dispatcher) SetOtherShardsUsage(teams map[string]descriptor.Resources) {
	dispatcher.allocator.SetOtherShardsUsage(teams)
	dispatcher.schedulingDue = true
}

// Estimates returns the learned sizes and run times.
func (dispatcher *Dispatcher) Estimates() []estimator.ClassStats {
	return dispatcher.allocator.Estimates()
}

// Schedule starts waiting tasks that fit, if something relevant has changed since the last call.
func (dispatcher *Dispatcher) Schedule(now time.Time) {
	dispatcher.relieveMemory(now)
	if !dispatcher.schedulingDue || !dispatcher.loaded || dispatcher.authority != signaler.AuthorityFull {
		return
	}
	dispatcher.schedulingDue = false
	dispatcher.runSchedulingPass(now)
}

// NewJob returns the in-memory state of a new job, or the reason why the job can never run. The reason is
// checked only once the capacity of all workers is known. An error means that the selector is malformed.
func (dispatcher *Dispatcher) NewJob(now time.Time, id descriptor.JobID, description *descriptor.Job) (job *arbiter.Job, impossible string, err error) {
	effectivePolicy := dispatcher.config.EffectiveJobPolicy(description)
	queuedJob, err := allocator.NewQueuedJob(id, description, effectivePolicy, now)
	if err != nil {
		return nil, "", err
	}
	if dispatcher.fleet.AllReported() {
		if reason := dispatcher.allocator.ImpossibleReason(now, queuedJob); reason != "" {
			return nil, reason, nil
		}
	}
	return arbiter.New(queuedJob, !dispatcher.fleet.AllReported()), "", nil
}

// Add adds an accepted job and queues its tasks.
func (dispatcher *Dispatcher) Add(now time.Time, job *arbiter.Job) {
	dispatcher.jobs[job.ID] = job
	dispatcher.addDecision(now, job, "Accepted", "accepted by shard %s", dispatcher.shard)
	dispatcher.applyPolicies(job)
	dispatcher.enqueueWaiting(job)
}

func (dispatcher *Dispatcher) addDecision(now time.Time, job *arbiter.Job, code, format string, args ...any) {
	dispatcher.outbox.AddDecision(job.ID, job.AddDecision(now, code, format, args...))
}

// applyPolicies updates a job and its place in the queue according to the policies in force.
func (dispatcher *Dispatcher) applyPolicies(job *arbiter.Job) {
	effectivePolicy := dispatcher.config.EffectiveJobPolicy(job.Description())
	// The selector can't be malformed, because it was checked when the job was accepted.
	_ = job.QueuedJob.SetEffectivePolicy(effectivePolicy)
	job.HeldByPolicy = effectivePolicy.Hold
	if job.Ended {
		return
	}
	if job.HeldByPolicy {
		dispatcher.allocator.RemoveFromQueue(job.ID)
		job.WaitReason = "held by a policy"
		return
	}
	if waiting := job.TasksInState(arbiter.TaskWaiting); len(waiting) > 0 && job.RetryAt.IsZero() {
		dispatcher.enqueue(job, waiting...)
	}
}

func (dispatcher *Dispatcher) enqueueWaiting(job *arbiter.Job) {
	dispatcher.enqueue(job, job.TasksInState(arbiter.TaskWaiting)...)
}

func (dispatcher *Dispatcher) enqueue(job *arbiter.Job, tasks ...int) {
	if job.HeldByPolicy || job.Cancelled || job.Ended || len(tasks) == 0 {
		return
	}
	dispatcher.allocator.Enqueue(job.QueuedJob, tasks...)
	dispatcher.schedulingDue = true
}

// Cancel ends the waiting tasks of a job and stops its runs.
func (dispatcher *Dispatcher) Cancel(now time.Time, job *arbiter.Job) {
	if job.Cancelled {
		return
	}
	dispatcher.addDecision(now, job, "Cancelled", "cancelled by its caller")
	dispatcher.cancelTasks(now, job)
}

func (dispatcher *Dispatcher) cancelTasks(now time.Time, job *arbiter.Job) {
	// A gang that was being restarted is now only stopped.
	job.Cancelled, job.Restarting = true, false
	dispatcher.allocator.RemoveFromQueue(job.ID)
	for i := range job.Tasks {
		task := &job.Tasks[i]
		switch {
		case task.State == arbiter.TaskWaiting:
			task.EndWaiting("cancelled before it started", "cancelled between two attempts")
		case task.Run != nil:
			dispatcher.stopRun(now, task.Run, "cancelled")
		}
	}
	dispatcher.endIfFinal(now, job)
}

// Restore begins a term. It rebuilds the in-memory state from the durable state; all runs that may be in
// progress then wait for the reports of their workers.
func (dispatcher *Dispatcher) Restore(now time.Time, epoch uint64) {
	dispatcher.epoch, dispatcher.loaded = epoch, true
	dispatcher.allocator.ImportEstimates(dispatcher.durable.Learned(now))
	for _, id := range slices.Sorted(maps.Keys(dispatcher.durable.Jobs)) {
		dispatcher.restoreJob(now, dispatcher.durable.Jobs[id])
	}
	dispatcher.schedulingDue = true
}

// restoreJob rebuilds the in-memory state of a job.
func (dispatcher *Dispatcher) restoreJob(now time.Time, durable *recorder.Job) {
	effectivePolicy := dispatcher.config.EffectiveJobPolicy(&durable.Description)
	// The selector can't be malformed, because it was checked when the job was accepted.
	queuedJob, _ := allocator.NewQueuedJob(durable.ID, &durable.Description, effectivePolicy, durable.Accepted)
	job, unfinishedRuns := arbiter.Restore(durable, queuedJob)
	dispatcher.jobs[job.ID] = job
	for _, run := range unfinishedRuns {
		dispatcher.attachRun(run)
	}
	if !job.Ended {
		dispatcher.addDecision(now, job, "Recovered", "taken over by epoch %d", dispatcher.epoch)
		dispatcher.addLostBeforeReport(now, job, durable)
	}
	for i := range durable.Tasks {
		task := &durable.Tasks[i]
		if task.Run.Outcome != "" {
			dispatcher.applyResult(now, job, i, executor.RunResult{
				Outcome:    task.Run.Outcome,
				Checkpoint: task.Checkpoint,
				Reason:     task.Run.Reason,
			})
		}
	}
	if job.Ended {
		job.CloseTasks(durable.End)
		return
	}
	dispatcher.resumeJob(now, job)
}

// addLostBeforeReport adds the runs that an earlier owner lost without having seen their starts to the trail. The
// owner before that one may have reported them as running, and the job is pending again.
func (dispatcher *Dispatcher) addLostBeforeReport(now time.Time, job *arbiter.Job, durable *recorder.Job) {
	lost := 0
	for i := range durable.Tasks {
		if durable.Tasks[i].LostBeforeReport() {
			lost++
		}
	}
	if lost > 0 {
		dispatcher.addDecision(now, job, string(recorder.OutcomeLost), "%d tasks may have run under an earlier owner, which did not see their starts", lost)
	}
}

// resumeJob continues a cancellation or a gang restart that the last owner may not have completed, and
// queues the waiting tasks of other jobs.
func (dispatcher *Dispatcher) resumeJob(now time.Time, job *arbiter.Job) {
	waiting := job.TasksInState(arbiter.TaskWaiting)
	switch {
	case job.Cancelled:
		dispatcher.cancelTasks(now, job)
	case job.IsGang() && len(waiting) > 0 && len(waiting) < len(job.Tasks):
		dispatcher.restartGang(now, job)
	case job.RetryAt.IsZero():
		dispatcher.enqueueWaiting(job)
	}
	dispatcher.endIfFinal(now, job)
}
