package placer

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/placement/indexer"
	"pomelomoor/internal/work/descriptor"
)

// Reasons of a Refusal, to be compared with errors.Is.
var (
	// ErrNoMatch means that no worker of the shard matches the selectors.
	ErrNoMatch = errors.New("no worker matches the selectors")
	// ErrTooLarge means that the tasks don't fit on the matching workers even if these are empty.
	ErrTooLarge = errors.New("larger than the matching workers")
	// ErrNoCapacity means that the tasks don't fit now but may fit when other runs end.
	ErrNoCapacity = errors.New("not enough free capacity now")
)

// Refusal is the error of a placement that was not possible, with the counts that explain it.
type Refusal struct {
	// Reason is ErrNoMatch, ErrTooLarge or ErrNoCapacity.
	Reason error
	// Workers counts the workers of the shard, and Matching those that match the selectors.
	Workers, Matching int
	// LargeEnough counts the matching workers on which one task fits if they are empty.
	LargeEnough int
	// Leaving and Quarantined count the matching workers in these states, which accept no new runs.
	Leaving, Quarantined int
	// Held counts the workers of the shard that are held for a gang, whether they match or not.
	Held int
	// Tasks is the number of requested tasks.
	Tasks int
	// FittingTasks is the number of tasks that could start now. It is counted for gangs only: Error prints
	// 0 for a single task.
	FittingTasks int
}

func (refusal *Refusal) Error() string {
	return fmt.Sprintf("%v: %d workers, %d matching, %d large enough, %d leaving, %d quarantined, %d held, free capacity for %d of %d tasks",
		refusal.Reason, refusal.Workers, refusal.Matching, refusal.LargeEnough, refusal.Leaving,
		refusal.Quarantined, refusal.Held, refusal.FittingTasks, refusal.Tasks)
}

// Unwrap returns the reason.
func (refusal *Refusal) Unwrap() error {
	return refusal.Reason
}

// Request describes a task, or the identical tasks of a gang, for which workers are chosen.
type Request struct {
	// Job is needed only if Spread is set.
	Job    descriptor.JobID
	Need   descriptor.Resources
	Filter Filter
	Spread parser.Spread
	// Avoid lists workers that are chosen only if the task fits on no other, such as those on which it
	// failed.
	Avoid []descriptor.WorkerID
	// End is when the task is expected to end. A task that ends before the start of a Hold may use the
	// held workers until then. Zero means that the end is unknown.
	End time.Time
	// OwnsHold means that the held workers are held for this job, which may use them whenever its tasks
	// end.
	OwnsHold bool
	// PreferTrial makes Place choose a worker on trial if the task fits on one without a trial run, and
	// another worker only if not. It is meant for idempotent work, which may run twice. PlaceGang ignores
	// it.
	PreferTrial bool
}

const (
	// maxCandidates limits the workers that are compared in each label class. With fewer, workers with
	// different ratios of processors to memory are packed less densely.
	maxCandidates = 16
	// spreadCandidates is the number of workers at zero spread cost after which the search for a worker
	// with the lowest cost ends.
	spreadCandidates = 4
)

// Place returns a worker for one task, or a Refusal. It reserves no capacity.
func (placer *Placer) Place(request Request) (descriptor.WorkerID, error) {
	worker := placer.choose(&request)
	if worker == nil {
		return "", placer.refuse(&request, 1, 0)
	}
	return worker.ID, nil
}

// PlaceGang returns workers for all n tasks, or a Refusal. It reserves no capacity.
func (placer *Placer) PlaceGang(request Request, n int) ([]descriptor.WorkerID, error) {
	if n <= 0 || request.Need.Negative() {
		return nil, ErrInvalid
	}
	request.PreferTrial = false
	if fitting := placer.countFitting(&request, n); fitting < n {
		return nil, placer.refuse(&request, n, fitting)
	}
	placed := make([]descriptor.WorkerID, 0, n)
	chosen := make([]*workerEntry, 0, n)
	for range n {
		worker := placer.choose(&request)
		if worker == nil {
			break
		}
		chosen = append(chosen, worker)
		placed = append(placed, worker.ID)
		placer.init()
		placer.countRun(request.Job, worker, 1)
		subtractFree(worker, request.Need)
	}
	for _, worker := range slices.Backward(chosen) {
		placer.countRun(request.Job, worker, -1)
		subtractFree(worker, descriptor.Resources{}.Sub(request.Need))
	}
	if len(placed) < n {
		return nil, placer.refuse(&request, n, len(placed))
	}
	return placed, nil
}

