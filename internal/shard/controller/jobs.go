package controller

import (
	"fmt"
	"time"

	"pomelomoor/internal/shard/allocator"
	"pomelomoor/internal/shard/recorder"
	"pomelomoor/internal/shard/recordpb"
	"pomelomoor/internal/shard/registrar"
	"pomelomoor/internal/work/descriptor"
)

// job is the live view of a job.
type job struct {
	id    descriptor.JobID
	work  *allocator.Work
	tasks []task
	// unchecked tells that the job was accepted before all workers were known.
	unchecked bool
	// held is true while a policy keeps the job waiting.
	held      bool
	cancelled bool
	// restarting is set while the members of a gang are being stopped to start again together.
	restarting bool
	// ended is set when the final fate is recorded.
	ended bool
	// resume is when a job that failed may be queued again; zero means at once.
	resume time.Time
	// reason tells what the waiting tasks wait for.
	reason string
	trail  []descriptor.Decision
}

func (job *job) description() *descriptor.Job {
	return job.work.Job
}

func (job *job) service() bool {
	return job.work.Job.Kind == descriptor.KindService
}

func (job *job) gang() bool {
	return job.work.Job.Kind == descriptor.KindGang
}

// repeatable reports whether a task may run again when an earlier run may have happened.
func (job *job) repeatable() bool {
	return job.work.Job.Idempotent || job.service()
}

type bindWait struct {
	binding  registrar.Binding
	requests []Request
}

type acceptWait struct {
	requests []Request
}

func (controller *Controller) bind(now time.Time, event Bind) {
	if len(event.Targets) == 0 {
		controller.act(AnswerBind{
			Request: event.Request,
			Problem: descriptor.NewProblem(descriptor.CodeUnavailable, retryWhenDown, "no shard can take the job"),
		})
		return
	}
	digest := registrar.Digest(&event.Job)
	binding, bound := controller.durable.Keys.Find(event.Job.Caller, event.Job.Key)
	key := fmt.Sprintf("%q %q", event.Job.Caller, event.Job.Key)
	waiting := controller.binding[key]
	if !bound && waiting != nil {
		binding = waiting.binding
	}
	switch {
	case (bound || waiting != nil) && binding.Digest != digest:
		controller.act(AnswerBind{
			Request: event.Request,
			Problem: descriptor.NewProblem(descriptor.CodeKeyConflict, 0,
				"key %q belongs to a job with another description", event.Job.Key),
		})
	case bound:
		controller.act(answerBind(event.Request, binding, true))
	case waiting != nil:
		waiting.requests = append(waiting.requests, event.Request)
	default:
		controller.bindNew(now, event, key, digest)
	}
}

func answerBind(request Request, binding registrar.Binding, existed bool) AnswerBind {
	target, _ := registrar.Target(binding.Job)
	return AnswerBind{
		Request: request,
		ID:      binding.Job,
		Target:  target,
		Existed: existed,
	}
}

