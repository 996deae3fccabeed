// Package detector quarantines workers on which nearly all runs fail. It scores the failures of a
// worker by a log-likelihood ratio that takes the failure rates of the shard and of each job into
// account, so that jobs that fail everywhere don't count against a worker. At most a quarter of the
// shard's workers are out of use at a time. A quarantine ends with a trial run. A failed trial run starts
// the next quarantine, which is twice as long up to MaxQuarantine, unless the failure has a low weight
// because the job, or the shard as a whole, often fails: then the worker stays on trial.
package detector

import (
	"math"
	"slices"
	"time"

	"pomelomoor/internal/work/descriptor"
)

// WorkerState tells whether a worker may be used. Its values must not be converted to or from those of
// placer.WorkerState, which are numbered differently.
type WorkerState int

// The states of a worker.
const (
	// InUse means that the worker takes runs without restriction.
	InUse WorkerState = iota
	// Quarantined means that the worker gets no new runs.
	Quarantined
	// Trial means that the worker gets single runs that may fail, to test whether it has recovered.
	Trial
)

// Change is a state change of a worker, with the score that led to it.
type Change struct {
	Worker descriptor.WorkerID
	State  WorkerState
	// Score is the log-likelihood ratio between a worker on which nearly all runs fail and one with
	// the usual failure rate.
	Score float64
	// QuarantineEnd is the end of a quarantine.
	QuarantineEnd time.Time
}

const (
	// quarantineDivisor limits the workers out of use: at most 1/4 of the workers are quarantined or on
	// trial.
	quarantineDivisor = 4
	// scoreThreshold is the score at which a worker is quarantined. The score adds up the weights of the
	// failures, each at most maxFailureWeight, so at least four failures are needed. On a shard with few
	// failures, four failures of different jobs have the full weight and reach it.
	scoreThreshold = 12.0
	// maxFailureWeight limits the weight of one failure, so that three don't reach scoreThreshold.
	maxFailureWeight = 3.0
	// minFailures is the least number of failures whose weights can add up to scoreThreshold.
	minFailures = int(scoreThreshold / maxFailureWeight)
	// faultyFailureRate is the assumed failure rate of a faulty worker.
	faultyFailureRate = 0.95
	// priorRuns is the weight of the prior in the estimate of a job's failure rate: a job counts as having
	// this many runs at the shard's rate before its own.
	priorRuns = 2.0
	// minShardFailureRate is the lower bound of the shard's failure rate.
	minShardFailureRate = 0.02
	// maxOutcomes is the number of latest outcomes that a Detector keeps for each worker.
	maxOutcomes = 24
	// shardRateHalfLife is the number of runs after which the weight of an outcome in the shard's
	// failure rate halves.
	shardRateHalfLife = 512.0
	// maxTrackedJobs limits the number of jobs for which one Detector keeps statistics.
	maxTrackedJobs = 8192

	// MinQuarantine is the length of a worker's first quarantine. It doubles with each further one.
	MinQuarantine = time.Minute
	// MaxQuarantine is the upper bound of a quarantine.
	MaxQuarantine = time.Hour
	// backoffResetTime is the time since a worker's last passed trial after which its next quarantine has
	// the length MinQuarantine again.
	backoffResetTime = 6 * time.Hour
)

// Detector holds the outcomes and states of the workers of one shard. The zero value is ready to use.
type Detector struct {
	workers map[descriptor.WorkerID]*worker
	// overThreshold holds workers that are still in use although their score has reached the threshold,
	// because a quarter of the workers is already out of use.
	overThreshold map[descriptor.WorkerID]*worker
	// suspects holds the workers in use with at least minFailures failures among their outcomes. Tick scores
	// them again, because the weight of their failures grows with the successes of other workers.
	suspects map[descriptor.WorkerID]*worker
	// outOfUse holds workers in quarantine or on trial.
	outOfUse map[descriptor.WorkerID]*worker
	jobs     map[descriptor.JobID]*jobStats
	// decayedFailures and decayedRuns are counts over the shard with exponential decay.
	decayedFailures, decayedRuns float64
	reportCount                  uint64
	// scoredReportCount is the reportCount at which the suspects were scored last.
	scoredReportCount uint64
}

type worker struct {
	id       descriptor.WorkerID
	state    WorkerState
	outcomes []outcome
	// failures is the number of failures among the outcomes.
	failures int
	score    float64
	// quarantineTime is the length of the last quarantine.
	quarantineTime time.Duration
	quarantineEnd  time.Time
	// trialPassedAt is the end of the last trial that passed; zero if none has.
	trialPassedAt time.Time
}

