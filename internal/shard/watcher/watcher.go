// Package watcher holds what the owner of a shard knows of a worker, and composes the messages to it.
package watcher

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"pomelomoor/internal/gateway/executor"
	"pomelomoor/internal/gateway/lister"
	"pomelomoor/internal/shard/allocator"
	"pomelomoor/internal/shard/arbiter"
	"pomelomoor/internal/work/descriptor"
)

// Worker is what the owner knows of a worker in this term.
type Worker struct {
	ID      descriptor.WorkerID
	Address netip.AddrPort
	Listed  bool
	Leaving bool
	// Reported tells that the worker accepted the epoch; Incarnation and Ticket are its latest.
	Reported    bool
	Incarnation string
	Ticket      string
	Description allocator.Worker
	// Changes tells that the message in flight asks for changes only, and WholeAt when the latest whole
	// report was asked for.
	Changes bool
	WholeAt time.Time
	// Suspect tells that the latest message got no answer. Its lease is not renewed any more.
	Suspect  bool
	InFlight bool
	Asked    time.Time
	// Expected is when a run on the worker should have ended; zero if that is not known.
	Expected time.Time
	// Questions is how many messages may still be sent only to ask for the end of a run.
	Questions int
	// Question tells that the latest message was such a one.
	Question bool
	// Urgent asks for a message before the interval is over.
	Urgent bool
	Runs   map[descriptor.RunID]*arbiter.Run
	// Ends holds the runs whose end is recorded, and whether the record is durable.
	Ends map[descriptor.RunID]bool
	// Foreign lists runs on the worker that must not be there.
	Foreign map[descriptor.RunID]struct{}
}

// New returns a worker of which nothing is known yet.
func New(id descriptor.WorkerID) *Worker {
	return &Worker{
		ID:   id,
		Runs: map[descriptor.RunID]*arbiter.Run{},
		Ends: map[descriptor.RunID]bool{},
	}
}

// Describe returns the worker as the allocator sees it.
func (worker *Worker) Describe() allocator.Worker {
	description := worker.Description
	description.Closed = description.Closed || worker.Leaving || !worker.Listed || worker.Suspect || len(worker.Foreign) > 0
	return description
}

// Outdated returns the runs that were intended for an earlier incarnation and never sent.
func (worker *Worker) Outdated() []*arbiter.Run {
	var outdated []*arbiter.Run
	for _, run := range worker.SortedRuns() {
		if run.Phase == arbiter.PhaseReady && run.Incarnation != worker.Incarnation {
			outdated = append(outdated, run)
		}
	}
	return outdated
}

// wholeInterval is the time between two whole reports. It bounds the time for which an error in a
// worker's bookkeeping of its changes lasts.
const wholeInterval = time.Minute

// Ask decides whether the report on a message may leave out what has not changed.
func (worker *Worker) Ask(now time.Time, request *executor.SyncRequest) {
	worker.Changes = worker.Reported && !worker.Suspect && len(worker.Foreign) == 0 && now.Sub(worker.WholeAt) < wholeInterval
	request.Changes = worker.Changes
	if !worker.Changes {
		worker.WholeAt = now
	}
}

// Understands reports whether a partial report is one of changes to what is known of the worker.
func (worker *Worker) Understands(reply executor.SyncReply) bool {
	return !reply.Partial || worker.Changes && worker.Incarnation == reply.Incarnation
}

// Command adds all commands for the worker to a message.
func (worker *Worker) Command(now time.Time, request *executor.SyncRequest) {
	for _, run := range worker.SortedRuns() {
		switch {
		case run.Phase == arbiter.PhaseReady:
			run.Phase, run.Sent = arbiter.PhaseSent, now
			request.Start = append(request.Start, startOf(run))
		case run.Stop && run.Phase != arbiter.PhaseIntending:
			request.Stop = append(request.Stop, run.ID)
		case run.Checkpoint && run.Phase == arbiter.PhaseRunning:
			request.Checkpoint = append(request.Checkpoint, run.ID)
		case !run.Throttled.IsZero() && run.Phase == arbiter.PhaseRunning:
			request.Throttle = append(request.Throttle, run.ID)
		}
	}
	for id, durable := range worker.Ends {
		if durable {
			request.Acknowledge = append(request.Acknowledge, id)
		}
	}
	slices.SortFunc(request.Acknowledge, CompareRuns)
	for id := range worker.Foreign {
		request.Stop = append(request.Stop, id)
	}
	slices.SortFunc(request.Stop, CompareRuns)
}

func startOf(run *arbiter.Run) executor.Start {
	description := run.Job.Description()
	return executor.Start{
		Run:        run.ID,
		Task:       description.Task,
		Kind:       description.Kind,
		Payload:    description.Payload,
		Checkpoint: run.Task().Checkpoint,
	}
}

// Forgot drops the ended runs that the worker does not report any more.
func (worker *Worker) Forgot(seen map[descriptor.RunID]struct{}) {
	for id, durable := range worker.Ends {
		if _, ok := seen[id]; !ok && durable {
			delete(worker.Ends, id)
		}
	}
}

// SortedRuns returns the runs in a fixed order.
func (worker *Worker) SortedRuns() []*arbiter.Run {
	sorted := make([]*arbiter.Run, 0, len(worker.Runs))
	for _, id := range slices.SortedFunc(maps.Keys(worker.Runs), CompareRuns) {
		sorted = append(sorted, worker.Runs[id])
	}
	return sorted
}

// CompareRuns orders run IDs.
func CompareRuns(one, other descriptor.RunID) int {
	return cmp.Or(
		cmp.Compare(one.Job, other.Job),
		cmp.Compare(one.Task, other.Task),
		cmp.Compare(one.Attempt, other.Attempt),
	)
}

// OfSite returns a test for the workers of a shard named SITE-INDEX that is the only one of its site.
func OfSite(shard descriptor.ShardID) func(lister.Instance) bool {
	return func(instance lister.Instance) bool {
		index, ok := strings.CutPrefix(string(shard), instance.Place.Site+"-")
		return ok && !strings.Contains(index, "-")
	}
}
