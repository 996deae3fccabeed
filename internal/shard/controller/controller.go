// Package controller is the state machine of one shard: events and the time go in, actions come out.
// It does no I/O and reads no clock.
//
// Two views of the jobs are kept. The durable one holds exactly what the journal holds; callers are
// answered from it. The live one is ahead of it by the records that are being written.
package controller

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"pomelomoor/internal/shard/allocator"
	"pomelomoor/internal/shard/dispatcher"
	"pomelomoor/internal/shard/recorder"
	"pomelomoor/internal/shard/recordpb"
	"pomelomoor/internal/shard/registrar"
	"pomelomoor/internal/shard/signaler"
	"pomelomoor/internal/work/descriptor"
)

// retryWhenDown is when callers should ask again while the shard can't take work.
const retryWhenDown = 2 * time.Second

// cleanInterval is the time between two searches for jobs and keys to forget.
const cleanInterval = time.Minute

// Controller is the state machine of one shard in one term of its owner.
type Controller struct {
	shard     descriptor.ShardID
	epoch     uint64
	loaded    bool
	authority signaler.Authority

	outbox     signaler.Outbox
	durable    recorder.State
	dispatcher *dispatcher.Dispatcher

	// binding and accepting hold what is being written for the first time.
	binding   map[string]*bindWait
	accepting map[descriptor.JobID]*acceptWait
	cleaned   time.Time
}

// New returns the controller of a shard, which waits for Loaded.
func New(shard descriptor.ShardID) *Controller {
	controller := &Controller{
		shard:     shard,
		binding:   map[string]*bindWait{},
		accepting: map[descriptor.JobID]*acceptWait{},
	}
	controller.dispatcher = dispatcher.New(shard, &controller.outbox, &controller.durable)
	return controller
}

// Step changes the state by one event and returns what is to be done, in order.
func (controller *Controller) Step(now time.Time, event signaler.Event) []signaler.Action {
	controller.outbox.Begin()
	controller.handle(now, event)
	controller.dispatcher.Place(now)
	controller.outbox.Flush()
	controller.dispatcher.Sync(now)
	return controller.outbox.Actions()
}

func (controller *Controller) handle(now time.Time, event signaler.Event) {
	switch event := event.(type) {
	case signaler.Loaded:
		controller.load(now, event)
	case signaler.Bind:
		controller.bind(now, event)
	case signaler.Accept:
		controller.accept(now, event)
	case signaler.Cancel:
		controller.cancel(now, event)
	case signaler.Written:
		controller.written(now, event.Token)
	case signaler.Refused:
		if pending, ok := controller.outbox.Take(event.Token); ok && pending.Refused != nil {
			pending.Refused()
		}
	case signaler.Reported:
		controller.dispatcher.Reported(now, event)
	case signaler.Unanswered:
		controller.dispatcher.Unanswered(now, event)
	case signaler.Fenced:
		controller.halt(fmt.Sprintf("worker %s has accepted a higher epoch", event.Worker))
	case signaler.InstancesChanged:
		controller.dispatcher.SetInstances(now, event)
	case signaler.ConfigChanged:
		if event.Config != nil {
			controller.dispatcher.Configure(event.Config)
		}
	case signaler.UseElsewhere:
		controller.dispatcher.SetElsewhere(event.Teams)
	case signaler.AuthorityChanged:
		controller.authority = event.Authority
		controller.dispatcher.SetAuthority(event.Authority)
	case signaler.Tick:
		controller.dispatcher.Tick(now)
		controller.clean(now)
	}
}

func (controller *Controller) halt(reason string) {
	controller.outbox.Act(signaler.Halt{
		Reason: reason,
	})
}

// load begins a term with the durable state that the records build.
func (controller *Controller) load(now time.Time, event signaler.Loaded) {
	for _, record := range event.Records {
		if err := controller.durable.Apply(record); err != nil {
			controller.halt(err.Error())
			return
		}
	}
	controller.epoch, controller.loaded = event.Epoch, true
	controller.dispatcher.Revive(now, event.Epoch)
}

func (controller *Controller) written(now time.Time, token signaler.Token) {
	pending, ok := controller.outbox.Take(token)
	if !ok {
		return
	}
	for _, record := range pending.Records {
		if err := controller.durable.Apply(record); err != nil {
			controller.halt(err.Error())
			return
		}
	}
	for _, effect := range pending.Durable {
		effect(now)
	}
}

// Snapshot returns records that rebuild the durable state, with the sizes learned until now.
func (controller *Controller) Snapshot() []*recordpb.Record {
	controller.durable.SetLearned(controller.dispatcher.Estimates())
	return controller.durable.Records()
}

// Load returns the summary that other instances see.
func (controller *Controller) Load() allocator.Load {
	return controller.dispatcher.Load()
}

// Status returns what the caller of a job may know, with its trail if explain is set. Without full
// authority another owner may know more, so only a final fate is told then, which can't change.
func (controller *Controller) Status(id descriptor.JobID, explain bool) (descriptor.JobStatus, *descriptor.Problem) {
	if !controller.loaded || controller.authority == signaler.AuthorityNone {
		return descriptor.JobStatus{}, controller.unavailable()
	}
	status, ok := controller.status(id, explain)
	switch {
	case controller.authority != signaler.AuthorityAct && !status.Fate.Final():
		return descriptor.JobStatus{}, descriptor.NewProblem(descriptor.CodeUnavailable, retryWhenDown,
			"shard %s cannot tell at present whether its state is the latest", controller.shard)
	case !ok:
		return descriptor.JobStatus{}, descriptor.NewProblem(descriptor.CodeNotFound, 0, "job %s is not known", id)
	}
	return status, nil
}

func (controller *Controller) status(id descriptor.JobID, explain bool) (descriptor.JobStatus, bool) {
	durable, ok := controller.durable.Jobs[id]
	live := controller.dispatcher.Job(id)
	if !ok || live == nil {
		return descriptor.JobStatus{}, false
	}
	return live.Status(durable, explain), true
}

// unavailable is the problem of work that can't be taken now, or nil.
func (controller *Controller) unavailable() *descriptor.Problem {
	if controller.loaded && controller.authority == signaler.AuthorityAct {
		return nil
	}
	return descriptor.NewProblem(descriptor.CodeUnavailable, retryWhenDown,
		"shard %s cannot make work durable at present", controller.shard)
}

// clean forgets jobs and keys that are past their retention.
func (controller *Controller) clean(now time.Time) {
	if !controller.loaded || controller.authority != signaler.AuthorityAct || now.Sub(controller.cleaned) < cleanInterval {
		return
	}
	controller.cleaned = now
	for _, id := range slices.Sorted(maps.Keys(controller.durable.Jobs)) {
		durable := controller.durable.Jobs[id]
		if !durable.Ended() || now.Sub(durable.End.At) <= registrar.Retention {
			continue
		}
		controller.dispatcher.Forget(id)
		controller.outbox.Record(recorder.JobForgotten(id))
	}
	for _, id := range controller.durable.Keys.Expired(controller.shard, now) {
		controller.outbox.Record(recorder.JobForgotten(id))
	}
}
