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
	"pomelomoor/internal/cell/scheduler"
	"pomelomoor/internal/work/descriptor"
)

const (
	// interRegionLatency and intraRegionLatency are the one-way network latencies between two regions and within one.
	interRegionLatency = 30 * time.Millisecond
	intraRegionLatency = time.Millisecond
	// commitLatency is the duration of a write to the store.
	commitLatency = 5 * time.Millisecond
	// maxListedEnds is the number of ended runs that a worker lists at a time.
	maxListedEnds = 500
)

func workerName(index int) describer.WorkerID {
	return describer.WorkerID(fmt.Sprintf("%016x", index))
}

// discardObserver implements Observer and ignores all events.
type discardObserver struct{}

func (discardObserver) Decided([]scheduler.Event) {}
func (discardObserver) OrderAnswered(string, describer.TaskID, int, describer.WorkerID, string, time.Duration, error) {
}
func (discardObserver) Recovered(describer.Fence, int, int, time.Duration) {}
func (discardObserver) EntryUnreadable(string, string, error)              {}
func (discardObserver) RunStarted(time.Duration)                           {}
func (discardObserver) WriteFailed(int, error)                             {}
func (discardObserver) Contained(string, any)                              {}
func (discardObserver) Loaded(LoadReport)                                  {}

// processorObserver ignores all events. Each pass waits until the processor has done its work.
type processorObserver struct {
	discardObserver

	processor *fakeProcessor
}

func (processorObserver processorObserver) Decided([]scheduler.Event) {
	processorObserver.processor.use()
}

// fakeProcessor is a leader's processor, which handles one message after the other.
type fakeProcessor struct {
	load Load
	// busy has an element while the processor works.
	busy chan struct{}
	// examined returns how many workers and instances the leader has looked at; charged is its last value.
	examined func() int64
	charged  int64
}

func newFakeProcessor(load Load, examined func() int64) *fakeProcessor {
	return &fakeProcessor{
		load:     load,
		busy:     make(chan struct{}, 1),
		examined: examined,
	}
}

// use takes the processor for one message, and for what the leader has looked at since the last one.
func (fakeProcessor *fakeProcessor) use() {
	if fakeProcessor.load.MessageMicros == 0 {
		return
	}
	fakeProcessor.busy <- struct{}{}
	examined := fakeProcessor.examined()
	micros := fakeProcessor.load.MessageMicros + float64(examined-fakeProcessor.charged)*fakeProcessor.load.ExaminationNanos/1000
	fakeProcessor.charged = examined
	time.Sleep(time.Duration(micros * float64(time.Microsecond)))
	<-fakeProcessor.busy
}

// fakeStore is an in-memory store without faults.
type fakeStore struct {
	describer.Store

	mutex sync.Mutex
	items map[string]describer.Item
	at    describer.Revision
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		items: map[string]describer.Item{},
		at:    1,
	}
}

func (fakeStore *fakeStore) put(key string) {
	fakeStore.items[key] = describer.Item{
		Key:      key,
		Revision: fakeStore.at,
	}
}

func (fakeStore *fakeStore) List(_ context.Context, prefix, _ string) (describer.Page, error) {
	fakeStore.mutex.Lock()
	defer fakeStore.mutex.Unlock()
	page := describer.Page{
		At: fakeStore.at,
	}
	for key, item := range fakeStore.items {
		if strings.HasPrefix(key, prefix) {
			page.Items = append(page.Items, item)
		}
	}
	return page, nil
}

func (fakeStore *fakeStore) Watch(ctx context.Context, _ string, after describer.Revision, wait time.Duration) ([]describer.Item, describer.Revision, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return nil, after, ctx.Err()
}

func (fakeStore *fakeStore) Commit(_ context.Context, change describer.Change) (describer.Revision, error) {
	time.Sleep(commitLatency)
	fakeStore.mutex.Lock()
	defer fakeStore.mutex.Unlock()
	fakeStore.at++
	for _, write := range change.Writes {
		fakeStore.put(write.Key)
	}
	return fakeStore.at, nil
}

// fakeAdvice simulates the advice service, which answers each instance one request at a time.
type fakeAdvice struct {
	load      Load
	config    *describer.Config
	processor *fakeProcessor
	locks     map[string]chan struct{}
	mutex     sync.Mutex
}

func newFakeAdvice(load Load, config *describer.Config, processor *fakeProcessor) *fakeAdvice {
	return &fakeAdvice{
		load:      load,
		config:    config,
		processor: processor,
		locks:     map[string]chan struct{}{},
	}
}

