// Package awaiter lets many callers wait for the ends of jobs that one goroutine looks at together.
package awaiter

import (
	"sync"

	"pomelomoor/internal/work/descriptor"
)

// Awaiter holds the jobs that callers wait for. The zero value has none.
type Awaiter[Answer any] struct {
	mutex   sync.Mutex
	waits   map[descriptor.JobID]*Wait[Answer]
	running bool
}

// Wait is one job and its waiting callers.
type Wait[Answer any] struct {
	// Ended is closed when the answer is there.
	Ended   chan struct{}
	answer  Answer
	callers int
}

// Answer returns the answer. Call it only after Ended was closed.
func (wait *Wait[Answer]) Answer() Answer {
	return wait.answer
}

// Join adds a caller, and starts watch in a goroutine when no goroutine is looking. Watch has to end
// when Open returns nothing.
func (awaiter *Awaiter[Answer]) Join(id descriptor.JobID, watch func()) *Wait[Answer] {
	awaiter.mutex.Lock()
	defer awaiter.mutex.Unlock()
	joined := awaiter.waits[id]
	if joined == nil {
		joined = &Wait[Answer]{
			Ended: make(chan struct{}),
		}
		if awaiter.waits == nil {
			awaiter.waits = map[descriptor.JobID]*Wait[Answer]{}
		}
		awaiter.waits[id] = joined
	}
	joined.callers++
	if !awaiter.running {
		awaiter.running = true
		go watch()
	}
	return joined
}

// Leave removes a caller.
func (awaiter *Awaiter[Answer]) Leave(id descriptor.JobID, left *Wait[Answer]) {
	awaiter.mutex.Lock()
	defer awaiter.mutex.Unlock()
	left.callers--
	if left.callers == 0 && awaiter.waits[id] == left {
		delete(awaiter.waits, id)
	}
}

// Open returns the jobs that callers wait for. With none, the goroutine counts as ended.
func (awaiter *Awaiter[Answer]) Open() []descriptor.JobID {
	awaiter.mutex.Lock()
	defer awaiter.mutex.Unlock()
	ids := make([]descriptor.JobID, 0, len(awaiter.waits))
	for id := range awaiter.waits {
		ids = append(ids, id)
	}
	awaiter.running = len(ids) > 0
	return ids
}

// End answers the callers of a job.
func (awaiter *Awaiter[Answer]) End(id descriptor.JobID, answer Answer) {
	awaiter.mutex.Lock()
	defer awaiter.mutex.Unlock()
	wait := awaiter.waits[id]
	if wait == nil {
		return
	}
	delete(awaiter.waits, id)
	wait.answer = answer
	close(wait.Ended)
}
