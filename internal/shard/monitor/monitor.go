// Package monitor tracks the state of each worker as the shard's owner knows it, and builds the messages to
// the worker.
package monitor

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

// Worker is the state of a worker as the owner knows it in the current term.
type Worker struct {
	ID      descriptor.WorkerID
	Address netip.AddrPort
	Listed  bool
	Leaving bool
	// Reported is set once the worker has accepted the epoch. Incarnation and ReportToken come from its latest
	// report. The worker issues a new token with each report, called Ticket there, and the next message
	// returns it to show that it was sent after that report. It is unrelated to the tickets of the advice
	// service, which permit a worker to run a step.
	Reported    bool
	Incarnation string
	ReportToken string
	Description allocator.Worker
	// PartialRequested is set if the latest message asks for changes only. FullRequestedAt is when a full
	// report was last requested.
	PartialRequested bool
	FullRequestedAt  time.Time
	// Unresponsive is set while the latest message is known to have got no report, or one that can't be
	// applied. The worker's task lease is not renewed until it reports again.
	Unresponsive bool
	// InFlight is set while a message awaits its report. LastSent is when the latest message was sent.
	InFlight bool
	LastSent time.Time
	// NextEndPoll is when the next end poll of the worker is due: the earliest NextEndPoll of its runs.
	// It is zero if none is scheduled.
	NextEndPoll time.Time
	// EndPollsLeft is the number of end polls that may still be sent to the worker, for all of its runs.
	EndPollsLeft int
	// EndPollInFlight is set if the latest message is an end poll.
	EndPollInFlight bool
	// SyncDue requests a message before SyncInterval has passed.
	SyncDue bool
	Runs    map[descriptor.RunID]*arbiter.Run
	// EndedRuns holds the ended runs that the worker may still report. The value is true once the record of
	// the end is durable, so that the worker may forget the run.
	EndedRuns map[descriptor.RunID]bool
	// UnexpectedRuns holds runs reported by the worker that don't belong there. They are to be stopped.
	UnexpectedRuns map[descriptor.RunID]struct{}
}

// New returns a worker that has not reported yet.
func New(id descriptor.WorkerID) *Worker {
	return &Worker{
		ID:        id,
		Runs:      map[descriptor.RunID]*arbiter.Run{},
		EndedRuns: map[descriptor.RunID]bool{},
	}
}

// Describe returns the description of the worker for the allocator. It is closed for new tasks unless the
// worker is listed, responsive, not leaving and free of unexpected runs.
func (worker *Worker) Describe() allocator.Worker {
	description := worker.Description
	description.Closed = description.Closed || worker.Leaving || !worker.Listed || worker.Unresponsive || len(worker.UnexpectedRuns) > 0
	return description
}

// UnsentRunsOfEarlierIncarnations returns the runs that were placed on an earlier incarnation of the
// worker and whose start was never sent.
func (worker *Worker) UnsentRunsOfEarlierIncarnations() []*arbiter.Run {
	var outdated []*arbiter.Run
	for _, run := range worker.SortedRuns() {
		if run.Phase == arbiter.PhaseReady && run.Incarnation != worker.Incarnation {
			outdated = append(outdated, run)
		}
	}
	return outdated
}

// fullReportInterval is the time between two full reports. It limits how long an error in a worker's
// tracking of its changes can last.
const fullReportInterval = time.Minute

// SetReportKind sets whether the report on a message may leave out what has not changed.
func (worker *Worker) SetReportKind(now time.Time, request *executor.SyncRequest) {
	worker.PartialRequested = worker.Reported && !worker.Unresponsive && len(worker.UnexpectedRuns) == 0 && now.Sub(worker.FullRequestedAt) < fullReportInterval
	request.Changes = worker.PartialRequested
	if !worker.PartialRequested {
		worker.FullRequestedAt = now
	}
}

// CanApply reports whether a report can be applied. A partial report must have been requested and come from
// the known incarnation of the worker.
func (worker *Worker) CanApply(report executor.SyncReply) bool {
	return !report.Partial || worker.PartialRequested && worker.Incarnation == report.Incarnation
}

// AddCommands adds all outstanding commands for the worker to a message.
func (worker *Worker) AddCommands(now time.Time, request *executor.SyncRequest) {
	for _, run := range worker.SortedRuns() {
		switch {
		case run.Phase == arbiter.PhaseReady:
			run.Phase, run.Sent = arbiter.PhaseSent, now
			request.Start = append(request.Start, startCommand(run))
		case run.Stop && run.Phase != arbiter.PhaseIntentPending:
			request.Stop = append(request.Stop, run.ID)
		case run.Checkpoint && run.Phase == arbiter.PhaseRunning:
			request.Checkpoint = append(request.Checkpoint, run.ID)
		case !run.Throttled.IsZero() && run.Phase == arbiter.PhaseRunning:
			request.Throttle = append(request.Throttle, run.ID)
		}
	}
	for id, durable := range worker.EndedRuns {
		if durable {
			request.Acknowledge = append(request.Acknowledge, id)
		}
	}
	slices.SortFunc(request.Acknowledge, CompareRuns)
	for id := range worker.UnexpectedRuns {
		request.Stop = append(request.Stop, id)
	}
	slices.SortFunc(request.Stop, CompareRuns)
}

// startCommand returns the command that starts a run.
func startCommand(run *arbiter.Run) executor.Start {
	description := run.Job.Description()
	return executor.Start{
		Run:        run.ID,
		Task:       description.Task,
		Kind:       description.Kind,
		Payload:    description.Payload,
		Checkpoint: run.Task().Checkpoint,
	}
}

// RemoveAcknowledged removes the durably ended runs that the worker no longer reports.
func (worker *Worker) RemoveAcknowledged(reported map[descriptor.RunID]struct{}) {
	for id, durable := range worker.EndedRuns {
		if _, ok := reported[id]; !ok && durable {
			delete(worker.EndedRuns, id)
		}
	}
}

// SortedRuns returns the runs in the order of CompareRuns.
func (worker *Worker) SortedRuns() []*arbiter.Run {
	sorted := make([]*arbiter.Run, 0, len(worker.Runs))
	for _, id := range slices.SortedFunc(maps.Keys(worker.Runs), CompareRuns) {
		sorted = append(sorted, worker.Runs[id])
	}
	return sorted
}

// CompareRuns orders run IDs by job, task and attempt.
func CompareRuns(a, b descriptor.RunID) int {
	return cmp.Or(
		cmp.Compare(a.Job, b.Job),
		cmp.Compare(a.Task, b.Task),
		cmp.Compare(a.Attempt, b.Attempt),
	)
}

// SiteMatcher returns a predicate that selects the workers at the shard's site. The shard is named
// SITE-INDEX and must be the only one of its site.
func SiteMatcher(shard descriptor.ShardID) func(lister.Instance) bool {
	return func(instance lister.Instance) bool {
		index, ok := strings.CutPrefix(string(shard), instance.Place.Site+"-")
		return ok && !strings.Contains(index, "-")
	}
}