func (fakeAdvice *fakeAdvice) requestAdvice(_ context.Context, instance string, request scheduler.AdviceRequest) (describer.Advice, error) {
	time.Sleep(interRegionLatency)
	// A mutex that is held during a sleep would keep the virtual time from advancing, so the wait for the service
	// uses a channel.
	fakeAdvice.mutex.Lock()
	lock := fakeAdvice.locks[instance]
	if lock == nil {
		lock = make(chan struct{}, 1)
		fakeAdvice.locks[instance] = lock
	}
	fakeAdvice.mutex.Unlock()
	lock <- struct{}{}
	time.Sleep(request.ExpectedDuration)
	<-lock
	time.Sleep(interRegionLatency)
	fakeAdvice.processor.use()
	allowedShare, validity := fakeAdvice.classParameters(request)
	answer := describer.Advice{
		Validity: validity,
	}
	for _, worker := range request.Workers {
		// The service gives the same answer each time for a step and a worker.
		seed := crc32.ChecksumIEEE([]byte(request.Step.String() + string(worker)))
		if rand.New(rand.NewPCG(uint64(seed), 1)).Float64() < allowedShare {
			answer.Tickets = append(answer.Tickets, describer.Ticket{
				Worker: worker,
				Ticket: "ticket",
			})
		}
	}
	return answer, nil
}

// classParameters finds the class of a request by its service time. It returns the share of the workers that are
// allowed to run a step of the class, and the validity of its tickets.
func (fakeAdvice *fakeAdvice) classParameters(request scheduler.AdviceRequest) (allowedShare float64, validity time.Duration) {
	for index, queue := range fakeAdvice.config.Queues {
		if request.ExpectedDuration == queue.Advice.Base+time.Duration(len(request.Workers))*queue.Advice.PerWorker {
			return fakeAdvice.load.Classes[index].Good, queue.Advice.Validity
		}
	}
	return 0, 0
}

// stepBehaviour is how the tasks of a step run on the simulated workers.
type stepBehaviour struct {
	step        describer.Step
	runTimes    []time.Duration
	failedShare float64
	// gangMembers holds the started members of each run of a gang. The gang begins work once all are present.
	gangMembers map[int][]*workerRun
}

// fakeWorkers simulates the workers of a cell.
type fakeWorkers struct {
	t         *testing.T
	processor *fakeProcessor
	mutex     sync.Mutex
	random    *rand.Rand
	byID      map[describer.WorkerID]*fakeWorker
	steps     map[describer.StepID]*stepBehaviour
}

// fakeWorker is one simulated worker. Its run times are multiplied by slowdown.
type fakeWorker struct {
	id       describer.WorkerID
	capacity descriptor.Resources
	used     descriptor.Resources
	latency  time.Duration
	slowdown float64
	running  map[describer.TaskID]*workerRun
	ended    []describer.EndedRun
	endCount int64
	wake     chan struct{}
}

type workerRun struct {
	worker    *fakeWorker
	behaviour *stepBehaviour
	task      describer.TaskID
	number    int
	timer     *time.Timer
}

func newFakeWorkers(t *testing.T, load Load, processor *fakeProcessor) *fakeWorkers {
	workers := &fakeWorkers{
		t:         t,
		processor: processor,
		random:    rand.New(rand.NewPCG(load.Seed, 2)),
		byID:      map[describer.WorkerID]*fakeWorker{},
		steps:     map[describer.StepID]*stepBehaviour{},
	}
	for index := range load.Workers {
		worker := &fakeWorker{
			id:       workerName(index),
			capacity: load.Capacity,
			latency:  interRegionLatency,
			slowdown: 1,
			running:  map[describer.TaskID]*workerRun{},
			wake:     make(chan struct{}),
		}
		if index%3 == 0 {
			worker.latency = intraRegionLatency
			worker.slowdown = 1.3
		}
		workers.byID[worker.id] = worker
	}
	return workers
}

func (fakeWorkers *fakeWorkers) describe(id describer.WorkerID) *describer.Worker {
	return &describer.Worker{
		ID:          id,
		Service:     "service",
		Capacity:    fakeWorkers.byID[id].capacity,
		Incarnation: time.Unix(1, 0),
		Rack:        string(id[len(id)-1:]),
	}
}

func (fakeWorkers *fakeWorkers) addStep(job describer.JobID, number int, step describer.Step, failedShare float64) *stepBehaviour {
	behaviour := &stepBehaviour{
		step:        step,
		failedShare: failedShare,
		gangMembers: map[int][]*workerRun{},
	}
	fakeWorkers.mutex.Lock()
	defer fakeWorkers.mutex.Unlock()
	fakeWorkers.steps[describer.StepID{
		Job:  job,
		Step: number,
	}] = behaviour
	return behaviour
}

// Start implements describer.Workers.
func (fakeWorkers *fakeWorkers) Start(_ context.Context, target describer.Target, order describer.StartOrder) (time.Duration, error) {
	worker := fakeWorkers.byID[target.Worker.ID]
	time.Sleep(worker.latency)
	fakeWorkers.mutex.Lock()
	fakeWorkers.beginRun(worker, order)
	fakeWorkers.mutex.Unlock()
	time.Sleep(worker.latency)
	fakeWorkers.processor.use()
	return 0, nil
}

