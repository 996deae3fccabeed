// Package orderer keeps the waiting work of one shard in the order in which it should start:
// urgency class, then the team with the lowest share of its quota, then laxity, then arrival.
// A team whose next job has ample laxity lets a job with less laxity go first.
//
// The unit of order is the job; its waiting tasks follow each other. Insertions, removals and pops
// cost a logarithm of the number of waiting jobs, and a wave of removals costs time linear in its size.
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
	// Need is the need of one task.
	Need descriptor.Resources
	// Gang means that all waiting tasks start together.
	Gang bool
	// Deadline is zero if there is none.
	Deadline time.Time
	// Estimate is the expected remaining run time of a task.
	Estimate time.Duration
	Arrival  time.Time
	// Behind is when the job was put behind the others of its class, for the aging time;
	// zero if it was not. Its deadline does not count then.
	Behind time.Time
}

// Candidate is work that may start next.
type Candidate struct {
	Entry
	// Tasks is one task, or all waiting tasks of a gang.
	Tasks []int
	// Borrowed means that the start takes the team past its quota.
	Borrowed bool
}

// Defaults of an Orderer's options.
const (
	// DefaultAgingTime bounds how long jobs with no deadline or a missed one are passed over.
	DefaultAgingTime = time.Hour
	// DefaultLookAhead bounds the jobs passed over in each urgency class during one walk.
	DefaultLookAhead = 64
	// DefaultTeamLookAhead bounds them for each team, so that one team cannot use up the look-ahead.
	DefaultTeamLookAhead = 32
	// DefaultMaxReservation bounds the time for which a job may keep others from starting.
	DefaultMaxReservation = 10 * time.Minute
)

const (
	// shareSteps is the number of steps per quota in which shares are compared, so that laxity
	// decides between teams with about equal shares.
	shareSteps = 4
	// estimateDivisor reduces the estimate in the laxity. With the whole estimate, wrong estimates
	// cause more missed deadlines than there are without any; with half of it there are fewer.
	estimateDivisor = 2
	// ampleLaxity is the laxity, in estimates, from which a team lets a more urgent job of another
	// team go first although its own share is lower. It loses no deadline by that, and strict
	// order by share would miss several times as many.
	ampleLaxity = 2
	// maxDeferring is the share up to which a team may be let go first.
	maxDeferring = 2
)

// classes is the number of urgency classes.
const classes = 3

// Orderer is the waiting queue. The zero value is empty and uses the default options.
type Orderer struct {
	// AgingTime replaces DefaultAgingTime.
	AgingTime time.Duration
	// LookAhead and TeamLookAhead replace the defaults of these names.
	LookAhead, TeamLookAhead int
	// MaxReservation replaces DefaultMaxReservation.
	MaxReservation time.Duration

	jobs  map[descriptor.JobID]*group
	teams map[string]*team
	// active lists the teams with queued groups of each class.
	active      [classes][]*team
	sequence    uint64
	tasks       int
	reservation Reservation
	// lapsed is when the last reservation of a job ran out.
	lapsed map[descriptor.JobID]time.Time
}

// group is the waiting tasks of one job.
type group struct {
	Entry
	tasks []int
	team  *team
	class int
	// due stands for laxity: it is the deadline less half the estimate, which orders jobs in the same
	// way at any time.
	due      time.Time
	demoted  bool
	sequence uint64
	// removed groups stay in the heap until they reach its top or are most of it.
	removed bool
}

// queue is a heap of groups.
type queue struct {
	groups  []*group
	removed int
}

type team struct {
	name      string
	quota     descriptor.Resources
	elsewhere descriptor.Resources
	used      descriptor.Resources
	queues    [classes]queue
	listed    [classes]bool
	passed    int
}

func (queue *queue) Len() int {
	return len(queue.groups)
}

func (queue *queue) Less(i, j int) bool {
	return queue.groups[i].before(queue.groups[j])
}

func (queue *queue) Swap(i, j int) {
	queue.groups[i], queue.groups[j] = queue.groups[j], queue.groups[i]
}

func (queue *queue) Push(item any) {
	queue.groups = append(queue.groups, item.(*group))
}

