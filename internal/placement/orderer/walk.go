package orderer

import (
	"container/heap"
	"slices"
	"time"
)

// Decision tells Walk what to do with a candidate.
type Decision int

// The decisions on a candidate.
const (
	// Skip leaves the job waiting and continues with the next one.
	Skip Decision = iota
	// Placed removes the candidate's tasks from the queue and charges its team for them.
	Placed
	// Drop removes the whole job from the queue, for instance because it can never run.
	Drop
	// Stop leaves the job waiting and ends the walk.
	Stop
)

// Walk calls visit for the waiting candidates in order. A skipped job doesn't block those after it, up
// to the look-ahead of its team and urgency class. Visit must not call methods of the Orderer.
func (orderer *Orderer) Walk(now time.Time, visit func(Candidate) Decision) {
	for class := range urgencyClasses {
		if !orderer.walkClass(now, class, visit) {
			return
		}
	}
}

// walkClass walks one urgency class. It returns false if a decision was Stop.
func (orderer *Orderer) walkClass(now time.Time, class int, visit func(Candidate) Decision) bool {
	var skipped []*waitingJob
	defer func() {
		for _, job := range skipped {
			if !job.removed {
				orderer.push(job)
			}
		}
	}()
	for _, team := range orderer.active[class] {
		team.skipped = 0
	}
	for len(skipped) < valueOrDefault(orderer.LookAhead, DefaultLookAhead) {
		next := orderer.nextJob(now, class)
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
			next.team.skipped++
			skipped = append(skipped, next)
		}
	}
	return true
}

// Pop removes the first candidate from the queue and charges its team for it.
func (orderer *Orderer) Pop(now time.Time) (Candidate, bool) {
	for class := range urgencyClasses {
		for _, team := range orderer.active[class] {
			team.skipped = 0
		}
		if next := orderer.nextJob(now, class); next != nil {
			candidate := next.candidate()
			orderer.place(next)
			return candidate, true
		}
	}
	return Candidate{}, false
}

// nextJob returns the next job of an urgency class, or nil. Deprioritized jobs are considered only if
// no team's next job is another one.
func (orderer *Orderer) nextJob(now time.Time, class int) *waitingJob {
	var best, tightest, bestDeprioritized *waitingJob
	bestShareStep := 0
	limit := valueOrDefault(orderer.TeamLookAhead, DefaultTeamLookAhead)
	orderer.removeIdleTeams(now, class)
	for _, team := range orderer.active[class] {
		if team.skipped >= limit {
			continue
		}
		head := team.queues[class].jobs[0]
		if head.deprioritized(now, orderer.agingTime()) {
			if bestDeprioritized == nil || head.before(bestDeprioritized) {
				bestDeprioritized = head
			}
			continue
		}
		share := team.share()
		shareStep := int(share * shareStepsPerQuota)
		if best == nil || shareStep < bestShareStep || shareStep == bestShareStep && head.before(best) {
			best, bestShareStep = head, shareStep
		}
		if share < maxOvertakeQuotaMultiple && !head.agingOnly && (tightest == nil || head.before(tightest)) {
			tightest = head
		}
	}
	if best == nil {
		return bestDeprioritized
	}
	if tightest != nil && tightest.before(best) && !best.agingOnly && best.due.Sub(now) > ampleLaxityFactor*best.Estimate {
		return tightest
	}
	return best
}

// removeIdleTeams removes the teams without queued jobs of an urgency class from its list of active teams. For
// the other teams, it brings the next job to the top of the heap.
func (orderer *Orderer) removeIdleTeams(now time.Time, class int) {
	orderer.active[class] = slices.DeleteFunc(orderer.active[class], func(team *team) bool {
		team.active[class] = team.queues[class].head(now, orderer.agingTime()) != nil
		return !team.active[class]
	})
}

func (waitingJob *waitingJob) candidate() Candidate {
	candidate := Candidate{
		Entry: waitingJob.Entry,
		Tasks: waitingJob.tasks[:1:1],
	}
	if waitingJob.Gang {
		candidate.Tasks = waitingJob.tasks[:len(waitingJob.tasks):len(waitingJob.tasks)]
	}
	used := waitingJob.team.used.Add(waitingJob.team.otherShardsUsage).Add(waitingJob.Need.Scale(int64(len(candidate.Tasks))))
	candidate.OverQuota = !used.Fits(waitingJob.team.quota)
	return candidate
}

// place removes the next task of a job, or all tasks of a gang, and charges the team for them.
func (orderer *Orderer) place(job *waitingJob) {
	count := 1
	if job.Gang {
		count = len(job.tasks)
	}
	job.team.used = job.team.used.Add(job.Need.Scale(int64(count)))
	job.tasks = job.tasks[count:]
	orderer.tasks -= count
	if len(job.tasks) == 0 {
		orderer.Remove(job.Job)
	}
}

func valueOrDefault(value, defaultValue int) int {
	if value > 0 {
		return value
	}
	return defaultValue
}
