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
	// observed is the outcome of an observation: a job that a status call or a worker's record shows.
	observed = "Seen"
)

// submission is a submission, or the observation of a job, under an idempotency key.
type submission struct {
	Key         string
	Description string
}

type submissionResponse struct {
	Outcome string
	Job     descriptor.JobID
	// Created reports whether the caller was told that its submission created the job.
	Created bool
}

// binding is the job that a key is bound to. Its ID is empty until a response or an observation contains it.
type binding struct {
	Bound       bool
	Description string
	Job         descriptor.JobID
}

// submissionModel binds each key once, to one job. A refused submission has no effect.
var submissionModel = verifier.NewModel(
	func(submission submission) string {
		return submission.Key
	},
	binding{},
	stepSubmission,
	verifier.Equal[binding],
)

func stepSubmission(state binding, input submission, output submissionResponse) (bool, binding) {
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
	case observed:
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

// Guards against a submission model that accepts illegal histories.
func TestSubmissionModel(t *testing.T) {
	a, b := submission{"key", "a"}, submission{"key", "b"}
	job := func(outcome string, id descriptor.JobID) submissionResponse {
		return submissionResponse{
			Outcome: outcome,
			Job:     id,
		}
	}
	created := submissionResponse{
		Outcome: accepted,
		Job:     "1",
		Created: true,
	}
	checkModel(t, submissionModel, []modelCase{
		{"responses agree", true, []porcupine.Operation{
			operation(0, 1, a, created),
			operation(2, 3, a, job(accepted, "1")),
			operation(4, 5, b, job(conflict, "")),
		}},
		{"a pending submission takes effect late", true, []porcupine.Operation{
			operation(0, verifier.Pending, a, job(uncertain, "")),
			operation(1, 2, a, job(refused, "")),
			operation(3, 3, a, job(observed, "1")),
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
		{"a refused submission is observed", false, []porcupine.Operation{
			operation(0, 1, a, job(refused, "")),
			operation(2, 2, a, job(observed, "1")),
		}},
		{"a refused submission binds the key", false, []porcupine.Operation{
			operation(0, 1, a, job(refused, "")),
			operation(2, 3, b, job(conflict, "")),
		}},
		{"a conflict with a binding that comes later", false, []porcupine.Operation{
			operation(0, 1, b, job(conflict, "")),
			operation(2, 3, a, job(accepted, "1")),
		}},
		{"two jobs are observed for a pending submission", false, []porcupine.Operation{
			operation(0, verifier.Pending, a, job(uncertain, "")),
			operation(1, 1, a, job(observed, "1")),
			operation(2, 2, a, job(observed, "2")),
		}},
	})
}
