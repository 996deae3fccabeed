package integration_test

import (
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"

	"pomelomoor/internal/trial/verifier"
	"pomelomoor/internal/work/descriptor"
)

// Calls of the model of fates.
const (
	statusCall = "Status"
	cancelCall = "Cancel"
	// startEvent is a start in a worker's history.
	startEvent = "Start"
)

// question is a call about an accepted job, or a start of one of its tasks.
type question struct {
	Job  descriptor.JobID
	Call string
}

// told is the answer. The outcome is accepted, refused, uncertain or, for an unknown job, conflict.
type told struct {
	Outcome string
	Fate    descriptor.FateRecord
	// Term is the latest takeover of the shard in the job's trail.
	Term string
	// Lost tells that the owner of this term lost a run of the job.
	Lost bool
}

// life is what is known of a job.
type life struct {
	Fate      descriptor.FateRecord
	Cancelled bool
	Started   bool
}

func byJob(question question) string {
	return string(question.Job)
}

// fateModel lets an accepted job come to one final fate, which agrees with what workers started.
// A job that is Unknown only becomes final.
var fateModel = verifier.Build(byJob, life{}, stepFate, verifier.Same[life])

// stage is the latest state of a job that a caller was told.
type stage struct {
	Fate string
	Term string
}

// progressModel lets a job that was Running not be Pending again. Starts are not in the journal, so a
// new owner may wait for the worker to report the run, or lose it before it was reported.
var progressModel = verifier.Build(byJob, stage{}, func(state stage, _ question, output told) (bool, stage) {
	back := state.Fate == "Running" && output.Fate.Fate == "Pending"
	open := state.Term != output.Term && (output.Lost || strings.HasPrefix(output.Fate.Reason, "waiting for worker"))
	return !back || open, stage{
		Fate: output.Fate.Fate,
		Term: output.Term,
	}
}, verifier.Same[stage])

func stepFate(state life, input question, output told) (bool, life) {
	if input.Call == startEvent {
		legal := !final(state.Fate)
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
	if !follows(state, output.Fate) {
		return false, state
	}
	state.Fate = output.Fate
	if !final(output.Fate) {
		// The reason of a fate that is not final may change.
		state.Fate = descriptor.FateRecord{
			Fate: output.Fate.Fate,
		}
	}
	return true, state
}

func final(fate descriptor.FateRecord) bool {
	return fate.Fate == "Done" || fate.Fate == "NotRun" || fate.Fate == "Failed"
}

// follows reports whether a job may be told to have the fate next.
func follows(state life, next descriptor.FateRecord) bool {
	cancelled := strings.HasPrefix(next.Reason, "cancelled")
	switch {
	case final(state.Fate):
		return state.Fate == next
	case state.Fate.Fate == "Unknown" && next.Fate != "Unknown" && !final(next):
		return false
	case final(next) && cancelled && !state.Cancelled:
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

// Guards the model of fates against accepting what it is there to find.
func TestFateModel(t *testing.T) {
	status, cancel, start := question{"1", statusCall}, question{"1", cancelCall}, question{"1", startEvent}
	fate := func(name, reason string) told {
		return told{
			Outcome: accepted,
			Fate: descriptor.FateRecord{
				Fate:   name,
				Reason: reason,
			},
		}
	}
	plain := func(outcome string) told {
		return told{
			Outcome: outcome,
		}
	}
	done, notRun, running := fate("Done", ""), fate("NotRun", "cancelled before it started"), fate("Running", "")
	waiting, unknown := fate("Pending", "waits"), fate("Unknown", "lost")
	checkHandmade(t, fateModel, []handmade{
		{"a job that is done", true, []porcupine.Operation{
			operation(0, 1, status, waiting),
			operation(2, 2, start, told{}),
			operation(1, 3, status, running),
			operation(4, 5, status, done),
			operation(4, 6, cancel, done),
		}},
		{"an open cancellation takes effect late", true, []porcupine.Operation{
			operation(0, verifier.Pending, cancel, plain(uncertain)),
			operation(1, 2, status, waiting),
			operation(3, 4, status, notRun),
		}},
		{"unknown becomes final", true, []porcupine.Operation{
			operation(0, 0, start, told{}),
			operation(1, 2, status, unknown),
			operation(3, 4, status, done),
		}},
		{"a final fate changes", false, []porcupine.Operation{
			operation(0, 0, start, told{}),
			operation(1, 2, status, done),
			operation(3, 4, status, fate("Failed", "lost")),
		}},
		{"a final fate is forgotten", false, []porcupine.Operation{
			operation(0, 0, start, told{}),
			operation(1, 2, status, done),
			operation(3, 4, status, running),
		}},
		{"unknown runs again", false, []porcupine.Operation{
			operation(0, 0, start, told{}),
			operation(1, 2, status, unknown),
			operation(3, 4, status, running),
		}},
		{"not run, but started", false, []porcupine.Operation{
			operation(0, 1, cancel, notRun),
			operation(2, 2, start, told{}),
		}},
		{"done, but never started", false, []porcupine.Operation{
			operation(0, 1, status, done),
		}},
		{"running before its start", false, []porcupine.Operation{
			operation(0, 1, status, running),
			operation(2, 2, start, told{}),
		}},
		{"cancelled by a refused cancellation", false, []porcupine.Operation{
			operation(0, 1, cancel, plain(refused)),
			operation(2, 3, status, notRun),
		}},
		{"an accepted job is not found", false, []porcupine.Operation{
			operation(0, 1, status, plain(conflict)),
		}},
	})
}

// Guards the model of progress against accepting what it is there to find.
func TestProgressModel(t *testing.T) {
	at := func(time int64, fate, reason, term string) porcupine.Operation {
		return operation(time, time, question{"1", statusCall}, told{
			Fate: descriptor.FateRecord{
				Fate:   fate,
				Reason: reason,
			},
			Term: term,
		})
	}
	lost := at(1, "Pending", "", "2")
	lost.Output = told{
		Fate: lost.Output.(told).Fate,
		Term: "2",
		Lost: true,
	}
	const wait = "waiting for worker a"
	checkHandmade(t, progressModel, []handmade{
		{"a takeover", true, []porcupine.Operation{
			at(0, "Pending", wait, ""), at(1, "Running", "", ""), at(2, "Pending", wait, "2"), at(3, "Running", "", "2"),
		}},
		{"lost by a new owner", true, []porcupine.Operation{at(0, "Running", "", ""), lost}},
		{"lost by the owner that told it to run", false, []porcupine.Operation{at(0, "Running", "", "2"), lost}},
		{"pending again", false, []porcupine.Operation{at(0, "Running", "", ""), at(1, "Pending", wait, "")}},
		{"started again by a new owner", false, []porcupine.Operation{at(0, "Running", "", ""), at(1, "Pending", "", "2")}},
	})
}
