// Package verifier checks recorded histories of concurrent operations against models, and keeps those
// that have no legal order.
package verifier

import (
	"bytes"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

const (
	// checkLimit bounds the search for an order. An undecided history counts as a failure.
	checkLimit = 30 * time.Second
	// Pending is the return time of an operation that may take effect at any later time.
	Pending = math.MaxInt64
)

// History collects the operations of a concurrent run, by the name of the model that judges them.
type History struct {
	begun time.Time

	mutex      sync.Mutex
	operations map[string][]porcupine.Operation
}

// New returns a history that begins now.
func New() *History {
	return &History{
		// Without the monotonic reading, because the times of other processes have none.
		begun:      time.Now().Round(0),
		operations: map[string][]porcupine.Operation{},
	}
}

// Begun returns when the history began.
func (history *History) Begun() time.Time {
	return history.begun
}

// nanoseconds is the time of the history. The zero time is the return of an unknown outcome.
func (history *History) nanoseconds(at time.Time) int64 {
	if at.IsZero() {
		return Pending
	}
	return at.Round(0).Sub(history.begun).Nanoseconds()
}

// Add records an operation for a model. A zero end means that the outcome is not known.
func (history *History) Add(model string, client int, call, end time.Time, input, output any) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	history.operations[model] = append(history.operations[model], porcupine.Operation{
		ClientId: client,
		Call:     history.nanoseconds(call),
		Return:   history.nanoseconds(end),
		Input:    input,
		Output:   output,
	})
}

// Operations returns the operations recorded for a model.
func (history *History) Operations(model string) []porcupine.Operation {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	return slices.Clone(history.operations[model])
}

// Replace replaces the operations recorded for a model.
func (history *History) Replace(model string, operations []porcupine.Operation) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	history.operations[model] = operations
}

// Verdict is the outcome of a check with the part of the history that has no legal order.
type Verdict struct {
	Result porcupine.CheckResult
	// Illegal holds the operations of the parts without a legal order.
	Illegal []porcupine.Operation
	info    porcupine.LinearizationInfo
}

// Judge checks a history against a model.
func Judge(model porcupine.Model, history []porcupine.Operation) Verdict {
	verdict := Verdict{
		Result: porcupine.Ok,
	}
	for _, part := range model.Partition(history) {
		result := porcupine.CheckOperationsTimeout(model, part, checkLimit)
		if result == porcupine.Ok {
			continue
		}
		verdict.Illegal = append(verdict.Illegal, part...)
		if verdict.Result != porcupine.Illegal {
			verdict.Result = result
		}
	}
	if len(verdict.Illegal) > 0 {
		_, verdict.info = porcupine.CheckOperationsVerbose(model, bounded(verdict.Illegal), checkLimit)
	}
	return verdict
}

// bounded gives pending operations a return time after all others, which a drawing can show.
func bounded(history []porcupine.Operation) []porcupine.Operation {
	var last int64
	for _, operation := range history {
		last = max(last, operation.Call)
		if operation.Return != Pending {
			last = max(last, operation.Return)
		}
	}
	history = slices.Clone(history)
	for i := range history {
		if history[i].Return == Pending {
			history[i].Return = last + time.Second.Nanoseconds()
		}
	}
	return history
}

// Keep writes a failing history as a drawing and as text into a new directory below parent, or below
// the system's directory for temporary files.
func Keep(parent, name string, model porcupine.Model, verdict Verdict, notes string) (string, error) {
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
	document := notes + "\n" + Text(model, verdict.Illegal)
	return directory, os.WriteFile(filepath.Join(directory, name+".txt"), []byte(document), 0o600)
}

// Text lists operations by their call times.
func Text(model porcupine.Model, history []porcupine.Operation) string {
	history = slices.Clone(history)
	slices.SortStableFunc(history, func(left, right porcupine.Operation) int {
		return int(left.Call - right.Call)
	})
	var buffer bytes.Buffer
	for _, operation := range history {
		end := time.Duration(operation.Return).String()
		if operation.Return == Pending {
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

// Build returns a porcupine model from typed functions.
func Build[State, Input, Output any](
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

// Same compares states by value.
func Same[State comparable](left, right State) bool {
	return left == right
}
