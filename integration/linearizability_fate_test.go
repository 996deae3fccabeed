package integration_test

import (
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"

	"pomelomoor/internal/trial/verifier"
	"pomelomoor/internal/work/descriptor"
)

// Operations of the fate model.
const (
	statusCall = "Status"
	cancelCall = "Cancel"
	// startEvent is the start of a run in a worker's records.
	startEvent = "Start"
)

// jobCall is a call about an accepted job, or the start of one of its tasks.
type jobCall struct {
	Job  descriptor.JobID
	Call string
}

// jobResponse is the response to a jobCall. The outcome is accepted, refused, uncertain or, for an unknown job,
// conflict.
type jobResponse struct {
	Outcome string
	Fate    descriptor.FateRecord
	// Term identifies the latest takeover of the shard in the job's trail.
	Term string
	// Lost reports whether the owner of this term lost a run of the job.
	Lost bool
}

// jobState is what the model knows about a job.
type jobState struct {
	Fate      descriptor.FateRecord
	Cancelled bool
	Started   bool
}

func jobKey(call jobCall) string {
	return string(call.Job)
}

// fateModel requires that a job reaches one final fate, which agrees with the runs that workers started. A job that is
// Unknown can only change to a final fate.
var fateModel = verifier.NewModel(jobKey, jobState{}, stepFate, verifier.Equal[jobState])

// reportedState is the latest state of a job that a caller was told.
type reportedState struct {
	Fate string
	Term string
}

// progressModel rejects a job that is Pending after it was Running, with one exception: starts are not in the journal,
// so a new owner may have to wait until the worker reports the run, or lose the run before the worker reports it.
var progressModel = verifier.NewModel(jobKey, reportedState{}, func(state reportedState, _ jobCall, output jobResponse) (bool, reportedState) {
	regressed := state.Fate == "Running" && output.Fate.Fate == "Pending"
	allowed := state.Term != output.Term && (output.Lost || strings.HasPrefix(output.Fate.Reason, "waiting for worker"))
	return !regressed || allowed, reportedState{
		Fate: output.Fate.Fate,
		Term: output.Term,
	}
}, verifier.Equal[reportedState])

func stepFate(state jobState, input jobCall, output jobResponse) (bool, jobState) {
	if input.Call == startEvent {
		legal := !isFinal(state.Fate)
		state.Started = true
		return legal, state
	}
	switch output.Outcome {
	case refused:
		return true, state
	case conflict:
		return false, state
	case uncertain:
		state.Cancelled = true
		return true, state
	}
	if input.Call == cancelCall {
		state.Cancelled = true
	}
	if !isAllowedTransition(state, output.Fate) {
		return false, state
	}
	state.Fate = output.Fate
	if !isFinal(output.Fate) {
		// The reason may change until the fate is final.
		state.Fate = descriptor.FateRecord{
			Fate: output.Fate.Fate,
		}
	}
	return true, state
}

func isFinal(fate descriptor.FateRecord) bool {
	return fate.Fate == "Done" || fate.Fate == "NotRun" || fate.Fate == "Failed"
}

// isAllowedTransition reports whether a caller may be told the fate next in this state.
func isAllowedTransition(state jobState, next descriptor.FateRecord) bool {
	cancelled := strings.HasPrefix(next.Reason, "cancelled")
	switch {
	case isFinal(state.Fate):
		return state.Fate == next
	case state.Fate.Fate == "Unknown" && next.Fate != "Unknown" && !isFinal(next):
		return false
	case isFinal(next) && cancelled && !state.Cancelled:
		return false
	}
	switch next.Fate {
	case "Running", "Done":
		return state.Started
	case "NotRun":
		return !state.Started
	default:
		return true
	}
}

