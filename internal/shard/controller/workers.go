package controller

import (
	"net/netip"
	"time"

	"pomelomoor/internal/platform/executor"
	"pomelomoor/internal/platform/lister"
	"pomelomoor/internal/shard/allocator"
	"pomelomoor/internal/shard/recorder"
	"pomelomoor/internal/shard/recoverer"
	"pomelomoor/internal/work/descriptor"
)

// worker is what the owner knows of a worker in this term.
type worker struct {
	id      descriptor.WorkerID
	address netip.AddrPort
	listed  bool
	leaving bool
	// reported tells that the worker accepted the epoch; incarnation and ticket are its latest.
	reported    bool
	incarnation string
	ticket      string
	description allocator.Worker
	// changes tells that the message in flight asks for changes only, and wholeAt when the latest whole
	// report was asked for.
	changes bool
	wholeAt time.Time
	// suspect tells that the latest message got no answer. Its lease is not renewed any more.
	suspect  bool
	inFlight bool
	asked    time.Time
	// urgent asks for a message before the interval is over.
	urgent bool
	runs   map[descriptor.RunID]*run
	// ends holds the runs whose end is recorded, and whether the record is durable.
	ends map[descriptor.RunID]bool
	// foreign lists runs on the worker that must not be there.
	foreign map[descriptor.RunID]struct{}
}

func (controller *Controller) worker(id descriptor.WorkerID) *worker {
	found, ok := controller.workers[id]
	if !ok {
		found = &worker{
			id:   id,
			runs: map[descriptor.RunID]*run{},
			ends: map[descriptor.RunID]bool{},
		}
		controller.workers[id] = found
	}
	return found
}

// wake asks for a message to the worker as soon as possible. While nothing but leases may be renewed,
// the interval is enough.
func (controller *Controller) wake(worker *worker) {
	if controller.authority != AuthorityAct {
		return
	}
	controller.due(worker)
}

func (controller *Controller) due(worker *worker) {
	worker.urgent = true
	controller.woken = append(controller.woken, worker)
}

func (controller *Controller) setInstances(now time.Time, event InstancesChanged) {
	controller.listed = true
	for _, worker := range controller.workers {
		worker.listed = false
	}
	ids := make([]descriptor.WorkerID, 0, len(event.Workers))
	for _, instance := range event.Workers {
		worker := controller.worker(descriptor.WorkerID(instance.ID))
		worker.address = instance.Address
		worker.listed = true
		worker.leaving = instance.State == lister.StateLeaving
		ids = append(ids, worker.id)
		controller.wake(worker)
	}
	controller.recoverer.SetListed(now, ids)
	for _, worker := range controller.sortedWorkers() {
		controller.describe(worker)
	}
	controller.crowd = true
}

// describe tells the allocator of a worker's present state.
func (controller *Controller) describe(worker *worker) {
	if !worker.reported {
		return
	}
	description := worker.description
	description.Closed = description.Closed || worker.leaving || !worker.listed || worker.suspect || len(worker.foreign) > 0
	controller.allocator.SetWorker(description)
}

// complete reports whether all listed workers have told what they can hold.
func (controller *Controller) complete() bool {
	listed := 0
	for _, worker := range controller.workers {
		if worker.listed {
			listed++
		}
		if worker.listed && !worker.reported {
			return false
		}
	}
	return controller.listed && listed > 0
}

// minGap bounds the rate of messages to a worker whose reports ask for another one again and again.
const minGap = 10 * time.Millisecond

// syncWorkers sends a message to each worker that is due. There is at most one in flight for each.
func (controller *Controller) syncWorkers(now time.Time) {
	woken := controller.woken
	controller.woken = nil
	for _, worker := range woken {
		switch {
		case !worker.urgent || worker.inFlight || !worker.address.IsValid():
		case now.Sub(worker.asked) < minGap:
			controller.woken = append(controller.woken, worker)
		default:
			controller.sync(now, worker)
		}
	}
}

func (controller *Controller) sync(now time.Time, worker *worker) {
	if controller.authority == AuthorityNone {
		return
	}
	// A worker that does not answer is asked at the interval only, whatever waits for it.
	if worker.suspect && now.Sub(worker.asked) < syncInterval {
		return
	}
	worker.urgent, worker.inFlight, worker.asked = false, true, now
	request := executor.SyncRequest{
		Shard:  controller.shard,
		Epoch:  controller.epoch,
		Ticket: worker.ticket,
	}
	// The first message only asks: the worker's state has to be known before its lease is renewed.
	if worker.reported && !worker.suspect && controller.mayRenew(now) {
		request.Lease = recoverer.TaskLease
		controller.recoverer.Sent(worker.id, now)
	}
	if worker.reported && !worker.suspect && controller.authority == AuthorityAct {
		controller.command(now, worker, &request)
	}
	worker.ask(now, &request)
	controller.act(Sync{
		Worker:  worker.id,
		Address: worker.address,
		Request: request,
		Sent:    now,
	})
}