// choose returns the best worker for one task, or nil.
func (placer *Placer) choose(request *Request) *workerEntry {
	if request.Need.Negative() {
		return nil
	}
	classes := placer.index.Matching(request.Filter)
	if request.PreferTrial {
		if worker := placer.chooseTrial(request); worker != nil {
			return worker
		}
	}
	best := placer.bestFit(request, classes, false)
	if best == nil && placer.mayUseHeld(request) {
		best = placer.bestFit(request, classes, true)
	}
	if best == nil || request.Spread == "" {
		return best
	}
	return placer.spread(request, best)
}

// mayUseHeld reports whether the request may use the held workers: those of its own job's hold, or those
// of another job's hold if the task ends before that job is expected to start.
func (placer *Placer) mayUseHeld(request *Request) bool {
	if len(placer.hold.Workers) == 0 {
		return false
	}
	return request.OwnsHold || !request.End.IsZero() && !request.End.After(placer.hold.Start)
}

// chooseTrial returns a worker on trial that has no trial run yet, or nil.
func (placer *Placer) chooseTrial(request *Request) *workerEntry {
	for _, worker := range placer.trials {
		if worker.trialRuns == 0 && request.Need.Fits(worker.free) && !slices.Contains(request.Avoid, worker.ID) &&
			request.Filter.Matches(worker.item.Labels()) {
			return worker
		}
	}
	return nil
}

// bestFit returns the worker with the best score, or nil. It searches workers without accelerators
// before the others, and those with the fewest free accelerators first, so that accelerators stay free
// for the work that needs them. Among these, the index visits those with the least free processor time
// first, so the scores of the fullest workers of each label class are compared.
func (placer *Placer) bestFit(request *Request, classes []*indexer.LabelClass[*workerEntry], held bool) *workerEntry {
	search := search{
		placer:  placer,
		request: request,
	}
	for i, class := range classes {
		if search.best != nil && class.Accelerated && !classes[i-1].Accelerated {
			break
		}
		search.remaining = maxCandidates
		class.Visit(held, request.Need, search.compare)
	}
	if search.best == nil {
		return search.avoidedFit
	}
	return search.best
}

// search is the state of a search for the best fit.
type search struct {
	placer  *Placer
	request *Request
	best    *workerEntry
	score   float64
	// avoidedFit is a worker on which the task fits but that the request avoids.
	avoidedFit *workerEntry
	// remaining is the number of workers that may still be compared in the current label class.
	remaining int
}

// compare updates the best worker. It is the callback of indexer.Class.Visit.
func (search *search) compare(worker *workerEntry) (found, more bool) {
	if len(search.request.Avoid) > 0 && slices.Contains(search.request.Avoid, worker.ID) {
		search.avoidedFit = worker
		return false, true
	}
	score := search.placer.score(search.request, worker)
	if search.best == nil || score < search.score {
		search.best, search.score = worker, score
	}
	search.remaining--
	return true, search.remaining > 0
}

// score returns a lower value for a better fit. A worker is better if the task leaves fewer accelerators
// free, and if it brings the ratio of free processors to free memory closer to the ratio over the whole
// shard, because the remaining capacity is then of use to other work.
func (placer *Placer) score(request *Request, worker *workerEntry) float64 {
	remaining := worker.free.Sub(request.Need)
	return float64(remaining.Accelerators) + math.Abs(placer.weights.imbalance(remaining)) - math.Abs(placer.weights.imbalance(worker.free))
}

// resourceWeights are the reciprocals of the shard's total processors and memory.
type resourceWeights struct {
	perMilliCPU, perByte float64
}

func newResourceWeights(capacity descriptor.Resources) resourceWeights {
	return resourceWeights{
		perMilliCPU: 1 / float64(max(capacity.MilliCPU, 1)),
		perByte:     1 / float64(max(capacity.MemoryBytes, 1)),
	}
}

// imbalance returns the difference between the fractions that amount has of the shard's processors and
// of its memory. It is positive if the fraction of processors is larger.
func (resourceWeights resourceWeights) imbalance(amount descriptor.Resources) float64 {
	return float64(amount.MilliCPU)*resourceWeights.perMilliCPU - float64(amount.MemoryBytes)*resourceWeights.perByte
}

