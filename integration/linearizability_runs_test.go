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

// endEvent is the end of a run in a worker's records.
const endEvent = "End"

// runEvent is the start or end of a run in a worker's records.
type runEvent struct {
	Job        descriptor.JobID
	Task       int
	Attempt    int
	Worker     descriptor.WorkerID
	Event      string
	Idempotent bool
}

// taskState is the state of a task's runs. Attempts lists those that started, in the form ",1,2,".
type taskState struct {
	Running  string
	Attempts string
}

// runModel requires that each attempt of a task starts at most once, that attempts do not overlap, and that a task that
// is not idempotent has only one.
var runModel = verifier.NewModel(
	func(event runEvent) string {
		return string(event.Job) + "/" + strconv.Itoa(event.Task)
	},
	taskState{
		Attempts: ",",
	},
	func(state taskState, input runEvent, _ struct{}) (bool, taskState) {
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
	verifier.Equal[taskState],
)

// startCommand is a command of a shard's owner to start a run, which a worker accepted.
type startCommand struct {
	Worker descriptor.WorkerID
	Shard  descriptor.ShardID
	Epoch  uint64
}

// epochModel requires that the epochs of the commands that a worker accepts for a shard do not decrease.
var epochModel = verifier.NewModel(
	func(command startCommand) string {
		return string(command.Worker) + "/" + string(command.Shard)
	},
	uint64(0),
	func(state uint64, input startCommand, _ struct{}) (bool, uint64) {
		return input.Epoch >= state, input.Epoch
	},
	verifier.Equal[uint64],
)

// addRuns records the runs in the workers' records as operations.
func (recorder *recorder) addRuns(records []worker.Record, idempotent func(descriptor.JobID) bool) {
	for index, record := range records {
		event := runEvent{
			Job:        record.Run.Job,
			Task:       record.Run.Task,
			Attempt:    record.Run.Attempt,
			Worker:     record.Worker,
			Event:      startEvent,
			Idempotent: idempotent(record.Run.Job),
		}
		recorder.Add("runs", index, record.Started, record.Started, event, struct{}{})
		ended := event
		ended.Event = endEvent
		at := record.Ended
		if at.IsZero() {
			// The run is still in progress, so it ends after all recorded operations.
			at = time.Now().Add(time.Hour)
		}
		recorder.Add("runs", index, at, at, ended, struct{}{})
		recorder.Add("epochs", index, record.Started, record.Started, startCommand{
			Worker: record.Worker,
			Shard:  record.Shard,
			Epoch:  record.Epoch,
		}, struct{}{})
	}
}

// Guards against run and epoch models that accept illegal histories.
func TestRunModels(t *testing.T) {
	run := func(event string, attempt int, worker descriptor.WorkerID, idempotent bool) runEvent {
		return runEvent{
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
	checkModel(t, runModel, []modelCase{
		{"attempts in sequence", true, []porcupine.Operation{
			at(0, run(startEvent, 1, "a", true)), at(1, run(endEvent, 1, "a", true)),
			at(1, run(startEvent, 2, "b", true)), at(2, run(endEvent, 2, "b", true)),
		}},
		{"overlapping attempts", false, []porcupine.Operation{
			at(0, run(startEvent, 1, "a", true)), at(2, run(endEvent, 1, "a", true)),
			at(1, run(startEvent, 2, "b", true)), at(3, run(endEvent, 2, "b", true)),
		}},
		{"an attempt starts twice", false, []porcupine.Operation{
			at(0, run(startEvent, 1, "a", true)), at(1, run(endEvent, 1, "a", true)),
			at(2, run(startEvent, 1, "b", true)), at(3, run(endEvent, 1, "b", true)),
		}},
		{"a task that is not idempotent starts twice", false, []porcupine.Operation{
			at(0, run(startEvent, 1, "a", false)), at(1, run(endEvent, 1, "a", false)),
			at(2, run(startEvent, 2, "b", false)), at(3, run(endEvent, 2, "b", false)),
		}},
	})
	for _, test := range []modelCase{
		{"epochs increase", true, []porcupine.Operation{at(0, startCommand{"a", "s", 1}), at(1, startCommand{"a", "s", 1}), at(2, startCommand{"a", "s", 3})}},
		{"an epoch decreases", false, []porcupine.Operation{at(0, startCommand{"a", "s", 2}), at(1, startCommand{"a", "s", 1})}},
	} {
		if legal := verifier.Check(epochModel, test.history).Result == porcupine.Ok; legal != test.legal {
			t.Errorf("%s: %t", test.name, legal)
		}
	}
}
