// Package verifier checks recorded histories of concurrent operations for linearizability, and saves those that are not
// linearizable.
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
	// checkTimeout bounds the search for a linearization. A check that exceeds it counts as failed.
	checkTimeout = 30 * time.Second
	// Pending is the return time of an operation without a known outcome, which may take effect at any later time.
	Pending = math.MaxInt64
)

// History collects the operations of a concurrent run, grouped by the name of the model that they are checked against.
type History struct {
	start time.Time

	mutex      sync.Mutex
	operations map[string][]porcupine.Operation
}

// New returns an empty history that starts now.
func New() *History {
	return &History{
		// Without the monotonic clock reading, because times reported by other processes have none.
		start:      time.Now().Round(0),
		operations: map[string][]porcupine.Operation{},
	}
}

// Start returns the time at which the history started.
func (history *History) Start() time.Time {
	return history.start
}

// sinceStart converts a time to nanoseconds since the start of the history. The zero time becomes Pending.
func (history *History) sinceStart(at time.Time) int64 {
	if at.IsZero() {
		return Pending
	}
	return at.Round(0).Sub(history.start).Nanoseconds()
}

// Add records an operation for a model. A zero end means that the outcome is pending.
func (history *History) Add(model string, client int, call, end time.Time, input, output any) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	history.operations[model] = append(history.operations[model], porcupine.Operation{
		ClientId: client,
		Call:     history.sinceStart(call),
		Return:   history.sinceStart(end),
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

// Analysis is the result of a check.
type Analysis struct {
	Result porcupine.CheckResult
	// Illegal holds the operations of all partitions that are not linearizable or could not be decided in time.
	Illegal []porcupine.Operation
	info    porcupine.LinearizationInfo
}

// Check checks a history against a model, each partition separately.
func Check(model porcupine.Model, history []porcupine.Operation) Analysis {
	analysis := Analysis{
		Result: porcupine.Ok,
	}
	for _, part := range model.Partition(history) {
		result := porcupine.CheckOperationsTimeout(model, part, checkTimeout)
		if result == porcupine.Ok {
			continue
		}
		analysis.Illegal = append(analysis.Illegal, part...)
		if analysis.Result != porcupine.Illegal {
			analysis.Result = result
		}
	}
	if len(analysis.Illegal) > 0 {
		_, analysis.info = porcupine.CheckOperationsVerbose(model, withFiniteReturns(analysis.Illegal), checkTimeout)
	}
	return analysis
}

// withFiniteReturns gives pending operations a return time after all others, so that they can be visualized.
func withFiniteReturns(history []porcupine.Operation) []porcupine.Operation {
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

// Save writes the failed part of a history as an HTML visualization and as text to a new directory below parent, or
// below the system's temporary directory if parent is empty.
func Save(parent, name string, model porcupine.Model, analysis Analysis, notes string) (string, error) {
	if parent != "" {
		if err := os.MkdirAll(parent, 0o755); err != nil {
			return "", err
		}
	}
	directory, err := os.MkdirTemp(parent, "pomelomoor-history-"+name+"-")
	if err != nil {
		return "", err
	}
	if err := porcupine.VisualizePath(model, analysis.info, filepath.Join(directory, name+".html")); err != nil {
		return directory, err
	}
	document := notes + "\n" + Format(model, analysis.Illegal)
	return directory, os.WriteFile(filepath.Join(directory, name+".txt"), []byte(document), 0o600)
}

// Format lists operations in the order of their call times.
func Format(model porcupine.Model, history []porcupine.Operation) string {
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

// partitionBy returns a function that splits a history by a key of the operations' input.
func partitionBy[Input any](key func(Input) string) func([]porcupine.Operation) [][]porcupine.Operation {
	return func(history []porcupine.Operation) [][]porcupine.Operation {
		var parts [][]porcupine.Operation
		index := map[string]int{}
		for _, operation := range history {
			name := key(operation.Input.(Input))
			position, found := index[name]
			if !found {
				position = len(parts)
				index[name] = position
				parts = append(parts, nil)
			}
			parts[position] = append(parts[position], operation)
		}
		return parts
	}
}

// NewModel returns a porcupine model made of typed functions.
func NewModel[State, Input, Output any](
	key func(Input) string,
	initial State,
	step func(State, Input, Output) (bool, State),
	equal func(State, State) bool,
) porcupine.Model {
	return porcupine.Model{
		Partition: partitionBy(key),
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

// Equal compares two states by value.
func Equal[State comparable](left, right State) bool {
	return left == right
}
