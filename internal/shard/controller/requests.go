package controller

import (
	"fmt"
	"time"

	"pomelomoor/internal/shard/arbiter"
	"pomelomoor/internal/shard/recorder"
	"pomelomoor/internal/shard/recordpb"
	"pomelomoor/internal/shard/registrar"
	"pomelomoor/internal/shard/signaler"
	"pomelomoor/internal/work/descriptor"
)

// pendingBind is a binding that is not durable yet.
type pendingBind struct {
	binding registrar.Binding
	// requests lists the requests with the same description as the binding, in order of arrival.
	requests []signaler.RequestID
	// conflicting lists the requests with a different description. They are answered with a key conflict
	// only once the binding is durable, because the journal may still refuse it.
	conflicting []signaler.RequestID
}

// pendingAccept is a job whose acceptance is not durable yet.
type pendingAccept struct {
	requests []signaler.RequestID
}

// bind answers with the job that the key is bound to, and binds the key to a new job if there is none.
func (controller *Controller) bind(now time.Time, event signaler.Bind) {
	if len(event.Targets) == 0 {
		controller.outbox.Add(signaler.AnswerBind{
			Request: event.Request,
			Problem: descriptor.NewProblem(descriptor.CodeUnavailable, unavailableRetryAfter, "no shard can accept the job"),
		})
		return
	}
	digest := registrar.Digest(&event.Job)
	binding, bound := controller.durable.Keys.Find(event.Job.Caller, event.Job.Key)
	key := fmt.Sprintf("%q %q", event.Job.Caller, event.Job.Key)
	pending := controller.pendingBinds[key]
	switch {
	case bound && binding.Digest != digest:
		controller.outbox.Add(keyConflictAnswer(event.Request, binding))
	case bound:
		controller.outbox.Add(boundAnswer(event.Request, binding, true))
	case pending != nil && pending.binding.Digest != digest:
		pending.conflicting = append(pending.conflicting, event.Request)
	case pending != nil:
		pending.requests = append(pending.requests, event.Request)
	default:
		controller.bindNew(now, event, key, digest)
	}
}

// boundAnswer returns the answer for a key that is bound to a job. The argument existed tells whether an
// earlier request created the binding.
func boundAnswer(request signaler.RequestID, binding registrar.Binding, existed bool) signaler.AnswerBind {
	target, _ := registrar.Target(binding.Job)
	return signaler.AnswerBind{
		Request: request,
		ID:      binding.Job,
		Target:  target,
		Existed: existed,
	}
}

// keyConflictAnswer returns the answer for a key that is bound to a job with a different description.
func keyConflictAnswer(request signaler.RequestID, binding registrar.Binding) signaler.AnswerBind {
	return signaler.AnswerBind{
		Request: request,
		Problem: descriptor.NewProblem(descriptor.CodeKeyConflict, 0,
			"key %q is bound to a job with a different description", binding.Key),
	}
}

// bindNew assigns a job ID and records its binding to the key. A job without a key needs no binding and
// is answered at once.
func (controller *Controller) bindNew(now time.Time, event signaler.Bind, key string, digest uint64) {
	problem := controller.checkAvailable()
	if problem != nil {
		controller.outbox.Add(signaler.AnswerBind{
			Request: event.Request,
			Problem: problem,
		})
		return
	}
	pending := &pendingBind{
		binding: registrar.Binding{
			Caller: event.Job.Caller,
			Key:    event.Job.Key,
			Job:    registrar.NewJobID(event.Targets[0], &event.Job, now, event.Nonce),
			Digest: digest,
			At:     now,
		},
		requests: []signaler.RequestID{event.Request},
	}
	if event.Job.Key == "" {
		controller.outbox.Add(boundAnswer(event.Request, pending.binding, false))
		return
	}
	controller.pendingBinds[key] = pending
	controller.outbox.Append(true, signaler.Pending{
		Records: []*recordpb.Record{pending.binding.Record()},
		OnDurable: []func(time.Time){func(time.Time) {
			delete(controller.pendingBinds, key)
			for i, request := range pending.requests {
				controller.outbox.Add(boundAnswer(request, pending.binding, i > 0))
			}
			for _, request := range pending.conflicting {
				controller.outbox.Add(keyConflictAnswer(request, pending.binding))
			}
		}},
		OnRefused: func() {
			delete(controller.pendingBinds, key)
			for _, request := range append(pending.requests, pending.conflicting...) {
				controller.outbox.Add(signaler.AnswerBind{
					Request: request,
					Problem: controller.journalUnavailable(),
				})
			}
		},
	})
}

