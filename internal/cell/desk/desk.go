// Package desk serves the calls of callers at one instance. Every instance stores jobs and cancellations
// itself, so that callers do not depend on the leader; the leader tells the states of jobs, and the store
// does so when the leader cannot be reached.
package desk

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/persister"
	"pomelomoor/internal/cell/planner"
	"pomelomoor/internal/cell/watcher"
)

const (
	// leaderTimeout bounds a question to the leader; the way between regions and back takes 60 ms.
	leaderTimeout = 300 * time.Millisecond
	// retryPause is the pause before a call to the store is repeated.
	retryPause = 60 * time.Millisecond
	// mostTried is how long a call is tried again while the store answers this instance but refuses the
	// call or loses its answer. A call that takes longer costs its caller the attempt at another instance.
	mostTried = 900 * time.Millisecond
	// answerMargin is left of a caller's deadline for the answer.
	answerMargin = 100 * time.Millisecond
	// retryAfter is when a caller may try again after the store refused. Outages last seconds, and other
	// instances may reach the store.
	retryAfter = 2 * time.Second
)

// Store is the part of describer.Store that a desk uses.
type Store interface {
	Read(ctx context.Context, key string) (describer.Item, error)
	Commit(ctx context.Context, change describer.Change) (describer.Revision, error)
}

// Options describe a desk.
type Options struct {
	Store Store
	// Reachable tells whether the store answers this instance itself.
	Reachable func() bool
	// Leader returns the address of the leader, invalid if there is none.
	Leader func() netip.AddrPort
	// State and Pending ask the leader at an address.
	State   func(ctx context.Context, address netip.AddrPort, id describer.JobID) (describer.JobState, error)
	Pending func(ctx context.Context, address netip.AddrPort, queue string) (int, error)
	// Announce tells the leader at an address of a stored job or cancellation.
	Announce func(ctx context.Context, address netip.AddrPort, job []byte, cancelled describer.JobID) error
	// Observe is told of each call that was answered.
	Observe func(answer Answer)
}

// Answer is what a caller was told.
type Answer struct {
	// Call is Submit, State, Cancel or Pending.
	Call  string
	Job   describer.JobID
	Queue string
	// State is the state that was told.
	State describer.JobState
	// ConfigVersion is the version of the configuration that was in force.
	ConfigVersion int64
	// Outcome is Done, Rejected, NoJob or Uncertain; Err tells why it is not Done.
	Outcome string
	Err     error
	Took    time.Duration
}

// Desk serves callers. It is safe for concurrent use.
type Desk struct {
	options Options

	mutex    sync.Mutex
	config   *describer.Config
	stopping bool
}

var _ describer.Desk = (*Desk)(nil)

// New returns a desk without a configuration.
func New(options Options) *Desk {
	return &Desk{
		options: options,
	}
}

// SetConfig puts a configuration in force unless a newer one is.
func (desk *Desk) SetConfig(config *describer.Config) bool {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	if desk.config != nil && config.Version <= desk.config.Version {
		return false
	}
	desk.config = config
	return true
}

// Stop withdraws readiness.
func (desk *Desk) Stop() {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	desk.stopping = true
}

// Ready tells whether the instance takes new connections: it knows the configuration and reaches the store.
func (desk *Desk) Ready() bool {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	return desk.config != nil && !desk.stopping && desk.options.Reachable()
}

// Config returns the configuration in force.
func (desk *Desk) Config() *describer.Config {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	return desk.config
}

// observe tells of an answer, of which err is the outcome.
func (desk *Desk) observe(answer Answer, began time.Time, err error) {
	if desk.options.Observe == nil {
		return
	}
	answer.Took = time.Since(began)
	answer.Err = err
	if config := desk.Config(); config != nil {
		answer.ConfigVersion = config.Version
	}
	answer.Outcome = "Done"
	var rejected *describer.RejectedError
	switch {
	case err == nil:
	case errors.As(err, &rejected):
		answer.Outcome = "Rejected"
	case errors.Is(err, describer.ErrNoJob):
		answer.Outcome = "NoJob"
	default:
		answer.Outcome = "Uncertain"
	}
	desk.options.Observe(answer)
}

// Submit stores a job under the condition that no job of its ID is known.
func (desk *Desk) Submit(ctx context.Context, job *describer.Job) (err error) {
	began := time.Now()
	defer func() {
		desk.observe(Answer{
			Call:  "Submit",
			Job:   job.ID,
			Queue: job.Queue,
		}, began, err)
	}()
	job.Submitted = began
	value, err := json.Marshal(job)
	if err != nil {
		return &describer.RejectedError{
			Reason:     "job cannot be stored: " + err.Error(),
			RetryAfter: retryAfter,
		}
	}
	key := persister.JobPrefix + string(job.ID)
	err = desk.commit(ctx, describer.Change{
		Expect: []describer.Expectation{
			{
				Key: key,
			},
			{
				Key: persister.RecordPrefix + string(job.ID),
			},
		},
		Writes: []describer.Write{{
			Key:   key,
			Value: value,
		}},
	})
	var conflict *describer.ConflictError
	if errors.As(err, &conflict) {
		// The job was stored before, by this call or an earlier one.
		return nil
	}
	if err == nil {
		desk.announce(value, "")
	}
	return err
}

// announce tells the leader of a job or a cancellation without waiting. The leader reads the store as
// well, so that a lost announcement costs time only.
func (desk *Desk) announce(job []byte, cancelled describer.JobID) {
	address := desk.options.Leader()
	if !address.IsValid() || desk.options.Announce == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), leaderTimeout)
		defer cancel()
		// The leader finds what was not announced in the store.
		_ = desk.options.Announce(ctx, address, job, cancelled)
	}()
}

