// Package jobrouter routes job submissions, queries and cancellations from the instance that receives
// them to the instance that owns the job's shard.
package jobrouter

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

// Retry timing while a shard has no reachable owner.
const (
	// DefaultRetryTimeout covers a planned handover of a shard and most of a takeover after a failure.
	DefaultRetryTimeout = 8 * time.Second
	retryInterval       = 100 * time.Millisecond
	// retryAfter is the RetryAfter of problems that a caller may resolve by trying again.
	retryAfter = 2 * time.Second
)

// Shard identifies a shard of the cell and its location.
type Shard struct {
	ID     descriptor.ShardID
	Region string
	Site   string
}

// LocalShard is a shard that this instance owns. *driver.Driver implements it.
type LocalShard interface {
	// Probe returns a problem with CodeImpossible if the shard could never run the job.
	Probe(ctx context.Context, job descriptor.Job) error
	// BoundJob returns the job ID that is bound to the caller and idempotency key of the given submission, or an
	// empty ID.
	BoundJob(ctx context.Context, job descriptor.Job) (descriptor.JobID, error)
	// Submit binds the job's idempotency key to a job ID and a target shard in this shard, which must be the key's
	// registrar: the shard, selected by a hash of caller and key, that stores the binding. It returns the ID, the
	// target and whether the key was bound before. It does not store the job, which Accept does in the target.
	Submit(ctx context.Context, job descriptor.Job, targets []descriptor.ShardID) (descriptor.JobID, descriptor.ShardID, bool, error)
	// Accept stores the job durably.
	Accept(ctx context.Context, id descriptor.JobID, job descriptor.Job) error
	Status(ctx context.Context, id descriptor.JobID, explain bool) (descriptor.JobStatus, error)
	// Await blocks until the job's fate is final or ctx ends, and returns the state at that time.
	Await(ctx context.Context, id descriptor.JobID) (descriptor.JobStatus, error)
	Cancel(ctx context.Context, id descriptor.JobID) (descriptor.JobStatus, error)
}

// Location is the peer address and the region of a shard's owner.
type Location struct {
	Address netip.AddrPort
	Region  string
}

// Options configures a JobRouter. All fields except RetryTimeout and Draining are required.
type Options struct {
	// Shards is the fixed list of the cell's shards. It must be the same on all instances.
	Shards []Shard
	// Local returns the shard if this instance owns it.
	Local func(descriptor.ShardID) (LocalShard, bool)
	// Locate returns the location of the shard's owner, if it is known.
	Locate func(descriptor.ShardID) (Location, bool)
	// Client returns a client for the peer at a location.
	Client func(Location) (peerpb.PeerClient, error)
	// Rank returns the shards that match the job, best first.
	Rank func(*descriptor.Job) []descriptor.ShardID
	// RetryTimeout limits how long a call is retried while its shard has no reachable owner. Zero means
	// DefaultRetryTimeout.
	RetryTimeout time.Duration
	// Draining is closed when this instance starts to drain, which ends all Await calls; nil means never.
	Draining <-chan struct{}
}

// JobRouter routes calls about jobs to the owners of their shards.
type JobRouter struct {
	options Options
}

// New returns a JobRouter.
func New(options Options) *JobRouter {
	if options.RetryTimeout == 0 {
		options.RetryTimeout = DefaultRetryTimeout
	}
	return &JobRouter{
		options: options,
	}
}

