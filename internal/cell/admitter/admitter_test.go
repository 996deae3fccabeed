package admitter

import (
	"context"
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/persister"
	"pomelomoor/internal/cell/refresher"
)

// fakeStore is a store that returns the same result for every commit and serves reads from a map.
type fakeStore struct {
	commitErr error
	values    map[string]string
	readErr   error
	commits   int
	change    describer.Change
	config    *describer.Config
	// unconfirmed means that the configuration is not confirmed.
	unconfirmed bool
}

const configKey = "config"

var plainRoute = describer.Route{
	Queue: &describer.Queue{
		Name: "plain",
	},
}

func (fakeStore *fakeStore) Commit(_ context.Context, change describer.Change) (describer.Revision, error) {
	fakeStore.commits++
	fakeStore.change = change
	return 1, fakeStore.commitErr
}

func (fakeStore *fakeStore) Read(_ context.Context, key string) (describer.Item, error) {
	if fakeStore.readErr != nil {
		return describer.Item{}, fakeStore.readErr
	}
	value, found := fakeStore.values[key]
	if !found {
		return describer.Item{}, describer.ErrNotFound
	}
	return describer.Item{
		Key:      key,
		Value:    []byte(value),
		Revision: 1,
	}, nil
}

func newAdmitter(store *fakeStore, reachable bool) *Admitter {
	return New(Options{
		Store: store,
		Config: func() *describer.Config {
			return store.config
		},
		Freshness: func() refresher.Freshness {
			return refresher.Freshness{}
		},
		ConfigExpectation: func() describer.Expectation {
			return describer.Expectation{
				Key:      configKey,
				Revision: 7,
			}
		},
		ConfigConfirmed: func(context.Context) bool {
			return !store.unconfirmed
		},
		Reachable: func() bool {
			return reachable
		},
		Leader: func() netip.AddrPort {
			return netip.AddrPort{}
		},
	})
}

// TestSubmitOutcomes guards against reporting a job as rejected although it may run, against reporting a job
// as accepted although it is not stored, and against retries while the store is unreachable.
func TestSubmitOutcomes(t *testing.T) {
	tests := []struct {
		name      string
		commitErr error
		reachable bool
		// want is accepted, rejected, or open if the outcome is uncertain.
		want string
		// wantCommits is the expected number of commits. 0 means any number.
		wantCommits int
	}{
		{"stored", nil, true, "accepted", 1},
		{"already stored", &describer.ConflictError{}, true, "accepted", 1},
		{"store unreachable before the call", describer.ErrNoEffect, false, "rejected", 1},
		{"store unreachable during the call", describer.ErrUncertain, false, "open", 1},
		{"commits fail without effect", describer.ErrNoEffect, true, "rejected", 0},
		{"responses lost", describer.ErrUncertain, true, "open", 0},
	}
	for _, test := range tests {
		store := &fakeStore{
			commitErr: test.commitErr,
		}
		ctx, cancel := context.WithTimeout(context.Background(), 600*time.Millisecond)
		err := newAdmitter(store, test.reachable).Submit(ctx, plainRoute, &describer.Job{
			ID: "a",
		})
		cancel()
		var rejected *describer.RejectedError
		got := "accepted"
		switch {
		case errors.As(err, &rejected):
			got = "rejected"
			if rejected.RetryAfter <= 0 {
				t.Errorf("%s: rejected without RetryAfter", test.name)
			}
		case err != nil:
			got = "open"
		}
		if got != test.want {
			t.Errorf("%s: outcome %s (%v), want %s", test.name, got, err, test.want)
		}
		if test.wantCommits > 0 && store.commits != test.wantCommits {
			t.Errorf("%s: %d commits, want %d", test.name, store.commits, test.wantCommits)
		}
	}
}

// TestSubmittedPolicy guards against a stored job that does not tell how it is run: a leader that has never seen its queue,
// since the queue was removed meanwhile, could not go on with it.
func TestSubmittedPolicy(t *testing.T) {
	store := &fakeStore{}
	route := describer.Route{
		Queue: &describer.Queue{
			Policy: describer.Policy{
				Service:     "service",
				MaxAttempts: 3,
				SlackFactor: 2.5,
				Advice: &describer.AdvicePolicy{
					Validity: time.Second,
				},
			},
			Name: "plain",
		},
	}
	if err := newAdmitter(store, true).Submit(context.Background(), route, &describer.Job{
		ID: "a",
	}); err != nil {
		t.Fatal(err)
	}
	var job describer.Job
	if err := json.Unmarshal(store.change.Writes[0].Value, &job); err != nil {
		t.Fatal(err)
	}
	if !job.Policy.Equal(&route.Queue.Policy) {
		t.Errorf("stored policy %+v, want %+v", job.Policy, route.Queue.Policy)
	}
}

// TestStoredStates guards against reporting an accepted job as unknown while there is no leader, or while
// the store is unreachable.
func TestStoredStates(t *testing.T) {
	store := &fakeStore{
		values: map[string]string{
			persister.JobPrefix + "queued":     "{}",
			persister.JobPrefix + "running":    "{}",
			persister.RecordPrefix + "running": `{"State":2}`,
			persister.RecordPrefix + "done":    `{"State":3}`,
		},
	}
	admitter := newAdmitter(store, true)
	tests := map[describer.JobID]describer.JobState{
		"queued":  describer.JobQueued,
		"running": describer.JobRunning,
		"done":    describer.JobCompleted,
	}
	for id, want := range tests {
		if state, err := admitter.State(context.Background(), describer.Route{}, id); state != want || err != nil {
			t.Errorf("%s: state %v, error %v, want %v", id, state, err, want)
		}
	}
	if _, err := admitter.State(context.Background(), describer.Route{}, "none"); !errors.Is(err, describer.ErrNoJob) {
		t.Errorf("unknown job: %v", err)
	}
	store.readErr = describer.ErrNoEffect
	if _, err := newAdmitter(store, false).State(context.Background(), describer.Route{}, "done"); errors.Is(err, describer.ErrNoJob) || err == nil {
		t.Errorf("state while the store is unreachable: %v", err)
	}
}

// TestReady guards against an instance that reports ready before it has a configuration or while it stops.
func TestReady(t *testing.T) {
	store := &fakeStore{}
	admitter := newAdmitter(store, true)
	if admitter.Ready() {
		t.Error("ready without a configuration")
	}
	store.config = &describer.Config{
		Version: 2,
	}
	if !admitter.Ready() {
		t.Error("not ready with a configuration")
	}
	admitter.MarkNotReady()
	if admitter.Ready() {
		t.Error("ready while stopping")
	}
}
