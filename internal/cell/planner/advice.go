package planner

import (
	"slices"
	"time"

	"pomelomoor/internal/cell/describer"
)

const (
	// ticketMargin is how long a ticket has to be valid yet when it is used.
	ticketMargin = 200 * time.Millisecond
	// adviceRepeat is the least time between two questions about one step while tickets are valid.
	adviceRepeat = 400 * time.Millisecond
	// adviceLoss is after which time a question counts as lost.
	adviceLoss = 4 * time.Second
	// usualAsked is how many workers one question names if so many suffice. Source: the objectives count
	// one call on 30 workers.
	usualAsked = 30
	// mostAsked is how many workers one question may name. Source: the protocol page.
	mostAsked = 100
	// askedSurplus is by how much more workers are asked for than would just do.
	askedSurplus = 1.5
	// leastAsked is the least number of workers that a question names.
	leastAsked = 4
	// usualAllowed is the share of the workers that is allowed, until it is learned.
	usualAllowed = 0.5
)

// advice is what the advice service said of a step.
type advice struct {
	// asked is when the open question was sent; zero if there is none.
	asked time.Time
	last  time.Time
	// tickets holds the tickets of the last answers.
	tickets map[describer.WorkerID]ticket
	// allowed tells of the workers that were asked for whether they may run the step.
	allowed map[describer.WorkerID]bool
	// starved means that no allowed worker had room at the last pass.
	starved bool
}

// ticket allows one worker to run a step until it expires.
type ticket struct {
	text    string
	expires time.Time
}

func (ticket ticket) valid(now time.Time) bool {
	return now.Add(ticketMargin).Before(ticket.expires)
}

// ticket returns the ticket of worker for step. Without advice, all workers may run the step.
func (step *step) ticket(now time.Time, worker *worker) (string, bool) {
	if step.job.policy.Advice == nil {
		return "", true
	}
	ticket := step.advice.tickets[worker.id]
	return ticket.text, ticket.valid(now)
}

// refreshAdvice asks for tickets for a waiting step when it has none or they are of no use.
func (planner *Planner) refreshAdvice(now time.Time, step *step) {
	policy := step.job.policy.Advice
	advice := &step.advice
	if policy == nil || step.unplaced == 0 || step.blockers > 0 {
		return
	}
	if !advice.asked.IsZero() {
		if now.Sub(advice.asked) > adviceLoss {
			advice.asked = time.Time{}
		}
		return
	}
	valid := false
	for _, ticket := range advice.tickets {
		valid = valid || ticket.valid(now)
	}
	if valid && (!advice.starved || now.Sub(advice.last) < adviceRepeat) {
		return
	}
	workers := planner.chooseAsked(now, step)
	if len(workers) == 0 {
		return
	}
	advice.asked = now
	planner.stats.AdviceCalls++
	planner.effects.Advice = append(planner.effects.Advice, AdviceRequest{
		Step:    step.id(),
		Workers: workers,
		Urgency: planner.latestStart(step),
		Takes:   policy.Base + time.Duration(len(workers))*policy.PerWorker,
	})
}

// chooseAsked returns the workers to ask for: allowed ones whose tickets have to be renewed, and those
// of the others that have the most room.
func (planner *Planner) chooseAsked(now time.Time, step *step) []describer.WorkerID {
	type candidate struct {
		id    describer.WorkerID
		score float64
	}
	var candidates []candidate
	for _, worker := range planner.workers {
		allowed, known := step.advice.allowed[worker.id]
		if known && (!allowed || step.advice.tickets[worker.id].valid(now)) {
			continue
		}
		if !worker.suits(step) || !worker.usable() || now.Before(worker.health.avoided) {
			continue
		}
		score := planner.roomFor(worker, step)
		if allowed {
			score += 2
		}
		candidates = append(candidates, candidate{
			id:    worker.id,
			score: score / worker.health.factor(),
		})
	}
	slices.SortFunc(candidates, func(left, right candidate) int {
		switch {
		case left.score > right.score:
			return -1
		case left.score < right.score:
			return 1
		case left.id < right.id:
			return -1
		default:
			return 1
		}
	})
	count := min(planner.askedCount(step), len(candidates))
	workers := make([]describer.WorkerID, 0, count)
	for _, candidate := range candidates[:count] {
		workers = append(workers, candidate.id)
	}
	return workers
}

// askedCount is how many workers a question about step names: so many that those that are allowed and
// have room are likely to take all tasks that wait.
func (planner *Planner) askedCount(step *step) int {
	share := step.job.queue.allowed
	if share == 0 {
		share = usualAllowed
	}
	wanted := float64(step.unplaced)/planner.perWorker(step)/share*askedSurplus + 2
	most := usualAsked
	if wanted > usualAsked {
		most = mostAsked
	}
	return min(max(int(wanted), leastAsked), most)
}

// perWorker is how many tasks of step a usual worker takes beside other work.
func (planner *Planner) perWorker(step *step) float64 {
	most := 1.0
	needs := step.Occupied()
	for _, worker := range planner.workers {
		if !worker.suits(step) {
			continue
		}
		free := worker.description.Capacity.Sub(worker.used)
		count := 0
		for fits(needs, free) && count < step.Count {
			free = free.Sub(needs)
			count++
		}
		most += float64(count)
	}
	average := most / float64(max(len(planner.workers), 1))
	if step.MostPerWorker > 0 {
		average = min(average, float64(step.MostPerWorker))
	}
	return max(average, 0.5)
}

// roomFor is the free share of worker for tasks of step.
func (planner *Planner) roomFor(worker *worker, step *step) float64 {
	capacity := worker.description.Capacity
	if capacity.MilliCPU == 0 {
		return 0
	}
	free := capacity.Sub(worker.used)
	return float64(free.MilliCPU) / float64(capacity.MilliCPU)
}

// Advised takes the answer to a question that named asked.
func (planner *Planner) Advised(now time.Time, id describer.StepID, asked []describer.WorkerID, answer describer.Advice, err error) {
	step := planner.step(id)
	if step == nil {
		planner.stats.AdviceWasted++
		return
	}
	advice := &step.advice
	advice.asked = time.Time{}
	advice.last = now
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
	for _, worker := range asked {
		advice.allowed[worker] = false
	}
	for _, entry := range answer.Tickets {
		advice.allowed[entry.Worker] = true
		advice.tickets[entry.Worker] = ticket{
			text:    entry.Ticket,
			expires: now.Add(validity),
		}
	}
	step.job.queue.allowed = max(learn(step.job.queue.allowed, float64(len(answer.Tickets))/float64(max(len(asked), 1))), 0.05)
	planner.changed = true
}

// step returns a step that is open, or nil.
func (planner *Planner) step(id describer.StepID) *step {
	job := planner.jobs[id.Job]
	if job == nil || job.state.Final() {
		return nil
	}
	occurrence := job.occurrences[id.Occurrence]
	if occurrence == nil || id.Step >= len(occurrence.steps) {
		return nil
	}
	return occurrence.steps[id.Step]
}
