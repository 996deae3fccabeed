package journaler

import (
	"bytes"
	"context"
	"fmt"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"pomelomoor/internal/platform/storer"
	"pomelomoor/internal/shard/recordpb"
)

// Snapshot writes records, which have to rebuild the state after the batch sequence, and frees
// the slots up to it. The state may be appended to meanwhile.
//
// The chunks go to keys that carry the epoch, so that an older owner can't damage them, and
// only the head makes them valid.
func (journal *Journal) Snapshot(ctx context.Context, sequence uint64, records []*recordpb.Record) error {
	if err := journal.refreshHead(ctx); err != nil {
		return err
	}
	journal.mutex.Lock()
	old := proto.CloneOf(journal.head)
	version := journal.headVersion
	journal.mutex.Unlock()
	journal.snapshots++
	head := &recordpb.Head{
		Epoch:            journal.epoch,
		SnapshotSequence: sequence,
		SnapshotPrefix:   journal.snapshotPrefix(journal.epoch, journal.snapshots),
	}
	journal.unused = append(journal.unused, head.SnapshotPrefix)
	for len(records) > 0 {
		count := fitting(records)
		chunk := &recordpb.Chunk{
			Records: records[:count],
		}
		if err := journal.writeChunk(ctx, chunkKey(head.SnapshotPrefix, head.SnapshotChunks), chunk); err != nil {
			return err
		}
		records = records[count:]
		head.SnapshotChunks++
	}
	if err := journal.advance(ctx, head, version); err != nil {
		return err
	}
	journal.unused = append(journal.unused, old.SnapshotPrefix)
	journal.removeUnused(ctx, head.SnapshotPrefix)
	return nil
}

// snapshotPrefix differs for every attempt, because the head of a failed attempt may still reach
// the store late and must not find chunks of another one.
func (journal *Journal) snapshotPrefix(epoch, snapshots uint64) string {
	return fmt.Sprintf("shards/%s/snapshot/%d/%d", journal.options.Shard, epoch, snapshots)
}

// writeChunk repeats a write with a lost answer until it is seen to be there.
func (journal *Journal) writeChunk(ctx context.Context, key string, chunk *recordpb.Chunk) error {
	value, err := proto.Marshal(chunk)
	if err != nil {
		return errors.Wrap(err, "journal: encode chunk")
	}
	var version storer.Version
	for ctx.Err() == nil {
		_, err := journal.options.Store.Put(ctx, key, value, version, 0)
		switch {
		case err == nil:
			return nil
		case !errors.Is(err, storer.ErrConflict) && !errors.Is(err, storer.ErrUncertain):
			return ErrUnavailable
		}
		// The key is this attempt's own, so a conflict can only come from its own lost answer.
		entry, err := journal.options.Store.Get(ctx, key)
		if err != nil && !errors.Is(err, storer.ErrNotFound) {
			return ErrUnavailable
		}
		if err == nil && bytes.Equal(entry.Value, value) {
			return nil
		}
		version = entry.Version
	}
	return ErrUnavailable
}

// advance makes the snapshot valid. Only an owner of a newer epoch can change the head meanwhile.
func (journal *Journal) advance(ctx context.Context, head *recordpb.Head, version storer.Version) error {
	written, err := journal.writeHead(ctx, head, version)
	if err == nil {
		journal.setHead(head, written)
		return nil
	}
	if errors.Is(err, storer.ErrUnavailable) {
		return ErrUnavailable
	}
	journal.headUnsure = true
	if err := journal.refreshHead(ctx); err != nil {
		return err
	}
	if journal.head.SnapshotPrefix != head.SnapshotPrefix {
		return ErrUnavailable
	}
	return nil
}

// refreshHead reads the head again after a write of it was not answered.
func (journal *Journal) refreshHead(ctx context.Context) error {
	if !journal.headUnsure {
		return nil
	}
	current := &recordpb.Head{}
	version, err := journal.read(ctx, journal.headKey(), current)
	if err != nil {
		return err
	}
	if current.Epoch != journal.epoch {
		return ErrFenced
	}
	journal.setHead(current, version)
	journal.headUnsure = false
	return nil
}

func (journal *Journal) setHead(head *recordpb.Head, version storer.Version) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	journal.head, journal.headVersion = head, version
}

func (journal *Journal) writeHead(ctx context.Context, head *recordpb.Head, expect storer.Version) (storer.Version, error) {
	value, err := proto.Marshal(head)
	if err != nil {
		return 0, errors.Wrap(err, "journal: encode head")
	}
	return journal.options.Store.Put(ctx, journal.headKey(), value, expect, 0)
}

// removeUnused deletes the chunks of all prefixes but the one in use. The new head is durable by
// now, so no late write can make an older one valid. A failure leaves the rest to the next call.
func (journal *Journal) removeUnused(ctx context.Context, used string) {
	var kept []string
	for _, prefix := range journal.unused {
		if prefix == "" || prefix == used {
			continue
		}
		if !journal.removeChunks(ctx, prefix) {
			kept = append(kept, prefix)
		}
	}
	journal.unused = kept
}

// removeChunks reports whether no chunk is left.
func (journal *Journal) removeChunks(ctx context.Context, prefix string) bool {
	for i := uint32(0); ; i++ {
		key := chunkKey(prefix, i)
		entry, err := journal.options.Store.Get(ctx, key)
		if errors.Is(err, storer.ErrNotFound) {
			return true
		}
		if err != nil {
			return false
		}
		if err := journal.options.Store.Delete(ctx, key, entry.Version); err != nil {
			return false
		}
	}
}
