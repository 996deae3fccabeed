package estimator_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pomelomoor/internal/placement/estimator"
	"pomelomoor/internal/work/descriptor"
)

var epoch = time.Unix(1_800_000_000, 0)

// TestStragglers guards against a run time estimate that is distorted by a few runs of twenty times
// the length, and against a memory estimate that more than one in a hundred later runs exceed.
func TestStragglers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		typical := time.Duration(rapid.IntRange(1, 10_000).Draw(t, "seconds")) * time.Second
		memory := rapid.Int64Range(1<<20, 1<<36).Draw(t, "memory")
		classEstimator := estimator.Estimator{
			Reclaim: true,
		}
		class := estimator.Class{
			Name: "assay",
		}
		exceeded := 0
		for i := range 400 {
			peak := descriptor.Resources{
				MemoryBytes: int64(float64(memory) * (0.5 + random.Float64()/2)),
			}
			runTime := time.Duration(float64(typical) * (0.7 + 0.6*random.Float64()))
			if random.IntN(20) == 0 {
				runTime *= 20
			}
			estimate := classEstimator.Estimate(class, descriptor.Resources{}, 0)
			if i >= 100 && peak.MemoryBytes > estimate.MemoryBytes {
				exceeded++
			}
			classEstimator.Finish(class, peak, runTime, true, epoch)
		}
		estimate := classEstimator.Estimate(class, descriptor.Resources{}, time.Hour)
		if ratio := estimate.RunTime.Seconds() / typical.Seconds(); ratio < 0.7 || ratio > 1.5 {
			t.Fatalf("typical run time %v, estimate %v", typical, estimate.RunTime)
		}
		if exceeded > 3 || estimate.MemoryBytes > memory*5/4 {
			t.Fatalf("%d of 300 runs exceeded the memory estimate %d of at most %d", exceeded, estimate.MemoryBytes, memory)
		}
		if !estimate.Straggling(estimate.RunTime*5) || estimate.Straggling(estimate.RunTime*3) {
			t.Fatal("stragglers are not distinguished from slow runs")
		}
	})
}

// TestDeclaredIsLowerBound guards against estimates below the declared amounts while Reclaim is off,
// and against measurements above the declared memory that don't raise the estimate.
func TestDeclaredIsLowerBound(t *testing.T) {
	var classEstimator estimator.Estimator
	class := estimator.Class{
		Name: "match",
	}
	declared := descriptor.Resources{
		MilliCPU:     1000,
		MemoryBytes:  1 << 30,
		Accelerators: 1,
	}
	for range 20 {
		classEstimator.Finish(class, descriptor.Resources{MilliCPU: 10, MemoryBytes: 1 << 20}, time.Second, true, epoch)
	}
	if got := classEstimator.Estimate(class, declared, 0); got.Resources != declared || got.RunTime.Round(time.Millisecond) != time.Second {
		t.Fatalf("estimate %+v, declared %+v", got, declared)
	}
	classEstimator.Observe(class, descriptor.Usage{
		Resources: descriptor.Resources{MemoryBytes: 1 << 31},
		At:        epoch,
	})
	if got := classEstimator.Estimate(class, declared, 0); got.MemoryBytes <= 1<<31 {
		t.Fatalf("estimate %d after a measurement of %d", got.MemoryBytes, 1<<31)
	}
}

// TestSnapshot guards against statistics that get lost when a new owner of the shard restores them
// from a snapshot, and against memory that grows with the number of class names.
func TestSnapshot(t *testing.T) {
	first := estimator.Estimator{
		MaxClasses: 50,
	}
	for i := range 1000 {
		class := estimator.Class{
			Name: fmt.Sprint(i),
		}
		first.Finish(class, descriptor.Resources{MilliCPU: int64(i)}, time.Second, i%2 == 0, epoch.Add(time.Duration(i)))
	}
	var second estimator.Estimator
	second.Import(first.Export())
	exported := second.Export()
	if !reflect.DeepEqual(exported, first.Export()) || len(exported) > 50 || len(exported) < 25 {
		t.Fatalf("%d classes exported", len(exported))
	}
	if latest := (estimator.Class{Name: "999"}); second.Estimate(latest, descriptor.Resources{}, 0).Samples != 1 {
		t.Fatal("the most recently seen class was evicted")
	}
}
