package dispatcher

import (
	"time"

	"pomelomoor/internal/gateway/executor"
	"pomelomoor/internal/shard/allocator"
	"pomelomoor/internal/shard/arbiter"
	"pomelomoor/internal/shard/recorder"
	"pomelomoor/internal/shard/recoverer"
	"pomelomoor/internal/shard/signaler"
	"pomelomoor/internal/shard/watcher"
	"pomelomoor/internal/work/descriptor"
)

// wake asks for a message to the worker as soon as possible. While nothing but leases may be renewed,
// the interval is enough.
func (dispatcher *Dispatcher) wake(worker *watcher.Worker) {
	if dispatcher.authority != signaler.AuthorityAct {
		return
	}
	dispatcher.due(worker)
}

func (dispatcher *Dispatcher) due(worker *watcher.Worker) {
	worker.Urgent = true
	dispatcher.syncQueue = append(dispatcher.syncQueue, worker)
}

// SetInstances gives the workers that the platform lists.
func (dispatcher *Dispatcher) SetInstances(now time.Time, event signaler.InstancesChanged) {
	listed := dispatcher.fleet.SetListed(event.Workers)
	ids := make([]descriptor.WorkerID, 0, len(listed))
	for _, worker := range listed {
		ids = append(ids, worker.ID)
		dispatcher.wake(worker)
	}
	dispatcher.recoverer.SetListed(now, ids)
	for _, worker := range dispatcher.fleet.Sorted() {
		dispatcher.describe(worker)
	}
	dispatcher.placementDue = true
}

// describe tells the allocator of a worker's present state.
func (dispatcher *Dispatcher) describe(worker *watcher.Worker) {
	if !worker.Reported {
		return
	}
	dispatcher.allocator.SetWorker(worker.Describe())
}

// minGap bounds the rate of messages to a worker whose reports ask for another one again and again.
const minGap = 10 * time.Millisecond

// Sync sends a message to each worker that is due. There is at most one in flight for each.
func (dispatcher *Dispatcher) Sync(now time.Time) {
	if !dispatcher.loaded {
		// The epoch is not known yet.
		return
	}
	syncQueue := dispatcher.syncQueue
	dispatcher.syncQueue = nil
	for _, worker := range syncQueue {
		switch {
		case !worker.Urgent || worker.InFlight || !worker.Address.IsValid():
		case now.Sub(worker.Asked) < minGap:
			dispatcher.syncQueue = append(dispatcher.syncQueue, worker)
		default:
			dispatcher.sync(now, worker)
		}
	}
}

func (dispatcher *Dispatcher) sync(now time.Time, worker *watcher.Worker) {
	if dispatcher.authority == signaler.AuthorityNone {
		return
	}
	// A worker that does not answer is asked at the interval only, whatever waits for it.
	if worker.Suspect && now.Sub(worker.Asked) < watcher.Interval {
		return
	}
	worker.Urgent, worker.InFlight, worker.Asked = false, true, now
	request := executor.SyncRequest{
		Shard:  dispatcher.shard,
		Epoch:  dispatcher.epoch,
		Ticket: worker.Ticket,
		MaxAge: recoverer.MessageAge,
	}
	// The first message only asks: the worker's state has to be known before its lease is renewed.
	if worker.Reported && !worker.Suspect && dispatcher.mayRenew(now) {
		request.Lease = recoverer.TaskLease
		dispatcher.recoverer.Sent(worker.ID, now)
	}
	if worker.Reported && !worker.Suspect && dispatcher.authority == signaler.AuthorityAct {
		for _, run := range worker.Outdated() {
			dispatcher.end(now, run, executor.RunResult{
				Outcome: recorder.OutcomeNotStarted,
				Reason:  "the worker restarted before the start was sent",
			})
		}
		worker.Command(now, &request)
		dispatcher.outbox.Flush()
	}
	worker.Ask(now, &request)
	dispatcher.outbox.Act(signaler.Sync{
		Worker:  worker.ID,
		Address: worker.Address,
		Request: request,
		Sent:    now,
	})
}

func (dispatcher *Dispatcher) mayRenew(now time.Time) bool {
	return dispatcher.authority == signaler.AuthorityAct || dispatcher.recoverer.MayRenew(now)
}

// Unanswered takes a message without an answer into account.
func (dispatcher *Dispatcher) Unanswered(now time.Time, event signaler.Unanswered) {
	worker, ok := dispatcher.fleet.Known(event.Worker)
	if !ok {
		return
	}
	worker.InFlight, worker.Question = false, false
	worker.Suspect = true
	dispatcher.recoverer.Unanswered(worker.ID, event.MayHaveArrived)
	dispatcher.describe(worker)
	for _, run := range worker.SortedRuns() {
		if run.Phase == arbiter.PhaseSent && run.Sent.Equal(worker.Asked) && !event.MayHaveArrived {
			run.Phase = arbiter.PhaseReady
		}
		if run.Phase == arbiter.PhaseReady {
			dispatcher.stop(now, run, "the worker does not answer")
		}
	}
}

