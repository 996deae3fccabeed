package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pomelomoor/internal/cell/describer"
)

const (
	// minTicketValidity is how long a ticket must remain valid after it is chosen for a run.
	minTicketValidity = 200 * time.Millisecond
	// adviceRetryInterval is the minimum time from an answer to the next request for the same step while it has
	// valid tickets. The policy's base latency replaces it if that is longer.
	adviceRetryInterval = 60 * time.Millisecond
	// noWorkersDelay is how long a step without a worker to ask for is not looked at again. Looking takes all workers.
	noWorkersDelay = 100 * time.Millisecond
	// extraWorkersBudget is the extra latency accepted for adding workers to a request, which can save a second one.
	extraWorkersBudget = 5 * time.Millisecond
	// adviceTimeout is when an unanswered request counts as lost. Every request normally ends in an answer or an
	// error, and one that is still queued for an instance must not be duplicated.
	adviceTimeout = 30 * time.Second
	// usualRequestSize limits the workers in one request when that many suffice. The service objectives count one
	// call per 30 workers.
	usualRequestSize = 30
	// maxRequestSize is the protocol's limit on the workers in one request.
	maxRequestSize = 100
	// minTasksPerWorker is the lower bound for the estimated tasks per worker, for workers that are full now.
	minTasksPerWorker = 0.5
	// maxOpenRequests limits the concurrent requests for one step. A wide gang needs valid tickets for more
	// workers at the same time than one request can name.
	maxOpenRequests = 4
	// requestOversampling multiplies the number of workers needed, since other steps use up their capacity before
	// the answer arrives.
	requestOversampling = 3
	// adviceChoice is how many times as many workers as are named in a request are compared for that.
	adviceChoice = 4
	// minRequestSize is the minimum number of workers in a request.
	minRequestSize = 4
	// defaultAllowedShare is the assumed share of allowed workers until answers give an estimate.
	defaultAllowedShare = 0.5
)

// advice holds the answers of the advice service for a step and the state of its requests.
type advice struct {
	// openRequests counts the unanswered requests; lastRequest is when the last of them was issued.
	openRequests int
	lastRequest  time.Time
	lastAnswer   time.Time
	// tickets holds the latest ticket for each worker.
	tickets map[describer.WorkerID]ticket
	// answers counts the answers so far.
	answers int
	// validUntil is when the last of the tickets expires.
	validUntil time.Time
	// allowed maps each worker named in an answered request to whether it may run the step.
	allowed map[describer.WorkerID]bool
	// noWorkersUntil is until when the step is not looked at again after no worker was left to ask for.
	noWorkersUntil time.Time
	// unplacedInLastPass means that some tasks found no worker when the step was last placed, for lack of free capacity
	// or of valid tickets.
	unplacedInLastPass bool
}

// ticket permits one worker to run a step until it expires.
type ticket struct {
	text    string
	expires time.Time
	// worker is the worker that was known when the ticket came, which saves a pass from looking it up; nil if none was.
	worker *worker
}

func (ticket ticket) valid(now time.Time) bool {
	return now.Add(minTicketValidity).Before(ticket.expires)
}

// expired reports whether a worker would reject the ticket. Steps without an advice policy use the zero ticket,
// which never expires.
func (ticket ticket) expired(now time.Time) bool {
	return !ticket.expires.IsZero() && !now.Before(ticket.expires)
}

// hasValidTicket reports whether any ticket can be used. In a cell that is behind most waiting steps have none, and are
// not to cost a pass a look at each of their expired ones.
func (advice *advice) hasValidTicket(now time.Time) bool {
	return ticket{
		expires: advice.validUntil,
	}.valid(now)
}

// drop removes the ticket of a worker that did not accept it.
func (advice *advice) drop(worker describer.WorkerID) {
	delete(advice.tickets, worker)
	advice.validUntil = time.Time{}
	for _, ticket := range advice.tickets {
		if ticket.expires.After(advice.validUntil) {
			advice.validUntil = ticket.expires
		}
	}
}

