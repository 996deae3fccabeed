package dispatcher

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

// owner is a shard that answers acceptances with problems, one after the other.
type owner struct {
	Owner

	existed bool
	// probe is the code with which the target says that it would refuse the job.
	probe descriptor.Code
	// binding is the code with which the binding of a key is refused.
	binding  descriptor.Code
	problems []descriptor.Code
	accepts  int
}

func (owner *owner) Probe(context.Context, descriptor.Job) error {
	if owner.probe != "" {
		return descriptor.NewProblem(owner.probe, 0, "test")
	}
	return nil
}

func (owner *owner) BoundJob(context.Context, descriptor.Job) (descriptor.JobID, error) {
	if owner.existed {
		return "a-0.1", nil
	}
	return "", nil
}

func (owner *owner) Submit(_ context.Context, _ descriptor.Job, targets []descriptor.ShardID) (descriptor.JobID, descriptor.ShardID, bool, error) {
	if owner.binding != "" {
		return "", "", false, descriptor.NewProblem(owner.binding, 0, "test")
	}
	return "a-0.1", targets[0], owner.existed, nil
}

func (owner *owner) Accept(context.Context, descriptor.JobID, descriptor.Job) error {
	code := owner.problems[min(owner.accepts, len(owner.problems)-1)]
	owner.accepts++
	if code == "" {
		return nil
	}
	return descriptor.NewProblem(code, 0, "test")
}

func (owner *owner) Status(context.Context, descriptor.JobID, bool) (descriptor.JobStatus, error) {
	return descriptor.JobStatus{}, owner.Accept(context.Background(), "", descriptor.Job{})
}

// Await ends with ctx, as for a job that runs.
func (owner *owner) Await(ctx context.Context, id descriptor.JobID) (descriptor.JobStatus, error) {
	if err := owner.Accept(ctx, id, descriptor.Job{}); err != nil {
		return descriptor.JobStatus{}, err
	}
	<-ctx.Done()
	return descriptor.JobStatus{ID: id}, nil
}

func newDispatcher(owner *owner) *Dispatcher {
	return New(Options{
		Shards:    []Shard{{ID: "a-0"}},
		Local:     func(descriptor.ShardID) (Owner, bool) { return owner, true },
		Rank:      func(*descriptor.Job) []descriptor.ShardID { return []descriptor.ShardID{"a-0"} },
		RetryTime: 3 * retryPause / 2,
	})
}

// TestOutcome guards against a refusal of a submission that holds its key, or that an earlier attempt or
// an earlier submission with the key may have had accepted (I4).
func TestOutcome(t *testing.T) {
	for _, test := range []struct {
		name     string
		existed  bool
		binding  descriptor.Code
		problems []descriptor.Code
		want     descriptor.Code
	}{
		{"not bound", false, "Unavailable", nil, "Unavailable"},
		{"another job's key", false, "KeyConflict", nil, "KeyConflict"},
		{"refused", false, "", []descriptor.Code{"Impossible"}, "Impossible"},
		// The key is bound by then, so another description under it would be refused.
		{"target refuses for now", false, "", []descriptor.Code{"Unavailable"}, "Uncertain"},
		{"no owner after an open attempt", false, "", []descriptor.Code{"Uncertain", "Unavailable"}, "Uncertain"},
		{"refused after an open attempt", false, "", []descriptor.Code{"Uncertain", "Impossible"}, "Uncertain"},
		{"draining after an open attempt", false, "", []descriptor.Code{"Uncertain", "Draining"}, "Uncertain"},
		{"another job's key after an open attempt", false, "", []descriptor.Code{"Uncertain", "KeyConflict"}, "KeyConflict"},
		{"accepted after an open attempt", false, "", []descriptor.Code{"Uncertain", ""}, ""},
		{"known key, no owner", true, "", []descriptor.Code{"Unavailable"}, "Uncertain"},
		{"known key, forgotten job", true, "", []descriptor.Code{"NotFound"}, "Uncertain"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, existed, err := newDispatcher(&owner{
				existed:  test.existed,
				binding:  test.binding,
				problems: test.problems,
			}).Submit(t.Context(), descriptor.Job{Key: "k"})
			var problem *descriptor.Problem
			if test.want == "" {
				if err != nil || existed != test.existed {
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
// target would not take it now.
func TestBoundKeyIsNotProbed(t *testing.T) {
	_, existed, err := newDispatcher(&owner{
		existed:  true,
		probe:    descriptor.CodeImpossible,
		problems: []descriptor.Code{""},
	}).Submit(t.Context(), descriptor.Job{
		Key: "key",
	})
	if err != nil || !existed {
		t.Errorf("repeated submission: got %v, %v, want the accepted job", existed, err)
	}
}

// TestHarmless guards against a question that is reported as open although the last answer is definite.
func TestHarmless(t *testing.T) {
	dispatcher := newDispatcher(&owner{
		problems: []descriptor.Code{"Uncertain", "NotFound"},
	})
	_, err := dispatcher.Status(t.Context(), "a-0.1", false)
	var problem *descriptor.Problem
	if !errors.As(err, &problem) || problem.Code != descriptor.CodeNotFound {
		t.Errorf("got %v", err)
	}
}

// peer carries questions to another dispatcher, as gRPC does.
type peer struct {
	peerpb.PeerClient

	dispatcher *Dispatcher
	waits      []int64
}

func (peer *peer) Query(ctx context.Context, request *peerpb.QueryRequest, _ ...grpc.CallOption) (*peerpb.QueryReply, error) {
	peer.waits = append(peer.waits, request.GetWaitMillis())
	reply := peer.dispatcher.ServeQuery(ctx, request)
	return reply, context.Cause(ctx)
}

// TestAwait guards against waits that end too early when the shard moves, that hold up a planned stop,
// and that are not carried to the owner.
func TestAwait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local := newDispatcher(&owner{
			problems: []descriptor.Code{descriptor.CodeNoOwner, ""},
		})
		remote := &peer{
			dispatcher: local,
		}
		stopping := make(chan struct{})
		asking := New(Options{
			Shards:   local.options.Shards,
			Local:    func(descriptor.ShardID) (Owner, bool) { return nil, false },
			Locate:   func(descriptor.ShardID) (Location, bool) { return Location{}, true },
			Client:   func(Location) (peerpb.PeerClient, error) { return remote, nil },
			Stopping: stopping,
		})
		began := time.Now()
		status, err := asking.Await(t.Context(), "a-0.1", 20*time.Second)
		if err != nil || status.ID != "a-0.1" || time.Since(began) != 20*time.Second {
			t.Errorf("after %s: got %v, %v", time.Since(began), status.ID, err)
		}
		if len(remote.waits) != 2 || remote.waits[1] != 19900 {
			t.Errorf("waits at the owner: %v", remote.waits)
		}
		began = time.Now()
		time.AfterFunc(time.Second, func() {
			close(stopping)
		})
		if _, err := asking.Await(t.Context(), "a-0.1", 20*time.Second); err != nil || time.Since(began) != time.Second {
			t.Errorf("planned stop: after %s: got %v", time.Since(began), err)
		}
		if reply := local.ServeQuery(t.Context(), &peerpb.QueryRequest{Job: "a-0.1", WaitMillis: 1 << 62}); reply.GetProblem() != nil {
			t.Errorf("got %v", reply.GetProblem())
		}
		if waited := time.Since(began); waited != 31*time.Second {
			t.Errorf("a wait without bound took %s", waited)
		}
	})
}