func (controller *Controller) bindNew(now time.Time, event Bind, key string, digest uint64) {
	problem := controller.unavailable()
	if problem != nil {
		controller.act(AnswerBind{
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
		requests: []Request{event.Request},
	}
	if event.Job.Key == "" {
		controller.act(answerBind(event.Request, wait.binding, false))
		return
	}
	controller.binding[key] = wait
	controller.append(true, pendingAppend{
		records: []*recordpb.Record{wait.binding.Record()},
		durable: []func(time.Time){func(time.Time) {
			delete(controller.binding, key)
			for i, request := range wait.requests {
				controller.act(answerBind(request, wait.binding, i > 0))
			}
		}},
		refused: func() {
			delete(controller.binding, key)
			for _, request := range wait.requests {
				controller.act(AnswerBind{
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

func (controller *Controller) accept(now time.Time, event Accept) {
	answer := func(problem *descriptor.Problem) {
		controller.act(AnswerAccept{
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
	job, problem := controller.newJob(now, event.ID, &event.Job)
	if problem != nil {
		answer(problem)
		return
	}
	controller.acceptNew(now, event, job)
}

// newJob refuses what can never run, as far as the workers are known.
func (controller *Controller) newJob(now time.Time, id descriptor.JobID, description *descriptor.Job) (*job, *descriptor.Problem) {
	treatment := controller.config.JobTreatment(description)
	work, err := allocator.NewWork(id, description, treatment, now)
	if err != nil {
		return nil, descriptor.NewProblem(descriptor.CodeInvalid, 0, "Where: %v", err)
	}
	if controller.complete() {
		if reason := controller.allocator.Impossible(now, work); reason != "" {
			return nil, descriptor.NewProblem(descriptor.CodeImpossible, 0, "the job can never run: %s", reason)
		}
	}
	return &job{
		id:    id,
		work:  work,
		tasks: make([]task, description.TaskCount()),
		held:  treatment.Hold,

		unchecked: !controller.complete(),
	}, nil
}

func (controller *Controller) acceptNew(now time.Time, event Accept, job *job) {
	wait := &acceptWait{
		requests: []Request{event.Request},
	}
	controller.accepting[event.ID] = wait
	answer := func(problem *descriptor.Problem) {
		delete(controller.accepting, event.ID)
		for _, request := range wait.requests {
			controller.act(AnswerAccept{
				Request: request,
				Problem: problem,
			})
		}
	}
	controller.append(true, pendingAppend{
		records: []*recordpb.Record{recorder.JobAccepted(event.ID, &event.Job, now)},
		durable: []func(time.Time){func(now time.Time) {
			answer(nil)
			controller.jobs[job.id] = job
			controller.note(now, job, "Accepted", "accepted by shard %s", controller.shard)
			controller.treat(job)
			controller.queueAll(job)
		}},
		refused: func() {
			answer(controller.refusal())
		},
	})
}

// treat looks up the policies for a job and moves it in the queue.
func (controller *Controller) treat(job *job) {
	treatment := controller.config.JobTreatment(job.description())
	// The selector was accepted together with the job.
	_ = job.work.Treat(treatment)
	job.held = treatment.Hold
	if job.ended {
		return
	}
	if job.held {
		controller.allocator.Unqueue(job.id)
		job.reason = "held by a policy"
		return
	}
	if waiting := job.inState(taskWaiting); len(waiting) > 0 && job.resume.IsZero() {
		controller.queue(job, waiting...)
	}
}

func (controller *Controller) queueAll(job *job) {
	controller.queue(job, job.inState(taskWaiting)...)
}

func (controller *Controller) queue(job *job, tasks ...int) {
	if job.held || job.cancelled || job.ended || len(tasks) == 0 {
		return
	}
	controller.allocator.Queue(job.work, tasks...)
	controller.crowd = true
}

func (controller *Controller) cancel(now time.Time, event Cancel) {
	job := controller.jobs[event.ID]
	durable := controller.durable.Jobs[event.ID]
	answer := func(time.Time) {
		status, problem := controller.Status(event.ID, false)
		controller.act(AnswerCancel{
			Request: event.Request,
			Status:  status,
			Problem: problem,
		})
	}
	switch {
	case job == nil || durable == nil, job.ended, !durable.Cancelled.IsZero():
		answer(now)
	case controller.unavailable() != nil:
		controller.act(AnswerCancel{
			Request: event.Request,
			Problem: controller.unavailable(),
		})
	default:
		controller.record(recorder.JobCancelled(job.id, now))
		if !job.cancelled {
			controller.note(now, job, "Cancelled", "cancelled by its caller")
			controller.cancelTasks(now, job)
		}
		// The answer comes after the records that the cancellation led to at once.
		controller.effects = append(controller.effects, answer)
	}
}

func (controller *Controller) cancelTasks(now time.Time, job *job) {
	// A gang that was being stopped to start again is only stopped now.
	job.cancelled, job.restarting = true, false
	controller.allocator.Unqueue(job.id)
	for i := range job.tasks {
		task := &job.tasks[i]
		switch {
		case task.state == taskWaiting:
			task.drop("cancelled before it started", "cancelled between two attempts")
		case task.run != nil:
			controller.stop(now, task.run, "cancelled")
		}
	}
	controller.settle(now, job)
}

// note adds a decision to the job's trail. The first ones and the latest ones are kept.
func (controller *Controller) note(now time.Time, job *job, code, format string, args ...any) {
	decision := descriptor.Decision{
		At:   now,
		Code: code,
		Text: fmt.Sprintf(format, args...),
	}
	if len(job.trail) == maxTrail {
		copy(job.trail[keptTrail:], job.trail[keptTrail+1:])
		job.trail = job.trail[:maxTrail-1]
	}
	job.trail = append(job.trail, decision)
	controller.act(Explain{
		Job:      job.id,
		Decision: decision,
	})
}

const (
	maxTrail  = 48
	keptTrail = 8
)
