package planner

import (
	"slices"
	"time"

	"pomelomoor/internal/cell/describer"
)

const (
	// ticketMargin is how long a ticket has to be valid yet when it is used.
	ticketMargin = 200 * time.Millisecond
	// adviceRepeat is the least time between two questions about one step while tickets are valid; it is
	// longer where a question takes longer.
	adviceRepeat = 60 * time.Millisecond
	// sparePatience is the time that further workers in a question may cost; they save a second question.
	sparePatience = 5 * time.Millisecond
	// adviceLoss is after which time a question counts as lost. Each question is answered or failed; one that
	// waits for an instance must not be asked again.
	adviceLoss = 30 * time.Second
	// usualAsked is how many workers one question names if so many suffice. Source: the objectives count
	// one call on 30 workers.
	usualAsked = 30
	// mostAsked is how many workers one question may name. Source: the protocol page.
	mostAsked = 100
	// leastPerWorker is the least estimate of the tasks that a worker takes, for one that is full at the moment.
	leastPerWorker = 0.5
	// mostQuestions is how many questions about one step may be open. A wide gang needs the tickets of more
	// workers at the same time than one question can name.
	mostQuestions = 4
	// askedSurplus is by how much more workers are asked for than would just do, since other steps take room
	// of theirs before the answers come.
	askedSurplus = 3
	// leastAsked is the least number of workers that a question names.
	leastAsked = 4
	// usualAllowed is the share of the workers that is allowed, until it is learned.
	usualAllowed = 0.5
)

// advice is what the advice service said of a step.
type advice struct {
	// open is the number of questions that are not answered, asked is when the last of them was sent.
	open  int
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

// expired tells whether a worker would no longer accept a ticket. Work that needs none has the zero ticket.
func (ticket ticket) expired(now time.Time) bool {
	return !ticket.expires.IsZero() && !now.Before(ticket.expires)
}

// holdsTickets tells whether any ticket can be used.
func (advice *advice) holdsTickets(now time.Time) bool {
	for _, ticket := range advice.tickets {
		if ticket.valid(now) {
			return true
		}
	}
	return false
}

// refreshAdvice asks for tickets for a waiting step when it has none or they are of no use.
func (planner *Planner) refreshAdvice(now time.Time, order order) {
	step := order.step
	policy := step.job.policy.Advice
	advice := &step.advice
	if policy == nil || step.unplaced == 0 || step.blockers > 0 {
		return
	}
	if advice.open > 0 {
		if now.Sub(advice.asked) > adviceLoss {
			advice.open = 0
		}
		return
	}
	if advice.holdsTickets(now) && (!advice.starved || now.Sub(advice.last) < max(adviceRepeat, policy.Base)) {
		return
	}
	workers := planner.chooseAsked(now, step)
	if len(workers) == 0 {
		return
	}
	advice.asked = now
	questions := (len(workers) + mostAsked - 1) / mostAsked
	for named := range slices.Chunk(workers, (len(workers)+questions-1)/questions) {
		advice.open++
		planner.stats.AdviceCalls++
		planner.effects.Advice = append(planner.effects.Advice, AdviceRequest{
			Step:     step.id(),
			Workers:  named,
			Lateness: order.class,
			Urgency:  order.latest,
			Takes:    policy.Base + time.Duration(len(named))*policy.PerWorker,
		})
	}
}

// chooseAsked returns the workers to ask for: allowed ones whose tickets have to be renewed, and those
// of the others that have the most room.
func (planner *Planner) chooseAsked(now time.Time, step *step) []describer.WorkerID {
	count := planner.askedCount(step)
	workers := make([]describer.WorkerID, 0, count)
	candidates := planner.byRack(step)
	for _, worker := range candidates {
		if len(workers) == count {
			break
		}
		if step.advice.allowed[worker.id] && !step.advice.tickets[worker.id].valid(now) && worker.suits(step) {
			workers = append(workers, worker.id)
		}
	}
	for _, worker := range candidates {
		if len(workers) == count {
			break
		}
		if _, known := step.advice.allowed[worker.id]; !known && worker.suits(step) {
			workers = append(workers, worker.id)
		}
	}
	return workers
}

// askedCount is how many workers are asked for step: so many that those that are allowed and have room are
// likely to take all tasks that wait.
func (planner *Planner) askedCount(step *step) int {
	share := step.job.queue.allowed
	if share == 0 {
		share = usualAllowed
	}
	wanted := float64(step.unplaced)/planner.perWorker(step)/share*askedSurplus + 2
	if each := step.job.policy.Advice.PerWorker; each > 0 {
		wanted += float64(sparePatience / each)
	}
	most := usualAsked
	if wanted > usualAsked {
		most = mostQuestions * mostAsked
	}
	return min(max(int(wanted), leastAsked), most)
}

// perWorker is how many tasks of step the worker in the middle of the ranking by room takes.
func (planner *Planner) perWorker(step *step) float64 {
	if len(planner.roomiest) == 0 {
		return 1
	}
	worker := planner.roomiest[len(planner.roomiest)/2]
	free := worker.free()
	needs := step.Occupied()
	count := float64(step.Count)
	if needs.MilliCPU > 0 {
		count = min(count, float64(free.MilliCPU)/float64(needs.MilliCPU))
	}
	if needs.MemoryBytes > 0 {
		count = min(count, float64(free.MemoryBytes)/float64(needs.MemoryBytes))
	}
	if step.MostPerWorker > 0 {
		count = min(count, float64(step.MostPerWorker))
	}
	return max(count, leastPerWorker)
}

// room is the free share of worker, less if it is slow.
func (worker *worker) room() float64 {
	capacity := worker.description.Capacity
	if capacity.MilliCPU == 0 {
		return 0
	}
	free := worker.free()
	return float64(free.MilliCPU) / float64(capacity.MilliCPU) / worker.health.factor()
}

// rank orders the workers that may be given work by their room, for one pass.
func (planner *Planner) rank(now time.Time) {
	planner.roomiest = planner.roomiest[:0]
	planner.total, planner.free = 0, 0
	var used int64
	for _, worker := range planner.workers {
		if worker.usable() {
			planner.total += worker.description.Capacity.MilliCPU
			used += worker.used.MilliCPU
		}
		if worker.usable() && !now.Before(worker.health.avoided) {
			worker.rank = worker.room()
			planner.roomiest = append(planner.roomiest, worker)
		}
	}
	if planner.total > 0 {
		planner.free = 1 - float64(used)/float64(planner.total)
	}
	slices.SortFunc(planner.roomiest, func(left, right *worker) int {
		switch {
		case left.rank > right.rank:
			return -1
		case left.rank < right.rank:
			return 1
		case left.id < right.id:
			return -1
		default:
			return 1
		}
	})
}

// Advised takes the answer to a question that named asked.
func (planner *Planner) Advised(now time.Time, id describer.StepID, asked []describer.WorkerID, answer describer.Advice, err error) {
	step := planner.step(id)
	if step == nil {
		planner.stats.AdviceWasted++
		return
	}
	advice := &step.advice
	advice.open = max(advice.open-1, 0)
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