type outcome struct {
	job    descriptor.JobID
	failed bool
}

type jobStats struct {
	failures, successes int
	// lastReport is the reportCount of the latest report on the job.
	lastReport uint64
}

// Add registers a worker as in use. It does nothing if the worker is registered already.
func (detector *Detector) Add(id descriptor.WorkerID) {
	if detector.workers == nil {
		detector.workers = map[descriptor.WorkerID]*worker{}
		detector.overThreshold = map[descriptor.WorkerID]*worker{}
		detector.suspects = map[descriptor.WorkerID]*worker{}
		detector.outOfUse = map[descriptor.WorkerID]*worker{}
		detector.jobs = map[descriptor.JobID]*jobStats{}
	}
	if detector.workers[id] == nil {
		detector.workers[id] = &worker{
			id: id,
		}
	}
}

// Remove deletes a worker. It reinstates other workers if more than a quarter would be out of use.
func (detector *Detector) Remove(id descriptor.WorkerID) []Change {
	delete(detector.workers, id)
	delete(detector.overThreshold, id)
	delete(detector.suspects, id)
	delete(detector.outOfUse, id)
	var changes []Change
	for len(detector.outOfUse) > len(detector.workers)/quarantineDivisor {
		earliest := detector.minWorker(detector.outOfUse, func(a, b *worker) bool {
			return a.quarantineEnd.Before(b.quarantineEnd)
		})
		changes = append(changes, detector.reinstate(earliest))
	}
	return changes
}

// State returns the state of a worker. Unknown workers are in use.
func (detector *Detector) State(id descriptor.WorkerID) WorkerState {
	if worker, ok := detector.workers[id]; ok {
		return worker.state
	}
	return InUse
}

// failingWindow is the number of latest runs that Failing considers.
const failingWindow = 3

// Failing reports whether the latest runs on a worker, up to failingWindow, all failed.
func (detector *Detector) Failing(id descriptor.WorkerID) bool {
	worker, ok := detector.workers[id]
	if !ok || len(worker.outcomes) == 0 {
		return false
	}
	recent := worker.outcomes[max(0, len(worker.outcomes)-failingWindow):]
	return !slices.ContainsFunc(recent, func(outcome outcome) bool {
		return !outcome.failed
	})
}

// Report records the outcome of a run. Runs that were stopped or whose worker was lost must not be
// reported.
func (detector *Detector) Report(now time.Time, id descriptor.WorkerID, job descriptor.JobID, failed bool) []Change {
	detector.Add(id)
	worker := detector.workers[id]
	detector.recordOutcome(worker, job, failed)
	if worker.state == InUse {
		detector.updateSuspect(worker)
		detector.updateScore(worker)
		return detector.quarantineWorst(now)
	}
	if worker.state == Quarantined {
		return nil
	}
	if !failed {
		worker.trialPassedAt = now
		return append([]Change{detector.reinstate(worker)}, detector.quarantineWorst(now)...)
	}
	if detector.failureWeight(worker, job) < maxFailureWeight/2 {
		return nil
	}
	return []Change{detector.startQuarantine(worker, now)}
}

// Tick puts workers whose quarantine is over on trial, and quarantines workers whose earlier failures have
// gained enough weight. It is cheap when no worker is out of use and none is a suspect.
func (detector *Detector) Tick(now time.Time) []Change {
	var changes []Change
	for _, id := range sortedIDs(detector.outOfUse) {
		worker := detector.outOfUse[id]
		if worker.state == Quarantined && !now.Before(worker.quarantineEnd) {
			worker.state = Trial
			changes = append(changes, Change{
				Worker: id,
				State:  Trial,
				Score:  worker.score,
			})
		}
	}
	detector.scoreSuspects()
	return append(changes, detector.quarantineWorst(now)...)
}

// updateSuspect adds a worker to suspects, or removes it, according to the number of its failures.
func (detector *Detector) updateSuspect(worker *worker) {
	if worker.failures < minFailures {
		delete(detector.suspects, worker.id)
		return
	}
	detector.suspects[worker.id] = worker
}

