package dispatcher

import (
	"net/netip"
	"time"

	"pomelomoor/internal/platform/executor"
	"pomelomoor/internal/platform/lister"
	"pomelomoor/internal/shard/allocator"
	"pomelomoor/internal/shard/arbiter"
	"pomelomoor/internal/shard/recorder"
	"pomelomoor/internal/shard/recoverer"
	"pomelomoor/internal/shard/signaler"
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
	// suspect tells that the latest message got no answer. Its lease is not renewed any more.
	suspect  bool
	inFlight bool
	asked    time.Time
	// urgent asks for a message before the interval is over.
	urgent bool
	runs   map[descriptor.RunID]*arbiter.Run
	// ends holds the runs whose end is recorded, and whether the record is durable.
	ends map[descriptor.RunID]bool
	// foreign lists runs on the worker that must not be there.
	foreign map[descriptor.RunID]struct{}
}

func (dispatcher *Dispatcher) worker(id descriptor.WorkerID) *worker {
	found, ok := dispatcher.workers[id]
	if !ok {
		found = &worker{
			id:   id,
			runs: map[descriptor.RunID]*arbiter.Run{},
			ends: map[descriptor.RunID]bool{},
		}
		dispatcher.workers[id] = found
	}
	return found
}

// wake asks for a message to the worker as soon as possible. While nothing but leases may be renewed,
// the interval is enough.
func (dispatcher *Dispatcher) wake(worker *worker) {
	if dispatcher.authority != signaler.AuthorityAct {
		return
	}
	dispatcher.due(worker)
}

func (dispatcher *Dispatcher) due(worker *worker) {
	worker.urgent = true
	dispatcher.woken = append(dispatcher.woken, worker)
}

// SetInstances gives the workers that the platform lists.
func (dispatcher *Dispatcher) SetInstances(now time.Time, event signaler.InstancesChanged) {
	dispatcher.listed = true
	for _, worker := range dispatcher.workers {
		worker.listed = false
	}
	ids := make([]descriptor.WorkerID, 0, len(event.Workers))
	for _, instance := range event.Workers {
		worker := dispatcher.worker(descriptor.WorkerID(instance.ID))
		worker.address = instance.Address
		worker.listed = true
		worker.leaving = instance.State == lister.StateLeaving
		ids = append(ids, worker.id)
		dispatcher.wake(worker)
	}
	dispatcher.recoverer.SetListed(now, ids)
	for _, worker := range dispatcher.sortedWorkers() {
		dispatcher.describe(worker)
	}
	dispatcher.crowd = true
}

// describe tells the allocator of a worker's present state.
func (dispatcher *Dispatcher) describe(worker *worker) {
	if !worker.reported {
		return
	}
	description := worker.description
	description.Closed = description.Closed || worker.leaving || !worker.listed || worker.suspect || len(worker.foreign) > 0
	dispatcher.allocator.SetWorker(description)
}

// complete reports whether all listed workers have told what they can hold.
func (dispatcher *Dispatcher) complete() bool {
	listed := 0
	for _, worker := range dispatcher.workers {
		if worker.listed {
			listed++
		}
		if worker.listed && !worker.reported {
			return false
		}
	}
	return dispatcher.listed && listed > 0
}

// minGap bounds the rate of messages to a worker whose reports ask for another one again and again.
const minGap = 10 * time.Millisecond

// Sync sends a message to each worker that is due. There is at most one in flight for each.
func (dispatcher *Dispatcher) Sync(now time.Time) {
	if !dispatcher.loaded {
		// The epoch is not known yet.
		return
	}
	woken := dispatcher.woken
	dispatcher.woken = nil
	for _, worker := range woken {
		switch {
		case !worker.urgent || worker.inFlight || !worker.address.IsValid():
		case now.Sub(worker.asked) < minGap:
			dispatcher.woken = append(dispatcher.woken, worker)
		default:
			dispatcher.sync(now, worker)
		}
	}
}

