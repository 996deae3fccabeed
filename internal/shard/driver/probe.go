package driver

import (
	"context"

	"pomelomoor/internal/shard/controller"
	"pomelomoor/internal/work/descriptor"
)

// Probe returns why the shard would refuse the job. Nothing is recorded.
func (driver *Driver) Probe(ctx context.Context, job descriptor.Job) error {
	_, err := driver.query(ctx, "shard.probe", func(machine *controller.Controller) (descriptor.JobStatus, *descriptor.Problem) {
		return descriptor.JobStatus{}, machine.Probe(driver.options.Now(), &job)
	})
	return err
}

// Bound returns the job that the job's key is bound to, or an empty ID.
func (driver *Driver) Bound(ctx context.Context, job descriptor.Job) (descriptor.JobID, error) {
	status, err := driver.query(ctx, "shard.bound", func(machine *controller.Controller) (descriptor.JobStatus, *descriptor.Problem) {
		bound, problem := machine.Bound(&job)
		return descriptor.JobStatus{
			ID: bound,
		}, problem
	})
	return status.ID, err
}
