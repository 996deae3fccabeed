// Package journaler keeps the journal of one shard in the store: a ring of log slots written by
// compare-and-swap, a snapshot in chunks, and a head that names the epoch and the snapshot.
//
// The owner of the newest epoch writes a fence record into the next slot when it opens the
// journal. An older owner never saw that version of the slot, so its next append fails.
package journaler

import (
	"context"
	"crypto/rand"
	"fmt"
	"sync"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"pomelomoor/internal/gateway/storer"
	"pomelomoor/internal/shard/recordpb"
	"pomelomoor/internal/work/descriptor"
)

// Errors of the journal.
var (
	// ErrFenced means that another owner wrote the journal. This one has to stop.
	ErrFenced = errors.New("journal: fenced by another owner")
	// ErrUnavailable means that the call wrote nothing and may be repeated.
	ErrUnavailable = errors.New("journal: unavailable")
	// ErrUndecided means that records may have been written. Settle finds out.
	ErrUndecided = errors.New("journal: outcome of the last append is not known yet")
	// ErrFull means that the log has no room until a snapshot is written.
	ErrFull = errors.New("journal: log is full")
	// ErrCorrupt means that a value in the store can't be read.
	ErrCorrupt = errors.New("journal: corrupt value")
)

const (
	// DefaultRingSize gives 51 s of flushes at the full rate of 20/s before the ring wraps.
	DefaultRingSize = 1024
	// fenceReserve keeps slots for the fences of owners that die before their first snapshot.
	fenceReserve = 16
	// maxValue is half of what the store accepts, because a retry repeats the whole value.
	maxValue = 512 << 10
	// loadWindow is the number of slots read at once when the journal is opened.
	loadWindow = 16
)

// Options describe a journal.
type Options struct {
	Store storer.Store
	Shard descriptor.ShardID
	// Owner is the instance's name, kept in the fence record for operators.
	Owner string
	// RingSize is the number of log slots; 0 means DefaultRingSize. All owners need the same.
	RingSize uint64
	// ChunkBytes is about the size of a snapshot's chunks; 0 means 64 KB.
	ChunkBytes int
	// NewID returns a unique batch ID; nil means a random one.
	NewID func() string
}

// Journal is an open journal. One goroutine may append while another one writes a snapshot.
type Journal struct {
	options Options
	epoch   uint64

	// next is the sequence of the next batch, and slots the last seen state of each slot.
	next  uint64
	slots []slot
	// undecided is a batch whose write was not answered.
	undecided *pendingBatch

	mutex       sync.Mutex
	head        *recordpb.Head
	headVersion storer.Version

	// The rest belongs to the snapshotting goroutine.
	// headUnsure means that a write of the head was not answered.
	headUnsure bool
	snapshots  uint64
	// unused lists chunks to delete unless the head names them, and orphans a prefix whose other chunks
	// are to be deleted.
	unused  []string
	orphans string
	// versions holds those of the chunks that this owner wrote.
	versions map[string]storer.Version
}

type slot struct {
	version storer.Version
	known   bool
}

type pendingBatch struct {
	batch *recordpb.Batch
	value []byte
}

// Epoch returns the owner's epoch.
func (journal *Journal) Epoch() uint64 {
	return journal.epoch
}

// Sequence returns the sequence of the last batch. Only the appending goroutine may call it.
func (journal *Journal) Sequence() uint64 {
	return journal.next - 1
}

// Used returns the part of the ring that a snapshot would free, between 0 and 1.
// Only the appending goroutine may call it.
func (journal *Journal) Used() float64 {
	return float64(journal.next-1-journal.snapshotSequence()) / float64(journal.options.RingSize)
}

func (journal *Journal) snapshotSequence() uint64 {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	return journal.head.GetSnapshotSequence()
}

// Append writes as many of the records as fit into one batch and returns their number.
// After ErrUndecided the journal keeps the batch, and Settle has to be called before the next
// Append.
func (journal *Journal) Append(ctx context.Context, records []*recordpb.Record) (int, error) {
	if journal.undecided != nil {
		return 0, ErrUndecided
	}
	if len(records) == 0 {
		return 0, nil
	}
	if journal.next-journal.snapshotSequence() > journal.options.RingSize-fenceReserve {
		return 0, ErrFull
	}
	return journal.write(ctx, records)
}

// Settle finishes an undecided append by writing its batch unless it is there already, and
// returns the number of its records.
func (journal *Journal) Settle(ctx context.Context) (int, error) {
	if journal.undecided == nil {
		return 0, nil
	}
	return journal.confirm(ctx)
}

