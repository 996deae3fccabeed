package scheduler

import (
	"fmt"
	"slices"
	"time"

	"pomelomoor/internal/cell/estimator"
	"pomelomoor/internal/work/descriptor"
)

// partialValueFactor gives the time, as a multiple of the objective and counted from the due time, until which a job
// that misses its objective still has part of its value. A job that ends later has none. The platform's users set this
// rule.
const partialValueFactor = 3

const (
	// maxEstimate limits a caller's estimate, maxCriticalPath and maxObjective what is computed from estimates and slack
	// factors, so that sums and products of them do not overflow.
	maxEstimate     = 365 * 24 * time.Hour
	maxCriticalPath = 10 * maxEstimate
	maxObjective    = 50 * maxEstimate
	// reportDelay is the time from the end of a task until its caller learns of it: the latency between regions and
	// the write of the record.
	reportDelay = 200 * time.Millisecond
	// estimateMargin is the fraction by which run times are expected to exceed their estimates.
	estimateMargin = 0.1
)

const (
	// maxReservations limits the number of gangs that reserve workers in one pass. A gang counts once, however many
	// workers it reserves.
	maxReservations = 6
	// deferrableSlack is the time until its urgentFrom above which a step leaves reserved workers to gangs.
	deferrableSlack = 1500 * time.Millisecond
	// maxQueuedCPUShare is the share of the cell's CPU that the waiting tasks of earlier steps in the queue may need
	// before later steps stop requesting advice. Gangs and other steps are summed separately, and each limits only
	// its own kind. Tickets are valid for about the run time of a task, so those of later steps would expire before
	// use.
	maxQueuedCPUShare = 0.6
	// maxBlockedSteps is the number of earlier steps with valid tickets but no free worker from which later steps
	// stop requesting advice although more than idleShare of the cell is free. Steps that wait for tickets do not
	// count, although unplacedInLastPass is set for them too. Neither do steps without any value left, since some of
	// them may never be placed and must not block the others.
	maxBlockedSteps = 40
	// overdueInterval is how often the steps of jobs without any value left are looked at. In a cell that is behind they
	// are the most, and each pass would be longer for all others.
	overdueInterval = 200 * time.Millisecond
	// idleShare is the free share of the cell's CPU above which steps may request advice in spite of
	// maxQueuedCPUShare. By the rules of the platform's users, work that waits while half of the capacity is free
	// counts as lost.
	idleShare = 0.5
)

// Pass requests advice for the waiting steps and places their tasks, the most urgent step first.
func (scheduler *Scheduler) Pass(now time.Time) {
	if !scheduler.changed {
		return
	}
	scheduler.changed = false
	scheduler.rankWorkers(now)
	queue := scheduler.queueWaiting(now)
	clear(scheduler.reserved)
	clear(scheduler.capBlocked)
	scheduler.deferrable = false
	scheduler.evacuate(now)
	pass := &pass{}
	for _, queued := range queue {
		scheduler.containStep(queued.step, func() {
			scheduler.placeQueued(now, pass, queued)
		})
	}
}

// pass is what the steps of one pass that come earlier leave to the later ones.
type pass struct {
	// blockedSteps counts the steps that have valid tickets and no free worker, reservations the gangs that reserve workers.
	blockedSteps, reservations int
	// queuedByGangs and queuedByOthers are the shares of the cell's CPU that waiting tasks need. Gangs wait longer than
	// single tasks, so that what they need must not keep other steps from requesting advice.
	queuedByGangs, queuedByOthers float64
}

// queuedShare returns the share that counts for step.
func (pass *pass) queuedShare(step *step) *float64 {
	if step.Gang {
		return &pass.queuedByGangs
	}
	return &pass.queuedByOthers
}

