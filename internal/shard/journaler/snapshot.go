package journaler

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"pomelomoor/internal/gateway/storer"
	"pomelomoor/internal/shard/recordpb"
)

// Snapshot writes records, which have to rebuild the state after the batch sequence, and frees
// the slots up to it. The state may be appended to meanwhile.
//
// Chunks that are in the last snapshot already are not written again, because most of a state are
// ended jobs and keys that do not change any more. The others go to keys that carry the epoch, so
// that an older owner can't damage them, and only the head makes them valid.
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
	if err := journal.writeChunks(ctx, old, head, records); err != nil {
		return err
	}
	if err := journal.advance(ctx, head, version); err != nil {
		return err
	}
	for _, chunk := range old.Chunks {
		journal.unused = append(journal.unused, chunk.Key)
	}
	journal.removeUnused(ctx, head)
	return nil
}

// writeChunks writes the chunks of a new snapshot that the old one does not have, and names all of
// them in the head.
func (journal *Journal) writeChunks(ctx context.Context, old, head *recordpb.Head, records []*recordpb.Record) error {
	known := make(map[string]string, len(old.Chunks))
	for _, chunk := range old.Chunks {
		known[string(chunk.Digest)] = chunk.Key
	}
	created := uint32(0)
	for len(records) > 0 {
		value, count, err := journal.encodeChunk(records)
		if err != nil {
			return err
		}
		records = records[count:]
		sum := sha256.Sum256(value)
		name := &recordpb.ChunkName{
			Key:    known[string(sum[:digestBytes])],
			Digest: sum[:digestBytes],
		}
		if name.Key == "" {
			name.Key = chunkKey(head.SnapshotPrefix, created)
			created++
			journal.unused = append(journal.unused, name.Key)
			version, err := journal.writeChunk(ctx, name.Key, value)
			if err != nil {
				return err
			}
			journal.versions[name.Key] = version
		}
		head.Chunks = append(head.Chunks, name)
	}
	return nil
}

// encoding gives equal records equal values, so that their chunks are recognized.
var encoding = proto.MarshalOptions{
	Deterministic: true,
}

const (
	// digestBytes is long enough that two chunks never have the same digest.
	digestBytes = 16
	// defaultChunk keeps both the number of chunks and the rewritten part of a state small.
	defaultChunk = 64 << 10
	// recordBytes is about the size of one record.
	recordBytes = 128
)

// chunkField is the number of Records in recordpb.Chunk.
const chunkField = 1

// encodeChunk returns the value of the next recordpb.Chunk and the number of its records. The content
// decides where a chunk ends, so that a record more or less at one place moves the ends of few others.
func (journal *Journal) encodeChunk(records []*recordpb.Record) ([]byte, int, error) {
	least := journal.options.ChunkBytes / 2
	oneIn := uint64(max(least/recordBytes, 1))
	chunk := make([]byte, 0, 2*journal.options.ChunkBytes)
	for i, record := range records {
		value, err := encoding.Marshal(record)
		if err != nil {
			return nil, 0, errors.Wrap(err, "journal: encode record")
		}
		if i > 0 && len(chunk)+len(value) > maxValue-1024 {
			return chunk, i, nil
		}
		chunk = protowire.AppendTag(chunk, chunkField, protowire.BytesType)
		chunk = protowire.AppendBytes(chunk, value)
		if len(chunk) >= least && xxhash.Sum64(value)%oneIn == 0 {
			return chunk, i + 1, nil
		}
	}
	return chunk, len(records), nil
}

// snapshotPrefix differs for every attempt, because the head of a failed attempt may still reach
// the store late and must not find chunks of another one.
func (journal *Journal) snapshotPrefix(epoch, snapshots uint64) string {
	return fmt.Sprintf("shards/%s/snapshot/%d/%d", journal.options.Shard, epoch, snapshots)
}

// writeChunk repeats a write with a lost answer until it is seen to be there.
func (journal *Journal) writeChunk(ctx context.Context, key string, value []byte) (storer.Version, error) {
	var version storer.Version
	for ctx.Err() == nil {
		written, err := journal.options.Store.Put(ctx, key, value, version, 0)
		switch {
		case err == nil:
			return written, nil
		case !errors.Is(err, storer.ErrConflict) && !errors.Is(err, storer.ErrUncertain):
			return 0, ErrUnavailable
		}
		// The key is this attempt's own, so a conflict can only come from its own lost answer.
		entry, err := journal.options.Store.Get(ctx, key)
		if err != nil && !errors.Is(err, storer.ErrNotFound) {
			return 0, ErrUnavailable
		}
		if err == nil && bytes.Equal(entry.Value, value) {
			return entry.Version, nil
		}
		version = entry.Version
	}
	return 0, ErrUnavailable
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

// removeUnused deletes the chunks that the head in use does not name. It is durable by now, so no late
// write can make another one valid. A failure leaves the rest to the next call.
func (journal *Journal) removeUnused(ctx context.Context, head *recordpb.Head) {
	used := make(map[string]bool, len(head.Chunks))
	for _, chunk := range head.Chunks {
		used[chunk.Key] = true
	}
	if journal.orphans != "" && journal.removeOrphans(ctx, journal.orphans, used) {
		journal.orphans = ""
	}
	var kept []string
	for _, key := range journal.unused {
		if used[key] {
			continue
		}
		if _, err := journal.removeChunk(ctx, key); err != nil {
			kept = append(kept, key)
		}
	}
	journal.unused = kept
}

// removeOrphans reports whether no chunk of a prefix is left but those in use.
func (journal *Journal) removeOrphans(ctx context.Context, prefix string, used map[string]bool) bool {
	for i := uint32(0); ; i++ {
		key := chunkKey(prefix, i)
		if used[key] {
			continue
		}
		found, err := journal.removeChunk(ctx, key)
		if err != nil || !found {
			return err == nil
		}
	}
}

// removeChunk reports whether there was a chunk. One of an earlier owner has to be read for its version.
func (journal *Journal) removeChunk(ctx context.Context, key string) (bool, error) {
	if version, ok := journal.versions[key]; ok {
		delete(journal.versions, key)
		if err := journal.options.Store.Delete(ctx, key, version); err == nil {
			return true, nil
		}
	}
	entry, err := journal.options.Store.Get(ctx, key)
	if errors.Is(err, storer.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	return true, journal.options.Store.Delete(ctx, key, entry.Version)
}