func (dispatcher *Dispatcher) sync(now time.Time, worker *worker) {
	if dispatcher.authority == signaler.AuthorityNone {
		return
	}
	// A worker that does not answer is asked at the interval only, whatever waits for it.
	if worker.suspect && now.Sub(worker.asked) < syncInterval {
		return
	}
	worker.urgent, worker.inFlight, worker.asked = false, true, now
	request := executor.SyncRequest{
		Shard:  dispatcher.shard,
		Epoch:  dispatcher.epoch,
		Ticket: worker.ticket,
	}
	// The first message only asks: the worker's state has to be known before its lease is renewed.
	if worker.reported && !worker.suspect && dispatcher.mayRenew(now) {
		request.Lease = recoverer.TaskLease
		dispatcher.recoverer.Sent(worker.id, now)
	}
	if worker.reported && !worker.suspect && dispatcher.authority == signaler.AuthorityAct {
		dispatcher.command(now, worker, &request)
	}
	dispatcher.outbox.Act(signaler.Sync{
		Worker:  worker.id,
		Address: worker.address,
		Request: request,
		Sent:    now,
	})
}

func (dispatcher *Dispatcher) mayRenew(now time.Time) bool {
	return dispatcher.authority == signaler.AuthorityAct || dispatcher.recoverer.MayRenew(now)
}

