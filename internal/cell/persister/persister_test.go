package persister

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
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

func (faultyStore *faultyStore) Commit(_ context.Context, change describer.Change) (describer.Revision, error) {
	faultyStore.mutex.Lock()
	defer faultyStore.mutex.Unlock()
	next := committed
	if len(faultyStore.outcomes) > 0 {
		next = faultyStore.outcomes[0]
		faultyStore.outcomes = faultyStore.outcomes[1:]
	}
	switch next {
	case refused:
		return 0, describer.ErrNoEffect
	case delayed:
		faultyStore.delayedChanges = append(faultyStore.delayedChanges, change)
		return 0, describer.ErrUncertain
	}
	revision, err := faultyStore.apply(change)
	if next == answerLost {
		return 0, describer.ErrUncertain
	}
	return revision, err
}

func (faultyStore *faultyStore) apply(change describer.Change) (describer.Revision, error) {
	conflict := &describer.ConflictError{}
	satisfied := true
	for _, expectation := range change.Expect {
		item, found := faultyStore.values[expectation.Key]
		if found {
			conflict.Items = append(conflict.Items, item)
		}
		satisfied = satisfied && item.Revision == expectation.Revision
	}
	if !satisfied {
		return 0, conflict
	}
	faultyStore.revision++
	for _, write := range change.Writes {
		if string(faultyStore.values[write.Key].Value) > string(write.Value) {
			faultyStore.regressed = append(faultyStore.regressed, write.Key)
		}
		faultyStore.values[write.Key] = describer.Item{
			Key:      write.Key,
			Value:    write.Value,
			Revision: faultyStore.revision,
		}
	}
	for _, key := range change.Remove {
		delete(faultyStore.values, key)
	}
	return faultyStore.revision, nil
}

// countingSource is a source whose records contain their number of changes.
type countingSource struct {
	mutex   sync.Mutex
	dirty   map[describer.JobID]bool
	changes map[describer.JobID]int64
	stored  map[describer.JobID]int64
}

func (countingSource *countingSource) change(id describer.JobID) {
	countingSource.mutex.Lock()
	defer countingSource.mutex.Unlock()
	countingSource.changes[id]++
	countingSource.dirty[id] = true
}

func (countingSource *countingSource) Dirty() []describer.JobID {
	countingSource.mutex.Lock()
	defer countingSource.mutex.Unlock()
	return slices.Sorted(maps.Keys(countingSource.dirty))
}

func (countingSource *countingSource) Encode(id describer.JobID) ([]byte, int64, bool, error) {
	countingSource.mutex.Lock()
	defer countingSource.mutex.Unlock()
	delete(countingSource.dirty, id)
	return fmt.Appendf(nil, "%08d", countingSource.changes[id]), countingSource.changes[id], false, nil
}

func (countingSource *countingSource) Committed(describer.Revision) {}

func (countingSource *countingSource) RecordStored(id describer.JobID, generation int64) {
	countingSource.mutex.Lock()
	defer countingSource.mutex.Unlock()
	countingSource.stored[id] = generation
}

