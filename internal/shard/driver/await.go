package driver

import (
	"context"
	"sync"
	"time"

	"pomelomoor/internal/shard/controller"
	"pomelomoor/internal/work/descriptor"
)

// awaitInterval is the time between two looks at the jobs that callers wait for. A look is one call to
// the event loop for all of them.
const awaitInterval = 100 * time.Millisecond

// awaits holds the jobs that callers wait for. Its goroutine runs as long as there are any.
type awaits struct {
	mutex   sync.Mutex
	jobs    map[descriptor.JobID]*await
	running bool
}

// await is one job and its waiting callers. The answer is set before ended is closed.
type await struct {
	callers int
	ended   chan struct{}
	answer  answer
}

// Await returns the status of a job when its fate is final, or the present one when ctx ends.
func (driver *Driver) Await(ctx context.Context, id descriptor.JobID) (descriptor.JobStatus, error) {
	status, err := driver.present(ctx, id)
	if err != nil || status.Fate.Final() || ctx.Err() != nil {
		return status, err
	}
	await := driver.awaits.join(id, driver.watchAwaits)
	defer driver.awaits.leave(id, await)
	select {
	case <-await.ended:
		if await.answer.problem != nil {
			return descriptor.JobStatus{}, await.answer.problem
		}
		return await.answer.status, nil
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

// join adds a caller and starts watch when it is the first one.
func (awaits *awaits) join(id descriptor.JobID, watch func()) *await {
	awaits.mutex.Lock()
	defer awaits.mutex.Unlock()
	joined := awaits.jobs[id]
	if joined == nil {
		joined = &await{
			ended: make(chan struct{}),
		}
		if awaits.jobs == nil {
			awaits.jobs = map[descriptor.JobID]*await{}
		}
		awaits.jobs[id] = joined
	}
	joined.callers++
	if !awaits.running {
		awaits.running = true
		go watch()
	}
	return joined
}

func (awaits *awaits) leave(id descriptor.JobID, left *await) {
	awaits.mutex.Lock()
	defer awaits.mutex.Unlock()
	left.callers--
	if left.callers == 0 && awaits.jobs[id] == left {
		delete(awaits.jobs, id)
	}
}

// open returns the jobs that callers wait for. With none, the goroutine counts as ended.
func (awaits *awaits) open() []descriptor.JobID {
	awaits.mutex.Lock()
	defer awaits.mutex.Unlock()
	ids := make([]descriptor.JobID, 0, len(awaits.jobs))
	for id := range awaits.jobs {
		ids = append(ids, id)
	}
	awaits.running = len(ids) > 0
	return ids
}

// end answers the callers of a job.
func (awaits *awaits) end(id descriptor.JobID, answer answer) {
	awaits.mutex.Lock()
	defer awaits.mutex.Unlock()
	await := awaits.jobs[id]
	if await == nil {
		return
	}
	delete(awaits.jobs, id)
	await.answer = answer
	close(await.ended)
}

// watchAwaits looks at the awaited jobs until there are none. When the ownership has ended, all
// callers are told, so that they ask the next owner.
func (driver *Driver) watchAwaits() {
	ticker := time.NewTicker(awaitInterval)
	defer ticker.Stop()
	for range ticker.C {
		ids := driver.awaits.open()
		if len(ids) == 0 {
			return
		}
		for id, answer := range driver.look(ids) {
			driver.awaits.end(id, answer)
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
