package integration_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"pomelomoor/internal/trial/verifier"
)

// staleLimit is how long after an apply an instance may still state an older revision. The faults of
// the nemesis last up to 3 s, may follow each other, and are followed by pauses of the watch of 2 s.
const staleLimit = 12 * time.Second

// Calls of the model of the configuration.
const (
	applyCall = "Apply"
	readCall  = "Read"
	// floorEvent is the time from which on no instance may state a lower revision.
	floorEvent = "Floor"
)

// change is a call that concerns the configuration.
type change struct {
	Call     string
	Instance string
	Base     uint64
	Value    string
}

// changed is its answer. Value is that of a read.
type changed struct {
	Outcome  string
	Revision uint64
	Value    string
}

// register is the configuration with the lowest revision that each instance may state.
type register struct {
	// Values holds the value of each revision.
	Values []string
	Floors map[string]uint64
	Floor  uint64
}

// configModel is a register with compare-and-swap on its revision. Reads may be stale, but never go
// back at one instance.
var configModel = verifier.Build(
	func(change) string {
		return ""
	},
	register{
		Values: []string{""},
		Floors: map[string]uint64{},
	},
	stepConfig,
	func(left, right register) bool {
		return left.Floor == right.Floor && slices.Equal(left.Values, right.Values) && maps.Equal(left.Floors, right.Floors)
	},
)

func stepConfig(state register, input change, output changed) (bool, register) {
	current := uint64(len(state.Values) - 1)
	switch input.Call {
	case floorEvent:
		state.Floor = max(state.Floor, output.Revision)
		return output.Revision <= current, state
	case readCall:
		floor := max(state.Floor, state.Floors[input.Instance])
		legal := output.Revision <= current && output.Revision >= floor && state.Values[output.Revision] == output.Value
		if legal && output.Revision > floor {
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

// withoutIdle leaves out open applies that provably had no effect: another value has the revision that
// they would have had. Each of them would double the search.
func withoutIdle(history []porcupine.Operation) []porcupine.Operation {
	values := map[uint64]string{}
	for _, operation := range history {
		input, output := operation.Input.(change), operation.Output.(changed)
		switch {
		case input.Call == readCall:
			values[output.Revision] = output.Value
		case output.Outcome == accepted:
			values[output.Revision] = input.Value
		}
	}
	return slices.DeleteFunc(slices.Clone(history), func(operation porcupine.Operation) bool {
		input, output := operation.Input.(change), operation.Output.(changed)
		value, known := values[input.Base+1]
		return input.Call == applyCall && output.Outcome == uncertain && known && value != input.Value
	})
}

// Guards the model of the configuration against accepting what it is there to find.
func TestConfigModel(t *testing.T) {
	put := func(base uint64, value string) change {
		return change{
			Call:  applyCall,
			Base:  base,
			Value: value,
		}
	}
	read := func(instance string) change {
		return change{
			Call:     readCall,
			Instance: instance,
		}
	}
	got := func(outcome string, revision uint64, value string) changed {
		return changed{
			Outcome:  outcome,
			Revision: revision,
			Value:    value,
		}
	}
	first := operation(0, 1, put(0, "a"), got(accepted, 1, ""))
	second := operation(2, 3, put(1, "b"), got(accepted, 2, ""))
	checkHandmade(t, configModel, []handmade{
		{"a read is stale", true, []porcupine.Operation{
			first, second,
			operation(4, 5, read("x"), got("", 2, "b")),
			operation(6, 7, read("y"), got("", 1, "a")),
			operation(8, 9, put(1, "c"), got(conflict, 2, "")),
		}},
		{"an open apply takes effect late", true, []porcupine.Operation{
			first,
			operation(2, verifier.Pending, put(1, "b"), got(uncertain, 0, "")),
			operation(4, 5, read("x"), got("", 1, "a")),
			operation(6, 7, read("x"), got("", 2, "b")),
		}},
		{"both operators win", false, []porcupine.Operation{
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
		{"an instance goes back", false, []porcupine.Operation{
			first, second,
			operation(4, 5, read("x"), got("", 2, "b")),
			operation(6, 7, read("x"), got("", 1, "a")),
		}},
		{"a stale read after a complete wait", false, []porcupine.Operation{
			first, second,
			operation(3, 3, change{Call: floorEvent}, got("", 2, "")),
			operation(4, 5, read("x"), got("", 1, "a")),
		}},
		{"a value before its apply", false, []porcupine.Operation{
			operation(0, 1, read("x"), got("", 1, "a")),
			operation(2, 3, put(0, "a"), got(accepted, 1, "")),
		}},
	})
	idle := operation(0, verifier.Pending, put(0, "c"), got(uncertain, 0, ""))
	open := operation(0, verifier.Pending, put(1, "c"), got(uncertain, 0, ""))
	if left := withoutIdle([]porcupine.Operation{idle, first, open}); len(left) != 2 {
		t.Errorf("kept %v", left)
	}
}