// placeQueued requests advice for a waiting step and places its tasks.
func (scheduler *Scheduler) placeQueued(now time.Time, pass *pass, queued queuedStep) {
	if scheduler.cappedInPass(queued) {
		return
	}
	step := queued.step
	scheduler.noteIdle(now, step)
	scheduler.starves = step.starves(now)
	scheduler.deferrable = queued.urgentFrom.Sub(now) > deferrableSlack
	scheduler.givesWay = queued.yields || queued.lateness > 0
	feasible := scheduler.feasible(now, step)
	queuedShare := pass.queuedShare(step)
	idle := scheduler.freeShare > idleShare && pass.blockedSteps < maxBlockedSteps
	if feasible && (*queuedShare < maxQueuedCPUShare || scheduler.starves || idle) {
		scheduler.requestAdvice(now, queued)
	}
	if feasible && queued.lateness < 2 {
		*queuedShare += scheduler.cpuShare(step)
	}
	scheduler.placeStep(now, step)
	if !step.advice.unplacedInLastPass || queued.lateness == 2 {
		return
	}
	scheduler.evict(now, step)
	if !feasible {
		return
	}
	if step.advice.hasValidTicket(now) {
		pass.blockedSteps++
	}
	if step.Gang && pass.reservations < maxReservations {
		pass.reservations++
		scheduler.reserve(now, step)
	}
}

// queueWaiting returns the waiting steps, the most urgent first. Those without any value left are among them every
// overdueInterval only.
func (scheduler *Scheduler) queueWaiting(now time.Time) []queuedStep {
	withOverdue := now.Sub(scheduler.overdueAt) >= overdueInterval
	if withOverdue {
		scheduler.overdueAt = now
	}
	queue := make([]queuedStep, 0, len(scheduler.waiting))
	for step := range scheduler.waiting {
		scheduler.containStep(step, func() {
			if queued := scheduler.newQueuedStep(now, step); withOverdue || queued.lateness < 2 {
				queue = append(queue, queued)
			}
		})
	}
	scheduler.entitle(queue)
	slices.SortFunc(queue, compareQueuedSteps)
	if scheduler.chooseYielding(now, queue) {
		slices.SortFunc(queue, compareQueuedSteps)
	}
	scheduler.scarcity = Scarcity{}
	for index := range queue {
		if queue[index].yields {
			scheduler.scarcity.YieldingSteps++
		}
		if queue[index].step.job.excess {
			scheduler.scarcity.ExcessSteps++
		}
	}
	return queue
}

// containStep handles one waiting step and contains a panic: the step is no longer placed in this term, and the others
// are.
func (scheduler *Scheduler) containStep(step *step, handle func()) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		delete(scheduler.waiting, step)
		scheduler.emit(Event{
			Kind:   EventStepSetAside,
			Job:    step.job.ID,
			Detail: fmt.Sprintf("step %d: %v", step.index, cause),
		})
	}()
	handle()
}

// cpuShare returns the share of the cell's CPU capacity that the waiting tasks of step need.
func (scheduler *Scheduler) cpuShare(step *step) float64 {
	if scheduler.totalMilliCPU == 0 {
		return 0
	}
	return float64(step.unplaced) * float64(step.Needs.MilliCPU) / float64(scheduler.totalMilliCPU)
}

// reserve reserves the workers for which a waiting gang has valid tickets, for the rest of the pass. Steps that can
// wait do not use them. Otherwise single tasks would take each slot as it becomes free, and a wide gang would never
// start. Gangs in queues without an advice policy have no tickets. They get no reservation, but count towards
// maxReservations.
func (scheduler *Scheduler) reserve(now time.Time, step *step) {
	if step.job.policy.Advice == nil {
		return
	}
	for id, ticket := range step.advice.tickets {
		if ticket.valid(now) {
			if other, reserved := scheduler.reserved[id]; !reserved || step.job.policy.Priority < other {
				scheduler.reserved[id] = step.job.policy.Priority
			}
		}
	}
}

// isReserved reports whether the step that is being placed has to leave the worker to a gang: it can wait, or its queue is
// below that of the gang, or its delay costs callers less and its queue is not above that of the gang. A step that starves
// uses the worker all the same.
func (scheduler *Scheduler) isReserved(worker *worker, step *step) bool {
	priority, reserved := scheduler.reserved[worker.id]
	return reserved && !scheduler.starves && (scheduler.deferrable || step.job.policy.Priority > priority || scheduler.givesWay && step.job.policy.Priority >= priority)
}

