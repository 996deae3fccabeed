package simulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/scheduler"
	"pomelomoor/internal/work/descriptor"
)

const (
	// service is the name of the service of all workers.
	service = "service"
	// tick is the step of the virtual time.
	tick = 10 * time.Millisecond
	// restDuration is how long jobs have to end after the last submission.
	restDuration = time.Minute
	// pollWait is how long a worker waits for a run to end before it answers a poll.
	pollWait = time.Second
	// pollRetryInterval is the time between two polls of a worker that is away.
	pollRetryInterval = 100 * time.Millisecond
	// connectionLossDelay is the time from a crash until the open poll fails.
	connectionLossDelay = 50 * time.Millisecond
	// manyCrashes is the number of workers that a lasting task has crashed from which its pauses and what is lost with it
	// are reported.
	manyCrashes = 6
)

// job is a submitted job.
type job struct {
	*describer.Job

	class  *Class
	deadly bool
}

// simulation is one play of a fleet.
type simulation struct {
	fleet  *Fleet
	config *describer.Config
	// submissions draws the jobs, so that they are the same whatever the scheduler does; random draws the rest.
	submissions *rand.Rand
	random      *rand.Rand
	begin       time.Time
	now         time.Time
	scheduler   *scheduler.Scheduler
	// revision is the revision of the store, from which the scheduler's fencing tokens are taken.
	revision describer.Fence
	workers  []*worker
	jobs     map[describer.JobID]*job
	records  map[describer.JobID][]byte
	// starts holds the times of the starts of the tasks that crash their workers.
	starts map[describer.TaskID][]time.Time
	report Report
}

// Play plays a fleet and reports what became of its jobs.
func Play(fleet *Fleet) (Report, error) {
	simulation := &simulation{
		fleet:       fleet,
		config:      &describer.Config{},
		submissions: rand.New(rand.NewPCG(fleet.Seed, 1)),
		random:      rand.New(rand.NewPCG(fleet.Seed, 2)),
		begin:       time.Unix(1_000_000, 0),
		jobs:        map[describer.JobID]*job{},
		records:     map[describer.JobID][]byte{},
		starts:      map[describer.TaskID][]time.Time{},
	}
	simulation.now = simulation.begin
	for index := range fleet.Classes {
		simulation.config.Queues = append(simulation.config.Queues, describer.Queue{
			Policy: describer.Policy{
				Service:          service,
				MaxAttempts:      3,
				SlackFactor:      2,
				LatencyAllowance: time.Second,
			},
			Name: fleet.Classes[index].Name,
		})
	}
	for index := range fleet.Workers {
		worker := &worker{
			index:  index,
			cores:  fleet.Cores,
			sameID: fleet.SameID,
		}
		worker.appear()
		simulation.workers = append(simulation.workers, worker)
	}
	if err := simulation.changeLeader(); err != nil {
		return Report{}, err
	}
	if err := simulation.run(); err != nil {
		return Report{}, err
	}
	simulation.judge()
	return simulation.report, nil
}

// timetable tells when something that recurs is due.
type timetable struct {
	interval time.Duration
	next     time.Time
}

// due reports whether another interval has passed. An interval of 0 is never due.
func (timetable *timetable) due(now time.Time) bool {
	if timetable.interval == 0 || now.Before(timetable.next) {
		return false
	}
	timetable.next = timetable.next.Add(timetable.interval)
	return true
}

func (simulation *simulation) every(interval Span) *timetable {
	return &timetable{
		interval: time.Duration(interval),
		next:     simulation.begin.Add(time.Duration(interval)),
	}
}

