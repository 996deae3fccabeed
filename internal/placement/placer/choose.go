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

// Reasons of a Refusal, for errors.Is.
var (
	// ErrNoMatch means that no known worker matches the selectors.
	ErrNoMatch = errors.New("no worker matches the selectors")
	// ErrTooLarge means that the work does not fit the matching workers even when they are empty.
	ErrTooLarge = errors.New("larger than the matching workers")
	// ErrNoRoom means that the work may fit later.
	ErrNoRoom = errors.New("no room now")
)

// Refusal tells why nothing was found.
type Refusal struct {
	// Reason is ErrNoMatch, ErrTooLarge or ErrNoRoom.
	Reason error
	// Workers counts the known workers and Matching those that the selectors match.
	Workers, Matching int
	// LargeEnough counts the matching workers that could hold one task when empty.
	LargeEnough int
	// Leaving and Quarantined count the matching workers that take no new runs.
	Leaving, Quarantined int
	// Held counts the workers of the shard that are kept for a gang, whether they match or not.
	Held int
	// Tasks is the number of tasks asked for.
	Tasks int
	// Room is the number of tasks that could start now. It is counted for gangs only.
	Room int
}

func (refusal *Refusal) Error() string {
	return fmt.Sprintf("%v: %d workers, %d matching, %d large enough, %d leaving, %d quarantined, %d held, room for %d of %d tasks",
		refusal.Reason, refusal.Workers, refusal.Matching, refusal.LargeEnough, refusal.Leaving,
		refusal.Quarantined, refusal.Held, refusal.Room, refusal.Tasks)
}

// Unwrap returns the reason.
func (refusal *Refusal) Unwrap() error {
	return refusal.Reason
}

// Request asks for a worker for one task or for each of the equal tasks of a gang.
type Request struct {
	// Job is needed for spreading only.
	Job    descriptor.JobID
	Need   descriptor.Resources
	Where  Where
	Spread parser.Spread
	// Avoid lists workers that are chosen only if no other one has room, such as those on which the
	// task failed.
	Avoid []descriptor.WorkerID
	// End is when the task is expected to end. Work that ends before the start of a Hold may use the
	// held workers until then. Zero means that the end is not known.
	End time.Time
	// Holder gives access to the held workers.
	Holder bool
	// TrialAllowed prefers workers on trial. It is meant for work that may run twice.
	TrialAllowed bool
}

const (
	// maxCandidates bounds the workers compared in each bucket. Fewer pack workers of several shapes
	// less densely.
	maxCandidates = 16
	// spreadCandidates bounds the equally loaded workers compared when spreading.
	spreadCandidates = 4
)

// Place returns the worker for one task, or a Refusal. It reserves nothing.
func (placer *Placer) Place(request Request) (descriptor.WorkerID, error) {
	worker := placer.choose(&request)
	if worker == nil {
		return "", placer.refuse(&request, 1, 0)
	}
	return worker.ID, nil
}

// PlaceGang returns workers for all n tasks, or a Refusal. It reserves nothing.
func (placer *Placer) PlaceGang(request Request, n int) ([]descriptor.WorkerID, error) {
	if n <= 0 || request.Need.Negative() {
		return nil, ErrInvalid
	}
	request.TrialAllowed = false
	if room := placer.room(&request, n); room < n {
		return nil, placer.refuse(&request, n, room)
	}
	placed := make([]descriptor.WorkerID, 0, n)
	chosen := make([]*entry, 0, n)
	for range n {
		worker := placer.choose(&request)
		if worker == nil {
			break
		}
		chosen = append(chosen, worker)
		placed = append(placed, worker.ID)
		placer.init()
		placer.count(request.Job, worker, 1)
		take(worker, request.Need)
	}
	for _, worker := range slices.Backward(chosen) {
		placer.count(request.Job, worker, -1)
		take(worker, descriptor.Resources{}.Sub(request.Need))
	}
	if len(placed) < n {
		return nil, placer.refuse(&request, n, len(placed))
	}
	return placed, nil
}

// choose returns the best worker, or nil.
func (placer *Placer) choose(request *Request) *entry {
	if request.Need.Negative() {
		return nil
	}
	groups := placer.index.Matching(request.Where)
	if request.TrialAllowed {
		if worker := placer.chooseTrial(request); worker != nil {
			return worker
		}
	}
	best := placer.bestFit(request, groups, false)
	if best == nil && placer.mayUseHeld(request) {
		best = placer.bestFit(request, groups, true)
	}
	if best == nil || request.Spread == "" {
		return best
	}
	return placer.spread(request, best)
}

func (placer *Placer) mayUseHeld(request *Request) bool {
	if len(placer.hold.Workers) == 0 {
		return false
	}
	return request.Holder || !request.End.IsZero() && !request.End.After(placer.hold.Start)
}

func (placer *Placer) chooseTrial(request *Request) *entry {
	for _, worker := range placer.trials {
		if worker.trialRuns == 0 && request.Need.Fits(worker.free) && !slices.Contains(request.Avoid, worker.ID) &&
			request.Where.Matches(worker.item.Labels()) {
			return worker
		}
	}
	return nil
}

// bestFit searches workers without accelerators before the others, and those with the fewest free
// accelerators first, so that accelerators stay free for the work that needs them.
func (placer *Placer) bestFit(request *Request, groups []*indexer.Class[*entry], held bool) *entry {
	search := search{
		placer:  placer,
		request: request,
	}
	for i, group := range groups {
		if search.best != nil && group.Accelerated && !groups[i-1].Accelerated {
			break
		}
		search.left = maxCandidates
		group.Visit(held, request.Need, search.compare)
	}
	if search.best == nil {
		return search.avoided
	}
	return search.best
}

