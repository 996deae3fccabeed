// Package awaiter lets many callers wait for jobs to end while a single goroutine watches all these jobs.
package awaiter

import (
	"sync"

	"pomelomoor/internal/work/descriptor"
)

// Awaiter holds the jobs that callers wait for. The zero value is empty and ready to use.
type Awaiter[Answer any] struct {
	mutex    sync.Mutex
	waits    map[descriptor.JobID]*Wait[Answer]
	watching bool
}

// Wait is a job and the callers that wait for it.
type Wait[Answer any] struct {
	// Answered is closed when the answer is available.
	Answered chan struct{}
	answer   Answer
	callers  int
}

// Answer returns the answer. It must not be called before Answered is closed.
func (wait *Wait[Answer]) Answer() Answer {
	return wait.answer
}

// Join adds a caller that waits for a job, and starts watch in a goroutine if none is running. Watch must
// return as soon as AwaitedJobs returns no jobs.
func (awaiter *Awaiter[Answer]) Join(id descriptor.JobID, watch func()) *Wait[Answer] {
	awaiter.mutex.Lock()
	defer awaiter.mutex.Unlock()
	wait := awaiter.waits[id]
	if wait == nil {
		wait = &Wait[Answer]{
			Answered: make(chan struct{}),
		}
		if awaiter.waits == nil {
			awaiter.waits = map[descriptor.JobID]*Wait[Answer]{}
		}
		awaiter.waits[id] = wait
	}
	wait.callers++
	if !awaiter.watching {
		awaiter.watching = true
		go watch()
	}
	return wait
}

// Leave removes a caller that Join added. A job without callers is no longer watched.
func (awaiter *Awaiter[Answer]) Leave(id descriptor.JobID, wait *Wait[Answer]) {
	awaiter.mutex.Lock()
	defer awaiter.mutex.Unlock()
	wait.callers--
	if wait.callers == 0 && awaiter.waits[id] == wait {
		delete(awaiter.waits, id)
	}
}

// AwaitedJobs returns the jobs that callers wait for. If there are none, the calling goroutine counts as
// ended, and the next Join starts a new one.
func (awaiter *Awaiter[Answer]) AwaitedJobs() []descriptor.JobID {
	awaiter.mutex.Lock()
	defer awaiter.mutex.Unlock()
	ids := make([]descriptor.JobID, 0, len(awaiter.waits))
	for id := range awaiter.waits {
		ids = append(ids, id)
	}
	awaiter.watching = len(ids) > 0
	return ids
}

// Deliver passes the answer to all callers that wait for a job.
func (awaiter *Awaiter[Answer]) Deliver(id descriptor.JobID, answer Answer) {
	awaiter.mutex.Lock()
	defer awaiter.mutex.Unlock()
	wait := awaiter.waits[id]
	if wait == nil {
		return
	}
	delete(awaiter.waits, id)
	wait.answer = answer
	close(wait.Answered)
}
