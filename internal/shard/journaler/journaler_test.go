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

// fault is a failure that the fake store injects into a write.
type fault int

const (
	faultNone fault = iota
	faultUnavailable
	faultResponseLost
	faultRequestLost
	// faultDelayed applies the write later, when applyDelayed is called.
	faultDelayed
)

// fakeStore is an in-memory store. nextFault selects the fault of each write.
type fakeStore struct {
	entries     map[string]storer.Entry
	versions    map[string]storer.Version
	delayed     []func()
	nextFault   func() fault
	unavailable bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		entries:   map[string]storer.Entry{},
		versions:  map[string]storer.Version{},
		nextFault: func() fault { return faultNone },
	}
}

func (fakeStore *fakeStore) Get(_ context.Context, key string) (storer.Entry, error) {
	if fakeStore.unavailable {
		return storer.Entry{}, storer.ErrUnavailable
	}
	entry, ok := fakeStore.entries[key]
	if !ok {
		return entry, storer.ErrNotFound
	}
	return entry, nil
}

func (fakeStore *fakeStore) Put(_ context.Context, key string, value []byte, expect storer.Version, _ storer.LeaseID) (storer.Version, error) {
	if fakeStore.unavailable {
		return 0, storer.ErrUnavailable
	}
	if len(value) > storer.MaxValueBytes {
		return 0, storer.ErrTooLarge
	}
	value = slices.Clone(value)
	switch fakeStore.nextFault() {
	case faultUnavailable:
		return 0, storer.ErrUnavailable
	case faultResponseLost:
		_, _ = fakeStore.put(key, value, expect)
		return 0, storer.ErrUncertain
	case faultRequestLost:
		return 0, storer.ErrUncertain
	case faultDelayed:
		fakeStore.delayed = append(fakeStore.delayed, func() { _, _ = fakeStore.put(key, value, expect) })
		return 0, storer.ErrUncertain
	}
	return fakeStore.put(key, value, expect)
}

func (fakeStore *fakeStore) put(key string, value []byte, expect storer.Version) (storer.Version, error) {
	if fakeStore.entries[key].Version != expect {
		return 0, storer.ErrConflict
	}
	fakeStore.versions[key]++
	fakeStore.entries[key] = storer.Entry{
		Key:     key,
		Value:   value,
		Version: fakeStore.versions[key],
	}
	return fakeStore.versions[key], nil
}

// applyDelayed applies all delayed writes.
func (fakeStore *fakeStore) applyDelayed() {
	for _, write := range fakeStore.delayed {
		write()
	}
	fakeStore.delayed = nil
}

func (fakeStore *fakeStore) Delete(_ context.Context, key string, expect storer.Version) error {
	if fakeStore.entries[key].Version != expect {
		return storer.ErrConflict
	}
	fakeStore.versions[key]++
	delete(fakeStore.entries, key)
	return nil
}

func (fakeStore *fakeStore) Watch(context.Context, string, storer.Version) (storer.Entry, error) {
	return storer.Entry{}, storer.ErrUnavailable
}

func (fakeStore *fakeStore) Grant(context.Context, time.Duration) (storer.LeaseID, error) {
	return 1, nil
}
func (fakeStore *fakeStore) Renew(context.Context, storer.LeaseID) error  { return nil }
func (fakeStore *fakeStore) Revoke(context.Context, storer.LeaseID) error { return nil }

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

const testRingSize = 40

func open(store storer.Store, owner string) (*Journal, []*recordpb.Record, error) {
	return Open(context.Background(), Options{
		Store:    store,
		Shard:    "hof-0",
		Owner:    owner,
		RingSize: testRingSize,
		// Small enough that the snapshots of these tests have several chunks.
		ChunkBytes: 32,
	})
}

// owner is one of the competing owners and the state that the model expects it to have.
type owner struct {
	journal *Journal
	// state lists the records that this owner knows to be durable, in order.
	state []string
	// appending is the batch whose outcome is unknown.
	appending []string
	// acknowledgedBefore is the number of records acknowledged before the append began.
	acknowledgedBefore int
	stopped            bool
}

// acknowledgedRecord is an acknowledged record and the number of records acknowledged before its append began.
type acknowledgedRecord struct {
	name               string
	acknowledgedBefore int
}

func (owner *owner) applyResult(written int, err error) (acknowledged []acknowledgedRecord) {
	if err == nil {
		for _, name := range owner.appending[:written] {
			owner.state = append(owner.state, name)
			acknowledged = append(acknowledged, acknowledgedRecord{
				name:               name,
				acknowledgedBefore: owner.acknowledgedBefore,
			})
		}
	}
	if !errors.Is(err, ErrUncertain) {
		owner.appending = nil
	}
	owner.stopped = owner.stopped || errors.Is(err, ErrFenced)
	return acknowledged
}

