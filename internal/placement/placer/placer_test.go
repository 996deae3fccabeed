package placer_test

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/placement/placer"
	"pomelomoor/internal/work/descriptor"
	"pomelomoor/internal/work/selector"
)

// model is a reference implementation of the contents of a Placer.
type model struct {
	placer      placer.Placer
	workers     map[descriptor.WorkerID]placer.Worker
	runs        map[descriptor.RunID]descriptor.WorkerID
	allocations map[descriptor.RunID]placer.Allocation
	hold        placer.Hold
	lastTask    int
}

func (model *model) free(id descriptor.WorkerID) descriptor.Resources {
	free := model.workers[id].Capacity
	for run, worker := range model.runs {
		if worker == id {
			free = free.Sub(model.allocations[run].Need)
		}
	}
	return free
}

var epoch = time.Unix(1_800_000_000, 0)

func drawNeed(t *rapid.T) descriptor.Resources {
	return descriptor.Resources{
		MilliCPU:     rapid.Int64Range(0, 9).Draw(t, "cpu"),
		MemoryBytes:  rapid.Int64Range(0, 9).Draw(t, "memory"),
		Accelerators: rapid.SampledFrom([]int64{0, 0, 0, 1, 3}).Draw(t, "accelerators"),
	}
}

func drawRequest(t *rapid.T) (placer.Request, func(descriptor.Labels) bool) {
	text := rapid.SampledFrom([]string{"", "Disk=fast", "!Disk", "Site=a"}).Draw(t, "where")
	where, err := selector.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return placer.Request{
		Job:    descriptor.JobID(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "job"))),
		Need:   drawNeed(t),
		Filter: placer.NewFilter(where),
		Spread: rapid.SampledFrom([]parser.Spread{"", parser.SpreadRack, parser.SpreadWorker}).Draw(t, "spread"),
		End:    epoch.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "end"))),
	}, where.Matches
}

func (model *model) setWorker(t *rapid.T) {
	worker := placer.Worker{
		ID: descriptor.WorkerID(fmt.Sprint("w", rapid.IntRange(0, 7).Draw(t, "worker"))),
		Place: descriptor.Place{
			Site: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "site"),
			Rack: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "rack"),
		},
		Capacity: drawNeed(t).Scale(2),
		State:    rapid.SampledFrom([]placer.WorkerState{placer.InUse, placer.InUse, placer.InUse, placer.Leaving, placer.Quarantined}).Draw(t, "state"),
	}
	if rapid.Bool().Draw(t, "disk") {
		worker.Labels = descriptor.Labels{
			"Disk": "fast",
		}
	}
	if err := model.placer.SetWorker(worker); err != nil {
		t.Fatal(err)
	}
	model.workers[worker.ID] = worker
}

// usable reports whether the request may use the worker at all.
func (model *model) usable(request placer.Request, matches func(descriptor.Labels) bool, worker placer.Worker) bool {
	labels := descriptor.Labels{
		"Site": worker.Place.Site,
	}
	maps.Copy(labels, worker.Labels)
	held := slices.Contains(model.hold.Workers, worker.ID) && request.End.After(model.hold.Start)
	return worker.State == placer.InUse && !held && matches(labels)
}

// placeGang places tasks and compares the outcome with a count of the tasks that fit on all workers.
func (model *model) placeGang(t *rapid.T) {
	request, matches := drawRequest(t)
	n := rapid.IntRange(1, 5).Draw(t, "tasks")
	if request.Need == (descriptor.Resources{}) {
		return
	}
	fitting := 0
	for id, worker := range model.workers {
		free := model.free(id)
		for model.usable(request, matches, worker) && !free.Negative() && request.Need.Fits(free) {
			free = free.Sub(request.Need)
			fitting++
		}
	}
	placed, err := model.placer.PlaceGang(request, n)
	if n == 1 {
		var chosen descriptor.WorkerID
		chosen, err = model.placer.Place(request)
		placed = []descriptor.WorkerID{chosen}
	}
	if (err == nil) != (fitting >= n) {
		t.Fatalf("gang of %d where %d tasks fit: %v", n, fitting, err)
	}
	var refusal *placer.Refusal
	if err != nil {
		if !errors.As(err, &refusal) || refusal.Workers != len(model.workers) {
			t.Fatalf("refusal %#v", err)
		}
		return
	}
	if len(placed) != n {
		t.Fatalf("placed %d of %d", len(placed), n)
	}
	for _, id := range placed {
		if !model.usable(request, matches, model.workers[id]) {
			t.Fatalf("placed on %v, which may not be used", id)
		}
		model.lastTask++
		allocation := placer.Allocation{
			Run: descriptor.RunID{
				Job:  request.Job,
				Task: model.lastTask,
			},
			Need:        request.Need,
			Rank:        rapid.IntRange(0, 2).Draw(t, "rank"),
			Preemptible: rapid.Bool().Draw(t, "preemptible"),
			End:         request.End,
		}
		if err := model.placer.Allocate(id, allocation); err != nil {
			t.Fatalf("the placement does not fit: %v", err)
		}
		model.runs[allocation.Run] = id
		model.allocations[allocation.Run] = allocation
	}
}