// requestAdvice requests tickets for a waiting step that has no valid ones or cannot place its tasks with them.
func (scheduler *Scheduler) requestAdvice(now time.Time, queued queuedStep) {
	step := queued.step
	policy := step.job.policy.Advice
	advice := &step.advice
	if policy == nil || step.wantedTasks(now) == 0 || step.blockers > 0 {
		return
	}
	if advice.openRequests > 0 {
		if now.Sub(advice.lastRequest) > adviceTimeout {
			advice.openRequests = 0
		}
		return
	}
	if advice.hasValidTicket(now) && (!advice.unplacedInLastPass || now.Sub(advice.lastAnswer) < max(adviceRetryInterval, policy.Base)) {
		return
	}
	count := scheduler.adviceCandidateCount(step, step.wantedTasks(now))
	if now.Before(advice.noWorkersUntil) || !scheduler.adviceRoom.has(requestDuration(policy, count)) {
		return
	}
	workers := scheduler.adviceCandidates(now, step, count)
	if len(workers) == 0 {
		advice.noWorkersUntil = now.Add(noWorkersDelay)
		return
	}
	requests := (len(workers) + maxRequestSize - 1) / maxRequestSize
	expected := requestDuration(policy, len(workers))
	if !scheduler.adviceRoom.take(expected) {
		return
	}
	advice.lastRequest = now
	for range requests - 1 {
		// A step whose first request has room gets its others too, since their tickets have to be valid together.
		scheduler.adviceRoom.take(expected)
	}
	for batch := range slices.Chunk(workers, (len(workers)+requests-1)/requests) {
		advice.openRequests++
		scheduler.stats.AdviceCalls++
		scheduler.effects.Advice = append(scheduler.effects.Advice, AdviceRequest{
			Step:             step.id(),
			Workers:          batch,
			Lateness:         queued.lateness,
			Yields:           queued.yields,
			Excess:           queued.rank().Excess,
			UrgentFrom:       queued.urgentFrom,
			WorthlessFrom:    queued.worthlessFrom,
			ExpectedDuration: policy.Base + time.Duration(len(batch))*policy.PerWorker,
		})
	}
}

// requestDuration returns how long the service needs for the longest of the requests that name count workers together.
func requestDuration(policy *describer.AdvicePolicy, count int) time.Duration {
	requests := (count + maxRequestSize - 1) / maxRequestSize
	return policy.Base + time.Duration((count+requests-1)/requests)*policy.PerWorker
}

// AdviceRoom is the room for requests in one pass.
type AdviceRoom interface {
	// Has reports whether there is room for a request of an expected duration. Take takes it, or returns false if there
	// is none.
	Has(expected time.Duration) bool
	Take(expected time.Duration) bool
}

// adviceRoom is the room for requests. The zero value always has room.
type adviceRoom struct {
	AdviceRoom
}

func (adviceRoom adviceRoom) has(expected time.Duration) bool {
	return adviceRoom.AdviceRoom == nil || adviceRoom.Has(expected)
}

func (adviceRoom adviceRoom) take(expected time.Duration) bool {
	return adviceRoom.AdviceRoom == nil || adviceRoom.Take(expected)
}

// SetAdviceRoom sets the room for requests in the next pass; nil means that there always is. A step without room asks in
// a later pass, with the workers that are free then.
func (scheduler *Scheduler) SetAdviceRoom(room AdviceRoom) {
	scheduler.adviceRoom = adviceRoom{
		AdviceRoom: room,
	}
}

// adviceCandidates returns up to count workers to name in requests: first allowed workers whose tickets need renewal, then
// workers with unknown advice, those with the most free capacity first.
func (scheduler *Scheduler) adviceCandidates(now time.Time, step *step, count int) []describer.WorkerID {
	workers := make([]describer.WorkerID, 0, count)
	candidates := heldFirst(now, step, scheduler.rankedByRack(step))
	if best := scheduler.bestWithRoom(now, step, candidates, count); best != nil {
		return best
	}
	if step.takesQuarantined(now) {
		candidates = slices.Concat(candidates, scheduler.ranking.quarantined)
	}
	for _, worker := range candidates {
		if len(workers) == count {
			break
		}
		scheduler.stats.Examined++
		if step.advice.allowed[worker.id] && !step.advice.tickets[worker.id].valid(now) && worker.canRun(step) {
			workers = append(workers, worker.id)
		}
	}
	for _, worker := range candidates {
		if len(workers) == count {
			break
		}
		scheduler.stats.Examined++
		if _, known := step.advice.allowed[worker.id]; !known && worker.canRun(step) {
			workers = append(workers, worker.id)
		}
	}
	return workers
}

