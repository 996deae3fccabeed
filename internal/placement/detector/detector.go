// Package detector finds workers that fail everything they start. It weighs the failures of a worker
// against the common failure rate of the shard and against jobs that fail everywhere, quarantines at
// most a quarter of the shard's workers, and returns workers by trial with growing pauses.
package detector

import (
	"math"
	"slices"
	"time"

	"pomelomoor/internal/work/descriptor"
)

// State tells whether a worker may be used.
type State int

// The states of a worker.
const (
	// InUse means that nothing is held against the worker.
	InUse State = iota
	// Quarantined means that the worker gets no new runs.
	Quarantined
	// Trial means that the worker gets single runs that may fail, to see whether it works again.
	Trial
)

// Change is a worker's new state and the evidence for it.
type Change struct {
	Worker descriptor.WorkerID
	State  State
	// Score is the logarithm of the likelihood ratio of a worker that fails nearly everything
	// to one that fails as often as the others.
	Score float64
	// Until is the end of a quarantine.
	Until time.Time
}

const (
	// quarantineDivisor gives the part of the workers that may be out of use.
	quarantineDivisor = 4
	// threshold is the score for a quarantine. Four failures of different jobs reach it on a shard
	// with few failures.
	threshold = 12.0
	// maxWeight bounds the weight of one failure, so that two or three do not suffice.
	maxWeight = 3.0
	// faultyRate is the failure rate of a faulty worker.
	faultyRate = 0.95
	// priorRuns is the weight of the common failure rate in that of a job, in runs.
	priorRuns = 2.0
	// minRate bounds the common failure rate from below.
	minRate = 0.02
	// window is the number of latest outcomes kept for each worker.
	window = 24
	// commonWindow is the number of outcomes after which their weight in the common rate halves.
	commonWindow = 512.0
	// maxJobs bounds the jobs with statistics.
	maxJobs = 8192

	// FirstPause is the length of a worker's first quarantine; it doubles with each failed trial.
	FirstPause = time.Minute
	// MaxPause bounds the quarantine.
	MaxPause = time.Hour
	// forgiveness is how long a worker has to work well for its pause to start over.
	forgiveness = 6 * time.Hour
)

// Detector holds the evidence. The zero value is ready.
type Detector struct {
	workers map[descriptor.WorkerID]*worker
	// suspects lists workers whose score is over the threshold but that are still in use, because a
	// quarter of the workers is out of use already.
	suspects map[descriptor.WorkerID]*worker
	out      map[descriptor.WorkerID]*worker
	jobs     map[descriptor.JobID]*jobCount
	// failures and runs are decaying counts over the shard.
	failures, runs float64
	reports        uint64
}

type worker struct {
	id       descriptor.WorkerID
	state    State
	outcomes []outcome
	score    float64
	pause    time.Duration
	until    time.Time
	returned time.Time
}

type outcome struct {
	job    descriptor.JobID
	failed bool
}

type jobCount struct {
	failures, successes int
	reported            uint64
}

// Add makes a worker known.
func (detector *Detector) Add(id descriptor.WorkerID) {
	if detector.workers == nil {
		detector.workers = map[descriptor.WorkerID]*worker{}
		detector.suspects = map[descriptor.WorkerID]*worker{}
		detector.out = map[descriptor.WorkerID]*worker{}
		detector.jobs = map[descriptor.JobID]*jobCount{}
	}
	if detector.workers[id] == nil {
		detector.workers[id] = &worker{
			id: id,
		}
	}
}

// Remove forgets a worker. Other workers may have to return so that no more than a quarter is out of use.
func (detector *Detector) Remove(id descriptor.WorkerID) []Change {
	delete(detector.workers, id)
	delete(detector.suspects, id)
	delete(detector.out, id)
	var changes []Change
	for len(detector.out) > len(detector.workers)/quarantineDivisor {
		first := detector.least(detector.out, func(a, b *worker) bool {
			return a.until.Before(b.until)
		})
		changes = append(changes, detector.restore(first))
	}
	return changes
}

// State returns a worker's state.
func (detector *Detector) State(id descriptor.WorkerID) State {
	if known, ok := detector.workers[id]; ok {
		return known.state
	}
	return InUse
}

// recordLength is the number of latest runs that make a worker's record.
const recordLength = 3

// Failing reports whether the latest runs on a worker all failed.
func (detector *Detector) Failing(id descriptor.WorkerID) bool {
	known, ok := detector.workers[id]
	if !ok || len(known.outcomes) == 0 {
		return false
	}
	latest := known.outcomes[max(0, len(known.outcomes)-recordLength):]
	return !slices.ContainsFunc(latest, func(outcome outcome) bool {
		return !outcome.failed
	})
}

