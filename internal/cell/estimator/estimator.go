// Package estimator learns the speed of workers and the latency of orders to them, and rates workers for a task by the time
// that it would take there. It compares run times of one step only where it can: callers' estimates may be wrong by
// any factor, which is the same for all tasks of a step.
package estimator

import (
	"math"
	"time"
)

const (
	// priorWeight is the number of comparisons that weigh as much as the assumption that a worker has the usual speed. Run
	// times of the tasks of a step vary about two and a half times as much as the speeds of workers do.
	priorWeight = 6
	// runVariance is the variance of the logarithm of the run times of the tasks of a step.
	runVariance = 0.2
	// minEvidence is the square of a deviation, by its standard error, from which the assumption weighs less: a worker that
	// deviates so far is not a usual one.
	minEvidence = 4
	// maxWeight limits the weight of former comparisons, so that a change of speed shows within about as many new ones.
	maxWeight = 24
	// soleWeight is the weight of a run that has no others of its step to be compared with. It is compared with callers'
	// estimates, which vary much more.
	soleWeight = 0.2
	// maxDeviation limits what one comparison tells, so that a single run that hangs doesn't decide.
	maxDeviation = 1
	// latencySmoothing is the weight of a new sample in the moving average of a latency.
	latencySmoothing = 0.1
	// minWork is the shortest work for which latency counts in proportion.
	minWork = 50 * time.Millisecond
	// maxSlackShare is the share of a step's slack that a poor worker may use up. What is left covers the delays that no
	// choice of a worker avoids.
	maxSlackShare = 0.2
	// usualSpread is by how much more than the usual time a task takes on a slow but sound worker.
	usualSpread = 0.25
	// soundFactor is up to where a worker counts as sound. Slower ones are avoided by all steps.
	soundFactor = 1.4
)

// Speed is what is known of the speed of a worker. The zero value is that of a worker of the usual speed, without any
// runs.
type Speed struct {
	// mean is the mean of the logarithm of the ratio of the worker's run times to the usual ones, and weight the weight of
	// the runs in it.
	mean, weight float64
	// factor is the estimate that follows; 0 before the first run.
	factor float64
}

// Factor returns by how much longer than usual tasks run on the worker.
func (speed *Speed) Factor() float64 {
	if speed.factor == 0 {
		return 1
	}
	return speed.factor
}

// ObserveSole notes the ratio of a run time to the usual one where no other run of the step is known.
func (speed *Speed) ObserveSole(ratio float64) {
	if ratio > 0 {
		speed.observe(math.Log(ratio), soleWeight)
	}
}

func (speed *Speed) observe(deviation, weight float64) {
	deviation = min(max(deviation, -maxDeviation), maxDeviation)
	former := min(speed.weight, maxWeight)
	speed.weight = former + weight
	speed.mean += (deviation - speed.mean) * weight / speed.weight
	evidence := speed.mean * speed.mean * speed.weight / runVariance
	prior := priorWeight / (1 + max(evidence-minEvidence, 0))
	speed.factor = math.Exp(speed.mean * speed.weight / (speed.weight + prior))
}

// Comparison collects the run times of the tasks of one step. The zero value is empty.
type Comparison struct {
	workers []workerRuns
}

// workerRuns are the runs on one worker. Those of one worker are not compared with each other: they tell nothing of it.
type workerRuns struct {
	speed *Speed
	count float64
	// sum is that of the logarithms of the run times.
	sum float64
}

// Add adds the run time of a task.
func (comparison *Comparison) Add(speed *Speed, runTime time.Duration) {
	if runTime <= 0 {
		return
	}
	logarithm := math.Log(runTime.Seconds())
	for index := range comparison.workers {
		if runs := &comparison.workers[index]; runs.speed == speed {
			runs.count++
			runs.sum += logarithm
			return
		}
	}
	comparison.workers = append(comparison.workers, workerRuns{
		speed: speed,
		count: 1,
		sum:   logarithm,
	})
}

// Settle has each worker learn from its runs compared with those on the others, and reports whether there were others. It
// is called when all tasks have ended: before, the short ones among them would be compared with each other.
func (comparison *Comparison) Settle() bool {
	if len(comparison.workers) < 2 {
		return false
	}
	var count, work float64
	for _, runs := range comparison.workers {
		count += runs.count
		work += runs.sum - runs.count*math.Log(runs.speed.Factor())
	}
	deviations := make([]float64, len(comparison.workers))
	for index, runs := range comparison.workers {
		others := work - runs.sum + runs.count*math.Log(runs.speed.Factor())
		deviations[index] = runs.sum/runs.count - others/(count-runs.count)
	}
	for index, runs := range comparison.workers {
		runs.speed.observe(deviations[index], 1/(1/runs.count+1/(count-runs.count)))
	}
	comparison.workers = nil
	return true
}

// Latency is how long orders to the workers of a data centre take to be answered. A task takes that much longer: its start
// takes one half, the report of its end the other. The zero value means that no order was answered yet.
type Latency struct {
	average time.Duration
}

// Note adds a sample.
func (latency *Latency) Note(sample time.Duration) {
	if latency.average == 0 {
		latency.average = sample
		return
	}
	latency.average += time.Duration(latencySmoothing * float64(sample-latency.average))
}

// Average returns the average; 0 if it is not known or latency is nil.
func (latency *Latency) Average() time.Duration {
	if latency == nil {
		return 0
	}
	return latency.average
}

// Task is what the choice of a worker for a task depends on.
type Task struct {
	// Work is the usual run time; 0 if it is not known.
	Work time.Duration
	// Tight means that the task's objective may depend on the worker.
	Tight bool
}

// NewTask returns the task for the usual run time, the time until it has to start and the highest latency of any worker.
func NewTask(work, slack, highest time.Duration) Task {
	return Task{
		Work:  work,
		Tight: usualSpread*float64(work)+float64(highest) > maxSlackShare*float64(slack),
	}
}

// Factor returns the time that the task takes on a worker, with the latency of orders to it, by the usual run time. All
// sound workers are alike to a task that has slack, so that the best ones are left to those that have none.
func (task Task) Factor(speed *Speed, latency *Latency) float64 {
	factor := speed.Factor()
	if !task.Tight {
		return max(factor, soundFactor)
	}
	if task.Work > 0 {
		factor += float64(latency.Average()) / float64(max(task.Work, minWork))
	}
	return factor
}
