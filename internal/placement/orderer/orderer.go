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
	// DeprioritizedAt is the time at which the job was moved behind other jobs of its urgency class. Its
	// deadline is then ignored: in its team it is due at twice the aging time after DeprioritizedAt, and
	// for the first aging time it also starts only if no other team's next job can be considered instead.
	// Zero means that the job was not moved.
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
	// DefaultLookAhead limits the jobs skipped in each urgency class during one walk. A walk is one pass
	// over the waiting jobs by Walk. A job is skipped if its tasks can't start now, for instance because
	// they don't fit.
	DefaultLookAhead = 64
	// DefaultTeamLookAhead limits the jobs skipped of each team in each urgency class, so that one team
	// cannot use up the look-ahead of the class.
	DefaultTeamLookAhead = 32
	// DefaultMaxReservationTime limits how long a reservation lasts.
	DefaultMaxReservationTime = 10 * time.Minute
)

const (
	// shareStepsPerQuota is the resolution at which shares are compared, so that laxity decides between
	// teams with about equal shares.
	shareStepsPerQuota = 4
	// laxityEstimateDivisor divides the estimate when laxity is computed. Estimates are inaccurate:
	// subtracting the whole estimate causes more missed deadlines than ignoring it, and subtracting half
	// of it causes fewer.
	laxityEstimateDivisor = 2
	// ampleLaxityFactor is the multiple of its estimate that the laxity of a job must exceed for the job to
	// be overtaken by a job with less laxity from a team with a higher share. The overtaken team misses no
	// deadline because of that, whereas strict order by share would miss several times as many.
	ampleLaxityFactor = 2
	// maxOvertakeQuotaMultiple is the multiple of its quota from which on a team's jobs can no longer
	// overtake those of other teams because of laxity.
	maxOvertakeQuotaMultiple = 2
)

// urgencyClasses is the number of urgency classes.
const urgencyClasses = 3

// Orderer is a queue of waiting jobs. The zero value is empty and uses the default options.
type Orderer struct {
	// AgingTime replaces DefaultAgingTime.
	AgingTime time.Duration
	// LookAhead replaces DefaultLookAhead, and TeamLookAhead replaces DefaultTeamLookAhead.
	LookAhead, TeamLookAhead int
	// MaxReservationTime replaces DefaultMaxReservationTime.
	MaxReservationTime time.Duration

	jobs  map[descriptor.JobID]*waitingJob
	teams map[string]*team
	// active lists, for each urgency class, the teams with queued jobs.
	active      [urgencyClasses][]*team
	sequence    uint64
	tasks       int
	reservation Reservation
	// reservationExpiredAt holds the time at which the last reservation of each job expired. At most one job
	// holds a reservation at a time.
	reservationExpiredAt map[descriptor.JobID]time.Time
}

// waitingJob is a job with its waiting tasks.
type waitingJob struct {
	Entry
	tasks []int
	team  *team
	class int
	// due is the sort key within a team and urgency class: the deadline less half of the estimate. It gives
	// the same order as laxity but doesn't depend on the current time. Jobs that are agingOnly get a time
	// derived from the aging time instead.
	due time.Time
	// agingOnly jobs have no deadline, or one that was missed or is ignored because of DeprioritizedAt.
	// They neither overtake nor are overtaken because of laxity.
	agingOnly bool
	sequence  uint64
	// removed jobs stay in the heap until they reach its top or make up more than half of it.
	removed bool
}

// queue is a heap of the jobs of one team and urgency class.
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
	// active tells for each urgency class whether the team is in the Orderer's list of active teams.
	active [urgencyClasses]bool
	// skipped counts the jobs skipped in the current walk of an urgency class.
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

// deprioritized reports whether less than the aging time has passed since DeprioritizedAt, so that the next
// jobs of other teams are considered first.
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
		added.agingOnly = true
	}
	if !entry.DeprioritizedAt.IsZero() {
		// Twice the aging time, so that jobs without a deadline that arrive while the job is deprioritized
		// are due earlier.
		added.due = entry.DeprioritizedAt.Add(2 * orderer.agingTime())
		added.agingOnly = true
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
		delete(orderer.reservationExpiredAt, job)
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
		orderer.reservationExpiredAt = map[descriptor.JobID]time.Time{}
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

// head returns the first job of a queue, or nil. A job whose deadline has passed becomes agingOnly and due
// at the aging time from now, so that only jobs due before then go ahead of it. A job that would miss its
// deadline according to its estimate keeps its place, because estimates are often too long and moving the
// job back would make it certain to miss.
func (queue *queue) head(now time.Time, agingTime time.Duration) *waitingJob {
	for len(queue.jobs) > 0 {
		first := queue.jobs[0]
		switch {
		case first.removed:
			heap.Pop(queue)
			queue.removedCount--
		case !first.agingOnly && first.Deadline.Before(now):
			first.agingOnly = true
			first.due = now.Add(agingTime)
			heap.Fix(queue, 0)
		default:
			return first
		}
	}
	return nil
}
