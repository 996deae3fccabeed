package dispatcher

import (
	"context"
	"testing"

	"github.com/go-faster/errors"

	"pomelomoor/internal/work/descriptor"
)

// owner is a shard that answers acceptances with problems, one after the other, and keeps the rest.
type owner struct {
	Owner

	existed  bool
	problems []descriptor.Code
	accepts  int
}

func (owner *owner) Probe(context.Context, descriptor.Job) error {
	return nil
}

func (owner *owner) Submit(_ context.Context, _ descriptor.Job, targets []descriptor.ShardID) (descriptor.JobID, descriptor.ShardID, bool, error) {
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

func newDispatcher(owner *owner) *Dispatcher {
	return New(Options{
		Shards:   []Shard{{ID: "a-0"}},
		Local:    func(descriptor.ShardID) (Owner, bool) { return owner, true },
		Rank:     func(*descriptor.Job) []descriptor.ShardID { return []descriptor.ShardID{"a-0"} },
		Patience: 3 * retryPause / 2,
	})
}

// TestOutcome guards against a refusal of a submission that an earlier attempt or an earlier
// submission with the key may have had accepted (I4).
func TestOutcome(t *testing.T) {
	for _, test := range []struct {
		name     string
		existed  bool
		problems []descriptor.Code
		want     descriptor.Code
	}{
		{"refused", false, []descriptor.Code{"Impossible"}, "Impossible"},
		{"no owner", false, []descriptor.Code{"Unavailable"}, "Unavailable"},
		{"no owner after an open attempt", false, []descriptor.Code{"Uncertain", "Unavailable"}, "Uncertain"},
		{"refused after an open attempt", false, []descriptor.Code{"Uncertain", "Impossible"}, "Uncertain"},
		{"draining after an open attempt", false, []descriptor.Code{"Uncertain", "Draining"}, "Uncertain"},
		{"another job's key after an open attempt", false, []descriptor.Code{"Uncertain", "KeyConflict"}, "KeyConflict"},
		{"accepted after an open attempt", false, []descriptor.Code{"Uncertain", ""}, ""},
		{"known key, no owner", true, []descriptor.Code{"Unavailable"}, "Uncertain"},
		{"known key, forgotten job", true, []descriptor.Code{"NotFound"}, "Uncertain"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, existed, err := newDispatcher(&owner{
				existed:  test.existed,
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
