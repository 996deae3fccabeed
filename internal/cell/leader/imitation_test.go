package leader

import (
	"context"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/planner"
	"pomelomoor/internal/work/descriptor"
)

const (
	// farWay and nearWay are the ways between two regions and within one.
	farWay  = 30 * time.Millisecond
	nearWay = time.Millisecond
	// commitTime is the time of a write to the store.
	commitTime = 5 * time.Millisecond
)

func workerName(index int) describer.WorkerID {
	return describer.WorkerID(fmt.Sprintf("%016x", index))
}

// discard takes what a leader tells its journal.
type discard struct{}

func (discard) Decided([]planner.Event) {}
func (discard) Ordered(string, describer.TaskID, int, describer.WorkerID, string, time.Duration, error) {
}
func (discard) Recovered(describer.Fence, int, int, time.Duration) {}
func (discard) Faulty(string, string, error)                       {}
func (discard) Started(time.Duration)                              {}
func (discard) Wrote(int, error)                                   {}

// store is a store without faults that keeps its keys in memory.
type store struct {
	describer.Store

	mutex sync.Mutex
	items map[string]describer.Item
	at    describer.Revision
}

func newStore() *store {
	return &store{
		items: map[string]describer.Item{},
		at:    1,
	}
}

func (store *store) put(key string) {
	store.items[key] = describer.Item{
		Key:      key,
		Revision: store.at,
	}
}

func (store *store) List(_ context.Context, prefix, _ string) (describer.Page, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	page := describer.Page{
		At: store.at,
	}
	for key, item := range store.items {
		if strings.HasPrefix(key, prefix) {
			page.Items = append(page.Items, item)
		}
	}
	return page, nil
}

func (store *store) Watch(ctx context.Context, _ string, after describer.Revision, wait time.Duration) ([]describer.Item, describer.Revision, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return nil, after, ctx.Err()
}

func (store *store) Commit(_ context.Context, change describer.Change) (describer.Revision, error) {
	time.Sleep(commitTime)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.at++
	for _, write := range change.Writes {
		store.put(write.Key)
	}
	return store.at, nil
}

// advice imitates the advice service, which answers each instance one question at a time.
type advice struct {
	load   Load
	config *describer.Config
	turns  map[string]chan struct{}
	mutex  sync.Mutex
}

func newAdvice(load Load, config *describer.Config) *advice {
	return &advice{
		load:   load,
		config: config,
		turns:  map[string]chan struct{}{},
	}
}

func (advice *advice) ask(_ context.Context, instance string, request planner.AdviceRequest) (describer.Advice, error) {
	time.Sleep(farWay)
	// A mutex held during a sleep would stop the virtual time.
	advice.mutex.Lock()
	turn := advice.turns[instance]
	if turn == nil {
		turn = make(chan struct{}, 1)
		advice.turns[instance] = turn
	}
	advice.mutex.Unlock()
	turn <- struct{}{}
	time.Sleep(request.Takes)
	<-turn
	time.Sleep(farWay)
	good, validity := advice.policy(request)
	answer := describer.Advice{
		Validity: validity,
	}
	for _, worker := range request.Workers {
		// The service's answer for a step and a worker does not change.
		seed := crc32.ChecksumIEEE([]byte(request.Step.String() + string(worker)))
		if rand.New(rand.NewPCG(uint64(seed), 1)).Float64() < good {
			answer.Tickets = append(answer.Tickets, describer.Ticket{
				Worker: worker,
				Ticket: "ticket",
			})
		}
	}
	return answer, nil
}

// policy finds the class of a question by the time that the service takes for it.
func (advice *advice) policy(request planner.AdviceRequest) (good float64, validity time.Duration) {
	for index, queue := range advice.config.Queues {
		if request.Takes == queue.Advice.Base+time.Duration(len(request.Workers))*queue.Advice.PerWorker {
			return advice.load.Classes[index].Good, queue.Advice.Validity
		}
	}
	return 0, 0
}

// behaviour is how the tasks of a step behave.
type behaviour struct {
	step        describer.Step
	work        []time.Duration
	failedShare float64
	// present counts the members of a run of a gang.
	present map[int][]*workerRun
}

// workers imitates the workers of a cell.
type workers struct {
	t      *testing.T
	mutex  sync.Mutex
	random *rand.Rand
	all    map[describer.WorkerID]*fakeWorker
	steps  map[describer.StepID]*behaviour
}

type fakeWorker struct {
	id       describer.WorkerID
	capacity descriptor.Resources
	used     descriptor.Resources
	way      time.Duration
	speed    float64
	running  map[describer.TaskID]*workerRun
	ended    []describer.End
	count    int64
	wake     chan struct{}
}

type workerRun struct {
	worker    *fakeWorker
	behaviour *behaviour
	task      describer.TaskID
	number    int
	timer     *time.Timer
}

func newWorkers(t *testing.T, load Load) *workers {
	workers := &workers{
		t:      t,
		random: rand.New(rand.NewPCG(load.Seed, 2)),
		all:    map[describer.WorkerID]*fakeWorker{},
		steps:  map[describer.StepID]*behaviour{},
	}
	for index := range load.Workers {
		worker := &fakeWorker{
			id:       workerName(index),
			capacity: load.Capacity,
			way:      farWay,
			speed:    1,
			running:  map[describer.TaskID]*workerRun{},
			wake:     make(chan struct{}),
		}
		if index%3 == 0 {
			worker.way = nearWay
			worker.speed = 1.3
		}
		workers.all[worker.id] = worker
	}
	return workers
}