func (simulation *simulation) run() error {
	submitUntil := simulation.begin.Add(time.Duration(simulation.fleet.Duration))
	crashes := simulation.every(simulation.fleet.CrashInterval)
	resizes := simulation.every(simulation.fleet.ResizeInterval)
	writes := simulation.every(max(simulation.fleet.StoreInterval, Span(tick)))
	leaders := simulation.fleet.NewLeaders
	for simulation.now.Before(submitUntil.Add(restDuration)) {
		simulation.now = simulation.now.Add(tick)
		if simulation.now.Before(submitUntil) {
			simulation.submit()
			if crashes.due(simulation.now) {
				simulation.crash(simulation.anyWorker())
			}
		}
		if resizes.due(simulation.now) {
			simulation.resize(simulation.anyWorker())
		}
		if len(leaders) > 0 && simulation.now.Sub(simulation.begin) >= time.Duration(leaders[0]) {
			leaders = leaders[1:]
			if err := simulation.changeLeader(); err != nil {
				return err
			}
		}
		for _, worker := range simulation.workers {
			simulation.step(worker)
		}
		simulation.scheduler.Tick(simulation.now)
		simulation.scheduler.Pass(simulation.now)
		if writes.due(simulation.now) {
			if err := simulation.write(); err != nil {
				return err
			}
		}
		simulation.carryOut(simulation.scheduler.TakeEffects())
	}
	return nil
}

func (simulation *simulation) anyWorker() *worker {
	return simulation.workers[simulation.random.IntN(len(simulation.workers))]
}

// changeLeader begins a term from the stored records.
func (simulation *simulation) changeLeader() error {
	simulation.revision++
	simulation.scheduler = scheduler.New(scheduler.Options{
		Fence:            simulation.revision,
		MaxLease:         6 * time.Second,
		StatusRetention:  2 * time.Minute,
		RemoteFactor:     3,
		Takeover:         simulation.now,
		InheritedRenewal: 2 * time.Second,
	}, simulation.config)
	for _, id := range simulation.jobIDs() {
		if err := simulation.scheduler.Restore(simulation.now, id, simulation.jobs[id].Job, simulation.records[id]); err != nil {
			return errors.Wrap(err, "restore")
		}
	}
	for _, worker := range simulation.workers {
		if !worker.away() {
			simulation.scheduler.SetWorker(simulation.now, worker.describe())
		}
	}
	return nil
}

