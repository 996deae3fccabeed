package descriptor

// Resources is an amount of each kind of worker resource.
type Resources struct {
	// MilliCPU is CPU capacity in thousandths of a core.
	MilliCPU int64
	// MemoryBytes is main memory.
	MemoryBytes int64
	// Accelerators is the number of whole accelerator devices.
	Accelerators int64
}

// Add returns the sum of resources and other.
func (resources Resources) Add(other Resources) Resources {
	return Resources{
		MilliCPU:     resources.MilliCPU + other.MilliCPU,
		MemoryBytes:  resources.MemoryBytes + other.MemoryBytes,
		Accelerators: resources.Accelerators + other.Accelerators,
	}
}

// Sub returns resources minus other. The components of the result may be negative.
func (resources Resources) Sub(other Resources) Resources {
	return Resources{
		MilliCPU:     resources.MilliCPU - other.MilliCPU,
		MemoryBytes:  resources.MemoryBytes - other.MemoryBytes,
		Accelerators: resources.Accelerators - other.Accelerators,
	}
}

// Scale returns resources multiplied by count.
func (resources Resources) Scale(count int64) Resources {
	return Resources{
		MilliCPU:     resources.MilliCPU * count,
		MemoryBytes:  resources.MemoryBytes * count,
		Accelerators: resources.Accelerators * count,
	}
}

// Fits reports whether each component of resources is at most that of capacity.
func (resources Resources) Fits(capacity Resources) bool {
	return resources.MilliCPU <= capacity.MilliCPU &&
		resources.MemoryBytes <= capacity.MemoryBytes &&
		resources.Accelerators <= capacity.Accelerators
}

// Negative reports whether any component is negative.
func (resources Resources) Negative() bool {
	return resources.MilliCPU < 0 || resources.MemoryBytes < 0 || resources.Accelerators < 0
}

// DominantShare returns the largest fraction that any component of resources takes of capacity.
// A component that is requested but absent from capacity counts as 1.
func (resources Resources) DominantShare(capacity Resources) float64 {
	share := fraction(resources.MilliCPU, capacity.MilliCPU)
	share = max(share, fraction(resources.MemoryBytes, capacity.MemoryBytes))
	return max(share, fraction(resources.Accelerators, capacity.Accelerators))
}

func fraction(part, total int64) float64 {
	switch {
	case part <= 0:
		return 0
	case total <= 0:
		return 1
	default:
		return float64(part) / float64(total)
	}
}
