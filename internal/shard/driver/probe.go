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