// Guards against a fate model that accepts illegal histories.
func TestFateModel(t *testing.T) {
	status, cancel, start := jobCall{"1", statusCall}, jobCall{"1", cancelCall}, jobCall{"1", startEvent}
	fate := func(name, reason string) jobResponse {
		return jobResponse{
			Outcome: accepted,
			Fate: descriptor.FateRecord{
				Fate:   name,
				Reason: reason,
			},
		}
	}
	withoutFate := func(outcome string) jobResponse {
		return jobResponse{
			Outcome: outcome,
		}
	}
	done, notRun, running := fate("Done", ""), fate("NotRun", "cancelled before it started"), fate("Running", "")
	waiting, unknown := fate("Pending", "waits"), fate("Unknown", "lost")
	checkModel(t, fateModel, []modelCase{
		{"a job that is done", true, []porcupine.Operation{
			operation(0, 1, status, waiting),
			operation(2, 2, start, jobResponse{}),
			operation(1, 3, status, running),
			operation(4, 5, status, done),
			operation(4, 6, cancel, done),
		}},
		{"a pending cancellation takes effect late", true, []porcupine.Operation{
			operation(0, verifier.Pending, cancel, withoutFate(uncertain)),
			operation(1, 2, status, waiting),
			operation(3, 4, status, notRun),
		}},
		{"unknown becomes final", true, []porcupine.Operation{
			operation(0, 0, start, jobResponse{}),
			operation(1, 2, status, unknown),
			operation(3, 4, status, done),
		}},
		{"a final fate changes", false, []porcupine.Operation{
			operation(0, 0, start, jobResponse{}),
			operation(1, 2, status, done),
			operation(3, 4, status, fate("Failed", "lost")),
		}},
		{"a final fate is forgotten", false, []porcupine.Operation{
			operation(0, 0, start, jobResponse{}),
			operation(1, 2, status, done),
			operation(3, 4, status, running),
		}},
		{"unknown runs again", false, []porcupine.Operation{
			operation(0, 0, start, jobResponse{}),
			operation(1, 2, status, unknown),
			operation(3, 4, status, running),
		}},
		{"not run, but started", false, []porcupine.Operation{
			operation(0, 1, cancel, notRun),
			operation(2, 2, start, jobResponse{}),
		}},
		{"done, but never started", false, []porcupine.Operation{
			operation(0, 1, status, done),
		}},
		{"running before its start", false, []porcupine.Operation{
			operation(0, 1, status, running),
			operation(2, 2, start, jobResponse{}),
		}},
		{"cancelled by a refused cancellation", false, []porcupine.Operation{
			operation(0, 1, cancel, withoutFate(refused)),
			operation(2, 3, status, notRun),
		}},
		{"an accepted job is not found", false, []porcupine.Operation{
			operation(0, 1, status, withoutFate(conflict)),
		}},
	})
}

// Guards against a progress model that accepts illegal histories.
func TestProgressModel(t *testing.T) {
	at := func(time int64, fate, reason, term string) porcupine.Operation {
		return operation(time, time, jobCall{"1", statusCall}, jobResponse{
			Fate: descriptor.FateRecord{
				Fate:   fate,
				Reason: reason,
			},
			Term: term,
		})
	}
	lost := at(1, "Pending", "", "2")
	lost.Output = jobResponse{
		Fate: lost.Output.(jobResponse).Fate,
		Term: "2",
		Lost: true,
	}
	const wait = "waiting for worker a"
	checkModel(t, progressModel, []modelCase{
		{"a takeover", true, []porcupine.Operation{
			at(0, "Pending", wait, ""), at(1, "Running", "", ""), at(2, "Pending", wait, "2"), at(3, "Running", "", "2"),
		}},
		{"lost by a new owner", true, []porcupine.Operation{at(0, "Running", "", ""), lost}},
		{"lost by the owner that reported it as running", false, []porcupine.Operation{at(0, "Running", "", "2"), lost}},
		{"pending again", false, []porcupine.Operation{at(0, "Running", "", ""), at(1, "Pending", wait, "")}},
		{"started again by a new owner", false, []porcupine.Operation{at(0, "Running", "", ""), at(1, "Pending", "", "2")}},
	})
}
