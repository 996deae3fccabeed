// Package recorder logs and counts the decisions of an instance.
package recorder

import (
	"context"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/desk"
	"pomelomoor/internal/cell/elector"
	"pomelomoor/internal/cell/leader"
	"pomelomoor/internal/cell/planner"
	"pomelomoor/internal/node/logger"
	"pomelomoor/internal/node/meter"
)

// Recorder implements leader.Observer and receives the answered calls of the desk. It never blocks on its log.
type Recorder struct {
	Log   *slog.Logger
	Scope tally.Scope
}

var _ leader.Observer = (*Recorder)(nil)

func (recorder *Recorder) log(event logger.Event, attributes ...slog.Attr) {
	logger.Log(context.Background(), recorder.Log, event, attributes...)
}

func (recorder *Recorder) count(name string, tags map[string]string) {
	recorder.Scope.Tagged(tags).Counter(name).Inc(1)
}

func (recorder *Recorder) latency(name string, tags map[string]string, took time.Duration) {
	recorder.Scope.Tagged(tags).Histogram(name, meter.LatencyBuckets).RecordDuration(took)
}

// logEvent returns the log event for a kind of planner event.
func logEvent(kind planner.EventKind) logger.Event {
	switch kind {
	case planner.EventJobPlanned:
		return logger.EventJobPlanned
	case planner.EventJobEnded:
		return logger.EventCellJobEnded
	case planner.EventRunPlaced:
		return logger.EventRunPlaced
	case planner.EventRunEnded:
		return logger.EventRunEnded
	case planner.EventRunLost:
		return logger.EventRunLost
	case planner.EventRunReleased:
		return logger.EventRunReleased
	case planner.EventWorkerSilent:
		return logger.EventCellWorkerSilent
	case planner.EventWorkerBack:
		return logger.EventCellWorkerAnswers
	case planner.EventWorkerRestarted:
		return logger.EventCellWorkerRestarted
	case planner.EventWorkerQuarantined:
		return logger.EventCellWorkerAvoided
	default:
		return logger.EventStrayRunStopped
	}
}

// Decided logs and counts the planner's decisions.
func (recorder *Recorder) Decided(events []planner.Event) {
	for _, event := range events {
		logged := logEvent(event.Kind)
		recorder.count("Decisions", map[string]string{
			"Kind": logged.String(),
		})
		attributes := make([]slog.Attr, 0, 6)
		if event.Job != "" {
			attributes = append(attributes, slog.String("Job", string(event.Job)))
		}
		if event.Task != "" {
			attributes = append(attributes, slog.String("Task", event.Task), slog.Int("Run", event.Run))
		}
		if event.Worker != "" {
			attributes = append(attributes, slog.String("Worker", string(event.Worker)))
		}
		if event.Detail != "" {
			attributes = append(attributes, slog.String("Detail", event.Detail))
		}
		attributes = append(attributes, slog.Duration("Age", event.Age))
		recorder.log(logged, attributes...)
	}
}

// OrderAnswered logs the outcome of an order to a worker, except a start that succeeded.
func (recorder *Recorder) OrderAnswered(order string, task describer.TaskID, run int, worker describer.WorkerID, reason string, took time.Duration, err error) {
	if err == nil && order == "start" {
		return
	}
	recorder.log(logger.EventOrderAnswered,
		slog.String("Order", order),
		slog.String("Job", string(task.Job)),
		slog.String("Task", task.String()),
		slog.Int("Run", run),
		slog.String("Worker", string(worker)),
		slog.String("Detail", reason),
		slog.Duration("Took", took),
		logger.Error(err))
}

// PlatformCallEnded counts a call to the platform and measures its latency.
func (recorder *Recorder) PlatformCallEnded(call string, took time.Duration, err error) {
	outcome := "Done"
	if err != nil {
		outcome = "Failed"
	}
	tags := map[string]string{
		"Call":    call,
		"Outcome": outcome,
	}
	recorder.count("Platform.Calls", tags)
	recorder.latency("Platform.Latency", map[string]string{
		"Call": call,
	}, took)
}

