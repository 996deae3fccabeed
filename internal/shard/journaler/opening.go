package journaler

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"pomelomoor/internal/gateway/storer"
	"pomelomoor/internal/shard/recordpb"
)

// Open takes the journal over: it raises the epoch, reads the snapshot and the log, and fences
// older owners. The records rebuild the state of the shard in order.
func Open(ctx context.Context, options Options) (*Journal, []*recordpb.Record, error) {
	if options.RingSize == 0 {
		options.RingSize = DefaultRingSize
	}
	if options.RingSize <= 2*fenceReserve {
		return nil, nil, errors.Errorf("journal: ring of %d slots is too small", options.RingSize)
	}
	if options.ChunkBytes == 0 {
		options.ChunkBytes = defaultChunk
	}
	if options.NewID == nil {
		options.NewID = randomID
	}
	journal := &Journal{
		options:  options,
		slots:    make([]slot, options.RingSize),
		versions: map[string]storer.Version{},
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
	if records, err = journal.fence(ctx, records); err != nil {
		return nil, nil, err
	}
	return journal, records, nil
}

// raiseEpoch retries after every lost answer, because the head does not tell who raised it.
func (journal *Journal) raiseEpoch(ctx context.Context) error {
	for {
		head := &recordpb.Head{}
		version, err := journal.read(ctx, journal.headKey(), head)
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
			// An owner that died during its first snapshot leaves these chunks behind.
			journal.orphans = journal.snapshotPrefix(head.Epoch-1, 1)
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

// loadLog reads slots in windows until one does not hold the next sequence.
func (journal *Journal) loadLog(ctx context.Context, records []*recordpb.Record) ([]*recordpb.Record, error) {
	type read struct {
		batch   *recordpb.Batch
		version storer.Version
	}
	for {
		window := make([]read, loadWindow)
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
			slot.version, slot.known = window[i].version, true
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

// fence writes the first record of this epoch behind the last batch of older owners. An older
// owner that appends meanwhile makes the write fail; its batch is then taken over as well.
func (journal *Journal) fence(ctx context.Context, records []*recordpb.Record) ([]*recordpb.Record, error) {
	record := &recordpb.Record{
		Change: &recordpb.Record_Fence{
			Fence: &recordpb.Fence{
				Owner: journal.options.Owner,
			},
		},
	}
	for ctx.Err() == nil {
		if err := journal.makeRoom(ctx, records); err != nil {
			return nil, err
		}
		_, err := journal.write(ctx, []*recordpb.Record{record})
		for errors.Is(err, ErrUndecided) && ctx.Err() == nil {
			_, err = journal.Settle(ctx)
		}
		if !errors.Is(err, ErrFenced) {
			return records, err
		}
		before := journal.next
		journal.undecided = nil
		if records, err = journal.loadLog(ctx, records); err != nil {
			return nil, err
		}
		if journal.next == before {
			return nil, ErrFenced
		}
	}
	return nil, ErrUnavailable
}

// makeRoom writes a snapshot when not even a fence fits any more. The records read so far are
// a valid snapshot, and no older owner can add to a full log.
func (journal *Journal) makeRoom(ctx context.Context, records []*recordpb.Record) error {
	if journal.next-journal.snapshotSequence() <= journal.options.RingSize {
		return nil
	}
	return journal.Snapshot(ctx, journal.Sequence(), records)
}

func (journal *Journal) loadSnapshot(ctx context.Context) ([]*recordpb.Record, error) {
	chunks := make([]recordpb.Chunk, len(journal.head.Chunks))
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(loadWindow)
	for i, name := range journal.head.Chunks {
		group.Go(func() error {
			version, err := journal.read(groupCtx, name.Key, &chunks[i])
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
