// Package dispatcher brings jobs and questions about them to the instance that owns the shard in
// charge, whichever instance they arrive at.
package dispatcher

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"pomelomoor/internal/entry/presenter"
	"pomelomoor/internal/member/messenger"
	"pomelomoor/internal/member/peerpb"
	"pomelomoor/internal/work/descriptor"
)

// Defaults of the retries while a shard changes its owner.
const (
	// DefaultRetryTime covers a planned handover and most of the takeover after a failure.
	DefaultRetryTime = 8 * time.Second
	retryPause       = 100 * time.Millisecond
	retryAfter       = 2 * time.Second
)

// Shard is one shard of the cell.
type Shard struct {
	ID     descriptor.ShardID
	Region string
	Site   string
}

// Owner is a shard that this instance owns.
type Owner interface {
	// Probe returns CodeImpossible when the shard could never run the job.
	Probe(ctx context.Context, job descriptor.Job) error
	// BoundJob returns the job that the job's key is bound to, or an empty ID.
	BoundJob(ctx context.Context, job descriptor.Job) (descriptor.JobID, error)
	// Submit binds the job's key and returns the job's ID with its target shard.
	Submit(ctx context.Context, job descriptor.Job, targets []descriptor.ShardID) (descriptor.JobID, descriptor.ShardID, bool, error)
	// Accept makes the job durable.
	Accept(ctx context.Context, id descriptor.JobID, job descriptor.Job) error
	Status(ctx context.Context, id descriptor.JobID, explain bool) (descriptor.JobStatus, error)
	// Await returns when the job's fate is final or ctx ends, with the state at that time.
	Await(ctx context.Context, id descriptor.JobID) (descriptor.JobStatus, error)
	Cancel(ctx context.Context, id descriptor.JobID) (descriptor.JobStatus, error)
}

// Location is where the owner of a shard is.
type Location struct {
	Address netip.AddrPort
	Region  string
}

// Options configures a Dispatcher. All fields have to be set but RetryTime.
type Options struct {
	// Shards is the fixed list of the cell's shards. All instances have the same.
	Shards []Shard
	// Local returns the shard when this instance owns it.
	Local func(descriptor.ShardID) (Owner, bool)
	// Locate returns where the shard's owner is, as far as known.
	Locate func(descriptor.ShardID) (Location, bool)
	// Client returns a client of a peer.
	Client func(Location) (peerpb.PeerClient, error)
	// Rank returns the shards that may run the job, best first.
	Rank func(*descriptor.Job) []descriptor.ShardID
	// RetryTime bounds how long a call waits for a shard to get an owner.
	RetryTime time.Duration
	// Stopping is closed when a planned stop begins, which ends all waits for jobs; nil means never.
	Stopping <-chan struct{}
}

// Dispatcher routes jobs.
type Dispatcher struct {
	options Options
}

// New returns a Dispatcher.
func New(options Options) *Dispatcher {
	if options.RetryTime == 0 {
		options.RetryTime = DefaultRetryTime
	}
	return &Dispatcher{
		options: options,
	}
}

// Submit has the job accepted and returns its state and whether it existed before.
func (dispatcher *Dispatcher) Submit(ctx context.Context, job descriptor.Job) (descriptor.JobStatus, bool, error) {
	if job.Key == "" {
		job.Key = uuid.NewString()
	}
	description, err := json.Marshal(&job)
	if err != nil {
		return descriptor.JobStatus{}, false, descriptor.NewProblem(descriptor.CodeInvalid, 0, "%v", err)
	}
	targets := dispatcher.options.Rank(&job)
	if len(targets) == 0 {
		return descriptor.JobStatus{}, false, descriptor.NewProblem(descriptor.CodeImpossible, 0,
			"no site of the cell matches the selector %q and the policies for this job", job.Where)
	}
	registrar := dispatcher.registrar(&job)
	var id descriptor.JobID
	existed := false
	// A submission can be repeated, since the key finds the same job again.
	err = dispatcher.retry(ctx, effective, func(ctx context.Context) error {
		found, before, err := dispatcher.submitOnce(ctx, registrar, &job, description, targets)
		if id == "" {
			// Later attempts find the binding of this one.
			id, existed = found, before
		}
		return err
	})
	if err != nil {
		return descriptor.JobStatus{}, false, settle(asProblem(err), existed)
	}
	return descriptor.JobStatus{
		ID:  id,
		Job: job,
		Fate: descriptor.Record(descriptor.Pending{
			Reason: "accepted",
		}),
	}, existed, nil
}

// registrar returns the shard that binds the job's key.
func (dispatcher *Dispatcher) registrar(job *descriptor.Job) descriptor.ShardID {
	shards := dispatcher.options.Shards
	sum := xxhash.Sum64String(job.Caller + "\x00" + job.Key)
	return shards[sum%uint64(len(shards))].ID
}

