package allocator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/shard/allocator"
	"pomelomoor/internal/work/descriptor"
)

var (
	begin    = time.Date(2026, 12, 4, 7, 0, 0, 0, time.UTC)
	capacity = descriptor.Resources{
		MilliCPU:    4000,
		MemoryBytes: 4000,
	}
)

// shard is an allocator with equal workers w0, w1 and so on.
type shard struct {
	allocator.Allocator
	t *testing.T
}

func newShard(t *testing.T, workers int) *shard {
	shard := &shard{
		t: t,
	}
	for i := range workers {
		shard.SetWorker(allocator.Worker{
			ID:       descriptor.WorkerID(fmt.Sprintf("w%d", i)),
			Capacity: capacity,
		})
	}
	return shard
}

func (shard *shard) work(id descriptor.JobID, milliCPU int64, idempotent bool) *allocator.Work {
	shard.t.Helper()
	work, err := allocator.NewWork(id, &descriptor.Job{
		Name:  string(id),
		Kind:  descriptor.KindBatch,
		Tasks: 2,
		Task: descriptor.Resources{
			MilliCPU: milliCPU,
		},
		Idempotent: idempotent,
	}, parser.Treatment{}, begin)
	if err != nil {
		shard.t.Fatal(err)
	}
	return work
}

// place queues the work and returns its run and worker, which are empty if it has to wait.
func (shard *shard) place(now time.Time, work *allocator.Work) (descriptor.RunID, descriptor.WorkerID) {
	shard.Queue(work, 0)
	for _, placement := range shard.Pass(now).Placements {
		if placement.Work == work {
			work.Attempts[0] = placement.Run.Attempt
			return placement.Run, placement.Worker
		}
	}
	return descriptor.RunID{}, ""
}

// fail ends a run as failed.
func (shard *shard) fail(now time.Time, work *allocator.Work, run descriptor.RunID, worker descriptor.WorkerID) {
	shard.Release(work, run)
	shard.Report(now, work, worker, descriptor.Resources{}, time.Second, true)
	work.Fail(now, run.Task, worker)
}

// Guards against a task that uses up its attempts on the one worker that is always free because it
// fails everything, and against one that waits for ever for the others.
func TestAttemptsAfterFailure(t *testing.T) {
	shard := newShard(t, 3)
	work := shard.work("job", 1000, true)
	run, broken := shard.place(begin, work)
	shard.fail(begin, work, run, broken)
	// Two other jobs fill the workers that are left.
	var filled []descriptor.RunID
	var others []descriptor.WorkerID
	filler := []*allocator.Work{shard.work("one", 4000, true), shard.work("two", 4000, true)}
	for _, one := range filler {
		one.Avoid = []descriptor.WorkerID{broken}
		run, worker := shard.place(begin, one)
		filled, others = append(filled, run), append(others, worker)
	}
	if slices.Contains(others, broken) || slices.Contains(others, "") {
		t.Fatalf("the others are on %v, the broken worker is %s", others, broken)
	}
	if _, worker := shard.place(begin.Add(time.Second), work); worker != "" {
		t.Fatalf("the second attempt is on %s", worker)
	}
	shard.Release(filler[0], filled[0])
	run, worker := shard.place(begin.Add(2*time.Second), work)
	if worker != others[0] {
		t.Fatalf("the second attempt is on %q, want %s", worker, others[0])
	}
	shard.fail(begin.Add(3*time.Second), work, run, worker)
	if _, worker := shard.place(begin.Add(4*time.Second), work); worker != "" {
		t.Errorf("the third attempt is on %s while %s matches", worker, others[1])
	}
	if _, worker := shard.place(begin.Add(2*time.Minute), work); worker == "" {
		t.Error("the third attempt waits for ever")
	}
}

// Guards against a preference that keeps a task from the only worker that matches.
func TestOnlyWorkerMatches(t *testing.T) {
	shard := newShard(t, 1)
	work := shard.work("job", 1000, true)
	run, only := shard.place(begin, work)
	shard.fail(begin, work, run, only)
	if _, worker := shard.place(begin.Add(time.Second), work); worker != only {
		t.Errorf("the second attempt is on %q, want %s", worker, only)
	}
}

// Guards against work that can't be repeated on a worker whose latest runs all failed.
func TestRecordOfWorkers(t *testing.T) {
	shard := newShard(t, 3)
	first := shard.work("first", 1000, true)
	run, broken := shard.place(begin, first)
	shard.fail(begin, first, run, broken)
	if _, worker := shard.place(begin, shard.work("second", 1000, false)); worker == broken || worker == "" {
		t.Errorf("work that runs at most once is on %q, where the latest run failed", worker)
	}
	for _, worker := range []descriptor.WorkerID{"w0", "w1", "w2"} {
		shard.Report(begin, first, worker, descriptor.Resources{}, time.Second, true)
	}
	if _, worker := shard.place(begin, shard.work("third", 1000, false)); worker == "" {
		t.Error("work waits because all workers have a bad record")
	}
}

// Guards against a worker under suspicion that gets one task of a job after the other.
func TestSuspectedWorker(t *testing.T) {
	shard := newShard(t, 2)
	work := shard.work("job", 1000, true)
	run, broken := shard.place(begin, work)
	shard.fail(begin, work, run, broken)
	work.Avoid = []descriptor.WorkerID{broken}
	filler := shard.work("filler", 4000, true)
	filler.Avoid = work.Avoid
	if _, worker := shard.place(begin, filler); worker == broken || worker == "" {
		t.Fatalf("the filler is on %q", worker)
	}
	shard.Queue(work, 1)
	if placements := shard.Pass(begin.Add(time.Second)).Placements; len(placements) > 0 {
		t.Errorf("another task of the job is on %s", placements[0].Worker)
	}
	if placements := shard.Pass(begin.Add(2 * time.Minute)).Placements; len(placements) != 1 {
		t.Errorf("placements after the wait: %v", placements)
	}
}
