// Package admitter implements the caller-facing API of an instance. Each instance writes jobs and cancellations
// to the store itself, so that callers do not depend on the leader. Job states come from the leader, or from
// the store if the leader cannot be reached.
package admitter

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/persister"
	"pomelomoor/internal/cell/postponer"
	"pomelomoor/internal/cell/refresher"
	"pomelomoor/internal/cell/watcher"
	"pomelomoor/internal/cell/withdrawer"
)

const (
	// leaderTimeout bounds a call to the leader. The round trip between regions takes 60 ms.
	leaderTimeout = 300 * time.Millisecond
	// retryDelay is the delay before a failed call is retried.
	retryDelay = 60 * time.Millisecond
	// maxRetryTime limits the retries of a commit that fails although the store is reachable from this
	// instance. With longer retries the caller would have no time left to try another instance.
	maxRetryTime = 900 * time.Millisecond
	// responseMargin is the part of a caller's deadline reserved for the response.
	responseMargin = 100 * time.Millisecond
	// retryAfter is the retry delay of a caller that is rejected because the leader cannot be reached, and the longest one
	// of a caller that asks for a state or cancels while the store does not answer.
	retryAfter = 2 * time.Second
	// configRetryAfter is the retry delay of a caller that is rejected because the configuration is not known. It is the
	// shortest that HTTP can tell.
	configRetryAfter = time.Second
	// capRetryAfter is the retry delay of a job that the cap of its organisation has no room for. Operators raise caps, so
	// that a try pays only after a while.
	capRetryAfter = 30 * time.Second
)

// Store is the subset of describer.Store that an Admitter uses.
type Store interface {
	Read(ctx context.Context, key string) (describer.Item, error)
	Commit(ctx context.Context, change describer.Change) (describer.Revision, error)
}

// Options are the dependencies of an Admitter.
type Options struct {
	Store Store
	// Config returns the current configuration, nil before the first one, and Freshness how up to date it is.
	Config    func() *describer.Config
	Freshness func() refresher.Freshness
	// ConfigConfirmed reports whether the current configuration was the newest lately, and waits for that if the store can
	// be reached. ConfigExpectation returns what holds in the store while it is the newest.
	ConfigConfirmed   func(ctx context.Context) bool
	ConfigExpectation func() describer.Expectation
	// Reachable reports whether the store responds to this instance directly.
	Reachable func() bool
	// Silence, if set, returns for how long the store has not answered this instance; 0 while it does.
	Silence func() time.Duration
	// Leader returns the address of the leader, or an invalid address if there is no leader.
	Leader func() netip.AddrPort
	// FailClosed returns whether calls with a key are rejected while the configuration is not confirmed, so that a key that
	// was removed meanwhile is of no use. If it is not set, callers learn the states of their jobs all the same.
	FailClosed func() bool
	// CapOverage, if set, returns the share by which a gang may exceed the cap of its organisation.
	CapOverage func() float64
	// MaxWithdrawals, if set, returns how many withdrawals a second the callers of an organisation may have stored.
	MaxWithdrawals func() float64
	// State and Pending query the leader at an address.
	State   func(ctx context.Context, address netip.AddrPort, id describer.JobID) (describer.JobStatus, error)
	Pending func(ctx context.Context, address netip.AddrPort, queue string) (int, error)
	// Announce, if set, notifies the leader at an address of a stored job or cancellation.
	Announce func(ctx context.Context, address netip.AddrPort, job []byte, cancelled describer.JobID) error
	// OnCall, if set, is called after each call.
	OnCall func(answer CallResult)
}

// CallResult describes a completed call and its result, for logs and metrics.
type CallResult struct {
	// Call is Submit, State, Cancel or Pending, or Route for a call that has no route.
	Call  string
	Job   describer.JobID
	Queue string
	// Host and Path are those of a call that has no route.
	Host string
	Path string
	// State is the state that was returned.
	State describer.JobState
	// Config tells how up to date the current configuration is at the end of the call.
	Config refresher.Freshness
	// Organisation is the one that made the call; empty if it needs no key.
	Organisation string
	// Outcome is Done, Rejected, NoJob, NoQueue, NoKey, OtherJob or Uncertain. Err is the error unless it is Done.
	Outcome string
	Err     error
	Took    time.Duration
}

// Admitter handles the calls of callers. It is safe for concurrent use.
type Admitter struct {
	options Options

	stopping    atomic.Bool
	withdrawals withdrawalLimits
}

var _ describer.Frontend = (*Admitter)(nil)

// New returns an Admitter.
func New(options Options) *Admitter {
	return &Admitter{
		options: options,
	}
}

