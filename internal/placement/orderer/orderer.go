// Package orderer is the priority queue of the waiting jobs of one shard. It orders them by urgency
// class, then by the dominant share that their team uses of its quota, lowest first, then by laxity
// (the time to the deadline less half of the estimated run time), then by arrival. A job with less
// laxity may overtake the next job of a team with a lower share if that job has ample laxity.
//
// The waiting tasks of a job follow each other. Insertions, removals and pops take logarithmic time in
// the number of waiting jobs, and removing many jobs takes time linear in their number.
package orderer

import (
	"container/heap"
	"slices"
	"time"

	"pomelomoor/internal/work/descriptor"
)

// Entry describes a waiting job.
type Entry struct {
	Job     descriptor.JobID
	Team    string
	Urgency descriptor.Urgency
	// Need is the resources required by one task.
	Need descriptor.Resources
	// Gang means that all waiting tasks start together.
	Gang bool
	// Deadline is zero if the job has none.
	Deadline time.Time
	// Estimate is the expected remaining run time of a task.
	Estimate time.Duration
	Arrival  time.Time
	// DeprioritizedAt is the time at which the job was moved behind all other jobs of its class, where it
	// stays for the aging time. Its deadline is then ignored. Zero means that the job was not moved.
	DeprioritizedAt time.Time
}

// Candidate is a task or a gang that may start next.
type Candidate struct {
	Entry
	// Tasks is one task, or all waiting tasks of a gang.
	Tasks []int
	// OverQuota means that starting the tasks makes the team exceed its quota.
	OverQuota bool
}

// Default values of the options of an Orderer.
const (
	// DefaultAgingTime limits how long jobs without a deadline or with a missed one may be overtaken.
	DefaultAgingTime = time.Hour
	// DefaultLookAhead limits the jobs skipped in each urgency class during one walk.
	DefaultLookAhead = 64
	// DefaultTeamLookAhead limits the jobs skipped of each team, so that one team cannot use up the
	// look-ahead of the class.
	DefaultTeamLookAhead = 32
	// DefaultMaxReservation limits how long a reservation lasts.
	DefaultMaxReservation = 10 * time.Minute
)

const (
	// shareStepsPerQuota is the resolution at which shares are compared, so that laxity decides between
	// teams with about equal shares.
	shareStepsPerQuota = 4
	// laxityEstimateDivisor divides the estimate when laxity is computed. Estimates are inaccurate:
	// subtracting the whole estimate causes more missed deadlines than ignoring it, and subtracting half
	// of it causes fewer.
	laxityEstimateDivisor = 2
	// ampleLaxityEstimates is the laxity, as a multiple of the estimate, above which a job may be
	// overtaken by a job with less laxity from a team with a higher share. The overtaken team misses no
	// deadline because of that, whereas strict order by share would miss several times as many.
	ampleLaxityEstimates = 2
	// maxOvertakeShare is the share of its quota at which a team's jobs can no longer overtake.
	maxOvertakeShare = 2
)

// urgencyClasses is the number of urgency classes.
const urgencyClasses = 3

// Orderer is a queue of waiting jobs. The zero value is empty and uses the default options.
type Orderer struct {
	// AgingTime replaces DefaultAgingTime.
	AgingTime time.Duration
	// LookAhead replaces DefaultLookAhead, and TeamLookAhead replaces DefaultTeamLookAhead.
	LookAhead, TeamLookAhead int
	// MaxReservation replaces DefaultMaxReservation.
	MaxReservation time.Duration

	jobs  map[descriptor.JobID]*waitingJob
	teams map[string]*team
	// active lists, for each class, the teams with queued jobs.
	active      [urgencyClasses][]*team
	sequence    uint64
	tasks       int
	reservation Reservation
	// expired is the time at which the last reservation of a job expired.
	expired map[descriptor.JobID]time.Time
}

// waitingJob is a job with its waiting tasks.
type waitingJob struct {
	Entry
	tasks []int
	team  *team
	class int
	// due is the sort key within a team and class: the deadline less half of the estimate. It gives the
	// same order as laxity but doesn't depend on the current time. Jobs that are demoted get a time
	// derived from the aging time instead.
	due time.Time
	// demoted jobs have no deadline, or one that was missed or is ignored. They neither overtake nor are
	// overtaken because of laxity.
	demoted  bool
	sequence uint64
	// removed jobs stay in the heap until they reach its top or make up more than half of it.
	removed bool
}

// queue is a heap of the jobs of one team and class.
type queue struct {
	jobs         []*waitingJob
	removedCount int
}

type team struct {
	name             string
	quota            descriptor.Resources
	otherShardsUsage descriptor.Resources
	used             descriptor.Resources
	queues           [urgencyClasses]queue
	// active tells for each class whether the team is in the Orderer's list of active teams.
	active [urgencyClasses]bool
	// skipped counts the jobs skipped in the current walk of a class.
	skipped int
}

func (queue *queue) Len() int {
	return len(queue.jobs)
}

func (queue *queue) Less(i, j int) bool {
	return queue.jobs[i].before(queue.jobs[j])
}

func (queue *queue) Swap(i, j int) {
	queue.jobs[i], queue.jobs[j] = queue.jobs[j], queue.jobs[i]
}

func (queue *queue) Push(item any) {
	queue.jobs = append(queue.jobs, item.(*waitingJob))
}

func (queue *queue) Pop() any {
	last := len(queue.jobs) - 1
	popped := queue.jobs[last]
	queue.jobs[last] = nil
	queue.jobs = queue.jobs[:last]
	return popped
}

