package integration_test

import (
	"bytes"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

const (
	// historiesVariable names the directory below which failing histories are kept.
	historiesVariable = "POMELOMOOR_HISTORIES"
	// checkLimit bounds the search for an order. An undecided history counts as a failure.
	checkLimit = 30 * time.Second
	// pending is the return time of an operation that may take effect at any later time.
	pending = math.MaxInt64
)

// recorder collects the operations of a concurrent run, by the name of the model that judges them.
type recorder struct {
	begun time.Time

	mutex      sync.Mutex
	operations map[string][]porcupine.Operation
}

func newRecorder() *recorder {
	return &recorder{
		// Without the monotonic reading, because the times of other processes have none.
		begun:      time.Now().Round(0),
		operations: map[string][]porcupine.Operation{},
	}
}

// nanoseconds is the time of the history. The zero time is the return of an unknown outcome.
func (recorder *recorder) nanoseconds(at time.Time) int64 {
	if at.IsZero() {
		return pending
	}
	return at.Round(0).Sub(recorder.begun).Nanoseconds()
}

func (recorder *recorder) add(model string, client int, call, end time.Time, input, output any) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.operations[model] = append(recorder.operations[model], porcupine.Operation{
		ClientId: client,
		Call:     recorder.nanoseconds(call),
		Return:   recorder.nanoseconds(end),
		Input:    input,
		Output:   output,
	})
}

// verdict is the outcome of a check with the part of the history that has no legal order.
type verdict struct {
	result  porcupine.CheckResult
	illegal []porcupine.Operation
	info    porcupine.LinearizationInfo
}

// judge checks a history against a model.
func judge(model porcupine.Model, history []porcupine.Operation) verdict {
	verdict := verdict{
		result: porcupine.Ok,
	}
	for _, part := range model.Partition(history) {
		result := porcupine.CheckOperationsTimeout(model, part, checkLimit)
		if result == porcupine.Ok {
			continue
		}
		verdict.illegal = append(verdict.illegal, part...)
		if verdict.result != porcupine.Illegal {
			verdict.result = result
		}
	}
	if len(verdict.illegal) > 0 {
		_, verdict.info = porcupine.CheckOperationsVerbose(model, bounded(verdict.illegal), checkLimit)
	}
	return verdict
}

// bounded gives pending operations a return time after all others, which a drawing can show.
func bounded(history []porcupine.Operation) []porcupine.Operation {
	var last int64
	for _, operation := range history {
		last = max(last, operation.Call)
		if operation.Return != pending {
			last = max(last, operation.Return)
		}
	}
	history = slices.Clone(history)
	for i := range history {
		if history[i].Return == pending {
			history[i].Return = last + time.Second.Nanoseconds()
		}
	}
	return history
}

// check fails the test if the recorded history has no legal order, and keeps it then.
func (recorder *recorder) check(t testing.TB, name string, model porcupine.Model, notes string) {
	t.Helper()
	recorder.mutex.Lock()
	history := slices.Clone(recorder.operations[name])
	recorder.mutex.Unlock()
	verdict := judge(model, history)
	t.Logf("%s: %s, %d operations", name, verdict.result, len(history))
	if verdict.result == porcupine.Ok {
		return
	}
	directory, err := keep(name, model, verdict, notes)
	if err != nil {
		t.Errorf("%s: the history could not be kept: %v", name, err)
	}
	t.Errorf("%s: the history is %s; see %s\n%.4000s", name, verdict.result, directory, text(model, verdict.illegal))
}

// keep writes a failing history as a drawing and as text.
func keep(name string, model porcupine.Model, verdict verdict, notes string) (string, error) {
	parent := os.Getenv(historiesVariable)
	if parent != "" {
		if err := os.MkdirAll(parent, 0o755); err != nil {
			return "", err
		}
	}
	directory, err := os.MkdirTemp(parent, "pomelomoor-history-"+name+"-")
	if err != nil {
		return "", err
	}
	if err := porcupine.VisualizePath(model, verdict.info, filepath.Join(directory, name+".html")); err != nil {
		return directory, err
	}
	document := notes + "\n" + text(model, verdict.illegal)
	return directory, os.WriteFile(filepath.Join(directory, name+".txt"), []byte(document), 0o600)
}