// Submit submits the job to a matching shard. It returns the job's ID with the job as submitted and a pending
// fate, and whether the job existed before. The fate is pending also for an existing job; Status returns its
// actual state.
func (jobRouter *JobRouter) Submit(ctx context.Context, job descriptor.Job) (descriptor.JobStatus, bool, error) {
	if job.Key == "" {
		job.Key = uuid.NewString()
	}
	description, err := json.Marshal(&job)
	if err != nil {
		return descriptor.JobStatus{}, false, descriptor.NewProblem(descriptor.CodeInvalid, 0, "%v", err)
	}
	targets := jobRouter.options.Rank(&job)
	if len(targets) == 0 {
		return descriptor.JobStatus{}, false, descriptor.NewProblem(descriptor.CodeImpossible, 0,
			"no site of the cell matches the selector %q and the policies for this job", job.Where)
	}
	registrar := jobRouter.registrar(&job)
	var id descriptor.JobID
	existed := false
	// A submission is safe to retry, since its idempotency key leads to the same job.
	err = jobRouter.retry(ctx, mutating, func(ctx context.Context) error {
		attemptID, attemptExisted, err := jobRouter.submitOnce(ctx, registrar, &job, description, targets)
		if id == "" {
			// Later attempts find the key bound by this one, so only the first attempt to return an ID
			// tells whether the job existed before.
			id, existed = attemptID, attemptExisted
		}
		return err
	})
	if err != nil {
		return descriptor.JobStatus{}, false, finalProblem(asProblem(err), existed)
	}
	return descriptor.JobStatus{
		ID:  id,
		Job: job,
		Fate: descriptor.NewFateRecord(descriptor.Pending{
			Reason: "accepted",
		}),
	}, existed, nil
}

// registrar returns the shard that stores the binding of the job's idempotency key.
func (jobRouter *JobRouter) registrar(job *descriptor.Job) descriptor.ShardID {
	shards := jobRouter.options.Shards
	hash := xxhash.Sum64String(job.Caller + "\x00" + job.Key)
	return shards[hash%uint64(len(shards))].ID
}

func (jobRouter *JobRouter) submitOnce(ctx context.Context, registrar descriptor.ShardID, job *descriptor.Job,
	description []byte, targets []descriptor.ShardID,
) (descriptor.JobID, bool, error) {
	if localShard, ok := jobRouter.options.Local(registrar); ok {
		return jobRouter.register(ctx, localShard, job, description, targets)
	}
	client, err := jobRouter.client(registrar)
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
	response, err := client.Submit(ctx, request)
	if err != nil {
		return "", false, callProblem(err)
	}
	return descriptor.JobID(response.GetJob()), response.GetExisted(), decodeProblem(response.GetProblem())
}

// register binds the job's idempotency key in the local registrar shard, then stores the job in its target
// shard.
func (jobRouter *JobRouter) register(ctx context.Context, localShard LocalShard, job *descriptor.Job, description []byte,
	targets []descriptor.ShardID,
) (descriptor.JobID, bool, error) {
	boundID, err := localShard.BoundJob(ctx, *job)
	if err != nil {
		return "", false, err
	}
	eligible := targets
	if boundID == "" {
		// Only a new key is probed for. A repeated submission uses the stored binding, even if its targets
		// would refuse the job now.
		eligible, err = jobRouter.eligibleTargets(ctx, job, description, targets)
	}
	if err != nil {
		return "", false, err
	}
	id, target, existed, err := localShard.Submit(ctx, *job, eligible)
	if err != nil {
		return "", false, err
	}
	err = jobRouter.retry(ctx, mutating, func(ctx context.Context) error {
		return jobRouter.acceptOnce(ctx, target, id, job, description, false)
	})
	return id, existed, uncertainIfTransient(err)
}

// uncertainIfTransient reports a transient refusal by the target as an uncertain outcome. The key is bound
// permanently by then, so the caller must not take it for unused; the same submission can succeed later.
func uncertainIfTransient(err error) error {
	problem := asProblem(err)
	switch {
	case problem == nil:
		return nil
	case presenter.Transient(problem.Code):
		return presenter.CombineWithUncertain(problem)
	default:
		return problem
	}
}