func (scheduler *Scheduler) placeStep(now time.Time, step *step) {
	if step.job.state.Final() {
		// The job failed in this pass, with another of its steps.
		return
	}
	for _, task := range step.tasks {
		if task.state == taskWaiting && task.history.Suspect() && scheduler.giveUpHopeless(now, task) {
			return
		}
	}
	if step.job.policy.Advice != nil && !step.advice.hasValidTicket(now) {
		step.advice.unplacedInLastPass = step.unplaced > 0
		return
	}
	if step.Gang {
		scheduler.placeGang(now, step)
		return
	}
	if step.uniform() {
		scheduler.placeUniform(now, step)
		return
	}
	for _, task := range step.tasks {
		if task.state != taskWaiting {
			continue
		}
		if step.capRoom() == 0 {
			break
		}
		worker, ticket := scheduler.chooseWorker(now, task, nil, "")
		if worker == nil {
			step.advice.unplacedInLastPass = true
			if scheduler.isolated(now, task) || now.Before(task.retryAt) {
				continue
			}
			return
		}
		scheduler.createRun(now, task, worker, ticket, task.run+1)
	}
	step.advice.unplacedInLastPass = step.unplaced > 0
}

// placeUniform places the waiting tasks of a step whose tasks are alike.
func (scheduler *Scheduler) placeUniform(now time.Time, step *step) {
	candidates := scheduler.candidates(now, step, "")
	for _, task := range step.tasks {
		if task.state != taskWaiting || now.Before(task.retryAt) {
			continue
		}
		if step.capRoom() == 0 {
			break
		}
		chosen := candidates.take()
		if chosen == nil {
			break
		}
		scheduler.createRun(now, task, chosen.worker, chosen.ticket, task.run+1)
	}
	step.advice.unplacedInLastPass = step.unplaced > 0
}

// placement is the worker and ticket chosen for a task of a gang.
type placement struct {
	worker *worker
	ticket ticket
}

// placeGang places either all tasks of a gang or none.
func (scheduler *Scheduler) placeGang(now time.Time, step *step) {
	if step.unplaced < step.Count {
		// Some tasks of an earlier run have not ended yet.
		return
	}
	if step.capRoom() == 0 {
		return
	}
	placements := scheduler.findPlacements(now, step)
	step.advice.unplacedInLastPass = placements == nil
	if placements == nil {
		return
	}
	step.gangRun++
	// All tasks of a gang resume from the same checkpoint: the greatest of their checkpoint names in string order.
	checkpoint := ""
	for _, task := range step.tasks {
		checkpoint = max(checkpoint, task.checkpoint)
	}
	for index, task := range step.tasks {
		task.checkpoint = checkpoint
		scheduler.createRun(now, task, placements[index].worker, placements[index].ticket, step.gangRun)
	}
}

// placeTasks returns a placement for each task of step on rack, or on any rack if it is empty. It returns nil if the
// tasks do not all fit.
func (scheduler *Scheduler) placeTasks(now time.Time, step *step, rack string) []placement {
	placements := make([]placement, 0, step.Count)
	if step.uniform() {
		candidates := scheduler.candidates(now, step, rack)
		if candidates.slots < step.Count {
			return nil
		}
		for _, task := range step.tasks {
			if now.Before(task.retryAt) {
				return nil
			}
			placements = append(placements, candidates.take().placement)
		}
		return placements
	}
	assigned := map[*worker]int{}
	clear(scheduler.isolating)
	defer clear(scheduler.isolating)
	for _, task := range step.tasks {
		worker, ticket := scheduler.chooseWorker(now, task, assigned, rack)
		if worker == nil {
			return nil
		}
		assigned[worker]++
		if scheduler.isolated(now, task) {
			scheduler.isolating[worker] = true
		}
		placements = append(placements, placement{
			worker: worker,
			ticket: ticket,
		})
	}
	return placements
}

// free returns the capacity that is not allocated to runs.
func (worker *worker) free() descriptor.Resources {
	return worker.description.Capacity.Sub(worker.used)
}

// described reports whether the entry of the worker's present incarnation is known. The next one may be of another kind and
// capacity.
func (worker *worker) described() bool {
	return worker.description != nil && worker.description.Incarnation.Equal(worker.incarnation)
}

// usable reports whether the worker may be given any work.
func (worker *worker) usable() bool {
	return worker.answered && !worker.unregistered && worker.described() && !worker.description.Draining &&
		worker.silentSince.IsZero() && len(worker.strays) == 0
}