// bestWithRoom returns the count workers that would do the tasks of a step soonest, of the first ones among candidates that
// have room for a task and whose advice is unknown. It returns nil if there are too few, and for a step whose objective
// does not depend on the worker.
func (scheduler *Scheduler) bestWithRoom(now time.Time, step *step, candidates []*worker, count int) []describer.WorkerID {
	task := scheduler.estimatorTask(now, step)
	if !task.Tight || step.OneRack || step.Perpetual || len(step.advice.allowed) > 0 {
		return nil
	}
	type rated struct {
		id     describer.WorkerID
		factor float64
	}
	found := make([]rated, 0, count*adviceChoice)
	for _, worker := range candidates {
		if len(found) == cap(found) {
			break
		}
		scheduler.stats.Examined++
		if worker.canRun(step) && fits(step.Occupied(), worker.free()) {
			found = append(found, rated{
				id:     worker.id,
				factor: task.Factor(&worker.health.speed, worker.latency),
			})
		}
	}
	if len(found) < count {
		return nil
	}
	slices.SortStableFunc(found, func(left, right rated) int {
		return cmp.Compare(left.factor, right.factor)
	})
	workers := make([]describer.WorkerID, count)
	for index := range workers {
		workers[index] = found[index].id
	}
	return workers
}

// adviceCandidateCount returns how many workers to request advice for, so that the allowed ones with free capacity
// can probably take the given number of tasks of step.
func (scheduler *Scheduler) adviceCandidateCount(step *step, tasks int) int {
	allowedShare := step.job.queue.allowedShare
	if allowedShare == 0 {
		allowedShare = defaultAllowedShare
	}
	wanted := float64(tasks)/scheduler.tasksPerWorker(step)/allowedShare*requestOversampling + 2
	if perWorker := step.job.policy.Advice.PerWorker; perWorker > 0 {
		wanted += float64(extraWorkersBudget / perWorker)
	}
	limit := usualRequestSize
	if wanted > usualRequestSize {
		limit = maxOpenRequests * maxRequestSize
	}
	return min(max(int(wanted), minRequestSize), limit)
}

// tasksPerWorker estimates how many tasks of step fit on a worker, from the median worker by free capacity.
func (scheduler *Scheduler) tasksPerWorker(step *step) float64 {
	if len(scheduler.ranked) == 0 {
		return 1
	}
	worker := scheduler.ranked[len(scheduler.ranked)/2]
	free := worker.free()
	needs := step.Occupied()
	count := float64(step.Count)
	if needs.MilliCPU > 0 {
		count = min(count, float64(free.MilliCPU)/float64(needs.MilliCPU))
	}
	if needs.MemoryBytes > 0 {
		count = min(count, float64(free.MemoryBytes)/float64(needs.MemoryBytes))
	}
	if step.MaxPerWorker > 0 {
		count = min(count, float64(step.MaxPerWorker))
	}
	return max(count, minTasksPerWorker)
}

// AdviceAnswered processes the answer to an advice request that named the workers in requested.
func (scheduler *Scheduler) AdviceAnswered(now time.Time, id describer.StepID, requested []describer.WorkerID, answer describer.Advice, err error) {
	step := scheduler.step(id)
	if step == nil {
		scheduler.stats.AdviceWasted++
		return
	}
	advice := &step.advice
	advice.openRequests = max(advice.openRequests-1, 0)
	advice.lastAnswer = now
	advice.answers++
	if err != nil {
		return
	}
	if advice.allowed == nil {
		advice.allowed = map[describer.WorkerID]bool{}
	}
	if advice.tickets == nil {
		advice.tickets = map[describer.WorkerID]ticket{}
	}
	validity := answer.Validity
	if validity == 0 && step.job.policy.Advice != nil {
		validity = step.job.policy.Advice.Validity
	}
	for _, worker := range requested {
		advice.allowed[worker] = false
	}
	maps.DeleteFunc(advice.tickets, func(_ describer.WorkerID, ticket ticket) bool {
		return !ticket.valid(now)
	})
	if expires := now.Add(validity); len(answer.Tickets) > 0 && expires.After(advice.validUntil) {
		advice.validUntil = expires
	}
	for _, entry := range answer.Tickets {
		advice.allowed[entry.Worker] = true
		advice.tickets[entry.Worker] = ticket{
			text:    entry.Ticket,
			expires: now.Add(validity),
			worker:  scheduler.workers[entry.Worker],
		}
	}
	step.job.queue.allowedShare = max(smooth(step.job.queue.allowedShare, float64(len(answer.Tickets))/float64(max(len(requested), 1))), 0.05)
	scheduler.changed = true
}

// step returns a step of an occurrence that is not finished, or nil.
func (scheduler *Scheduler) step(id describer.StepID) *step {
	job := scheduler.jobs[id.Job]
	if job == nil || job.state.Final() {
		return nil
	}
	occurrence := job.occurrences[id.Occurrence]
	if occurrence == nil || id.Step >= len(occurrence.steps) {
		return nil
	}
	return occurrence.steps[id.Step]
}
