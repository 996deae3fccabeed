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

// batch returns a batch job whose tasks take runTime.
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

// cores returns an amount of processors with a gibibyte for each.
func cores(count int64) descriptor.Resources {
	return descriptor.Resources{
		MilliCPU:    1000 * count,
		MemoryBytes: count * gibibyte,
	}
}

// submit has a job accepted, however often the call has to be repeated with its key.
func (cell *cell) submit(job descriptor.Job) descriptor.JobID {
	cell.t.Helper()
	var id descriptor.JobID
	await(cell.t, recoveryLimit, "submission of "+job.Key, func() error {
		status, _, err := cell.client().Submit(context.Background(), job)
		id = status.ID
		return err
	})
	return id
}

// status returns what callers are told about a job, with its trail.
func (cell *cell) status(id descriptor.JobID) descriptor.JobStatus {
	cell.t.Helper()
	var status descriptor.JobStatus
	await(cell.t, recoveryLimit, "status of "+string(id), func() error {
		var err error
		status, err = cell.client().Status(context.Background(), id, true)
		return err
	})
	return status
}

// awaitFates waits until all jobs have one of the fates and returns their states.
func (cell *cell) awaitFates(limit time.Duration, ids []descriptor.JobID, fates ...string) []descriptor.JobStatus {
	cell.t.Helper()
	states := make([]descriptor.JobStatus, len(ids))
	await(cell.t, limit, "fates "+strings.Join(fates, ", "), func() error {
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

// history returns all runs that any worker started, oldest first.
func (cell *cell) history() []worker.Record {
	cell.t.Helper()
	var all []worker.Record
	for _, node := range cell.workers {
		var records []worker.Record
		node.get("/v1/history", &records)
		all = append(all, records...)
	}
	slices.SortFunc(all, func(left, right worker.Record) int {
		return left.Started.Compare(right.Started)
	})
	return all
}

// awaitStarts waits until as many runs of the jobs have started; no jobs means all.
func (cell *cell) awaitStarts(limit time.Duration, count int, ids ...descriptor.JobID) []worker.Record {
	cell.t.Helper()
	var found []worker.Record
	await(cell.t, limit, fmt.Sprintf("%d starts", count), func() error {
		found = of(cell.history(), ids...)
		if len(found) < count {
			return fmt.Errorf("%d starts", len(found))
		}
		return nil
	})
	return found
}

// of returns the records of the jobs; no jobs means all.
func of(records []worker.Record, ids ...descriptor.JobID) []worker.Record {
	if len(ids) == 0 {
		return records
	}
	return slices.DeleteFunc(slices.Clone(records), func(record worker.Record) bool {
		return !slices.Contains(ids, record.Run.Job)
	})
}

// task names a task of a job.
type task struct {
	job   descriptor.JobID
	index int
}

func byTask(records []worker.Record) map[task][]worker.Record {
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

// checkCapacity fails the test if a worker ever held more than its size by the declared sizes, or had
// to refuse a start for lack of room.
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
			// Within one message a worker ends runs before it starts others.
			return cmp.Or(left.at.Compare(right.at), cmp.Compare(rank(left.ends), rank(right.ends)))
		})
		var held descriptor.Resources
		for _, change := range changes {
			held = held.Add(change.amount)
			if !held.Fits(size) {
				t.Errorf("%s held %+v at %s", id, held, change.at)
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

func rank(ends bool) int {
	if ends {
		return 0
	}
	return 1
}

// checkSingle fails the test if runs of one task overlap in time.
func checkSingle(t testing.TB, records []worker.Record) {
	t.Helper()
	for task, runs := range byTask(records) {
		for i := 1; i < len(runs); i++ {
			before, after := runs[i-1], runs[i]
			if before.Ended.IsZero() || after.Started.Before(before.Ended) {
				t.Errorf("task %v ran in two places: %s on %s until %s, %s on %s from %s", task,
					before.Run, before.Worker, before.Ended, after.Run, after.Worker, after.Started)
			}
		}
	}
}

// checkOnce fails the test if a task was started more than once.
func checkOnce(t testing.TB, records []worker.Record) {
	t.Helper()
	for task, runs := range byTask(records) {
		if len(runs) > 1 {
			t.Errorf("task %v was started %d times: %+v", task, len(runs), runs)
		}
	}
}
