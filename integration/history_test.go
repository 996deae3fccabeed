package integration_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pomelomoor/internal/standin/worker"
	"pomelomoor/internal/work/descriptor"
)

// batch returns an idempotent batch job whose tasks take runTime.
func batch(key string, tasks int, task descriptor.Resources, runTime time.Duration) descriptor.Job {
	payload, _ := json.Marshal(worker.Payload{
		RunTime: descriptor.Duration{
			Duration: runTime,
		},
	})
	return descriptor.Job{
		Name:       key,
		Caller:     "billing-office",
		Team:       "credit-notes",
		Key:        key,
		Kind:       descriptor.KindBatch,
		Tasks:      tasks,
		Task:       task,
		Idempotent: true,
		Payload:    string(payload),
	}
}

// coresWithMemory returns resources of count cores with 1 GiB of memory each.
func coresWithMemory(count int64) descriptor.Resources {
	return descriptor.Resources{
		MilliCPU:    1000 * count,
		MemoryBytes: count * gibibyte,
	}
}

// submit submits a job, and repeats the call with the same key until it is accepted.
func (cell *cell) submit(job descriptor.Job) descriptor.JobID {
	cell.t.Helper()
	var id descriptor.JobID
	await(cell.t, recoveryTimeout, "submission of "+job.Key, func() error {
		status, _, err := cell.client().Submit(context.Background(), job)
		id = status.ID
		return err
	})
	return id
}

// status returns the status of a job, including its trail.
func (cell *cell) status(id descriptor.JobID) descriptor.JobStatus {
	cell.t.Helper()
	var status descriptor.JobStatus
	await(cell.t, recoveryTimeout, "status of "+string(id), func() error {
		var err error
		status, err = cell.client().Status(context.Background(), id, true)
		return err
	})
	return status
}

// awaitFates waits until each job has one of the given fates, and returns the states of the jobs. It fails the test if
// a job ends with another fate.
func (cell *cell) awaitFates(timeout time.Duration, ids []descriptor.JobID, fates ...string) []descriptor.JobStatus {
	cell.t.Helper()
	states := make([]descriptor.JobStatus, len(ids))
	await(cell.t, timeout, "fates "+strings.Join(fates, ", "), func() error {
		client := cell.client()
		for i, id := range ids {
			if slices.Contains(fates, states[i].Fate.Fate) {
				continue
			}
			status, err := client.Status(context.Background(), id, true)
			if err != nil {
				return err
			}
			states[i] = status
			final := []string{"Done", "NotRun", "Failed"}
			if slices.Contains(final, status.Fate.Fate) && !slices.Contains(fates, status.Fate.Fate) {
				cell.t.Fatalf("job %s is %s: %s; trail %v", id, status.Fate.Fate, status.Fate.Reason, status.Trail)
			}
			if !slices.Contains(fates, status.Fate.Fate) {
				return fmt.Errorf("job %s is %s: %s; trail %v", id, status.Fate.Fate, status.Fate.Reason, status.Trail)
			}
		}
		return nil
	})
	return states
}

// runRecords returns all runs that any worker started, oldest first.
func (cell *cell) runRecords() []worker.Record {
	cell.t.Helper()
	var all []worker.Record
	for _, fake := range cell.workers {
		var records []worker.Record
		fake.get("/v1/history", &records)
		all = append(all, records...)
	}
	slices.SortFunc(all, func(left, right worker.Record) int {
		return left.Started.Compare(right.Started)
	})
	return all
}

// awaitStarts waits until at least count runs of the jobs have started, or of all jobs if none are given.
func (cell *cell) awaitStarts(timeout time.Duration, count int, ids ...descriptor.JobID) []worker.Record {
	cell.t.Helper()
	var found []worker.Record
	await(cell.t, timeout, fmt.Sprintf("%d starts", count), func() error {
		found = filterByJob(cell.runRecords(), ids...)
		if len(found) < count {
			return fmt.Errorf("%d starts", len(found))
		}
		return nil
	})
	return found
}

// filterByJob returns the records of the given jobs, or all records if none are given.
func filterByJob(records []worker.Record, ids ...descriptor.JobID) []worker.Record {
	if len(ids) == 0 {
		return records
	}
	return slices.DeleteFunc(slices.Clone(records), func(record worker.Record) bool {
		return !slices.Contains(ids, record.Run.Job)
	})
}

// task identifies a task of a job.
type task struct {
	job   descriptor.JobID
	index int
}

func groupByTask(records []worker.Record) map[task][]worker.Record {
	tasks := map[task][]worker.Record{}
	for _, record := range records {
		key := task{
			job:   record.Run.Job,
			index: record.Run.Task,
		}
		tasks[key] = append(tasks[key], record)
	}
	return tasks
}

// checkCapacity fails the test if the declared resources of the runs on a worker ever exceeded its capacity, or if a
// worker refused a start for lack of capacity.
func checkCapacity(t testing.TB, records []worker.Record, states []descriptor.JobStatus) {
	t.Helper()
	type change struct {
		at     time.Time
		amount descriptor.Resources
		ends   bool
	}
	workers := map[descriptor.WorkerID][]change{}
	for _, record := range records {
		workers[record.Worker] = append(workers[record.Worker], change{
			at:     record.Started,
			amount: record.Declared,
		})
		if !record.Ended.IsZero() {
			workers[record.Worker] = append(workers[record.Worker], change{
				at:     record.Ended,
				amount: descriptor.Resources{}.Sub(record.Declared),
				ends:   true,
			})
		}
	}
	for id, changes := range workers {
		slices.SortStableFunc(changes, func(left, right change) int {
			// When a message contains both, a worker ends runs before it starts others.
			return cmp.Or(left.at.Compare(right.at), cmp.Compare(sortRank(left.ends), sortRank(right.ends)))
		})
		var used descriptor.Resources
		for _, change := range changes {
			used = used.Add(change.amount)
			if !used.Fits(workerCapacity) {
				t.Errorf("runs on %s used %+v at %s", id, used, change.at)
			}
		}
	}
	for _, state := range states {
		for _, decision := range state.Trail {
			if decision.Code == "Refused" {
				t.Errorf("job %s: a worker refused a start: %s", state.ID, decision.Text)
			}
		}
	}
}

// sortRank orders the end of a run before the start of another.
func sortRank(ends bool) int {
	if ends {
		return 0
	}
	return 1
}

// checkNoOverlap fails the test if two runs of one task overlap in time.
func checkNoOverlap(t testing.TB, records []worker.Record) {
	t.Helper()
	for task, runs := range groupByTask(records) {
		for i := 1; i < len(runs); i++ {
			before, after := runs[i-1], runs[i]
			if before.Ended.IsZero() || after.Started.Before(before.Ended) {
				t.Errorf("runs of task %v overlap: %s on %s until %s, %s on %s from %s", task,
					before.Run, before.Worker, before.Ended, after.Run, after.Worker, after.Started)
			}
		}
	}
}

// checkStartedOnce fails the test if a task was started more than once.
func checkStartedOnce(t testing.TB, records []worker.Record) {
	t.Helper()
	for task, runs := range groupByTask(records) {
		if len(runs) > 1 {
			t.Errorf("task %v was started %d times: %+v", task, len(runs), runs)
		}
	}
}
