package admitter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/persister"
)

// conditionalStore checks the expectations of each change. Changes that it does not answer take effect with applyLate.
type conditionalStore struct {
	revision describer.Revision
	items    map[string]describer.Item
	// loses means that changes are not answered.
	loses bool
	late  []describer.Change
	// onRead, if set, is called before each read.
	onRead func(key string)
}

func newConditionalStore() *conditionalStore {
	return &conditionalStore{
		items: map[string]describer.Item{},
	}
}

func (conditionalStore *conditionalStore) Read(_ context.Context, key string) (describer.Item, error) {
	if conditionalStore.onRead != nil {
		conditionalStore.onRead(key)
	}
	item, found := conditionalStore.items[key]
	if !found {
		return describer.Item{}, describer.ErrNotFound
	}
	return item, nil
}

func (conditionalStore *conditionalStore) Commit(ctx context.Context, change describer.Change) (describer.Revision, error) {
	if conditionalStore.loses {
		conditionalStore.late = append(conditionalStore.late, change)
		<-ctx.Done()
		return 0, errors.Wrap(describer.ErrUncertain, ctx.Err().Error())
	}
	return conditionalStore.apply(change)
}

func (conditionalStore *conditionalStore) apply(change describer.Change) (describer.Revision, error) {
	conflict := &describer.ConflictError{}
	holds := true
	for _, expectation := range change.Expect {
		item, found := conditionalStore.items[expectation.Key]
		if found {
			conflict.Items = append(conflict.Items, item)
		}
		holds = holds && item.Revision == expectation.Revision
	}
	if !holds {
		return 0, conflict
	}
	conditionalStore.revision++
	for _, write := range change.Writes {
		conditionalStore.items[write.Key] = describer.Item{
			Key:      write.Key,
			Value:    write.Value,
			Revision: conditionalStore.revision,
		}
	}
	for _, key := range change.Remove {
		delete(conditionalStore.items, key)
	}
	return conditionalStore.revision, nil
}

// applyLate executes the changes that were not answered, as far as their expectations still hold.
func (conditionalStore *conditionalStore) applyLate() {
	for _, change := range conditionalStore.late {
		// Nobody waits for the outcome.
		_, _ = conditionalStore.apply(change)
	}
	conditionalStore.late = nil
}

func newConditionalAdmitter(store *conditionalStore) *Admitter {
	admitter := newAdmitter(&fakeStore{
		config: newKeyConfig(),
	}, true)
	admitter.options.Store = store
	return admitter
}

// submitUnanswered submits a job for a caller that leaves before the store answers.
func submitUnanswered(t *testing.T, admitter *Admitter, store *conditionalStore, route describer.Route, id describer.JobID) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 600*time.Millisecond)
	defer cancel()
	store.loses = true
	err := admitter.Submit(ctx, route, &describer.Job{
		ID: id,
	})
	store.loses = false
	if !errors.Is(err, describer.ErrUncertain) {
		t.Fatalf("submission: %v, want an uncertain outcome", err)
	}
}

// TestCancelBeforeSubmission guards against a job that runs although its cancellation was answered, since the store executes
// its submission after that.
func TestCancelBeforeSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newConditionalStore()
		admitter := newConditionalAdmitter(store)
		submitUnanswered(t, admitter, store, routeOf("north"), "a")
		for range 2 {
			if err := admitter.Cancel(t.Context(), routeOf("north"), "a"); !errors.Is(err, describer.ErrNoJob) {
				t.Fatalf("cancellation: %v, want %v", err, describer.ErrNoJob)
			}
		}
		store.applyLate()
		if item, found := store.items[persister.JobPrefix+"a"]; found {
			t.Errorf("job was stored after its cancellation was answered: %s", item.Value)
		}
		if _, err := admitter.State(t.Context(), routeOf("north"), "a"); !errors.Is(err, describer.ErrNoJob) {
			t.Errorf("state of the job: %v, want %v", err, describer.ErrNoJob)
		}
	})
}

