package controller

import (
	"time"

	"pomelomoor/internal/work/descriptor"
)

// Probe returns the problem with which the shard would refuse the job, or nil. It records nothing.
func (controller *Controller) Probe(now time.Time, job *descriptor.Job) *descriptor.Problem {
	if problem := controller.checkAvailable(); problem != nil {
		return problem
	}
	_, impossible, err := controller.dispatcher.NewJob(now, "", job)
	return admissionProblem(impossible, err)
}

// admissionProblem returns the problem of a job that has an invalid selector or can never run on the
// shard's workers, or nil.
func admissionProblem(impossible string, err error) *descriptor.Problem {
	switch {
	case err != nil:
		return descriptor.NewProblem(descriptor.CodeInvalid, 0, "Where: %v", err)
	case impossible != "":
		return descriptor.NewProblem(descriptor.CodeImpossible, 0, "the job can never run: %s", impossible)
	default:
		return nil
	}
}

// BoundJob returns the ID of the job that the given job's key is durably bound to, or an empty ID.
func (controller *Controller) BoundJob(job *descriptor.Job) (descriptor.JobID, *descriptor.Problem) {
	if problem := controller.checkAvailable(); problem != nil {
		return "", problem
	}
	binding, _ := controller.durable.Keys.Find(job.Caller, job.Key)
	return binding.Job, nil
}
