// Package estimator predicts the resource usage and the run time of each class of work from usage
// reports, which arrive with a delay, and from the results of runs.
package estimator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"pomelomoor/internal/work/descriptor"
)

// Class identifies work that is expected to have similar resource usage and run times.
type Class struct {
	Caller string
	Name   string
	Kind   descriptor.Kind
}

// ClassOf returns the class of a job.
func ClassOf(job *descriptor.Job) Class {
	return Class{
		Caller: job.Caller,
		Name:   job.Name,
		Kind:   job.Kind,
	}
}

// ClassStats holds the statistics of one class, in the form in which snapshots store them.
type ClassStats struct {
	Class Class
	// MilliCPU is a moving average of the peaks of completed runs. MemoryBytes is a slowly decaying
	// upper bound of the peaks.
	MilliCPU    float64
	MemoryBytes float64
	// RunTime is a moving geometric mean of the run times in seconds.
	RunTime float64
	// Samples counts the runs that ended, and Completed those of them that ran to completion.
	Samples   uint32
	Completed uint32
	// LastSeen is the time of the latest report for the class.
	LastSeen time.Time
}

// Estimate is the expected resource usage and run time of a task.
type Estimate struct {
	descriptor.Resources
	RunTime time.Duration
	// Samples is the number of ended runs that the estimate is based on.
	Samples uint32
}

const (
	// DefaultMaxClasses limits the number of classes, because callers choose their names and could
	// otherwise use up the memory.
	DefaultMaxClasses = 8192
	// DefaultRunTime is the estimate for work that declares no run time and has no completed runs.
	DefaultRunTime = 10 * time.Minute

	// minSamples is the number of completed runs after which measured values may replace declared ones.
	minSamples = 5
	// memoryMarginFactor multiplies the upper bound of memory, as later runs may exceed all earlier ones.
	memoryMarginFactor = 1.1
	// memoryDecayPerRun is the fraction by which the upper bound of memory approaches the peak of a run
	// below it. With 1/64, more than one run in a hundred exceeded the estimate.
	memoryDecayPerRun = 1.0 / 256
	// minLearningRate is the smallest weight of a new run in the moving averages.
	minLearningRate = 1.0 / 16
	// maxLogStep bounds the logarithm of the ratio of a new run time to the average, so that
	// stragglers, which take many times longer, have little influence on the average.
	maxLogStep = 0.7
)

// Estimator keeps statistics for each class of work. The zero value is empty and ready to use.
type Estimator struct {
	// MaxClasses replaces DefaultMaxClasses.
	MaxClasses int
	// Reclaim allows estimates below the declared amounts after minSamples completed runs. Otherwise
	// the declared amounts are the lower bound.
	Reclaim bool

	classes map[Class]*ClassStats
}

// Observe records a usage measurement of a running task. It can only raise the estimate of memory,
// because the task may still reach a higher peak.
func (estimator *Estimator) Observe(class Class, usage descriptor.Usage) {
	stats := estimator.statsFor(class, usage.At)
	stats.MemoryBytes = max(stats.MemoryBytes, float64(usage.MemoryBytes))
}

// Finish records a run that ended. If completed is false, the run was cut short: its run time is
// ignored, and its peak can only raise the estimate of memory.
func (estimator *Estimator) Finish(class Class, peak descriptor.Resources, runTime time.Duration, completed bool, at time.Time) {
	stats := estimator.statsFor(class, at)
	stats.Samples = saturatingIncrement(stats.Samples)
	memory := float64(peak.MemoryBytes)
	if memory >= stats.MemoryBytes {
		stats.MemoryBytes = memory
	} else if completed {
		stats.MemoryBytes -= (stats.MemoryBytes - memory) * memoryDecayPerRun
	}
	if !completed {
		return
	}
	stats.Completed = saturatingIncrement(stats.Completed)
	weight := max(1/float64(stats.Completed), minLearningRate)
	stats.MilliCPU += (float64(peak.MilliCPU) - stats.MilliCPU) * weight
	seconds := max(runTime.Seconds(), 1e-3)
	if stats.Completed == 1 || stats.RunTime <= 0 {
		stats.RunTime = seconds
		return
	}
	logRatio := math.Log(seconds / stats.RunTime)
	stats.RunTime *= math.Exp(min(max(logRatio, -maxLogStep), maxLogStep) * weight)
}

