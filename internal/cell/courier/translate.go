package courier

import (
	"net/netip"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/cellpb"
	"pomelomoor/internal/cell/describer"
)

// outcomeErrors are the errors of describer.Workers and the outcomes that represent them between instances.
var outcomeErrors = []struct {
	outcome cellpb.WorkerOutcome
	err     error
}{
	{
		outcome: cellpb.WorkerOutcome_WORKER_OUTCOME_NO_EFFECT,
		err:     describer.ErrNoEffect,
	},
	{
		outcome: cellpb.WorkerOutcome_WORKER_OUTCOME_FENCED,
		err:     describer.ErrFenced,
	},
	{
		outcome: cellpb.WorkerOutcome_WORKER_OUTCOME_STALE_RUN,
		err:     describer.ErrStaleRun,
	},
	{
		outcome: cellpb.WorkerOutcome_WORKER_OUTCOME_LATE,
		err:     describer.ErrLate,
	},
	{
		outcome: cellpb.WorkerOutcome_WORKER_OUTCOME_NO_CAPACITY,
		err:     describer.ErrNoCapacity,
	},
	{
		outcome: cellpb.WorkerOutcome_WORKER_OUTCOME_TICKET_REJECTED,
		err:     describer.ErrTicketRejected,
	},
	{
		outcome: cellpb.WorkerOutcome_WORKER_OUTCOME_INCARNATION_CHANGED,
		err:     describer.ErrIncarnationChanged,
	},
}

// setError sets the outcome of an answer. An error that is none of describer's counts as uncertain.
func setError(answer *cellpb.WorkerAnswer, err error) {
	if err == nil {
		answer.Outcome = cellpb.WorkerOutcome_WORKER_OUTCOME_DONE
		return
	}
	// The answers of a stream cannot be encoded with bytes that are not text.
	answer.Message = strings.ToValidUTF8(err.Error(), "?")
	for _, known := range outcomeErrors {
		if errors.Is(err, known.err) {
			answer.Outcome = known.outcome
			return
		}
	}
}

// answerError returns the error of an answer. An outcome that is not known counts as uncertain.
func answerError(answer *cellpb.WorkerAnswer) error {
	if answer.GetOutcome() == cellpb.WorkerOutcome_WORKER_OUTCOME_DONE {
		return nil
	}
	for _, known := range outcomeErrors {
		if answer.GetOutcome() == known.outcome {
			return errors.Wrap(known.err, answer.GetMessage())
		}
	}
	return errors.Wrap(describer.ErrUncertain, answer.GetMessage())
}

// parseTarget returns the worker of an order with what an order needs to know of it.
func parseTarget(order *cellpb.WorkerOrder) (describer.Target, error) {
	address, err := netip.ParseAddrPort(order.GetAddress())
	if err != nil {
		return describer.Target{}, errors.Wrap(describer.ErrNoEffect, err.Error())
	}
	return describer.Target{
		Worker: &describer.Worker{
			ID:      describer.WorkerID(order.GetWorker()),
			Address: address,
		},
		Fence: describer.Fence(order.GetFence()),
	}, nil
}

func pollAnswerToProto(answer *cellpb.WorkerAnswer, poll *describer.PollAnswer) {
	answer.Clock = int64(poll.Clock)
	answer.Incarnation = poll.Incarnation.UnixMilli()
	answer.EndsComplete = !poll.EndsTruncated
	for index := range poll.Running {
		status := &poll.Running[index]
		answer.Running = append(answer.Running, &cellpb.RunningRun{
			Task:       status.Task.String(),
			Run:        int64(status.Run),
			Checkpoint: status.Checkpoint,
			Percent:    int64(status.Percent),
			Usage:      status.Usage,
		})
	}
	for index := range poll.Ended {
		end := &poll.Ended[index]
		answer.Ended = append(answer.Ended, &cellpb.EndedRun{
			Number:     end.Number,
			Task:       end.Task.String(),
			Run:        int64(end.Run),
			Outcome:    int32(end.Outcome),
			Checkpoint: end.Checkpoint,
		})
	}
}

// pollAnswerFromProto returns the lists of an answer. One unreadable row fails the whole answer, since a run that is
// missing from the lists counts as ended.
func pollAnswerFromProto(answer *cellpb.WorkerAnswer) (describer.PollAnswer, error) {
	poll := describer.PollAnswer{
		Clock:       time.Duration(answer.GetClock()),
		Incarnation: time.UnixMilli(answer.GetIncarnation()),
		Running:     make([]describer.RunStatus, 0, len(answer.GetRunning())),
		Ended:       make([]describer.EndedRun, 0, len(answer.GetEnded())),
		// A courier of an earlier version does not say whether the list is complete. Without an end it is.
		EndsTruncated: !answer.GetEndsComplete() && len(answer.GetEnded()) > 0,
	}
	for _, row := range answer.GetRunning() {
		id, err := describer.ParseTaskID(row.GetTask())
		if err != nil {
			return poll, errors.Wrap(describer.ErrUncertain, err.Error())
		}
		poll.Running = append(poll.Running, describer.RunStatus{
			Task:       id,
			Run:        int(row.GetRun()),
			Checkpoint: row.GetCheckpoint(),
			Percent:    int(row.GetPercent()),
			Usage:      row.GetUsage(),
		})
	}
	for _, row := range answer.GetEnded() {
		id, err := describer.ParseTaskID(row.GetTask())
		if err != nil {
			return poll, errors.Wrap(describer.ErrUncertain, err.Error())
		}
		poll.Ended = append(poll.Ended, describer.EndedRun{
			Number:     row.GetNumber(),
			Task:       id,
			Run:        int(row.GetRun()),
			Outcome:    describer.Outcome(row.GetOutcome()),
			Checkpoint: row.GetCheckpoint(),
		})
	}
	return poll, nil
}
