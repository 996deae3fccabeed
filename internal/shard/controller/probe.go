package controller

import (
	"time"

	"pomelomoor/internal/work/descriptor"
)

// Probe returns why the shard would refuse the job, or nil. Nothing is recorded.
func (controller *Controller) Probe(now time.Time, job *descriptor.Job) *descriptor.Problem {
	if problem := controller.unavailable(); problem != nil {
		return problem
	}
	_, impossible, err := controller.dispatcher.NewJob(now, "", job)
	return refusalOf(impossible, err)
}

// refusalOf returns the problem of a job that can never run here, or nil.
func refusalOf(impossible string, err error) *descriptor.Problem {
	switch {
	case err != nil:
		return descriptor.NewProblem(descriptor.CodeInvalid, 0, "Where: %v", err)
	case impossible != "":
		return descriptor.NewProblem(descriptor.CodeImpossible, 0, "the job can never run: %s", impossible)
	default:
		return nil
	}
}

// Bound returns the job that the job's key is durably bound to, or an empty ID.
func (controller *Controller) Bound(job *descriptor.Job) (descriptor.JobID, *descriptor.Problem) {
	if problem := controller.unavailable(); problem != nil {
		return "", problem
	}
	binding, _ := controller.durable.Keys.Find(job.Caller, job.Key)
	return binding.Job, nil
}
