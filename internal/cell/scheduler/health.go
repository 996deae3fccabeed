package scheduler

import (
	"fmt"
	"time"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/estimator"
)

const (
	// suspectPeriod is how long a worker gets no new runs after it failed to accept an order.
	suspectPeriod = 500 * time.Millisecond
	// refusalThreshold is the number of start orders of a task in a row that were not accepted from which the task waits
	// before the next, and no worker is avoided for its sake.
	refusalThreshold = 3
	// minRefusalDelay is the first such wait; it doubles each time up to maxRefusalDelay.
	minRefusalDelay = 100 * time.Millisecond
	maxRefusalDelay = 5 * time.Second
	// quarantineThreshold is the number of consecutive failed runs that count after which a worker is quarantined.
	quarantineThreshold = 2
	// initialQuarantinePeriod is how long a worker is quarantined at first; it doubles with each further failure.
	initialQuarantinePeriod = 2 * time.Second
	// maxQuarantinePeriod limits the doubling.
	maxQuarantinePeriod = 16 * time.Second
	// ownFaultWorkers is the number of workers on which the runs of a step have to fail before the step is to blame. Two may
	// be among the workers that fail all they start. A step that may use only some workers of its service, and fewer than
	// these, has to fail on all of them.
	ownFaultWorkers = 3
	// trialPenalty is added to the expected time of a task on a worker on trial, by the usual one, if the task's objective
	// leaves no time for a second run.
	trialPenalty = 1
	// stallTimeout is the minimum time without progress after which a run is stopped while its worker answers.
	stallTimeout = 2500 * time.Millisecond
	// smoothingFactor is the weight of a new sample in the exponential moving averages.
	smoothingFactor = 0.2
)

// health is the state of a worker as inferred from its runs.
type health struct {
	// failures counts the failed runs since the last one that was done, by step.
	failures map[*step]int
	// quarantinedUntil is when the worker may be given work again, and failedUntil the last such time that was set because
	// of failures, which was done at failedAt.
	quarantinedUntil time.Time
	failedUntil      time.Time
	failedAt         time.Time
	// trial means that the worker was quarantined for failures and has not shown since that it does not fail. failedAfter is
	// the longest time that a failed run took since the last one that was done.
	trial       bool
	failedAfter time.Duration
	// otherTrial tells whether another step could be tried, as of otherTrialAt.
	otherTrial   bool
	otherTrialAt time.Time
	// speed is that of the worker, as learnt from its runs.
	speed estimator.Speed
}

func (health *health) suspect(now time.Time) {
	if until := now.Add(suspectPeriod); until.After(health.quarantinedUntil) {
		health.quarantinedUntil = until
	}
}

// queueStats holds moving averages over the jobs of a queue.
type queueStats struct {
	// runTimeRatio is the ratio of run times to their estimates; 0 means unknown.
	runTimeRatio float64
	// allowedShare is the share of workers that the advice service allows; 0 means unknown.
	allowedShare float64
	// gaveUpAt is when a task of the queue was last given up because its workers crashed.
	gaveUpAt time.Time
}

func (scheduler *Scheduler) statsFor(queue string) *queueStats {
	stats := scheduler.queues[queue]
	if stats == nil {
		stats = &queueStats{}
		scheduler.queues[queue] = stats
	}
	return stats
}

func smooth(value, sample float64) float64 {
	if value == 0 {
		return sample
	}
	return value + smoothingFactor*(sample-value)
}

// runTime estimates how long a task of step runs on an average worker.
func (scheduler *Scheduler) runTime(step *step) time.Duration {
	ratio := step.job.queue.runTimeRatio
	if ratio == 0 {
		ratio = 1
	}
	return time.Duration(float64(min(step.Estimate, maxEstimate)) * ratio)
}

