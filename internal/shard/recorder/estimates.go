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

// classFormat encodes a class as a string. The parts are quoted because callers choose them freely.
const classFormat = "%q %q %q"

// SetLearned replaces the learned estimates that snapshots contain.
func (state *State) SetLearned(allStats []estimator.ClassStats) {
	state.Estimates = make(map[string]*recordpb.Estimate, len(allStats))
	for _, learned := range allStats {
		class := fmt.Sprintf(classFormat, learned.Class.Caller, learned.Class.Name, learned.Class.Kind)
		state.Estimates[class] = &recordpb.Estimate{
			Class:         class,
			MilliCpu:      int64(learned.MilliCPU),
			MemoryBytes:   int64(math.Ceil(learned.MemoryBytes)),
			RunTimeMillis: int64(learned.RunTime * 1000),
			// Completed runs only: their number also decides whether the CPU and memory estimates are used.
			Samples: learned.Completed,
		}
	}
}

// Learned returns the learned estimates of the snapshot, with now as the time of the latest report.
func (state *State) Learned(now time.Time) []estimator.ClassStats {
	var allStats []estimator.ClassStats
	for _, class := range slices.Sorted(maps.Keys(state.Estimates)) {
		estimate := state.Estimates[class]
		learned := estimator.ClassStats{
			MilliCPU:    float64(estimate.MilliCpu),
			MemoryBytes: float64(estimate.MemoryBytes),
			RunTime:     float64(estimate.RunTimeMillis) / 1000,
			Samples:     estimate.Samples,
			Completed:   estimate.Samples,
			LastSeen:    now,
		}
		var kind string
		if _, err := fmt.Sscanf(class, classFormat, &learned.Class.Caller, &learned.Class.Name, &kind); err != nil {
			// The class has another format. Its estimates are learned again.
			continue
		}
		learned.Class.Kind = descriptor.Kind(kind)
		allStats = append(allStats, learned)
	}
	return allStats
}