// wholeInterval is the time between two whole reports. It bounds the time for which an error in a
// worker's bookkeeping of its changes lasts.
const wholeInterval = time.Minute

// ask decides whether the report on a message may leave out what has not changed.
func (worker *worker) ask(now time.Time, request *executor.SyncRequest) {
	worker.changes = worker.reported && !worker.suspect && len(worker.foreign) == 0 && now.Sub(worker.wholeAt) < wholeInterval
	request.Changes = worker.changes
	if !worker.changes {
		worker.wholeAt = now
	}
}

func (controller *Controller) mayRenew(now time.Time) bool {
	return controller.authority == AuthorityAct || controller.recoverer.MayRenew(now)
}

// command adds all commands for the worker to a message.
func (controller *Controller) command(now time.Time, worker *worker, request *executor.SyncRequest) {
	for _, run := range sortedRuns(worker.runs) {
		switch {
		case run.phase == phaseReady && run.incarnation != worker.incarnation:
			controller.end(now, run, executor.RunResult{
				Outcome: recorder.OutcomeNotStarted,
				Reason:  "the worker restarted before the start was sent",
			})
		case run.phase == phaseReady:
			run.phase, run.sent = phaseSent, now
			request.Start = append(request.Start, run.start())
		case run.stop && run.phase != phaseIntending:
			request.Stop = append(request.Stop, run.id)
		case run.checkpoint && run.phase == phaseRunning:
			request.Checkpoint = append(request.Checkpoint, run.id)
		}
	}
	for id, durable := range worker.ends {
		if durable {
			request.Acknowledge = append(request.Acknowledge, id)
		}
	}
	sortRuns(request.Acknowledge)
	for id := range worker.foreign {
		request.Stop = append(request.Stop, id)
	}
	sortRuns(request.Stop)
	controller.flush()
}

func (run *run) start() executor.Start {
	description := run.job.description()
	return executor.Start{
		Run:        run.id,
		Task:       description.Task,
		Kind:       description.Kind,
		Payload:    description.Payload,
		Checkpoint: run.task().checkpoint,
	}
}

func (controller *Controller) unanswered(now time.Time, event Unanswered) {
	worker, ok := controller.workers[event.Worker]
	if !ok {
		return
	}
	worker.inFlight = false
	worker.suspect = true
	controller.recoverer.Unanswered(worker.id, event.MayHaveArrived)
	controller.describe(worker)
	for _, run := range sortedRuns(worker.runs) {
		if run.phase == phaseSent && run.sent.Equal(worker.asked) && !event.MayHaveArrived {
			run.phase = phaseReady
		}
		if run.phase == phaseReady {
			controller.stop(now, run, "the worker does not answer")
		}
	}
}

func (controller *Controller) reported(now time.Time, event Reported) {
	if event.Reply.Worker != event.Worker || !controller.understands(event) {
		// Another worker has the address now, and took the message, or the report is of no use.
		controller.unanswered(now, Unanswered{
			Worker:         event.Worker,
			MayHaveArrived: true,
		})
		return
	}
	worker, ok := controller.workers[event.Worker]
	if !ok {
		return
	}
	reply := event.Reply
	controller.recoverer.Answered(now, worker.id, event.Sent)
	again := !worker.reported || worker.suspect || reply.Stale
	opened := again || worker.incarnation != reply.Incarnation || !reply.Partial && worker.description.Capacity != reply.Capacity
	worker.inFlight, worker.suspect, worker.reported = false, false, true
	worker.incarnation, worker.ticket = reply.Incarnation, reply.Ticket
	if !reply.Partial {
		worker.description = allocator.Worker{
			ID:       worker.id,
			Place:    reply.Place,
			Labels:   reply.Labels,
			Capacity: reply.Capacity,
		}
	}
	worker.description.Closed = reply.Leaving
	controller.describe(worker)
	controller.compare(now, worker, reply)
	controller.describe(worker)
	controller.crowd = controller.crowd || opened
	if again || worker.urgent {
		controller.wake(worker)
	}
}

// understands reports whether a partial report is one of changes to what the controller knows.
func (controller *Controller) understands(event Reported) bool {
	worker, ok := controller.workers[event.Worker]
	return !ok || !event.Reply.Partial || worker.changes && worker.incarnation == event.Reply.Incarnation
}