// recordOutcome updates the health of the run's worker and the statistics of its queue.
func (scheduler *Scheduler) recordOutcome(now time.Time, run *run, outcome describer.Outcome) {
	health := &run.worker.health
	switch outcome {
	case describer.OutcomeDone:
		clear(health.failures)
		if health.isTrial(run) {
			health.reopen(now)
		}
		scheduler.reinstate(now, run.worker)
		health.failedAfter = 0
		run.task.step.failing.succeeded = true
		scheduler.recordRunTime(now, run)
	case describer.OutcomeFailed:
		if health.failures == nil {
			health.failures = map[*step]int{}
		}
		health.failures[run.task.step]++
		if !run.confirmedAt.IsZero() {
			health.failedAfter = max(health.failedAfter, now.Sub(run.confirmedAt))
		}
		scheduler.noteFailing(now, run)
		counted := health.countedFailures()
		if counted < quarantineThreshold || scheduler.mostQuarantined(now, run) {
			return
		}
		shift := min(counted-quarantineThreshold, 8)
		scheduler.quarantine(now, run.worker, min(initialQuarantinePeriod<<shift, maxQuarantinePeriod), "consecutive runs failed")
		health.failedUntil = health.quarantinedUntil
		health.failedAt = now
		health.trial = true
	}
}

// failing tells whether a step fails by its own fault.
type failing struct {
	// succeeded means that a run of the step was done.
	succeeded bool
	// workers are those on which runs failed, and tasks the tasks whose runs failed.
	workers map[*worker]bool
	tasks   map[*task]bool
	// ownFault means that the step is the more likely cause of its failures than the workers.
	ownFault bool
}

// countedFailures returns the number of failures that count against the worker. Those of a step that fails by its own
// fault count once.
func (health *health) countedFailures() int {
	counted := 0
	for step, failures := range health.failures {
		if step.failing.ownFault && !step.failing.succeeded {
			failures = 1
		}
		counted += failures
	}
	return counted
}

// noteFailing notes a failed run for its step. When most of the step's tasks that had a run have failed, on several
// workers, and none was done, the step is to blame, and workers that were quarantined for its failures alone are given work
// again.
func (scheduler *Scheduler) noteFailing(now time.Time, run *run) {
	step := run.task.step
	failing := &step.failing
	if failing.succeeded || failing.ownFault {
		return
	}
	if failing.workers == nil {
		failing.workers = map[*worker]bool{}
		failing.tasks = map[*task]bool{}
	}
	failing.workers[run.worker] = true
	failing.tasks[run.task] = true
	if len(failing.workers) < scheduler.blamableWorkers(step) {
		return
	}
	started := 0
	for _, task := range step.tasks {
		if task.run > 0 {
			started++
		}
	}
	if 2*len(failing.tasks) <= started {
		return
	}
	failing.ownFault = true
	opened := 0
	for worker := range failing.workers {
		health := &worker.health
		if health.countedFailures() < quarantineThreshold && health.reopen(now) {
			health.trial = false
			scheduler.changed = true
			opened++
		}
	}
	scheduler.emit(Event{
		Kind:   EventStepBlamed,
		Job:    step.job.ID,
		Task:   step.id().String(),
		Detail: fmt.Sprintf("failed on %d workers, %d of them are given work again", len(failing.workers), opened),
	})
	failing.workers, failing.tasks = nil, nil
}

// blamableWorkers returns the number of workers on which the runs of step have to fail before the step is to blame.
func (scheduler *Scheduler) blamableWorkers(step *step) int {
	others, allowed := 0, 0
	for _, worker := range scheduler.ranking.workers {
		switch {
		case !worker.usable() || worker.description.Service != step.job.policy.Service:
		case !step.mayUse(worker):
			others++
		default:
			allowed++
		}
		if allowed >= ownFaultWorkers {
			return ownFaultWorkers
		}
	}
	if others == 0 || allowed < 2 {
		// A single worker may as well be to blame.
		return ownFaultWorkers
	}
	return allowed
}

// mayUse reports whether the worker, when empty, could run a task of step, and the advice service has not denied it.
func (step *step) mayUse(worker *worker) bool {
	allowed, asked := step.advice.allowed[worker.id]
	return (allowed || !asked) && worker.canRun(step)
}

// reopen ends a quarantine that was set because of failures. It reports whether there was one.
func (health *health) reopen(now time.Time) bool {
	if !now.Before(health.failedUntil) || !health.quarantinedUntil.Equal(health.failedUntil) {
		return false
	}
	health.quarantinedUntil = now
	return true
}

