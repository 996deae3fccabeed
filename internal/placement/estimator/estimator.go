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

// State holds the statistics of one class, in the form in which snapshots store them.
type State struct {
	Class Class
	// MilliCPU is a moving average of the peaks of completed runs. MemoryBytes is a slowly decaying
	// upper bound of the peaks.
	MilliCPU    float64
	MemoryBytes float64
	// RunTime is a moving geometric mean of the run times in seconds.
	RunTime float64
	// Samples counts the runs that ended, and Times those of them that ran to completion.
	Samples uint32
	Times   uint32
	// Seen is the time of the latest report for the class.
	Seen time.Time
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

	classes map[Class]*State
}

// Observe records a usage measurement of a running task. It can only raise the estimate of memory,
// because the task may still reach a higher peak.
func (estimator *Estimator) Observe(class Class, usage descriptor.Usage) {
	state := estimator.state(class, usage.At)
	state.MemoryBytes = max(state.MemoryBytes, float64(usage.MemoryBytes))
}

// Finish records a run that ended. If completed is false, the run was cut short: its run time is
// ignored, and its peak can only raise the estimate of memory.
func (estimator *Estimator) Finish(class Class, peak descriptor.Resources, runTime time.Duration, completed bool, at time.Time) {
	state := estimator.state(class, at)
	state.Samples = saturatingIncrement(state.Samples)
	memory := float64(peak.MemoryBytes)
	if memory >= state.MemoryBytes {
		state.MemoryBytes = memory
	} else if completed {
		state.MemoryBytes -= (state.MemoryBytes - memory) * memoryDecayPerRun
	}
	if !completed {
		return
	}
	state.Times = saturatingIncrement(state.Times)
	weight := max(1/float64(state.Times), minLearningRate)
	state.MilliCPU += (float64(peak.MilliCPU) - state.MilliCPU) * weight
	seconds := max(runTime.Seconds(), 1e-3)
	if state.Times == 1 || state.RunTime <= 0 {
		state.RunTime = seconds
		return
	}
	logRatio := math.Log(seconds / state.RunTime)
	state.RunTime *= math.Exp(min(max(logRatio, -maxLogStep), maxLogStep) * weight)
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
	state, ok := estimator.classes[class]
	if !ok {
		return estimate
	}
	estimate.Samples = state.Samples
	memory := int64(math.Ceil(state.MemoryBytes * memoryMarginFactor))
	cpu := int64(math.Ceil(state.MilliCPU))
	if estimator.Reclaim && state.Times >= minSamples {
		estimate.MemoryBytes = memory
		estimate.MilliCPU = cpu
	} else {
		// The margin applies only to classes that exceeded their declared memory. Otherwise a shard of
		// work that uses exactly what it declares would be filled to ten elevenths only.
		if state.MemoryBytes > float64(declared.MemoryBytes) {
			estimate.MemoryBytes = memory
		}
		estimate.MilliCPU = max(declared.MilliCPU, cpu)
	}
	if state.Times > 0 && (declaredRunTime <= 0 || state.Times >= minSamples) {
		estimate.RunTime = time.Duration(state.RunTime * float64(time.Second))
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
func (estimator *Estimator) Export() []State {
	states := make([]State, 0, len(estimator.classes))
	for _, state := range estimator.classes {
		states = append(states, *state)
	}
	slices.SortFunc(states, func(a, b State) int {
		return cmp.Or(
			cmp.Compare(a.Class.Caller, b.Class.Caller),
			cmp.Compare(a.Class.Name, b.Class.Name),
			cmp.Compare(a.Class.Kind, b.Class.Kind),
		)
	})
	return states
}

// Import replaces the statistics of the classes in states.
func (estimator *Estimator) Import(states []State) {
	for _, state := range states {
		*estimator.state(state.Class, state.Seen) = state
	}
}

// state returns the statistics of a class, which it creates if necessary, and updates their Seen time.
func (estimator *Estimator) state(class Class, at time.Time) *State {
	if state, ok := estimator.classes[class]; ok {
		if state.Seen.Before(at) {
			state.Seen = at
		}
		return state
	}
	if estimator.classes == nil {
		estimator.classes = map[Class]*State{}
	}
	if len(estimator.classes) >= cmp.Or(max(estimator.MaxClasses, 0), DefaultMaxClasses) {
		estimator.evict()
	}
	state := &State{
		Class: class,
		Seen:  at,
	}
	estimator.classes[class] = state
	return state
}

// evict removes the least recently seen half of the classes. Removing many at once spreads the cost
// over many additions.
func (estimator *Estimator) evict() {
	states := estimator.Export()
	slices.SortStableFunc(states, func(a, b State) int {
		return a.Seen.Compare(b.Seen)
	})
	for _, state := range states[:(len(states)+1)/2] {
		delete(estimator.classes, state.Class)
	}
}
