package integration_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"pomelomoor/internal/standin/worker"
	"pomelomoor/internal/trial/verifier"
	"pomelomoor/internal/work/descriptor"
)

const endEvent = "End"

// step is the start or end of a run in a worker's history.
type step struct {
	Job        descriptor.JobID
	Task       int
	Attempt    int
	Worker     descriptor.WorkerID
	Event      string
	Idempotent bool
}

// progress is what is known of a task's runs. Attempts lists those that started, as ",1,2,".
type progress struct {
	Running  string
	Attempts string
}

// runModel starts each attempt at most once, one at a time, and one that is not idempotent only once.
var runModel = verifier.Build(
	func(step step) string {
		return string(step.Job) + "/" + strconv.Itoa(step.Task)
	},
	progress{
		Attempts: ",",
	},
	func(state progress, input step, _ struct{}) (bool, progress) {
		attempt := strconv.Itoa(input.Attempt) + ","
		name := string(input.Worker) + "/" + attempt
		if input.Event == endEvent {
			legal := state.Running == name
			state.Running = ""
			return legal, state
		}
		legal := state.Running == "" && !strings.Contains(state.Attempts, ","+attempt)
		if !input.Idempotent && state.Attempts != "," {
			legal = false
		}
		state.Running = name
		state.Attempts += attempt
		return legal, state
	},
	verifier.Same[progress],
)

// command is a start that a worker took for a shard.
type command struct {
	Worker descriptor.WorkerID
	Shard  descriptor.ShardID
	Epoch  uint64
}

// epochModel lets the epochs that a worker obeys never fall.
var epochModel = verifier.Build(
	func(command command) string {
		return string(command.Worker) + "/" + string(command.Shard)
	},
	uint64(0),
	func(state uint64, input command, _ struct{}) (bool, uint64) {
		return input.Epoch >= state, input.Epoch
	},
	verifier.Same[uint64],
)

// addRuns records the workers' histories.
func (recorder *recorder) addRuns(records []worker.Record, idempotent func(descriptor.JobID) bool) {
	for index, record := range records {
		step := step{
			Job:        record.Run.Job,
			Task:       record.Run.Task,
			Attempt:    record.Run.Attempt,
			Worker:     record.Worker,
			Event:      startEvent,
			Idempotent: idempotent(record.Run.Job),
		}
		recorder.Add("runs", index, record.Started, record.Started, step, struct{}{})
		ended := step
		ended.Event = endEvent
		at := record.Ended
		if at.IsZero() {
			// The run is in progress still, so it ends after everything that was recorded.
			at = time.Now().Add(time.Hour)
		}
		recorder.Add("runs", index, at, at, ended, struct{}{})
		recorder.Add("epochs", index, record.Started, record.Started, command{
			Worker: record.Worker,
			Shard:  record.Shard,
			Epoch:  record.Epoch,
		}, struct{}{})
	}
}

// Guards the models of runs and epochs against accepting what they are there to find.
func TestRunModels(t *testing.T) {
	run := func(event string, attempt int, worker descriptor.WorkerID, idempotent bool) step {
		return step{
			Job:        "1",
			Attempt:    attempt,
			Worker:     worker,
			Event:      event,
			Idempotent: idempotent,
		}
	}
	at := func(time int64, input any) porcupine.Operation {
		return operation(time, time, input, struct{}{})
	}
	checkHandmade(t, runModel, []handmade{
		{"one after the other", true, []porcupine.Operation{
			at(0, run(startEvent, 1, "a", true)), at(1, run(endEvent, 1, "a", true)),
			at(1, run(startEvent, 2, "b", true)), at(2, run(endEvent, 2, "b", true)),
		}},
		{"two at a time", false, []porcupine.Operation{
			at(0, run(startEvent, 1, "a", true)), at(2, run(endEvent, 1, "a", true)),
			at(1, run(startEvent, 2, "b", true)), at(3, run(endEvent, 2, "b", true)),
		}},
		{"an attempt starts twice", false, []porcupine.Operation{
			at(0, run(startEvent, 1, "a", true)), at(1, run(endEvent, 1, "a", true)),
			at(2, run(startEvent, 1, "b", true)), at(3, run(endEvent, 1, "b", true)),
		}},
		{"a loan starts twice", false, []porcupine.Operation{
			at(0, run(startEvent, 1, "a", false)), at(1, run(endEvent, 1, "a", false)),
			at(2, run(startEvent, 2, "b", false)), at(3, run(endEvent, 2, "b", false)),
		}},
	})
	for _, test := range []handmade{
		{"epochs rise", true, []porcupine.Operation{at(0, command{"a", "s", 1}), at(1, command{"a", "s", 1}), at(2, command{"a", "s", 3})}},
		{"an epoch falls", false, []porcupine.Operation{at(0, command{"a", "s", 2}), at(1, command{"a", "s", 1})}},
	} {
		if legal := verifier.Judge(epochModel, test.history).Result == porcupine.Ok; legal != test.legal {
			t.Errorf("%s: %t", test.name, legal)
		}
	}
}
