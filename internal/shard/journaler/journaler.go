// Package journaler stores the write-ahead log of one shard in the key-value store: a ring of log
// slots written by compare-and-swap, a snapshot split into chunks, and a head that holds the epoch
// and the list of chunks.
//
// An owner that opens the journal raises the epoch and writes a fence record into the next slot.
// A previous owner has not seen that version of the slot, so its next append fails.
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

// Errors returned by Open and by the methods of Journal.
var (
	// ErrFenced means that another owner has written to the journal. The caller must stop.
	ErrFenced = errors.New("journal: fenced by another owner")
	// ErrUnavailable means that the store did not complete the call, which may be retried. An append
	// that returns it wrote nothing.
	ErrUnavailable = errors.New("journal: unavailable")
	// ErrUncertain means that the records may have been written. ResolveAppend determines the outcome.
	ErrUncertain = errors.New("journal: outcome of the last append is unknown")
	// ErrFull means that no log slot is free until a snapshot is written.
	ErrFull = errors.New("journal: log is full")
	// ErrCorrupt means that a value in the store cannot be decoded or is missing.
	ErrCorrupt = errors.New("journal: corrupt value")
)

const (
	// DefaultRingSize holds 51 s of flushes at the maximum rate of 20/s before the ring wraps.
	DefaultRingSize = 1024
	// fenceReserveSlots is the number of slots that Append leaves free for the fence records of owners
	// that fail before their first snapshot.
	fenceReserveSlots = 16
	// maxValueBytes is half of the store's limit, because a retry sends the whole value again.
	maxValueBytes = 512 << 10
	// maxConcurrentReads bounds the parallel reads of slots and chunks in Open.
	maxConcurrentReads = 16
)

// Options configures a Journal.
type Options struct {
	Store storer.Store
	Shard descriptor.ShardID
	// Owner is the ID of the instance. It is written to the fence record for operators.
	Owner string
	// RingSize is the number of log slots; 0 means DefaultRingSize. All owners of a shard must use
	// the same value.
	RingSize uint64
	// ChunkBytes is the approximate size of a snapshot chunk; 0 means 64 KB.
	ChunkBytes int
	// NewID returns a unique batch ID; nil means random IDs.
	NewID func() string
}

// Journal is an open journal. One goroutine may append while another writes a snapshot.
type Journal struct {
	options Options
	epoch   uint64

	// next is the sequence number of the next batch. slots holds the last known version of each slot.
	next  uint64
	slots []slot
	// pending is the batch being written, or one whose write has an unknown outcome.
	pending *pendingBatch

	mutex       sync.Mutex
	head        *recordpb.Head
	headVersion storer.Version

	// The remaining fields are used only by the goroutine that writes snapshots.
	// headUncertain means that a write of the head has an unknown outcome.
	headUncertain    bool
	snapshotAttempts uint64
	// unusedChunks lists keys of chunks to delete unless the head refers to them. orphanPrefix is a key
	// prefix under which all chunks that the head does not refer to are to be deleted.
	unusedChunks []string
	orphanPrefix string
	// chunkVersions holds the store versions of the chunks that this owner wrote.
	chunkVersions map[string]storer.Version
}

// slot is the store version of a log slot, if this owner knows it.
type slot struct {
	version      storer.Version
	versionKnown bool
}

// pendingBatch is a batch and its encoded value.
type pendingBatch struct {
	batch *recordpb.Batch
	value []byte
}

// Epoch returns the epoch of this owner.
func (journal *Journal) Epoch() uint64 {
	return journal.epoch
}

// Sequence returns the sequence number of the last batch. Only the appending goroutine may call it.
func (journal *Journal) Sequence() uint64 {
	return journal.next - 1
}

// LogUsage returns the fraction of the ring that a snapshot would free, between 0 and 1.
// Only the appending goroutine may call it.
func (journal *Journal) LogUsage() float64 {
	return float64(journal.next-1-journal.snapshotSequence()) / float64(journal.options.RingSize)
}

func (journal *Journal) snapshotSequence() uint64 {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	return journal.head.GetSnapshotSequence()
}

// Append writes the leading records that fit into one batch and returns their number.
// After ErrUncertain the journal keeps the batch, and ResolveAppend must be called before the next Append.
func (journal *Journal) Append(ctx context.Context, records []*recordpb.Record) (int, error) {
	if journal.pending != nil {
		return 0, ErrUncertain
	}
	if len(records) == 0 {
		return 0, nil
	}
	if journal.next-journal.snapshotSequence() > journal.options.RingSize-fenceReserveSlots {
		return 0, ErrFull
	}
	return journal.writeBatch(ctx, records)
}