// Recovered logs that the state of the cell was loaded at the start of a term.
func (recorder *Recorder) Recovered(fence describer.Fence, inboxItems, workers int, took time.Duration) {
	recorder.log(logger.EventCellRecovered,
		slog.Int64("Fence", int64(fence)),
		slog.Int("Items", inboxItems),
		slog.Int("Workers", workers),
		slog.Duration("Took", took))
}

// EntryUnreadable logs an entry of the store that is ignored because it cannot be read, or a failed list call.
func (recorder *Recorder) EntryUnreadable(kind, key string, err error) {
	recorder.log(logger.EventEntryUnreadable, slog.String("Kind", kind), slog.String("Key", key), logger.Error(err))
}

// RunStarted measures the time from the submission of a job to the start of a run.
func (recorder *Recorder) RunStarted(queueTime time.Duration) {
	recorder.latency("Starts.Wait", nil, queueTime)
}

// WriteFailed logs and counts a write of records that failed.
func (recorder *Recorder) WriteFailed(records int, err error) {
	recorder.count("Records.Failed", nil)
	recorder.log(logger.EventRecordsNotWritten, slog.Int("Records", records), logger.Error(err))
}

// CallAnswered logs, counts and measures a caller's call.
func (recorder *Recorder) CallAnswered(result desk.CallResult) {
	recorder.count("Calls", map[string]string{
		"Call":    result.Call,
		"Outcome": result.Outcome,
	})
	recorder.latency("Calls.Latency", map[string]string{
		"Call": result.Call,
	}, result.Took)
	attributes := []slog.Attr{
		slog.String("Job", string(result.Job)),
		slog.String("Outcome", result.Outcome),
		slog.Int64("ConfigVersion", result.ConfigVersion),
		slog.Duration("Took", result.Took),
		logger.Error(result.Err),
	}
	switch result.Call {
	case "Submit":
		recorder.log(logger.EventJobStored, append(attributes, slog.String("Queue", result.Queue))...)
	case "Cancel":
		recorder.log(logger.EventJobCancelRequested, attributes...)
	case "State":
		recorder.log(logger.EventJobStateTold, append(attributes, slog.String("State", result.State.String()))...)
	}
}

// LeadershipChanged logs a change of the instance's lease or leadership.
func (recorder *Recorder) LeadershipChanged(event string, fence describer.Fence, err error) {
	switch event {
	case "term begins":
		recorder.log(logger.EventCellTermBegan, slog.Int64("Fence", int64(fence)))
	case "term ended":
		recorder.log(logger.EventCellTermEnded, slog.Int64("Fence", int64(fence)), logger.Error(err))
	default:
		recorder.log(logger.EventLeaseChanged, slog.String("Detail", event), slog.Int64("Fence", int64(fence)), logger.Error(err))
	}
}

// Members logs the members and the leader after a change.
func (recorder *Recorder) Members(view elector.View) {
	leader := ""
	if view.Leader != nil {
		leader = view.Leader.Instance
	}
	recorder.log(logger.EventMembersChanged,
		slog.Int("Members", len(view.Members)),
		slog.String("Leader", leader),
		slog.Int64("Fence", int64(view.Fence)))
}

// Config logs a configuration that has been applied.
func (recorder *Recorder) Config(config *describer.Config) {
	recorder.log(logger.EventCellConfigInForce,
		slog.Int64("Version", config.Version),
		slog.Int("Queues", len(config.Queues)))
}

// StoreReachability logs that the store became unreachable, or with a nil error that it is reachable again.
func (recorder *Recorder) StoreReachability(err error) {
	if err != nil {
		recorder.log(logger.EventStoreUnreachable, logger.Error(err))
		return
	}
	recorder.log(logger.EventStoreBack)
}

// AdviceAnswered logs an answer of the advice service.
func (recorder *Recorder) AdviceAnswered(instance string, request planner.AdviceRequest, advice describer.Advice, err error) {
	recorder.log(logger.EventAdviceAnswered,
		slog.String("Job", string(request.Step.Job)),
		slog.String("Step", request.Step.String()),
		slog.String("Instance", instance),
		slog.Int("Asked", len(request.Workers)),
		slog.Int("Allowed", len(advice.Tickets)),
		logger.Error(err))
}