// command adds all commands for the worker to a message.
func (dispatcher *Dispatcher) command(now time.Time, worker *worker, request *executor.SyncRequest) {
	for _, run := range sortedRuns(worker.runs) {
		switch {
		case run.Phase == arbiter.PhaseReady && run.Incarnation != worker.incarnation:
			dispatcher.end(now, run, executor.RunResult{
				Outcome: recorder.OutcomeNotStarted,
				Reason:  "the worker restarted before the start was sent",
			})
		case run.Phase == arbiter.PhaseReady:
			run.Phase, run.Sent = arbiter.PhaseSent, now
			request.Start = append(request.Start, startOf(run))
		case run.Stop && run.Phase != arbiter.PhaseIntending:
			request.Stop = append(request.Stop, run.ID)
		case run.Checkpoint && run.Phase == arbiter.PhaseRunning:
			request.Checkpoint = append(request.Checkpoint, run.ID)
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
	dispatcher.outbox.Flush()
}

func startOf(run *arbiter.Run) executor.Start {
	description := run.Job.Description()
	return executor.Start{
		Run:        run.ID,
		Task:       description.Task,
		Kind:       description.Kind,
		Payload:    description.Payload,
		Checkpoint: run.Task().Checkpoint,
	}
}

// Unanswered takes a message without an answer into account.
func (dispatcher *Dispatcher) Unanswered(now time.Time, event signaler.Unanswered) {
	worker, ok := dispatcher.workers[event.Worker]
	if !ok {
		return
	}
	worker.inFlight = false
	worker.suspect = true
	dispatcher.recoverer.Unanswered(worker.id, event.MayHaveArrived)
	dispatcher.describe(worker)
	for _, run := range sortedRuns(worker.runs) {
		if run.Phase == arbiter.PhaseSent && run.Sent.Equal(worker.asked) && !event.MayHaveArrived {
			run.Phase = arbiter.PhaseReady
		}
		if run.Phase == arbiter.PhaseReady {
			dispatcher.stop(now, run, "the worker does not answer")
		}
	}
}

// Reported takes the report of a worker into account.
func (dispatcher *Dispatcher) Reported(now time.Time, event signaler.Reported) {
	if event.Reply.Worker != event.Worker {
		// Another worker has the address now, and took the message.
		dispatcher.Unanswered(now, signaler.Unanswered{
			Worker:         event.Worker,
			MayHaveArrived: true,
		})
		return
	}
	worker, ok := dispatcher.workers[event.Worker]
	if !ok {
		return
	}
	reply := event.Reply
	dispatcher.recoverer.Answered(now, worker.id, event.Sent)
	again := !worker.reported || worker.suspect || reply.Stale
	opened := again || worker.incarnation != reply.Incarnation || worker.description.Capacity != reply.Capacity
	worker.inFlight, worker.suspect, worker.reported = false, false, true
	worker.incarnation, worker.ticket = reply.Incarnation, reply.Ticket
	worker.description = allocator.Worker{
		ID:       worker.id,
		Place:    reply.Place,
		Labels:   reply.Labels,
		Capacity: reply.Capacity,
		Closed:   reply.Leaving,
	}
	dispatcher.describe(worker)
	dispatcher.compare(now, worker, reply)
	dispatcher.describe(worker)
	dispatcher.crowd = dispatcher.crowd || opened
	if again || worker.urgent {
		dispatcher.wake(worker)
	}
}

// compare brings the runs of a worker in line with its report.
func (dispatcher *Dispatcher) compare(now time.Time, worker *worker, reply executor.SyncReply) {
	seen := make(map[descriptor.RunID]struct{}, len(reply.Running)+len(reply.Finished))
	worker.foreign = map[descriptor.RunID]struct{}{}
	for _, report := range reply.Running {
		seen[report.Run] = struct{}{}
		dispatcher.running(now, worker, report)
	}
	for _, result := range reply.Finished {
		seen[result.Run] = struct{}{}
		dispatcher.finished(now, worker, result)
	}
	for id, durable := range worker.ends {
		if _, ok := seen[id]; !ok && durable {
			delete(worker.ends, id)
		}
	}
	for _, run := range sortedRuns(worker.runs) {
		if _, ok := seen[run.ID]; !ok {
			dispatcher.missing(now, worker, run)
		}
	}
}

func (dispatcher *Dispatcher) running(now time.Time, worker *worker, report executor.RunReport) {
	run, ok := worker.runs[report.Run]
	if !ok {
		run = dispatcher.rediscover(now, worker, report.Run)
	}
	if run == nil {
		worker.foreign[report.Run] = struct{}{}
		dispatcher.wake(worker)
		return
	}
	if !run.Reserved {
		run.Reserved = true
		dispatcher.allocator.Adopt(run.Job.Work, run.ID, worker.id, report.Started)
	}
	if run.Phase != arbiter.PhaseRunning {
		run.Phase, run.Since = arbiter.PhaseRunning, report.Started
		run.Task().Ran = true
		dispatcher.note(now, run.Job, "Running", "task %d, attempt %d: running on %s", run.ID.Task, run.ID.Attempt, worker.id)
	}
	if !report.Usage.At.IsZero() {
		dispatcher.allocator.Observe(run.Job.Work, report.Usage)
	}
}

// rediscover returns the run of a task whose fate was unknown until its worker came back.
func (dispatcher *Dispatcher) rediscover(now time.Time, worker *worker, id descriptor.RunID) *arbiter.Run {
	job := dispatcher.lostRun(worker, id)
	if job == nil {
		return nil
	}
	run := &arbiter.Run{
		ID:          id,
		Job:         job,
		Worker:      worker.id,
		Incarnation: worker.incarnation,
		Phase:       arbiter.PhaseUnsure,
		Stop:        job.Cancelled,
	}
	dispatcher.attach(run)
	delete(worker.ends, id)
	dispatcher.note(now, job, "Found", "task %d, attempt %d: found on %s", id.Task, id.Attempt, worker.id)
	return run
}

// lostRun returns the job of a run that counts as unknown, or nil.
func (dispatcher *Dispatcher) lostRun(worker *worker, id descriptor.RunID) *arbiter.Job {
	job := dispatcher.jobs[id.Job]
	if job == nil || id.Task < 0 || id.Task >= len(job.Tasks) {
		return nil
	}
	task := &job.Tasks[id.Task]
	if task.State != arbiter.TaskUnknown || task.Worker != worker.id || job.Work.Attempts[id.Task] != id.Attempt {
		return nil
	}
	return job
}

func (dispatcher *Dispatcher) finished(now time.Time, worker *worker, result executor.RunResult) {
	if run, ok := worker.runs[result.Run]; ok {
		dispatcher.end(now, run, result)
		return
	}
	if job := dispatcher.lostRun(worker, result.Run); job != nil {
		if result.Outcome == executor.OutcomeStopped && result.Started.IsZero() {
			result.Outcome = recorder.OutcomeNotStarted
		}
		dispatcher.conclude(now, job, worker, result)
		return
	}
	if _, ok := worker.ends[result.Run]; !ok {
		// The run belongs to an attempt that no record waits for any more.
		worker.ends[result.Run] = true
	}
	if worker.ends[result.Run] {
		dispatcher.wake(worker)
	}
}

// missing handles a run that the worker's report does not contain. The worker has accepted this
// epoch, and its reply makes all earlier messages void. So a run that was not seen running never
// started, unless the worker has lost its memory since the intent.
func (dispatcher *Dispatcher) missing(now time.Time, worker *worker, run *arbiter.Run) {
	switch {
	case run.Phase == arbiter.PhaseIntending || run.Phase == arbiter.PhaseReady:
	case run.Phase != arbiter.PhaseRunning && run.Incarnation == worker.incarnation:
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
