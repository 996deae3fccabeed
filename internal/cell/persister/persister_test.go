package persister

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"pomelomoor/internal/cell/describer"
)

// faultyStore is an in-memory store whose commits may fail, lose their response or take effect late.
type faultyStore struct {
	describer.Store

	mutex    sync.Mutex
	revision describer.Revision
	values   map[string]describer.Item
	// outcomes are the outcomes of the next commits. Later commits succeed.
	outcomes       []commitOutcome
	delayedChanges []describer.Change
	// regressed are the keys whose value was overwritten with an older one.
	regressed []string
}

type commitOutcome int

const (
	committed commitOutcome = iota
	refused
	answerLost
	delayed
)

func (store *faultyStore) Commit(_ context.Context, change describer.Change) (describer.Revision, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	next := committed
	if len(store.outcomes) > 0 {
		next = store.outcomes[0]
		store.outcomes = store.outcomes[1:]
	}
	switch next {
	case refused:
		return 0, describer.ErrNotDone
	case delayed:
		store.delayedChanges = append(store.delayedChanges, change)
		return 0, describer.ErrUncertain
	}
	revision, err := store.apply(change)
	if next == answerLost {
		return 0, describer.ErrUncertain
	}
	return revision, err
}

func (store *faultyStore) apply(change describer.Change) (describer.Revision, error) {
	conflict := &describer.ConflictError{}
	satisfied := true
	for _, expectation := range change.Expect {
		item, found := store.values[expectation.Key]
		if found {
			conflict.Items = append(conflict.Items, item)
		}
		satisfied = satisfied && item.Revision == expectation.Revision
	}
	if !satisfied {
		return 0, conflict
	}
	store.revision++
	for _, write := range change.Writes {
		if string(store.values[write.Key].Value) > string(write.Value) {
			store.regressed = append(store.regressed, write.Key)
		}
		store.values[write.Key] = describer.Item{
			Key:      write.Key,
			Value:    write.Value,
			Revision: store.revision,
		}
	}
	return store.revision, nil
}

// countingSource is a source whose records contain their number of changes.
type countingSource struct {
	mutex   sync.Mutex
	dirty   map[describer.JobID]bool
	changes map[describer.JobID]int64
	durable map[describer.JobID]int64
}

func (source *countingSource) change(id describer.JobID) {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	source.changes[id]++
	source.dirty[id] = true
}

func (source *countingSource) Dirty() []describer.JobID {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	return slices.Sorted(maps.Keys(source.dirty))
}

func (source *countingSource) Encode(id describer.JobID) ([]byte, int64, bool, error) {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	delete(source.dirty, id)
	return fmt.Appendf(nil, "%08d", source.changes[id]), source.changes[id], false, nil
}

func (source *countingSource) Durable(id describer.JobID, generation int64) {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	source.durable[id] = generation
}

func (source *countingSource) allDurable() bool {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	return maps.Equal(source.changes, source.durable)
}

func newFaultyStore() *faultyStore {
	return &faultyStore{
		revision: 1,
		values: map[string]describer.Item{
			"leader": {
				Key:      "leader",
				Revision: 1,
			},
		},
	}
}

func newCountingSource() *countingSource {
	return &countingSource{
		dirty:   map[describer.JobID]bool{},
		changes: map[describer.JobID]int64{},
		durable: map[describer.JobID]int64{},
	}
}

var leadership = describer.Expectation{
	Key:      "leader",
	Revision: 1,
}

// TestFaultyStore guards against records that are lost, reported as durable too early, or overwritten by
// an older write that takes effect late.
func TestFaultyStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, source := newFaultyStore(), newCountingSource()
		store.outcomes = rapid.SliceOfN(rapid.SampledFrom([]commitOutcome{committed, refused, answerLost, delayed}), 0, 12).Draw(t, "outcomes")
		persister := New(store, source, leadership)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() {
			ended <- persister.Run(ctx)
		}()
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			source.change(describer.JobID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "job")))
			persister.Wake()
		}
		deadline := time.Now().Add(20 * time.Second)
		for !source.allDurable() {
			if time.Now().After(deadline) {
				t.Fatal("records were not stored")
			}
			persister.Wake()
		}
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("persister ended with %v", err)
		}
		store.mutex.Lock()
		defer store.mutex.Unlock()
		for _, change := range store.delayedChanges {
			// A delayed commit whose expectations no longer hold has no effect.
			_, _ = store.apply(change)
		}
		if len(store.regressed) > 0 {
			t.Errorf("keys overwritten by older records: %v", store.regressed)
		}
		for id, count := range source.changes {
			if got := string(store.values[RecordPrefix+string(id)].Value); got != fmt.Sprintf("%08d", count) {
				t.Errorf("record of job %s is %s after %d changes", id, got, count)
			}
		}
	})
}

// TestOtherLeader guards against records written by an instance after another instance became the leader.
func TestOtherLeader(t *testing.T) {
	store, source := newFaultyStore(), newCountingSource()
	store.values["leader"] = describer.Item{
		Key:      "leader",
		Revision: 2,
	}
	persister := New(store, source, leadership)
	source.change("a")
	if err := persister.Run(context.Background()); !errors.Is(err, ErrLeadershipLost) {
		t.Errorf("persister ended with %v, want %v", err, ErrLeadershipLost)
	}
	for key := range store.values {
		if strings.HasPrefix(key, RecordPrefix) {
			t.Errorf("%s was written", key)
		}
	}
}

// blockedStore is a store whose commits block until release is closed.
type blockedStore struct {
	describer.Store

	mutex       sync.Mutex
	openCommits int
	release     chan struct{}
}

func (store *blockedStore) Commit(context.Context, describer.Change) (describer.Revision, error) {
	store.mutex.Lock()
	store.openCommits++
	store.mutex.Unlock()
	<-store.release
	return 1, nil
}

// TestSlowStore guards against records that wait for the responses to unrelated earlier writes. It changes
// 250 records, a burst, while no commit returns: this is what happens when the store takes 60 times as long
// to answer as usual.
func TestSlowStore(t *testing.T) {
	const jobs = 250
	store, source := &blockedStore{release: make(chan struct{})}, newCountingSource()
	for index := range jobs {
		source.change(describer.JobID(fmt.Sprintf("%04d", index)))
	}
	persister := New(store, source, leadership)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		// Run returns an error only because ctx is cancelled.
		_ = persister.Run(ctx)
	}()
	deadline := time.Now().Add(20 * time.Second)
	for len(source.Dirty()) > 0 {
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d records still wait for earlier writes", len(source.Dirty()), jobs)
		}
		persister.Wake()
	}
	store.mutex.Lock()
	open := store.openCommits
	store.mutex.Unlock()
	if open > maxOpenWrites {
		t.Errorf("%d open writes, want at most %d", open, maxOpenWrites)
	}
	close(store.release)
	for !source.allDurable() {
		if time.Now().After(deadline) {
			t.Fatal("records are not durable")
		}
		persister.Wake()
	}
}
