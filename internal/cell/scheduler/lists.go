package scheduler

import (
	"time"

	"pomelomoor/internal/cell/describer"
)

// reconcile brings the known runs of worker in line with its list.
func (scheduler *Scheduler) reconcile(now, sent time.Time, worker *worker, answer describer.PollAnswer) {
	listed := make(map[describer.TaskID]bool, len(answer.Running))
	strayCount := len(worker.strays)
	clear(worker.strays)
	for index := range answer.Running {
		status := &answer.Running[index]
		run := worker.runs[status.Task]
		if run == nil || run.number != status.Run {
			scheduler.stopStray(worker, status)
			continue
		}
		listed[status.Task] = true
		scheduler.updateProgress(now, run, status)
	}
	if strayCount > 0 && len(worker.strays) == 0 {
		scheduler.changed = true
	}
	unlisted := 0
	for id, run := range worker.runs {
		if listed[id] {
			continue
		}
		switch run.phase {
		case phaseStarting:
			if !run.unansweredAt.IsZero() && !sent.Before(run.unansweredAt) {
				scheduler.stop(now, run, "start order got no answer")
			}
		case phaseRecovered, phaseUnlisted:
			if run.confirmedAt.IsZero() || run.confirmedAt.Before(sent) {
				unlisted++
				scheduler.settleUnlisted(now, run, answer.EndsTruncated, "run was not started, or ended with the worker's earlier incarnation")
			}
		case phaseRunning, phaseStopping:
			if !run.confirmedAt.IsZero() && run.confirmedAt.Before(sent) {
				unlisted++
				scheduler.settleUnlisted(now, run, answer.EndsTruncated, "run is not in the worker's list")
			}
		}
	}
	scheduler.noteTruncated(worker, answer, unlisted)
}

// noteTruncated reports a list of ends that is truncated, once for each list. unlisted is the number of runs that are
// in neither list although the worker had confirmed them or may have them from an earlier leader.
func (scheduler *Scheduler) noteTruncated(worker *worker, answer describer.PollAnswer, unlisted int) {
	if !answer.EndsTruncated || len(answer.Ended) == 0 {
		return
	}
	last := answer.Ended[len(answer.Ended)-1].Number
	if last == worker.truncatedEnd {
		return
	}
	worker.truncatedEnd = last
	scheduler.emit(Event{
		Kind:     EventEndsTruncated,
		Worker:   worker.id,
		Ends:     len(answer.Ended),
		LastEnd:  last,
		Unlisted: unlisted,
	})
}

// settleUnlisted handles a run that is in neither list of its worker, so that it has ended or never began. While the list
// of ends is truncated its end may not be listed yet, and its task waits for it. A lasting task does not, since it runs
// again however it ended.
func (scheduler *Scheduler) settleUnlisted(now time.Time, run *run, truncated bool, reason string) {
	switch {
	case !truncated || run.task.step.Perpetual:
		scheduler.release(now, run, reason)
	case run.phase != phaseUnlisted:
		scheduler.freeResources(run)
		run.phase = phaseUnlisted
	}
}

// noteRelisted handles a run that a worker lists as running after it was in neither list: the answer was overtaken by the
// other one, or a late order started the run on a new incarnation. It is stopped, since it may have ended before.
func (scheduler *Scheduler) noteRelisted(now time.Time, run *run) {
	run.worker.occupy(run.task.step)
	run.charge()
	run.phase = phaseRunning
	scheduler.stop(now, run, "run is listed again after its end")
}

// updateProgress updates a run from its entry in the worker's list.
func (scheduler *Scheduler) updateProgress(now time.Time, run *run, status *describer.RunStatus) {
	if status.Checkpoint != "" && run.task.active == run {
		run.task.checkpoint = status.Checkpoint
	}
	if run.phase == phaseUnlisted {
		scheduler.noteRelisted(now, run)
	}
	if run.phase == phaseStarting || run.phase == phaseRecovered {
		run.phase = phaseRunning
		run.confirmedAt = now
		run.lastProgress = now
		run.task.step.job.markStarted()
	}
	run.heldUntil = time.Time{}
	scheduler.noteSurvival(now, run)
	if status.Percent != run.percent {
		run.percent = status.Percent
		run.lastProgress = now
	}
	scheduler.checkStall(now, run)
}

// stopStray stops a run that is in no record, such as one of a job that was cancelled under an earlier leader.
func (scheduler *Scheduler) stopStray(worker *worker, status *describer.RunStatus) {
	worker.strays[status.Task] = status.Run
	scheduler.effects.Stops = append(scheduler.effects.Stops, Stop{
		Worker: worker.description,
		Fence:  worker.fence,
		Order: describer.StopOrder{
			Task: status.Task,
			Run:  status.Run,
		},
		Reason: "run has no record",
	})
	scheduler.emit(Event{
		Kind:   EventStrayStopped,
		Job:    status.Task.Job,
		Task:   status.Task.String(),
		Run:    status.Run,
		Worker: worker.id,
	})
}
