package journaler

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"pomelomoor/internal/gateway/storer"
	"pomelomoor/internal/shard/recordpb"
)

// fault is what the fake store does to one write.
type fault int

const (
	faultNone fault = iota
	faultDown
	faultAnswerLost
	faultRequestLost
	// faultLate lets the write take effect just before a later call.
	faultLate
)

// fakeStore is a store in memory whose writes suffer the faults that next returns.
type fakeStore struct {
	entries  map[string]storer.Entry
	versions map[string]storer.Version
	late     []func()
	next     func() fault
	down     bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		entries:  map[string]storer.Entry{},
		versions: map[string]storer.Version{},
		next:     func() fault { return faultNone },
	}
}

func (store *fakeStore) Get(_ context.Context, key string) (storer.Entry, error) {
	if store.down {
		return storer.Entry{}, storer.ErrUnavailable
	}
	entry, ok := store.entries[key]
	if !ok {
		return entry, storer.ErrNotFound
	}
	return entry, nil
}

func (store *fakeStore) Put(_ context.Context, key string, value []byte, expect storer.Version, _ storer.LeaseID) (storer.Version, error) {
	if store.down {
		return 0, storer.ErrUnavailable
	}
	if len(value) > storer.MaxValue {
		return 0, storer.ErrTooLarge
	}
	value = slices.Clone(value)
	switch store.next() {
	case faultDown:
		return 0, storer.ErrUnavailable
	case faultAnswerLost:
		_, _ = store.put(key, value, expect)
		return 0, storer.ErrUncertain
	case faultRequestLost:
		return 0, storer.ErrUncertain
	case faultLate:
		store.late = append(store.late, func() { _, _ = store.put(key, value, expect) })
		return 0, storer.ErrUncertain
	}
	return store.put(key, value, expect)
}

func (store *fakeStore) put(key string, value []byte, expect storer.Version) (storer.Version, error) {
	if store.entries[key].Version != expect {
		return 0, storer.ErrConflict
	}
	store.versions[key]++
	store.entries[key] = storer.Entry{
		Key:     key,
		Value:   value,
		Version: store.versions[key],
	}
	return store.versions[key], nil
}

// deliver lets all delayed writes take effect.
func (store *fakeStore) deliver() {
	for _, write := range store.late {
		write()
	}
	store.late = nil
}

func (store *fakeStore) Delete(_ context.Context, key string, expect storer.Version) error {
	if store.entries[key].Version != expect {
		return storer.ErrConflict
	}
	store.versions[key]++
	delete(store.entries, key)
	return nil
}

func (store *fakeStore) Watch(context.Context, string, storer.Version) (storer.Entry, error) {
	return storer.Entry{}, storer.ErrUnavailable
}
func (store *fakeStore) Grant(context.Context, time.Duration) (storer.LeaseID, error) { return 1, nil }
func (store *fakeStore) Renew(context.Context, storer.LeaseID) error                  { return nil }
func (store *fakeStore) Revoke(context.Context, storer.LeaseID) error                 { return nil }

func record(name string) *recordpb.Record {
	return &recordpb.Record{
		Change: &recordpb.Record_JobForgotten{
			JobForgotten: &recordpb.JobForgotten{
				Job: name,
			},
		},
	}
}

func names(records []*recordpb.Record) []string {
	var names []string
	for _, record := range records {
		if forgotten := record.GetJobForgotten(); forgotten != nil {
			names = append(names, forgotten.Job)
		}
	}
	return names
}

const testRing = 40

func open(store storer.Store, owner string) (*Journal, []*recordpb.Record, error) {
	return Open(context.Background(), Options{
		Store:    store,
		Shard:    "hof-0",
		Owner:    owner,
		RingSize: testRing,
		// A snapshot of the few records of these tests has several chunks.
		ChunkBytes: 32,
	})
}

// owner is one contender and what the model knows of it.
type owner struct {
	journal *Journal
	// state is what this owner believes to be durable, in order.
	state []string
	// appending is the batch that has no answer yet.
	appending []string
	// before is the number of records that had been acknowledged when appending began.
	before  int
	stopped bool
}

// answer is an acknowledged record and the number of those acknowledged before it was appended.
type answer struct {
	name   string
	before int
}

