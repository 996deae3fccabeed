package planner

import (
	"time"

	"pomelomoor/internal/cell/describer"
)

const (
	// suspectTime is how long a worker that did not take an order gets no other.
	suspectTime = 500 * time.Millisecond
	// avoidAfter is the number of failed runs in a row after which a worker is avoided.
	avoidAfter = 2
	// avoidTime is how long a worker is avoided first; it doubles with each further failure.
	avoidTime = 2 * time.Second
	// mostAvoidTime bounds the time for which a worker is avoided.
	mostAvoidTime = 16 * time.Second
	// stallTime is how long a run may show no progress while its worker answers.
	stallTime = 2500 * time.Millisecond
	// learningRate weighs a new sample against the older ones.
	learningRate = 0.2
	// slowEnough is the factor from which on a worker is taken as slow.
	slowEnough = 2.5
)

// health is what the runs on a worker tell about it.
type health struct {
	// failures counts the failed runs since the last that was done.
	failures int
	// avoided is until when the worker gets no work.
	avoided time.Time
	// slowness is the run time against the usual one; 0 is unknown.
	slowness float64
}

func (health *health) suspect(now time.Time) {
	if until := now.Add(suspectTime); until.After(health.avoided) {
		health.avoided = until
	}
}

// factor is by how much the worker is slower than usual.
func (health *health) factor() float64 {
	if health.slowness == 0 {
		return 1
	}
	return health.slowness
}

// queueStats is what was learned of the jobs of a queue.
type queueStats struct {
	// ratio is the run time against the estimate; 0 is unknown.
	ratio float64
	// allowed is the share of the workers that the advice service allows; 0 is unknown.
	allowed float64
}

func (planner *Planner) stat(queue string) *queueStats {
	stats := planner.queues[queue]
	if stats == nil {
		stats = &queueStats{}
		planner.queues[queue] = stats
	}
	return stats
}

func learn(value, sample float64) float64 {
	if value == 0 {
		return sample
	}
	return value + learningRate*(sample-value)
}

// runTime estimates how long a task of step runs on a usual worker.
func (planner *Planner) runTime(step *step) time.Duration {
	ratio := step.job.queue.ratio
	if ratio == 0 {
		ratio = 1
	}
	return time.Duration(float64(step.Estimate) * ratio)
}

// learn takes the outcome of a run as evidence on its worker and its queue.
func (planner *Planner) learn(now time.Time, run *run, outcome describer.Outcome) {
	health := &run.worker.health
	switch outcome {
	case describer.OutcomeDone:
		health.failures = 0
		planner.learnTime(now, run)
	case describer.OutcomeFailed:
		health.failures++
		if health.failures < avoidAfter {
			return
		}
		shift := min(health.failures-avoidAfter, 8)
		planner.avoid(now, run.worker, min(avoidTime<<shift, mostAvoidTime), "runs fail")
	}
}

// learnTime compares a run that was done from its start with the estimate.
func (planner *Planner) learnTime(now time.Time, run *run) {
	step := run.task.step
	if step.Estimate <= 0 || run.confirmed.IsZero() || run.number > 1 || step.Perpetual {
		return
	}
	ratio := float64(now.Sub(run.placed)) / float64(step.Estimate)
	usual := step.job.queue.ratio
	step.job.queue.ratio = min(max(learn(usual, ratio), 0.3), 4)
	if usual > 0 {
		run.worker.health.slowness = learn(run.worker.health.factor(), min(ratio/usual, 2*slowEnough))
	}
}

func (planner *Planner) avoid(now time.Time, worker *worker, time time.Duration, reason string) {
	worker.health.avoided = now.Add(time)
	planner.stats.Quarantines++
	planner.emit(Event{
		Kind:   EventWorkerAvoided,
		Worker: worker.id,
		Detail: reason,
		Age:    time,
	})
}

// checkStall stops a run that makes no progress on a worker that answers.
func (planner *Planner) checkStall(now time.Time, run *run) {
	step := run.task.step
	if run.phase != phaseRunning || step.Perpetual || step.Gang || run.percent >= 100 {
		return
	}
	if now.Sub(run.progressed) < max(stallTime, planner.runTime(step)/8) {
		return
	}
	planner.avoid(now, run.worker, 2*avoidTime, "run makes no progress")
	planner.stop(now, run, "no progress")
}