func (fakeWorkers *fakeWorkers) beginRun(worker *fakeWorker, order describer.StartOrder) {
	behaviour := fakeWorkers.steps[order.Task.StepID]
	run := &workerRun{
		worker:    worker,
		behaviour: behaviour,
		task:      order.Task,
		number:    order.Run,
	}
	worker.running[order.Task] = run
	worker.used = worker.used.Add(behaviour.step.Needs)
	if worker.used.MilliCPU > worker.capacity.MilliCPU || worker.used.MemoryBytes > worker.capacity.MemoryBytes {
		fakeWorkers.t.Errorf("worker %s holds %+v, more than its capacity", worker.id, worker.used)
	}
	members := []*workerRun{run}
	if behaviour.step.Gang {
		behaviour.gangMembers[order.Run] = append(behaviour.gangMembers[order.Run], run)
		members = behaviour.gangMembers[order.Run]
		if len(members) < behaviour.step.Count {
			return
		}
	}
	outcome := describer.OutcomeDone
	runTime := behaviour.runTimes[order.Task.Index]
	if fakeWorkers.random.Float64() < behaviour.failedShare {
		outcome = describer.OutcomeFailed
		runTime = time.Duration(float64(runTime) * fakeWorkers.random.Float64())
	}
	slowest := 0.0
	for _, member := range members {
		slowest = max(slowest, member.worker.slowdown)
	}
	for index, member := range members {
		memberOutcome := outcome
		if outcome == describer.OutcomeFailed && index > 0 {
			memberOutcome = describer.OutcomeGangEnded
		}
		member.timer = time.AfterFunc(time.Duration(float64(runTime)*slowest), func() {
			fakeWorkers.mutex.Lock()
			defer fakeWorkers.mutex.Unlock()
			fakeWorkers.endRun(member, memberOutcome)
		})
	}
}

func (fakeWorkers *fakeWorkers) endRun(run *workerRun, outcome describer.Outcome) {
	worker := run.worker
	if worker.running[run.task] != run {
		return
	}
	delete(worker.running, run.task)
	worker.used = worker.used.Sub(run.behaviour.step.Needs)
	worker.endCount++
	worker.ended = append(worker.ended, describer.EndedRun{
		Number:  worker.endCount,
		Task:    run.task,
		Run:     run.number,
		Outcome: outcome,
	})
	close(worker.wake)
	worker.wake = make(chan struct{})
}

// Stop implements describer.Workers.
func (fakeWorkers *fakeWorkers) Stop(_ context.Context, target describer.Target, order describer.StopOrder) error {
	worker := fakeWorkers.byID[target.Worker.ID]
	time.Sleep(worker.latency)
	fakeWorkers.mutex.Lock()
	if run := worker.running[order.Task]; run != nil && run.number == order.Run {
		if run.timer != nil {
			run.timer.Stop()
		}
		fakeWorkers.endRun(run, describer.OutcomeStopped)
	}
	fakeWorkers.mutex.Unlock()
	time.Sleep(worker.latency)
	fakeWorkers.processor.use()
	return nil
}

// Throttle implements describer.Workers.
func (fakeWorkers *fakeWorkers) Throttle(context.Context, describer.Target, describer.ThrottleOrder) error {
	return nil
}

// Poll implements describer.Workers.
func (fakeWorkers *fakeWorkers) Poll(ctx context.Context, target describer.Target, order describer.PollOrder) (describer.PollAnswer, error) {
	worker := fakeWorkers.byID[target.Worker.ID]
	time.Sleep(worker.latency)
	waited := time.After(order.Wait)
	fakeWorkers.mutex.Lock()
	for len(worker.ended) > 0 && worker.ended[0].Number <= order.AcknowledgedEnd {
		worker.ended = worker.ended[1:]
	}
	for done := false; len(worker.ended) == 0 && !done; {
		wake := worker.wake
		fakeWorkers.mutex.Unlock()
		select {
		case <-ctx.Done():
			done = true
		case <-waited:
			done = true
		case <-wake:
		}
		fakeWorkers.mutex.Lock()
	}
	answer := describer.PollAnswer{
		Incarnation: time.Unix(1, 0),
	}
	for _, run := range worker.running {
		answer.Running = append(answer.Running, describer.RunStatus{
			Task:    run.task,
			Run:     run.number,
			Percent: 100,
		})
	}
	answer.Ended = append(answer.Ended, worker.ended[:min(len(worker.ended), maxListedEnds)]...)
	answer.EndsTruncated = len(answer.Ended) == maxListedEnds
	fakeWorkers.mutex.Unlock()
	time.Sleep(worker.latency)
	fakeWorkers.processor.use()
	return answer, ctx.Err()
}
