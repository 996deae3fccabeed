package checker

import (
	"fmt"
	"math"
	"strings"

	"pomelomoor/internal/work/descriptor"
)

// Facts are what is known of a cell beside its configuration.
type Facts struct {
	// CapOverage is the share by which a gang may exceed the cap of its organisation.
	CapOverage float64
	Workers    []Workers
	Work       []Work
}

// Workers are a number of workers that are alike.
type Workers struct {
	Service  string
	Labels   descriptor.Labels
	Capacity descriptor.Resources
	Count    int
}

// Work is what was seen of the jobs of one organisation, or team, in one queue.
type Work struct {
	Queue        string
	Organisation string
	// Task is the largest need of a task.
	Task descriptor.Resources
	// Gang is the widest gang.
	Gang Gang
	// LongestChain is the longest run time of a chain of dependent tasks.
	LongestChain descriptor.Duration
	// Jobs is the number of jobs that have not ended, and Used what runs of them.
	Jobs int
	Used descriptor.Resources
}

// Gang is a number of tasks that need the same and run at the same time.
type Gang struct {
	Task  descriptor.Resources
	Tasks int
}

// room returns the capacity of all workers.
func (facts *Facts) room() total {
	var room total
	for _, workers := range facts.Workers {
		room = room.add(workers.Capacity, workers.Count)
	}
	return room
}

// total is a sum of resources by index of descriptor.Resources' components. Sums of integers could overflow.
type total [len(componentNames)]float64

// componentNames are the fields of descriptor.Resources.
var componentNames = [...]string{"MilliCPU", "MemoryBytes", "Accelerators"}

func components(resources descriptor.Resources) total {
	return total{float64(resources.MilliCPU), float64(resources.MemoryBytes), float64(resources.Accelerators)}
}

func (total total) add(resources descriptor.Resources, count int) total {
	for index, amount := range components(resources) {
		total[index] += amount * float64(count)
	}
	return total
}

// amount returns one component as text.
func amount(component int, value float64) string {
	switch componentNames[component] {
	case "MilliCPU":
		return fmt.Sprintf("%.6g cores", value/1000)
	case "MemoryBytes":
		return fmt.Sprintf("%.6g MiB", math.Round(value/(1<<20)))
	default:
		return fmt.Sprintf("%.6g accelerators", value)
	}
}

// amounts returns the components that are not 0 as text.
func amounts(resources descriptor.Resources) string {
	var parts []string
	for component, value := range components(resources) {
		if value != 0 {
			parts = append(parts, amount(component, value))
		}
	}
	if parts == nil {
		return "nothing"
	}
	return strings.Join(parts, ", ")
}
