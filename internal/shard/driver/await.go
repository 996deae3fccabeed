package driver

import (
	"context"
	"time"

	"pomelomoor/internal/shard/controller"
	"pomelomoor/internal/work/descriptor"
)

// awaitPollInterval is the time between two polls of the jobs that callers wait for. A poll is one
// request to the event loop for all of these jobs.
const awaitPollInterval = 100 * time.Millisecond

// Await waits until the fate of a job is final and returns its status. If ctx ends first, it returns the
// current status.
func (driver *Driver) Await(ctx context.Context, id descriptor.JobID) (descriptor.JobStatus, error) {
	status, err := driver.currentStatus(ctx, id)
	if err != nil || status.Fate.Final() || ctx.Err() != nil {
		return status, err
	}
	wait := driver.awaits.Join(id, driver.pollAwaits)
	defer driver.awaits.Leave(id, wait)
	select {
	case <-wait.Answered:
		answer := wait.Answer()
		if answer.problem != nil {
			return descriptor.JobStatus{}, answer.problem
		}
		return answer.status, nil
	case <-ctx.Done():
		return driver.currentStatus(ctx, id)
	}
}

// currentStatus returns the status of a job even if ctx has ended.
func (driver *Driver) currentStatus(ctx context.Context, id descriptor.JobID) (descriptor.JobStatus, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	return driver.Status(ctx, id, false)
}

// pollAwaits polls the awaited jobs until there are none. When the shard is no longer owned here, all
// callers get that answer, so that they can ask the next owner.
func (driver *Driver) pollAwaits() {
	ticker := time.NewTicker(awaitPollInterval)
	defer ticker.Stop()
	for range ticker.C {
		ids := driver.awaits.AwaitedJobs()
		if len(ids) == 0 {
			return
		}
		for id, answer := range driver.pollJobs(ids) {
			driver.awaits.Deliver(id, answer)
		}
	}
}

// pollJobs returns the answers for the jobs whose wait is over. These are all of them if the request
// to the event loop fails.
func (driver *Driver) pollJobs(ids []descriptor.JobID) map[descriptor.JobID]answer {
	answers := map[descriptor.JobID]answer{}
	result := driver.sendRequest(context.Background(), request{
		query: func(controller *controller.Controller) answer {
			for _, id := range ids {
				status, problem := controller.Status(id, false)
				if problem != nil && problem.Code == descriptor.CodeUnavailable {
					// The store is unreachable. A later poll succeeds, or the ownership ends.
					continue
				}
				if problem != nil || status.Fate.Final() {
					answers[id] = answer{
						status:  status,
						problem: problem,
					}
				}
			}
			return answer{}
		},
	})
	if result.problem != nil {
		for _, id := range ids {
			answers[id] = result
		}
	}
	return answers
}
