package withdrawer

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pomelomoor/internal/cell/describer"
)

var leadership = describer.Expectation{
	Key:      "leader",
	Revision: 1,
}

// fakeStore checks the expectations of each change and lists pages of two items.
type fakeStore struct {
	describer.Store

	mutex    sync.Mutex
	revision describer.Revision
	items    map[string]describer.Item
	// fails means that calls have no effect.
	fails bool
	// late holds changes that are executed late, if delays is set.
	delays bool
	late   []describer.Change
	lists  int
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		revision: 1,
		items: map[string]describer.Item{
			leadership.Key: {
				Key:      leadership.Key,
				Revision: leadership.Revision,
			},
		},
	}
}

func (fakeStore *fakeStore) put(key string) {
	fakeStore.mutex.Lock()
	defer fakeStore.mutex.Unlock()
	fakeStore.revision++
	fakeStore.items[key] = describer.Item{
		Key:      key,
		Revision: fakeStore.revision,
	}
}

// set changes how the store behaves.
func (fakeStore *fakeStore) set(fails, delays bool) {
	fakeStore.mutex.Lock()
	defer fakeStore.mutex.Unlock()
	fakeStore.fails, fakeStore.delays = fails, delays
}

func (fakeStore *fakeStore) has(key string) bool {
	fakeStore.mutex.Lock()
	defer fakeStore.mutex.Unlock()
	_, found := fakeStore.items[key]
	return found
}

// listed returns the number of list calls so far.
func (fakeStore *fakeStore) listed() int {
	fakeStore.mutex.Lock()
	defer fakeStore.mutex.Unlock()
	return fakeStore.lists
}

func (fakeStore *fakeStore) withdrawals() int {
	fakeStore.mutex.Lock()
	defer fakeStore.mutex.Unlock()
	count := 0
	for key := range fakeStore.items {
		if strings.HasPrefix(key, Prefix) {
			count++
		}
	}
	return count
}

func (fakeStore *fakeStore) List(_ context.Context, prefix, after string) (describer.Page, error) {
	fakeStore.mutex.Lock()
	defer fakeStore.mutex.Unlock()
	fakeStore.lists++
	if fakeStore.fails {
		return describer.Page{}, describer.ErrNoEffect
	}
	page := describer.Page{
		At: fakeStore.revision,
	}
	for key, item := range fakeStore.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Items = append(page.Items, item)
		}
	}
	slices.SortFunc(page.Items, func(left, right describer.Item) int {
		return cmp.Compare(left.Key, right.Key)
	})
	page.More = len(page.Items) > 2
	page.Items = page.Items[:min(len(page.Items), 2)]
	return page, nil
}

func (fakeStore *fakeStore) Commit(_ context.Context, change describer.Change) (describer.Revision, error) {
	fakeStore.mutex.Lock()
	defer fakeStore.mutex.Unlock()
	switch {
	case fakeStore.fails:
		return 0, describer.ErrNoEffect
	case fakeStore.delays:
		fakeStore.late = append(fakeStore.late, change)
		return 0, describer.ErrUncertain
	}
	return fakeStore.apply(change)
}

func (fakeStore *fakeStore) apply(change describer.Change) (describer.Revision, error) {
	conflict := &describer.ConflictError{}
	holds := true
	for _, expectation := range change.Expect {
		item, found := fakeStore.items[expectation.Key]
		if found {
			conflict.Items = append(conflict.Items, item)
		}
		holds = holds && item.Revision == expectation.Revision
	}
	if !holds {
		return 0, conflict
	}
	fakeStore.revision++
	for _, key := range change.Remove {
		delete(fakeStore.items, key)
	}
	return fakeStore.revision, nil
}

// applyLate executes the delayed changes, as far as their expectations still hold, and returns their number.
func (fakeStore *fakeStore) applyLate() int {
	fakeStore.mutex.Lock()
	defer fakeStore.mutex.Unlock()
	for _, change := range fakeStore.late {
		// Nobody waits for the outcome.
		_, _ = fakeStore.apply(change)
	}
	return len(fakeStore.late)
}

// run sweeps a store while test runs.
func run(t *testing.T, test func(store *fakeStore)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		sweeper := &Sweeper{
			Store:      store,
			Leadership: leadership,
		}
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			// The test ends it.
			_ = sweeper.Run(ctx)
		}()
		test(store)
		cancel()
		synctest.Wait()
	})
}

// TestSweep guards against withdrawals that stay in the store, and against one that is removed while a submission may still
// be on its way.
func TestSweep(t *testing.T) {
	run(t, func(store *fakeStore) {
		for number := range 70 {
			store.put(Key(describer.JobID(fmt.Sprintf("%016x", number)), "north"))
		}
		time.Sleep(Retention - time.Second)
		if count := store.withdrawals(); count != 70 {
			t.Errorf("%d of 70 withdrawals are left before the end of the retention", count)
		}
		fresh := Key("fresh", "north")
		store.put(fresh)
		time.Sleep(Retention)
		if !store.has(fresh) || store.withdrawals() != 1 {
			t.Errorf("%d withdrawals are left, want the fresh one only", store.withdrawals())
		}
		time.Sleep(2 * sweepInterval)
		if count := store.withdrawals(); count > 0 {
			t.Errorf("%d withdrawals are left", count)
		}
	})
}

// TestSweepBesideOutage guards against withdrawals that stay since the store was down, and against calls without a pause
// meanwhile.
func TestSweepBesideOutage(t *testing.T) {
	run(t, func(store *fakeStore) {
		store.put(Key("a", ""))
		time.Sleep(time.Minute)
		store.set(true, false)
		before := store.listed()
		time.Sleep(time.Minute)
		if calls := store.listed() - before; calls > 70 {
			t.Errorf("%d calls within a minute", calls)
		}
		store.set(false, false)
		time.Sleep(Retention + 2*sweepInterval)
		if count := store.withdrawals(); count > 0 {
			t.Errorf("%d withdrawals are left", count)
		}
	})
}

// TestLateRemoval guards against a removal that the store executes late, when the withdrawal has been written again.
func TestLateRemoval(t *testing.T) {
	run(t, func(store *fakeStore) {
		key := Key("a", "north")
		store.put(key)
		store.set(false, true)
		time.Sleep(Retention + 2*sweepInterval)
		store.put(key)
		if store.applyLate() == 0 {
			t.Error("no removal")
		}
		if !store.has(key) {
			t.Error("withdrawal was removed that had been written again")
		}
	})
}

// TestFormerLeader guards against an instance that removes withdrawals after another one has become leader.
func TestFormerLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put(Key("a", "north"))
		sweeper := &Sweeper{
			Store:      store,
			Leadership: leadership,
		}
		go func() {
			time.Sleep(sweepInterval)
			store.put(leadership.Key)
		}()
		if err := sweeper.Run(t.Context()); err == nil {
			t.Error("no error")
		}
		if count := store.withdrawals(); count != 1 {
			t.Errorf("%d withdrawals, want 1", count)
		}
	})
}
