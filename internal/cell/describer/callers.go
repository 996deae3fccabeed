package describer

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// ErrNoJob means that no such job is known.
var ErrNoJob = errors.New("no such job")

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

// Frontend is the caller-facing API of one instance.
type Frontend interface {
	// Ready reports whether the instance accepts new connections.
	Ready() bool
	// Config returns the current configuration, nil before the first one.
	Config() *Config
	// Submit stores a job. After a RejectedError the job never runs; after ErrUncertain it may run.
	Submit(ctx context.Context, job *Job) error
	// State returns the state of a job or ErrNoJob.
	State(ctx context.Context, id JobID) (JobState, error)
	// Cancel cancels a job. The error is ErrNoJob, a RejectedError or ErrUncertain.
	Cancel(ctx context.Context, id JobID) error
	// Pending returns the number of jobs of a queue that have not started.
	Pending(ctx context.Context, queue string) (int, error)
}