// isTrial reports whether the run was placed on its worker after the worker was quarantined for failures.
func (health *health) isTrial(run *run) bool {
	return !run.firstPlaced.Before(health.failedAt)
}

// maxGangTrial is how long a worker on trial takes no gang. Without single tasks that could end its trial, a gang would
// otherwise wait for it forever.
const maxGangTrial = 2 * time.Second

// onTrial reports whether the worker is on trial for the tasks of step.
func (worker *worker) onTrial(now time.Time, step *step) bool {
	return worker.health.trial && (!step.Gang || now.Sub(worker.health.failedUntil) < maxGangTrial)
}

const (
	// maxTrialDeferral is how long after a quarantine a step that has failed on the worker leaves the trial to others.
	maxTrialDeferral = time.Second
	// otherTrialInterval is how often it is checked whether there are others, which takes a look at all waiting steps.
	otherTrialInterval = 100 * time.Millisecond
)

// trialSlots returns how many of the given slots of a worker may be used for a step. After a quarantine for failures the
// worker is tried with one task at a time, and for a while with no gang, which would be lost as a whole. A step that has
// failed there leaves the trial to one that has not, since its failure would not tell whether the worker is to blame.
func (scheduler *Scheduler) trialSlots(now time.Time, worker *worker, step *step, slots int) int {
	health := &worker.health
	if !worker.onTrial(now, step) {
		return slots
	}
	if step.Gang {
		return 0
	}
	for _, run := range worker.runs {
		if health.isTrial(run) {
			return 0
		}
	}
	if health.failures[step] > 0 && now.Sub(health.failedUntil) < maxTrialDeferral && scheduler.hasOtherTrial(now, worker) {
		return 0
	}
	return min(slots, 1)
}

// hasOtherTrial reports whether a step that has not failed on the worker could be tried there.
func (scheduler *Scheduler) hasOtherTrial(now time.Time, worker *worker) bool {
	health := &worker.health
	if now.Sub(health.otherTrialAt) >= otherTrialInterval {
		health.otherTrialAt = now
		health.otherTrial = scheduler.findOtherTrial(now, worker)
	}
	return health.otherTrial
}

func (scheduler *Scheduler) findOtherTrial(now time.Time, worker *worker) bool {
	quarantined := now.Before(worker.health.quarantinedUntil)
	for other := range scheduler.waiting {
		scheduler.stats.Examined++
		if other.Gang || other.Perpetual || worker.health.failures[other] > 0 || quarantined && !other.takesQuarantined(now) {
			continue
		}
		ticketed := other.job.policy.Advice == nil || other.advice.tickets[worker.id].valid(now)
		if ticketed && other.uniform() && other.capRoom() > 0 && worker.canRun(other) && fits(other.Occupied(), worker.freeFor(now, other)) {
			return true
		}
	}
	return false
}

// endTrial ends the trial of the run's worker if the run has gone on for longer than those that failed.
func (scheduler *Scheduler) endTrial(now time.Time, run *run) {
	health := &run.worker.health
	if health.trial && run.phase == phaseRunning && health.isTrial(run) && now.Sub(run.confirmedAt) > health.failedAfter {
		health.reopen(now)
		scheduler.reinstate(now, run.worker)
	}
}

// reinstate ends the trial of a worker, if it is on trial.
func (scheduler *Scheduler) reinstate(now time.Time, worker *worker) {
	health := &worker.health
	if !health.trial {
		return
	}
	health.trial = false
	scheduler.changed = true
	scheduler.emit(Event{
		Kind:   EventWorkerReinstated,
		Worker: worker.id,
		Age:    max(now.Sub(health.failedUntil), 0),
	})
}

// workerGroup counts workers of which a step may need one.
type workerGroup struct {
	usable, quarantined int
}

func (group *workerGroup) add(quarantined bool) {
	group.usable++
	if quarantined {
		group.quarantined++
	}
}

func (group *workerGroup) mostQuarantined() bool {
	return 2*group.quarantined > group.usable
}

