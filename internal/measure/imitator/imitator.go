// Package imitator simulates the journal and the workers of one shard in memory, to measure the cost of the
// shard's controller alone. The simulated clock only advances on request.
package imitator

import (
	"fmt"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/gateway/executor"
	"pomelomoor/internal/gateway/lister"
	"pomelomoor/internal/shard/controller"
	"pomelomoor/internal/shard/registrar"
	"pomelomoor/internal/shard/signaler"
	"pomelomoor/internal/work/descriptor"
)

const (
	shard          = "north-a-0"
	workersPerRack = 8
	// tickInterval is the interval at which a driver ticks its controller.
	tickInterval = 50 * time.Millisecond
)

// Capacity is the capacity of each worker.
var Capacity = descriptor.Resources{
	MilliCPU:    64_000,
	MemoryBytes: 256 << 30,
}

// Imitator runs the controller of one shard against a simulated journal and simulated workers.
type Imitator struct {
	// Controller is the measured controller.
	Controller *controller.Controller
	// StepTime is the time spent in the controller. Syncs, Records and RecordBytes count the messages to workers
	// and the journal records that it requested.
	StepTime    time.Duration
	Syncs       int
	Records     int
	RecordBytes int
	// Running is the number of current runs on all workers, and Started the number of runs started so far.
	Running int
	Started int

	now         time.Time
	workers     map[descriptor.WorkerID]*worker
	workerOrder []*worker
	events      []signaler.Event
	nonce       uint64
}

// worker is a simulated worker. It keeps its report between messages, so that answering is cheap.
type worker struct {
	report executor.SyncReply
	// startedRuns lists the runs that started since the last response.
	startedRuns []executor.RunReport
	ticket      int
}

// New returns a shard in which all workers have reported.
func New(workers int, config *parser.Compiled) *Imitator {
	imitator := &Imitator{
		Controller: controller.New(shard),
		now:        time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC),
		workers:    map[descriptor.WorkerID]*worker{},
	}
	instances := make([]lister.Instance, 0, workers)
	for i := range workers {
		instances = append(instances, imitator.addWorker(i))
	}
	imitator.step(signaler.AuthorityChanged{
		Authority: signaler.AuthorityFull,
	})
	imitator.step(signaler.Loaded{
		Epoch: 1,
	})
	imitator.step(signaler.ConfigChanged{
		Config: config,
	})
	imitator.step(signaler.ListedWorkersChanged{
		Workers: instances,
	})
	// The first message to a worker only requests its report.
	imitator.Advance(settlingTime)
	return imitator
}

func (imitator *Imitator) addWorker(index int) lister.Instance {
	id := descriptor.WorkerID(fmt.Sprintf("north-a-worker-%04d", index))
	place := descriptor.Place{
		Region: "north",
		Site:   "north-a",
		Rack:   fmt.Sprintf("north-a-rack-%03d", index/workersPerRack),
	}
	added := &worker{
		report: executor.SyncReply{
			Worker:      id,
			Incarnation: "dq3x1gqk2m8w",
			Place:       place,
			Labels: descriptor.Labels{
				"Class": "Large",
				"Disk":  "Fast",
			},
			Capacity: Capacity,
		},
	}
	imitator.workers[id] = added
	imitator.workerOrder = append(imitator.workerOrder, added)
	return lister.Instance{
		ID:      string(id),
		Role:    lister.RoleWorker,
		State:   lister.StateLive,
		Address: netip.MustParseAddrPort("127.0.0.1:1"),
		Place:   place,
	}
}

// Submit submits a job to the shard.
func (imitator *Imitator) Submit(job descriptor.Job) {
	imitator.nonce++
	imitator.step(signaler.Accept{
		Request: signaler.RequestID(imitator.nonce),
		ID:      registrar.NewJobID(shard, &job, imitator.now, imitator.nonce),
		Job:     job,
	})
}

// Advance advances the clock tick by tick. Workers and the journal answer without delay.
func (imitator *Imitator) Advance(duration time.Duration) {
	for end := imitator.now.Add(duration); imitator.now.Before(end); {
		imitator.now = imitator.now.Add(tickInterval)
		imitator.step(signaler.Tick{})
	}
}

// End ends count runs, the oldest on each worker in turn. The controller learns of it from the workers' next
// reports.
func (imitator *Imitator) End(count int) {
	for ended := true; ended && count > 0; {
		ended = false
		for _, worker := range imitator.workerOrder {
			if count > 0 && len(worker.report.Running) > 0 {
				worker.end(imitator.now)
				imitator.Running--
				count--
				ended = true
			}
		}
	}
}

func (worker *worker) end(now time.Time) {
	oldest := worker.report.Running[0]
	worker.report.Running = worker.report.Running[1:]
	worker.report.Finished = append(worker.report.Finished, executor.RunResult{
		Run:     oldest.Run,
		Outcome: executor.OutcomeDone,
		Started: oldest.Started,
		Ended:   now,
		Peak:    oldest.Usage.Resources,
	})
}

// step passes an event to the controller, and then all events that result from its actions.
func (imitator *Imitator) step(event signaler.Event) {
	imitator.events = append(imitator.events[:0], event)
	for i := 0; i < len(imitator.events); i++ {
		begin := time.Now()
		actions := imitator.Controller.Step(imitator.now, imitator.events[i])
		imitator.StepTime += time.Since(begin)
		for _, action := range actions {
			imitator.execute(action)
		}
	}
}

func (imitator *Imitator) execute(action signaler.Action) {
	switch action := action.(type) {
	case signaler.Append:
		imitator.Records += len(action.Records)
		for _, record := range action.Records {
			imitator.RecordBytes += proto.Size(record)
		}
		imitator.events = append(imitator.events, signaler.Written{
			Token: action.Token,
		})
	case signaler.Sync:
		imitator.Syncs++
		imitator.events = append(imitator.events, signaler.Reported{
			Worker: action.Worker,
			Sent:   action.Sent,
			Report: imitator.handleSync(action),
		})
	}
}

// handleSync applies a message to its worker and returns the worker's response.
func (imitator *Imitator) handleSync(action signaler.Sync) executor.SyncReply {
	worker := imitator.workers[action.Worker]
	for _, id := range action.Request.Acknowledge {
		for i, result := range worker.report.Finished {
			if result.Run == id {
				worker.report.Finished = append(worker.report.Finished[:i:i], worker.report.Finished[i+1:]...)
				break
			}
		}
	}
	for _, start := range action.Request.Start {
		imitator.Running++
		imitator.Started++
		report := executor.RunReport{
			Run:     start.Run,
			Started: imitator.now,
			Usage: descriptor.Usage{
				Resources: start.Task,
				At:        imitator.now,
			},
		}
		worker.report.Running = append(worker.report.Running, report)
		worker.startedRuns = append(worker.startedRuns, report)
	}
	worker.ticket++
	worker.report.Ticket = fmt.Sprintf("%s-%d", worker.report.Incarnation, worker.ticket)
	response := worker.report
	if action.Request.Changes {
		response.Partial, response.Running = true, worker.startedRuns
	}
	worker.startedRuns = nil
	return response
}

// Bind has the shard, as registrar, bind the key of a job to another shard.
func (imitator *Imitator) Bind(job descriptor.Job) {
	imitator.nonce++
	imitator.step(signaler.Bind{
		Request: signaler.RequestID(imitator.nonce),
		Job:     job,
		Targets: []descriptor.ShardID{"south-b-0"},
		Nonce:   imitator.nonce,
	})
}