// TestCompetingOwners guards against an acknowledged record that is lost or reordered and against an append
// by a previous owner after the fence of a newer one. Owners compete while writes fail, are lost or take
// effect late, and while rings fill up and snapshots are written.
func TestCompetingOwners(t *testing.T) {
	ctx := context.Background()
	rapid.Check(t, func(t *rapid.T) {
		store := newFakeStore()
		store.nextFault = func() fault {
			return rapid.SampledFrom([]fault{
				faultNone, faultNone, faultNone, faultNone, faultUnavailable, faultResponseLost, faultRequestLost, faultDelayed,
			}).Draw(t, "fault")
		}
		var acknowledged []acknowledgedRecord
		var owners []*owner
		newest := -1
		takeOver := func() {
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
				takeOver()
				continue
			}
			index := rapid.IntRange(max(0, newest-1), newest).Draw(t, "owner")
			owner := owners[index]
			var got []acknowledgedRecord
			switch rapid.SampledFrom([]string{"append", "append", "append", "snapshot", "late"}).Draw(t, "step") {
			case "append":
				got = appendOrResolve(ctx, owner, len(acknowledged), fmt.Sprintf("%d-%d", index, step))
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
				store.applyDelayed()
			}
			// A write that succeeded before the fence may be confirmed after it.
			if len(got) > 0 && index < newest && !slices.Contains(owners[newest].state, got[0].name) {
				t.Fatalf("owner %d appended %v after owner %d wrote its fence", index, got, newest)
			}
			acknowledged = append(acknowledged, got...)
		}
		store.applyDelayed()
		store.nextFault = func() fault { return faultNone }
		takeOver()
		loaded := owners[newest].state
		checkOrder(t, acknowledged, loaded)
		sorted := slices.Clone(loaded)
		slices.Sort(sorted)
		if len(slices.Compact(sorted)) != len(loaded) {
			t.Fatalf("a record was loaded twice: %v", loaded)
		}
	})
}

func appendOrResolve(ctx context.Context, owner *owner, acknowledgedBefore int, name string) []acknowledgedRecord {
	if owner.stopped {
		return nil
	}
	if owner.appending != nil {
		return owner.applyResult(owner.journal.ResolveAppend(ctx))
	}
	owner.acknowledgedBefore = acknowledgedBefore
	owner.appending = []string{name + "a", name + "b"}
	return owner.applyResult(owner.journal.Append(ctx, []*recordpb.Record{
		record(owner.appending[0]),
		record(owner.appending[1]),
	}))
}

// checkOrder fails unless all acknowledged records are loaded, each after the records that had been
// acknowledged before its append began.
func checkOrder(t *rapid.T, acknowledged []acknowledgedRecord, loaded []string) {
	lastIndex := make([]int, len(acknowledged)+1)
	lastIndex[0] = -1
	for i, expected := range acknowledged {
		index := slices.Index(loaded, expected.name)
		if index <= lastIndex[expected.acknowledgedBefore] {
			t.Fatalf("%v is lost or out of order in %v", expected, loaded)
		}
		lastIndex[i+1] = max(lastIndex[i], index)
	}
}

// TestLimits guards against values above the store's limit and against a ring that overwrites records
// that no snapshot contains.
func TestLimits(t *testing.T) {
	ctx := context.Background()
	store := newFakeStore()
	journal, _, err := open(store, "a")
	if err != nil {
		t.Fatal(err)
	}
	bigName := strings.Repeat("x", 200<<10)
	records := []*recordpb.Record{record(bigName), record(bigName), record(bigName), record(bigName), record(bigName)}
	written, err := journal.Append(ctx, records)
	if err != nil || written != 2 {
		t.Fatalf("appended %d records of 200 KB (%v), want 2", written, err)
	}
	for range testRingSize {
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
	// Owners that fail one after another use up the slots reserved for fences.
	for range 2 * testRingSize {
		_, loaded, err := open(store, "b")
		if err != nil || len(names(loaded)) != 6 {
			t.Fatalf("loaded %d records (%v), want 6", len(names(loaded)), err)
		}
	}
	chunks := 0
	for key, entry := range store.entries {
		if len(entry.Value) > maxValueBytes {
			t.Errorf("%s has %d bytes", key, len(entry.Value))
		}
		if strings.Contains(key, "/snapshot/") {
			chunks++
		}
	}
	if chunks != 3 {
		t.Errorf("store has %d chunks, want the 3 of the last snapshot", chunks)
	}
}

// TestOutage guards against an owner that mistakes a store outage for fencing or for a successful write.
func TestOutage(t *testing.T) {
	ctx := context.Background()
	store := newFakeStore()
	journal, _, err := open(store, "a")
	if err != nil {
		t.Fatal(err)
	}
	store.unavailable = true
	if _, err := journal.Append(ctx, []*recordpb.Record{record("one")}); !errors.Is(err, ErrUnavailable) {
		t.Fatalf("append during an outage: %v", err)
	}
	if _, _, err := open(store, "b"); !errors.Is(err, ErrUnavailable) {
		t.Fatalf("open during an outage: %v", err)
	}
	store.unavailable = false
	store.nextFault = func() fault {
		store.unavailable = true
		return faultResponseLost
	}
	if _, err := journal.Append(ctx, []*recordpb.Record{record("two")}); !errors.Is(err, ErrUncertain) {
		t.Fatalf("append with a lost response and an outage: %v", err)
	}
	store.unavailable = false
	store.nextFault = func() fault { return faultNone }
	if written, err := journal.ResolveAppend(ctx); err != nil || written != 1 {
		t.Fatalf("resolve: %d, %v", written, err)
	}
	if _, loaded, err := open(store, "b"); err != nil || !slices.Equal(names(loaded), []string{"two"}) {
		t.Fatalf("loaded %v, %v", names(loaded), err)
	}
}

// TestUnchangedChunks guards against a snapshot that rewrites the whole state when little of it has
// changed, and against one that loses a chunk of the previous snapshot.
func TestUnchangedChunks(t *testing.T) {
	ctx := context.Background()
	store := newFakeStore()
	writes := 0
	store.nextFault = func() fault {
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
			// Remove the oldest record, change one in the middle and append two.
			records = slices.Clone(records[1:])
			records[len(records)/2] = record("changed")
			records = append(records, record(fmt.Sprint("new", len(records))))
			records = append(records, record(fmt.Sprint("newer", len(records))))
		}
	}
}
