// Package executor is the adapter of the platform's workers, which run tasks under leases.
// No other package knows their protocol.
package executor

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/work/descriptor"
)

// Errors of a worker.
var (
	// ErrFenced means that the worker has accepted a higher epoch. The call had no effect.
	ErrFenced = errors.New("worker: fenced by a higher epoch")
	// ErrUnreachable means that the call had no effect.
	ErrUnreachable = errors.New("worker: unreachable")
	// ErrUncertain means that the call may or may not have taken effect.
	ErrUncertain = errors.New("worker: outcome uncertain")
)

// Executor commands workers.
type Executor interface {
	// Sync renews the leases of the shard's tasks on the worker, carries out the commands
	// and returns the worker's report.
	Sync(ctx context.Context, worker netip.AddrPort, request SyncRequest) (SyncReply, error)
}

// SyncRequest is one message to a worker.
type SyncRequest struct {
	Shard descriptor.ShardID
	// Epoch is the sender's ownership epoch. The worker refuses a lower one than it has seen for the shard.
	Epoch uint64
	// Ticket is that of the shard's latest reply from the worker. When it is not the latest any more, or is
	// too old, the worker carries out nothing, so that a message which arrives late starts no run and
	// renews no lease.
	// Empty means that the order is not checked.
	Ticket string `json:",omitempty"`
	// MaxAge is the age from which the ticket is too old; with 0 that is a Lease above 0. The age bounds
	// the time that the message was on its way, because its sender had the ticket before.
	MaxAge time.Duration `json:",omitempty"`
	// Changes asks for what changed since the reply with the ticket, instead of the whole report. Reports of
	// unchanged runs are nearly all of the traffic between an owner and its workers.
	Changes bool `json:",omitempty"`
	// Lease is how long the shard's tasks may run after this message without another one.
	// It never shortens a lease, so that 0 asks for the report only.
	Lease time.Duration `json:",omitempty"`
	// Start lists runs to start. A run that the worker already knows is not started again.
	Start []Start `json:",omitempty"`
	// Stop lists runs to end. A stopped run is reported as finished with OutcomeStopped.
	Stop []descriptor.RunID `json:",omitempty"`
	// Checkpoint lists runs to save and end; they are reported with OutcomeCheckpointed.
	Checkpoint []descriptor.RunID `json:",omitempty"`
	// Throttle lists runs to slow down to their declared size.
	Throttle []descriptor.RunID `json:",omitempty"`
	// Acknowledge lists finished runs that the worker may forget.
	Acknowledge []descriptor.RunID `json:",omitempty"`
}

// Start asks a worker to start a run.
type Start struct {
	Run     descriptor.RunID
	Task    descriptor.Resources
	Kind    descriptor.Kind
	Payload string
	// Checkpoint names the saved state to start from; empty means from the beginning.
	Checkpoint string
}

// Outcome tells how a run ended.
type Outcome string

// The outcomes of a run.
const (
	OutcomeDone         Outcome = "Done"
	OutcomeFailed       Outcome = "Failed"
	OutcomeStopped      Outcome = "Stopped"
	OutcomeCheckpointed Outcome = "Checkpointed"
	// OutcomeLeaseLapsed means that the worker ended the run because no renewal came.
	OutcomeLeaseLapsed Outcome = "LeaseLapsed"
	// OutcomeRefused means that the run was never started, for instance for lack of room.
	OutcomeRefused Outcome = "Refused"
)

// SyncReply is a worker's report.
type SyncReply struct {
	Worker descriptor.WorkerID
	// Incarnation changes whenever the worker lost its state.
	Incarnation string
	// Ticket is what the shard's next message carries.
	Ticket string
	// Stale means that the commands were not carried out because of the message's ticket.
	Stale bool `json:",omitempty"`
	// Partial means that Place, Labels and Capacity are left out, because they are as in the reply with the
	// request's ticket, and so are the runs that were in that reply with the same usage. Of the runs that are
	// left out, none has ended. A reply is partial only if Changes asked for it.
	Partial  bool                 `json:",omitempty"`
	Place    descriptor.Place     `json:",omitzero"`
	Labels   descriptor.Labels    `json:",omitempty"`
	Capacity descriptor.Resources `json:",omitzero"`
	// Leaving means that the worker takes no new runs.
	Leaving bool `json:",omitempty"`
	// Running lists the shard's runs on the worker.
	Running []RunReport `json:",omitempty"`
	// Finished lists ended runs that have not been acknowledged.
	Finished []RunResult `json:",omitempty"`
}

// RunReport describes a run in progress.
type RunReport struct {
	Run     descriptor.RunID
	Started time.Time
	// Usage lags behind.
	Usage descriptor.Usage
}

// RunResult describes an ended run.
type RunResult struct {
	Run     descriptor.RunID
	Outcome Outcome
	Started time.Time
	Ended   time.Time
	// Peak is the largest measured use.
	Peak descriptor.Resources
	// Checkpoint names the saved state of OutcomeCheckpointed.
	Checkpoint string
	Reason     string
}