// eligibleTargets returns the targets from the first one that accepts a probe for the job onwards, without
// probing the later ones, or the last error if none accepts. A target whose probe fails for any other reason,
// such as a transient error, is skipped like one that refuses the job as impossible. The binding is durable, so
// it must not name a shard that refuses the job.
func (jobRouter *JobRouter) eligibleTargets(ctx context.Context, job *descriptor.Job, description []byte,
	targets []descriptor.ShardID,
) ([]descriptor.ShardID, error) {
	var lastErr error
	for i, target := range targets {
		err := jobRouter.acceptOnce(ctx, target, "", job, description, true)
		var problem *descriptor.Problem
		if errors.As(err, &problem) && problem.Code == descriptor.CodeImpossible {
			lastErr = err
			continue
		}
		if err != nil {
			// Any other error, also a transient one, skips the target in the same way.
			lastErr = err
			continue
		}
		return targets[i:], nil
	}
	return nil, lastErr
}

// acceptOnce has the target shard store the job, or only checks that the shard could run it if probe is set.
func (jobRouter *JobRouter) acceptOnce(ctx context.Context, target descriptor.ShardID, id descriptor.JobID,
	job *descriptor.Job, description []byte, probe bool,
) error {
	if localShard, ok := jobRouter.options.Local(target); ok {
		if probe {
			return localShard.Probe(ctx, *job)
		}
		return localShard.Accept(ctx, id, *job)
	}
	client, err := jobRouter.client(target)
	if err != nil {
		return err
	}
	response, err := client.Accept(ctx, &peerpb.AcceptRequest{
		Job:         string(id),
		Description: description,
		Shard:       string(target),
		Probe:       probe,
	})
	if err != nil {
		return callProblem(err)
	}
	return decodeProblem(response.GetProblem())
}

// Status returns the state of a job, including the log of scheduling decisions if explain is set.
func (jobRouter *JobRouter) Status(ctx context.Context, id descriptor.JobID, explain bool) (descriptor.JobStatus, error) {
	return jobRouter.callOwner(ctx, jobRouter.options.RetryTimeout, readOnly, id, func(ctx context.Context, localShard LocalShard) (descriptor.JobStatus, error) {
		return localShard.Status(ctx, id, explain)
	}, func(ctx context.Context, client peerpb.PeerClient) (*peerpb.QueryReply, error) {
		return client.Query(ctx, &peerpb.QueryRequest{
			Job:     string(id),
			Explain: explain,
		})
	})
}

// Cancel cancels a job. It is idempotent.
func (jobRouter *JobRouter) Cancel(ctx context.Context, id descriptor.JobID) (descriptor.JobStatus, error) {
	return jobRouter.callOwner(ctx, jobRouter.options.RetryTimeout, mutating, id, func(ctx context.Context, localShard LocalShard) (descriptor.JobStatus, error) {
		return localShard.Cancel(ctx, id)
	}, func(ctx context.Context, client peerpb.PeerClient) (*peerpb.QueryReply, error) {
		return client.Cancel(ctx, &peerpb.QueryRequest{
			Job: string(id),
		})
	})
}

// callOwner runs callLocal if this instance owns the job's shard, and callRemote with a client of the owner
// otherwise. It retries while the shard has no reachable owner.
func (jobRouter *JobRouter) callOwner(ctx context.Context, retryTimeout time.Duration, effect callEffect, id descriptor.JobID,
	callLocal func(context.Context, LocalShard) (descriptor.JobStatus, error),
	callRemote func(context.Context, peerpb.PeerClient) (*peerpb.QueryReply, error),
) (descriptor.JobStatus, error) {
	shard, ok := jobRouter.ShardOf(id)
	if !ok {
		return descriptor.JobStatus{}, descriptor.NewProblem(descriptor.CodeNotFound, 0, "no job %q", id)
	}
	var result descriptor.JobStatus
	err := jobRouter.retryFor(ctx, retryTimeout, effect, func(ctx context.Context) error {
		if localShard, ok := jobRouter.options.Local(shard); ok {
			var err error
			result, err = callLocal(ctx, localShard)
			return err
		}
		client, err := jobRouter.client(shard)
		if err != nil {
			return err
		}
		response, err := callRemote(ctx, client)
		if err != nil {
			return callProblem(err)
		}
		if response.GetProblem() != nil {
			return decodeProblem(response.GetProblem())
		}
		return json.Unmarshal(response.GetDocument(), &result)
	})
	return result, err
}

