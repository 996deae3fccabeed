package signaler

import (
	"time"

	"pomelomoor/internal/shard/recordpb"
	"pomelomoor/internal/work/descriptor"
)

// Outbox collects the actions of one step of the state machine and tracks the appends that are not durable
// yet. The zero value is ready to use.
type Outbox struct {
	lastToken Token
	pending   map[Token]Pending
	// stepRecords and stepCallbacks become one Append at the end of the step.
	stepRecords   []*recordpb.Record
	stepCallbacks []func(now time.Time)
	actions       []Action
}

// Pending is an append whose records are not known to be durable yet.
type Pending struct {
	Records []*recordpb.Record
	// OnDurable is called once the records are durable, OnRefused if they were dropped. OnRefused may be nil.
	OnDurable []func(now time.Time)
	OnRefused func()
}

// Begin starts a step and discards the actions of the previous one.
func (outbox *Outbox) Begin() {
	outbox.actions = nil
}

// Actions returns the actions of the step so far.
func (outbox *Outbox) Actions() []Action {
	return outbox.actions
}

// Add adds an action.
func (outbox *Outbox) Add(action Action) {
	outbox.actions = append(outbox.actions, action)
}

// AddDecision adds an action that reports a decision about a job.
func (outbox *Outbox) AddDecision(job descriptor.JobID, decision descriptor.Decision) {
	outbox.Add(Decided{
		Job:      job,
		Decision: decision,
	})
}

// Record adds a record to the Append of this step. The callbacks run once that Append is durable.
func (outbox *Outbox) Record(record *recordpb.Record, callbacks ...func(now time.Time)) {
	outbox.stepRecords = append(outbox.stepRecords, record)
	outbox.stepCallbacks = append(outbox.stepCallbacks, callbacks...)
}

// OnStepDurable runs the callback once all records of this step are durable.
func (outbox *Outbox) OnStepDurable(callback func(now time.Time)) {
	outbox.stepCallbacks = append(outbox.stepCallbacks, callback)
}

// Flush combines the records of this step into one Append.
func (outbox *Outbox) Flush() {
	if len(outbox.stepRecords) == 0 {
		return
	}
	outbox.Append(false, Pending{
		Records:   outbox.stepRecords,
		OnDurable: outbox.stepCallbacks,
	})
	outbox.stepRecords, outbox.stepCallbacks = nil, nil
}

// Append adds an Append action of its own, separate from the records of the step.
func (outbox *Outbox) Append(droppable bool, pending Pending) {
	if outbox.pending == nil {
		outbox.pending = map[Token]Pending{}
	}
	outbox.lastToken++
	outbox.pending[outbox.lastToken] = pending
	outbox.Add(Append{
		Token:     outbox.lastToken,
		Records:   pending.Records,
		Droppable: droppable,
	})
}

// RemovePending removes and returns the pending append of a token.
func (outbox *Outbox) RemovePending(token Token) (Pending, bool) {
	pending, ok := outbox.pending[token]
	delete(outbox.pending, token)
	return pending, ok
}
