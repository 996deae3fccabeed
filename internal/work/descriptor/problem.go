package descriptor

import (
	"fmt"
	"time"
)

// Code is a stable error code of the public API.
type Code string

// The codes of the public API.
const (
	// CodeInvalid means that the document is malformed or a field has a bad value.
	CodeInvalid Code = "Invalid"
	// CodeImpossible means that the work can never run in this cell.
	CodeImpossible Code = "Impossible"
	// CodeNotFound means that no such job, service or configuration exists.
	CodeNotFound Code = "NotFound"
	// CodeKeyConflict means that the idempotency key belongs to another job description.
	CodeKeyConflict Code = "KeyConflict"
	// CodeConflict means that the configuration changed since the revision it was based on.
	CodeConflict Code = "Conflict"
	// CodeTooLarge means that a body or header exceeds its limit.
	CodeTooLarge Code = "TooLarge"
	// CodeWrongType means that the content type is not application/json.
	CodeWrongType Code = "WrongType"
	// CodeOverloaded means that the work was refused to protect other work. It was not run.
	CodeOverloaded Code = "Overloaded"
	// CodeUnavailable means that the work was not accepted; it may be sent again with the same key.
	CodeUnavailable Code = "Unavailable"
	// CodeNoOwner means that the work's shard has no owner at the moment. Instances tell it to each other
	// and wait for the next owner; callers are told CodeUnavailable.
	CodeNoOwner Code = "NoOwner"
	// CodeUncertain means that the work may have been accepted or run; ask again with the same key.
	CodeUncertain Code = "Uncertain"
	// CodeDeadline means that the deadline passed before the work was run.
	CodeDeadline Code = "DeadlineExceeded"
	// CodeUpstream means that the upstream answered with an error.
	CodeUpstream Code = "UpstreamFailed"
	// CodeDraining means that this instance is stopping; another one takes the work.
	CodeDraining Code = "Draining"
	// CodeInternal means a fault of the system.
	CodeInternal Code = "Internal"
)

// Problem is an error of the public API, in its document form.
type Problem struct {
	Code    Code
	Message string
	// RetryAfter tells when to try again; 0 means that trying again does not help or needs no wait.
	RetryAfter Duration `json:",omitzero"`
	// Details lists single faults, such as one for each wrong field.
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
