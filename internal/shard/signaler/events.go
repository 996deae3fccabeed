// Package signaler defines the input events and output actions of a shard's state machine, and the outbox
// that collects actions and the callbacks to run once their records are durable.
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

// Authority is the set of operations that the instance's store lease currently permits.
type Authority int

const (
	// AuthorityNone permits nothing.
	AuthorityNone Authority = iota
	// AuthorityRenewOnly permits only the renewal of the leases of running tasks.
	AuthorityRenewOnly
	// AuthorityFull permits everything: the store lease has not expired.
	AuthorityFull
)

// Token identifies an Append action. Tokens increase with each Append.
type Token uint64

// RequestID identifies an API request whose caller waits for the answer. The driver assigns it.
type RequestID uint64

// Event is an input of a shard's state machine. It is one of the types in this file.
type Event interface {
	isEvent()
}

// Loaded starts a term with the records read from the journal.
type Loaded struct {
	Epoch   uint64
	Records []*recordpb.Record
}

// Bind asks to bind an idempotency key to a new job, or for the job if the key is bound already.
type Bind struct {
	Request RequestID
	Job     descriptor.Job
	// Targets lists the shards that may run the job, best first.
	Targets []descriptor.ShardID
	// Nonce is a random number that makes the job ID unique.
	Nonce uint64
}

// Accept asks to accept a job under an ID that Bind returned.
type Accept struct {
	Request RequestID
	ID      descriptor.JobID
	Job     descriptor.Job
}

// Cancel asks to cancel a job.
type Cancel struct {
	Request RequestID
	ID      descriptor.JobID
}

// Written reports that the records of an Append are durable. Tokens arrive in order.
type Written struct {
	Token Token
}

// Refused reports that the records of a droppable Append were dropped and will never be durable.
type Refused struct {
	Token Token
}

// Reported carries a worker's report on the message sent at Sent.
type Reported struct {
	Worker descriptor.WorkerID
	Sent   time.Time
	Report executor.SyncReply
}

// NoReport means that a message to a worker got no report.
type NoReport struct {
	Worker descriptor.WorkerID
	// MayHaveArrived is false only if the message certainly had no effect.
	MayHaveArrived bool
}

// Fenced reports that a worker has accepted a higher epoch.
type Fenced struct {
	Worker descriptor.WorkerID
	Epoch  uint64
}

// ListedWorkersChanged carries the shard's workers in the platform's list.
type ListedWorkersChanged struct {
	Workers []lister.Instance
}

// ConfigChanged carries the operators' configuration in force.
type ConfigChanged struct {
	Config *parser.Compiled
}

// OtherShardsUsage carries the resource usage of all teams in the other shards of the cell. A team that is
// missing uses nothing there.
type OtherShardsUsage struct {
	Teams map[string]descriptor.Resources
}

// AuthorityChanged reports what the owner may do from now on.
type AuthorityChanged struct {
	Authority Authority
}

// Tick triggers the time-dependent work. It occurs at least once a second.
type Tick struct{}

func (Loaded) isEvent()               {}
func (Bind) isEvent()                 {}
func (Accept) isEvent()               {}
func (Cancel) isEvent()               {}
func (Written) isEvent()              {}
func (Refused) isEvent()              {}
func (Reported) isEvent()             {}
func (NoReport) isEvent()             {}
func (Fenced) isEvent()               {}
func (ListedWorkersChanged) isEvent() {}
func (ConfigChanged) isEvent()        {}
func (OtherShardsUsage) isEvent()     {}
func (AuthorityChanged) isEvent()     {}
func (Tick) isEvent()                 {}

// Action is an output of a shard's state machine that the driver carries out. It is one of the types
// below.
type Action interface {
	isAction()
}

// Append asks to write records to the journal.
type Append struct {
	Token   Token
	Records []*recordpb.Record
	// Droppable allows the driver to refuse the records while the journal is unavailable. Writes of
	// other records are retried.
	Droppable bool
}

// Sync asks for an exchange with a worker: a message to it and its report. At most one message per worker is
// in flight.
type Sync struct {
	Worker  descriptor.WorkerID
	Address netip.AddrPort
	Request executor.SyncRequest
	// Sent is returned in Reported.
	Sent time.Time
}

// AnswerBind answers a Bind with the job that the idempotency key is bound to, or with a problem.
type AnswerBind struct {
	Request RequestID
	ID      descriptor.JobID
	Target  descriptor.ShardID
	Existed bool
	Problem *descriptor.Problem
}

// AnswerAccept answers an Accept.
type AnswerAccept struct {
	Request RequestID
	Problem *descriptor.Problem
}

// AnswerCancel answers a Cancel.
type AnswerCancel struct {
	Request RequestID
	Status  descriptor.JobStatus
	Problem *descriptor.Problem
}

// CodeStraggling is the decision code for a run that takes far longer than expected.
const CodeStraggling = "Straggling"

// Decided reports a decision about a job.
type Decided struct {
	Job      descriptor.JobID
	Decision descriptor.Decision
}

// Halt ends the term: another instance owns the shard, or a journal record can't be applied.
type Halt struct {
	Reason string
}

func (Append) isAction()       {}
func (Sync) isAction()         {}
func (AnswerBind) isAction()   {}
func (AnswerAccept) isAction() {}
func (AnswerCancel) isAction() {}
func (Decided) isAction()      {}
func (Halt) isAction()         {}