// MarkNotReady makes Ready return false. Calls are still served.
func (admitter *Admitter) MarkNotReady() {
	admitter.stopping.Store(true)
}

// Ready reports whether the instance accepts new connections: it has a configuration, is not stopping and
// reaches the store.
func (admitter *Admitter) Ready() bool {
	return admitter.options.Config() != nil && !admitter.stopping.Load() && admitter.options.Reachable()
}

// Route returns the route of a call by the current configuration. While that is not confirmed, a call without a route is
// rejected but not refused for good, since its route may have been added meanwhile, and jobs are stored on the condition
// that it is still the newest. Other calls are served: those who ask for their jobs are better off with an answer.
func (admitter *Admitter) Route(ctx context.Context, call describer.Call) (route describer.Route, err error) {
	start := time.Now()
	defer func() {
		if err != nil {
			admitter.reportCall(CallResult{
				Call: "Route",
				Host: call.Host,
				Path: call.Path,
			}, start, err)
		}
	}()
	confirmed := admitter.options.ConfigConfirmed(ctx)
	// A change between this call and the next one makes the condition fail, but never hold for an older configuration.
	condition := admitter.options.ConfigExpectation()
	config := admitter.options.Config()
	if config == nil {
		return describer.Route{}, rejectedForConfig("no configuration yet")
	}
	queue, rest := config.Match(call.Host, call.Path)
	switch {
	case queue == nil && confirmed:
		return describer.Route{}, describer.ErrNoQueue
	case queue == nil:
		return describer.Route{}, rejectedForConfig("no such queue in a configuration that may have been replaced")
	}
	organisation, err := config.Identify(queue, call)
	switch {
	case confirmed && err != nil:
		return describer.Route{}, err
	case err != nil:
		return describer.Route{}, rejectedForConfig("unknown key in a configuration that may have been replaced")
	case !confirmed && organisation != "" && admitter.failsClosed():
		return describer.Route{}, rejectedForConfig("keys are in a configuration that may have been replaced")
	}
	route = describer.Route{
		Queue:        queue,
		Organisation: organisation,
		Public:       config.KeysRequired && queue.Public,
		Rest:         rest,
		MaxBodyBytes: config.MaxBodyBytes,
	}
	if !confirmed {
		route.Condition = &condition
	}
	return route, nil
}

func (admitter *Admitter) failsClosed() bool {
	return admitter.options.FailClosed != nil && admitter.options.FailClosed()
}

func rejectedForConfig(reason string) error {
	return &describer.RejectedError{
		Reason:     reason,
		RetryAfter: configRetryAfter,
	}
}

// reportCall completes result with the duration and outcome of the call and passes it to OnCall.
func (admitter *Admitter) reportCall(result CallResult, start time.Time, err error) {
	if admitter.options.OnCall == nil {
		return
	}
	result.Took = time.Since(start)
	result.Err = err
	result.Config = admitter.options.Freshness()
	result.Outcome = "Done"
	var rejected *describer.RejectedError
	switch {
	case err == nil:
	case errors.As(err, &rejected):
		result.Outcome = "Rejected"
	case errors.Is(err, describer.ErrNoJob):
		result.Outcome = "NoJob"
	case errors.Is(err, describer.ErrNoQueue):
		result.Outcome = "NoQueue"
	case errors.Is(err, describer.ErrUnknownKey):
		result.Outcome = "NoKey"
	case errors.Is(err, describer.ErrOtherJob):
		result.Outcome = "OtherJob"
	default:
		result.Outcome = "Uncertain"
	}
	admitter.options.OnCall(result)
}

// Submit stores a job in the queue of a route unless a job with its ID already exists, which counts as success.
func (admitter *Admitter) Submit(ctx context.Context, route describer.Route, job *describer.Job) (err error) {
	start := time.Now()
	job.Queue = route.Queue.Name
	job.Organisation = route.Organisation
	// A later leader needs the policy if the queue has been removed by then.
	job.Policy = &route.Queue.Policy
	defer func() {
		admitter.reportCall(CallResult{
			Call:         "Submit",
			Job:          job.ID,
			Queue:        job.Queue,
			Organisation: job.Organisation,
		}, start, err)
	}()
	if err := admitter.checkCap(route.Organisation, job); err != nil {
		return err
	}
	job.Submitted = start
	value, err := json.Marshal(job)
	if err != nil {
		return &describer.RejectedError{
			Reason:     "job cannot be stored: " + err.Error(),
			RetryAfter: retryAfter,
		}
	}
	change := describer.Change{
		Expect: append(expectNoJob(job.ID), describer.Expectation{
			Key: withdrawer.Key(job.ID, route.Organisation),
		}),
		Writes: []describer.Write{{
			Key:   persister.JobPrefix + string(job.ID),
			Value: value,
		}},
	}
	if route.Condition != nil {
		change.Expect = append(change.Expect, *route.Condition)
	}
	err = admitter.commit(ctx, change, postponer.Objective(job, job.Policy))
	var conflict *describer.ConflictError
	if errors.As(err, &conflict) {
		return checkConflict(route, job.ID, conflict)
	}
	if err == nil {
		admitter.announce(value, "")
	}
	return err
}

