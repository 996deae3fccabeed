package jobrouter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"

	"pomelomoor/internal/member/peerpb"
	"pomelomoor/internal/work/descriptor"
)

// fakeShard returns a problem with the next of codes for each Accept, Status and Await. The last code is
// repeated, and an empty code means success.
type fakeShard struct {
	LocalShard

	keyBound bool
	// probeCode is the code of the problem that Probe returns; empty means success.
	probeCode descriptor.Code
	// bindCode is the code with which Submit refuses to bind the key; empty means success.
	bindCode descriptor.Code
	codes    []descriptor.Code
	calls    int
}

func (fakeShard *fakeShard) Probe(context.Context, descriptor.Job) error {
	if fakeShard.probeCode != "" {
		return descriptor.NewProblem(fakeShard.probeCode, 0, "test")
	}
	return nil
}

func (fakeShard *fakeShard) BoundJob(context.Context, descriptor.Job) (descriptor.JobID, error) {
	if fakeShard.keyBound {
		return "a-0.1", nil
	}
	return "", nil
}

func (fakeShard *fakeShard) Submit(_ context.Context, _ descriptor.Job, targets []descriptor.ShardID) (descriptor.JobID, descriptor.ShardID, bool, error) {
	if fakeShard.bindCode != "" {
		return "", "", false, descriptor.NewProblem(fakeShard.bindCode, 0, "test")
	}
	return "a-0.1", targets[0], fakeShard.keyBound, nil
}

func (fakeShard *fakeShard) Accept(context.Context, descriptor.JobID, descriptor.Job) error {
	code := fakeShard.codes[min(fakeShard.calls, len(fakeShard.codes)-1)]
	fakeShard.calls++
	if code == "" {
		return nil
	}
	return descriptor.NewProblem(code, 0, "test")
}

func (fakeShard *fakeShard) Status(context.Context, descriptor.JobID, bool) (descriptor.JobStatus, error) {
	return descriptor.JobStatus{}, fakeShard.Accept(context.Background(), "", descriptor.Job{})
}

// Await blocks until ctx ends, as for a running job.
func (fakeShard *fakeShard) Await(ctx context.Context, id descriptor.JobID) (descriptor.JobStatus, error) {
	if err := fakeShard.Accept(ctx, id, descriptor.Job{}); err != nil {
		return descriptor.JobStatus{}, err
	}
	<-ctx.Done()
	return descriptor.JobStatus{ID: id}, nil
}

func newJobRouter(shard *fakeShard) *JobRouter {
	return New(Options{
		Shards:       []Shard{{ID: "a-0"}},
		Local:        func(descriptor.ShardID) (LocalShard, bool) { return shard, true },
		Rank:         func(*descriptor.Job) []descriptor.ShardID { return []descriptor.ShardID{"a-0"} },
		RetryTimeout: 3 * retryInterval / 2,
	})
}

// TestOutcome guards against reporting a submission as definitely refused although its key is bound, or
// although an earlier attempt or submission with the same key may have been accepted (I4).
func TestOutcome(t *testing.T) {
	for _, test := range []struct {
		name     string
		keyBound bool
		bindCode descriptor.Code
		codes    []descriptor.Code
		want     descriptor.Code
	}{
		{"not bound", false, "Unavailable", nil, "Unavailable"},
		{"key of another job", false, "KeyConflict", nil, "KeyConflict"},
		{"refused", false, "", []descriptor.Code{"Impossible"}, "Impossible"},
		// The key is already bound, so a different job under it would be refused.
		{"transient refusal by target", false, "", []descriptor.Code{"Unavailable"}, "Uncertain"},
		{"no owner after an uncertain attempt", false, "", []descriptor.Code{"Uncertain", "Unavailable"}, "Uncertain"},
		{"refused after an uncertain attempt", false, "", []descriptor.Code{"Uncertain", "Impossible"}, "Uncertain"},
		{"draining after an uncertain attempt", false, "", []descriptor.Code{"Uncertain", "Draining"}, "Uncertain"},
		{"key of another job after an uncertain attempt", false, "", []descriptor.Code{"Uncertain", "KeyConflict"}, "KeyConflict"},
		{"accepted after an uncertain attempt", false, "", []descriptor.Code{"Uncertain", ""}, ""},
		{"bound key, no owner", true, "", []descriptor.Code{"Unavailable"}, "Uncertain"},
		{"bound key, unknown job", true, "", []descriptor.Code{"NotFound"}, "Uncertain"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, existed, err := newJobRouter(&fakeShard{
				keyBound: test.keyBound,
				bindCode: test.bindCode,
				codes:    test.codes,
			}).Submit(t.Context(), descriptor.Job{Key: "k"})
			var problem *descriptor.Problem
			if test.want == "" {
				if err != nil || existed != test.keyBound {
					t.Errorf("got %v, %v", existed, err)
				}
				return
			}
			if !errors.As(err, &problem) || problem.Code != test.want {
				t.Errorf("got %v", err)
			}
		})
	}
}

