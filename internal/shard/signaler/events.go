// Package signaler holds the events and actions of a shard's state machine, and the outbox that
// collects actions and runs effects when their records are durable.
package signaler

import (
	"net/netip"
	"time"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/gateway/executor"
	"pomelomoor/internal/gateway/lister"
	"pomelomoor/internal/shard/recordpb"
	"pomelomoor/internal/work/descriptor"
)

// Authority is what the instance's store lease allows the owner to do.
type Authority int

const (
	// AuthorityNone means that nothing may be done.
	AuthorityNone Authority = iota
	// AuthorityRenew means that the leases of running tasks may be renewed and nothing else.
	AuthorityRenew
	// AuthorityAct means that the lease's deadline is still ahead.
	AuthorityAct
)

// Token names an Append action. Tokens grow.
type Token uint64

// Request names a waiting caller. The driver chooses it.
type Request uint64

// Event is what happens to a shard. It is one of the types in this file.
type Event interface {
	isEvent()
}

// Loaded begins a term with the records of the journal.
type Loaded struct {
	Epoch   uint64
	Records []*recordpb.Record
}

// Bind asks for the job of an idempotency key.
type Bind struct {
	Request Request
	Job     descriptor.Job
	// Targets lists the shards that may run the job, best first.
	Targets []descriptor.ShardID
	// Nonce is random. It makes job IDs unique.
	Nonce uint64
}

// Accept asks for a job to be accepted under its ID.
type Accept struct {
	Request Request
	ID      descriptor.JobID
	Job     descriptor.Job
}

// Cancel asks for a job to be cancelled.
type Cancel struct {
	Request Request
	ID      descriptor.JobID
}

// Written tells that the records of an Append are durable. Tokens come in order.
type Written struct {
	Token Token
}

// Refused tells that the records of a droppable Append are not durable and never will be.
type Refused struct {
	Token Token
}

// Reported is a worker's answer to the message sent at a time.
type Reported struct {
	Worker descriptor.WorkerID
	Sent   time.Time
	Reply  executor.SyncReply
}

// Unanswered tells that the message to a worker got no answer.
type Unanswered struct {
	Worker descriptor.WorkerID
	// MayHaveArrived is false when the message provably had no effect.
	MayHaveArrived bool
}

// Fenced tells that a worker has accepted a higher epoch.
type Fenced struct {
	Worker descriptor.WorkerID
	Epoch  uint64
}

// InstancesChanged gives the workers of the shard that the platform lists.
type InstancesChanged struct {
	Workers []lister.Instance
}

// ConfigChanged gives the operators' configuration in force.
type ConfigChanged struct {
	Config *parser.Compiled
}

// UseElsewhere gives the use of all teams in the cell's other shards. A team that is left out uses
// nothing there.
type UseElsewhere struct {
	Teams map[string]descriptor.Resources
}

// AuthorityChanged tells what the owner may do from now on.
type AuthorityChanged struct {
	Authority Authority
}

// Tick lets time pass. It comes at least once a second.
type Tick struct{}

func (Loaded) isEvent()           {}
func (Bind) isEvent()             {}
func (Accept) isEvent()           {}
func (Cancel) isEvent()           {}
func (Written) isEvent()          {}
func (Refused) isEvent()          {}
func (Reported) isEvent()         {}
func (Unanswered) isEvent()       {}
func (Fenced) isEvent()           {}
func (InstancesChanged) isEvent() {}
func (ConfigChanged) isEvent()    {}
func (UseElsewhere) isEvent()     {}
func (AuthorityChanged) isEvent() {}
func (Tick) isEvent()             {}

// Action is what the driver has to do. It is one of the types below.
type Action interface {
	isAction()
}

// Append asks for records to be made durable.
type Append struct {
	Token   Token
	Records []*recordpb.Record
	// Droppable records may be refused while the journal is unavailable; all others are repeated.
	Droppable bool
}

// Sync asks for a message to a worker. There is one in flight for each worker.
type Sync struct {
	Worker  descriptor.WorkerID
	Address netip.AddrPort
	Request executor.SyncRequest
	// Sent goes back in Reported.
	Sent time.Time
}

// AnswerBind answers a Bind.
type AnswerBind struct {
	Request Request
	ID      descriptor.JobID
	Target  descriptor.ShardID
	Existed bool
	Problem *descriptor.Problem
}

// AnswerAccept answers an Accept.
type AnswerAccept struct {
	Request Request
	Problem *descriptor.Problem
}

// AnswerCancel answers a Cancel.
type AnswerCancel struct {
	Request Request
	Status  descriptor.JobStatus
	Problem *descriptor.Problem
}

// CodeStraggling is the code of the decision that a run lasts too long.
const CodeStraggling = "Straggling"

// Explain tells of a decision about a job.
type Explain struct {
	Job      descriptor.JobID
	Decision descriptor.Decision
}

// Halt ends the term, because somebody else owns the shard.
type Halt struct {
	Reason string
}

func (Append) isAction()       {}
func (Sync) isAction()         {}
func (AnswerBind) isAction()   {}
func (AnswerAccept) isAction() {}
func (AnswerCancel) isAction() {}
func (Explain) isAction()      {}
func (Halt) isAction()         {}