// Report records the end of a run. Runs that were stopped or that lost their worker are not to be reported.
func (detector *Detector) Report(now time.Time, id descriptor.WorkerID, job descriptor.JobID, failed bool) []Change {
	detector.Add(id)
	known := detector.workers[id]
	detector.record(known, job, failed)
	if known.state == InUse {
		known.score = detector.score(known)
		if known.score < threshold {
			delete(detector.suspects, id)
		} else {
			detector.suspects[id] = known
		}
		return detector.quarantine(now)
	}
	if known.state == Quarantined {
		return nil
	}
	if !failed {
		known.returned = now
		return append([]Change{detector.restore(known)}, detector.quarantine(now)...)
	}
	if detector.weight(known, job) < maxWeight/2 {
		return nil
	}
	return []Change{detector.pause(known, now)}
}

// Tick moves workers whose quarantine is over to a trial. It is cheap when there are none.
func (detector *Detector) Tick(now time.Time) []Change {
	var changes []Change
	for _, id := range sorted(detector.out) {
		known := detector.out[id]
		if known.state == Quarantined && !now.Before(known.until) {
			known.state = Trial
			changes = append(changes, Change{
				Worker: id,
				State:  Trial,
				Score:  known.score,
			})
		}
	}
	return append(changes, detector.quarantine(now)...)
}

func (detector *Detector) record(known *worker, job descriptor.JobID, failed bool) {
	detector.reports++
	decay := math.Exp2(-1 / commonWindow)
	detector.runs = detector.runs*decay + 1
	detector.failures *= decay
	count, ok := detector.jobs[job]
	if !ok {
		detector.forgetJobs()
		count = &jobCount{}
		detector.jobs[job] = count
	}
	count.reported = detector.reports
	if failed {
		detector.failures++
		count.failures++
	} else {
		count.successes++
	}
	if len(known.outcomes) == window {
		known.outcomes = slices.Delete(known.outcomes, 0, 1)
	}
	known.outcomes = append(known.outcomes, outcome{
		job:    job,
		failed: failed,
	})
}

// forgetJobs drops the half of the jobs that was reported least recently when there are too many.
func (detector *Detector) forgetJobs() {
	if len(detector.jobs) < maxJobs {
		return
	}
	reported := make([]uint64, 0, len(detector.jobs))
	for _, count := range detector.jobs {
		reported = append(reported, count.reported)
	}
	slices.Sort(reported)
	median := reported[len(reported)/2]
	for job, count := range detector.jobs {
		if count.reported <= median {
			delete(detector.jobs, job)
		}
	}
}

// score adds up the evidence of the latest outcomes, starting over whenever it speaks for the worker.
// All weights are taken from what is known now, so that failures of a job that turns out to fail
// everywhere lose their weight.
func (detector *Detector) score(known *worker) float64 {
	score := 0.0
	counted := map[descriptor.JobID]bool{}
	for _, outcome := range known.outcomes {
		if !outcome.failed {
			score = max(0, score+math.Log((1-faultyRate)/(1-detector.commonRate())))
			continue
		}
		// Failures of a job that has not succeeded anywhere count once, as the job may be at fault.
		if counted[outcome.job] && !detector.succeeded(outcome.job) {
			continue
		}
		counted[outcome.job] = true
		score += detector.weight(known, outcome.job)
	}
	return score
}

// weight is the evidence of one failure of the job on the worker, given how the job fares elsewhere.
func (detector *Detector) weight(known *worker, job descriptor.JobID) float64 {
	failures, successes := 0, 0
	if count, ok := detector.jobs[job]; ok {
		failures, successes = count.failures, count.successes
	}
	for _, outcome := range known.outcomes {
		if outcome.job == job && outcome.failed {
			failures--
		} else if outcome.job == job {
			successes--
		}
	}
	failed, runs := float64(max(failures, 0)), float64(max(failures, 0)+max(successes, 0))
	common := detector.commonRate()
	rate := max(common, (failed+priorRuns*common)/(runs+priorRuns))
	return min(max(math.Log(faultyRate/rate), 0), maxWeight)
}

func (detector *Detector) succeeded(job descriptor.JobID) bool {
	count, ok := detector.jobs[job]
	return ok && count.successes > 0
}

func (detector *Detector) commonRate() float64 {
	if detector.runs == 0 {
		return minRate
	}
	return min(max(detector.failures/detector.runs, minRate), faultyRate)
}
