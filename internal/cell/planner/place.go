package planner

import (
	"slices"
	"time"

	"pomelomoor/internal/work/descriptor"
)

// lateFactor is by how much a job may exceed its objective and still earn a part of its worth.
// Source: the rules of the platform's users.
const lateFactor = 3

const (
	// reportTime is the time from the end of a task until its caller is told: the ways between regions
	// and the writing of the record.
	reportTime = 200 * time.Millisecond
	// estimateMargin is the share by which run times are expected to exceed their estimates.
	estimateMargin = 0.1
)

const (
	// mostReservations is the number of waiting gangs for which workers are kept.
	mostReservations = 3
	// patience is the time before its latest start from which on work leaves kept workers to a gang.
	patience = 1500 * time.Millisecond
	// mostClaimed is the share of the cell that steps earlier in the order may wait for before a step asks for
	// advice. Tickets last about as long as a task runs, so those of later steps would expire before their turn.
	mostClaimed = 0.6
	// mostStarved is the number of steps with tickets but without room behind which no step asks while most of
	// the cell is free. Steps that wait for tickets do not count, nor those that are late anyway, since some of
	// them may never find room and must not keep the others from asking.
	mostStarved = 40
	// mostlyFree is the free share of the cell from which on claims do not count. Source: work that waits
	// while half of the capacity is free counts as lost by the rules of the platform's users.
	mostlyFree = 0.5
)

// objective is the time from an occurrence's due time in which its caller wants it done.
func (planner *Planner) objective(step *step) time.Duration {
	policy := &step.job.policy
	var chain time.Duration
	for _, first := range step.occurrence.steps {
		chain = max(chain, first.tail)
	}
	return time.Duration(policy.SlackFactor*float64(chain)) + policy.Objective
}

// latestStart is when step has to start for its occurrence to meet its objective.
func (planner *Planner) latestStart(step *step) time.Time {
	return step.occurrence.due.Add(planner.objective(step) - step.tail)
}

// order is the place of a step among those that wait.
type order struct {
	step *step
	// class is 0 if the objective can be met, 1 if the job is worth a part yet, 2 otherwise.
	class  int
	latest time.Time
}

func (planner *Planner) orderOf(now time.Time, step *step) order {
	order := order{
		step:   step,
		latest: planner.latestStart(step),
	}
	// Work that would just meet its objective misses it by the first delay, so it gives way to work that
	// can meet its own.
	order.latest = order.latest.Add(-reportTime - time.Duration(estimateMargin*float64(step.tail)))
	late := order.latest.Add((lateFactor - 1) * planner.objective(step))
	switch {
	case now.After(late):
		order.class = 2
	case now.After(order.latest):
		order.class = 1
	}
	return order
}

func compareOrders(left, right order) int {
	if left.class != right.class {
		return left.class - right.class
	}
	if compared := left.latest.Compare(right.latest); compared != 0 {
		return compared
	}
	if left.step.job.ID != right.step.job.ID {
		if left.step.job.ID < right.step.job.ID {
			return -1
		}
		return 1
	}
	return left.step.index - right.step.index
}

// Pass places what waits, the most urgent step first.
func (planner *Planner) Pass(now time.Time) {
	if !planner.changed {
		return
	}
	planner.changed = false
	orders := make([]order, 0, len(planner.waiting))
	for step := range planner.waiting {
		orders = append(orders, planner.orderOf(now, step))
	}
	slices.SortFunc(orders, compareOrders)
	planner.rank(now)
	clear(planner.reserved)
	starved, reservations := 0, 0
	// Gangs wait longer than narrow work and must not keep it from asking.
	var claimedByGangs, claimed float64
	for _, order := range orders {
		claims := &claimed
		if order.step.Gang {
			claims = &claimedByGangs
		}
		if *claims < mostClaimed || planner.free > mostlyFree && starved < mostStarved {
			planner.refreshAdvice(now, order)
		}
		if order.class < 2 {
			*claims += planner.share(order.step)
		}
		planner.patient = order.latest.Sub(now) > patience
		planner.placeStep(now, order.step)
		if !order.step.advice.starved || order.class == 2 {
			continue
		}
		if order.step.advice.holdsTickets(now) {
			starved++
		}
		if order.step.Gang && reservations < mostReservations {
			reservations++
			planner.reserve(now, order.step)
		}
	}
}

// share is the share of the cell's processors that the tasks of step which wait take.
func (planner *Planner) share(step *step) float64 {
	if planner.total == 0 {
		return 0
	}
	return float64(step.unplaced) * float64(step.Needs.MilliCPU) / float64(planner.total)
}

// reserve keeps the workers that a waiting gang may use from work that can wait, for the rest of a pass.
// Without it, narrow work takes each place as it becomes free and a wide gang never finds all of its own.
func (planner *Planner) reserve(now time.Time, step *step) {
	if step.job.policy.Advice == nil {
		return
	}
	for id, ticket := range step.advice.tickets {
		if ticket.valid(now) {
			planner.reserved[id] = true
		}
	}
}

func (planner *Planner) placeStep(now time.Time, step *step) {
	if step.Gang {
		planner.placeGang(now, step)
		return
	}
	for _, task := range step.tasks {
		if task.state != taskWaiting {
			continue
		}
		worker, ticket := planner.choose(now, task, nil, "")
		if worker == nil {
			step.advice.starved = true
			return
		}
		planner.intend(now, task, worker, ticket, task.run+1)
	}
	step.advice.starved = false
}