// checkConflict returns the outcome of a submission whose expectations did not hold.
func checkConflict(route describer.Route, id describer.JobID, conflict *describer.ConflictError) error {
	switch {
	case isStored(conflict, id):
	case conflict.Revision(withdrawer.Key(id, route.Organisation)) != 0:
		return &describer.RejectedError{
			Reason:     "job was cancelled before it was submitted",
			RetryAfter: withdrawer.Retention,
		}
	case route.Condition != nil:
		// No attempt was executed, and none can be later, since the condition will not hold again.
		return rejectedForConfig("configuration has changed")
	}
	// The job was already stored, by an earlier attempt of this call or by an earlier call.
	return checkOwner(route, conflict)
}

// announce notifies the leader of a job or a cancellation in the background. The leader also watches the
// store, so a lost announcement only causes a delay.
func (admitter *Admitter) announce(job []byte, cancelled describer.JobID) {
	address := admitter.options.Leader()
	if !address.IsValid() || admitter.options.Announce == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), leaderTimeout)
		defer cancel()
		// If this fails, the leader finds the job or cancellation in the store.
		_ = admitter.options.Announce(ctx, address, job, cancelled)
	}()
}

// commit commits a change and retries until it succeeds or meets a conflict, or the time for retries is
// over. The change must be one that cannot take effect twice. After a RejectedError it never takes effect. Its caller is
// told to try again within objective.
func (admitter *Admitter) commit(ctx context.Context, change describer.Change, objective time.Duration) error {
	start := time.Now()
	uncertain := false
	for {
		_, err := admitter.options.Store.Commit(ctx, change)
		var conflict *describer.ConflictError
		if err == nil || errors.As(err, &conflict) {
			return err
		}
		uncertain = uncertain || errors.Is(err, describer.ErrUncertain)
		deadline, bounded := ctx.Deadline()
		switch {
		case ctx.Err() != nil || bounded && time.Until(deadline) < responseMargin+retryDelay:
			return admitter.storeError(ctx, uncertain, err, objective)
		case !admitter.options.Reachable() || time.Since(start) > maxRetryTime:
			return admitter.storeError(ctx, uncertain, err, objective)
		}
		watcher.Sleep(ctx, retryDelay)
	}
}

// storeError returns the error of a call that the store did not answer. Its caller is told to try again within objective
// and its own deadline.
func (admitter *Admitter) storeError(ctx context.Context, uncertain bool, err error, objective time.Duration) error {
	if uncertain {
		return errors.Wrap(describer.ErrUncertain, err.Error())
	}
	limit := objective
	if deadline, bounded := ctx.Deadline(); bounded {
		limit = min(limit, time.Until(deadline))
	}
	var silence time.Duration
	if admitter.options.Silence != nil {
		silence = admitter.options.Silence()
	}
	return &describer.RejectedError{
		Reason:     "store is unavailable: " + err.Error(),
		RetryAfter: postponer.RetryAfter(silence, limit, rand.Float64()),
	}
}

// Pending returns the number of jobs of a queue that have not started, as reported by the leader. It retries
// until the caller's deadline.
func (admitter *Admitter) Pending(ctx context.Context, queue string) (count int, err error) {
	start := time.Now()
	defer func() {
		admitter.reportCall(CallResult{
			Call:  "Pending",
			Queue: queue,
		}, start, err)
	}()
	for {
		if leader := admitter.options.Leader(); leader.IsValid() {
			callCtx, cancel := context.WithTimeout(ctx, leaderTimeout)
			count, err = admitter.options.Pending(callCtx, leader, queue)
			cancel()
			if err == nil {
				return count, nil
			}
		}
		deadline, bounded := ctx.Deadline()
		if ctx.Err() != nil || bounded && time.Until(deadline) < responseMargin+leaderTimeout+retryDelay {
			return 0, &describer.RejectedError{
				Reason:     "leader is unreachable",
				RetryAfter: retryAfter,
			}
		}
		watcher.Sleep(ctx, retryDelay)
	}
}
