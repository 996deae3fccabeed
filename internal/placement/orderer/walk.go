package orderer

import (
	"container/heap"
	"slices"
	"time"
)

// Verdict is what became of a candidate.
type Verdict int

// The verdicts.
const (
	// Skip leaves the job waiting and goes on with the next one.
	Skip Verdict = iota
	// Placed takes the candidate's tasks out of the queue and charges its team.
	Placed
	// Drop takes the whole job out of the queue, for instance because it can never run.
	Drop
	// Stop leaves the job waiting and ends the walk.
	Stop
)

// Walk offers waiting work to visit in order. A job that is skipped does not block those behind it,
// up to the look-ahead of its team and class. Visit must not call the Orderer.
func (orderer *Orderer) Walk(now time.Time, visit func(Candidate) Verdict) {
	for class := range classes {
		if !orderer.walkClass(now, class, visit) {
			return
		}
	}
}

func (orderer *Orderer) walkClass(now time.Time, class int, visit func(Candidate) Verdict) bool {
	var skipped []*group
	defer func() {
		for _, one := range skipped {
			if !one.removed {
				orderer.push(one)
			}
		}
	}()
	for _, team := range orderer.active[class] {
		team.passed = 0
	}
	for len(skipped) < option(orderer.LookAhead, DefaultLookAhead) {
		next := orderer.first(now, class)
		if next == nil {
			return true
		}
		switch visit(next.candidate()) {
		case Placed:
			orderer.place(next)
		case Drop:
			orderer.Remove(next.Job)
		case Stop:
			return false
		default:
			heap.Pop(&next.team.queues[class])
			next.team.passed++
			skipped = append(skipped, next)
		}
	}
	return true
}

// Pop takes the first candidate out of the queue and charges its team.
func (orderer *Orderer) Pop(now time.Time) (Candidate, bool) {
	for class := range classes {
		for _, team := range orderer.active[class] {
			team.passed = 0
		}
		if next := orderer.first(now, class); next != nil {
			candidate := next.candidate()
			orderer.place(next)
			return candidate, true
		}
	}
	return Candidate{}, false
}

// first returns the group of a class that starts first.
func (orderer *Orderer) first(now time.Time, class int) *group {
	var best, tightest, last *group
	bestStep := 0
	limit := option(orderer.TeamLookAhead, DefaultTeamLookAhead)
	orderer.dropIdle(now, class)
	for _, team := range orderer.active[class] {
		if team.passed >= limit {
			continue
		}
		head := team.queues[class].groups[0]
		if head.behind(now, orderer.agingTime()) {
			if last == nil || head.before(last) {
				last = head
			}
			continue
		}
		share := team.share()
		step := int(share * shareSteps)
		if best == nil || step < bestStep || step == bestStep && head.before(best) {
			best, bestStep = head, step
		}
		if share < maxDeferring && !head.demoted && (tightest == nil || head.before(tightest)) {
			tightest = head
		}
	}
	if best == nil {
		return last
	}
	if tightest != nil && tightest.before(best) && !best.demoted && best.due.Sub(now) > ampleLaxity*best.Estimate {
		return tightest
	}
	return best
}

// dropIdle takes the teams without groups of a class from its list and brings the first group of
// each other team to the top of its queue.
func (orderer *Orderer) dropIdle(now time.Time, class int) {
	orderer.active[class] = slices.DeleteFunc(orderer.active[class], func(team *team) bool {
		team.listed[class] = team.queues[class].head(now, orderer.agingTime()) != nil
		return !team.listed[class]
	})
}

func (one *group) candidate() Candidate {
	candidate := Candidate{
		Entry: one.Entry,
		Tasks: one.tasks[:1:1],
	}
	if one.Gang {
		candidate.Tasks = one.tasks[:len(one.tasks):len(one.tasks)]
	}
	used := one.team.used.Add(one.team.elsewhere).Add(one.Need.Scale(int64(len(candidate.Tasks))))
	candidate.Borrowed = !used.Fits(one.team.quota)
	return candidate
}

func (orderer *Orderer) place(one *group) {
	count := 1
	if one.Gang {
		count = len(one.tasks)
	}
	one.team.used = one.team.used.Add(one.Need.Scale(int64(count)))
	one.tasks = one.tasks[count:]
	orderer.tasks -= count
	if len(one.tasks) == 0 {
		orderer.Remove(one.Job)
	}
}

func option(value, standard int) int {
	if value > 0 {
		return value
	}
	return standard
}
