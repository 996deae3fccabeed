package describer

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// ErrNoJob means that no such job is known.
var ErrNoJob = errors.New("no such job")

// RejectedError means that a call had no effect and will never have one.
type RejectedError struct {
	Reason string
	// RetryAfter is when a new attempt may succeed.
	RetryAfter time.Duration
	// Overload means that the system has too much work; otherwise a part of it is not available.
	Overload bool
}

func (rejectedError *RejectedError) Error() string {
	return fmt.Sprintf("rejected: %s", rejectedError.Reason)
}

// Desk serves the calls of callers at one instance.
type Desk interface {
	// Ready tells whether the instance takes new connections.
	Ready() bool
	// Config returns the configuration in force, nil before the first one.
	Config() *Config
	// Submit stores a job. A RejectedError says that it never runs, ErrUncertain that it may.
	Submit(ctx context.Context, job *Job) error
	// State returns the state of a job or ErrNoJob.
	State(ctx context.Context, id JobID) (JobState, error)
	// Cancel cancels a job. The error is ErrNoJob, a RejectedError or ErrUncertain.
	Cancel(ctx context.Context, id JobID) error
	// Pending returns the number of jobs of a queue that have not begun.
	Pending(ctx context.Context, queue string) (int, error)
}