func (journal *Journal) write(ctx context.Context, records []*recordpb.Record) (int, error) {
	if err := journal.learnSlot(ctx); err != nil {
		return 0, err
	}
	batch := &recordpb.Batch{
		Sequence: journal.next,
		Epoch:    journal.epoch,
		Id:       journal.options.NewID(),
		Records:  records[:fitting(records)],
	}
	value, err := proto.Marshal(batch)
	if err != nil {
		return 0, errors.Wrap(err, "journal: encode batch")
	}
	journal.undecided = &pendingBatch{
		batch: batch,
		value: value,
	}
	written, err := journal.put(ctx)
	if errors.Is(err, ErrUnavailable) {
		journal.undecided = nil
	}
	return written, err
}

// learnSlot reads the version of the next slot when this owner has not seen it yet.
func (journal *Journal) learnSlot(ctx context.Context) error {
	slot := journal.slot(journal.next)
	if slot.known {
		return nil
	}
	batch, version, err := journal.readSlot(ctx, journal.next)
	if err != nil {
		return err
	}
	if batch.GetSequence() >= journal.next {
		return ErrFenced
	}
	slot.version, slot.known = version, true
	return nil
}

// put writes the undecided batch once. ErrUnavailable means that this attempt had no effect.
func (journal *Journal) put(ctx context.Context) (int, error) {
	pending := journal.undecided
	slot := journal.slot(journal.next)
	version, err := journal.options.Store.Put(ctx, journal.slotKey(journal.next), pending.value, slot.version, 0)
	switch {
	case err == nil:
		return journal.accept(version), nil
	case errors.Is(err, storer.ErrUnavailable):
		return 0, ErrUnavailable
	case errors.Is(err, storer.ErrTooLarge):
		return 0, errors.Wrap(err, "journal: append")
	default:
		// A conflict may come from an earlier attempt of this very write.
		return journal.confirm(ctx)
	}
}

// confirm reads the slot back. The batch ID tells whether this owner's write took effect.
// While the slot still has its old version, the write is repeated: at most one attempt can win.
func (journal *Journal) confirm(ctx context.Context) (int, error) {
	pending := journal.undecided
	slot := journal.slot(journal.next)
	batch, version, err := journal.readSlot(ctx, journal.next)
	if errors.Is(err, ErrUnavailable) {
		return 0, ErrUndecided
	}
	if err != nil {
		return 0, err
	}
	if batch.GetId() == pending.batch.Id {
		return journal.accept(version), nil
	}
	if version != slot.version {
		return 0, ErrFenced
	}
	version, err = journal.options.Store.Put(ctx, journal.slotKey(journal.next), pending.value, slot.version, 0)
	if err == nil {
		return journal.accept(version), nil
	}
	return 0, ErrUndecided
}

func (journal *Journal) accept(version storer.Version) int {
	written := len(journal.undecided.batch.Records)
	slot := journal.slot(journal.next)
	slot.version, slot.known = version, true
	journal.undecided = nil
	journal.next++
	return written
}

func (journal *Journal) slot(sequence uint64) *slot {
	return &journal.slots[sequence%journal.options.RingSize]
}

func (journal *Journal) slotKey(sequence uint64) string {
	return fmt.Sprintf("shards/%s/log/%d", journal.options.Shard, sequence%journal.options.RingSize)
}

func (journal *Journal) headKey() string {
	return fmt.Sprintf("shards/%s/head", journal.options.Shard)
}

// readSlot returns the batch in the slot of sequence, which may be an older one or absent.
func (journal *Journal) readSlot(ctx context.Context, sequence uint64) (*recordpb.Batch, storer.Version, error) {
	batch := &recordpb.Batch{}
	version, err := journal.read(ctx, journal.slotKey(sequence), batch)
	return batch, version, err
}

// read decodes the value of key into message. An absent key has version 0.
func (journal *Journal) read(ctx context.Context, key string, message proto.Message) (storer.Version, error) {
	entry, err := journal.options.Store.Get(ctx, key)
	if errors.Is(err, storer.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, ErrUnavailable
	}
	if err := proto.Unmarshal(entry.Value, message); err != nil {
		return 0, errors.Wrapf(ErrCorrupt, "%s: %v", key, err)
	}
	return entry.Version, nil
}

// fitting returns how many of the records fit into one value, at least 1.
func fitting(records []*recordpb.Record) int {
	size := 0
	for i, record := range records {
		size += proto.Size(record) + 8
		if size > maxValue-1024 && i > 0 {
			return i
		}
	}
	return len(records)
}

func randomID() string {
	return rand.Text()
}