// Reported takes the report of a worker into account.
func (dispatcher *Dispatcher) Reported(now time.Time, event signaler.Reported) {
	worker, ok := dispatcher.fleet.Known(event.Worker)
	if !ok {
		return
	}
	reply := event.Reply
	if !worker.Understands(reply) {
		dispatcher.Unanswered(now, signaler.Unanswered{
			Worker:         event.Worker,
			MayHaveArrived: true,
		})
		return
	}
	dispatcher.recoverer.Answered(now, worker.ID, event.Sent)
	again := !worker.Reported || worker.Suspect || reply.Stale
	opened := again || worker.Incarnation != reply.Incarnation || !reply.Partial && worker.Description.Capacity != reply.Capacity
	worker.InFlight, worker.Suspect, worker.Reported = false, false, true
	worker.Incarnation, worker.Ticket = reply.Incarnation, reply.Ticket
	if !reply.Partial {
		worker.Description = allocator.Worker{
			ID:       worker.ID,
			Place:    reply.Place,
			Labels:   reply.Labels,
			Capacity: reply.Capacity,
		}
	}
	worker.Description.Closed = reply.Leaving
	dispatcher.describe(worker)
	before := len(worker.Runs)
	dispatcher.compare(now, worker, reply)
	worker.Plan(now, len(worker.Runs) < before)
	dispatcher.describe(worker)
	dispatcher.placementDue = dispatcher.placementDue || opened
	if again || worker.Urgent {
		dispatcher.wake(worker)
	}
}

// compare brings the runs of a worker in line with its report.
func (dispatcher *Dispatcher) compare(now time.Time, worker *watcher.Worker, reply executor.SyncReply) {
	seen := make(map[descriptor.RunID]struct{}, len(reply.Running)+len(reply.Finished))
	worker.Foreign = map[descriptor.RunID]struct{}{}
	for _, report := range reply.Running {
		seen[report.Run] = struct{}{}
		dispatcher.running(now, worker, report)
	}
	for _, result := range reply.Finished {
		seen[result.Run] = struct{}{}
		dispatcher.finished(now, worker, result)
	}
	worker.Forgot(seen)
	for _, run := range worker.SortedRuns() {
		// A partial report leaves out runs that go on.
		if _, ok := seen[run.ID]; !ok && (!reply.Partial || run.Phase != arbiter.PhaseRunning) {
			dispatcher.missing(now, worker, run)
		}
	}
}

func (dispatcher *Dispatcher) running(now time.Time, worker *watcher.Worker, report executor.RunReport) {
	run, ok := worker.Runs[report.Run]
	if !ok {
		run = dispatcher.rediscover(now, worker, report.Run)
	}
	if run == nil {
		worker.Foreign[report.Run] = struct{}{}
		dispatcher.wake(worker)
		return
	}
	if !run.Reserved {
		run.Reserved = true
		dispatcher.allocator.Adopt(run.Job.Work, run.ID, worker.ID, report.Started)
	}
	if run.Phase != arbiter.PhaseRunning {
		run.Phase, run.Since = arbiter.PhaseRunning, report.Started
		run.Task().Since = report.Started
		run.Task().Ran = true
		worker.Expect(now, run, dispatcher.allocator.Remaining(run.Job.Work, run.Elapsed(now)))
		dispatcher.note(now, run.Job, "Running", "task %d, attempt %d: running on %s", run.ID.Task, run.ID.Attempt, worker.ID)
	}
	if !report.Usage.At.IsZero() {
		dispatcher.observe(worker, run, report.Usage)
	}
}

// rediscover returns the run of a task whose fate was unknown until its worker came back.
func (dispatcher *Dispatcher) rediscover(now time.Time, worker *watcher.Worker, id descriptor.RunID) *arbiter.Run {
	job := dispatcher.jobs[id.Job]
	if !job.LostOn(worker.ID, id) {
		return nil
	}
	run := &arbiter.Run{
		ID:          id,
		Job:         job,
		Worker:      worker.ID,
		Incarnation: worker.Incarnation,
		Phase:       arbiter.PhaseUnsure,
		Stop:        job.Cancelled,
	}
	dispatcher.attach(run)
	delete(worker.Ends, id)
	dispatcher.note(now, job, "Found", "task %d, attempt %d: found on %s", id.Task, id.Attempt, worker.ID)
	return run
}

func (dispatcher *Dispatcher) finished(now time.Time, worker *watcher.Worker, result executor.RunResult) {
	if run, ok := worker.Runs[result.Run]; ok {
		dispatcher.end(now, run, result)
		return
	}
	if job := dispatcher.jobs[result.Run.Job]; job.LostOn(worker.ID, result.Run) {
		if result.Outcome == executor.OutcomeStopped && result.Started.IsZero() {
			result.Outcome = recorder.OutcomeNotStarted
		}
		dispatcher.conclude(now, job, worker, result)
		return
	}
	if _, ok := worker.Ends[result.Run]; !ok {
		// The run belongs to an attempt that no record waits for any more.
		worker.Ends[result.Run] = true
	}
	if worker.Ends[result.Run] {
		dispatcher.wake(worker)
	}
}

// missing handles a run that the worker's report does not contain. The worker has accepted this
// epoch, and its reply makes all earlier messages void. So a run that was not seen running never
// started, unless the worker has lost its memory since the intent.
func (dispatcher *Dispatcher) missing(now time.Time, worker *watcher.Worker, run *arbiter.Run) {
	switch {
	case run.Phase == arbiter.PhaseIntending || run.Phase == arbiter.PhaseReady:
	case run.Phase != arbiter.PhaseRunning && run.Incarnation == worker.Incarnation:
		dispatcher.end(now, run, executor.RunResult{
			Outcome: recorder.OutcomeNotStarted,
			Reason:  "the worker never started it",
		})
	default:
		dispatcher.lose(now, run, "the worker does not know the run any more")
	}
}

func (dispatcher *Dispatcher) lose(now time.Time, run *arbiter.Run, reason string) {
	dispatcher.end(now, run, executor.RunResult{
		Outcome: recorder.OutcomeLost,
		Ended:   now,
		Reason:  reason,
	})
}
