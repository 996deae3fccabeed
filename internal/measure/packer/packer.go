// Package packer generates workers and tasks as in the deployments and places the tasks on the workers, to
// measure the utilization at which the placer first refuses a task.
package packer

import (
	"fmt"
	"math/rand/v2"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/placement/placer"
	"pomelomoor/internal/work/descriptor"
	"pomelomoor/internal/work/selector"
)

// GiB is 2^30 bytes.
const GiB = 1 << 30

// taskClass is a class of tasks of a workload. Cores and memory in GiB are drawn uniformly between two bounds.
type taskClass struct {
	weight        int
	cores, memory [2]float64
	accelerators  int64
	where         string
	spread        parser.Spread
}

// workload describes the workers and the tasks of a deployment.
type workload struct {
	capacities []descriptor.Resources
	classes    []taskClass
}

var workloads = map[string]workload{
	"Kupferau": {
		capacities: []descriptor.Resources{{MilliCPU: 64_000, MemoryBytes: 256 * GiB}},
		classes: []taskClass{
			{weight: 30, cores: [2]float64{2, 8}, memory: [2]float64{8, 40}},
			{weight: 30, cores: [2]float64{0.5, 2}, memory: [2]float64{1, 4}},
			{weight: 20, cores: [2]float64{1, 4}, memory: [2]float64{2, 8}, spread: parser.SpreadRack},
			{weight: 15, cores: [2]float64{4, 8}, memory: [2]float64{16, 32}},
			{weight: 5, cores: [2]float64{16, 16}, memory: [2]float64{32, 64}},
		},
	},
	"Inkoni": {
		capacities: []descriptor.Resources{{MilliCPU: 16_000, MemoryBytes: 32 * GiB}},
		classes: []taskClass{
			{weight: 40, cores: [2]float64{0.25, 1}, memory: [2]float64{0.5, 2}},
			{weight: 25, cores: [2]float64{1, 2}, memory: [2]float64{2, 6}},
			{weight: 20, cores: [2]float64{0.5, 2}, memory: [2]float64{1, 2}, spread: parser.SpreadRack},
			{weight: 15, cores: [2]float64{2, 4}, memory: [2]float64{4, 8}},
		},
	},
	// In this workload memory is used up before CPU.
	"KupferauMemory": {
		capacities: []descriptor.Resources{{MilliCPU: 64_000, MemoryBytes: 256 * GiB}},
		classes: []taskClass{
			{weight: 35, cores: [2]float64{1, 4}, memory: [2]float64{8, 40}},
			{weight: 35, cores: [2]float64{0.5, 2}, memory: [2]float64{2, 8}},
			{weight: 20, cores: [2]float64{0.5, 2}, memory: [2]float64{4, 12}, spread: parser.SpreadRack},
			{weight: 10, cores: [2]float64{4, 16}, memory: [2]float64{32, 64}},
		},
	},
	"Target": {
		capacities: []descriptor.Resources{
			{MilliCPU: 64_000, MemoryBytes: 256 * GiB},
			{MilliCPU: 32_000, MemoryBytes: 256 * GiB},
			{MilliCPU: 64_000, MemoryBytes: 256 * GiB, Accelerators: 8},
			{MilliCPU: 16_000, MemoryBytes: 32 * GiB},
			{MilliCPU: 64_000, MemoryBytes: 128 * GiB},
			{MilliCPU: 32_000, MemoryBytes: 128 * GiB, Accelerators: 9},
			{MilliCPU: 16_000, MemoryBytes: 64 * GiB},
		},
		classes: []taskClass{
			{weight: 45, cores: [2]float64{0.25, 1.5}, memory: [2]float64{0.5, 4}},
			{weight: 20, cores: [2]float64{0.5, 2}, memory: [2]float64{1, 8}, spread: parser.SpreadRack},
			{weight: 20, cores: [2]float64{1, 3}, memory: [2]float64{4, 12}, where: "Disk=fast"},
			{weight: 8, cores: [2]float64{1, 4}, memory: [2]float64{4, 24}, accelerators: 1},
			{weight: 7, cores: [2]float64{2, 6}, memory: [2]float64{8, 24}},
		},
	},
}

// Generator generates the workers and the tasks of a workload. Equal seeds give equal sequences.
type Generator struct {
	workload
	// Rand is the source of all random choices.
	Rand    *rand.Rand
	filters map[string]placer.Filter
	// TaskCount is the number of tasks drawn so far.
	TaskCount int
}

// NewGenerator returns a generator of the workload Kupferau, KupferauMemory, Inkoni or Target.
func NewGenerator(name string, seed uint64) *Generator {
	generator := &Generator{
		workload: workloads[name],
		Rand:     rand.New(rand.NewPCG(seed, 1)),
		filters:  map[string]placer.Filter{},
	}
	for _, taskClass := range generator.classes {
		parsed, err := selector.Parse(taskClass.where)
		if err != nil {
			panic(err)
		}
		generator.filters[taskClass.where] = placer.NewFilter(parsed)
	}
	return generator
}

// AddWorkers adds workers of the workload to the placer.
func (generator *Generator) AddWorkers(index *placer.Placer, workers int) {
	for i := range workers {
		worker := placer.Worker{
			ID: descriptor.WorkerID(fmt.Sprint("w", i)),
			Place: descriptor.Place{
				Site: fmt.Sprint("site", i/8%5),
				Rack: fmt.Sprint("rack", i/8),
			},
			Capacity: generator.capacities[i%len(generator.capacities)],
		}
		if i%3 > 0 {
			worker.Labels = descriptor.Labels{
				"Disk": "fast",
			}
		}
		if err := index.SetWorker(worker); err != nil {
			panic(err)
		}
	}
}

// NextTask returns the request and the allocation of the next task.
func (generator *Generator) NextTask() (placer.Request, placer.Allocation) {
	total := 0
	for _, taskClass := range generator.classes {
		total += taskClass.weight
	}
	pick := generator.Rand.IntN(total)
	i := 0
	for pick >= generator.classes[i].weight {
		pick -= generator.classes[i].weight
		i++
	}
	taskClass := generator.classes[i]
	uniform := func(bounds [2]float64) float64 {
		return bounds[0] + generator.Rand.Float64()*(bounds[1]-bounds[0])
	}
	generator.TaskCount++
	request := placer.Request{
		Job: descriptor.JobID(fmt.Sprint("job", generator.TaskCount/10)),
		Need: descriptor.Resources{
			// Callers request multiples of a quarter of a core or GiB.
			MilliCPU:     int64(uniform(taskClass.cores)*4) * 250,
			MemoryBytes:  int64(uniform(taskClass.memory)*4) * (GiB / 4),
			Accelerators: taskClass.accelerators,
		},
		Filter: generator.filters[taskClass.where],
		Spread: taskClass.spread,
	}
	return request, placer.Allocation{
		Run: descriptor.RunID{
			Job:  request.Job,
			Task: generator.TaskCount,
		},
		Need: request.Need,
	}
}

// Pack places tasks of a workload on empty workers until the first refusal. It returns the used share of the
// dominant resource, whose upper bound is 1 when tasks can be split.
func Pack(name string, seed uint64, workers int) (float64, error) {
	var index placer.Placer
	generator := NewGenerator(name, seed)
	generator.AddWorkers(&index, workers)
	capacity, _ := index.Totals()
	for {
		request, allocation := generator.NextTask()
		id, err := index.Place(request)
		if err != nil {
			break
		}
		if err := index.Allocate(id, allocation); err != nil {
			return 0, err
		}
	}
	_, free := index.Totals()
	return capacity.Sub(free).DominantShare(capacity), nil
}