// search is the state of a search for the best fit.
type search struct {
	placer  *Placer
	request *Request
	best    *entry
	score   float64
	// avoided is a worker that fits but that the request avoids.
	avoided *entry
	// left counts the workers that may still be compared in a class.
	left int
}

func (search *search) compare(worker *entry) (found, more bool) {
	if len(search.request.Avoid) > 0 && slices.Contains(search.request.Avoid, worker.ID) {
		search.avoided = worker
		return false, true
	}
	score := search.placer.score(search.request, worker)
	if search.best == nil || score < search.score {
		search.best, search.score = worker, score
	}
	search.left--
	return true, search.left > 0
}

// score is lower for a better fit. Among the fullest workers, the one is best on which the task leaves
// processors and memory in, or nearest to, the proportion they have over the whole shard, because
// what is left is then of use to other work.
func (placer *Placer) score(request *Request, worker *entry) float64 {
	left := worker.free.Sub(request.Need)
	return float64(left.Accelerators) + math.Abs(placer.balance.of(left)) - math.Abs(placer.balance.of(worker.free))
}

// balance weighs processors against memory by the amounts that the shard has.
type balance struct {
	perMilliCPU, perByte float64
}

func newBalance(capacity descriptor.Resources) balance {
	return balance{
		perMilliCPU: 1 / float64(max(capacity.MilliCPU, 1)),
		perByte:     1 / float64(max(capacity.MemoryBytes, 1)),
	}
}

// of is positive if there is more processor time than memory in proportion.
func (balance balance) of(amount descriptor.Resources) float64 {
	return float64(amount.MilliCPU)*balance.perMilliCPU - float64(amount.MemoryBytes)*balance.perByte
}

// spread returns the worker on the rack, or the worker itself, with the fewest runs of the job.
// It starts at a place that depends on the job and goes on until some equally good ones are found.
func (placer *Placer) spread(request *Request, fallback *entry) *entry {
	counts := placer.jobs[request.Job]
	if counts == nil {
		return fallback
	}
	mayUseHeld := placer.mayUseHeld(request)
	var best *entry
	bestCount, bestScore, free := 0, 0.0, 0
	for i := range placer.racks {
		shelf := placer.racks[(i+counts.total)%len(placer.racks)]
		for _, worker := range shelf.workers {
			if !worker.item.IsOpen() || worker.held && !mayUseHeld || !request.Need.Fits(worker.free) ||
				!request.Where.Matches(worker.item.Labels()) || slices.Contains(request.Avoid, worker.ID) {
				continue
			}
			count := counts.of(request.Spread, worker)
			score := placer.score(request, worker)
			if best == nil || count < bestCount || count == bestCount && score < bestScore {
				best, bestCount, bestScore = worker, count, score
			}
			if count == 0 {
				free++
			}
		}
		if free >= spreadCandidates {
			break
		}
	}
	if best == nil {
		return fallback
	}
	return best
}

// of returns what is to be kept low for the kind of spread, with the other kind breaking ties.
func (counts *spreadCount) of(kind parser.Spread, worker *entry) int {
	if kind == parser.SpreadWorker {
		return counts.workers[worker]<<16 + counts.racks[worker.rack]
	}
	return counts.racks[worker.rack]<<16 + counts.workers[worker]
}

// room counts the tasks that could start now, up to n.
func (placer *Placer) room(request *Request, n int) int {
	mayUseHeld := placer.mayUseHeld(request)
	room := 0
	for _, group := range placer.index.Matching(request.Where) {
		for _, item := range group.Items {
			worker := item.Value
			if !worker.item.IsOpen() || worker.held && !mayUseHeld {
				continue
			}
			room += int(times(request.Need, worker.free, int64(n)))
			if room >= n {
				return n
			}
		}
	}
	return room
}

// times returns how often need fits into amount, at most limit.
func times(need, amount descriptor.Resources, limit int64) int64 {
	if amount.Negative() {
		return 0
	}
	for _, pair := range [...][2]int64{
		{need.MilliCPU, amount.MilliCPU},
		{need.MemoryBytes, amount.MemoryBytes},
		{need.Accelerators, amount.Accelerators},
	} {
		if pair[0] > 0 {
			limit = min(limit, pair[1]/pair[0])
		}
	}
	return limit
}

func (placer *Placer) refuse(request *Request, n, room int) error {
	refusal := &Refusal{
		Reason:  ErrNoRoom,
		Workers: len(placer.workers),
		Tasks:   n,
		Room:    room,
	}
	var possible int64
	for _, group := range placer.index.Matching(request.Where) {
		refusal.Matching += len(group.Items)
		for capacity, count := range group.Capacities {
			if fitting := times(request.Need, capacity, int64(n)); fitting > 0 {
				refusal.LargeEnough += count
				possible += fitting * int64(count)
			}
		}
		refusal.Leaving += group.Tags[Leaving]
		refusal.Quarantined += group.Tags[Quarantined]
	}
	refusal.Held = len(placer.hold.Workers)
	switch {
	case refusal.Matching == 0:
		refusal.Reason = ErrNoMatch
	case possible < int64(n):
		refusal.Reason = ErrTooLarge
	}
	return refusal
}
