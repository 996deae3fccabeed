package integration_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"pomelomoor/internal/trial/verifier"
)

// maxStaleness is how long after an apply an instance may report an older revision. A fault lasts up to 3 s, faults can
// follow each other, and after each the watch pauses for up to 2 s.
const maxStaleness = 12 * time.Second

// Operations of the configuration model.
const (
	applyCall = "Apply"
	readCall  = "Read"
	// floorEvent is the time from which on no instance may report a lower revision.
	floorEvent = "Floor"
)

// configCall is a call that reads or applies the configuration, or a floorEvent.
type configCall struct {
	Call     string
	Instance string
	Base     uint64
	Value    string
}

// configResponse is the response to a configCall. Value is set for reads.
type configResponse struct {
	Outcome  string
	Revision uint64
	Value    string
}

// configState is the state of the configuration and the lowest revision that each instance may report.
type configState struct {
	// Values holds the value of each revision.
	Values []string
	// Floors holds the lowest revision that each instance may report, and Floor that for all instances.
	Floors map[string]uint64
	Floor  uint64
}

// configModel is a register with compare-and-swap on its revision. Reads may be stale, but the revisions that one
// instance reports never decrease.
var configModel = verifier.NewModel(
	func(configCall) string {
		return ""
	},
	configState{
		Values: []string{""},
		Floors: map[string]uint64{},
	},
	stepConfig,
	func(left, right configState) bool {
		return left.Floor == right.Floor && slices.Equal(left.Values, right.Values) && maps.Equal(left.Floors, right.Floors)
	},
)

func stepConfig(state configState, input configCall, output configResponse) (bool, configState) {
	current := uint64(len(state.Values) - 1)
	switch input.Call {
	case floorEvent:
		state.Floor = max(state.Floor, output.Revision)
		return output.Revision <= current, state
	case readCall:
		minimum := max(state.Floor, state.Floors[input.Instance])
		legal := output.Revision <= current && output.Revision >= minimum && state.Values[output.Revision] == output.Value
		if legal && output.Revision > minimum {
			state.Floors = maps.Clone(state.Floors)
			state.Floors[input.Instance] = output.Revision
		}
		return legal, state
	}
	applied := state
	applied.Values = append(slices.Clip(state.Values), input.Value)
	switch output.Outcome {
	case accepted:
		return input.Base == current && output.Revision == current+1, applied
	case conflict:
		return input.Base != current && output.Revision == current, state
	case refused:
		return true, state
	default:
		if input.Base != current {
			return true, state
		}
		return true, applied
	}
}

// removeIneffectiveApplies removes applies with an uncertain outcome that had no effect, because another value has the
// revision that they would have created. Each of them would double the search.
func removeIneffectiveApplies(history []porcupine.Operation) []porcupine.Operation {
	values := map[uint64]string{}
	for _, operation := range history {
		input, output := operation.Input.(configCall), operation.Output.(configResponse)
		switch {
		case input.Call == readCall:
			values[output.Revision] = output.Value
		case output.Outcome == accepted:
			values[output.Revision] = input.Value
		}
	}
	return slices.DeleteFunc(slices.Clone(history), func(operation porcupine.Operation) bool {
		input, output := operation.Input.(configCall), operation.Output.(configResponse)
		value, known := values[input.Base+1]
		return input.Call == applyCall && output.Outcome == uncertain && known && value != input.Value
	})
}

// Guards against a configuration model that accepts illegal histories.
func TestConfigModel(t *testing.T) {
	put := func(base uint64, value string) configCall {
		return configCall{
			Call:  applyCall,
			Base:  base,
			Value: value,
		}
	}
	read := func(instance string) configCall {
		return configCall{
			Call:     readCall,
			Instance: instance,
		}
	}
	got := func(outcome string, revision uint64, value string) configResponse {
		return configResponse{
			Outcome:  outcome,
			Revision: revision,
			Value:    value,
		}
	}
	first := operation(0, 1, put(0, "a"), got(accepted, 1, ""))
	second := operation(2, 3, put(1, "b"), got(accepted, 2, ""))
	checkModel(t, configModel, []modelCase{
		{"a read is stale", true, []porcupine.Operation{
			first, second,
			operation(4, 5, read("x"), got("", 2, "b")),
			operation(6, 7, read("y"), got("", 1, "a")),
			operation(8, 9, put(1, "c"), got(conflict, 2, "")),
		}},
		{"a pending apply takes effect late", true, []porcupine.Operation{
			first,
			operation(2, verifier.Pending, put(1, "b"), got(uncertain, 0, "")),
			operation(4, 5, read("x"), got("", 1, "a")),
			operation(6, 7, read("x"), got("", 2, "b")),
		}},
		{"two applies of one base succeed", false, []porcupine.Operation{
			operation(0, 5, put(0, "a"), got(accepted, 1, "")),
			operation(0, 5, put(0, "b"), got(accepted, 1, "")),
		}},
		{"an applied revision is lost", false, []porcupine.Operation{
			first,
			operation(2, 3, put(0, "b"), got(accepted, 1, "")),
		}},
		{"a refused apply is in force", false, []porcupine.Operation{
			operation(0, 1, put(0, "a"), got(refused, 0, "")),
			operation(2, 3, read("x"), got("", 1, "a")),
		}},
		{"a conflict without a cause", false, []porcupine.Operation{
			first,
			operation(2, 3, put(1, "b"), got(conflict, 1, "")),
		}},
		{"an instance reports a lower revision", false, []porcupine.Operation{
			first, second,
			operation(4, 5, read("x"), got("", 2, "b")),
			operation(6, 7, read("x"), got("", 1, "a")),
		}},
		{"a stale read after all instances confirmed", false, []porcupine.Operation{
			first, second,
			operation(3, 3, configCall{Call: floorEvent}, got("", 2, "")),
			operation(4, 5, read("x"), got("", 1, "a")),
		}},
		{"a value before its apply", false, []porcupine.Operation{
			operation(0, 1, read("x"), got("", 1, "a")),
			operation(2, 3, put(0, "a"), got(accepted, 1, "")),
		}},
	})
	ineffective := operation(0, verifier.Pending, put(0, "c"), got(uncertain, 0, ""))
	pending := operation(0, verifier.Pending, put(1, "c"), got(uncertain, 0, ""))
	if left := removeIneffectiveApplies([]porcupine.Operation{ineffective, first, pending}); len(left) != 2 {
		t.Errorf("want the accepted apply and the pending one, got %v", left)
	}
}
