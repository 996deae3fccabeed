package journaler

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"pomelomoor/internal/gateway/storer"
	"pomelomoor/internal/shard/recordpb"
)

// Open takes over the journal: it raises the epoch, reads the snapshot and the log, and fences
// previous owners. Applying the returned records in order rebuilds the state of the shard.
func Open(ctx context.Context, options Options) (*Journal, []*recordpb.Record, error) {
	if options.RingSize == 0 {
		options.RingSize = DefaultRingSize
	}
	if options.RingSize <= 2*fenceReserveSlots {
		return nil, nil, errors.Errorf("journal: ring size of %d slots is too small", options.RingSize)
	}
	if options.ChunkBytes == 0 {
		options.ChunkBytes = defaultChunkBytes
	}
	if options.NewID == nil {
		options.NewID = randomID
	}
	journal := &Journal{
		options:       options,
		slots:         make([]slot, options.RingSize),
		chunkVersions: map[string]storer.Version{},
	}
	if err := journal.raiseEpoch(ctx); err != nil {
		return nil, nil, err
	}
	records, err := journal.loadSnapshot(ctx)
	if err != nil {
		return nil, nil, err
	}
	if records, err = journal.loadLog(ctx, records); err != nil {
		return nil, nil, err
	}
	if records, err = journal.writeFence(ctx, records); err != nil {
		return nil, nil, err
	}
	return journal, records, nil
}

// raiseEpoch writes the head with the next epoch. It retries after a conflict or an unknown outcome,
// because the head does not record which owner raised the epoch.
func (journal *Journal) raiseEpoch(ctx context.Context) error {
	for {
		head := &recordpb.Head{}
		version, err := journal.readMessage(ctx, journal.headKey(), head)
		if err != nil {
			return err
		}
		head.Epoch++
		written, err := journal.writeHead(ctx, head, version)
		switch {
		case err == nil:
			journal.head, journal.headVersion = head, written
			journal.epoch = head.Epoch
			journal.next = head.SnapshotSequence + 1
			// An owner that failed during its first snapshot leaves these chunks behind.
			journal.orphanPrefix = journal.snapshotPrefix(head.Epoch-1, 1)
			return nil
		case errors.Is(err, storer.ErrConflict), errors.Is(err, storer.ErrUncertain):
			if ctx.Err() != nil {
				return ErrUnavailable
			}
		default:
			return ErrUnavailable
		}
	}
}

// loadLog reads slots in parallel windows until one does not hold the next sequence number, and adds
// their records to records.
func (journal *Journal) loadLog(ctx context.Context, records []*recordpb.Record) ([]*recordpb.Record, error) {
	type slotRead struct {
		batch   *recordpb.Batch
		version storer.Version
	}
	for {
		window := make([]slotRead, maxConcurrentReads)
		group, groupCtx := errgroup.WithContext(ctx)
		for i := range window {
			group.Go(func() error {
				var err error
				window[i].batch, window[i].version, err = journal.readSlot(groupCtx, journal.next+uint64(i))
				return err
			})
		}
		if err := group.Wait(); err != nil {
			return nil, err
		}
		first := journal.next
		for i := range window {
			slot := journal.slot(first + uint64(i))
			slot.version, slot.versionKnown = window[i].version, true
			if window[i].batch.GetSequence() != journal.next {
				return records, nil
			}
			if window[i].batch.Epoch > journal.epoch {
				return nil, ErrFenced
			}
			records = append(records, window[i].batch.Records...)
			journal.next++
		}
	}
}

// writeFence writes the first record of this epoch after the last batch of previous owners. If a
// previous owner appends concurrently, the write fails; its batch is then loaded and the fence retried.
func (journal *Journal) writeFence(ctx context.Context, records []*recordpb.Record) ([]*recordpb.Record, error) {
	record := &recordpb.Record{
		Change: &recordpb.Record_Fence{
			Fence: &recordpb.Fence{
				Owner: journal.options.Owner,
			},
		},
	}
	for ctx.Err() == nil {
		if err := journal.snapshotIfFull(ctx, records); err != nil {
			return nil, err
		}
		_, err := journal.writeBatch(ctx, []*recordpb.Record{record})
		for errors.Is(err, ErrUncertain) && ctx.Err() == nil {
			_, err = journal.ResolveAppend(ctx)
		}
		if !errors.Is(err, ErrFenced) {
			return records, err
		}
		previousNext := journal.next
		journal.pending = nil
		if records, err = journal.loadLog(ctx, records); err != nil {
			return nil, err
		}
		if journal.next == previousNext {
			return nil, ErrFenced
		}
	}
	return nil, ErrUnavailable
}

// snapshotIfFull writes a snapshot when the log has no free slot for a fence. The records read so far
// are a valid snapshot, because no previous owner can append to a full log.
func (journal *Journal) snapshotIfFull(ctx context.Context, records []*recordpb.Record) error {
	if journal.next-journal.snapshotSequence() <= journal.options.RingSize {
		return nil
	}
	return journal.Snapshot(ctx, journal.Sequence(), records)
}

func (journal *Journal) loadSnapshot(ctx context.Context) ([]*recordpb.Record, error) {
	chunks := make([]recordpb.Chunk, len(journal.head.Chunks))
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentReads)
	for i, name := range journal.head.Chunks {
		group.Go(func() error {
			version, err := journal.readMessage(groupCtx, name.Key, &chunks[i])
			if err == nil && version == 0 {
				return errors.Wrapf(ErrCorrupt, "chunk %s is missing", name.Key)
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	var records []*recordpb.Record
	for i := range chunks {
		records = append(records, chunks[i].Records...)
	}
	return records, nil
}

func chunkKey(prefix string, chunk uint32) string {
	return fmt.Sprintf("%s/%d", prefix, chunk)
}
