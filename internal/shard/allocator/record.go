package allocator

import (
	"slices"
	"time"

	"pomelomoor/internal/placement/detector"
	"pomelomoor/internal/work/descriptor"
)

const (
	// avoidFor bounds how long a task waits for other workers than those on which it failed. Those with
	// room for it may be full of services.
	avoidFor = time.Minute
	// maxFailed bounds the workers that are kept for a task. Services may fail any number of times.
	maxFailed = 8
	// maxFailing bounds the workers that a request avoids because of their record.
	maxFailing = 32
)

// failure lists the workers on which a task failed, and when it did so last.
type failure struct {
	workers []descriptor.WorkerID
	at      time.Time
}

// Fail notes that a run of a task failed on a worker.
func (work *Work) Fail(now time.Time, task int, worker descriptor.WorkerID) {
	if work.failures == nil {
		work.failures = map[int]failure{}
	}
	work.failedAt = now
	known := work.failures[task]
	known.at = now
	if !slices.Contains(known.workers, worker) {
		known.workers = append(known.workers, worker)
		known.workers = known.workers[max(0, len(known.workers)-maxFailed):]
	}
	work.failures[task] = known
}

// note keeps the record of a worker: failing is one whose latest runs all failed.
func (allocator *Allocator) note(worker descriptor.WorkerID, failed bool) {
	_, known := allocator.workers[worker]
	if !known || !failed || !allocator.detector.Failing(worker) {
		delete(allocator.failing, worker)
		return
	}
	allocator.failing[worker] = struct{}{}
}

// avoid lists the workers that a task should not be on if there are others.
func (allocator *Allocator) avoid(work *Work, task int) []descriptor.WorkerID {
	avoided := slices.Concat(work.Avoid, work.failures[task].workers)
	// When most workers fail their runs, the runs are likely at fault.
	many := len(allocator.failing) > maxFailing || 2*len(allocator.failing) > len(allocator.workers)
	if work.Job.Idempotent || many {
		return avoided
	}
	for worker := range allocator.failing {
		avoided = append(avoided, worker)
	}
	return avoided
}

// barred reports whether a task rather waits than starts on a worker: it failed there, or the worker is
// under suspicion and failed another task of the job. A worker that fails everything always has room.
func (allocator *Allocator) barred(work *Work, task int, worker descriptor.WorkerID) bool {
	if slices.Contains(work.failures[task].workers, worker) {
		return true
	}
	_, failing := allocator.failing[worker]
	return failing && slices.Contains(work.Avoid, worker)
}

// waits reports whether a task should wait for other workers than the one that was found.
func (allocator *Allocator) waits(now time.Time, work *Work, task int, found descriptor.WorkerID) bool {
	since := work.failedAt
	if known, failed := work.failures[task]; failed {
		since = known.at
	}
	if now.Sub(since) >= avoidFor || !allocator.barred(work, task, found) {
		return false
	}
	for id, worker := range allocator.workers {
		open := !worker.Closed && allocator.unreservedCount[id] == 0 && allocator.detector.State(id) == detector.InUse
		if open && allocator.need(work).Fits(worker.Capacity) && work.where.Matches(worker.Labels) && !allocator.barred(work, task, id) {
			return true
		}
	}
	return false
}
