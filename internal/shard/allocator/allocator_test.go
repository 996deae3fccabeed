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
	startTime = time.Date(2026, 12, 4, 7, 0, 0, 0, time.UTC)
	capacity  = descriptor.Resources{
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

func (shard *shard) newQueuedJob(id descriptor.JobID, milliCPU int64, idempotent bool) *allocator.QueuedJob {
	shard.t.Helper()
	queuedJob, err := allocator.NewQueuedJob(id, &descriptor.Job{
		Name:  string(id),
		Kind:  descriptor.KindBatch,
		Tasks: 2,
		Task: descriptor.Resources{
			MilliCPU: milliCPU,
		},
		Idempotent: idempotent,
	}, parser.EffectivePolicy{}, startTime)
	if err != nil {
		shard.t.Fatal(err)
	}
	return queuedJob
}

// place enqueues the first task of a job and returns its run and worker, which are empty if the task has
// to wait.
func (shard *shard) place(now time.Time, queuedJob *allocator.QueuedJob) (descriptor.RunID, descriptor.WorkerID) {
	shard.Enqueue(queuedJob, 0)
	for _, placement := range shard.Schedule(now).Placements {
		if placement.QueuedJob == queuedJob {
			queuedJob.Attempts[0] = placement.Run.Attempt
			return placement.Run, placement.Worker
		}
	}
	return descriptor.RunID{}, ""
}

// fail ends a run as failed.
func (shard *shard) fail(now time.Time, queuedJob *allocator.QueuedJob, run descriptor.RunID, worker descriptor.WorkerID) {
	shard.Release(queuedJob, run)
	shard.RecordRunEnd(now, queuedJob, worker, descriptor.Resources{}, time.Second, true)
	queuedJob.RecordFailure(now, run.Task, worker)
}

// Guards against a task that spends all its attempts on a broken worker, which is always free because it
// fails every run, and against a task that waits forever for the other workers.
func TestAttemptsAfterFailure(t *testing.T) {
	shard := newShard(t, 3)
	queuedJob := shard.newQueuedJob("job", 1000, true)
	run, broken := shard.place(startTime, queuedJob)
	shard.fail(startTime, queuedJob, run, broken)
	// Two other jobs fill the remaining workers.
	var fillerRuns []descriptor.RunID
	var fillerWorkers []descriptor.WorkerID
	filler := []*allocator.QueuedJob{shard.newQueuedJob("one", 4000, true), shard.newQueuedJob("two", 4000, true)}
	for _, other := range filler {
		other.Avoid = []descriptor.WorkerID{broken}
		run, worker := shard.place(startTime, other)
		fillerRuns, fillerWorkers = append(fillerRuns, run), append(fillerWorkers, worker)
	}
	if slices.Contains(fillerWorkers, broken) || slices.Contains(fillerWorkers, "") {
		t.Fatalf("the others are on %v, the broken worker is %s", fillerWorkers, broken)
	}
	if _, worker := shard.place(startTime.Add(time.Second), queuedJob); worker != "" {
		t.Fatalf("the second attempt is on %s", worker)
	}
	shard.Release(filler[0], fillerRuns[0])
	run, worker := shard.place(startTime.Add(2*time.Second), queuedJob)
	if worker != fillerWorkers[0] {
		t.Fatalf("the second attempt is on %q, want %s", worker, fillerWorkers[0])
	}
	shard.fail(startTime.Add(3*time.Second), queuedJob, run, worker)
	if _, worker := shard.place(startTime.Add(4*time.Second), queuedJob); worker != "" {
		t.Errorf("the third attempt is on %s while %s matches", worker, fillerWorkers[1])
	}
	if _, worker := shard.place(startTime.Add(2*time.Minute), queuedJob); worker == "" {
		t.Error("the third attempt is still waiting two minutes later")
	}
}

// Guards against a task that never starts because the only matching worker is one on which it failed.
func TestOnlyWorkerMatches(t *testing.T) {
	shard := newShard(t, 1)
	queuedJob := shard.newQueuedJob("job", 1000, true)
	run, only := shard.place(startTime, queuedJob)
	shard.fail(startTime, queuedJob, run, only)
	if _, worker := shard.place(startTime.Add(time.Second), queuedJob); worker != only {
		t.Errorf("the second attempt is on %q, want %s", worker, only)
	}
}

// Guards against starting a job that must run at most once on a worker whose latest runs all failed, and
// against making such a job wait when the latest runs failed on all workers.
func TestFailingWorkersAvoided(t *testing.T) {
	shard := newShard(t, 3)
	first := shard.newQueuedJob("first", 1000, true)
	run, broken := shard.place(startTime, first)
	shard.fail(startTime, first, run, broken)
	if _, worker := shard.place(startTime, shard.newQueuedJob("second", 1000, false)); worker == broken || worker == "" {
		t.Errorf("the job that runs at most once is on %q, where the latest run failed", worker)
	}
	for _, worker := range []descriptor.WorkerID{"w0", "w1", "w2"} {
		shard.RecordRunEnd(startTime, first, worker, descriptor.Resources{}, time.Second, true)
	}
	if _, worker := shard.place(startTime, shard.newQueuedJob("third", 1000, false)); worker == "" {
		t.Error("the job waits although the latest runs failed on all workers")
	}
}

// Guards against a job whose tasks start one after the other on a failing worker. After a minute they
// may, so that the job does not wait forever.
func TestFailingWorkerNotRetried(t *testing.T) {
	shard := newShard(t, 2)
	queuedJob := shard.newQueuedJob("job", 1000, true)
	run, broken := shard.place(startTime, queuedJob)
	shard.fail(startTime, queuedJob, run, broken)
	queuedJob.Avoid = []descriptor.WorkerID{broken}
	filler := shard.newQueuedJob("filler", 4000, true)
	filler.Avoid = queuedJob.Avoid
	if _, worker := shard.place(startTime, filler); worker == broken || worker == "" {
		t.Fatalf("the filler is on %q", worker)
	}
	shard.Enqueue(queuedJob, 1)
	if placements := shard.Schedule(startTime.Add(time.Second)).Placements; len(placements) > 0 {
		t.Errorf("another task of the job is on %s", placements[0].Worker)
	}
	if placements := shard.Schedule(startTime.Add(2 * time.Minute)).Placements; len(placements) != 1 {
		t.Errorf("placements after the wait: %v", placements)
	}
}
