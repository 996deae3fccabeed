// Package imitator imitates the journal and the workers of one shard in memory, so that the cost of the
// shard's controller alone can be measured. Its time passes only when it is told to.
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
	shard   = "north-a-0"
	perRack = 8
	// tickInterval is that of a driver.
	tickInterval = 50 * time.Millisecond
)

// Capacity is that of each worker.
var Capacity = descriptor.Resources{
	MilliCPU:    64_000,
	MemoryBytes: 256 << 30,
}

// Imitator is one shard with a controller at work.
type Imitator struct {
	// Controller is what is measured.
	Controller *controller.Controller
	// Steps is the time spent in the controller, and Syncs, Records and RecordBytes count what it asked for.
	Steps       time.Duration
	Syncs       int
	Records     int
	RecordBytes int
	// Running is the number of runs on all workers, and Started that of all starts.
	Running int
	Started int

	now      time.Time
	machines map[descriptor.WorkerID]*machine
	order    []*machine
	events   []signaler.Event
	nonce    uint64
}

// machine is a worker. Its report is kept, so that answering costs little.
type machine struct {
	report executor.SyncReply
	// changed lists the runs that started since the latest answer.
	changed []executor.RunReport
	ticket  int
}

// New returns a shard whose workers all have reported.
func New(workers int, config *parser.Compiled) *Imitator {
	imitator := &Imitator{
		Controller: controller.New(shard),
		now:        time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC),
		machines:   map[descriptor.WorkerID]*machine{},
	}
	instances := make([]lister.Instance, 0, workers)
	for i := range workers {
		instances = append(instances, imitator.addMachine(i))
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
	// The first message to a worker only asks.
	imitator.Advance(settling)
	return imitator
}

func (imitator *Imitator) addMachine(index int) lister.Instance {
	id := descriptor.WorkerID(fmt.Sprintf("north-a-worker-%04d", index))
	place := descriptor.Place{
		Region: "north",
		Site:   "north-a",
		Rack:   fmt.Sprintf("north-a-rack-%03d", index/perRack),
	}
	added := &machine{
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
	imitator.machines[id] = added
	imitator.order = append(imitator.order, added)
	return lister.Instance{
		ID:      string(id),
		Role:    lister.RoleWorker,
		State:   lister.StateLive,
		Address: netip.MustParseAddrPort("127.0.0.1:1"),
		Place:   place,
	}
}

// Submit lets the shard accept a job.
func (imitator *Imitator) Submit(job descriptor.Job) {
	imitator.nonce++
	imitator.step(signaler.Accept{
		Request: signaler.Request(imitator.nonce),
		ID:      registrar.NewJobID(shard, &job, imitator.now, imitator.nonce),
		Job:     job,
	})
}

// Advance lets time pass in ticks. All messages are answered at once.
func (imitator *Imitator) Advance(by time.Duration) {
	for end := imitator.now.Add(by); imitator.now.Before(end); {
		imitator.now = imitator.now.Add(tickInterval)
		imitator.step(signaler.Tick{})
	}
}

// End lets the oldest run of each worker end, in turn, until count have ended. The controller learns of
// it by the workers' next reports.
func (imitator *Imitator) End(count int) {
	for ended := true; ended && count > 0; {
		ended = false
		for _, machine := range imitator.order {
			if count > 0 && len(machine.report.Running) > 0 {
				machine.end(imitator.now)
				imitator.Running--
				count--
				ended = true
			}
		}
	}
}

func (machine *machine) end(now time.Time) {
	oldest := machine.report.Running[0]
	machine.report.Running = machine.report.Running[1:]
	machine.report.Finished = append(machine.report.Finished, executor.RunResult{
		Run:     oldest.Run,
		Outcome: executor.OutcomeDone,
		Started: oldest.Started,
		Ended:   now,
		Peak:    oldest.Usage.Resources,
	})
}

// step lets the controller handle an event and all that follows from it.
func (imitator *Imitator) step(event signaler.Event) {
	imitator.events = append(imitator.events[:0], event)
	for i := 0; i < len(imitator.events); i++ {
		begin := time.Now()
		actions := imitator.Controller.Step(imitator.now, imitator.events[i])
		imitator.Steps += time.Since(begin)
		for _, action := range actions {
			imitator.perform(action)
		}
	}
}

func (imitator *Imitator) perform(action signaler.Action) {
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
			Reply:  imitator.answer(action),
		})
	}
}

// answer is what a worker does with a message.
func (imitator *Imitator) answer(action signaler.Sync) executor.SyncReply {
	machine := imitator.machines[action.Worker]
	for _, id := range action.Request.Acknowledge {
		for i, result := range machine.report.Finished {
			if result.Run == id {
				machine.report.Finished = append(machine.report.Finished[:i:i], machine.report.Finished[i+1:]...)
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
		machine.report.Running = append(machine.report.Running, report)
		machine.changed = append(machine.changed, report)
	}
	machine.ticket++
	machine.report.Ticket = fmt.Sprintf("%s-%d", machine.report.Incarnation, machine.ticket)
	reply := machine.report
	if action.Request.Changes {
		reply.Partial, reply.Running = true, machine.changed
	}
	machine.changed = nil
	return reply
}

// Bind lets the shard, as the registrar, bind the key of a job that another shard takes.
func (imitator *Imitator) Bind(job descriptor.Job) {
	imitator.nonce++
	imitator.step(signaler.Bind{
		Request: signaler.Request(imitator.nonce),
		Job:     job,
		Targets: []descriptor.ShardID{"south-b-0"},
		Nonce:   imitator.nonce,
	})
}
