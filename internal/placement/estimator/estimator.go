// Package estimator learns how much classes of work really need and how long they run, from usage
// reports that lag behind and from the results of runs.
package estimator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"pomelomoor/internal/work/descriptor"
)

// Class identifies work that is expected to behave alike.
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

// State is what is known about one class, in the form for snapshots.
type State struct {
	Class Class
	// MilliCPU is a typical peak, MemoryBytes an upper bound of the peaks that decays slowly.
	MilliCPU    float64
	MemoryBytes float64
	// RunTime is a typical run time in seconds.
	RunTime float64
	// Samples counts the finished runs and Times those among them that ran to their end.
	Samples uint32
	Times   uint32
	// Seen is when the class was last reported.
	Seen time.Time
}

// Estimate is what a task is expected to need.
type Estimate struct {
	descriptor.Resources
	RunTime time.Duration
	// Samples is the number of finished runs behind the estimate.
	Samples uint32
}

const (
	// DefaultMaxClasses bounds the memory, because callers choose the names of classes.
	DefaultMaxClasses = 8192
	// DefaultRunTime is assumed of work that neither declares a run time nor was seen before.
	DefaultRunTime = 10 * time.Minute

	// minSamples is the number of finished runs from which learned values may replace declared ones.
	minSamples = 5
	// memoryMargin is added to the upper bound of memory, as later runs may exceed all earlier ones.
	memoryMargin = 1.1
	// memoryDecay is the part of the distance to a lower peak that the upper bound falls by per run.
	// With a part of 1/64, more than one run in a hundred exceeded the estimate.
	memoryDecay = 1.0 / 256
	// learningRate is the smallest weight of a new run in the typical values.
	learningRate = 1.0 / 16
	// maxStep bounds the logarithm of a new run time relative to the typical one, so that
	// stragglers, which take many times longer, hardly move it.
	maxStep = 0.7
)

// Estimator learns from reports. The zero value knows nothing and is ready.
type Estimator struct {
	// MaxClasses replaces DefaultMaxClasses.
	MaxClasses int
	// Reclaim allows estimates below the declared amounts once enough runs were seen. Otherwise the
	// declared amounts are the lower bound.
	Reclaim bool

	classes map[Class]*State
}

// Observe learns from a measurement of a task in progress. It can only raise the estimates, because
// the peak and the end are still to come.
func (estimator *Estimator) Observe(class Class, usage descriptor.Usage) {
	state := estimator.state(class, usage.At)
	state.MemoryBytes = max(state.MemoryBytes, float64(usage.MemoryBytes))
}

// Finish learns from a run that ended. Complete tells that it ran to its end in runTime; otherwise
// only its peak counts.
func (estimator *Estimator) Finish(class Class, peak descriptor.Resources, runTime time.Duration, complete bool, at time.Time) {
	state := estimator.state(class, at)
	state.Samples = saturate(state.Samples)
	memory := float64(peak.MemoryBytes)
	if memory >= state.MemoryBytes {
		state.MemoryBytes = memory
	} else if complete {
		state.MemoryBytes -= (state.MemoryBytes - memory) * memoryDecay
	}
	if !complete {
		return
	}
	state.Times = saturate(state.Times)
	weight := max(1/float64(state.Times), learningRate)
	state.MilliCPU += (float64(peak.MilliCPU) - state.MilliCPU) * weight
	seconds := max(runTime.Seconds(), 1e-3)
	if state.Times == 1 || state.RunTime <= 0 {
		state.RunTime = seconds
		return
	}
	step := math.Log(seconds / state.RunTime)
	state.RunTime *= math.Exp(min(max(step, -maxStep), maxStep) * weight)
}

func saturate(count uint32) uint32 {
	if count == math.MaxUint32 {
		return count
	}
	return count + 1
}

// Estimate returns what a task of the class is expected to need: a safe amount of memory, and a
// typical processor time and run time. The declared run time may be 0.
func (estimator *Estimator) Estimate(class Class, declared descriptor.Resources, runTime time.Duration) Estimate {
	estimate := Estimate{
		Resources: declared,
		RunTime:   cmp.Or(runTime, DefaultRunTime),
	}
	state, ok := estimator.classes[class]
	if !ok {
		return estimate
	}
	estimate.Samples = state.Samples
	memory := int64(math.Ceil(state.MemoryBytes * memoryMargin))
	cpu := int64(math.Ceil(state.MilliCPU))
	if estimator.Reclaim && state.Times >= minSamples {
		estimate.MemoryBytes = memory
		estimate.MilliCPU = cpu
	} else {
		// A class that has kept to its declared size needs no margin on top of it. With one, a shard of
		// exactly declared work would be packed to ten elevenths only.
		if state.MemoryBytes > float64(declared.MemoryBytes) {
			estimate.MemoryBytes = memory
		}
		estimate.MilliCPU = max(declared.MilliCPU, cpu)
	}
	if state.Times > 0 && (runTime <= 0 || state.Times >= minSamples) {
		estimate.RunTime = time.Duration(state.RunTime * float64(time.Second))
	}
	return estimate
}

// Remaining returns the expected rest of a run that has lasted for elapsed. A run that is over its
// estimate is a straggler, which is expected to take as long again.
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

// Export returns what is known, in order of class.
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

// Import replaces what is known of the classes in states.
func (estimator *Estimator) Import(states []State) {
	for _, state := range states {
		*estimator.state(state.Class, state.Seen) = state
	}
}

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

// evict forgets the half of the classes that was not seen for longest, so that its cost is spread
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