// mostQuarantined reports whether more than half of the other usable workers that some work may depend on are quarantined:
// those of the service of the run's worker, those of its kind there, or those that the step of the run may use. What fails
// on so many is seldom their fault, and the last ones must not be closed as well. A single worker may be.
func (scheduler *Scheduler) mostQuarantined(now time.Time, run *run) bool {
	worker := run.worker
	if worker.description == nil {
		return false
	}
	var service, kind, allowed workerGroup
	for _, other := range scheduler.ranking.workers {
		if other == worker || !other.usable() || other.description.Service != worker.description.Service {
			continue
		}
		quarantined := now.Before(other.health.quarantinedUntil)
		service.add(quarantined)
		if other.description.Kind == worker.description.Kind {
			kind.add(quarantined)
		}
		if run.task.step.mayUse(other) {
			allowed.add(quarantined)
		}
	}
	return service.mostQuarantined() || kind.mostQuarantined() || allowed.mostQuarantined()
}

// recordRunTime updates the run time statistics from a completed run. Only first runs count, since they are known
// to start from the beginning.
func (scheduler *Scheduler) recordRunTime(now time.Time, run *run) {
	step := run.task.step
	// The end of an unlisted run became known late.
	if run.phase == phaseUnlisted || run.confirmedAt.IsZero() || run.number > 1 || step.Perpetual {
		return
	}
	// The answer to the order and the report of the end are under way for the same time.
	step.runTimes.Add(&run.worker.health.speed, now.Sub(run.confirmedAt))
	if step.Estimate <= 0 {
		return
	}
	ratio := float64(now.Sub(run.placedAt)) / float64(step.Estimate)
	usualRatio := step.job.queue.runTimeRatio
	step.job.queue.runTimeRatio = min(max(smooth(usualRatio, ratio), 0.3), 4)
	if usualRatio > 0 && step.Count == 1 {
		run.worker.health.speed.ObserveSole(ratio / usualRatio)
	}
}

// estimatorTask returns what the choice of a worker for the tasks of step depends on.
func (scheduler *Scheduler) estimatorTask(now time.Time, step *step) estimator.Task {
	return estimator.NewTask(scheduler.runTime(step), scheduler.latestStart(step).Sub(now)-reportDelay, scheduler.highestLatency)
}

// latencyOf returns the latency of orders to the workers of a data centre.
func (scheduler *Scheduler) latencyOf(dataCentre string) *estimator.Latency {
	latency := scheduler.latencies[dataCentre]
	if latency == nil {
		latency = &estimator.Latency{}
		scheduler.latencies[dataCentre] = latency
	}
	return latency
}

// noteLatency notes how long a run took from its placement to the answer to its start order.
func (scheduler *Scheduler) noteLatency(now time.Time, run *run) {
	if run.worker.latency == nil || run.phase != phaseStarting {
		return
	}
	run.worker.latency.Note(now.Sub(run.placedAt))
	scheduler.highestLatency = 0
	for _, latency := range scheduler.latencies {
		scheduler.highestLatency = max(scheduler.highestLatency, latency.Average())
	}
}

func (scheduler *Scheduler) quarantine(now time.Time, worker *worker, duration time.Duration, reason string) {
	worker.health.quarantinedUntil = now.Add(duration)
	scheduler.stats.Quarantines++
	scheduler.emit(Event{
		Kind:   EventWorkerQuarantined,
		Worker: worker.id,
		Detail: reason,
		Age:    duration,
	})
}

// checkStall stops a run that makes no progress although its worker answers, and ends the trial of a worker whose run makes
// progress.
func (scheduler *Scheduler) checkStall(now time.Time, run *run) {
	scheduler.endTrial(now, run)
	step := run.task.step
	if run.phase != phaseRunning || step.Perpetual || step.Gang || run.percent >= 100 {
		return
	}
	if now.Sub(run.lastProgress) < max(stallTimeout, scheduler.runTime(step)/8) {
		return
	}
	if !scheduler.mostQuarantined(now, run) {
		scheduler.quarantine(now, run.worker, 2*initialQuarantinePeriod, "run makes no progress")
	}
	scheduler.stop(now, run, "run made no progress")
}
