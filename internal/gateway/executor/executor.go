// Package executor is the client of the platform's workers, which run tasks under leases.
// Their protocol is defined in this package only.
package executor

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/work/descriptor"
)

// Errors of Sync.
var (
	// ErrFenced means that the worker has accepted a higher epoch. The call had no effect.
	ErrFenced = errors.New("worker: fenced by a higher epoch")
	// ErrUnreachable means that the call had no effect.
	ErrUnreachable = errors.New("worker: unreachable")
	// ErrUncertain means that the call may or may not have had an effect.
	ErrUncertain = errors.New("worker: outcome uncertain")
)

// Executor sends commands to workers.
type Executor interface {
	// Sync renews the lease of the shard's runs on the worker, has the worker carry out the commands
	// in request and returns its report.
	Sync(ctx context.Context, worker netip.AddrPort, request SyncRequest) (SyncReply, error)
}

// SyncRequest is a message from the owner of a shard to a worker.
type SyncRequest struct {
	Shard descriptor.ShardID
	// Epoch is the sender's ownership epoch. The worker rejects an epoch lower than the highest that it has seen
	// for the shard.
	Epoch uint64
	// Ticket identifies the worker's reply that the request is based on, which is the latest one that the sender has.
	// If the worker has since issued another or the ticket is too old, the worker ignores the commands and the
	// lease, so that a delayed message starts no run and renews no lease. If Ticket is empty, the worker skips this
	// check.
	Ticket string `json:",omitempty"`
	// MaxAge is the maximum age of the ticket. 0 means Lease; if that is 0 too, the age is not limited. The
	// maximum age also limits the time in transit, because the sender had the ticket before it sent the message.
	MaxAge time.Duration `json:",omitempty"`
	// Changes requests only what has changed since the reply with the ticket instead of a full report. Without
	// it, nearly all of the traffic between an owner and its workers is reports of unchanged runs.
	Changes bool `json:",omitempty"`
	// Lease is how long the shard's runs may continue after this message without another renewal.
	// A lease is never shortened, so that a message with 0 can request a report without changing the lease.
	Lease time.Duration `json:",omitempty"`
	// Start lists runs to start. The worker ignores runs that it already knows.
	Start []Start `json:",omitempty"`
	// Stop lists runs to stop. The worker reports them as finished with OutcomeStopped.
	Stop []descriptor.RunID `json:",omitempty"`
	// Checkpoint lists runs to checkpoint and stop. The worker reports them with OutcomeCheckpointed.
	Checkpoint []descriptor.RunID `json:",omitempty"`
	// Throttle lists runs to limit to their declared resources.
	Throttle []descriptor.RunID `json:",omitempty"`
	// Acknowledge lists finished runs that the worker may stop reporting.
	Acknowledge []descriptor.RunID `json:",omitempty"`
}

// Start is a command to start a run.
type Start struct {
	Run     descriptor.RunID
	Task    descriptor.Resources
	Kind    descriptor.Kind
	Payload string
	// Checkpoint identifies the checkpoint to resume from; empty means to start from the beginning.
	Checkpoint string
}

// Outcome is the way in which a run ended.
type Outcome string

// The outcomes of a run.
const (
	OutcomeDone         Outcome = "Done"
	OutcomeFailed       Outcome = "Failed"
	OutcomeStopped      Outcome = "Stopped"
	OutcomeCheckpointed Outcome = "Checkpointed"
	// OutcomeLeaseLapsed means that the worker stopped the run because the lease was not renewed in time.
	OutcomeLeaseLapsed Outcome = "LeaseLapsed"
	// OutcomeRefused means that the run was never started, for example for lack of free capacity.
	OutcomeRefused Outcome = "Refused"
)

// SyncReply is a worker's report.
type SyncReply struct {
	Worker descriptor.WorkerID
	// Incarnation changes whenever the worker loses its state, such as at a restart.
	Incarnation string
	// Ticket identifies this reply. The shard's next message carries it.
	Ticket string
	// Stale means that the worker ignored the commands and the lease because the request's ticket was outdated.
	Stale bool `json:",omitempty"`
	// Partial means that the reply omits Place, Labels and Capacity, which are the same as in the reply with the
	// request's ticket, and the runs that were in that reply with the same usage. None of the omitted runs has
	// ended. A reply is partial only if the request set Changes.
	Partial  bool                 `json:",omitempty"`
	Place    descriptor.Place     `json:",omitzero"`
	Labels   descriptor.Labels    `json:",omitempty"`
	Capacity descriptor.Resources `json:",omitzero"`
	// Leaving means that the worker accepts no new runs.
	Leaving bool `json:",omitempty"`
	// Running lists the shard's runs on the worker.
	Running []RunReport `json:",omitempty"`
	// Finished lists the shard's ended runs that have not been acknowledged.
	Finished []RunResult `json:",omitempty"`
}

// RunReport is the state of a run in progress.
type RunReport struct {
	Run     descriptor.RunID
	Started time.Time
	// Usage is the latest measurement, which is older than the report.
	Usage descriptor.Usage
}

// RunResult is the result of an ended run.
type RunResult struct {
	Run     descriptor.RunID
	Outcome Outcome
	Started time.Time
	Ended   time.Time
	// Peak is the highest measured resource usage.
	Peak descriptor.Resources
	// Checkpoint identifies the checkpoint that was written with OutcomeCheckpointed.
	Checkpoint string
	Reason     string
}
