package desk

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/persister"
)

// answers is a store that gives the same answer to each call.
type answers struct {
	commit error
	read   map[string]string
	fail   error
	calls  int
}

func (answers *answers) Commit(context.Context, describer.Change) (describer.Revision, error) {
	answers.calls++
	return 1, answers.commit
}

func (answers *answers) Read(_ context.Context, key string) (describer.Item, error) {
	if answers.fail != nil {
		return describer.Item{}, answers.fail
	}
	value, found := answers.read[key]
	if !found {
		return describer.Item{}, describer.ErrNotFound
	}
	return describer.Item{
		Key:      key,
		Value:    []byte(value),
		Revision: 1,
	}, nil
}

func newDesk(store *answers, reachable bool) *Desk {
	return New(Options{
		Store: store,
		Reachable: func() bool {
			return reachable
		},
		Leader: func() netip.AddrPort {
			return netip.AddrPort{}
		},
	})
}

// TestSubmitOutcomes guards against a job that is said not to run although it may, against one that is
// said to be accepted without being stored, and against calls that are held although the store is lost.
func TestSubmitOutcomes(t *testing.T) {
	tests := []struct {
		name      string
		commit    error
		reachable bool
		// accepted, rejected or open is the expected outcome.
		want string
		// calls is the expected number of attempts, 0 for several.
		calls int
	}{
		{"stored", nil, true, "accepted", 1},
		{"stored before", &describer.ConflictError{}, true, "accepted", 1},
		{"store lost before the call", describer.ErrNotDone, false, "rejected", 1},
		{"store lost during the call", describer.ErrUncertain, false, "open", 1},
		{"store refuses", describer.ErrNotDone, true, "rejected", 0},
		{"answers lost", describer.ErrUncertain, true, "open", 0},
	}
	for _, test := range tests {
		store := &answers{
			commit: test.commit,
		}
		ctx, cancel := context.WithTimeout(context.Background(), 600*time.Millisecond)
		err := newDesk(store, test.reachable).Submit(ctx, &describer.Job{
			ID: "a",
		})
		cancel()
		var rejected *describer.RejectedError
		got := "accepted"
		switch {
		case errors.As(err, &rejected):
			got = "rejected"
			if rejected.RetryAfter <= 0 {
				t.Errorf("%s: no time for a new attempt", test.name)
			}
		case err != nil:
			got = "open"
		}
		if got != test.want {
			t.Errorf("%s: %s (%v), want %s", test.name, got, err, test.want)
		}
		if test.calls > 0 && store.calls != test.calls {
			t.Errorf("%s: %d attempts, want %d", test.name, store.calls, test.calls)
		}
	}
}

// TestStoredStates guards against an accepted job that is unknown while there is no leader.
func TestStoredStates(t *testing.T) {
	store := &answers{
		read: map[string]string{
			persister.JobPrefix + "queued":     "{}",
			persister.JobPrefix + "running":    "{}",
			persister.RecordPrefix + "running": `{"State":2}`,
			persister.RecordPrefix + "done":    `{"State":3}`,
		},
	}
	desk := newDesk(store, true)
	tests := map[describer.JobID]describer.JobState{
		"queued":  describer.JobQueued,
		"running": describer.JobRunning,
		"done":    describer.JobCompleted,
	}
	for id, want := range tests {
		if state, err := desk.State(context.Background(), id); state != want || err != nil {
			t.Errorf("%s: %v, %v, want %v", id, state, err, want)
		}
	}
	if _, err := desk.State(context.Background(), "none"); !errors.Is(err, describer.ErrNoJob) {
		t.Errorf("unknown job: %v", err)
	}
	store.fail = describer.ErrNotDone
	if _, err := newDesk(store, false).State(context.Background(), "done"); errors.Is(err, describer.ErrNoJob) || err == nil {
		t.Errorf("state without the store: %v", err)
	}
}

// TestReady guards against an instance that takes calls before it knows the configuration, or while it stops.
func TestReady(t *testing.T) {
	desk := newDesk(&answers{}, true)
	if desk.Ready() {
		t.Error("ready without a configuration")
	}
	desk.SetConfig(&describer.Config{
		Version: 2,
	})
	if !desk.Ready() {
		t.Error("not ready with a configuration")
	}
	if desk.SetConfig(&describer.Config{Version: 1}) {
		t.Error("an older configuration came into force")
	}
	desk.Stop()
	if desk.Ready() {
		t.Error("ready while it stops")
	}
}