func (dispatcher *Dispatcher) submitOnce(ctx context.Context, registrar descriptor.ShardID, job *descriptor.Job,
	description []byte, targets []descriptor.ShardID,
) (descriptor.JobID, bool, error) {
	if owner, ok := dispatcher.options.Local(registrar); ok {
		return dispatcher.register(ctx, owner, job, description, targets)
	}
	client, err := dispatcher.client(registrar)
	if err != nil {
		return "", false, err
	}
	request := &peerpb.SubmitRequest{
		Description: description,
		Registrar:   string(registrar),
	}
	for _, target := range targets {
		request.Targets = append(request.Targets, string(target))
	}
	reply, err := client.Submit(ctx, request)
	if err != nil {
		return "", false, transport(err)
	}
	return descriptor.JobID(reply.GetJob()), reply.GetExisted(), fromProblem(reply.GetProblem())
}

// register binds the key at the local registrar shard and has the job accepted by its target.
func (dispatcher *Dispatcher) register(ctx context.Context, owner Owner, job *descriptor.Job, description []byte,
	targets []descriptor.ShardID,
) (descriptor.JobID, bool, error) {
	bound, err := owner.BoundJob(ctx, *job)
	if err != nil {
		return "", false, err
	}
	admitting := targets
	if bound == "" {
		// A repeated submission is answered from the binding, whatever its targets say now.
		admitting, err = dispatcher.admitting(ctx, job, description, targets)
	}
	if err != nil {
		return "", false, err
	}
	id, target, existed, err := owner.Submit(ctx, *job, admitting)
	if err != nil {
		return "", false, err
	}
	err = dispatcher.retry(ctx, effective, func(ctx context.Context) error {
		return dispatcher.acceptOnce(ctx, target, id, job, description, false)
	})
	return id, existed, held(err)
}

// held turns a passing refusal by the target into an open outcome: the key is bound to the job for good,
// so it must not look free to the caller. The same submission leads to the job's acceptance later.
func held(err error) error {
	problem := asProblem(err)
	switch {
	case problem == nil:
		return nil
	case presenter.Passing(problem.Code):
		return presenter.AfterUncertain(problem)
	default:
		return problem
	}
}

// admitting returns the targets from the first one on that could ever run the job. Targets that do
// not answer stay on the list. The binding is durable, so it must not name a shard that refuses the job.
func (dispatcher *Dispatcher) admitting(ctx context.Context, job *descriptor.Job, description []byte,
	targets []descriptor.ShardID,
) ([]descriptor.ShardID, error) {
	var refusal error
	for i, target := range targets {
		err := dispatcher.acceptOnce(ctx, target, "", job, description, true)
		var problem *descriptor.Problem
		if errors.As(err, &problem) && problem.Code == descriptor.CodeImpossible {
			refusal = err
			continue
		}
		if err != nil {
			refusal = err
			continue
		}
		return targets[i:], nil
	}
	return nil, refusal
}

func (dispatcher *Dispatcher) acceptOnce(ctx context.Context, target descriptor.ShardID, id descriptor.JobID,
	job *descriptor.Job, description []byte, probe bool,
) error {
	if owner, ok := dispatcher.options.Local(target); ok {
		if probe {
			return owner.Probe(ctx, *job)
		}
		return owner.Accept(ctx, id, *job)
	}
	client, err := dispatcher.client(target)
	if err != nil {
		return err
	}
	reply, err := client.Accept(ctx, &peerpb.AcceptRequest{
		Job:         string(id),
		Description: description,
		Shard:       string(target),
		Probe:       probe,
	})
	if err != nil {
		return transport(err)
	}
	return fromProblem(reply.GetProblem())
}

// Status returns the state of a job, with its trail of decisions if explain is set.
func (dispatcher *Dispatcher) Status(ctx context.Context, id descriptor.JobID, explain bool) (descriptor.JobStatus, error) {
	return dispatcher.ask(ctx, dispatcher.options.RetryTime, harmless, id, func(ctx context.Context, owner Owner) (descriptor.JobStatus, error) {
		return owner.Status(ctx, id, explain)
	}, func(ctx context.Context, client peerpb.PeerClient) (*peerpb.QueryReply, error) {
		return client.Query(ctx, &peerpb.QueryRequest{
			Job:     string(id),
			Explain: explain,
		})
	})
}

// Cancel cancels a job. Cancelling twice is the same as once.
func (dispatcher *Dispatcher) Cancel(ctx context.Context, id descriptor.JobID) (descriptor.JobStatus, error) {
	return dispatcher.ask(ctx, dispatcher.options.RetryTime, effective, id, func(ctx context.Context, owner Owner) (descriptor.JobStatus, error) {
		return owner.Cancel(ctx, id)
	}, func(ctx context.Context, client peerpb.PeerClient) (*peerpb.QueryReply, error) {
		return client.Cancel(ctx, &peerpb.QueryRequest{
			Job: string(id),
		})
	})
}

