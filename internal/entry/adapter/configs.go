package adapter

import (
	"context"
	"log/slog"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/config/applier"
	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/entry/presenter"
	"pomelomoor/internal/member/exchanger"
	"pomelomoor/internal/member/messenger"
	"pomelomoor/internal/member/peerpb"
	"pomelomoor/internal/node/logger"
	"pomelomoor/internal/work/descriptor"
)

// confirmInterval is the interval at which an instance is asked whether it has a new revision.
const confirmInterval = 50 * time.Millisecond

// Configs implements handler.Configs.
type Configs struct {
	// Self is the instance's ID.
	Self      string
	Applier   *applier.Applier
	Exchanger *exchanger.Exchanger
	Messenger *messenger.Messenger
	Log       *slog.Logger
}

// Current implements handler.Configs.
func (configs Configs) Current(context.Context) (presenter.ConfigDocument, error) {
	compiled := configs.Applier.Current()
	return presenter.ConfigDocument{
		Revision: compiled.Revision,
		Document: compiled.Config,
	}, nil
}

// Apply implements handler.Configs.
func (configs Configs) Apply(ctx context.Context, base uint64, config parser.Config, wait time.Duration) (presenter.ApplyResult, error) {
	revision, err := configs.Applier.Apply(ctx, base, config)
	var conflict *applier.Conflict
	if errors.As(err, &conflict) {
		logger.Log(ctx, configs.Log, logger.EventConfigConflict,
			slog.Uint64("Base", conflict.Base), slog.Uint64("Revision", conflict.Revision))
		return presenter.ApplyResult{}, conflictDocument(conflict)
	}
	if err != nil {
		return presenter.ApplyResult{}, err
	}
	logger.Log(ctx, configs.Log, logger.EventConfigApplied, slog.Uint64("Revision", revision))
	result := presenter.ApplyResult{
		Revision: revision,
	}
	if wait > 0 {
		result.Waiting = configs.waitForInstances(ctx, revision, wait)
	}
	return result, nil
}

func conflictDocument(conflict *applier.Conflict) *presenter.Conflict {
	return &presenter.Conflict{
		Problem: descriptor.Problem{
			Code:    descriptor.CodeConflict,
			Message: conflict.Error(),
		},
		Base: conflict.Base,
		Current: presenter.ConfigDocument{
			Revision: conflict.Revision,
			Document: conflict.Current,
		},
		Proposed: conflict.Proposed,
		Changes:  diffChanges(conflict.Current, conflict.Proposed),
	}
}

func diffChanges(before, after parser.Config) []presenter.Change {
	var changes []presenter.Change
	for _, change := range parser.Diff(before, after) {
		changes = append(changes, presenter.Change{
			Path: change.Item,
			From: change.Before,
			To:   change.After,
		})
	}
	return changes
}

// waitForInstances polls all known instances until each has the revision or wait has passed. It returns the
// IDs of those that do not have it by then.
func (configs Configs) waitForInstances(ctx context.Context, revision uint64, wait time.Duration) []string {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var mutex sync.Mutex
	var waiting []string
	var group sync.WaitGroup
	for _, member := range append(configs.Exchanger.Live(), configs.Exchanger.Suspected()...) {
		if member.GetId() == configs.Self {
			continue
		}
		group.Go(func() {
			if configs.waitForMember(ctx, member, revision) {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			waiting = append(waiting, member.GetId())
		})
	}
	group.Wait()
	slices.Sort(waiting)
	return waiting
}

func (configs Configs) waitForMember(ctx context.Context, member *peerpb.Member, revision uint64) bool {
	address, ok := exchanger.Address(member)
	if !ok {
		return false
	}
	client, err := configs.Messenger.Client(address, member.GetRegion())
	if err != nil {
		return false
	}
	for {
		// Only the revision is needed. No revision is above this one, so the response contains no document.
		response, err := client.FetchConfig(ctx, &peerpb.FetchConfigRequest{
			Above: math.MaxUint64,
		})
		if err == nil && response.GetRevision() >= revision {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(confirmInterval):
		}
	}
}

// Diff implements handler.Configs.
func (configs Configs) Diff(_ context.Context, config parser.Config) (presenter.ConfigDiff, error) {
	compiled := configs.Applier.Current()
	return presenter.ConfigDiff{
		Revision: compiled.Revision,
		Changes:  diffChanges(compiled.Config, config),
	}, nil
}
