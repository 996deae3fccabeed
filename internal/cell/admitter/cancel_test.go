package admitter

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/persister"
	"pomelomoor/internal/cell/withdrawer"
)

// conditionalStore checks the expectations of each change. Changes that it does not answer take effect with applyLate.
type conditionalStore struct {
	revision describer.Revision
	items    map[string]describer.Item
	// loses means that changes are not answered.
	loses bool
	late  []describer.Change
	// reads and changes count the calls.
	reads, changes int
	// onRead, if set, is called before each read.
	onRead func(key string)
}

func newConditionalStore() *conditionalStore {
	return &conditionalStore{
		items: map[string]describer.Item{},
	}
}

func (conditionalStore *conditionalStore) Read(_ context.Context, key string) (describer.Item, error) {
	conditionalStore.reads++
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
	conditionalStore.changes++
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

// TestWithdrawnID guards against a submission that is answered as accepted although its job was cancelled before, and against
// one by another organisation, of another ID or after the end of the retention that is rejected.
func TestWithdrawnID(t *testing.T) {
	store := newConditionalStore()
	admitter := newConditionalAdmitter(store)
	submit := func(organisation string, id describer.JobID) error {
		return admitter.Submit(t.Context(), routeOf(organisation), &describer.Job{
			ID: id,
		})
	}
	for range 2 {
		if err := admitter.Cancel(t.Context(), routeOf("north"), "a"); !errors.Is(err, describer.ErrNoJob) {
			t.Fatalf("cancellation: %v, want %v", err, describer.ErrNoJob)
		}
	}
	if len(store.items) != 1 {
		t.Errorf("store has %v", store.items)
	}
	var rejected *describer.RejectedError
	if err := submit("north", "a"); !errors.As(err, &rejected) || rejected.RetryAfter != withdrawer.Retention {
		t.Errorf("submission after the cancellation: %v", err)
	}
	if state, err := admitter.State(t.Context(), routeOf("north"), "a"); !errors.Is(err, describer.ErrNoJob) {
		t.Errorf("state %s, error %v, want %v", state, err, describer.ErrNoJob)
	}
	if err := submit("north", "b"); err != nil {
		t.Errorf("submission of another job: %v", err)
	}
	if err := submit("south", "a"); err != nil {
		t.Errorf("submission by another organisation: %v", err)
	}
	if err := admitter.Cancel(t.Context(), routeOf("south"), "c"); !errors.Is(err, describer.ErrNoJob) {
		t.Errorf("cancellation by another organisation: %v, want %v", err, describer.ErrNoJob)
	}
	if err := submit("north", "c"); err != nil {
		t.Errorf("submission of a job that another organisation has cancelled: %v", err)
	}
	if err := admitter.Cancel(t.Context(), routeOf("north"), "d"); !errors.Is(err, describer.ErrNoJob) {
		t.Errorf("cancellation: %v, want %v", err, describer.ErrNoJob)
	}
	delete(store.items, withdrawer.Key("d", "north"))
	if err := submit("north", "d"); err != nil {
		t.Errorf("submission after the retention: %v", err)
	}
}

// TestFloodOfWithdrawals guards against callers whose cancellations of unknown jobs take the writes of the store from all
// others, and against those of one organisation that keep another one from cancelling.
func TestFloodOfWithdrawals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			perSecond = 5
			period    = 10 * time.Second
		)
		store := newConditionalStore()
		admitter := newConditionalAdmitter(store)
		admitter.options.MaxWithdrawals = func() float64 {
			return perSecond
		}
		for number := range 1000 {
			id := describer.JobID(fmt.Sprintf("%016x", number))
			err := admitter.Cancel(t.Context(), routeOf("north"), id)
			var rejected *describer.RejectedError
			if !errors.Is(err, describer.ErrNoJob) && (!errors.As(err, &rejected) || !rejected.Overload || rejected.RetryAfter <= 0) {
				t.Fatalf("cancellation: %v", err)
			}
			_, stored := store.items[withdrawer.Key(id, "north")]
			if stored != errors.Is(err, describer.ErrNoJob) {
				t.Errorf("cancellation of %s: %v, stored: %v", id, err, stored)
			}
			time.Sleep(period / 1000)
		}
		if count, limit := len(store.items), withdrawalBurst+perSecond*int(period/time.Second)+1; count > limit {
			t.Errorf("%d withdrawals are stored, want at most %d", count, limit)
		}
		if err := admitter.Cancel(t.Context(), routeOf("south"), "a"); !errors.Is(err, describer.ErrNoJob) {
			t.Errorf("cancellation by another organisation: %v, want %v", err, describer.ErrNoJob)
		}
		if err := admitter.Submit(t.Context(), routeOf("north"), &describer.Job{
			ID: "b",
		}); err != nil {
			t.Errorf("submission: %v", err)
		}
		if err := admitter.Cancel(t.Context(), routeOf("north"), "b"); err != nil {
			t.Errorf("cancellation of a known job: %v", err)
		}
	})
}

// TestCancellationCost guards against cancellations and submissions that cost more calls to the store than they have to.
func TestCancellationCost(t *testing.T) {
	store := newConditionalStore()
	admitter := newConditionalAdmitter(store)
	check := func(what string, reads, changes int, call func() error, want error) {
		t.Helper()
		store.reads, store.changes = 0, 0
		if err := call(); !errors.Is(err, want) {
			t.Errorf("%s: error %v, want %v", what, err, want)
		}
		if store.reads != reads || store.changes != changes {
			t.Errorf("%s: %d reads and %d changes, want %d and %d", what, store.reads, store.changes, reads, changes)
		}
	}
	cancel := func() error {
		return admitter.Cancel(t.Context(), routeOf("north"), "a")
	}
	check("cancellation of an unknown job", 2, 1, cancel, describer.ErrNoJob)
	check("the same again", 2, 1, cancel, describer.ErrNoJob)
	check("submission", 0, 1, func() error {
		return admitter.Submit(t.Context(), routeOf("south"), &describer.Job{
			ID: "a",
		})
	}, nil)
	check("cancellation of another organisation's job", 1, 0, cancel, describer.ErrNoJob)
	check("cancellation of a job", 1, 1, func() error {
		return admitter.Cancel(t.Context(), routeOf("south"), "a")
	}, nil)
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
		for _, key := range []string{persister.CancelPrefix + "b", withdrawer.Key("b", "north")} {
			if _, found := store.items[key]; found {
				t.Errorf("cancellation of an unknown job was stored late, beside the job that was submitted after it: %s", key)
			}
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