// canRun reports whether the worker, when empty, could run a task of step.
func (worker *worker) canRun(step *step) bool {
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

// runCount returns the number of runs of step on the worker.
func (worker *worker) runCount(step *step) int {
	count := 0
	for _, run := range worker.runs {
		if run.task.step == step && run.phase != phaseUnlisted {
			count++
		}
	}
	return count
}

// chooseWorker returns the best worker for task and its ticket, or nil. The counts in assigned are tasks of the same
// step that are about to be placed on a worker. If rack is not empty, the worker has to be on it.
func (scheduler *Scheduler) chooseWorker(now time.Time, task *task, assigned map[*worker]int, rack string) (best *worker, bestTicket ticket) {
	step := task.step
	if now.Before(task.retryAt) {
		return nil, ticket{}
	}
	needs := step.Occupied()
	isolated := scheduler.isolated(now, task)
	estimated := scheduler.estimatorTask(now, step)
	var bestScore float64
	consider := func(worker *worker, ticket ticket) {
		if scheduler.isReserved(worker, step) || rack != "" && worker.description.Rack != rack || scheduler.isolating[worker] {
			return
		}
		joins := worker.mayJoin(now, task)
		if worker.closedTo(now, step) && !joins {
			return
		}
		if isolated && !joins && (assigned[worker] > 0 || worker.starting()) {
			return
		}
		free := worker.freeFor(now, step)
		alreadyAssigned := assigned[worker]
		for range alreadyAssigned {
			free = free.Sub(needs)
		}
		if !fits(needs, free) {
			return
		}
		if step.MaxPerWorker > 0 && worker.runCount(step)+alreadyAssigned >= step.MaxPerWorker {
			return
		}
		if scheduler.trialSlots(now, worker, step, 1) == 0 || worker.onTrial(now, step) && alreadyAssigned > 0 {
			return
		}
		score := scheduler.score(worker, task, estimated, free)
		if step.Perpetual {
			score += rackWeight * scheduler.rackShare(step, worker, assigned)
		}
		if best == nil || score < bestScore || score == bestScore && worker.id < best.id {
			best, bestTicket, bestScore = worker, ticket, score
		}
	}
	scheduler.eachAllowed(now, step, consider)
	if best == nil && step.takesQuarantined(now) {
		scheduler.eachQuarantined(now, step, consider)
	}
	return best, bestTicket
}

// score rates a worker for a task; lower is better. It is the sum of the expected time by the usual one, with weight 2, and
// the share of the worker's CPU that is free, with weight 1. Fast and near workers are preferred by tasks that need them,
// and among similar ones those with the least free CPU.
func (scheduler *Scheduler) score(worker *worker, task *task, estimated estimator.Task, free descriptor.Resources) float64 {
	step := task.step
	factor := estimated.Factor(&worker.health.speed, worker.latency)
	if step.NearRack != "" && step.NearRack != worker.description.Rack {
		factor *= scheduler.options.RemoteFactor
	}
	if worker.health.trial && estimated.Tight {
		factor += trialPenalty
	}
	freeShare := float64(free.MilliCPU) / float64(max(worker.description.Capacity.MilliCPU, 1))
	if task.history.Suspect() {
		// What runs beside a suspect may be lost with it.
		return 2*factor - isolationWeight*freeShare
	}
	return 2*factor + freeShare
}

// createRun creates a run of task, takes up its resources on the worker and marks the job's record for writing. The run
// is started when the record is durable.
func (scheduler *Scheduler) createRun(now time.Time, task *task, worker *worker, ticket ticket, number int) {
	job := task.step.job
	run := &run{
		task:     task,
		number:   max(number, task.run+1),
		worker:   worker,
		phase:    phaseIntended,
		placedAt: now,

		firstPlaced: now,
		ticket:      ticket,
	}
	task.run = run.number
	worker.takePlace(task.step)
	scheduler.allocate(run)
	run.beginProbation(now)
	scheduler.markDirty(job)
	run.generation = job.generation
	job.intended = append(job.intended, run)
	scheduler.stats.Placed++
	scheduler.emit(Event{
		Kind:   EventRunPlaced,
		Job:    job.ID,
		Task:   run.id().String(),
		Run:    run.number,
		Worker: worker.id,
		// Age is the time since the worker's clock was last read.
		Age: now.Sub(worker.clockAt),
	})
}
