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
	_, problem := controller.newJob(now, "", job)
	return problem
}