// place is where a task of a gang is to run.
type place struct {
	worker *worker
	ticket ticket
}

// placeGang places all tasks of a gang or none.
func (planner *Planner) placeGang(now time.Time, step *step) {
	if step.unplaced < step.Count {
		// Members of an earlier run have not ended yet.
		return
	}
	places := planner.findPlaces(now, step)
	step.advice.starved = places == nil
	if places == nil {
		return
	}
	step.gangRun++
	checkpoint := ""
	for _, task := range step.tasks {
		checkpoint = max(checkpoint, task.checkpoint)
	}
	for index, task := range step.tasks {
		task.checkpoint = checkpoint
		planner.intend(now, task, places[index].worker, places[index].ticket, step.gangRun)
	}
}

// gather returns a place for each task of step on rack, or on any if rack is empty; nil if they do not all fit.
func (planner *Planner) gather(now time.Time, step *step, rack string) []place {
	places := make([]place, 0, step.Count)
	booked := map[*worker]int{}
	for _, task := range step.tasks {
		worker, ticket := planner.choose(now, task, booked, rack)
		if worker == nil {
			return nil
		}
		booked[worker]++
		places = append(places, place{
			worker: worker,
			ticket: ticket,
		})
	}
	return places
}

// free is the capacity of worker that no run has booked.
func (worker *worker) free() descriptor.Resources {
	return worker.description.Capacity.Sub(worker.used)
}

// usable tells whether worker may be given work at all.
func (worker *worker) usable() bool {
	return worker.known && !worker.gone && worker.description != nil && !worker.description.Draining &&
		worker.silentSince.IsZero() && len(worker.strangers) == 0
}

// suits tells whether worker may ever run tasks of step.
func (worker *worker) suits(step *step) bool {
	description := worker.description
	if description == nil || description.Service != step.job.policy.Service {
		return false
	}
	if step.Label != "" && step.Label != description.Kind && step.Label != description.Rack {
		return false
	}
	return fits(step.Occupied(), description.Capacity)
}

func fits(needs, free descriptor.Resources) bool {
	return needs.MilliCPU <= free.MilliCPU && needs.MemoryBytes <= free.MemoryBytes && needs.Accelerators <= free.Accelerators
}

// count is the number of runs of step on worker.
func (worker *worker) count(step *step) int {
	count := 0
	for _, run := range worker.runs {
		if run.task.step == step {
			count++
		}
	}
	return count
}

// choose returns the best worker for task and its ticket, or nil. Booked counts the tasks of the same
// step that the pass is about to give to a worker; rack, if it is not empty, is where the worker has to be.
func (planner *Planner) choose(now time.Time, task *task, booked map[*worker]int, rack string) (best *worker, bestTicket ticket) {
	step := task.step
	needs := step.Occupied()
	var bestScore float64
	consider := func(worker *worker, ticket ticket) {
		if planner.patient && planner.reserved[worker.id] || rack != "" && worker.description.Rack != rack {
			return
		}
		free := worker.free()
		more := booked[worker]
		for range more {
			free = free.Sub(needs)
		}
		if !fits(needs, free) {
			return
		}
		if step.MostPerWorker > 0 && worker.count(step)+more >= step.MostPerWorker {
			return
		}
		score := planner.score(worker, task, free)
		if best == nil || score < bestScore || score == bestScore && worker.id < best.id {
			best, bestTicket, bestScore = worker, ticket, score
		}
	}
	if step.job.policy.Advice == nil {
		for _, worker := range planner.roomiest {
			if worker.suits(step) {
				consider(worker, ticket{})
			}
		}
		return best, bestTicket
	}
	for id, ticket := range step.advice.tickets {
		worker := planner.workers[id]
		if worker != nil && ticket.valid(now) && worker.usable() && !now.Before(worker.health.avoided) && worker.suits(step) {
			consider(worker, ticket)
		}
	}
	return best, bestTicket
}

// score is lower for the better worker: the one on which the task ends sooner, then the one that it fills most.
func (planner *Planner) score(worker *worker, task *task, free descriptor.Resources) float64 {
	step := task.step
	factor := worker.health.factor()
	if step.NearRack != "" && step.NearRack != worker.description.Rack {
		factor *= planner.options.RemoteFactor
	}
	capacity := max(worker.description.Capacity.MilliCPU, 1)
	return 2*factor + float64(free.MilliCPU)/float64(capacity)
}

// intend books a run, which starts when its record is durable.
func (planner *Planner) intend(now time.Time, task *task, worker *worker, ticket ticket, number int) {
	job := task.step.job
	run := &run{
		task:   task,
		number: max(number, task.run+1),
		worker: worker,
		phase:  phaseIntended,
		placed: now,
		ticket: ticket,
	}
	task.run = run.number
	planner.attach(run)
	planner.touch(job)
	run.generation = job.generation
	job.intended = append(job.intended, run)
	planner.stats.Placed++
	planner.emit(Event{
		Kind:   EventRunPlaced,
		Job:    job.ID,
		Task:   run.id().String(),
		Run:    run.number,
		Worker: worker.id,
		Age:    now.Sub(worker.clockAt),
	})
}
