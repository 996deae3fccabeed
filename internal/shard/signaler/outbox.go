package signaler

import (
	"time"

	"pomelomoor/internal/shard/recordpb"
	"pomelomoor/internal/work/descriptor"
)

// Outbox collects the actions of one step and keeps what is being written. The zero value is ready.
type Outbox struct {
	token   Token
	pending map[Token]Pending
	// batch and effects become one Append at the end of a step.
	batch   []*recordpb.Record
	effects []func(now time.Time)
	actions []Action
}

// Pending is written but not known to be durable.
type Pending struct {
	Records []*recordpb.Record
	// Durable runs when the records are durable, and Refused when they never will be.
	Durable []func(now time.Time)
	Refused func()
}

// Begin starts a step.
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

// Explain tells of a decision about a job.
func (outbox *Outbox) Explain(job descriptor.JobID, decision descriptor.Decision) {
	outbox.Act(Explain{
		Job:      job,
		Decision: decision,
	})
}

// Record adds a record to those of this step. The effects run when it is durable.
func (outbox *Outbox) Record(record *recordpb.Record, effects ...func(now time.Time)) {
	outbox.batch = append(outbox.batch, record)
	outbox.effects = append(outbox.effects, effects...)
}

// After has an effect run when all records of this step are durable.
func (outbox *Outbox) After(effect func(now time.Time)) {
	outbox.effects = append(outbox.effects, effect)
}

// Flush turns the records of this step into an Append.
func (outbox *Outbox) Flush() {
	if len(outbox.batch) == 0 {
		return
	}
	outbox.Append(false, Pending{
		Records: outbox.batch,
		Durable: outbox.effects,
	})
	outbox.batch, outbox.effects = nil, nil
}

// Append asks for records to be written apart from those of the step.
func (outbox *Outbox) Append(droppable bool, pending Pending) {
	if outbox.pending == nil {
		outbox.pending = map[Token]Pending{}
	}
	outbox.token++
	outbox.pending[outbox.token] = pending
	outbox.Act(Append{
		Token:     outbox.token,
		Records:   pending.Records,
		Droppable: droppable,
	})
}

// Take removes and returns what was written under a token.
func (outbox *Outbox) Take(token Token) (Pending, bool) {
	pending, ok := outbox.pending[token]
	delete(outbox.pending, token)
	return pending, ok
}
