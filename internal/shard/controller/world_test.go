package controller

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"pomelomoor/internal/gateway/executor"
	"pomelomoor/internal/gateway/lister"
	"pomelomoor/internal/shard/recordpb"
	"pomelomoor/internal/shard/signaler"
	"pomelomoor/internal/work/descriptor"
)

// world simulates the journal, the network and the workers around the owners of one shard.
type world struct {
	t       rapid.TB
	now     time.Time
	epoch   uint64
	records []*recordpb.Record
	owners  []*owner
	workers []*machine
	late    []message
	jobs    map[descriptor.JobID]descriptor.Job
	// accepted lists the jobs that were acknowledged.
	accepted []descriptor.JobID
	starts   map[string]int
	done     map[string]int
	told     map[string]string
	// fates are those of the jobs that the newest owner told last.
	fates   map[descriptor.JobID]string
	request signaler.Request
	nonce   uint64
	// honest work uses what it declares, except for the jobs in uses.
	honest bool
	uses   map[descriptor.JobID]int64
	// observe is told of every action, if it is set.
	observe func(signaler.Action)
}

type owner struct {
	*Controller
	queue   []signaler.Append
	network []signaler.Sync
	halted  bool
}

// machine is a worker as its interface describes it. It checks what must never happen.
type machine struct {
	id          descriptor.WorkerID
	incarnation int
	epoch       uint64
	ticket      int
	ticketAt    time.Time
	expires     time.Time
	cut         bool
	// hidden is an owner that cannot reach the worker, and muted loses all replies to it.
	hidden, muted *owner
	unlisted      bool
	running       map[descriptor.RunID]executor.Start
	// told holds the runs in the latest reply and their memory.
	told      map[descriptor.RunID]int64
	finished  map[descriptor.RunID]executor.RunResult
	forgotten map[descriptor.RunID]bool
}

type message struct {
	worker *machine
	sync   signaler.Sync
	at     time.Time
}

// maxDelay bounds the time that a message waits before its worker handles it, as in the socket buffer
// of a paused worker. It is above the lease of tasks.
const maxDelay = 20 * time.Second

var (
	capacity = descriptor.Resources{
		MilliCPU:    4000,
		MemoryBytes: 4000,
	}
	epochBegin = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
)

func newWorld(t rapid.TB, workers int) *world {
	world := &world{
		t:      t,
		now:    epochBegin,
		jobs:   map[descriptor.JobID]descriptor.Job{},
		starts: map[string]int{},
		done:   map[string]int{},
		told:   map[string]string{},
		fates:  map[descriptor.JobID]string{},
	}
	for i := range workers {
		machine := &machine{
			id: descriptor.WorkerID(fmt.Sprintf("w%d", i)),
		}
		machine.reset()
		world.workers = append(world.workers, machine)
	}
	world.takeOver()
	return world
}

func (machine *machine) reset() {
	machine.incarnation++
	machine.epoch, machine.ticket = 0, 0
	machine.running = map[descriptor.RunID]executor.Start{}
	machine.finished = map[descriptor.RunID]executor.RunResult{}
	machine.forgotten = map[descriptor.RunID]bool{}
}

func (world *world) list() signaler.InstancesChanged {
	var event signaler.InstancesChanged
	for _, machine := range world.workers {
		if !machine.unlisted {
			event.Workers = append(event.Workers, lister.Instance{
				ID:      string(machine.id),
				State:   lister.StateLive,
				Address: netip.MustParseAddrPort("127.0.0.1:1"),
			})
		}
	}
	return event
}

// takeOver starts a new owner. The last one can only renew from now on, as its lease is over.
func (world *world) takeOver() {
	for _, old := range world.owners {
		world.step(old, signaler.AuthorityChanged{
			Authority: signaler.AuthorityRenew,
		})
	}
	// Starts are not in the journal, so a new owner may not know yet that a job is running.
	maps.DeleteFunc(world.fates, func(_ descriptor.JobID, fate string) bool {
		return fate == "Running"
	})
	world.epoch++
	fresh := &owner{
		Controller: New("hof-0"),
	}
	world.owners = append(world.owners, fresh)
	world.step(fresh, signaler.AuthorityChanged{
		Authority: signaler.AuthorityAct,
	})
	world.step(fresh, world.list())
	if len(fresh.network) > 0 {
		world.t.Fatalf("a message without an epoch: %v", fresh.network)
	}
	world.step(fresh, signaler.Loaded{
		Epoch:   world.epoch,
		Records: world.records,
	})
}

func (world *world) owner() *owner {
	return world.owners[len(world.owners)-1]
}

func (world *world) step(owner *owner, event signaler.Event) {
	if owner.halted {
		return
	}
	for _, action := range owner.Step(world.now, event) {
		if world.observe != nil {
			world.observe(action)
		}
		switch action := action.(type) {
		case signaler.Append:
			owner.queue = append(owner.queue, action)
		case signaler.Sync:
			owner.network = append(owner.network, action)
		case signaler.Halt:
			if owner == world.owner() {
				world.t.Fatalf("the owner halts: %s", action.Reason)
			}
			owner.halted = true
		}
	}
}

