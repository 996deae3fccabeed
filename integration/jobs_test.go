package integration_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"pomelomoor/internal/standin/keeper"
	"pomelomoor/internal/standin/worker"
	"pomelomoor/internal/work/descriptor"
)

// nonIdempotent returns the job marked as not idempotent, so that its tasks must not run twice.
func nonIdempotent(job descriptor.Job) descriptor.Job {
	job.Idempotent = false
	return job
}

// checkNotRun fails the test if a worker started a task that was reported as NotRun, or none started one reported as
// Done.
func checkNotRun(t testing.TB, states []descriptor.JobStatus, records []worker.Record) {
	t.Helper()
	runs := groupByTask(records)
	for _, state := range states {
		for _, known := range state.Tasks {
			starts := runs[task{
				job:   state.ID,
				index: known.Task,
			}]
			notRun := known.Fate.Fate == "NotRun" || state.Fate.Fate == "NotRun"
			if notRun && len(starts) > 0 {
				t.Errorf("task %d of job %s is %s (%s) and was started: %+v", known.Task, state.ID, known.Fate.Fate, known.Fate.Reason, starts)
			}
			if known.Fate.Fate == "Done" && len(starts) == 0 {
				t.Errorf("task %d of job %s is Done and was never started", known.Task, state.ID)
			}
		}
	}
}

// Guards against a job that is reported as not run although a worker has started it or will still do so, because the
// response to the start was lost and the owner was killed (I4).
func TestJobsReportedNotRunNeverStart(t *testing.T) {
	cell := newCell(t, options{
		Entries: 3,
		Workers: 4,
	})
	faults := []func(owner *entry, fake *fake){
		func(owner *entry, fake *fake) {
			owner.workerLink(fake).Cut()
		},
		func(owner *entry, fake *fake) {
			owner.workerLink(fake).LoseResponses()
		},
		func(_ *entry, fake *fake) {
			fake.setWorker(worker.Faults{
				Slow: descriptor.Duration{
					Duration: 2500 * time.Millisecond,
				},
			})
		},
		func(_ *entry, fake *fake) {
			fake.setWorker(worker.Faults{
				LoseAnswers: 3,
			})
		},
	}
	var ids []descriptor.JobID
	for round := range 3 {
		owner, epoch := cell.awaitOwner(), cell.epoch()
		var group sync.WaitGroup
		submitted := make([]descriptor.JobID, 16)
		for i := range submitted {
			group.Go(func() {
				job := nonIdempotent(batch(fmt.Sprintf("loan-%d-%d", round, i), 1+i%2, coresWithMemory(1), 400*time.Millisecond))
				if i%4 == 3 {
					job.Deadline = time.Now().Add(3 * time.Second)
				}
				submitted[i] = cell.submit(job)
				if i%2 == 0 {
					// The response may be lost when the owner is killed. The test checks the fate instead.
					_, _ = cell.client().Cancel(context.Background(), submitted[i])
				}
			})
		}
		for i, fake := range cell.workers {
			faults[(i+round)%len(faults)](owner, fake)
		}
		group.Wait()
		ids = append(ids, submitted...)
		cell.awaitStarts(recoveryTimeout, 4*round+4)
		owner.kill()
		cell.awaitOwnerAbove(epoch)
		for _, fake := range cell.workers {
			fake.setWorker(worker.Faults{})
		}
		cell.startEntry().awaitReady()
	}
	states := cell.awaitFates(time.Minute, ids, "Done", "NotRun", "Failed", "Unknown")
	records := cell.runRecords()
	checkNotRun(t, states, records)
	checkStartedOnce(t, records)
	notRun := 0
	for _, state := range states {
		if state.Fate.Fate == "NotRun" {
			notRun++
		}
	}
	if notRun == 0 {
		t.Error("no job was reported as not run")
	}
}

// Guards against a job that is not idempotent and is started again after its owner, its worker's state or the store's
// response was lost (I5).
func TestNonIdempotentJobsRunAtMostOnce(t *testing.T) {
	cell := newCell(t, options{
		Entries: 3,
		Workers: 4,
	})
	var ids []descriptor.JobID
	submit := func(round int) {
		cell.store.setStore(keeper.Faults{
			LoseAnswers: 6,
		})
		for i := range 10 {
			ids = append(ids, cell.submit(nonIdempotent(batch(fmt.Sprintf("note-%d-%d", round, i), 1+i%2, coresWithMemory(1), 600*time.Millisecond))))
		}
	}
	for round := range 3 {
		epoch := cell.epoch()
		submit(round)
		cell.workers[round].loseState()
		cell.awaitOwner().kill()
		cell.workers[round+1].loseState()
		cell.awaitOwnerAbove(epoch)
		cell.startEntry().awaitReady()
	}
	submit(3)
	states := cell.awaitFates(time.Minute, ids, "Done", "NotRun", "Failed", "Unknown")
	records := cell.runRecords()
	checkStartedOnce(t, records)
	checkNotRun(t, states, records)
}