func (queue *queue) Pop() any {
	last := len(queue.groups) - 1
	popped := queue.groups[last]
	queue.groups[last] = nil
	queue.groups = queue.groups[:last]
	return popped
}

func (one *group) before(other *group) bool {
	if order := one.due.Compare(other.due); order != 0 {
		return order < 0
	}
	if order := one.Arrival.Compare(other.Arrival); order != 0 {
		return order < 0
	}
	return one.sequence < other.sequence
}

// behind reports whether the group gives way to all others of its class.
func (one *group) behind(now time.Time, agingTime time.Duration) bool {
	return !one.Behind.IsZero() && now.Before(one.Behind.Add(agingTime))
}

// Add queues tasks of a job. If the job is waiting already, its description is replaced and those of
// the tasks that are not waiting yet are added.
func (orderer *Orderer) Add(entry Entry, tasks ...int) {
	orderer.init()
	waiting := tasks
	if previous, ok := orderer.jobs[entry.Job]; ok {
		waiting = slices.Concat(previous.tasks, tasks)
		orderer.discard(previous)
	}
	if len(waiting) == 0 {
		return
	}
	waiting = slices.Clone(waiting)
	slices.Sort(waiting)
	waiting = slices.Compact(waiting)
	orderer.sequence++
	added := &group{
		Entry:    entry,
		tasks:    waiting,
		team:     orderer.team(entry.Team),
		class:    entry.Urgency.Rank(),
		due:      entry.Deadline.Add(-entry.Estimate / estimateDivisor),
		sequence: orderer.sequence,
	}
	if entry.Deadline.IsZero() {
		added.due = entry.Arrival.Add(orderer.agingTime())
		added.demoted = true
	}
	if !entry.Behind.IsZero() {
		// Work without a deadline that arrives within the aging time is due before.
		added.due = entry.Behind.Add(2 * orderer.agingTime())
		added.demoted = true
	}
	orderer.jobs[entry.Job] = added
	orderer.tasks += len(waiting)
	orderer.push(added)
}

// Remove takes all tasks of the jobs out of the queue and returns how many tasks were waiting.
func (orderer *Orderer) Remove(jobs ...descriptor.JobID) int {
	before := orderer.tasks
	for _, job := range jobs {
		if waiting, ok := orderer.jobs[job]; ok {
			orderer.discard(waiting)
		}
		orderer.Unreserve(job)
		delete(orderer.lapsed, job)
	}
	return before - orderer.tasks
}

// RemoveTask takes one task out of the queue and reports whether it was waiting.
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

// Waiting returns the description and the waiting tasks of a job.
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
		orderer.jobs = map[descriptor.JobID]*group{}
		orderer.teams = map[string]*team{}
		orderer.lapsed = map[descriptor.JobID]time.Time{}
	}
}

func (orderer *Orderer) agingTime() time.Duration {
	if orderer.AgingTime > 0 {
		return orderer.AgingTime
	}
	return DefaultAgingTime
}

func (orderer *Orderer) push(added *group) {
	team := added.team
	heap.Push(&team.queues[added.class], added)
	if !team.listed[added.class] {
		team.listed[added.class] = true
		orderer.active[added.class] = append(orderer.active[added.class], team)
	}
}

// discard marks a queued group as removed. Removed groups are swept out together, so that a wave of
// removals costs time linear in its size.
func (orderer *Orderer) discard(removed *group) {
	removed.removed = true
	delete(orderer.jobs, removed.Job)
	orderer.tasks -= len(removed.tasks)
	queue := &removed.team.queues[removed.class]
	queue.removed++
	if queue.removed*2 > len(queue.groups) {
		queue.groups = slices.DeleteFunc(queue.groups, func(one *group) bool {
			return one.removed
		})
		queue.removed = 0
		heap.Init(queue)
	}
}

// head returns the first group of a queue, or nil. A group whose deadline has passed gives way to the
// others for a bounded time. Groups that seem too late by their estimate keep their place, because
// estimates are often too long and giving way would make the miss certain.
func (queue *queue) head(now time.Time, agingTime time.Duration) *group {
	for len(queue.groups) > 0 {
		first := queue.groups[0]
		switch {
		case first.removed:
			heap.Pop(queue)
			queue.removed--
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
