package driver

import (
	"context"
	"time"

	"pomelomoor/internal/shard/controller"
	"pomelomoor/internal/work/descriptor"
)

// awaitInterval is the time between two looks at the jobs that callers wait for. A look is one call to
// the event loop for all of them.
const awaitInterval = 100 * time.Millisecond

// Await returns the status of a job when its fate is final, or the present one when ctx ends.
func (driver *Driver) Await(ctx context.Context, id descriptor.JobID) (descriptor.JobStatus, error) {
	status, err := driver.present(ctx, id)
	if err != nil || status.Fate.Final() || ctx.Err() != nil {
		return status, err
	}
	wait := driver.awaits.Join(id, driver.watchAwaits)
	defer driver.awaits.Leave(id, wait)
	select {
	case <-wait.Ended:
		answer := wait.Answer()
		if answer.problem != nil {
			return descriptor.JobStatus{}, answer.problem
		}
		return answer.status, nil
	case <-ctx.Done():
		return driver.present(ctx, id)
	}
}

// present returns the status of a job also when ctx has ended.
func (driver *Driver) present(ctx context.Context, id descriptor.JobID) (descriptor.JobStatus, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	return driver.Status(ctx, id, false)
}

// watchAwaits looks at the awaited jobs until there are none. When the ownership has ended, all
// callers are told, so that they ask the next owner.
func (driver *Driver) watchAwaits() {
	ticker := time.NewTicker(awaitInterval)
	defer ticker.Stop()
	for range ticker.C {
		ids := driver.awaits.Open()
		if len(ids) == 0 {
			return
		}
		for id, answer := range driver.look(ids) {
			driver.awaits.End(id, answer)
		}
	}
}

// look returns the answers for those of the jobs whose callers have waited long enough.
func (driver *Driver) look(ids []descriptor.JobID) map[descriptor.JobID]answer {
	ended := map[descriptor.JobID]answer{}
	looked := driver.ask(context.Background(), call{
		query: func(machine *controller.Controller) answer {
			for _, id := range ids {
				status, problem := machine.Status(id, false)
				if problem != nil && problem.Code == descriptor.CodeUnavailable {
					// The store is out of reach. The next look may tell, or the ownership ends.
					continue
				}
				if problem != nil || status.Fate.Final() {
					ended[id] = answer{
						status:  status,
						problem: problem,
					}
				}
			}
			return answer{}
		},
	})
	if looked.problem != nil {
		for _, id := range ids {
			ended[id] = looked
		}
	}
	return ended
}
