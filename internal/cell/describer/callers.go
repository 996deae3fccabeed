package describer

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// ErrNoJob means that no such job is known.
var ErrNoJob = errors.New("no such job")

// ErrNoQueue means that the configuration has no queue for a call.
var ErrNoQueue = errors.New("no such queue")

// RejectedError means that a call had no effect and will have none later.
type RejectedError struct {
	Reason string
	// RetryAfter is the time after which a new attempt may succeed.
	RetryAfter time.Duration
	// Overload means that the system has too much work. Otherwise a part of it is unavailable.
	Overload bool
}

func (rejectedError *RejectedError) Error() string {
	return fmt.Sprintf("rejected: %s", rejectedError.Reason)
}

// Route is where a call goes.
type Route struct {
	Queue *Queue
	// Organisation is the name of the organisation that makes the call; empty if the call needs no key.
	Organisation string
	// Public means that the call needs no key although calls to other queues do.
	Public bool
	// Rest is the path after the prefix of the queue.
	Rest string
	// MaxBodyBytes is the largest accepted request body; 0 means no limit.
	MaxBodyBytes int64
	// Condition, if set, has to hold when a job of the call or its cancellation is stored, since the configuration that
	// chose the queue was not confirmed.
	Condition *Expectation
}

// MaySee reports whether the caller may see and cancel a job of owner. Jobs without an owner were accepted without a key,
// and where no call needs a key all jobs are open, also those of a time in which calls did.
func (route *Route) MaySee(owner string) bool {
	return owner == "" || owner == route.Organisation || route.MaySeeAll()
}

// MaySeeAll reports whether the caller may see and cancel every job.
func (route *Route) MaySeeAll() bool {
	return route.Organisation == "" && !route.Public
}

// Frontend is the caller-facing API of one instance.
type Frontend interface {
	// Ready reports whether the instance accepts new connections.
	Ready() bool
	// Route returns the route of a call. The error is ErrNoQueue, ErrUnknownKey or a RejectedError.
	Route(ctx context.Context, call Call) (Route, error)
	// Submit stores a job in the queue of a route. After a RejectedError or ErrOtherJob the job never runs; after
	// ErrUncertain it may run.
	Submit(ctx context.Context, route Route, job *Job) error
	// State returns the state of a job or ErrNoJob, also for a job that the route's caller may not see.
	State(ctx context.Context, route Route, id JobID) (JobState, error)
	// Cancel cancels a job. The error is ErrNoJob, also for a job that the route's caller may not see, a
	// RejectedError or ErrUncertain.
	Cancel(ctx context.Context, route Route, id JobID) error
	// Pending returns the number of jobs of a queue that have not started.
	Pending(ctx context.Context, queue string) (int, error)
}