// journalUnavailable returns the problem of a request whose records the journal refused.
func (controller *Controller) journalUnavailable() *descriptor.Problem {
	return descriptor.NewProblem(descriptor.CodeUnavailable, unavailableRetryAfter,
		"the journal of shard %s is unavailable; nothing was accepted", controller.shard)
}

// accept answers at once if the job is already accepted or can't be accepted. Otherwise it records the job.
func (controller *Controller) accept(now time.Time, event signaler.Accept) {
	answer := func(problem *descriptor.Problem) {
		controller.outbox.Add(signaler.AnswerAccept{
			Request: event.Request,
			Problem: problem,
		})
	}
	if target, ok := registrar.Target(event.ID); !ok || target != controller.shard {
		answer(descriptor.NewProblem(descriptor.CodeInvalid, 0, "job %s does not belong to shard %s", event.ID, controller.shard))
		return
	}
	if _, ok := controller.durable.Jobs[event.ID]; ok && controller.loaded {
		answer(nil)
		return
	}
	if problem := controller.checkAvailable(); problem != nil {
		answer(problem)
		return
	}
	if pending := controller.pendingAccepts[event.ID]; pending != nil {
		pending.requests = append(pending.requests, event.Request)
		return
	}
	// An ended job is kept for the retention, so it is never forgotten sooner than that after its ID was
	// formed. A job that is not found was never accepted if its ID is recent, but may have run if its ID
	// is old.
	if createdAt, ok := registrar.CreatedAt(event.ID); !ok || now.Sub(createdAt) > registrar.Retention/2 {
		answer(descriptor.NewProblem(descriptor.CodeNotFound, 0,
			"job %s is no longer known; submit it with a different key", event.ID))
		return
	}
	job, impossible, err := controller.dispatcher.NewJob(now, event.ID, &event.Job)
	if problem := admissionProblem(impossible, err); problem != nil {
		answer(problem)
		return
	}
	controller.acceptNew(now, event, job)
}

// acceptNew records a job. Once the record is durable, it answers the requests and queues the job.
func (controller *Controller) acceptNew(now time.Time, event signaler.Accept, job *arbiter.Job) {
	pending := &pendingAccept{
		requests: []signaler.RequestID{event.Request},
	}
	controller.pendingAccepts[event.ID] = pending
	answer := func(problem *descriptor.Problem) {
		delete(controller.pendingAccepts, event.ID)
		for _, request := range pending.requests {
			controller.outbox.Add(signaler.AnswerAccept{
				Request: request,
				Problem: problem,
			})
		}
	}
	controller.outbox.Append(true, signaler.Pending{
		Records: []*recordpb.Record{recorder.JobAccepted(event.ID, &event.Job, now)},
		OnDurable: []func(time.Time){func(now time.Time) {
			answer(nil)
			controller.dispatcher.Add(now, job)
		}},
		OnRefused: func() {
			answer(controller.journalUnavailable())
		},
	})
}

// cancel records the cancellation of a job that has neither ended nor been cancelled.
func (controller *Controller) cancel(now time.Time, event signaler.Cancel) {
	job := controller.dispatcher.Job(event.ID)
	durable := controller.durable.Jobs[event.ID]
	answer := func(status descriptor.JobStatus, problem *descriptor.Problem) {
		controller.outbox.Add(signaler.AnswerCancel{
			Request: event.Request,
			Status:  status,
			Problem: problem,
		})
	}
	switch {
	case job == nil || durable == nil, job.Ended, !durable.Cancelled.IsZero():
		answer(controller.Status(event.ID, false))
	case controller.checkAvailable() != nil:
		answer(descriptor.JobStatus{}, controller.checkAvailable())
	default:
		controller.outbox.Record(recorder.JobCancelled(job.ID, now))
		controller.dispatcher.Cancel(now, job)
		// The answer waits until the cancellation and the records that directly follow from it are
		// durable. It is then valid even if the owner has lost its authority in the meantime, so the
		// authority is not checked again.
		controller.outbox.OnStepDurable(func(time.Time) {
			status, _ := controller.jobStatus(event.ID, false)
			answer(status, nil)
		})
	}
}