func saturatingIncrement(count uint32) uint32 {
	if count == math.MaxUint32 {
		return count
	}
	return count + 1
}

// Estimate returns the expected usage of a task of the class: an upper bound of memory, and averages
// of processor time and run time. A declaredRunTime of 0 means that none was declared.
func (estimator *Estimator) Estimate(class Class, declared descriptor.Resources, declaredRunTime time.Duration) Estimate {
	estimate := Estimate{
		Resources: declared,
		RunTime:   cmp.Or(declaredRunTime, DefaultRunTime),
	}
	stats, ok := estimator.classes[class]
	if !ok {
		return estimate
	}
	estimate.Samples = stats.Samples
	memory := int64(math.Ceil(stats.MemoryBytes * memoryMarginFactor))
	cpu := int64(math.Ceil(stats.MilliCPU))
	if estimator.Reclaim && stats.Completed >= minSamples {
		estimate.MemoryBytes = memory
		estimate.MilliCPU = cpu
	} else {
		// The margin applies only to classes that exceeded their declared memory. Otherwise a shard of
		// work that uses exactly what it declares would be filled to ten elevenths only.
		if stats.MemoryBytes > float64(declared.MemoryBytes) {
			estimate.MemoryBytes = memory
		}
		estimate.MilliCPU = max(declared.MilliCPU, cpu)
	}
	if stats.Completed > 0 && (declaredRunTime <= 0 || stats.Completed >= minSamples) {
		estimate.RunTime = time.Duration(stats.RunTime * float64(time.Second))
	}
	return estimate
}

// Remaining returns the expected remaining time of a run that has lasted for elapsed. A run that has
// exceeded its estimate is expected to take as long again.
func (estimate Estimate) Remaining(elapsed time.Duration) time.Duration {
	if elapsed < estimate.RunTime {
		return estimate.RunTime - elapsed
	}
	return elapsed
}

// Straggling reports whether a run has lasted for more than four times its estimate.
func (estimate Estimate) Straggling(elapsed time.Duration) bool {
	return elapsed/4 > estimate.RunTime
}

// Export returns the statistics of all classes, sorted by class.
func (estimator *Estimator) Export() []ClassStats {
	allStats := make([]ClassStats, 0, len(estimator.classes))
	for _, stats := range estimator.classes {
		allStats = append(allStats, *stats)
	}
	slices.SortFunc(allStats, func(a, b ClassStats) int {
		return cmp.Or(
			cmp.Compare(a.Class.Caller, b.Class.Caller),
			cmp.Compare(a.Class.Name, b.Class.Name),
			cmp.Compare(a.Class.Kind, b.Class.Kind),
		)
	})
	return allStats
}

// Import replaces the statistics of the classes in allStats.
func (estimator *Estimator) Import(allStats []ClassStats) {
	for _, stats := range allStats {
		*estimator.statsFor(stats.Class, stats.LastSeen) = stats
	}
}

// statsFor returns the statistics of a class, which it creates if necessary, and updates their LastSeen
// time.
func (estimator *Estimator) statsFor(class Class, at time.Time) *ClassStats {
	if stats, ok := estimator.classes[class]; ok {
		if stats.LastSeen.Before(at) {
			stats.LastSeen = at
		}
		return stats
	}
	if estimator.classes == nil {
		estimator.classes = map[Class]*ClassStats{}
	}
	if len(estimator.classes) >= cmp.Or(max(estimator.MaxClasses, 0), DefaultMaxClasses) {
		estimator.evict()
	}
	stats := &ClassStats{
		Class:    class,
		LastSeen: at,
	}
	estimator.classes[class] = stats
	return stats
}

// evict removes the least recently seen half of the classes. Removing many at once spreads the cost
// over many additions.
func (estimator *Estimator) evict() {
	allStats := estimator.Export()
	slices.SortStableFunc(allStats, func(a, b ClassStats) int {
		return a.LastSeen.Compare(b.LastSeen)
	})
	for _, stats := range allStats[:(len(allStats)+1)/2] {
		delete(estimator.classes, stats.Class)
	}
}
