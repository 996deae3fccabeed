package allocator

import (
	"slices"
	"time"

	"pomelomoor/internal/placement/detector"
	"pomelomoor/internal/work/descriptor"
)

const (
	// maxAvoidTime bounds how long after a failure a task waits for workers other than those on which it
	// failed. The others may be full of services, which never end by themselves.
	maxAvoidTime = time.Minute
	// maxFailedWorkers bounds the workers remembered for a task, because the tasks of a service may fail
	// any number of times.
	maxFailedWorkers = 8
	// maxFailingWorkers bounds the failing workers that a request avoids. With more of them, none is
	// avoided.
	maxFailingWorkers = 32
)

// taskFailures holds the latest workers on which a task failed and the time of its last failure.
type taskFailures struct {
	workers []descriptor.WorkerID
	lastAt  time.Time
}

// RecordFailure records that a run of a task failed on a worker.
func (queuedJob *QueuedJob) RecordFailure(now time.Time, task int, worker descriptor.WorkerID) {
	if queuedJob.failures == nil {
		queuedJob.failures = map[int]taskFailures{}
	}
	queuedJob.lastFailedAt = now
	history := queuedJob.failures[task]
	history.lastAt = now
	if !slices.Contains(history.workers, worker) {
		history.workers = append(history.workers, worker)
		history.workers = history.workers[max(0, len(history.workers)-maxFailedWorkers):]
	}
	queuedJob.failures[task] = history
}

// updateFailing updates failingWorkers after a run on a worker has ended.
func (allocator *Allocator) updateFailing(worker descriptor.WorkerID, failed bool) {
	_, known := allocator.workers[worker]
	if !known || !failed || !allocator.detector.Failing(worker) {
		delete(allocator.failingWorkers, worker)
		return
	}
	allocator.failingWorkers[worker] = struct{}{}
}

// avoidedWorkers returns the workers that a task should use only if it fits on no other one.
func (allocator *Allocator) avoidedWorkers(queuedJob *QueuedJob, task int) []descriptor.WorkerID {
	avoided := slices.Concat(queuedJob.Avoid, queuedJob.failures[task].workers)
	// If most workers are failing, the cause is probably in the jobs and not in the workers.
	tooMany := len(allocator.failingWorkers) > maxFailingWorkers || 2*len(allocator.failingWorkers) > len(allocator.workers)
	if queuedJob.Job.Idempotent || tooMany {
		return avoided
	}
	for worker := range allocator.failingWorkers {
		avoided = append(avoided, worker)
	}
	return avoided
}

// mustAvoid reports whether a task should wait rather than start on a worker, because the task failed
// there, or because another task of the job did and the worker is failing. Without this rule a worker
// that fails every run would attract the retries, because it always has free capacity.
func (allocator *Allocator) mustAvoid(queuedJob *QueuedJob, task int, worker descriptor.WorkerID) bool {
	if slices.Contains(queuedJob.failures[task].workers, worker) {
		return true
	}
	_, failing := allocator.failingWorkers[worker]
	return failing && slices.Contains(queuedJob.Avoid, worker)
}

// shouldWait reports whether a task should wait for another worker than the one found, because an available
// worker that it need not avoid is large enough for it.
func (allocator *Allocator) shouldWait(now time.Time, queuedJob *QueuedJob, task int, found descriptor.WorkerID) bool {
	lastFailure := queuedJob.lastFailedAt
	if history, failed := queuedJob.failures[task]; failed {
		lastFailure = history.lastAt
	}
	if now.Sub(lastFailure) >= maxAvoidTime || !allocator.mustAvoid(queuedJob, task, found) {
		return false
	}
	for id, worker := range allocator.workers {
		available := !worker.Closed && allocator.unallocatedCount[id] == 0 && allocator.detector.State(id) == detector.InUse
		if available && allocator.need(queuedJob).Fits(worker.Capacity) && queuedJob.filter.Matches(worker.Labels) && !allocator.mustAvoid(queuedJob, task, id) {
			return true
		}
	}
	return false
}
