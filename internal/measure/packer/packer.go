// Package packer draws the workers and the work of the deployments and packs the one with the other, to
// measure how full workers are at the first refusal.
package packer

import (
	"fmt"
	"math/rand/v2"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/placement/placer"
	"pomelomoor/internal/work/descriptor"
	"pomelomoor/internal/work/selector"
)

// Gigabyte is in bytes.
const Gigabyte = 1 << 30

// shape is one kind of task in a mix.
type shape struct {
	weight        int
	cores, memory [2]float64
	accelerators  int64
	where         string
	spread        parser.Spread
}

// mix is the work and the workers of a deployment.
type mix struct {
	capacities []descriptor.Resources
	shapes     []shape
}

var mixes = map[string]mix{
	"Kupferau": {
		capacities: []descriptor.Resources{{MilliCPU: 64_000, MemoryBytes: 256 * Gigabyte}},
		shapes: []shape{
			{weight: 30, cores: [2]float64{2, 8}, memory: [2]float64{8, 40}},
			{weight: 30, cores: [2]float64{0.5, 2}, memory: [2]float64{1, 4}},
			{weight: 20, cores: [2]float64{1, 4}, memory: [2]float64{2, 8}, spread: parser.SpreadRack},
			{weight: 15, cores: [2]float64{4, 8}, memory: [2]float64{16, 32}},
			{weight: 5, cores: [2]float64{16, 16}, memory: [2]float64{32, 64}},
		},
	},
	"Inkoni": {
		capacities: []descriptor.Resources{{MilliCPU: 16_000, MemoryBytes: 32 * Gigabyte}},
		shapes: []shape{
			{weight: 40, cores: [2]float64{0.25, 1}, memory: [2]float64{0.5, 2}},
			{weight: 25, cores: [2]float64{1, 2}, memory: [2]float64{2, 6}},
			{weight: 20, cores: [2]float64{0.5, 2}, memory: [2]float64{1, 2}, spread: parser.SpreadRack},
			{weight: 15, cores: [2]float64{2, 4}, memory: [2]float64{4, 8}},
		},
	},
	// Memory runs out before the processors do.
	"KupferauMemory": {
		capacities: []descriptor.Resources{{MilliCPU: 64_000, MemoryBytes: 256 * Gigabyte}},
		shapes: []shape{
			{weight: 35, cores: [2]float64{1, 4}, memory: [2]float64{8, 40}},
			{weight: 35, cores: [2]float64{0.5, 2}, memory: [2]float64{2, 8}},
			{weight: 20, cores: [2]float64{0.5, 2}, memory: [2]float64{4, 12}, spread: parser.SpreadRack},
			{weight: 10, cores: [2]float64{4, 16}, memory: [2]float64{32, 64}},
		},
	},
	"Target": {
		capacities: []descriptor.Resources{
			{MilliCPU: 64_000, MemoryBytes: 256 * Gigabyte},
			{MilliCPU: 32_000, MemoryBytes: 256 * Gigabyte},
			{MilliCPU: 64_000, MemoryBytes: 256 * Gigabyte, Accelerators: 8},
			{MilliCPU: 16_000, MemoryBytes: 32 * Gigabyte},
			{MilliCPU: 64_000, MemoryBytes: 128 * Gigabyte},
			{MilliCPU: 32_000, MemoryBytes: 128 * Gigabyte, Accelerators: 9},
			{MilliCPU: 16_000, MemoryBytes: 64 * Gigabyte},
		},
		shapes: []shape{
			{weight: 45, cores: [2]float64{0.25, 1.5}, memory: [2]float64{0.5, 4}},
			{weight: 20, cores: [2]float64{0.5, 2}, memory: [2]float64{1, 8}, spread: parser.SpreadRack},
			{weight: 20, cores: [2]float64{1, 3}, memory: [2]float64{4, 12}, where: "Disk=fast"},
			{weight: 8, cores: [2]float64{1, 4}, memory: [2]float64{4, 24}, accelerators: 1},
			{weight: 7, cores: [2]float64{2, 6}, memory: [2]float64{8, 24}},
		},
	},
}

// Generator draws workers and work of a mix. Equal seeds give equal sequences.
type Generator struct {
	mix
	// Random is the source of all draws.
	Random *rand.Rand
	wheres map[string]placer.Filter
	// Tasks is the number of tasks drawn so far.
	Tasks int
}

// New returns a generator of a mix, which is Kupferau, KupferauMemory, Inkoni or Target.
func New(name string, seed uint64) *Generator {
	generator := &Generator{
		mix:    mixes[name],
		Random: rand.New(rand.NewPCG(seed, 1)),
		wheres: map[string]placer.Filter{},
	}
	for _, shape := range generator.shapes {
		parsed, err := selector.Parse(shape.where)
		if err != nil {
			panic(err)
		}
		generator.wheres[shape.where] = placer.NewFilter(parsed)
	}
	return generator
}

// Fill adds workers of the mix.
func (generator *Generator) Fill(index *placer.Placer, workers int) {
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

// Draw returns the next task.
func (generator *Generator) Draw() (placer.Request, placer.Allocation) {
	total := 0
	for _, shape := range generator.shapes {
		total += shape.weight
	}
	pick := generator.Random.IntN(total)
	i := 0
	for pick >= generator.shapes[i].weight {
		pick -= generator.shapes[i].weight
		i++
	}
	shape := generator.shapes[i]
	between := func(limits [2]float64) float64 {
		return limits[0] + generator.Random.Float64()*(limits[1]-limits[0])
	}
	generator.Tasks++
	request := placer.Request{
		Job: descriptor.JobID(fmt.Sprint("job", generator.Tasks/10)),
		Need: descriptor.Resources{
			// Callers ask for round amounts.
			MilliCPU:     int64(between(shape.cores)*4) * 250,
			MemoryBytes:  int64(between(shape.memory)*4) * (Gigabyte / 4),
			Accelerators: shape.accelerators,
		},
		Filter: generator.wheres[shape.where],
		Spread: shape.spread,
	}
	return request, placer.Allocation{
		Run: descriptor.RunID{
			Job:  request.Job,
			Task: generator.Tasks,
		},
		Need: request.Need,
	}
}

// Pack fills empty workers of a mix until the first refusal and returns the used share of the resource
// that is used up first. The fractional upper bound is 1.
func Pack(name string, seed uint64, workers int) (float64, error) {
	var index placer.Placer
	generator := New(name, seed)
	generator.Fill(&index, workers)
	capacity, _ := index.Totals()
	for {
		request, reservation := generator.Draw()
		id, err := index.Place(request)
		if err != nil {
			break
		}
		if err := index.Allocate(id, reservation); err != nil {
			return 0, err
		}
	}
	_, free := index.Totals()
	return capacity.Sub(free).DominantShare(capacity), nil
}