func (owner *owner) finish(written int, err error) (acknowledged []answer) {
	if err == nil {
		for _, name := range owner.appending[:written] {
			owner.state = append(owner.state, name)
			acknowledged = append(acknowledged, answer{
				name:   name,
				before: owner.before,
			})
		}
	}
	if !errors.Is(err, ErrUndecided) {
		owner.appending = nil
	}
	owner.stopped = owner.stopped || errors.Is(err, ErrFenced)
	return acknowledged
}

// Guards against a lost or reordered acknowledged record and against an append of an older owner
// after the fence of a newer one, with lost, late and failed writes, full rings and snapshots.
func TestCompetingOwners(t *testing.T) {
	ctx := context.Background()
	rapid.Check(t, func(t *rapid.T) {
		store := newFakeStore()
		store.next = func() fault {
			return rapid.SampledFrom([]fault{
				faultNone, faultNone, faultNone, faultNone, faultDown, faultAnswerLost, faultRequestLost, faultLate,
			}).Draw(t, "fault")
		}
		var acknowledged []answer
		var owners []*owner
		newest := -1
		take := func() {
			journal, records, err := open(store, fmt.Sprint(len(owners)))
			if err != nil {
				return
			}
			owners = append(owners, &owner{
				journal: journal,
				state:   names(records),
			})
			newest = len(owners) - 1
			checkOrder(t, acknowledged, owners[newest].state)
		}
		for step := range rapid.IntRange(10, 120).Draw(t, "steps") {
			if len(owners) == 0 || rapid.IntRange(0, 14).Draw(t, "takeover") == 0 {
				take()
				continue
			}
			index := rapid.IntRange(max(0, newest-1), newest).Draw(t, "owner")
			owner := owners[index]
			var got []answer
			switch rapid.SampledFrom([]string{"append", "append", "append", "snapshot", "late"}).Draw(t, "step") {
			case "append":
				got = advance(ctx, owner, len(acknowledged), fmt.Sprintf("%d-%d", index, step))
			case "snapshot":
				if !owner.stopped && owner.appending == nil {
					snapshot := make([]*recordpb.Record, 0, len(owner.state))
					for _, name := range owner.state {
						snapshot = append(snapshot, record(name))
					}
					err := owner.journal.Snapshot(ctx, owner.journal.Sequence(), snapshot)
					owner.stopped = owner.stopped || errors.Is(err, ErrFenced)
				}
			case "late":
				store.deliver()
			}
			// An answer that was lost before the fence may be learned after it.
			if len(got) > 0 && index < newest && !slices.Contains(owners[newest].state, got[0].name) {
				t.Fatalf("owner %d appended %v after the fence of owner %d", index, got, newest)
			}
			acknowledged = append(acknowledged, got...)
		}
		store.deliver()
		store.next = func() fault { return faultNone }
		take()
		loaded := owners[newest].state
		checkOrder(t, acknowledged, loaded)
		sorted := slices.Clone(loaded)
		slices.Sort(sorted)
		if len(slices.Compact(sorted)) != len(loaded) {
			t.Fatalf("a record is there twice: %v", loaded)
		}
	})
}

func advance(ctx context.Context, owner *owner, before int, name string) []answer {
	if owner.stopped {
		return nil
	}
	if owner.appending != nil {
		return owner.finish(owner.journal.Settle(ctx))
	}
	owner.before = before
	owner.appending = []string{name + "a", name + "b"}
	return owner.finish(owner.journal.Append(ctx, []*recordpb.Record{
		record(owner.appending[0]),
		record(owner.appending[1]),
	}))
}

// checkOrder fails unless all acknowledged records are loaded, each after those that had been
// acknowledged before it was appended.
func checkOrder(t *rapid.T, acknowledged []answer, loaded []string) {
	last := make([]int, len(acknowledged)+1)
	last[0] = -1
	for i, answer := range acknowledged {
		at := slices.Index(loaded, answer.name)
		if at <= last[answer.before] {
			t.Fatalf("%v is lost or out of order in %v", answer, loaded)
		}
		last[i+1] = max(last[i], at)
	}
}