// commit makes a change and tries again while its outcome is open. The change must be one that cannot
// take effect twice. A RejectedError says that it never takes effect.
func (desk *Desk) commit(ctx context.Context, change describer.Change) error {
	began := time.Now()
	uncertain := false
	for {
		_, err := desk.options.Store.Commit(ctx, change)
		var conflict *describer.ConflictError
		if err == nil || errors.As(err, &conflict) {
			return err
		}
		uncertain = uncertain || errors.Is(err, describer.ErrUncertain)
		deadline, bounded := ctx.Deadline()
		switch {
		case ctx.Err() != nil || bounded && time.Until(deadline) < answerMargin+retryPause:
			return desk.unfinished(uncertain, err)
		case !desk.options.Reachable() || time.Since(began) > mostTried:
			return desk.unfinished(uncertain, err)
		}
		watcher.Pause(ctx, retryPause)
	}
}

func (desk *Desk) unfinished(uncertain bool, err error) error {
	if uncertain {
		return errors.Wrap(describer.ErrUncertain, err.Error())
	}
	return &describer.RejectedError{
		Reason:     "store is not available: " + err.Error(),
		RetryAfter: retryAfter,
	}
}

// State asks the leader, and the store if the leader does not know.
func (desk *Desk) State(ctx context.Context, id describer.JobID) (state describer.JobState, err error) {
	began := time.Now()
	defer func() {
		desk.observe(Answer{
			Call:  "State",
			Job:   id,
			State: state,
		}, began, err)
	}()
	if leader := desk.options.Leader(); leader.IsValid() {
		call, cancel := context.WithTimeout(ctx, leaderTimeout)
		state, err := desk.options.State(call, leader, id)
		cancel()
		if err == nil && state != describer.JobUnknown {
			return state, nil
		}
	}
	return desk.stored(ctx, id)
}

// stored reads the state of a job from the store.
func (desk *Desk) stored(ctx context.Context, id describer.JobID) (describer.JobState, error) {
	record, err := desk.read(ctx, persister.RecordPrefix+string(id))
	switch {
	case err == nil:
		var stored planner.Record
		if err := json.Unmarshal(record.Value, &stored); err != nil {
			return describer.JobUnknown, errors.Wrap(err, "decode record")
		}
		return stored.State, nil
	case !errors.Is(err, describer.ErrNotFound):
		return describer.JobUnknown, err
	}
	_, err = desk.read(ctx, persister.JobPrefix+string(id))
	switch {
	case err == nil:
		return describer.JobQueued, nil
	case errors.Is(err, describer.ErrNotFound):
		return describer.JobUnknown, describer.ErrNoJob
	default:
		return describer.JobUnknown, err
	}
}

// read reads a key and tries again while the store does not answer.
func (desk *Desk) read(ctx context.Context, key string) (describer.Item, error) {
	for {
		item, err := desk.options.Store.Read(ctx, key)
		if err == nil || errors.Is(err, describer.ErrNotFound) {
			return item, err
		}
		deadline, bounded := ctx.Deadline()
		if ctx.Err() != nil || !desk.options.Reachable() || bounded && time.Until(deadline) < answerMargin+retryPause {
			return item, desk.unfinished(false, err)
		}
		watcher.Pause(ctx, retryPause)
	}
}

// Cancel stores a cancellation, which the leader carries out.
func (desk *Desk) Cancel(ctx context.Context, id describer.JobID) (err error) {
	began := time.Now()
	defer func() {
		desk.observe(Answer{
			Call: "Cancel",
			Job:  id,
		}, began, err)
	}()
	key := persister.JobPrefix + string(id)
	for {
		job, err := desk.read(ctx, key)
		if errors.Is(err, describer.ErrNotFound) {
			return desk.ended(ctx, id)
		}
		if err != nil {
			return err
		}
		err = desk.commit(ctx, describer.Change{
			Expect: []describer.Expectation{{
				Key:      key,
				Revision: job.Revision,
			}},
			Writes: []describer.Write{{
				Key:   persister.CancelPrefix + string(id),
				Value: []byte("{}"),
			}},
		})
		var conflict *describer.ConflictError
		if err == nil {
			desk.announce(nil, id)
		}
		if !errors.As(err, &conflict) {
			return err
		}
		// The job ended in between.
	}
}

// ended returns nil for a job that has ended, and ErrNoJob for an unknown one.
func (desk *Desk) ended(ctx context.Context, id describer.JobID) error {
	_, err := desk.read(ctx, persister.RecordPrefix+string(id))
	if errors.Is(err, describer.ErrNotFound) {
		return describer.ErrNoJob
	}
	return err
}

// Pending asks the leader.
func (desk *Desk) Pending(ctx context.Context, queue string) (count int, err error) {
	began := time.Now()
	defer func() {
		desk.observe(Answer{
			Call:  "Pending",
			Queue: queue,
		}, began, err)
	}()
	for {
		if leader := desk.options.Leader(); leader.IsValid() {
			call, cancel := context.WithTimeout(ctx, leaderTimeout)
			count, err = desk.options.Pending(call, leader, queue)
			cancel()
			if err == nil {
				return count, nil
			}
		}
		deadline, bounded := ctx.Deadline()
		if ctx.Err() != nil || bounded && time.Until(deadline) < answerMargin+leaderTimeout+retryPause {
			return 0, &describer.RejectedError{
				Reason:     "leader is out of reach",
				RetryAfter: retryAfter,
			}
		}
		watcher.Pause(ctx, retryPause)
	}
}
