package descriptor

import (
	"fmt"
	"time"
)

// Code is an error code of the public API. Codes do not change between versions.
type Code string

// The error codes of the public API.
const (
	// CodeInvalid means that the document is malformed or a field has an invalid value.
	CodeInvalid Code = "Invalid"
	// CodeImpossible means that the work can never run in this cell.
	CodeImpossible Code = "Impossible"
	// CodeNotFound means that no such job, service or configuration exists.
	CodeNotFound Code = "NotFound"
	// CodeKeyConflict means that the idempotency key was used for a job with another description.
	CodeKeyConflict Code = "KeyConflict"
	// CodeConflict means that the configuration has changed since the revision that the update is based on.
	CodeConflict Code = "Conflict"
	// CodeTooLarge means that a body or header exceeds its limit.
	CodeTooLarge Code = "TooLarge"
	// CodeWrongType means that the content type is not application/json.
	CodeWrongType Code = "WrongType"
	// CodeOverloaded means that the work was rejected by load shedding. It was not run.
	CodeOverloaded Code = "Overloaded"
	// CodeUnavailable means that the work was not accepted; it can be sent again with the same key.
	CodeUnavailable Code = "Unavailable"
	// CodeNoOwner means that the work's shard has no owner at the moment. Instances return it to each other
	// and wait for the next owner; callers get CodeUnavailable.
	CodeNoOwner Code = "NoOwner"
	// CodeUncertain means that the work may have been accepted or run; asking again with the same key gives the outcome.
	CodeUncertain Code = "Uncertain"
	// CodeDeadline means that the deadline passed before the work ran.
	CodeDeadline Code = "DeadlineExceeded"
	// CodeUpstream means that the upstream returned an error.
	CodeUpstream Code = "UpstreamFailed"
	// CodeDraining means that this instance is shutting down; another instance accepts the work.
	CodeDraining Code = "Draining"
	// CodeInternal means that an internal error occurred.
	CodeInternal Code = "Internal"
)

// Problem is an error response of the public API.
type Problem struct {
	Code    Code
	Message string
	// RetryAfter is the delay before a retry; 0 means that a retry does not help or needs no delay.
	RetryAfter Duration `json:",omitzero"`
	// Details lists individual errors, such as one for each invalid field.
	Details []string `json:",omitempty"`
}

func (problem *Problem) Error() string {
	return fmt.Sprintf("%s: %s", problem.Code, problem.Message)
}

// NewProblem returns a Problem with a formatted message.
func NewProblem(code Code, retryAfter time.Duration, format string, args ...any) *Problem {
	return &Problem{
		Code:    code,
		Message: fmt.Sprintf(format, args...),
		RetryAfter: Duration{
			Duration: retryAfter,
		},
	}
}