// Guards against values above the store's limit and against a ring that wraps over records that
// no snapshot holds.
func TestLimits(t *testing.T) {
	ctx := context.Background()
	store := newFakeStore()
	journal, _, err := open(store, "a")
	if err != nil {
		t.Fatal(err)
	}
	big := strings.Repeat("x", 200<<10)
	records := []*recordpb.Record{record(big), record(big), record(big), record(big), record(big)}
	written, err := journal.Append(ctx, records)
	if err != nil || written != 2 {
		t.Fatalf("appended %d records of 200 KB (%v), want 2", written, err)
	}
	for range testRing {
		if _, err = journal.Append(ctx, records[:1]); err != nil {
			break
		}
	}
	if !errors.Is(err, ErrFull) {
		t.Fatalf("appending to a full ring: %v, want ErrFull", err)
	}
	if err := journal.Snapshot(ctx, journal.Sequence(), records); err != nil {
		t.Fatal(err)
	}
	if written, err := journal.Append(ctx, records[:1]); err != nil || written != 1 {
		t.Fatalf("appending after the snapshot: %d, %v", written, err)
	}
	// Owners that die one after another fill even the slots kept for fences.
	for range 2 * testRing {
		_, loaded, err := open(store, "b")
		if err != nil || len(names(loaded)) != 6 {
			t.Fatalf("loaded %d records (%v), want 6", len(names(loaded)), err)
		}
	}
	chunks := 0
	for key, entry := range store.entries {
		if len(entry.Value) > maxValue {
			t.Errorf("%s has %d bytes", key, len(entry.Value))
		}
		if strings.Contains(key, "/snapshot/") {
			chunks++
		}
	}
	if chunks != 3 {
		t.Errorf("%d chunks are left, want the 3 of the last snapshot", chunks)
	}
}

// Guards against an owner that takes a store outage for a lost epoch or for a written record.
func TestOutage(t *testing.T) {
	ctx := context.Background()
	store := newFakeStore()
	journal, _, err := open(store, "a")
	if err != nil {
		t.Fatal(err)
	}
	store.down = true
	if _, err := journal.Append(ctx, []*recordpb.Record{record("one")}); !errors.Is(err, ErrUnavailable) {
		t.Fatalf("append during an outage: %v", err)
	}
	if _, _, err := open(store, "b"); !errors.Is(err, ErrUnavailable) {
		t.Fatalf("open during an outage: %v", err)
	}
	store.down = false
	store.next = func() fault {
		store.down = true
		return faultAnswerLost
	}
	if _, err := journal.Append(ctx, []*recordpb.Record{record("two")}); !errors.Is(err, ErrUndecided) {
		t.Fatalf("append with a lost answer and an outage: %v", err)
	}
	store.down = false
	store.next = func() fault { return faultNone }
	if written, err := journal.Settle(ctx); err != nil || written != 1 {
		t.Fatalf("settle: %d, %v", written, err)
	}
	if _, loaded, err := open(store, "b"); err != nil || !slices.Equal(names(loaded), []string{"two"}) {
		t.Fatalf("loaded %v, %v", names(loaded), err)
	}
}

// Guards against a snapshot that writes the whole state again when little of it has changed, and against
// one that loses a chunk of the snapshot before.
func TestUnchangedChunks(t *testing.T) {
	ctx := context.Background()
	store := newFakeStore()
	writes := 0
	store.next = func() fault {
		writes++
		return faultNone
	}
	var records []*recordpb.Record
	var written []string
	for i := range 20_000 {
		records = append(records, record(fmt.Sprintf("%06d %s", i, strings.Repeat("x", 100))))
	}
	for owner := range 3 {
		journal, loaded, err := Open(ctx, Options{
			Store: store,
			Shard: "hof-0",
		})
		if err != nil || !slices.Equal(names(loaded), written) {
			t.Fatalf("owner %d: %d records loaded, want %d: %v", owner, len(loaded), len(written), err)
		}
		for range 2 {
			written = names(records)
			writes = 0
			if err := journal.Snapshot(ctx, journal.Sequence(), records); err != nil {
				t.Fatal(err)
			}
			if first := len(records) == 20_000; first && writes < 10 || !first && writes > 6 {
				t.Errorf("owner %d: %d writes for %d records", owner, writes, len(records))
			}
			// The oldest goes, one in the middle changes and another one comes.
			records = slices.Clone(records[1:])
			records[len(records)/2] = record("changed")
			records = append(records, record(fmt.Sprint("new", len(records))))
			records = append(records, record(fmt.Sprint("newer", len(records))))
		}
	}
}
