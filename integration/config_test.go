package integration_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"pomelomoor/internal/client/caller"
	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/entry/presenter"
	"pomelomoor/internal/standin/keeper"
	"pomelomoor/internal/work/descriptor"
)

// policy returns a configuration that its name tells from others.
func policy(name string) parser.Config {
	return parser.Config{
		Policies: []parser.Policy{
			{
				Name:     name,
				Selector: "Kind=Batch",
				Urgency:  descriptor.UrgencyLow,
			},
		},
	}
}

// watch notes the revisions that the ready instances state until it is stopped. A lower revision than
// one that the same process stated, or than floor at its start, is an error of the test.
type watch struct {
	cell    *cell
	ctx     context.Context
	stop    context.CancelFunc
	group   sync.WaitGroup
	mutex   sync.Mutex
	highest map[*entry]uint64
	floor   uint64
}

func (cell *cell) startWatch() *watch {
	ctx, cancel := context.WithCancel(context.Background())
	watch := &watch{
		cell:    cell,
		ctx:     ctx,
		highest: map[*entry]uint64{},
	}
	watch.stop = func() {
		cancel()
		watch.group.Wait()
	}
	cell.t.Cleanup(watch.stop)
	for _, entry := range cell.live() {
		watch.add(entry)
	}
	return watch
}

// raise tells that a revision is in force everywhere, so that later instances start no lower.
func (watch *watch) raise(revision uint64) {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	watch.floor = max(watch.floor, revision)
}

func (watch *watch) add(entry *entry) {
	watch.mutex.Lock()
	watch.highest[entry] = watch.floor
	watch.mutex.Unlock()
	watch.group.Go(func() {
		ticker := time.NewTicker(5 * time.Millisecond)
		defer ticker.Stop()
		for watch.ctx.Err() == nil {
			watch.look(entry)
			<-ticker.C
		}
	})
}

func (watch *watch) look(entry *entry) {
	client := entry.once()
	if client.Ready(watch.ctx) != nil {
		return
	}
	config, err := client.Config(watch.ctx)
	if err != nil {
		return
	}
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	if config.Revision < watch.highest[entry] {
		watch.cell.t.Errorf("%s went back from revision %d to %d", entry.id, watch.highest[entry], config.Revision)
	}
	watch.highest[entry] = max(watch.highest[entry], config.Revision)
}

// apply puts a configuration in force everywhere.
func apply(t testing.TB, client *caller.Client, base uint64, name string) uint64 {
	t.Helper()
	applied, err := client.Apply(context.Background(), base, policy(name), callLimit)
	if err != nil {
		t.Fatalf("apply %s: %v", name, err)
	}
	if len(applied.Waiting) > 0 {
		t.Errorf("apply %s: not confirmed by %v", name, applied.Waiting)
	}
	return applied.Revision
}

// checkConfig fails the test if an instance does not have the configuration.
func (cell *cell) checkConfig(revision uint64, name string) {
	cell.t.Helper()
	for _, entry := range cell.live() {
		config, err := entry.client().Config(context.Background())
		if err != nil {
			cell.t.Fatalf("%s: %v", entry.id, err)
		}
		if config.Revision != revision || len(config.Document.Policies) != 1 || config.Document.Policies[0].Name != name {
			cell.t.Errorf("%s has revision %d with %+v instead of %d with %s", entry.id, config.Revision, config.Document, revision, name)
		}
	}
}

// Guards I8: an accepted configuration would be lost to an instance that starts while the store is
// down, or a starting instance would be ready before it knows the configuration in force.
func TestAcceptedConfigurationStays(t *testing.T) {
	cell := newCell(t, options{
		Entries: 3,
		Workers: 1,
	})
	for _, entry := range cell.live() {
		entry.awaitMembers(3)
	}
	watch := cell.startWatch()
	revision := apply(t, cell.live()[0].client(), 0, "first")
	watch.raise(revision)
	revision = apply(t, cell.live()[1].client(), revision, "second")
	cell.store.setStore(keeper.Faults{
		Down: true,
	})
	// All instances confirmed the revision, so it is in force without another look at the store.
	cell.checkConfig(revision, "second")
	watch.raise(revision)
	cell.live()[0].kill()
	started := cell.startEntry()
	watch.add(started)
	started.awaitReady()
	cell.checkConfig(revision, "second")
	_, err := started.once().Apply(context.Background(), revision, policy("third"), 0)
	var problem *descriptor.Problem
	if !errors.As(err, &problem) || problem.Code != descriptor.CodeUnavailable || problem.RetryAfter.Duration <= 0 {
		t.Errorf("apply while the store is down: %v", err)
	}
	cell.store.setStore(keeper.Faults{})
	await(t, recoveryLimit, "apply after the outage", func() error {
		applied, err := started.client().Apply(context.Background(), revision, policy("third"), callLimit)
		if err == nil {
			revision = applied.Revision
		}
		return err
	})
	cell.checkConfig(revision, "third")
	watch.raise(revision)
	// Without peers, an instance whose lease is granted before the store tells it the configuration is
	// not ready yet.
	for range 6 {
		for _, entry := range cell.live() {
			entry.kill()
		}
		next := cell.startEntry(func(entry *entry) {
			entry.store.Scatter(600 * time.Millisecond)
		})
		watch.add(next)
		next.awaitReady()
		next.store.Heal()
	}
	cell.checkConfig(revision, "third")
	watch.stop()
}

// Guards I8: of two operators who change the same revision, both would believe that they won.
func TestRacingOperators(t *testing.T) {
	cell := newCell(t, options{
		Entries: 2,
		Workers: 1,
	})
	for _, entry := range cell.live() {
		entry.awaitMembers(2)
	}
	watch := cell.startWatch()
	revision := apply(t, cell.client(), 0, "base")
	for round := range 8 {
		if round == 4 {
			cell.store.setStore(keeper.Faults{
				LoseAnswers: 4,
			})
		}
		errs := make([]error, 2)
		applied := make([]presenter.ApplyResult, 2)
		names := make([]string, 2)
		var group sync.WaitGroup
		for i, entry := range cell.live() {
			names[i] = fmt.Sprintf("operator-%d-%d", i, round)
			group.Go(func() {
				applied[i], errs[i] = entry.once().Apply(context.Background(), revision, policy(names[i]), callLimit)
			})
		}
		group.Wait()
		winner := 0
		if errs[0] != nil {
			winner = 1
		}
		var conflict *presenter.Conflict
		if errs[winner] != nil || !errors.As(errs[1-winner], &conflict) {
			t.Fatalf("round %d: not one winner and one conflict: %v", round, errs)
		}
		revision = applied[winner].Revision
		cell.checkConfig(revision, names[winner])
		if conflict.Current.Revision != revision || conflict.Current.Document.Policies[0].Name != names[winner] ||
			conflict.Proposed.Policies[0].Name != names[1-winner] {
			t.Errorf("round %d: %+v does not show both sides at revision %d", round, *conflict, revision)
		}
	}
	watch.stop()
}