// allocate allocates capacity on any worker, without a placement.
func (model *model) allocate(t *rapid.T) {
	id := descriptor.WorkerID(fmt.Sprint("w", rapid.IntRange(0, 7).Draw(t, "worker")))
	model.lastTask++
	allocation := placer.Allocation{
		Run:  descriptor.RunID{Task: model.lastTask},
		Need: drawNeed(t),
	}
	_, known := model.workers[id]
	fits := known && allocation.Need.Fits(model.free(id))
	if err := model.placer.Allocate(id, allocation); (err == nil) != fits {
		t.Fatalf("allocate %v with %v free: %v", allocation.Need, model.free(id), err)
	}
	if fits {
		model.runs[allocation.Run] = id
		model.allocations[allocation.Run] = allocation
		if err := model.placer.Allocate(id, allocation); !errors.Is(err, placer.ErrAllocated) {
			t.Fatalf("allocating to the same run again: %v", err)
		}
	}
}

// forecast checks that the gang fits on the held workers after the runs that are expected to end by
// the start of the hold.
func (model *model) forecast(t *rapid.T) {
	request, _ := drawRequest(t)
	tasks, fitting := rapid.IntRange(1, 3).Draw(t, "tasks"), 0
	hold, ok := model.placer.Forecast(request, tasks, epoch.Add(2))
	model.hold = hold
	for _, id := range hold.Workers {
		free := model.free(id)
		for run, allocation := range model.allocations {
			if model.runs[run] == id && !allocation.End.IsZero() && !allocation.End.After(hold.Start) {
				free = free.Add(allocation.Need)
			}
		}
		for fitting < tasks && !free.Negative() && request.Need.Fits(free) {
			free = free.Sub(request.Need)
			fitting++
		}
	}
	if ok && (fitting < tasks || hold.Start.Before(epoch.Add(2))) {
		t.Fatalf("forecast %v fits %d of %d tasks", hold, fitting, tasks)
	}
}

func (model *model) drawRun(t *rapid.T) descriptor.RunID {
	if len(model.runs) == 0 {
		t.Skip("no run")
	}
	runs := slices.SortedFunc(maps.Keys(model.runs), func(a, b descriptor.RunID) int {
		return a.Task - b.Task
	})
	return rapid.SampledFrom(runs).Draw(t, "run")
}

func (model *model) release(t *rapid.T) {
	run := model.drawRun(t)
	if err := model.placer.Release(run); err != nil {
		t.Fatal(err)
	}
	delete(model.runs, run)
	delete(model.allocations, run)
}

func (model *model) updateAllocation(t *rapid.T) {
	changed := model.allocations[model.drawRun(t)]
	free := model.free(model.runs[changed.Run])
	grown := drawNeed(t)
	growth := grown.Sub(changed.Need)
	changed.Need = grown
	fits := growth.MilliCPU <= max(0, free.MilliCPU) && growth.MemoryBytes <= max(0, free.MemoryBytes) &&
		growth.Accelerators <= max(0, free.Accelerators)
	if err := model.placer.UpdateAllocation(changed); (err == nil) != fits {
		t.Fatalf("change by %v with %v free: %v", growth, free, err)
	}
	if fits {
		model.allocations[changed.Run] = changed
	}
}

// findVictims checks that the preemption of all returned victims, and not of fewer, is sufficient.
func (model *model) findVictims(t *rapid.T) {
	need, rank := drawNeed(t), rapid.IntRange(0, 2).Draw(t, "above")
	for id := range model.workers {
		victims, ok := model.placer.FindVictims(id, need, rank)
		free := model.free(id)
		for _, victim := range victims {
			allocation := model.allocations[victim]
			if model.runs[victim] != id || !allocation.Preemptible || allocation.Rank <= rank {
				t.Fatalf("%v on %v may not be preempted", victim, id)
			}
			free = free.Add(allocation.Need)
		}
		if ok && !need.Fits(free) {
			t.Fatalf("preempting %v on %v does not free enough for %v", victims, id, need)
		}
		for _, victim := range victims {
			if ok && need.Fits(free.Sub(model.allocations[victim].Need)) {
				t.Fatalf("preempting %v on %v is not needed for %v", victim, id, need)
			}
		}
	}
}

