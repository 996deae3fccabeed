// Package descriptor defines the types that describe work, such as jobs, tasks, labels, resources and fates,
// with their validation and JSON encoding.
package descriptor

import (
	"fmt"
	"regexp"
	"time"

	"github.com/go-faster/errors"
)

// Kind is the type of a job, which decides how the job is scheduled.
type Kind string

// The kinds of jobs.
const (
	// KindService runs until it is cancelled.
	KindService Kind = "Service"
	// KindBatch runs to completion, usually before a deadline.
	KindBatch Kind = "Batch"
	// KindGang is a batch job whose tasks must all run at the same time.
	KindGang Kind = "Gang"
)

// Urgency is the priority class of a job. The zero value means UrgencyNormal.
type Urgency string

// The urgency classes, from highest to lowest priority.
const (
	UrgencyHigh   Urgency = "High"
	UrgencyNormal Urgency = "Normal"
	UrgencyLow    Urgency = "Low"
)

// Rank returns the position of the class in descending order of urgency, starting at 0.
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

// Labels are key-value pairs that selectors match. Keys are in Pascal case.
type Labels map[string]string

// Limits on the fields of a job.
const (
	MaxTasks         = 4096
	MaxLabels        = 32
	MaxNameBytes     = 128
	MaxPayloadBytes  = 64 << 10
	MaxSelectorBytes = 1024
)

// JobID identifies an accepted job. It has the form SHARD.HASH, so that any instance can route a query to the
// job's shard.
type JobID string

// Job is the description of a job that a caller submits.
type Job struct {
	// Name is chosen by the caller and does not have to be unique.
	Name string
	// Caller identifies the submitter; idempotency keys are scoped to it.
	Caller string
	// Team is the team whose usage includes the job's resources.
	Team string
	// Key is the idempotency key. Submissions with the same Caller and Key refer to the same job.
	Key string
	// Kind is one of the Kind constants.
	Kind Kind
	// Urgency is one of the Urgency constants; empty means UrgencyNormal.
	Urgency Urgency
	// Labels are matched by selectors in the operators' configuration.
	Labels Labels
	// Where is a selector that the labels of a worker must match; empty matches every worker.
	Where string
	// Tasks is the number of identical tasks; 0 means 1.
	Tasks int
	// Task is the declared resource requirement of each task.
	Task Resources
	// RunTime is the declared run time of each task; 0 means that none is declared.
	RunTime Duration
	// Deadline is the time by which all tasks have to be done; zero means none.
	Deadline time.Time
	// Idempotent allows a task to run again after a run that may or may not have taken place.
	Idempotent bool
	// Checkpointable allows a task to be checkpointed and moved to another worker.
	Checkpointable bool
	// Payload is passed to the worker unchanged and uninterpreted.
	Payload string
}

// TaskCount returns the number of tasks, which is at least 1.
func (job *Job) TaskCount() int {
	return max(job.Tasks, 1)
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// FieldError is a validation error of one field of a document.
type FieldError struct {
	// Field is the path of the field within the document, such as Task.MilliCPU.
	Field string
	// Reason completes a sentence that starts with the field, such as "is negative".
	Reason string
}

func (fieldError *FieldError) Error() string {
	return fmt.Sprintf("%s: %s", fieldError.Field, fieldError.Reason)
}

// Validate returns a joined error with one FieldError for each invalid value, or nil if the job is valid.
func (job *Job) Validate() error {
	var fieldErrors []error
	addError := func(field, format string, args ...any) {
		fieldErrors = append(fieldErrors, &FieldError{
			Field:  field,
			Reason: fmt.Sprintf(format, args...),
		})
	}
	for _, name := range []struct{ field, value string }{
		{"Name", job.Name}, {"Caller", job.Caller}, {"Team", job.Team},
	} {
		if len(name.value) > MaxNameBytes || !namePattern.MatchString(name.value) {
			addError(name.field, "must be 1 to %d letters, digits, dots, underscores or hyphens", MaxNameBytes)
		}
	}
	if len(job.Key) > MaxNameBytes {
		addError("Key", "is longer than %d characters", MaxNameBytes)
	}
	switch job.Kind {
	case KindService, KindBatch, KindGang:
	default:
		addError("Kind", "%q is none of Service, Batch, Gang", job.Kind)
	}
	switch job.Urgency {
	case "", UrgencyHigh, UrgencyNormal, UrgencyLow:
	default:
		addError("Urgency", "%q is none of High, Normal, Low", job.Urgency)
	}
	if job.Tasks < 0 || job.Tasks > MaxTasks {
		addError("Tasks", "must be between 0 and %d", MaxTasks)
	}
	if job.Task.Negative() {
		addError("Task", "has a negative amount")
	}
	if job.Task == (Resources{}) {
		addError("Task", "asks for nothing")
	}
	if job.RunTime.Duration < 0 {
		addError("RunTime", "is negative")
	}
	if len(job.Labels) > MaxLabels {
		addError("Labels", "has more than %d entries", MaxLabels)
	}
	if len(job.Payload) > MaxPayloadBytes {
		addError("Payload", "is longer than %d bytes", MaxPayloadBytes)
	}
	if len(job.Where) > MaxSelectorBytes {
		addError("Where", "is longer than %d characters", MaxSelectorBytes)
	}
	return errors.Join(fieldErrors...)
}
