package driver

import (
	"context"

	"pomelomoor/internal/shard/controller"
	"pomelomoor/internal/work/descriptor"
)

// Probe returns why the shard would refuse the job. Nothing is recorded.
func (driver *Driver) Probe(ctx context.Context, job descriptor.Job) error {
	ctx, span := driver.start(ctx, "shard.probe")
	defer span.End()
	answer := driver.ask(ctx, call{
		query: func(machine *controller.Controller) answer {
			return answer{
				problem: machine.Probe(driver.options.Now(), &job),
			}
		},
	})
	if answer.problem != nil {
		return failed(span, answer.problem)
	}
	return nil
}

// Bound returns the job that the job's key is bound to, or an empty ID.
func (driver *Driver) Bound(ctx context.Context, job descriptor.Job) (descriptor.JobID, error) {
	ctx, span := driver.start(ctx, "shard.bound")
	defer span.End()
	answer := driver.ask(ctx, call{
		query: func(machine *controller.Controller) answer {
			bound, problem := machine.Bound(&job)
			return answer{
				status: descriptor.JobStatus{
					ID: bound,
				},
				problem: problem,
			}
		},
	})
	if answer.problem != nil {
		return "", failed(span, answer.problem)
	}
	return answer.status.ID, nil
}
