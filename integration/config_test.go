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

// configNamed returns a configuration that is identified by the name of its only policy.
func configNamed(name string) parser.Config {
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

// monitor polls the revision that each ready instance reports. It fails the test if a process reports a lower revision
// than before, or than the minimum at the time when it was added.
type monitor struct {
	cell    *cell
	ctx     context.Context
	stop    context.CancelFunc
	group   sync.WaitGroup
	mutex   sync.Mutex
	highest map[*entry]uint64
	minimum uint64
}

func (cell *cell) startMonitor() *monitor {
	ctx, cancel := context.WithCancel(context.Background())
	monitor := &monitor{
		cell:    cell,
		ctx:     ctx,
		highest: map[*entry]uint64{},
	}
	monitor.stop = func() {
		cancel()
		monitor.group.Wait()
	}
	cell.t.Cleanup(monitor.stop)
	for _, entry := range cell.live() {
		monitor.add(entry)
	}
	return monitor
}

// raiseMinimum records that a revision is in force everywhere, so that instances added later must not report a lower
// one.
func (monitor *monitor) raiseMinimum(revision uint64) {
	monitor.mutex.Lock()
	defer monitor.mutex.Unlock()
	monitor.minimum = max(monitor.minimum, revision)
}

func (monitor *monitor) add(entry *entry) {
	monitor.mutex.Lock()
	monitor.highest[entry] = monitor.minimum
	monitor.mutex.Unlock()
	monitor.group.Go(func() {
		ticker := time.NewTicker(5 * time.Millisecond)
		defer ticker.Stop()
		for monitor.ctx.Err() == nil {
			monitor.poll(entry)
			<-ticker.C
		}
	})
}

func (monitor *monitor) poll(entry *entry) {
	client := entry.clientWithoutRetries()
	if client.Ready(monitor.ctx) != nil {
		return
	}
	config, err := client.Config(monitor.ctx)
	if err != nil {
		return
	}
	monitor.mutex.Lock()
	defer monitor.mutex.Unlock()
	if config.Revision < monitor.highest[entry] {
		monitor.cell.t.Errorf("%s reported revision %d and later %d", entry.id, monitor.highest[entry], config.Revision)
	}
	monitor.highest[entry] = max(monitor.highest[entry], config.Revision)
}

// apply applies a configuration and fails the test unless all instances confirm it.
func apply(t testing.TB, client *caller.Client, base uint64, name string) uint64 {
	t.Helper()
	applied, err := client.Apply(context.Background(), base, configNamed(name), callTimeout)
	if err != nil {
		t.Fatalf("apply %s: %v", name, err)
	}
	if len(applied.Waiting) > 0 {
		t.Errorf("apply %s: not confirmed by %v", name, applied.Waiting)
	}
	return applied.Revision
}

// checkConfig fails the test if a live instance does not use the configuration.
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

// Guards against an instance that starts while the store is down without an applied configuration, and against one that
// reports ready before it knows the configuration in force (I8).
func TestAcceptedConfigurationStays(t *testing.T) {
	cell := newCell(t, options{
		Entries: 3,
		Workers: 1,
	})
	for _, entry := range cell.live() {
		entry.awaitMembers(3)
	}
	monitor := cell.startMonitor()
	revision := apply(t, cell.live()[0].client(), 0, "first")
	monitor.raiseMinimum(revision)
	revision = apply(t, cell.live()[1].client(), revision, "second")
	cell.store.setStore(keeper.Faults{
		Down: true,
	})
	// All instances confirmed the revision, so they need not read it from the store again.
	cell.checkConfig(revision, "second")
	monitor.raiseMinimum(revision)
	cell.live()[0].kill()
	started := cell.startEntry()
	monitor.add(started)
	started.awaitReady()
	cell.checkConfig(revision, "second")
	_, err := started.clientWithoutRetries().Apply(context.Background(), revision, configNamed("third"), 0)
	var problem *descriptor.Problem
	if !errors.As(err, &problem) || problem.Code != descriptor.CodeUnavailable || problem.RetryAfter.Duration <= 0 {
		t.Errorf("apply while the store is down: %v", err)
	}
	cell.store.setStore(keeper.Faults{})
	await(t, recoveryTimeout, "apply after the outage", func() error {
		applied, err := started.client().Apply(context.Background(), revision, configNamed("third"), callTimeout)
		if err == nil {
			revision = applied.Revision
		}
		return err
	})
	cell.checkConfig(revision, "third")
	monitor.raiseMinimum(revision)
	// An instance without peers must not be ready when its lease is granted before the store has sent it the
	// configuration.
	for range 6 {
		for _, entry := range cell.live() {
			entry.kill()
		}
		next := cell.startEntry(func(entry *entry) {
			entry.store.AddJitter(600 * time.Millisecond)
		})
		monitor.add(next)
		next.awaitReady()
		next.store.Heal()
	}
	cell.checkConfig(revision, "third")
	monitor.stop()
}

// Guards against two concurrent changes of the same revision that are both reported as applied (I8).
func TestConcurrentConfigurationChanges(t *testing.T) {
	cell := newCell(t, options{
		Entries: 2,
		Workers: 1,
	})
	for _, entry := range cell.live() {
		entry.awaitMembers(2)
	}
	monitor := cell.startMonitor()
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
				applied[i], errs[i] = entry.clientWithoutRetries().Apply(context.Background(), revision, configNamed(names[i]), callTimeout)
			})
		}
		group.Wait()
		winner := 0
		if errs[0] != nil {
			winner = 1
		}
		var conflict *presenter.Conflict
		if errs[winner] != nil || !errors.As(errs[1-winner], &conflict) {
			t.Fatalf("round %d: want one success and one conflict, got %v", round, errs)
		}
		revision = applied[winner].Revision
		cell.checkConfig(revision, names[winner])
		if conflict.Current.Revision != revision || conflict.Current.Document.Policies[0].Name != names[winner] ||
			conflict.Proposed.Policies[0].Name != names[1-winner] {
			t.Errorf("round %d: conflict %+v does not show both configurations at revision %d", round, *conflict, revision)
		}
	}
	monitor.stop()
}