// Guards against a submission that creates two jobs when it is sent to several instances (I5).
func TestIdempotencyKeyCreatesOneJob(t *testing.T) {
	cell := newCell(t, options{
		Entries: 3,
		Workers: 2,
	})
	cell.store.setStore(keeper.Faults{
		LoseAnswers: 5,
	})
	var ids []descriptor.JobID
	for i := range 10 {
		job := nonIdempotent(batch(fmt.Sprintf("note-%d", i), 1, coresWithMemory(1), 50*time.Millisecond))
		accepted := make([]descriptor.JobID, 3)
		var group sync.WaitGroup
		for index, entry := range cell.live() {
			group.Go(func() {
				await(t, recoveryTimeout, "submission", func() error {
					status, _, err := entry.client().Submit(context.Background(), job)
					accepted[index] = status.ID
					return err
				})
			})
		}
		group.Wait()
		if accepted[0] != accepted[1] || accepted[1] != accepted[2] {
			t.Errorf("key %s became the jobs %v", job.Key, accepted)
		}
		ids = append(ids, accepted[0])
	}
	other := nonIdempotent(batch("note-0", 2, coresWithMemory(1), time.Second))
	_, _, err := cell.client().Submit(context.Background(), other)
	var problem *descriptor.Problem
	if !errors.As(err, &problem) || problem.Code != descriptor.CodeKeyConflict {
		t.Errorf("submission of another job with a used key: %v", err)
	}
	cell.awaitFates(recoveryTimeout, ids, "Done")
	records := cell.runRecords()
	checkStartedOnce(t, records)
	if len(records) != len(ids) {
		t.Errorf("%d starts of %d jobs", len(records), len(ids))
	}
}

// Guards against cancelled jobs that run, that keep their capacity, or that are reported with a wrong fate, when many
// are cancelled at once.
func TestConcurrentCancellations(t *testing.T) {
	const jobs = 200
	cell := newCell(t, options{
		Entries: 2,
		Workers: 2,
	})
	ids := make([]descriptor.JobID, jobs)
	var group sync.WaitGroup
	for caller := range 8 {
		group.Go(func() {
			for i := caller; i < jobs; i += 8 {
				ids[i] = cell.submit(batch(fmt.Sprintf("fitting-%d", i), 1, coresWithMemory(1), time.Minute))
			}
		})
	}
	group.Wait()
	cell.awaitStarts(recoveryTimeout, 8)
	for caller := range 8 {
		group.Go(func() {
			for i := caller; i < jobs; i += 8 {
				await(t, recoveryTimeout, "cancellation", func() error {
					_, err := cell.client().Cancel(context.Background(), ids[i])
					return err
				})
			}
		})
	}
	group.Wait()
	states := cell.awaitFates(recoveryTimeout, ids, "NotRun", "Failed")
	checkNotRun(t, states, cell.runRecords())
	next := cell.submit(batch("urgent", 2, coresWithMemory(4), 50*time.Millisecond))
	states = append(states, cell.awaitFates(recoveryTimeout, []descriptor.JobID{next}, "Done")...)
	checkCapacity(t, cell.runRecords(), states)
}

// Guards against a worker that fails every run, so that it always appears to have free capacity and attracts all jobs.
func TestWorkerThatFailsEverything(t *testing.T) {
	cell := newCell(t, options{
		Entries: 2,
		Workers: 5,
	})
	broken := cell.workers[0]
	broken.setWorker(worker.Faults{
		FailAll: true,
	})
	var ids []descriptor.JobID
	for i := range 60 {
		ids = append(ids, cell.submit(batch(fmt.Sprintf("assay-%d", i), 1, coresWithMemory(1), 200*time.Millisecond)))
	}
	cell.awaitFates(time.Minute, ids, "Done")
	failures := 0
	for _, record := range cell.runRecords() {
		if string(record.Worker) == broken.id {
			failures++
		}
	}
	t.Logf("%d starts on the broken worker", failures)
	// Once its failures are known, the worker gets no more work.
	earlierFailures := failures
	var later []descriptor.JobID
	for i := range 20 {
		later = append(later, cell.submit(batch(fmt.Sprintf("later-%d", i), 1, coresWithMemory(1), 100*time.Millisecond)))
	}
	cell.awaitFates(recoveryTimeout, later, "Done")
	failures = 0
	for _, record := range filterByJob(cell.runRecords(), later...) {
		if string(record.Worker) == broken.id {
			failures++
		}
	}
	if failures > 2 {
		t.Errorf("%d of 20 jobs were tried on the broken worker after %d failures there", failures, earlierFailures)
	}
}
