package recorder

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"pomelomoor/internal/placement/estimator"
	"pomelomoor/internal/shard/recordpb"
	"pomelomoor/internal/work/descriptor"
)

// classFormat quotes the parts of a class, because callers choose them.
const classFormat = "%q %q %q"

// SetLearned replaces the learned sizes that snapshots contain.
func (state *State) SetLearned(states []estimator.State) {
	state.Estimates = make(map[string]*recordpb.Estimate, len(states))
	for _, one := range states {
		class := fmt.Sprintf(classFormat, one.Class.Caller, one.Class.Name, one.Class.Kind)
		state.Estimates[class] = &recordpb.Estimate{
			Class:         class,
			MilliCpu:      int64(one.MilliCPU),
			MemoryBytes:   int64(math.Ceil(one.MemoryBytes)),
			RunTimeMillis: int64(one.RunTime * 1000),
			// Only runs that ran to their end count towards the use of the other figures.
			Samples: one.Times,
		}
	}
}

// Learned returns the learned sizes in the snapshot, as if they were reported now.
func (state *State) Learned(now time.Time) []estimator.State {
	var states []estimator.State
	for _, class := range slices.Sorted(maps.Keys(state.Estimates)) {
		estimate := state.Estimates[class]
		one := estimator.State{
			MilliCPU:    float64(estimate.MilliCpu),
			MemoryBytes: float64(estimate.MemoryBytes),
			RunTime:     float64(estimate.RunTimeMillis) / 1000,
			Samples:     estimate.Samples,
			Times:       estimate.Samples,
			Seen:        now,
		}
		var kind string
		if _, err := fmt.Sscanf(class, classFormat, &one.Class.Caller, &one.Class.Name, &kind); err != nil {
			// A class of another form is learned anew.
			continue
		}
		one.Class.Kind = descriptor.Kind(kind)
		states = append(states, one)
	}
	return states
}
