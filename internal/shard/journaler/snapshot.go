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

// Snapshot writes records, which must rebuild the state as of the batch with the given sequence number,
// and frees the log slots up to that batch. Append may be called concurrently.
//
// Chunks that the last snapshot already contains are not written again, because most of the state
// consists of ended jobs and idempotency keys that no longer change. New chunks are stored under keys
// that contain the epoch, so that a previous owner cannot overwrite them. They become valid only when
// the head refers to them.
func (journal *Journal) Snapshot(ctx context.Context, sequence uint64, records []*recordpb.Record) error {
	if err := journal.refreshHead(ctx); err != nil {
		return err
	}
	journal.mutex.Lock()
	old := proto.CloneOf(journal.head)
	version := journal.headVersion
	journal.mutex.Unlock()
	journal.snapshotAttempts++
	head := &recordpb.Head{
		Epoch:            journal.epoch,
		SnapshotSequence: sequence,
		SnapshotPrefix:   journal.snapshotPrefix(journal.epoch, journal.snapshotAttempts),
	}
	if err := journal.writeChunks(ctx, old, head, records); err != nil {
		return err
	}
	if err := journal.publishHead(ctx, head, version); err != nil {
		return err
	}
	for _, chunk := range old.Chunks {
		journal.unusedChunks = append(journal.unusedChunks, chunk.Key)
	}
	journal.removeUnused(ctx, head)
	return nil
}

// writeChunks writes the chunks of a new snapshot that the old one does not contain, and lists all
// chunks of the new snapshot in head.
func (journal *Journal) writeChunks(ctx context.Context, old, head *recordpb.Head, records []*recordpb.Record) error {
	keyByDigest := make(map[string]string, len(old.Chunks))
	for _, chunk := range old.Chunks {
		keyByDigest[string(chunk.Digest)] = chunk.Key
	}
	newChunks := uint32(0)
	for len(records) > 0 {
		value, count, err := journal.encodeChunk(records)
		if err != nil {
			return err
		}
		records = records[count:]
		digest := sha256.Sum256(value)
		name := &recordpb.ChunkName{
			Key:    keyByDigest[string(digest[:digestBytes])],
			Digest: digest[:digestBytes],
		}
		if name.Key == "" {
			name.Key = chunkKey(head.SnapshotPrefix, newChunks)
			newChunks++
			journal.unusedChunks = append(journal.unusedChunks, name.Key)
			version, err := journal.writeChunk(ctx, name.Key, value)
			if err != nil {
				return err
			}
			journal.chunkVersions[name.Key] = version
		}
		head.Chunks = append(head.Chunks, name)
	}
	return nil
}

// deterministic encodes equal records to equal bytes, so that unchanged chunks have equal digests.
var deterministic = proto.MarshalOptions{
	Deterministic: true,
}

const (
	// digestBytes is long enough to make a collision between two chunks negligible.
	digestBytes = 16
	// defaultChunkBytes balances the number of chunks against the bytes rewritten when a record changes.
	defaultChunkBytes = 64 << 10
	// typicalRecordBytes is the approximate encoded size of a record.
	typicalRecordBytes = 128
)

// recordsField is the field number of records in recordpb.Chunk.
const recordsField = 1

// encodeChunk returns the encoded recordpb.Chunk of the leading records and their number. Chunk
// boundaries are content-defined: a hash of each record decides whether the chunk ends after it, so
// that inserting or removing a record changes only the chunks near it.
func (journal *Journal) encodeChunk(records []*recordpb.Record) ([]byte, int, error) {
	minBytes := journal.options.ChunkBytes / 2
	boundaryDivisor := uint64(max(minBytes/typicalRecordBytes, 1))
	chunk := make([]byte, 0, 2*journal.options.ChunkBytes)
	for i, record := range records {
		value, err := deterministic.Marshal(record)
		if err != nil {
			return nil, 0, errors.Wrap(err, "journal: encode record")
		}
		if i > 0 && len(chunk)+len(value) > maxValueBytes-1024 {
			return chunk, i, nil
		}
		chunk = protowire.AppendTag(chunk, recordsField, protowire.BytesType)
		chunk = protowire.AppendBytes(chunk, value)
		if len(chunk) >= minBytes && xxhash.Sum64(value)%boundaryDivisor == 0 {
			return chunk, i + 1, nil
		}
	}
	return chunk, len(records), nil
}

// snapshotPrefix returns the key prefix of the chunks that one snapshot attempt writes. It is unique to
// the attempt, because a delayed write of a failed attempt's head may still take effect and must not
// refer to chunks of another attempt.
func (journal *Journal) snapshotPrefix(epoch, attempt uint64) string {
	return fmt.Sprintf("shards/%s/snapshot/%d/%d", journal.options.Shard, epoch, attempt)
}

// writeChunk writes a chunk. After a write with an unknown outcome it reads the key back and retries
// until the store holds the value.
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
		// Only this attempt writes the key, so a conflict means that an earlier write took effect.
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

// publishHead writes the head, which makes the snapshot valid. Only an owner of a newer epoch can write
// the head concurrently.
func (journal *Journal) publishHead(ctx context.Context, head *recordpb.Head, version storer.Version) error {
	written, err := journal.writeHead(ctx, head, version)
	if err == nil {
		journal.setHead(head, written)
		return nil
	}
	if errors.Is(err, storer.ErrUnavailable) {
		return ErrUnavailable
	}
	journal.headUncertain = true
	if err := journal.refreshHead(ctx); err != nil {
		return err
	}
	if journal.head.SnapshotPrefix != head.SnapshotPrefix {
		return ErrUnavailable
	}
	return nil
}

// refreshHead reads the head back after a write of it had an unknown outcome.
func (journal *Journal) refreshHead(ctx context.Context) error {
	if !journal.headUncertain {
		return nil
	}
	current := &recordpb.Head{}
	version, err := journal.readMessage(ctx, journal.headKey(), current)
	if err != nil {
		return err
	}
	if current.Epoch != journal.epoch {
		return ErrFenced
	}
	journal.setHead(current, version)
	journal.headUncertain = false
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

// removeUnused deletes chunks that head does not refer to. The head is durable at this point, so no
// delayed write can make another one valid. Chunks that could not be deleted are retried by the next call.
func (journal *Journal) removeUnused(ctx context.Context, head *recordpb.Head) {
	referenced := make(map[string]bool, len(head.Chunks))
	for _, chunk := range head.Chunks {
		referenced[chunk.Key] = true
	}
	if journal.orphanPrefix != "" && journal.removeOrphans(ctx, journal.orphanPrefix, referenced) {
		journal.orphanPrefix = ""
	}
	var kept []string
	for _, key := range journal.unusedChunks {
		if referenced[key] {
			continue
		}
		if _, err := journal.removeChunk(ctx, key); err != nil {
			kept = append(kept, key)
		}
	}
	journal.unusedChunks = kept
}

// removeOrphans deletes the chunks under prefix that are not referenced, and reports whether it reached
// an absent key without an error.
func (journal *Journal) removeOrphans(ctx context.Context, prefix string, referenced map[string]bool) bool {
	for i := uint32(0); ; i++ {
		key := chunkKey(prefix, i)
		if referenced[key] {
			continue
		}
		found, err := journal.removeChunk(ctx, key)
		if err != nil || !found {
			return err == nil
		}
	}
}

// removeChunk deletes a chunk and reports whether it existed. The version of a chunk that another owner
// wrote has to be read first.
func (journal *Journal) removeChunk(ctx context.Context, key string) (bool, error) {
	if version, ok := journal.chunkVersions[key]; ok {
		delete(journal.chunkVersions, key)
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