// ShardOf returns the shard named in a job ID.
func (jobRouter *JobRouter) ShardOf(id descriptor.JobID) (descriptor.ShardID, bool) {
	name, _, ok := strings.Cut(string(id), ".")
	if !ok {
		return "", false
	}
	for _, shard := range jobRouter.options.Shards {
		if string(shard.ID) == name {
			return shard.ID, true
		}
	}
	return "", false
}

func (jobRouter *JobRouter) client(shard descriptor.ShardID) (peerpb.PeerClient, error) {
	location, ok := jobRouter.options.Locate(shard)
	if !ok {
		return nil, descriptor.NewProblem(descriptor.CodeNoOwner, retryAfter, "shard %s currently has no owner", shard)
	}
	client, err := jobRouter.options.Client(location)
	if err != nil {
		return nil, descriptor.NewProblem(descriptor.CodeNoOwner, retryAfter, "the owner of shard %s cannot be reached: %v", shard, err)
	}
	return client, nil
}

// callEffect tells whether a call changes state. If it does, an attempt without a response may have taken
// effect and makes the outcome of the whole call uncertain.
type callEffect bool

const (
	readOnly callEffect = false
	mutating callEffect = true
)

// retry repeats call while the shard has no owner that responds, until RetryTimeout has passed or ctx ends.
// Any other problem that the owner returns, such as an unavailable store, is final. All calls are safe to
// repeat.
func (jobRouter *JobRouter) retry(ctx context.Context, effect callEffect, call func(context.Context) error) error {
	return jobRouter.retryFor(ctx, jobRouter.options.RetryTimeout, effect, call)
}

// retryFor is retry with its own timeout.
func (jobRouter *JobRouter) retryFor(
	ctx context.Context, retryTimeout time.Duration, effect callEffect, call func(context.Context) error,
) error {
	ctx, cancel := context.WithTimeout(ctx, retryTimeout)
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
			return finalProblem(problem, uncertain)
		}
		if !waitToRetry(ctx) {
			return finalProblem(problem, uncertain)
		}
	}
}

// finalProblem converts the problem of the last attempt into the one returned to the caller. CodeNoOwner,
// which is used only between instances, becomes CodeUnavailable. If an earlier attempt may have taken
// effect, a refusal is not reported as definite.
func finalProblem(problem *descriptor.Problem, uncertain bool) error {
	if problem.Code == descriptor.CodeNoOwner {
		problem = descriptor.NewProblem(descriptor.CodeUnavailable, problem.RetryAfter.Duration, "%s", problem.Message)
	}
	if uncertain {
		return presenter.CombineWithUncertain(problem)
	}
	return problem
}

func waitToRetry(ctx context.Context) bool {
	timer := time.NewTimer(retryInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// callProblem converts the error of a failed call to a peer into a problem. Only a failure to connect proves
// that the call had no effect.
func callProblem(err error) error {
	if messenger.IsNotSent(err) {
		return descriptor.NewProblem(descriptor.CodeNoOwner, retryAfter, "the owner cannot be reached: %v", err)
	}
	return descriptor.NewProblem(descriptor.CodeUncertain, retryAfter,
		"the owner did not respond; ask again with the same key: %v", err)
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
		return descriptor.NewProblem(descriptor.CodeUncertain, retryAfter, "no response in time; ask again with the same key")
	}
	return descriptor.NewProblem(descriptor.CodeInternal, 0, "%v", err)
}

func encodeProblem(err error) *peerpb.Problem {
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

func decodeProblem(problem *peerpb.Problem) error {
	if problem == nil {
		return nil
	}
	return descriptor.NewProblem(descriptor.Code(problem.GetCode()),
		time.Duration(problem.GetRetryAfterMillis())*time.Millisecond, "%s", problem.GetMessage())
}
