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
	// Durable is called once the records are durable, Refused if they were dropped. Refused may be nil.
	Durable []func(now time.Time)
	Refused func()
}

// Begin starts a step and discards the actions of the previous one.
func (outbox *Outbox) Begin() {
	outbox.actions = nil
}

// Actions returns the actions of the step so far.
func (outbox *Outbox) Actions() []Action {
	return outbox.actions
}

// Act adds an action.
func (outbox *Outbox) Act(action Action) {
	outbox.actions = append(outbox.actions, action)
}

// Explain adds an action that reports a decision about a job.
func (outbox *Outbox) Explain(job descriptor.JobID, decision descriptor.Decision) {
	outbox.Act(Explain{
		Job:      job,
		Decision: decision,
	})
}

// Record adds a record to the Append of this step. The callbacks run once that Append is durable.
func (outbox *Outbox) Record(record *recordpb.Record, callbacks ...func(now time.Time)) {
	outbox.stepRecords = append(outbox.stepRecords, record)
	outbox.stepCallbacks = append(outbox.stepCallbacks, callbacks...)
}

// After runs the callback once all records of this step are durable.
func (outbox *Outbox) After(callback func(now time.Time)) {
	outbox.stepCallbacks = append(outbox.stepCallbacks, callback)
}

// Flush combines the records of this step into one Append.
func (outbox *Outbox) Flush() {
	if len(outbox.stepRecords) == 0 {
		return
	}
	outbox.Append(false, Pending{
		Records: outbox.stepRecords,
		Durable: outbox.stepCallbacks,
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
	outbox.Act(Append{
		Token:     outbox.lastToken,
		Records:   pending.Records,
		Droppable: droppable,
	})
}

// Take removes and returns the pending append of a token.
func (outbox *Outbox) Take(token Token) (Pending, bool) {
	pending, ok := outbox.pending[token]
	delete(outbox.pending, token)
	return pending, ok
}