// write makes the first appends durable. Only the newest owner can write.
func (world *world) write(count int) {
	owner := world.owner()
	for ; count > 0 && len(owner.queue) > 0; count-- {
		action := owner.queue[0]
		owner.queue = owner.queue[1:]
		world.records = append(world.records, action.Records...)
		for _, record := range action.Records {
			if accepted := record.GetJobAccepted(); accepted != nil {
				world.accepted = append(world.accepted, descriptor.JobID(accepted.Job))
			}
		}
		world.step(owner, signaler.Written{
			Token: action.Token,
		})
	}
}

// refuse drops a submission that is not written yet.
func (world *world) refuse() {
	owner := world.owner()
	for i, action := range owner.queue {
		if action.Droppable {
			owner.queue = append(owner.queue[:i:i], owner.queue[i+1:]...)
			world.step(owner, signaler.Refused{
				Token: action.Token,
			})
			return
		}
	}
}

func (world *world) machine(id descriptor.WorkerID) *machine {
	for _, machine := range world.workers {
		if machine.id == id {
			return machine
		}
	}
	return nil
}

// deliver settles the oldest message of an owner. Fault: 0 none, 1 lost on the way there, 2 lost on the
// way back, 3 not sent at all, 4 arrives after the delay.
func (world *world) deliver(owner *owner, fault int, delay time.Duration) {
	if len(owner.network) == 0 {
		return
	}
	sync := owner.network[0]
	owner.network = owner.network[1:]
	machine := world.machine(sync.Worker)
	if machine.cut || machine.hidden == owner {
		fault = max(fault, 1)
	}
	if machine.muted == owner {
		fault = 2
	}
	lost := signaler.Unanswered{
		Worker:         sync.Worker,
		MayHaveArrived: fault != 3,
	}
	switch fault {
	case 0, 2:
		reply, ok := world.handle(machine, sync.Request)
		switch {
		case fault == 2:
			world.step(owner, lost)
		case !ok:
			world.step(owner, signaler.Fenced{
				Worker: sync.Worker,
			})
		default:
			world.step(owner, signaler.Reported{
				Worker: sync.Worker,
				Sent:   sync.Sent,
				Reply:  reply,
			})
		}
		return
	case 4:
		world.late = append(world.late, message{
			worker: machine,
			sync:   sync,
			at:     world.now.Add(delay),
		})
	}
	world.step(owner, lost)
}

// arrive lets the late messages that are due by a time reach their workers.
func (world *world) arrive(due time.Time) {
	late := world.late
	world.late = nil
	for _, message := range late {
		if message.at.After(due) {
			world.late = append(world.late, message)
			continue
		}
		world.handle(message.worker, message.sync.Request)
	}
}

// handle is what a worker does with a message.
func (world *world) handle(machine *machine, request executor.SyncRequest) (executor.SyncReply, bool) {
	world.lapse(machine)
	if request.Epoch < machine.epoch {
		return executor.SyncReply{}, false
	}
	machine.epoch = request.Epoch
	ticket := func() string {
		return fmt.Sprintf("%d-%d", machine.incarnation, machine.ticket)
	}
	limit := cmp.Or(request.MaxAge, request.Lease)
	stale := request.Ticket != "" &&
		(request.Ticket != ticket() || limit > 0 && world.now.Sub(machine.ticketAt) > limit)
	if !stale {
		world.carryOut(machine, request)
	}
	machine.ticket++
	machine.ticketAt = world.now
	reply := executor.SyncReply{
		Worker:      machine.id,
		Incarnation: fmt.Sprint(machine.incarnation),
		Ticket:      ticket(),
		Stale:       stale,
		Partial:     request.Changes && !stale,
	}
	if !reply.Partial {
		reply.Capacity = capacity
	}
	told := machine.told
	machine.told = map[descriptor.RunID]int64{}
	for _, id := range sortedKeys(machine.running) {
		used := world.use(id)
		machine.told[id] = used.MemoryBytes
		if before, ok := told[id]; ok && reply.Partial && before == used.MemoryBytes {
			continue
		}
		reply.Running = append(reply.Running, executor.RunReport{
			Run:     id,
			Started: world.now,
			Usage: descriptor.Usage{
				Resources: used,
				At:        world.now,
			},
		})
	}
	for _, id := range sortedKeys(machine.finished) {
		reply.Finished = append(reply.Finished, machine.finished[id])
	}
	return reply, true
}

// use is far more memory than declared for every other task, so that two of them fill a worker.
func (world *world) use(id descriptor.RunID) descriptor.Resources {
	used := world.jobs[id.Job].Task
	if !world.honest && (len(world.jobs)+id.Task)%2 == 0 {
		used.MemoryBytes = capacity.MemoryBytes / 8 * 5
	}
	if memory, ok := world.uses[id.Job]; ok {
		used.MemoryBytes = memory
	}
	return used
}

