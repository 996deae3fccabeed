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

// bindWait is a binding that is not durable yet.
type bindWait struct {
	binding  registrar.Binding
	requests []signaler.Request
	// others are requests with another description. The key conflicts with them only once the binding
	// is durable, since an earlier answer would refuse them for a binding that may never exist.
	others []signaler.Request
}

type acceptWait struct {
	requests []signaler.Request
}

func (controller *Controller) bind(now time.Time, event signaler.Bind) {
	if len(event.Targets) == 0 {
		controller.outbox.Act(signaler.AnswerBind{
			Request: event.Request,
			Problem: descriptor.NewProblem(descriptor.CodeUnavailable, retryWhenDown, "no shard can take the job"),
		})
		return
	}
	digest := registrar.Digest(&event.Job)
	binding, bound := controller.durable.Keys.Find(event.Job.Caller, event.Job.Key)
	key := fmt.Sprintf("%q %q", event.Job.Caller, event.Job.Key)
	waiting := controller.binding[key]
	switch {
	case bound && binding.Digest != digest:
		controller.outbox.Act(keyConflict(event.Request, binding))
	case bound:
		controller.outbox.Act(answerBind(event.Request, binding, true))
	case waiting != nil && waiting.binding.Digest != digest:
		waiting.others = append(waiting.others, event.Request)
	case waiting != nil:
		waiting.requests = append(waiting.requests, event.Request)
	default:
		controller.bindNew(now, event, key, digest)
	}
}

func answerBind(request signaler.Request, binding registrar.Binding, existed bool) signaler.AnswerBind {
	target, _ := registrar.Target(binding.Job)
	return signaler.AnswerBind{
		Request: request,
		ID:      binding.Job,
		Target:  target,
		Existed: existed,
	}
}

func keyConflict(request signaler.Request, binding registrar.Binding) signaler.AnswerBind {
	return signaler.AnswerBind{
		Request: request,
		Problem: descriptor.NewProblem(descriptor.CodeKeyConflict, 0,
			"key %q belongs to a job with another description", binding.Key),
	}
}

func (controller *Controller) bindNew(now time.Time, event signaler.Bind, key string, digest uint64) {
	problem := controller.unavailable()
	if problem != nil {
		controller.outbox.Act(signaler.AnswerBind{
			Request: event.Request,
			Problem: problem,
		})
		return
	}
	wait := &bindWait{
		binding: registrar.Binding{
			Caller: event.Job.Caller,
			Key:    event.Job.Key,
			Job:    registrar.NewJobID(event.Targets[0], &event.Job, now, event.Nonce),
			Digest: digest,
			At:     now,
		},
		requests: []signaler.Request{event.Request},
	}
	if event.Job.Key == "" {
		controller.outbox.Act(answerBind(event.Request, wait.binding, false))
		return
	}
	controller.binding[key] = wait
	controller.outbox.Append(true, signaler.Pending{
		Records: []*recordpb.Record{wait.binding.Record()},
		Durable: []func(time.Time){func(time.Time) {
			delete(controller.binding, key)
			for i, request := range wait.requests {
				controller.outbox.Act(answerBind(request, wait.binding, i > 0))
			}
			for _, request := range wait.others {
				controller.outbox.Act(keyConflict(request, wait.binding))
			}
		}},
		Refused: func() {
			delete(controller.binding, key)
			for _, request := range append(wait.requests, wait.others...) {
				controller.outbox.Act(signaler.AnswerBind{
					Request: request,
					Problem: controller.refusal(),
				})
			}
		},
	})
}

func (controller *Controller) refusal() *descriptor.Problem {
	return descriptor.NewProblem(descriptor.CodeUnavailable, retryWhenDown,
		"the journal of shard %s is unavailable; nothing was accepted", controller.shard)
}

func (controller *Controller) accept(now time.Time, event signaler.Accept) {
	answer := func(problem *descriptor.Problem) {
		controller.outbox.Act(signaler.AnswerAccept{
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
	if problem := controller.unavailable(); problem != nil {
		answer(problem)
		return
	}
	if waiting := controller.accepting[event.ID]; waiting != nil {
		waiting.requests = append(waiting.requests, event.Request)
		return
	}
	// A job that ended is forgotten a full retention after it was bound at the earliest, so an unknown
	// job with a young ID was never accepted, while an old one may have run.
	if bound, ok := registrar.BoundAt(event.ID); !ok || now.Sub(bound) > registrar.Retention/2 {
		answer(descriptor.NewProblem(descriptor.CodeNotFound, 0,
			"job %s is not known any more; submit it with another key", event.ID))
		return
	}
	job, impossible, err := controller.dispatcher.NewJob(now, event.ID, &event.Job)
	if problem := refusalOf(impossible, err); problem != nil {
		answer(problem)
		return
	}
	controller.acceptNew(now, event, job)
}

func (controller *Controller) acceptNew(now time.Time, event signaler.Accept, job *arbiter.Job) {
	wait := &acceptWait{
		requests: []signaler.Request{event.Request},
	}
	controller.accepting[event.ID] = wait
	answer := func(problem *descriptor.Problem) {
		delete(controller.accepting, event.ID)
		for _, request := range wait.requests {
			controller.outbox.Act(signaler.AnswerAccept{
				Request: request,
				Problem: problem,
			})
		}
	}
	controller.outbox.Append(true, signaler.Pending{
		Records: []*recordpb.Record{recorder.JobAccepted(event.ID, &event.Job, now)},
		Durable: []func(time.Time){func(now time.Time) {
			answer(nil)
			controller.dispatcher.Add(now, job)
		}},
		Refused: func() {
			answer(controller.refusal())
		},
	})
}

func (controller *Controller) cancel(now time.Time, event signaler.Cancel) {
	job := controller.dispatcher.Job(event.ID)
	durable := controller.durable.Jobs[event.ID]
	answer := func(status descriptor.JobStatus, problem *descriptor.Problem) {
		controller.outbox.Act(signaler.AnswerCancel{
			Request: event.Request,
			Status:  status,
			Problem: problem,
		})
	}
	switch {
	case job == nil || durable == nil, job.Ended, !durable.Cancelled.IsZero():
		answer(controller.Status(event.ID, false))
	case controller.unavailable() != nil:
		answer(descriptor.JobStatus{}, controller.unavailable())
	default:
		controller.outbox.Record(recorder.JobCancelled(job.ID, now))
		controller.dispatcher.Cancel(now, job)
		// The answer comes after the records that the cancellation led to at once. They are durable
		// then, whatever authority is left.
		controller.outbox.After(func(time.Time) {
			status, _ := controller.status(event.ID, false)
			answer(status, nil)
		})
	}
}