func (simulation *simulation) jobIDs() []describer.JobID {
	ids := make([]describer.JobID, 0, len(simulation.jobs))
	for id := range simulation.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (simulation *simulation) submit() {
	for index := range simulation.fleet.Classes {
		class := &simulation.fleet.Classes[index]
		if simulation.submissions.Float64() >= class.Rate*tick.Seconds() {
			continue
		}
		at := Span(simulation.now.Sub(simulation.begin))
		job := &job{
			Job: &describer.Job{
				ID:        describer.JobID(fmt.Sprintf("%s%d", class.Name, len(simulation.jobs))),
				Queue:     class.Name,
				Submitted: simulation.now,
				Steps: []describer.Step{{
					Count: class.Width,
					Needs: descriptor.Resources{
						MilliCPU: int64(class.Cores) * 1000,
					},
					Estimate:  time.Duration(class.Work),
					Gang:      class.Gang,
					Perpetual: class.Lasting,
				}},
			},
			class:  class,
			deadly: at >= class.DeadlyFrom && at < class.DeadlyUntil && simulation.submissions.Float64() < class.Deadly,
		}
		simulation.jobs[job.ID] = job
		simulation.scheduler.Add(simulation.now, job.Job)
	}
}

// crash ends the process of a worker with all its runs.
func (simulation *simulation) crash(worker *worker) {
	if worker.away() {
		return
	}
	simulation.report.Crashes++
	crashed := worker.runs
	worker.runs = nil
	worker.backAt = simulation.now.Add(time.Duration(simulation.fleet.Restart))
	worker.pollAt = simulation.now.Add(connectionLossDelay)
	for task := range crashed {
		job := simulation.jobs[task.Job]
		if !job.deadly {
			simulation.report.RunsLost++
		}
		if job.class.Gang {
			simulation.breakGang(task.StepID)
		}
	}
	if !worker.sameID {
		simulation.scheduler.RemoveWorker(worker.id())
	}
}

// breakGang ends the other members of a gang.
func (simulation *simulation) breakGang(step describer.StepID) {
	for _, worker := range simulation.workers {
		for task := range worker.runs {
			if task.StepID == step {
				worker.end(task, describer.OutcomeGangEnded, simulation.now)
			}
		}
	}
}

// resize halves the capacity of a worker or restores it.
func (simulation *simulation) resize(worker *worker) {
	if worker.cores == simulation.fleet.Cores {
		worker.cores /= 2
	} else {
		worker.cores = simulation.fleet.Cores
	}
	if !worker.away() {
		simulation.scheduler.SetWorker(simulation.now, worker.describe())
	}
}

// step ends runs of a worker and answers its polls. A poll waits for an end, at most for pollWait.
func (simulation *simulation) step(worker *worker) {
	if worker.away() {
		if !simulation.now.Before(worker.pollAt) {
			worker.pollAt = simulation.now.Add(pollRetryInterval)
			simulation.scheduler.PollOrder(simulation.now, worker.id(), true)
			simulation.scheduler.PollFailed(simulation.now, worker.id(), describer.ErrUncertain)
		}
		if !simulation.now.Before(worker.backAt) {
			worker.appear()
			simulation.scheduler.SetWorker(simulation.now, worker.describe())
		}
		return
	}
	for task, run := range worker.runs {
		switch {
		case simulation.now.Before(run.until):
		case run.deadly:
			lost := simulation.report.RunsLost
			simulation.crash(worker)
			if len(simulation.starts[task]) >= manyCrashes {
				simulation.report.RunsLostLate += simulation.report.RunsLost - lost
			}
			return
		default:
			worker.end(task, describer.OutcomeDone, simulation.now)
		}
	}
	if simulation.now.Before(worker.pollAt) {
		return
	}
	worker.pollAt = simulation.now.Add(pollWait)
	poll := simulation.scheduler.PollOrder(simulation.now, worker.id(), true)
	answer := worker.list(simulation.now, simulation.now.Sub(simulation.begin), poll.Order.AcknowledgedEnd)
	simulation.scheduler.PollAnswered(simulation.now, simulation.now, poll, answer)
}

// write makes all changed records durable.
func (simulation *simulation) write() error {
	for _, id := range simulation.scheduler.Dirty() {
		record, generation, _, err := simulation.scheduler.Encode(id)
		if err != nil {
			return err
		}
		simulation.records[id] = record
		simulation.scheduler.RecordStored(simulation.now, id, generation)
	}
	simulation.revision++
	simulation.scheduler.SetFence(simulation.revision)
	return nil
}

// carryOut carries out the orders of a pass.
func (simulation *simulation) carryOut(effects scheduler.Effects) {
	present := map[describer.WorkerID]*worker{}
	for _, worker := range simulation.workers {
		if !worker.away() {
			present[worker.id()] = worker
		}
	}
	for _, id := range effects.Polls {
		if worker := present[id]; worker != nil {
			worker.pollAt = simulation.now
		}
	}
	slices.SortFunc(effects.Starts, func(left, right scheduler.Start) int {
		return strings.Compare(left.Order.Task.String(), right.Order.Task.String())
	})
	for _, start := range effects.Starts {
		err := describer.ErrUncertain
		if worker := present[start.Worker.ID]; worker != nil {
			simulation.start(worker, start.Order)
			err = nil
		}
		simulation.scheduler.StartAnswered(simulation.now, start, err)
	}
	for _, stop := range effects.Stops {
		worker := present[stop.Worker.ID]
		if worker == nil {
			continue
		}
		if run := worker.runs[stop.Order.Task]; run != nil && run.number <= stop.Order.Run {
			worker.end(stop.Order.Task, describer.OutcomeStopped, simulation.now)
		}
		simulation.scheduler.StopAnswered(simulation.now, stop, nil)
		worker.pollAt = simulation.now
	}
}

func (simulation *simulation) start(worker *worker, order describer.StartOrder) {
	job := simulation.jobs[order.Task.Job]
	work := time.Duration(float64(job.class.Work) * (0.7 + 0.6*simulation.random.Float64()))
	deadly := job.deadly && order.Task.Index == 0
	switch {
	case deadly:
		work = time.Duration(job.class.CrashAfter)
		simulation.starts[order.Task] = append(simulation.starts[order.Task], simulation.now)
	case job.class.Lasting:
		work = 24 * time.Hour
	}
	worker.runs[order.Task] = &run{
		number: order.Run,
		cores:  job.class.Cores,
		from:   simulation.now,
		until:  simulation.now.Add(work),
		deadly: deadly,
	}
	if used := worker.used(); used > worker.cores {
		simulation.report.Overcommitted = append(simulation.report.Overcommitted,
			fmt.Sprintf("the start of %s brings %s to %d of %d cores", order.Task, worker.id(), used, worker.cores))
	}
}