func (world *world) carryOut(machine *machine, request executor.SyncRequest) {
	if expires := world.now.Add(request.Lease); request.Lease > 0 && expires.After(machine.expires) {
		machine.expires = expires
	}
	for _, id := range request.Acknowledge {
		if _, ok := machine.finished[id]; ok {
			delete(machine.finished, id)
			machine.forgotten[id] = true
		}
	}
	for _, id := range request.Stop {
		world.stop(machine, id)
	}
	for _, id := range request.Checkpoint {
		world.finish(machine, id, executor.OutcomeCheckpointed)
	}
	for _, start := range request.Start {
		world.start(machine, start)
	}
}

func (world *world) stop(machine *machine, id descriptor.RunID) {
	if _, ok := machine.running[id]; ok {
		world.finish(machine, id, executor.OutcomeStopped)
		return
	}
	if _, ok := machine.finished[id]; !ok && !machine.forgotten[id] {
		machine.finished[id] = executor.RunResult{
			Run:     id,
			Outcome: executor.OutcomeStopped,
			Ended:   world.now,
		}
	}
}

func (world *world) finish(machine *machine, id descriptor.RunID, outcome executor.Outcome) {
	if _, ok := machine.running[id]; !ok {
		return
	}
	delete(machine.running, id)
	machine.finished[id] = executor.RunResult{
		Run:        id,
		Outcome:    outcome,
		Started:    world.now,
		Ended:      world.now,
		Checkpoint: "saved",
	}
	if outcome == executor.OutcomeDone {
		world.done[taskName(id)]++
	}
}

func (world *world) lapse(machine *machine) {
	if world.now.Before(machine.expires) {
		return
	}
	for _, id := range sortedKeys(machine.running) {
		world.finish(machine, id, executor.OutcomeLeaseLapsed)
	}
}

func sortedKeys[V any](runs map[descriptor.RunID]V) []descriptor.RunID {
	return slices.SortedFunc(maps.Keys(runs), func(one, other descriptor.RunID) int {
		return strings.Compare(one.String(), other.String())
	})
}

func taskName(id descriptor.RunID) string {
	return fmt.Sprintf("%s/%d", id.Job, id.Task)
}

// start checks what must hold whenever a run starts.
func (world *world) start(machine *machine, start executor.Start) {
	_, running := machine.running[start.Run]
	_, finished := machine.finished[start.Run]
	if running || finished || machine.forgotten[start.Run] {
		return
	}
	name := taskName(start.Run)
	for _, other := range world.workers {
		world.lapse(other)
		for _, id := range sortedKeys(other.running) {
			if taskName(id) == name {
				world.t.Fatalf("%s starts on %s while %s runs on %s", start.Run, machine.id, id, other.id)
			}
		}
	}
	job, ok := world.jobs[start.Run.Job]
	if !ok {
		world.t.Fatalf("%s was never submitted", start.Run)
	}
	world.starts[name]++
	if world.starts[name] > 1 && !job.Idempotent && job.Kind != descriptor.KindService {
		world.t.Fatalf("%s runs twice", start.Run)
	}
	if world.told[name] == "NotRun" {
		world.t.Fatalf("%s starts although it was reported as not run", start.Run)
	}
	machine.running[start.Run] = start
	var total descriptor.Resources
	for _, one := range machine.running {
		total = total.Add(one.Task)
	}
	if !total.Fits(capacity) {
		world.t.Fatalf("worker %s holds %v", machine.id, total)
	}
}

// check compares what the newest owner tells with what happened.
func (world *world) check() {
	owner := world.owner()
	for _, id := range world.accepted {
		status, problem := owner.Status(id, true)
		if problem != nil {
			world.t.Fatalf("job %s was accepted and is gone: %v", id, problem)
		}
		world.follow(id, status.Fate)
		ran := 0
		for _, task := range status.Tasks {
			name := fmt.Sprintf("%s/%d", id, task.Task)
			world.told[name] = task.Fate.Fate
			ran += world.starts[name]
			switch {
			case task.Fate.Fate == "NotRun" && world.starts[name] > 0:
				world.t.Fatalf("task %s is reported as not run and ran", name)
			case task.Fate.Fate == "Failed" && world.done[name] > 0 && !status.Job.Idempotent && status.Job.Kind != descriptor.KindService:
				world.t.Fatalf("task %s is reported as failed and was done", name)
			case task.Fate.Fate == "Done" && world.done[name] == 0 && status.Job.Kind != descriptor.KindService:
				world.t.Fatalf("task %s is reported as done and was not", name)
			}
		}
		if status.Fate.Fate == "NotRun" && ran > 0 {
			world.t.Fatalf("job %s is reported as not run and ran", id)
		}
	}
}

// follow checks that a job is not pending again once it runs, and that Unknown only becomes final.
func (world *world) follow(id descriptor.JobID, fate descriptor.FateRecord) {
	last := world.fates[id]
	back := last == "Running" && fate.Fate == "Pending" ||
		last == "Unknown" && fate.Fate != "Unknown" && !fate.Final()
	if back {
		status, _ := world.owner().Status(id, true)
		world.t.Fatalf("job %s was %s and is %+v: %+v\n%s", id, last, fate, status.Tasks, trail(status))
	}
	world.fates[id] = fate.Fate
}