func (countingSource *countingSource) allStored() bool {
	countingSource.mutex.Lock()
	defer countingSource.mutex.Unlock()
	return maps.Equal(countingSource.changes, countingSource.stored)
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
		stored:  map[describer.JobID]int64{},
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
		persister.retryDelay = time.Millisecond
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
		for !source.allStored() {
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

func (blockedStore *blockedStore) Commit(context.Context, describer.Change) (describer.Revision, error) {
	blockedStore.mutex.Lock()
	blockedStore.openCommits++
	blockedStore.mutex.Unlock()
	<-blockedStore.release
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
	for !source.allStored() {
		if time.Now().After(deadline) {
			t.Fatal("records are not durable")
		}
		persister.Wake()
	}
}

// encodingSource counts how often records are encoded.
type encodingSource struct {
	countingSource

	encoded int
}

func (encodingSource *encodingSource) Encode(id describer.JobID) ([]byte, int64, bool, error) {
	encodingSource.mutex.Lock()
	encodingSource.encoded++
	encodingSource.mutex.Unlock()
	return encodingSource.countingSource.Encode(id)
}

// TestRefusingStore guards against a leader that spends its processor time on encoding records again and again while the
// store refuses all writes at once, and against records that are not stored soon after it takes them again.
func TestRefusingStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const outage = 5 * time.Second
		store := &faultyStore{
			values: map[string]describer.Item{},
		}
		for range 100000 {
			store.outcomes = append(store.outcomes, refused)
		}
		source := &encodingSource{
			countingSource: countingSource{
				dirty:   map[describer.JobID]bool{},
				changes: map[describer.JobID]int64{},
				stored:  map[describer.JobID]int64{},
			},
		}
		const jobs = 400
		for index := range jobs {
			source.change(describer.JobID(fmt.Sprint(index)))
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		persister := New(store, source, describer.Expectation{
			Key: "leader",
		})
		go func() {
			// The test ends it.
			_ = persister.Run(ctx)
		}()
		time.Sleep(outage)
		source.mutex.Lock()
		encoded := source.encoded
		source.mutex.Unlock()
		t.Logf("%d records were encoded", encoded)
		if limit := jobs * int(outage/defaultRetryDelay); encoded > limit {
			t.Errorf("%d records were encoded during an outage of %s, want at most %d", encoded, outage, limit)
		}
		store.mutex.Lock()
		store.outcomes = nil
		store.mutex.Unlock()
		time.Sleep(10 * defaultRetryDelay)
		if !source.allStored() {
			t.Error("not all records are stored after the outage")
		}
		cancel()
		synctest.Wait()
	})
}

// endedSource is a source of one job that has ended, and whose record is removed once its retention is over.
type endedSource struct {
	countingSource

	expired bool
}

func (endedSource *endedSource) Encode(id describer.JobID) ([]byte, int64, bool, error) {
	record, generation, _, err := endedSource.countingSource.Encode(id)
	endedSource.mutex.Lock()
	defer endedSource.mutex.Unlock()
	if endedSource.expired {
		record = nil
	}
	return record, generation, true, err
}

// TestReusedID guards against a cancellation or a description that stays in the store for good since its ID was that of an
// earlier job, the removal of whose record was not answered. A description without a record would be run by the next leader.
func TestReusedID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const id = "a"
		store := newFaultyStore()
		source := &endedSource{
			countingSource: countingSource{
				dirty:   map[describer.JobID]bool{},
				changes: map[describer.JobID]int64{},
				stored:  map[describer.JobID]int64{},
			},
		}
		persister := New(store, source, leadership)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() {
			// The test ends it.
			_ = persister.Run(ctx)
		}()
		change := func() {
			source.change(id)
			persister.Wake()
			time.Sleep(time.Second)
		}
		expire := func(expired bool) {
			source.mutex.Lock()
			defer source.mutex.Unlock()
			source.expired = expired
		}
		change()
		expire(true)
		// The record is removed, and its ID used again before the removal is repeated.
		store.mutex.Lock()
		store.outcomes = []commitOutcome{answerLost}
		store.mutex.Unlock()
		source.change(id)
		persister.Wake()
		for {
			time.Sleep(time.Millisecond)
			store.mutex.Lock()
			_, found := store.values[RecordPrefix+id]
			if !found {
				store.values[CancelPrefix+id] = describer.Item{
					Key:      CancelPrefix + id,
					Revision: store.revision,
				}
			}
			store.mutex.Unlock()
			if !found {
				break
			}
		}
		expire(false)
		change()
		store.mutex.Lock()
		defer store.mutex.Unlock()
		if _, found := store.values[RecordPrefix+id]; !found {
			t.Error("record is not stored")
		}
		if _, found := store.values[CancelPrefix+id]; found {
			t.Error("cancellation is still in the store")
		}
		cancel()
		synctest.Wait()
	})
}
