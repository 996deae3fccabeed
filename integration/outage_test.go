package integration_test

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"

	"pomelomoor/internal/client/caller"
	"pomelomoor/internal/gateway/lister"
	"pomelomoor/internal/standin/keeper"
	"pomelomoor/internal/work/descriptor"
)

// taskLease is how long a worker runs tasks without a renewal.
const taskLease = 15 * time.Second

// Guards work in progress against a store outage longer than all leases, and callers against waiting
// for a store that does not answer.
func TestStoreDownForLong(t *testing.T) {
	cell := newCell(t, options{
		Entries: 3,
		Workers: 3,
		Runners: 2,
	})
	long := once(batch("assay", 3, cores(1), taskLease+7*time.Second))
	id := cell.submit(long)
	cell.awaitStarts(recoveryLimit, 3, id)
	load := startLoad(t, 4, func(int) *caller.Client {
		return cell.client()
	}, func(number int) ask {
		return ask{
			key:   fmt.Sprintf("lookup-%d", number),
			takes: 20 * time.Millisecond,
		}
	})
	cell.store.setStore(keeper.Faults{
		Down: true,
	})
	// The tasks outlive the outage only if their leases are renewed all the time.
	refused := 0
	await(t, time.Minute, "end of the long tasks", func() error {
		for _, entry := range cell.live() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			_, _, err := entry.once().Submit(ctx, batch(fmt.Sprintf("refused-%d", refused), 1, cores(1), time.Second))
			cancel()
			var problem *descriptor.Problem
			switch {
			case err == nil:
				return errors.New("a submission was accepted")
			case !errors.As(err, &problem) || problem.Code != descriptor.CodeUnavailable || problem.RetryAfter.Duration <= 0:
				return fmt.Errorf("not refused with a time to retry: %w", err)
			}
			refused++
		}
		for _, record := range of(cell.history(), id) {
			if record.Ended.IsZero() {
				return fmt.Errorf("%s still runs", record.Run)
			}
		}
		return nil
	})
	load.awaitSuccesses(recoveryLimit, 50)
	cell.store.setStore(keeper.Faults{})
	states := cell.awaitFates(time.Minute, []descriptor.JobID{id}, "Done")
	next := cell.submit(batch("after", 1, cores(1), 50*time.Millisecond))
	cell.awaitFates(recoveryLimit, []descriptor.JobID{next}, "Done")
	records := of(cell.history(), id)
	checkOnce(t, records)
	checkNotRun(t, states, records)
	for _, outcome := range load.stop() {
		if outcome.err != nil {
			t.Errorf("request %s: %v", outcome.key, outcome.err)
		}
	}
	if refused < 10 {
		t.Errorf("only %d submissions were refused", refused)
	}
}

// Guards against a store that answers slowly, which stretches renewals and journal writes.
func TestStoreSlow(t *testing.T) {
	cell := newCell(t, options{
		Entries: 3,
		Workers: 3,
	})
	cell.store.setStore(keeper.Faults{
		Slow: descriptor.Duration{
			Duration: 400 * time.Millisecond,
		},
	})
	var ids []descriptor.JobID
	for i := range 10 {
		ids = append(ids, cell.submit(once(batch(fmt.Sprintf("note-%d", i), 2, cores(1), 300*time.Millisecond))))
	}
	states := cell.awaitFates(time.Minute, ids, "Done")
	records := cell.history()
	checkOnce(t, records)
	checkCapacity(t, records, states)
}

// Guards accepted work and callers against a rolling replacement of all instances.
func TestAllInstancesReplacedOneByOne(t *testing.T) {
	cell := newCell(t, options{
		Entries: 3,
		Workers: 4,
		Runners: 3,
	})
	long := cell.submit(once(batch("long", 2, cores(1), 20*time.Second)))
	cell.awaitStarts(recoveryLimit, 2, long)
	load := startLoad(t, 6, func(int) *caller.Client {
		return cell.client()
	}, func(number int) ask {
		return ask{
			key:        fmt.Sprintf("lookup-%d", number),
			takes:      30 * time.Millisecond,
			idempotent: true,
		}
	})
	ids := []descriptor.JobID{long}
	for round, old := range cell.live() {
		for i := range 4 {
			ids = append(ids, cell.submit(once(batch(fmt.Sprintf("note-%d-%d", round, i), 2, cores(1), 300*time.Millisecond))))
		}
		cell.startEntry().awaitReady()
		old.announcer.SetState(lister.StateLeaving)
		old.Terminate()
		old.awaitEnd(recoveryLimit)
		old.withdraw()
		load.awaitSuccesses(recoveryLimit, 20)
	}
	cell.awaitOwner()
	states := cell.awaitFates(time.Minute, ids, "Done")
	records := cell.history()
	checkOnce(t, records)
	checkCapacity(t, records, states)
	outcomes := load.stop()
	for _, outcome := range outcomes {
		if outcome.err != nil {
			t.Errorf("request %s: %v", outcome.key, outcome.err)
		}
	}
	checkRequests(t, outcomes, cell.runs())
}

// Guards accepted work against the loss of all instances at once: it is in the journal only.
func TestAllInstancesKilledAtOnce(t *testing.T) {
	cell := newCell(t, options{
		Entries: 3,
		Workers: 3,
	})
	long := cell.submit(once(batch("long", 3, cores(2), 15*time.Second)))
	cell.awaitStarts(recoveryLimit, 3, long)
	ids := []descriptor.JobID{long}
	for i := range 30 {
		ids = append(ids, cell.submit(once(batch(fmt.Sprintf("note-%d", i), 1, cores(1), 200*time.Millisecond))))
	}
	for _, entry := range cell.live() {
		entry.Signal(syscall.SIGKILL)
	}
	for _, entry := range cell.live() {
		entry.kill()
	}
	for range 3 {
		cell.startEntry()
	}
	cell.awaitOwner()
	states := cell.awaitFates(time.Minute, ids, "Done", "NotRun", "Failed", "Unknown")
	records := cell.history()
	for _, state := range states {
		if state.Fate.Fate != "Done" {
			t.Errorf("job %s: %+v; trail %v", state.ID, state.Fate, state.Trail)
		}
	}
	checkOnce(t, records)
	checkCapacity(t, records, states)
	checkNotRun(t, states, records)
}
