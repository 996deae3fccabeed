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

// memory is a store whose commits may lose their answers or take effect late.
type memory struct {
	describer.Store

	mutex    sync.Mutex
	revision describer.Revision
	values   map[string]describer.Item
	// outcomes are what becomes of the next commits; later ones are made.
	outcomes []outcome
	late     []describer.Change
	// regressed are the keys that were overwritten by an older value.
	regressed []string
}

type outcome int

const (
	made outcome = iota
	refused
	lost
	delayed
)

func (memory *memory) Commit(_ context.Context, change describer.Change) (describer.Revision, error) {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	next := made
	if len(memory.outcomes) > 0 {
		next = memory.outcomes[0]
		memory.outcomes = memory.outcomes[1:]
	}
	switch next {
	case refused:
		return 0, describer.ErrNotDone
	case delayed:
		memory.late = append(memory.late, change)
		return 0, describer.ErrUncertain
	}
	revision, err := memory.apply(change)
	if next == lost {
		return 0, describer.ErrUncertain
	}
	return revision, err
}

func (memory *memory) apply(change describer.Change) (describer.Revision, error) {
	conflict := &describer.ConflictError{}
	met := true
	for _, expectation := range change.Expect {
		item, found := memory.values[expectation.Key]
		if found {
			conflict.Items = append(conflict.Items, item)
		}
		met = met && item.Revision == expectation.Revision
	}
	if !met {
		return 0, conflict
	}
	memory.revision++
	for _, write := range change.Writes {
		if string(memory.values[write.Key].Value) > string(write.Value) {
			memory.regressed = append(memory.regressed, write.Key)
		}
		memory.values[write.Key] = describer.Item{
			Key:      write.Key,
			Value:    write.Value,
			Revision: memory.revision,
		}
	}
	return memory.revision, nil
}

// counter is a source whose records are the numbers of their changes.
type counter struct {
	mutex   sync.Mutex
	dirty   map[describer.JobID]bool
	changes map[describer.JobID]int64
	durable map[describer.JobID]int64
}

func (counter *counter) change(id describer.JobID) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	counter.changes[id]++
	counter.dirty[id] = true
}

func (counter *counter) Dirty() []describer.JobID {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	return slices.Sorted(maps.Keys(counter.dirty))
}

func (counter *counter) Encode(id describer.JobID) ([]byte, int64, bool, error) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	delete(counter.dirty, id)
	return fmt.Appendf(nil, "%08d", counter.changes[id]), counter.changes[id], false, nil
}

func (counter *counter) Durable(id describer.JobID, generation int64) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	counter.durable[id] = generation
}

func (counter *counter) settled() bool {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	return maps.Equal(counter.changes, counter.durable)
}

func newMemory() *memory {
	return &memory{
		revision: 1,
		values: map[string]describer.Item{
			"leader": {
				Key:      "leader",
				Revision: 1,
			},
		},
	}
}

func newCounter() *counter {
	return &counter{
		dirty:   map[describer.JobID]bool{},
		changes: map[describer.JobID]int64{},
		durable: map[describer.JobID]int64{},
	}
}

var leaderKey = describer.Expectation{
	Key:      "leader",
	Revision: 1,
}

// TestFaultyStore guards against records that are lost, told as durable too early, or overwritten by an
// older write that is carried out late.
func TestFaultyStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, source := newMemory(), newCounter()
		store.outcomes = rapid.SliceOfN(rapid.SampledFrom([]outcome{made, refused, lost, delayed}), 0, 12).Draw(t, "outcomes")
		persister := New(store, source, leaderKey)
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
		for !source.settled() {
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
		for _, change := range store.late {
			// A late commit whose conditions do not hold any more has no effect.
			_, _ = store.apply(change)
		}
		if len(store.regressed) > 0 {
			t.Errorf("overwritten by older records: %v", store.regressed)
		}
		for id, count := range source.changes {
			if got := string(store.values[RecordPrefix+string(id)].Value); got != fmt.Sprintf("%08d", count) {
				t.Errorf("record of %s is %s after %d changes", id, got, count)
			}
		}
	})
}

// TestOtherLeader guards against records that an instance writes after another one has taken over.
func TestOtherLeader(t *testing.T) {
	store, source := newMemory(), newCounter()
	store.values["leader"] = describer.Item{
		Key:      "leader",
		Revision: 2,
	}
	persister := New(store, source, leaderKey)
	source.change("a")
	if err := persister.Run(context.Background()); !errors.Is(err, ErrLost) {
		t.Errorf("persister ended with %v, want %v", err, ErrLost)
	}
	for key := range store.values {
		if strings.HasPrefix(key, RecordPrefix) {
			t.Errorf("%s was written", key)
		}
	}
}

// slow is a store that answers only when it is released.
type slow struct {
	describer.Store

	mutex   sync.Mutex
	open    int
	release chan struct{}
}

func (slow *slow) Commit(context.Context, describer.Change) (describer.Revision, error) {
	slow.mutex.Lock()
	slow.open++
	slow.mutex.Unlock()
	<-slow.release
	return 1, nil
}

// TestSlowStore answers the load of a burst while the store takes 60 times as long to answer: it guards
// against records that wait for the answers of earlier writes although they have nothing to do with them.
func TestSlowStore(t *testing.T) {
	const jobs = 250
	store, source := &slow{release: make(chan struct{})}, newCounter()
	for index := range jobs {
		source.change(describer.JobID(fmt.Sprintf("%04d", index)))
	}
	persister := New(store, source, leaderKey)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		// The persister ends with ctx.
		_ = persister.Run(ctx)
	}()
	deadline := time.Now().Add(20 * time.Second)
	for len(source.Dirty()) > 0 {
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d records wait for earlier writes", len(source.Dirty()), jobs)
		}
		persister.Wake()
	}
	store.mutex.Lock()
	open := store.open
	store.mutex.Unlock()
	if open > mostWrites {
		t.Errorf("%d writes are open, want %d at most", open, mostWrites)
	}
	close(store.release)
	for !source.settled() {
		if time.Now().After(deadline) {
			t.Fatal("records are not durable")
		}
		persister.Wake()
	}
}
