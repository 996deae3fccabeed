package driver

import (
	"context"

	"pomelomoor/internal/shard/controller"
	"pomelomoor/internal/work/descriptor"
)

// Probe returns an error if the shard would refuse the job. It records nothing.
func (driver *Driver) Probe(ctx context.Context, job descriptor.Job) error {
	_, err := driver.runQuery(ctx, "shard.probe", func(controller *controller.Controller) (descriptor.JobStatus, *descriptor.Problem) {
		return descriptor.JobStatus{}, controller.Probe(driver.options.Now(), &job)
	})
	return err
}

// BoundJob returns the ID of the job to which the key of the given job is bound, or an empty ID.
func (driver *Driver) BoundJob(ctx context.Context, job descriptor.Job) (descriptor.JobID, error) {
	status, err := driver.runQuery(ctx, "shard.bound", func(controller *controller.Controller) (descriptor.JobStatus, *descriptor.Problem) {
		bound, problem := controller.BoundJob(&job)
		return descriptor.JobStatus{
			ID: bound,
		}, problem
	})
	return status.ID, err
}
