package evictor_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"pomelomoor/internal/cell/evictor"
	"pomelomoor/internal/work/descriptor"
)

// TestChoose guards against more work being thrown away than a task needs.
func TestChoose(t *testing.T) {
	for _, test := range []struct {
		name     string
		needs    int64
		free     int64
		runs     []evictor.Run
		want     []int
		possible bool
	}{
		{name: "fits already", needs: 2, free: 2, runs: cores(1), possible: true},
		{name: "the least work", needs: 2, free: 1, runs: []evictor.Run{cpu(1, 9), cpu(1, 3), cpu(1, 5)}, want: []int{1}, possible: true},
		{name: "a needless run is spared", needs: 4, free: 0, runs: []evictor.Run{cpu(1, 1), cpu(4, 2)}, want: []int{1}, possible: true},
		{name: "several", needs: 3, free: 0, runs: []evictor.Run{cpu(1, 1), cpu(2, 1), cpu(4, 9)}, want: []int{0, 1}, possible: true},
		{name: "never", needs: 9, free: 1, runs: cores(3)},
	} {
		chosen, _, possible := evictor.Choose(descriptor.Resources{
			MilliCPU: test.needs,
		}, descriptor.Resources{
			MilliCPU: test.free,
		}, test.runs)
		if possible != test.possible || !slices.Equal(chosen, test.want) {
			t.Errorf("%s: %v, %v; want %v, %v", test.name, chosen, possible, test.want, test.possible)
		}
	}
}

func cpu(milliCPU int64, lost float64) evictor.Run {
	return evictor.Run{
		Needs: descriptor.Resources{
			MilliCPU: milliCPU,
		},
		Lost: lost,
	}
}

func cores(count int64) []evictor.Run {
	return []evictor.Run{cpu(count, 1)}
}

// TestChooseMinimal guards against a stopped run that the task could do without, and against room that is not enough.
func TestChooseMinimal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		resources := rapid.Custom(func(t *rapid.T) descriptor.Resources {
			return descriptor.Resources{
				MilliCPU:    rapid.Int64Range(0, 9).Draw(t, "cpu"),
				MemoryBytes: rapid.Int64Range(0, 9).Draw(t, "memory"),
			}
		})
		runs := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) evictor.Run {
			return evictor.Run{
				Needs: resources.Draw(t, "needs"),
				Lost:  rapid.Float64Range(0, 9).Draw(t, "lost"),
			}
		}), 0, 6).Draw(t, "runs")
		needs, free := resources.Draw(t, "task"), resources.Draw(t, "free")
		chosen, _, possible := evictor.Choose(needs, free, runs)
		fitsWithout := func(stopped []int) bool {
			room := free
			for _, index := range stopped {
				room = room.Add(runs[index].Needs)
			}
			return needs.MilliCPU <= room.MilliCPU && needs.MemoryBytes <= room.MemoryBytes
		}
		all := make([]int, len(runs))
		for index := range all {
			all[index] = index
		}
		if possible != fitsWithout(all) {
			t.Fatalf("possible: %v", possible)
		}
		if !possible {
			return
		}
		if !fitsWithout(chosen) {
			t.Fatalf("%v does not make enough room", chosen)
		}
		for position := range chosen {
			fewer := slices.Delete(slices.Clone(chosen), position, position+1)
			if fitsWithout(fewer) {
				t.Fatalf("%v is more than needed", chosen)
			}
		}
	})
}