// before reports whether the job sorts before other, regardless of their teams.
func (waitingJob *waitingJob) before(other *waitingJob) bool {
	if order := waitingJob.due.Compare(other.due); order != 0 {
		return order < 0
	}
	if order := waitingJob.Arrival.Compare(other.Arrival); order != 0 {
		return order < 0
	}
	return waitingJob.sequence < other.sequence
}

// deprioritized reports whether the job is still ordered after all others of its class.
func (waitingJob *waitingJob) deprioritized(now time.Time, agingTime time.Duration) bool {
	return !waitingJob.DeprioritizedAt.IsZero() && now.Before(waitingJob.DeprioritizedAt.Add(agingTime))
}

// Add queues tasks of a job. If the job is waiting already, its entry is replaced and the tasks that
// are not waiting yet are added.
func (orderer *Orderer) Add(entry Entry, tasks ...int) {
	orderer.init()
	waiting := tasks
	if previous, ok := orderer.jobs[entry.Job]; ok {
		waiting = slices.Concat(previous.tasks, tasks)
		orderer.markRemoved(previous)
	}
	if len(waiting) == 0 {
		return
	}
	waiting = slices.Clone(waiting)
	slices.Sort(waiting)
	waiting = slices.Compact(waiting)
	orderer.sequence++
	added := &waitingJob{
		Entry:    entry,
		tasks:    waiting,
		team:     orderer.team(entry.Team),
		class:    entry.Urgency.Rank(),
		due:      entry.Deadline.Add(-entry.Estimate / laxityEstimateDivisor),
		sequence: orderer.sequence,
	}
	if entry.Deadline.IsZero() {
		added.due = entry.Arrival.Add(orderer.agingTime())
		added.demoted = true
	}
	if !entry.DeprioritizedAt.IsZero() {
		// Twice the aging time, so that jobs without a deadline that arrive within the aging time are
		// due earlier.
		added.due = entry.DeprioritizedAt.Add(2 * orderer.agingTime())
		added.demoted = true
	}
	orderer.jobs[entry.Job] = added
	orderer.tasks += len(waiting)
	orderer.push(added)
}

// Remove removes all tasks of the jobs and returns how many tasks were waiting. It also ends their
// reservations.
func (orderer *Orderer) Remove(jobs ...descriptor.JobID) int {
	before := orderer.tasks
	for _, job := range jobs {
		if waiting, ok := orderer.jobs[job]; ok {
			orderer.markRemoved(waiting)
		}
		orderer.CancelReservation(job)
		delete(orderer.expired, job)
	}
	return before - orderer.tasks
}

// RemoveTask removes one task and reports whether it was waiting.
func (orderer *Orderer) RemoveTask(job descriptor.JobID, task int) bool {
	waiting, ok := orderer.jobs[job]
	if !ok {
		return false
	}
	i, ok := slices.BinarySearch(waiting.tasks, task)
	if !ok {
		return false
	}
	waiting.tasks = slices.Delete(waiting.tasks, i, i+1)
	orderer.tasks--
	if len(waiting.tasks) == 0 {
		orderer.Remove(job)
	}
	return true
}

// Waiting returns the entry and the waiting tasks of a job.
func (orderer *Orderer) Waiting(job descriptor.JobID) (Entry, []int, bool) {
	waiting, ok := orderer.jobs[job]
	if !ok {
		return Entry{}, nil, false
	}
	return waiting.Entry, slices.Clone(waiting.tasks), true
}

// Len returns the number of waiting jobs and tasks.
func (orderer *Orderer) Len() (jobs, tasks int) {
	return len(orderer.jobs), orderer.tasks
}

func (orderer *Orderer) init() {
	if orderer.jobs == nil {
		orderer.jobs = map[descriptor.JobID]*waitingJob{}
		orderer.teams = map[string]*team{}
		orderer.expired = map[descriptor.JobID]time.Time{}
	}
}

func (orderer *Orderer) agingTime() time.Duration {
	if orderer.AgingTime > 0 {
		return orderer.AgingTime
	}
	return DefaultAgingTime
}

func (orderer *Orderer) push(added *waitingJob) {
	team := added.team
	heap.Push(&team.queues[added.class], added)
	if !team.active[added.class] {
		team.active[added.class] = true
		orderer.active[added.class] = append(orderer.active[added.class], team)
	}
}

// markRemoved removes a job lazily. Its heap entry is deleted later, together with others, so that
// removing many jobs takes time linear in their number.
func (orderer *Orderer) markRemoved(removed *waitingJob) {
	removed.removed = true
	delete(orderer.jobs, removed.Job)
	orderer.tasks -= len(removed.tasks)
	queue := &removed.team.queues[removed.class]
	queue.removedCount++
	if queue.removedCount*2 > len(queue.jobs) {
		queue.jobs = slices.DeleteFunc(queue.jobs, func(job *waitingJob) bool {
			return job.removed
		})
		queue.removedCount = 0
		heap.Init(queue)
	}
}

// head returns the first job of a queue, or nil. A job whose deadline has passed is demoted behind the
// others for a bounded time. A job that would miss its deadline according to its estimate is not,
// because estimates are often too long and demoting the job would make it certain to miss.
func (queue *queue) head(now time.Time, agingTime time.Duration) *waitingJob {
	for len(queue.jobs) > 0 {
		first := queue.jobs[0]
		switch {
		case first.removed:
			heap.Pop(queue)
			queue.removedCount--
		case !first.demoted && first.Deadline.Before(now):
			first.demoted = true
			first.due = now.Add(agingTime)
			heap.Fix(queue, 0)
		default:
			return first
		}
	}
	return nil
}