func (dispatcher *Dispatcher) ask(ctx context.Context, retryTime time.Duration, effect effect, id descriptor.JobID,
	local func(context.Context, Owner) (descriptor.JobStatus, error),
	remote func(context.Context, peerpb.PeerClient) (*peerpb.QueryReply, error),
) (descriptor.JobStatus, error) {
	shard, ok := dispatcher.ShardOf(id)
	if !ok {
		return descriptor.JobStatus{}, descriptor.NewProblem(descriptor.CodeNotFound, 0, "no job %q", id)
	}
	var result descriptor.JobStatus
	err := dispatcher.retryFor(ctx, retryTime, effect, func(ctx context.Context) error {
		if owner, ok := dispatcher.options.Local(shard); ok {
			var err error
			result, err = local(ctx, owner)
			return err
		}
		client, err := dispatcher.client(shard)
		if err != nil {
			return err
		}
		reply, err := remote(ctx, client)
		if err != nil {
			return transport(err)
		}
		if reply.GetProblem() != nil {
			return fromProblem(reply.GetProblem())
		}
		return json.Unmarshal(reply.GetDocument(), &result)
	})
	return result, err
}

// ShardOf returns the shard that a job ID names.
func (dispatcher *Dispatcher) ShardOf(id descriptor.JobID) (descriptor.ShardID, bool) {
	name, _, ok := strings.Cut(string(id), ".")
	if !ok {
		return "", false
	}
	for _, shard := range dispatcher.options.Shards {
		if string(shard.ID) == name {
			return shard.ID, true
		}
	}
	return "", false
}

func (dispatcher *Dispatcher) client(shard descriptor.ShardID) (peerpb.PeerClient, error) {
	location, ok := dispatcher.options.Locate(shard)
	if !ok {
		return nil, descriptor.NewProblem(descriptor.CodeNoOwner, retryAfter, "shard %s has no owner at the moment", shard)
	}
	client, err := dispatcher.options.Client(location)
	if err != nil {
		return nil, descriptor.NewProblem(descriptor.CodeNoOwner, retryAfter, "the owner of shard %s cannot be reached: %v", shard, err)
	}
	return client, nil
}

// effect tells whether an attempt whose outcome is unknown matters.
type effect bool

const (
	harmless  effect = false
	effective effect = true
)

// retry repeats call while the shard has no owner that answers, until the retry time is over or ctx ends. An
// owner that answers that it cannot take the work, as during an outage of the store, is believed at once.
// All calls can be repeated.
func (dispatcher *Dispatcher) retry(ctx context.Context, effect effect, call func(context.Context) error) error {
	return dispatcher.retryFor(ctx, dispatcher.options.RetryTime, effect, call)
}

func (dispatcher *Dispatcher) retryFor(
	ctx context.Context, retryTime time.Duration, effect effect, call func(context.Context) error,
) error {
	ctx, cancel := context.WithTimeout(ctx, retryTime)
	defer cancel()
	uncertain := false
	for {
		problem := asProblem(call(ctx))
		if problem == nil {
			return nil
		}
		switch problem.Code {
		case descriptor.CodeUncertain:
			uncertain = bool(effect)
		case descriptor.CodeNoOwner:
		default:
			return settle(problem, uncertain)
		}
		if !pause(ctx) {
			return settle(problem, uncertain)
		}
	}
}

// settle keeps an earlier open outcome from being reported as a refusal, and gives a problem the code
// that callers are told.
func settle(problem *descriptor.Problem, uncertain bool) error {
	if problem.Code == descriptor.CodeNoOwner {
		problem = descriptor.NewProblem(descriptor.CodeUnavailable, problem.RetryAfter.Duration, "%s", problem.Message)
	}
	if uncertain {
		return presenter.AfterUncertain(problem)
	}
	return problem
}

func pause(ctx context.Context) bool {
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// transport turns a failed call to a peer into a Problem. Only a connection that was never made
// proves that the call had no effect.
func transport(err error) error {
	if messenger.NotSent(err) {
		return descriptor.NewProblem(descriptor.CodeNoOwner, retryAfter, "the owner cannot be reached: %v", err)
	}
	return descriptor.NewProblem(descriptor.CodeUncertain, retryAfter,
		"the owner did not answer; ask again with the same key: %v", err)
}

func asProblem(err error) *descriptor.Problem {
	if err == nil {
		return nil
	}
	var problem *descriptor.Problem
	if errors.As(err, &problem) {
		return problem
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return descriptor.NewProblem(descriptor.CodeUncertain, retryAfter, "no answer in time; ask again with the same key")
	}
	return descriptor.NewProblem(descriptor.CodeInternal, 0, "%v", err)
}

func toProblem(err error) *peerpb.Problem {
	problem := asProblem(err)
	if problem == nil {
		return nil
	}
	return &peerpb.Problem{
		Code:             string(problem.Code),
		Message:          problem.Message,
		RetryAfterMillis: problem.RetryAfter.Milliseconds(),
	}
}

func fromProblem(problem *peerpb.Problem) error {
	if problem == nil {
		return nil
	}
	return descriptor.NewProblem(descriptor.Code(problem.GetCode()),
		time.Duration(problem.GetRetryAfterMillis())*time.Millisecond, "%s", problem.GetMessage())
}