// compare brings the runs of a worker in line with its report.
func (controller *Controller) compare(now time.Time, worker *worker, reply executor.SyncReply) {
	seen := make(map[descriptor.RunID]struct{}, len(reply.Running)+len(reply.Finished))
	worker.foreign = map[descriptor.RunID]struct{}{}
	for _, report := range reply.Running {
		seen[report.Run] = struct{}{}
		controller.running(now, worker, report)
	}
	for _, result := range reply.Finished {
		seen[result.Run] = struct{}{}
		controller.finished(now, worker, result)
	}
	for id, durable := range worker.ends {
		if _, ok := seen[id]; !ok && durable {
			delete(worker.ends, id)
		}
	}
	for _, run := range sortedRuns(worker.runs) {
		// A partial report leaves out runs that go on.
		if _, ok := seen[run.id]; !ok && (!reply.Partial || run.phase != phaseRunning) {
			controller.missing(now, run)
		}
	}
}

func (controller *Controller) running(now time.Time, worker *worker, report executor.RunReport) {
	run, ok := worker.runs[report.Run]
	if !ok {
		run = controller.rediscover(now, worker, report.Run)
	}
	if run == nil {
		worker.foreign[report.Run] = struct{}{}
		controller.wake(worker)
		return
	}
	if !run.reserved {
		run.reserved = true
		controller.allocator.Adopt(run.job.work, run.id, worker.id, report.Started)
	}
	if run.phase != phaseRunning {
		run.phase, run.since = phaseRunning, report.Started
		run.task().ran = true
		controller.note(now, run.job, "Running", "task %d, attempt %d: running on %s", run.id.Task, run.id.Attempt, worker.id)
	}
	if !report.Usage.At.IsZero() {
		controller.allocator.Observe(run.job.work, report.Usage)
	}
}

// rediscover returns the run of a task whose fate was unknown until its worker came back.
func (controller *Controller) rediscover(now time.Time, worker *worker, id descriptor.RunID) *run {
	job := controller.lostRun(worker, id)
	if job == nil {
		return nil
	}
	run := &run{
		id:          id,
		job:         job,
		worker:      worker,
		incarnation: worker.incarnation,
		phase:       phaseUnsure,
		stop:        job.cancelled,
	}
	controller.attach(run)
	delete(worker.ends, id)
	controller.note(now, job, "Found", "task %d, attempt %d: found on %s", id.Task, id.Attempt, worker.id)
	return run
}

// lostRun returns the job of a run that counts as unknown, or nil.
func (controller *Controller) lostRun(worker *worker, id descriptor.RunID) *job {
	job := controller.jobs[id.Job]
	if job == nil || id.Task < 0 || id.Task >= len(job.tasks) {
		return nil
	}
	task := &job.tasks[id.Task]
	if task.state != taskUnknown || task.worker != worker.id || job.work.Attempts[id.Task] != id.Attempt {
		return nil
	}
	return job
}

func (controller *Controller) finished(now time.Time, worker *worker, result executor.RunResult) {
	if run, ok := worker.runs[result.Run]; ok {
		controller.end(now, run, result)
		return
	}
	if job := controller.lostRun(worker, result.Run); job != nil {
		if result.Outcome == executor.OutcomeStopped && result.Started.IsZero() {
			result.Outcome = recorder.OutcomeNotStarted
		}
		controller.conclude(now, job, worker, result)
		return
	}
	if _, ok := worker.ends[result.Run]; !ok {
		// The run belongs to an attempt that no record waits for any more.
		worker.ends[result.Run] = true
	}
	if worker.ends[result.Run] {
		controller.wake(worker)
	}
}

// missing handles a run that the worker's report does not contain. The worker has accepted this
// epoch, and its reply makes all earlier messages void. So a run that was not seen running never
// started, unless the worker has lost its memory since the intent.
func (controller *Controller) missing(now time.Time, run *run) {
	switch {
	case run.phase == phaseIntending || run.phase == phaseReady:
	case run.phase != phaseRunning && run.incarnation == run.worker.incarnation:
		controller.end(now, run, executor.RunResult{
			Outcome: recorder.OutcomeNotStarted,
			Reason:  "the worker never started it",
		})
	default:
		controller.lose(now, run, "the worker does not know the run any more")
	}
}

func (controller *Controller) lose(now time.Time, run *run, reason string) {
	controller.end(now, run, executor.RunResult{
		Outcome: recorder.OutcomeLost,
		Ended:   now,
		Reason:  reason,
	})
}