// scoreSuspects scores the suspects again if there were reports since the last time. A worker whose failures
// would not reach the threshold with the highest weight that the shard's rate permits needs no scoring.
func (detector *Detector) scoreSuspects() {
	if detector.scoredReportCount == detector.reportCount {
		return
	}
	detector.scoredReportCount = detector.reportCount
	maxWeight := min(math.Log(faultyFailureRate/detector.shardFailureRate()), maxFailureWeight)
	for _, worker := range detector.suspects {
		if float64(worker.failures)*maxWeight < scoreThreshold {
			delete(detector.overThreshold, worker.id)
			continue
		}
		detector.updateScore(worker)
	}
}

// updateScore computes the score of a worker in use and compares it with the threshold.
func (detector *Detector) updateScore(worker *worker) {
	worker.score = detector.score(worker)
	if worker.score < scoreThreshold {
		delete(detector.overThreshold, worker.id)
		return
	}
	detector.overThreshold[worker.id] = worker
}

func (detector *Detector) recordOutcome(worker *worker, job descriptor.JobID, failed bool) {
	detector.reportCount++
	decay := math.Exp2(-1 / shardRateHalfLife)
	detector.decayedRuns = detector.decayedRuns*decay + 1
	detector.decayedFailures *= decay
	stats, ok := detector.jobs[job]
	if !ok {
		detector.evictJobs()
		stats = &jobStats{}
		detector.jobs[job] = stats
	}
	stats.lastReport = detector.reportCount
	if failed {
		detector.decayedFailures++
		stats.failures++
	} else {
		stats.successes++
	}
	if failed {
		worker.failures++
	}
	if len(worker.outcomes) == maxOutcomes {
		if worker.outcomes[0].failed {
			worker.failures--
		}
		worker.outcomes = slices.Delete(worker.outcomes, 0, 1)
	}
	worker.outcomes = append(worker.outcomes, outcome{
		job:    job,
		failed: failed,
	})
}

// evictJobs removes the least recently reported half of the jobs when there are maxTrackedJobs.
func (detector *Detector) evictJobs() {
	if len(detector.jobs) < maxTrackedJobs {
		return
	}
	lastReports := make([]uint64, 0, len(detector.jobs))
	for _, stats := range detector.jobs {
		lastReports = append(lastReports, stats.lastReport)
	}
	slices.Sort(lastReports)
	median := lastReports[len(lastReports)/2]
	for job, stats := range detector.jobs {
		if stats.lastReport <= median {
			delete(detector.jobs, job)
		}
	}
}

// score returns the log-likelihood ratio of the latest outcomes, as a cumulative sum that is reset to
// zero whenever it would become negative. All weights are computed from the current statistics, so
// that failures of a job that turns out to fail everywhere lose their weight.
func (detector *Detector) score(worker *worker) float64 {
	score := 0.0
	counted := map[descriptor.JobID]bool{}
	for _, outcome := range worker.outcomes {
		if !outcome.failed {
			score = max(0, score+math.Log((1-faultyFailureRate)/(1-detector.shardFailureRate())))
			continue
		}
		// Failures of a job that has never succeeded count once, because the job itself may be faulty.
		if counted[outcome.job] && !detector.hasSucceeded(outcome.job) {
			continue
		}
		counted[outcome.job] = true
		score += detector.failureWeight(worker, outcome.job)
	}
	return score
}

// failureWeight returns the log-likelihood ratio of one failure of the job on the worker, given the
// outcomes of the job on other workers.
func (detector *Detector) failureWeight(worker *worker, job descriptor.JobID) float64 {
	failures, successes := 0, 0
	if stats, ok := detector.jobs[job]; ok {
		failures, successes = stats.failures, stats.successes
	}
	for _, outcome := range worker.outcomes {
		if outcome.job == job && outcome.failed {
			failures--
		} else if outcome.job == job {
			successes--
		}
	}
	jobFailures, jobRuns := float64(max(failures, 0)), float64(max(failures, 0)+max(successes, 0))
	shardRate := detector.shardFailureRate()
	jobRate := max(shardRate, (jobFailures+priorRuns*shardRate)/(jobRuns+priorRuns))
	return min(max(math.Log(faultyFailureRate/jobRate), 0), maxFailureWeight)
}

func (detector *Detector) hasSucceeded(job descriptor.JobID) bool {
	stats, ok := detector.jobs[job]
	return ok && stats.successes > 0
}

// shardFailureRate returns the recent failure rate of all workers, between minShardFailureRate and
// faultyFailureRate.
func (detector *Detector) shardFailureRate() float64 {
	if detector.decayedRuns == 0 {
		return minShardFailureRate
	}
	return min(max(detector.decayedFailures/detector.decayedRuns, minShardFailureRate), faultyFailureRate)
}
