// Package controller is the state machine of one shard: events and the time go in, actions come out.
// It does no I/O and reads no clock.
//
// Two views of the jobs are kept. The durable one holds exactly what the journal holds; callers are
// answered from it. The live one is ahead of it by the records that are being written. Nothing is
// started on a worker before its intent is durable, and a worker may forget a run only when its end is.
package controller

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/shard/allocator"
	"pomelomoor/internal/shard/recorder"
	"pomelomoor/internal/shard/recordpb"
	"pomelomoor/internal/shard/recoverer"
	"pomelomoor/internal/work/descriptor"
)

const (
	// retryWhenDown is when callers should ask again while the shard can't take work.
	retryWhenDown = 2 * time.Second
	// syncInterval is the time between two messages to a worker that has no commands.
	syncInterval = 2 * time.Second
)

// Controller is the state machine of one shard in one term of its owner.
type Controller struct {
	shard     descriptor.ShardID
	epoch     uint64
	loaded    bool
	authority Authority
	config    *parser.Compiled

	durable   recorder.State
	recoverer recoverer.Recoverer
	allocator allocator.Allocator
	jobs      map[descriptor.JobID]*job
	workers   map[descriptor.WorkerID]*worker
	listed    bool

	// binding and accepting hold what is being written for the first time.
	binding   map[string]*bindWait
	accepting map[descriptor.JobID]*acceptWait

	token   Token
	pending map[Token]pendingAppend
	// batch and effects are collected during one step.
	batch   []*recordpb.Record
	effects []func(now time.Time)
	actions []Action
	// crowd is set when something changed that may let waiting work start.
	crowd bool
	// woken lists workers that may be due for a message.
	woken   []*worker
	swept   time.Time
	cleaned time.Time
}

// pendingAppend is written but not known to be durable.
type pendingAppend struct {
	records []*recordpb.Record
	// durable runs when the records are durable, and refused when they never will be.
	durable []func(now time.Time)
	refused func()
}

// New returns the controller of a shard, which waits for Loaded.
func New(shard descriptor.ShardID) *Controller {
	return &Controller{
		shard:     shard,
		config:    &parser.Compiled{},
		jobs:      map[descriptor.JobID]*job{},
		workers:   map[descriptor.WorkerID]*worker{},
		binding:   map[string]*bindWait{},
		accepting: map[descriptor.JobID]*acceptWait{},
		pending:   map[Token]pendingAppend{},
	}
}

// Step changes the state by one event and returns what is to be done, in order.
func (controller *Controller) Step(now time.Time, event Event) []Action {
	controller.actions = nil
	controller.handle(now, event)
	if controller.crowd && controller.loaded && controller.authority == AuthorityAct {
		controller.crowd = false
		controller.place(now)
	}
	controller.flush()
	if controller.loaded {
		controller.syncWorkers(now)
	}
	return controller.actions
}

func (controller *Controller) handle(now time.Time, event Event) {
	switch event := event.(type) {
	case Loaded:
		controller.load(now, event)
	case Bind:
		controller.bind(now, event)
	case Accept:
		controller.accept(now, event)
	case Cancel:
		controller.cancel(now, event)
	case Written:
		controller.written(now, event.Token)
	case Refused:
		controller.refused(event.Token)
	case Reported:
		controller.reported(now, event)
	case Unanswered:
		controller.unanswered(now, event)
	case Fenced:
		controller.act(Halt{
			Reason: fmt.Sprintf("worker %s has accepted a higher epoch", event.Worker),
		})
	case InstancesChanged:
		controller.setInstances(now, event)
	case ConfigChanged:
		controller.configure(event.Config)
	case AuthorityChanged:
		controller.authority = event.Authority
		controller.crowd = true
	case Tick:
		controller.tick(now)
	}
}

func (controller *Controller) act(action Action) {
	controller.actions = append(controller.actions, action)
}

// record adds a record to those of this step. The effects run when it is durable.
func (controller *Controller) record(record *recordpb.Record, effects ...func(now time.Time)) {
	controller.batch = append(controller.batch, record)
	controller.effects = append(controller.effects, effects...)
}

func (controller *Controller) flush() {
	if len(controller.batch) == 0 {
		return
	}
	controller.append(false, pendingAppend{
		records: controller.batch,
		durable: controller.effects,
	})
	controller.batch, controller.effects = nil, nil
}

func (controller *Controller) append(droppable bool, pending pendingAppend) {
	controller.token++
	controller.pending[controller.token] = pending
	controller.act(Append{
		Token:     controller.token,
		Records:   pending.records,
		Droppable: droppable,
	})
}

func (controller *Controller) written(now time.Time, token Token) {
	pending, ok := controller.pending[token]
	if !ok {
		return
	}
	delete(controller.pending, token)
	for _, record := range pending.records {
		if err := controller.durable.Apply(record); err != nil {
			controller.act(Halt{
				Reason: err.Error(),
			})
			return
		}
	}
	for _, effect := range pending.durable {
		effect(now)
	}
}

func (controller *Controller) refused(token Token) {
	pending, ok := controller.pending[token]
	if !ok || pending.refused == nil {
		return
	}
	delete(controller.pending, token)
	pending.refused()
}

// Snapshot returns records that rebuild the durable state.
func (controller *Controller) Snapshot() []*recordpb.Record {
	return controller.durable.Records()
}

// Load returns the summary that other instances see.
func (controller *Controller) Load() allocator.Load {
	return controller.allocator.Load()
}

// Epoch returns the epoch of the term.
func (controller *Controller) Epoch() uint64 {
	return controller.epoch
}

func (controller *Controller) configure(config *parser.Compiled) {
	if config == nil {
		return
	}
	controller.allocator.Configure(controller.config, config)
	controller.config = config
	for _, id := range slices.Sorted(maps.Keys(controller.jobs)) {
		controller.treat(controller.jobs[id])
	}
	controller.crowd = true
}

// unavailable is the problem of work that can't be taken now, or nil.
func (controller *Controller) unavailable() *descriptor.Problem {
	if controller.loaded && controller.authority == AuthorityAct {
		return nil
	}
	return descriptor.NewProblem(descriptor.CodeUnavailable, retryWhenDown,
		"shard %s cannot make work durable at present", controller.shard)
}