// text lists operations by their call times.
func text(model porcupine.Model, history []porcupine.Operation) string {
	history = slices.Clone(history)
	slices.SortStableFunc(history, func(left, right porcupine.Operation) int {
		return int(left.Call - right.Call)
	})
	var buffer bytes.Buffer
	for _, operation := range history {
		end := time.Duration(operation.Return).String()
		if operation.Return == pending {
			end = "open"
		}
		fmt.Fprintf(&buffer, "%s to %s, client %d: %s\n", time.Duration(operation.Call), end,
			operation.ClientId, model.DescribeOperation(operation.Input, operation.Output))
	}
	return buffer.String()
}

// partition returns a function that splits a history by a key of the input.
func partition[Input any](key func(Input) string) func([]porcupine.Operation) [][]porcupine.Operation {
	return func(history []porcupine.Operation) [][]porcupine.Operation {
		var parts [][]porcupine.Operation
		index := map[string]int{}
		for _, operation := range history {
			name := key(operation.Input.(Input))
			position, known := index[name]
			if !known {
				position = len(parts)
				index[name] = position
				parts = append(parts, nil)
			}
			parts[position] = append(parts[position], operation)
		}
		return parts
	}
}

// build returns a porcupine model from typed functions.
func build[State, Input, Output any](
	key func(Input) string,
	initial State,
	step func(State, Input, Output) (bool, State),
	equal func(State, State) bool,
) porcupine.Model {
	return porcupine.Model{
		Partition: partition(key),
		Init: func() any {
			return initial
		},
		Step: func(state, input, output any) (bool, any) {
			return step(state.(State), input.(Input), output.(Output))
		},
		Equal: func(left, right any) bool {
			return equal(left.(State), right.(State))
		},
		DescribeOperation: func(input, output any) string {
			return fmt.Sprintf("%+v -> %+v", input, output)
		},
		DescribeState: func(state any) string {
			return fmt.Sprintf("%+v", state)
		},
	}
}

func same[State comparable](left, right State) bool {
	return left == right
}

// handmade is a small history that a model has to accept or to refuse.
type handmade struct {
	name    string
	legal   bool
	history []porcupine.Operation
}

// operation is an operation of a hand-made history.
func operation(call, end int64, input, output any) porcupine.Operation {
	return porcupine.Operation{
		Call:   call,
		Return: end,
		Input:  input,
		Output: output,
	}
}

func checkHandmade(t *testing.T, model porcupine.Model, cases []handmade) {
	t.Helper()
	t.Parallel()
	for _, test := range cases {
		verdict := judge(model, test.history)
		if legal := verdict.result == porcupine.Ok; legal != test.legal {
			t.Errorf("%s: %s\n%s", test.name, verdict.result, text(model, test.history))
		}
	}
}

// Guards against a failing history that cannot be looked at later.
func TestFailingHistoryIsKept(t *testing.T) {
	t.Setenv(historiesVariable, filepath.Join(t.TempDir(), "kept"))
	wrong := submission{"key", "wrong"}
	verdict := judge(submissionModel, []porcupine.Operation{
		operation(0, 1, submission{"other", "right"}, submitted{
			Outcome: accepted,
		}),
		operation(0, pending, wrong, submitted{
			Outcome: uncertain,
		}),
		operation(0, 1, wrong, submitted{
			Outcome: accepted,
			Job:     "1",
		}),
		operation(2, 3, wrong, submitted{
			Outcome: accepted,
			Job:     "2",
		}),
	})
	if verdict.result != porcupine.Illegal || len(verdict.illegal) != 3 {
		t.Fatalf("%s: %v", verdict.result, verdict.illegal)
	}
	directory, err := keep("submissions", submissionModel, verdict, "POMELOMOOR_SEED=7")
	if err != nil {
		t.Fatal(err)
	}
	for file, wanted := range map[string][]string{
		"submissions.html": {"<html", "Description:wrong"},
		"submissions.txt":  {"POMELOMOOR_SEED=7", "0s to open", "Description:wrong"},
	} {
		document, err := os.ReadFile(filepath.Join(directory, file))
		if err != nil {
			t.Fatal(err)
		}
		for _, part := range wanted {
			if !bytes.Contains(document, []byte(part)) {
				t.Errorf("%s does not contain %q", file, part)
			}
		}
		if bytes.Contains(document, []byte("Description:right")) {
			t.Errorf("%s contains operations that are not at fault", file)
		}
	}
}