func (workers *workers) describe(id describer.WorkerID) *describer.Worker {
	return &describer.Worker{
		ID:       id,
		Service:  "service",
		Capacity: workers.all[id].capacity,
		Born:     time.Unix(1, 0),
		Rack:     string(id[len(id)-1:]),
	}
}

func (workers *workers) addStep(job describer.JobID, number int, step describer.Step, failedShare float64) *behaviour {
	behaviour := &behaviour{
		step:        step,
		failedShare: failedShare,
		present:     map[int][]*workerRun{},
	}
	workers.mutex.Lock()
	defer workers.mutex.Unlock()
	workers.steps[describer.StepID{
		Job:  job,
		Step: number,
	}] = behaviour
	return behaviour
}

// Start implements describer.Workers.
func (workers *workers) Start(_ context.Context, target describer.Target, order describer.StartOrder) (time.Duration, error) {
	worker := workers.all[target.Worker.ID]
	time.Sleep(worker.way)
	workers.mutex.Lock()
	workers.begin(worker, order)
	workers.mutex.Unlock()
	time.Sleep(worker.way)
	return 0, nil
}

func (workers *workers) begin(worker *fakeWorker, order describer.StartOrder) {
	behaviour := workers.steps[order.Task.StepID]
	run := &workerRun{
		worker:    worker,
		behaviour: behaviour,
		task:      order.Task,
		number:    order.Run,
	}
	worker.running[order.Task] = run
	worker.used = worker.used.Add(behaviour.step.Needs)
	if worker.used.MilliCPU > worker.capacity.MilliCPU || worker.used.MemoryBytes > worker.capacity.MemoryBytes {
		workers.t.Errorf("worker %s holds %+v, more than its capacity", worker.id, worker.used)
	}
	members := []*workerRun{run}
	if behaviour.step.Gang {
		behaviour.present[order.Run] = append(behaviour.present[order.Run], run)
		members = behaviour.present[order.Run]
		if len(members) < behaviour.step.Count {
			return
		}
	}
	outcome := describer.OutcomeDone
	work := behaviour.work[order.Task.Index]
	if workers.random.Float64() < behaviour.failedShare {
		outcome = describer.OutcomeFailed
		work = time.Duration(float64(work) * workers.random.Float64())
	}
	slowest := 0.0
	for _, member := range members {
		slowest = max(slowest, member.worker.speed)
	}
	for index, member := range members {
		how := outcome
		if outcome == describer.OutcomeFailed && index > 0 {
			how = describer.OutcomeBroken
		}
		member.timer = time.AfterFunc(time.Duration(float64(work)*slowest), func() {
			workers.mutex.Lock()
			defer workers.mutex.Unlock()
			workers.finish(member, how)
		})
	}
}

func (workers *workers) finish(run *workerRun, outcome describer.Outcome) {
	worker := run.worker
	if worker.running[run.task] != run {
		return
	}
	delete(worker.running, run.task)
	worker.used = worker.used.Sub(run.behaviour.step.Needs)
	worker.count++
	worker.ended = append(worker.ended, describer.End{
		Number:  worker.count,
		Task:    run.task,
		Run:     run.number,
		Outcome: outcome,
	})
	close(worker.wake)
	worker.wake = make(chan struct{})
}

// Stop implements describer.Workers.
func (workers *workers) Stop(_ context.Context, target describer.Target, order describer.StopOrder) error {
	worker := workers.all[target.Worker.ID]
	time.Sleep(worker.way)
	workers.mutex.Lock()
	if run := worker.running[order.Task]; run != nil && run.number == order.Run {
		if run.timer != nil {
			run.timer.Stop()
		}
		workers.finish(run, describer.OutcomeStopped)
	}
	workers.mutex.Unlock()
	time.Sleep(worker.way)
	return nil
}

// Pace implements describer.Workers.
func (workers *workers) Pace(context.Context, describer.Target, describer.PaceOrder) error {
	return nil
}

// Look implements describer.Workers.
func (workers *workers) Look(ctx context.Context, target describer.Target, order describer.LookOrder) (describer.Look, error) {
	worker := workers.all[target.Worker.ID]
	time.Sleep(worker.way)
	waited := time.After(order.Wait)
	workers.mutex.Lock()
	for len(worker.ended) > 0 && worker.ended[0].Number <= order.Seen {
		worker.ended = worker.ended[1:]
	}
	for done := false; len(worker.ended) == 0 && !done; {
		wake := worker.wake
		workers.mutex.Unlock()
		select {
		case <-ctx.Done():
			done = true
		case <-waited:
			done = true
		case <-wake:
		}
		workers.mutex.Lock()
	}
	look := describer.Look{
		Born: time.Unix(1, 0),
	}
	for _, run := range worker.running {
		look.Running = append(look.Running, describer.Running{
			Task:    run.task,
			Run:     run.number,
			Percent: 100,
		})
	}
	look.Ended = append(look.Ended, worker.ended...)
	workers.mutex.Unlock()
	time.Sleep(worker.way)
	return look, ctx.Err()
}
