// Package controller implements the state machine of one shard. It consumes events with the current time
// and returns actions. It does no I/O and reads no clock.
//
// It keeps two views of the jobs. The durable view holds exactly what the journal holds, and callers are
// answered from it. The live view also includes the records that are still being written.
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

// unavailableRetryAfter is the time after which callers should retry while the shard is unavailable.
const unavailableRetryAfter = 2 * time.Second

// cleanupInterval is the time between two searches for expired jobs and keys.
const cleanupInterval = time.Minute

// Controller is the state machine of one shard during one term of its owner.
type Controller struct {
	shard     descriptor.ShardID
	epoch     uint64
	loaded    bool
	authority signaler.Authority

	outbox     signaler.Outbox
	durable    recorder.State
	dispatcher *dispatcher.Dispatcher

	// pendingBinds and pendingAccepts hold the bindings and jobs whose first record is being written.
	pendingBinds   map[string]*pendingBind
	pendingAccepts map[descriptor.JobID]*pendingAccept
	lastCleanup    time.Time
}

// New returns the controller of a shard. It is unavailable until it receives signaler.Loaded.
func New(shard descriptor.ShardID) *Controller {
	controller := &Controller{
		shard:          shard,
		pendingBinds:   map[string]*pendingBind{},
		pendingAccepts: map[descriptor.JobID]*pendingAccept{},
	}
	controller.dispatcher = dispatcher.New(shard, &controller.outbox, &controller.durable)
	return controller
}

// Step applies one event to the state and returns the resulting actions, in the order in which they must
// be carried out.
func (controller *Controller) Step(now time.Time, event signaler.Event) []signaler.Action {
	controller.outbox.Begin()
	controller.handle(now, event)
	controller.dispatcher.Schedule(now)
	controller.outbox.Flush()
	controller.dispatcher.Sync(now)
	return controller.outbox.Actions()
}

func (controller *Controller) handle(now time.Time, event signaler.Event) {
	switch event := event.(type) {
	case signaler.Loaded:
		controller.restore(now, event)
	case signaler.Bind:
		controller.bind(now, event)
	case signaler.Accept:
		controller.accept(now, event)
	case signaler.Cancel:
		controller.cancel(now, event)
	case signaler.Written:
		controller.applyWritten(now, event.Token)
	case signaler.Refused:
		if pending, ok := controller.outbox.RemovePending(event.Token); ok && pending.OnRefused != nil {
			pending.OnRefused()
		}
	case signaler.Reported:
		controller.dispatcher.HandleReport(now, event)
	case signaler.NoReport:
		controller.dispatcher.HandleNoReport(now, event)
	case signaler.Fenced:
		controller.halt(fmt.Sprintf("worker %s has accepted a higher epoch", event.Worker))
	case signaler.ListedWorkersChanged:
		controller.dispatcher.SetListedWorkers(now, event)
	case signaler.ConfigChanged:
		if event.Config != nil {
			controller.dispatcher.Configure(event.Config)
		}
	case signaler.OtherShardsUsage:
		controller.dispatcher.SetOtherShardsUsage(event.Teams)
	case signaler.AuthorityChanged:
		controller.authority = event.Authority
		controller.dispatcher.SetAuthority(event.Authority)
	case signaler.Tick:
		controller.dispatcher.Tick(now)
		controller.cleanUp(now)
	}
}

// halt ends the owner's term.
func (controller *Controller) halt(reason string) {
	controller.outbox.Add(signaler.Halt{
		Reason: reason,
	})
}

// restore rebuilds the durable state from the records of the journal and begins the term.
func (controller *Controller) restore(now time.Time, event signaler.Loaded) {
	for _, record := range event.Records {
		if err := controller.durable.Apply(record); err != nil {
			controller.halt(err.Error())
			return
		}
	}
	controller.epoch, controller.loaded = event.Epoch, true
	controller.dispatcher.Restore(now, event.Epoch)
}

// applyWritten adds the records of an append that has become durable to the durable state and runs the
// effects that waited for them.
func (controller *Controller) applyWritten(now time.Time, token signaler.Token) {
	pending, ok := controller.outbox.RemovePending(token)
	if !ok {
		return
	}
	for _, record := range pending.Records {
		if err := controller.durable.Apply(record); err != nil {
			controller.halt(err.Error())
			return
		}
	}
	for _, effect := range pending.OnDurable {
		effect(now)
	}
}

// Snapshot returns records that rebuild the durable state, including the current size estimates.
func (controller *Controller) Snapshot() []*recordpb.Record {
	controller.durable.SetLearned(controller.dispatcher.Estimates())
	return controller.durable.Records()
}

// LoadSummary returns the summary of the shard's load that is published to other instances.
func (controller *Controller) LoadSummary() allocator.LoadSummary {
	return controller.dispatcher.LoadSummary()
}

// Status returns what callers may see of a job, with its trail of decisions if explain is set. Without
// full authority another owner may have recorded later changes, so only a final fate, which can't change,
// is returned then.
func (controller *Controller) Status(id descriptor.JobID, explain bool) (descriptor.JobStatus, *descriptor.Problem) {
	if !controller.loaded || controller.authority == signaler.AuthorityNone {
		return descriptor.JobStatus{}, controller.checkAvailable()
	}
	status, ok := controller.jobStatus(id, explain)
	switch {
	case controller.authority != signaler.AuthorityFull && !status.Fate.Final():
		return descriptor.JobStatus{}, descriptor.NewProblem(descriptor.CodeUnavailable, unavailableRetryAfter,
			"shard %s cannot confirm at present that its state is current", controller.shard)
	case !ok:
		return descriptor.JobStatus{}, descriptor.NewProblem(descriptor.CodeNotFound, 0, "job %s not found", id)
	}
	return status, nil
}

// jobStatus is Status without the check of the owner's authority. It returns false if the job does not
// exist.
func (controller *Controller) jobStatus(id descriptor.JobID, explain bool) (descriptor.JobStatus, bool) {
	durable, ok := controller.durable.Jobs[id]
	live := controller.dispatcher.Job(id)
	if !ok || live == nil {
		return descriptor.JobStatus{}, false
	}
	return live.Status(durable, explain), true
}

// checkAvailable returns nil if the shard has been loaded and its owner may act. Otherwise it returns the
// problem to answer with.
func (controller *Controller) checkAvailable() *descriptor.Problem {
	if controller.loaded && controller.authority == signaler.AuthorityFull {
		return nil
	}
	return descriptor.NewProblem(descriptor.CodeUnavailable, unavailableRetryAfter,
		"shard %s cannot make changes durable at present", controller.shard)
}

// cleanUp forgets ended jobs, and keys of jobs in other shards, that are past their retention.
func (controller *Controller) cleanUp(now time.Time) {
	if !controller.loaded || controller.authority != signaler.AuthorityFull || now.Sub(controller.lastCleanup) < cleanupInterval {
		return
	}
	controller.lastCleanup = now
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