// TestBoundKeyIsNotProbed guards against refusing a repeated submission of an accepted job because its
// target would refuse it now.
func TestBoundKeyIsNotProbed(t *testing.T) {
	_, existed, err := newJobRouter(&fakeShard{
		keyBound:  true,
		probeCode: descriptor.CodeImpossible,
		codes:     []descriptor.Code{""},
	}).Submit(t.Context(), descriptor.Job{
		Key: "key",
	})
	if err != nil || !existed {
		t.Errorf("repeated submission: got %v, %v, want the accepted job", existed, err)
	}
}

// TestStatusAfterUncertainAttempt guards against reporting a read-only call as uncertain because of an earlier
// attempt, although the last response is definite.
func TestStatusAfterUncertainAttempt(t *testing.T) {
	jobRouter := newJobRouter(&fakeShard{
		codes: []descriptor.Code{"Uncertain", "NotFound"},
	})
	_, err := jobRouter.Status(t.Context(), "a-0.1", false)
	var problem *descriptor.Problem
	if !errors.As(err, &problem) || problem.Code != descriptor.CodeNotFound {
		t.Errorf("got %v", err)
	}
}

// fakePeer is a client that calls another JobRouter directly instead of by gRPC, and records the requested
// waits.
type fakePeer struct {
	peerpb.PeerClient

	jobRouter  *JobRouter
	waitMillis []int64
}

func (fakePeer *fakePeer) Query(ctx context.Context, request *peerpb.QueryRequest, _ ...grpc.CallOption) (*peerpb.QueryReply, error) {
	fakePeer.waitMillis = append(fakePeer.waitMillis, request.GetWaitMillis())
	response := fakePeer.jobRouter.ServeQuery(ctx, request)
	return response, context.Cause(ctx)
}

// TestAwait guards against waits that end early when the shard changes its owner, that delay a drain, that
// are not passed on to the owner, or that exceed the owner's limit.
func TestAwait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ownerRouter := newJobRouter(&fakeShard{
			codes: []descriptor.Code{descriptor.CodeNoOwner, ""},
		})
		client := &fakePeer{
			jobRouter: ownerRouter,
		}
		draining := make(chan struct{})
		nonOwner := New(Options{
			Shards:   ownerRouter.options.Shards,
			Local:    func(descriptor.ShardID) (LocalShard, bool) { return nil, false },
			Locate:   func(descriptor.ShardID) (Location, bool) { return Location{}, true },
			Client:   func(Location) (peerpb.PeerClient, error) { return client, nil },
			Draining: draining,
		})
		start := time.Now()
		status, err := nonOwner.Await(t.Context(), "a-0.1", 20*time.Second)
		if err != nil || status.ID != "a-0.1" || time.Since(start) != 20*time.Second {
			t.Errorf("after %s: got %v, %v", time.Since(start), status.ID, err)
		}
		if len(client.waitMillis) != 2 || client.waitMillis[1] != 19900 {
			t.Errorf("waits requested from the owner in milliseconds: %v", client.waitMillis)
		}
		start = time.Now()
		time.AfterFunc(time.Second, func() {
			close(draining)
		})
		if _, err := nonOwner.Await(t.Context(), "a-0.1", 20*time.Second); err != nil || time.Since(start) != time.Second {
			t.Errorf("drain: after %s: got %v", time.Since(start), err)
		}
		if response := ownerRouter.ServeQuery(t.Context(), &peerpb.QueryRequest{Job: "a-0.1", WaitMillis: 1 << 62}); response.GetProblem() != nil {
			t.Errorf("got %v", response.GetProblem())
		}
		if waited := time.Since(start); waited != 31*time.Second {
			t.Errorf("a wait above the limit took %s", waited)
		}
	})
}