// TestRandomOperations guards against allocations beyond a worker's capacity, partially placed gangs,
// refusals although there is enough capacity, placements on workers that accept no runs, and an index
// that differs from the allocations.
func TestRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &model{
			workers:     map[descriptor.WorkerID]placer.Worker{},
			runs:        map[descriptor.RunID]descriptor.WorkerID{},
			allocations: map[descriptor.RunID]placer.Allocation{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"SetWorker":        model.setWorker,
			"Place":            model.placeGang,
			"Allocate":         model.allocate,
			"Release":          model.release,
			"UpdateAllocation": model.updateAllocation,
			"FindVictims":      model.findVictims,
			"RemoveWorker": func(t *rapid.T) {
				id := descriptor.WorkerID(fmt.Sprint("w", rapid.IntRange(0, 7).Draw(t, "worker")))
				for _, removed := range model.placer.RemoveWorker(id) {
					delete(model.runs, removed.Run)
					delete(model.allocations, removed.Run)
				}
				delete(model.workers, id)
			},
			"Hold": func(t *rapid.T) {
				model.forecast(t)
				model.placer.SetHold(model.hold)
			},
			"": func(t *rapid.T) {
				for id, worker := range model.workers {
					_, free, ok := model.placer.Worker(id)
					if want := model.free(id); !ok || free != want || len(model.placer.Allocations(id)) > len(model.runs) {
						t.Fatalf("%v: free %v, want %v", worker, free, want)
					}
				}
			},
		})
	})
}

// TestPreferences guards against work without accelerators on accelerator workers while it fits on
// others, against tasks of one job on too few racks or workers, and against trial runs of work that
// does not allow them.
func TestPreferences(t *testing.T) {
	var index placer.Placer
	set := func(i int, accelerators int64, state placer.WorkerState) {
		if err := index.SetWorker(placer.Worker{
			ID:       descriptor.WorkerID(fmt.Sprint("w", i)),
			Place:    descriptor.Place{Rack: fmt.Sprint(i / 4)},
			Capacity: descriptor.Resources{MilliCPU: 10, Accelerators: accelerators},
			State:    state,
		}); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 16 {
		set(i, int64(i/12), placer.InUse)
	}
	need := descriptor.Resources{MilliCPU: 1}
	for _, spread := range []parser.Spread{parser.SpreadRack, parser.SpreadWorker} {
		racks, workers := map[string]int{}, map[descriptor.WorkerID]int{}
		placed, err := index.PlaceGang(placer.Request{Job: "j", Need: need, Spread: spread}, 12)
		if err != nil {
			t.Fatal(err)
		}
		for _, id := range placed {
			worker, _, _ := index.Worker(id)
			racks[worker.Place.Rack]++
			workers[id]++
		}
		if spread == parser.SpreadRack && (len(racks) != 4 || racks["0"] != 3 || racks["3"] != 3) || len(workers) != 12 {
			t.Errorf("spread by %v: racks %v, workers %v", spread, racks, workers)
		}
	}
	for i := range 12 {
		id, err := index.Place(placer.Request{Need: need.Scale(10)})
		if err != nil || index.Allocate(id, placer.Allocation{Run: descriptor.RunID{Task: i}, Need: need.Scale(10)}) != nil {
			t.Fatal(err)
		}
		if worker, _, _ := index.Worker(id); worker.Capacity.Accelerators > 0 {
			t.Fatalf("task %d needs no accelerator but is on an accelerator worker", i)
		}
	}
	set(16, 0, placer.Trial)
	for allowed, want := range map[bool]descriptor.WorkerID{true: "w16", false: "w12"} {
		if id, err := index.Place(placer.Request{Need: need, PreferTrial: allowed}); err != nil || (id == "w16") != (want == "w16") {
			t.Errorf("trial allowed %v: placed on %v: %v", allowed, id, err)
		}
	}
	for _, refused := range []struct {
		request placer.Request
		want    error
	}{
		{placer.Request{Need: need.Scale(11)}, placer.ErrTooLarge},
		{placer.Request{Need: descriptor.Resources{MilliCPU: 1, Accelerators: 2}}, placer.ErrTooLarge},
	} {
		if _, err := index.Place(refused.request); !errors.Is(err, refused.want) {
			t.Errorf("%+v: %v, want %v", refused.request.Need, err, refused.want)
		}
	}
	if _, err := index.PlaceGang(placer.Request{Need: need.Scale(10)}, 5); !errors.Is(err, placer.ErrNoCapacity) {
		t.Errorf("a gang that would fit on empty workers: %v", err)
	}
}
