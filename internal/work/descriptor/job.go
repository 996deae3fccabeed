// Package descriptor holds the types that describe work: jobs, tasks, labels,
// resources and fates, with their validation and JSON forms.
package descriptor

import (
	"fmt"
	"regexp"
	"time"

	"github.com/go-faster/errors"
)

// Kind tells which policy family a job belongs to.
type Kind string

// The kinds of work.
const (
	// KindService runs until it is cancelled.
	KindService Kind = "Service"
	// KindBatch runs to completion, usually before a deadline.
	KindBatch Kind = "Batch"
	// KindGang is a batch whose tasks must all run at the same time.
	KindGang Kind = "Gang"
)

// Urgency orders work between classes. The zero value counts as UrgencyNormal.
type Urgency string

// The urgency classes, most urgent first.
const (
	UrgencyHigh   Urgency = "High"
	UrgencyNormal Urgency = "Normal"
	UrgencyLow    Urgency = "Low"
)

// Rank returns 0 for the most urgent class and grows with falling urgency.
func (urgency Urgency) Rank() int {
	switch urgency {
	case UrgencyHigh:
		return 0
	case UrgencyLow:
		return 2
	default:
		return 1
	}
}

// Labels are key and value pairs that selectors match. Keys are Pascal case.
type Labels map[string]string

// Limits of a job description.
const (
	MaxTasks      = 4096
	MaxLabels     = 32
	MaxNameLength = 128
	MaxPayload    = 64 << 10
	MaxSelector   = 1024
)

// JobID names an accepted job. Its form is SHARD.HASH, so that every instance can route a query.
type JobID string

// Job is a caller's description of one job.
type Job struct {
	// Name is chosen by the caller and need not be unique.
	Name string
	// Caller identifies the submitter; idempotency keys are scoped to it.
	Caller string
	// Team is charged for the job's resources.
	Team string
	// Key is the idempotency key. Submissions with equal Caller and Key are the same job.
	Key string
	// Kind is one of the constants above.
	Kind Kind
	// Urgency is one of the constants above; empty means normal.
	Urgency Urgency
	// Labels are matched by the operators' selectors.
	Labels Labels
	// Where is a selector over worker labels; empty matches every worker.
	Where string
	// Tasks is the number of equal tasks; 0 means 1.
	Tasks int
	// Task is the declared need of one task.
	Task Resources
	// RunTime is the declared run time of one task; 0 means not declared.
	RunTime Duration
	// Deadline is when the last task has to be done; zero means none.
	Deadline time.Time
	// Idempotent allows a task to be run again when an earlier run may have happened.
	Idempotent bool
	// Checkpointable allows a task to be checkpointed and moved.
	Checkpointable bool
	// Payload is handed to the worker unread.
	Payload string
}

// TaskCount returns the number of tasks, at least 1.
func (job *Job) TaskCount() int {
	return max(job.Tasks, 1)
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// FieldError tells which field of a document is wrong and why.
type FieldError struct {
	// Field is the path within the document, such as Task.MilliCPU.
	Field string
	// Reason is a phrase that follows the field's name.
	Reason string
}

func (fieldError *FieldError) Error() string {
	return fmt.Sprintf("%s: %s", fieldError.Field, fieldError.Reason)
}

// Validate returns all faults of the job as FieldErrors joined, or nil.
func (job *Job) Validate() error {
	var faults []error
	fault := func(field, format string, args ...any) {
		faults = append(faults, &FieldError{
			Field:  field,
			Reason: fmt.Sprintf(format, args...),
		})
	}
	for _, name := range []struct{ field, value string }{
		{"Name", job.Name}, {"Caller", job.Caller}, {"Team", job.Team},
	} {
		if len(name.value) > MaxNameLength || !namePattern.MatchString(name.value) {
			fault(name.field, "must be 1 to %d letters, digits, dots, underscores or hyphens", MaxNameLength)
		}
	}
	if len(job.Key) > MaxNameLength {
		fault("Key", "is longer than %d characters", MaxNameLength)
	}
	switch job.Kind {
	case KindService, KindBatch, KindGang:
	default:
		fault("Kind", "%q is none of Service, Batch, Gang", job.Kind)
	}
	switch job.Urgency {
	case "", UrgencyHigh, UrgencyNormal, UrgencyLow:
	default:
		fault("Urgency", "%q is none of High, Normal, Low", job.Urgency)
	}
	if job.Tasks < 0 || job.Tasks > MaxTasks {
		fault("Tasks", "must be between 0 and %d", MaxTasks)
	}
	if job.Task.Negative() {
		fault("Task", "has a negative amount")
	}
	if job.Task == (Resources{}) {
		fault("Task", "asks for nothing")
	}
	if job.RunTime.Duration < 0 {
		fault("RunTime", "is negative")
	}
	if len(job.Labels) > MaxLabels {
		fault("Labels", "has more than %d entries", MaxLabels)
	}
	if len(job.Payload) > MaxPayload {
		fault("Payload", "is longer than %d bytes", MaxPayload)
	}
	if len(job.Where) > MaxSelector {
		fault("Where", "is longer than %d characters", MaxSelector)
	}
	return errors.Join(faults...)
}
