package integration_test

import (
	"testing"

	"github.com/anishathalye/porcupine"

	"pomelomoor/internal/trial/verifier"
	"pomelomoor/internal/work/descriptor"
)

// Outcomes of recorded operations.
const (
	accepted  = "Accepted"
	refused   = "Refused"
	uncertain = "Uncertain"
	conflict  = "Conflict"
	// seen is an effect that was seen: a job that a status call or a worker's history shows.
	seen = "Seen"
)

// submission is a submission, or the sight of a job, under an idempotency key.
type submission struct {
	Key         string
	Description string
}

type submitted struct {
	Outcome string
	Job     descriptor.JobID
	// Created tells that the caller was told that its submission made the job.
	Created bool
}

// binding is what a key is bound to. The job ID is empty until an answer or a sight shows it.
type binding struct {
	Bound       bool
	Description string
	Job         descriptor.JobID
}

// submissionModel binds a key once to one job. A refused submission has no effect.
var submissionModel = verifier.Build(
	func(submission submission) string {
		return submission.Key
	},
	binding{},
	stepSubmission,
	verifier.Same[binding],
)

func stepSubmission(state binding, input submission, output submitted) (bool, binding) {
	matches := state.Bound && state.Description == input.Description &&
		(state.Job == "" || output.Job == "" || state.Job == output.Job)
	next := binding{
		Bound:       true,
		Description: input.Description,
		Job:         output.Job,
	}
	switch output.Outcome {
	case accepted:
		if !state.Bound {
			return true, next
		}
		return matches && !output.Created, next
	case seen:
		return matches, next
	case conflict:
		return state.Bound && state.Description != input.Description, state
	case refused:
		return true, state
	default:
		if state.Bound {
			return true, state
		}
		return true, next
	}
}

// Guards the model of submissions against accepting what it is there to find.
func TestSubmissionModel(t *testing.T) {
	a, b := submission{"key", "a"}, submission{"key", "b"}
	job := func(outcome string, id descriptor.JobID) submitted {
		return submitted{
			Outcome: outcome,
			Job:     id,
		}
	}
	created := submitted{
		Outcome: accepted,
		Job:     "1",
		Created: true,
	}
	checkHandmade(t, submissionModel, []handmade{
		{"answers agree", true, []porcupine.Operation{
			operation(0, 1, a, created),
			operation(2, 3, a, job(accepted, "1")),
			operation(4, 5, b, job(conflict, "")),
		}},
		{"an open submission takes effect late", true, []porcupine.Operation{
			operation(0, verifier.Pending, a, job(uncertain, "")),
			operation(1, 2, a, job(refused, "")),
			operation(3, 3, a, job(seen, "1")),
		}},
		{"two jobs under a key", false, []porcupine.Operation{
			operation(0, 1, a, job(accepted, "1")),
			operation(2, 3, a, job(accepted, "2")),
		}},
		{"two descriptions under a key", false, []porcupine.Operation{
			operation(0, 5, a, job(accepted, "1")),
			operation(0, 5, b, job(accepted, "1")),
		}},
		{"created twice", false, []porcupine.Operation{
			operation(0, 5, a, created),
			operation(0, 5, a, created),
		}},
		{"a refused submission is seen", false, []porcupine.Operation{
			operation(0, 1, a, job(refused, "")),
			operation(2, 2, a, job(seen, "1")),
		}},
		{"a refused submission holds the key", false, []porcupine.Operation{
			operation(0, 1, a, job(refused, "")),
			operation(2, 3, b, job(conflict, "")),
		}},
		{"a conflict with a binding that comes later", false, []porcupine.Operation{
			operation(0, 1, b, job(conflict, "")),
			operation(2, 3, a, job(accepted, "1")),
		}},
		{"another job is seen than an open submission got", false, []porcupine.Operation{
			operation(0, verifier.Pending, a, job(uncertain, "")),
			operation(1, 1, a, job(seen, "1")),
			operation(2, 2, a, job(seen, "2")),
		}},
	})
}