// ResolveAppend completes an append with an unknown outcome: it writes the batch unless the store already
// has it, and returns the number of its records.
func (journal *Journal) ResolveAppend(ctx context.Context) (int, error) {
	if journal.pending == nil {
		return 0, nil
	}
	return journal.confirmPending(ctx)
}

func (journal *Journal) writeBatch(ctx context.Context, records []*recordpb.Record) (int, error) {
	if err := journal.readSlotVersion(ctx); err != nil {
		return 0, err
	}
	batch := &recordpb.Batch{
		Sequence: journal.next,
		Epoch:    journal.epoch,
		Id:       journal.options.NewID(),
		Records:  records[:countFitting(records)],
	}
	value, err := proto.Marshal(batch)
	if err != nil {
		return 0, errors.Wrap(err, "journal: encode batch")
	}
	journal.pending = &pendingBatch{
		batch: batch,
		value: value,
	}
	written, err := journal.putPending(ctx)
	if errors.Is(err, ErrUnavailable) {
		journal.pending = nil
	}
	return written, err
}

// readSlotVersion reads the store version of the next slot unless this owner already knows it.
func (journal *Journal) readSlotVersion(ctx context.Context) error {
	slot := journal.slot(journal.next)
	if slot.versionKnown {
		return nil
	}
	batch, version, err := journal.readSlot(ctx, journal.next)
	if err != nil {
		return err
	}
	if batch.GetSequence() >= journal.next {
		return ErrFenced
	}
	slot.version, slot.versionKnown = version, true
	return nil
}

// putPending writes the pending batch. ErrUnavailable means that the write had no effect.
func (journal *Journal) putPending(ctx context.Context) (int, error) {
	pending := journal.pending
	slot := journal.slot(journal.next)
	version, err := journal.options.Store.Put(ctx, journal.slotKey(journal.next), pending.value, slot.version, 0)
	switch {
	case err == nil:
		return journal.finishPending(version), nil
	case errors.Is(err, storer.ErrUnavailable):
		return 0, ErrUnavailable
	case errors.Is(err, storer.ErrTooLarge):
		return 0, errors.Wrap(err, "journal: append")
	default:
		// A conflict may be caused by an earlier attempt of the same write.
		return journal.confirmPending(ctx)
	}
}

// confirmPending reads the slot back and compares batch IDs to find out whether the write took effect.
// If the slot still has its old version, it repeats the write: compare-and-swap lets at most one
// attempt succeed.
func (journal *Journal) confirmPending(ctx context.Context) (int, error) {
	pending := journal.pending
	slot := journal.slot(journal.next)
	batch, version, err := journal.readSlot(ctx, journal.next)
	if errors.Is(err, ErrUnavailable) {
		return 0, ErrUncertain
	}
	if err != nil {
		return 0, err
	}
	if batch.GetId() == pending.batch.Id {
		return journal.finishPending(version), nil
	}
	if version != slot.version {
		return 0, ErrFenced
	}
	version, err = journal.options.Store.Put(ctx, journal.slotKey(journal.next), pending.value, slot.version, 0)
	if err == nil {
		return journal.finishPending(version), nil
	}
	return 0, ErrUncertain
}

// finishPending records that the pending batch is durable and returns the number of its records.
func (journal *Journal) finishPending(version storer.Version) int {
	written := len(journal.pending.batch.Records)
	slot := journal.slot(journal.next)
	slot.version, slot.versionKnown = version, true
	journal.pending = nil
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

// readSlot returns the batch in the slot of a sequence number. It is empty if the slot is, and it may
// be an older batch.
func (journal *Journal) readSlot(ctx context.Context, sequence uint64) (*recordpb.Batch, storer.Version, error) {
	batch := &recordpb.Batch{}
	version, err := journal.readMessage(ctx, journal.slotKey(sequence), batch)
	return batch, version, err
}

// readMessage decodes the value of key into message. For an absent key it returns version 0 and leaves
// message unchanged.
func (journal *Journal) readMessage(ctx context.Context, key string, message proto.Message) (storer.Version, error) {
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

// countFitting returns how many of the leading records fit into one value, at least 1. It allows 8 bytes
// for the tag and length of each record and 1024 bytes for the other fields of the batch.
func countFitting(records []*recordpb.Record) int {
	size := 0
	for i, record := range records {
		size += proto.Size(record) + 8
		if size > maxValueBytes-1024 && i > 0 {
			return i
		}
	}
	return len(records)
}

func randomID() string {
	return rand.Text()
}