// spread returns the worker with the lowest spread cost: on the rack with the fewest runs of the job,
// or with the fewest runs on the worker itself. The search starts at a rack that depends on the number
// of runs of the job and ends after the rack at which spreadCandidates workers at zero cost, which have
// no runs of the job on their rack and on themselves, have been found.
func (placer *Placer) spread(request *Request, fallback *workerEntry) *workerEntry {
	counts := placer.jobs[request.Job]
	if counts == nil {
		return fallback
	}
	mayUseHeld := placer.mayUseHeld(request)
	var best *workerEntry
	bestCost, bestScore, zeroCostCount := 0, 0.0, 0
	for i := range placer.racks {
		rack := placer.racks[(i+counts.total)%len(placer.racks)]
		for _, worker := range rack.workers {
			if !worker.item.IsAvailable() || worker.held && !mayUseHeld || !request.Need.Fits(worker.free) ||
				!request.Filter.Matches(worker.item.Labels()) || slices.Contains(request.Avoid, worker.ID) {
				continue
			}
			cost := counts.cost(request.Spread, worker)
			score := placer.score(request, worker)
			if best == nil || cost < bestCost || cost == bestCost && score < bestScore {
				best, bestCost, bestScore = worker, cost, score
			}
			if cost == 0 {
				zeroCostCount++
			}
		}
		if zeroCostCount >= spreadCandidates {
			break
		}
	}
	if best == nil {
		return fallback
	}
	return best
}

// cost returns the number of runs of the job on the rack or on the worker, depending on the kind of
// spread. The other number breaks ties: the shift by 16 bits puts it below the first one, as long as it
// is less than 65536.
func (spreadCounts *spreadCounts) cost(kind parser.Spread, worker *workerEntry) int {
	if kind == parser.SpreadWorker {
		return spreadCounts.workers[worker]<<16 + spreadCounts.racks[worker.rack]
	}
	return spreadCounts.racks[worker.rack]<<16 + spreadCounts.workers[worker]
}

// countFitting returns the number of tasks that could start now, at most n.
func (placer *Placer) countFitting(request *Request, n int) int {
	mayUseHeld := placer.mayUseHeld(request)
	fitting := 0
	for _, class := range placer.index.Matching(request.Filter) {
		for _, item := range class.Items {
			worker := item.Value
			if !worker.item.IsAvailable() || worker.held && !mayUseHeld {
				continue
			}
			fitting += int(fitCount(request.Need, worker.free, int64(n)))
			if fitting >= n {
				return n
			}
		}
	}
	return fitting
}

// fitCount returns how many times need fits into available, at most limit.
func fitCount(need, available descriptor.Resources, limit int64) int64 {
	if available.Negative() {
		return 0
	}
	for _, pair := range [...][2]int64{
		{need.MilliCPU, available.MilliCPU},
		{need.MemoryBytes, available.MemoryBytes},
		{need.Accelerators, available.Accelerators},
	} {
		if pair[0] > 0 {
			limit = min(limit, pair[1]/pair[0])
		}
	}
	return limit
}

// refuse returns the Refusal of a request for n tasks.
func (placer *Placer) refuse(request *Request, n, fittingTasks int) error {
	refusal := &Refusal{
		Reason:       ErrNoCapacity,
		Workers:      len(placer.workers),
		Tasks:        n,
		FittingTasks: fittingTasks,
	}
	var fittingWhenEmpty int64
	for _, class := range placer.index.Matching(request.Filter) {
		refusal.Matching += len(class.Items)
		for capacity, count := range class.Capacities {
			if fitting := fitCount(request.Need, capacity, int64(n)); fitting > 0 {
				refusal.LargeEnough += count
				fittingWhenEmpty += fitting * int64(count)
			}
		}
		refusal.Leaving += class.Tags[Leaving]
		refusal.Quarantined += class.Tags[Quarantined]
	}
	refusal.Held = len(placer.hold.Workers)
	switch {
	case refusal.Matching == 0:
		refusal.Reason = ErrNoMatch
	case fittingWhenEmpty < int64(n):
		refusal.Reason = ErrTooLarge
	}
	return refusal
}