// TestCancelledID guards against a submission that is answered as accepted although its job was cancelled before, and against
// one of another ID or after the end of the retention that is rejected. The cancellation is the one of a call, or the record
// that the leader has put in its place.
func TestCancelledID(t *testing.T) {
	for _, recorded := range []bool{false, true} {
		store := newConditionalStore()
		admitter := newConditionalAdmitter(store)
		admitter.options.StatusRetention = func() time.Duration {
			return 2 * time.Minute
		}
		if err := admitter.Cancel(t.Context(), routeOf("north"), "a"); !errors.Is(err, describer.ErrNoJob) {
			t.Fatalf("cancellation: %v, want %v", err, describer.ErrNoJob)
		}
		if recorded {
			delete(store.items, persister.CancelPrefix+"a")
			store.items[persister.RecordPrefix+"a"] = describer.Item{
				Key:      persister.RecordPrefix + "a",
				Value:    []byte(`{"State":5,"Organisation":"north","Unsubmitted":true}`),
				Revision: store.revision,
			}
		}
		submit := func(organisation string, id describer.JobID) error {
			return admitter.Submit(t.Context(), routeOf(organisation), &describer.Job{
				ID: id,
			})
		}
		var rejected *describer.RejectedError
		if err := submit("north", "a"); !errors.As(err, &rejected) || rejected.RetryAfter != 2*time.Minute {
			t.Errorf("recorded %v: submission after the cancellation: %v", recorded, err)
		}
		if err := submit("south", "a"); !errors.Is(err, describer.ErrOtherJob) {
			t.Errorf("recorded %v: submission by another organisation: %v, want %v", recorded, err, describer.ErrOtherJob)
		}
		for _, organisation := range []string{"north", "south"} {
			if err := admitter.Cancel(t.Context(), routeOf(organisation), "a"); !errors.Is(err, describer.ErrNoJob) {
				t.Errorf("recorded %v: cancellation by %s: %v, want %v", recorded, organisation, err, describer.ErrNoJob)
			}
		}
		if state, err := admitter.State(t.Context(), routeOf("north"), "a"); !errors.Is(err, describer.ErrNoJob) {
			t.Errorf("recorded %v: state %s, error %v, want %v", recorded, state, err, describer.ErrNoJob)
		}
		if len(store.items) != 1 {
			t.Errorf("recorded %v: store has %v", recorded, store.items)
		}
		if err := submit("north", "b"); err != nil {
			t.Errorf("recorded %v: submission of another job: %v", recorded, err)
		}
		delete(store.items, persister.RecordPrefix+"a")
		delete(store.items, persister.CancelPrefix+"a")
		if err := submit("north", "a"); err != nil {
			t.Errorf("recorded %v: submission after the retention: %v", recorded, err)
		}
	}
}

// TestCancelBesideSubmission guards against a job that runs on since it was stored between the reads of its cancellation, and
// against a cancellation of an unknown job that cancels one which was submitted after it.
func TestCancelBesideSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newConditionalStore()
		admitter := newConditionalAdmitter(store)
		submitUnanswered(t, admitter, store, routeOf("north"), "a")
		store.onRead = func(key string) {
			if key == persister.RecordPrefix+"a" {
				store.applyLate()
			}
		}
		if err := admitter.Cancel(t.Context(), routeOf("north"), "a"); err != nil {
			t.Errorf("cancellation: %v", err)
		}
		if _, found := store.items[persister.CancelPrefix+"a"]; !found {
			t.Error("job was stored between the reads of its cancellation, which is not stored")
		}
		ctx, cancel := context.WithTimeout(t.Context(), 600*time.Millisecond)
		defer cancel()
		store.loses = true
		if err := admitter.Cancel(ctx, routeOf("north"), "b"); !errors.Is(err, describer.ErrUncertain) {
			t.Errorf("cancellation without an answer: %v, want an uncertain outcome", err)
		}
		store.loses = false
		if err := admitter.Submit(t.Context(), routeOf("north"), &describer.Job{
			ID: "b",
		}); err != nil {
			t.Errorf("submission: %v", err)
		}
		store.applyLate()
		if _, found := store.items[persister.CancelPrefix+"b"]; found {
			t.Error("cancellation of an unknown job cancels the job that was submitted after it")
		}
	})
}

// TestConditionalCancellationOfUnknownJob guards against a cancellation with a key that may have been removed.
func TestConditionalCancellationOfUnknownJob(t *testing.T) {
	store := newConditionalStore()
	route := routeOf("north")
	route.Condition = &describer.Expectation{
		Key:      configKey,
		Revision: 7,
	}
	var rejected *describer.RejectedError
	if err := newConditionalAdmitter(store).Cancel(t.Context(), route, "a"); !errors.As(err, &rejected) {
		t.Errorf("cancellation by a replaced configuration: %v", err)
	}
	if len(store.items) > 0 {
		t.Errorf("store has %v", store.items)
	}
}
