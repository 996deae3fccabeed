// Package observer logs and counts the decisions of an instance.
package observer

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"pomelomoor/internal/cell/admitter"
	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/elector"
	"pomelomoor/internal/cell/leader"
	"pomelomoor/internal/cell/refresher"
	"pomelomoor/internal/cell/scheduler"
	"pomelomoor/internal/node/limiter"
	"pomelomoor/internal/node/logger"
	"pomelomoor/internal/node/meter"
)

// Observer implements leader.Observer and receives the answered calls of the admitter. It never blocks on its log.
type Observer struct {
	Log   *slog.Logger
	Scope tally.Scope

	// configOverdue means that the configuration was last reported as overdue.
	configOverdue atomic.Bool

	// config is the configuration that came into force last.
	config atomic.Pointer[describer.Config]
	// organisations limits the organisations that have metrics of their own.
	organisations nameLimiter

	// unreadable limits the lines about entries that cannot be read.
	unreadable entryLimiter

	// refused holds the last report of refused clients by port. Only ClientLimits uses it.
	refused map[string]map[limiter.Reason]int64

	// metrics holds the counters and histograms by name and tag values, since finding them in the scope costs more
	// than recording a sample.
	metrics sync.Map
}

// metricKey is the name of a metric with the values of its tags. No metric has more than two tags.
type metricKey struct {
	name        string
	firstValue  string
	secondValue string
}

var _ leader.Observer = (*Observer)(nil)

func (observer *Observer) log(event logger.Event, attributes ...slog.Attr) {
	logger.Log(context.Background(), observer.Log, event, attributes...)
}

// metric returns the metric with a name and tags, which are alternating names and values, and creates it if there is
// none.
func (observer *Observer) metric(create func(scope tally.Scope) any, name string, tags []string) any {
	key := metricKey{
		name: name,
	}
	if len(tags) > 1 {
		key.firstValue = tags[1]
	}
	if len(tags) > 3 {
		key.secondValue = tags[3]
	}
	if found, known := observer.metrics.Load(key); known {
		return found
	}
	values := map[string]string{}
	for pair := range slices.Chunk(tags, 2) {
		values[pair[0]] = pair[1]
	}
	created, _ := observer.metrics.LoadOrStore(key, create(observer.Scope.Tagged(values)))
	return created
}

func (observer *Observer) count(name string, tags ...string) {
	observer.add(name, 1, tags...)
}

func (observer *Observer) add(name string, count int64, tags ...string) {
	counter, _ := observer.metric(func(scope tally.Scope) any {
		return scope.Counter(name)
	}, name, tags).(tally.Counter)
	counter.Inc(count)
}

func (observer *Observer) latency(name string, took time.Duration, tags ...string) {
	histogram, _ := observer.metric(func(scope tally.Scope) any {
		return scope.Histogram(name, meter.LatencyBuckets)
	}, name, tags).(tally.Histogram)
	histogram.RecordDuration(took)
}

// logEvent returns the log event for a kind of scheduler event.
func logEvent(kind scheduler.EventKind) logger.Event {
	switch kind {
	case scheduler.EventJobPlanned:
		return logger.EventJobPlanned
	case scheduler.EventJobEnded:
		return logger.EventCellJobEnded
	case scheduler.EventRunPlaced:
		return logger.EventRunPlaced
	case scheduler.EventRunEnded:
		return logger.EventRunEnded
	case scheduler.EventRunLost:
		return logger.EventRunLost
	case scheduler.EventRunReleased:
		return logger.EventRunReleased
	case scheduler.EventWorkerSilent:
		return logger.EventCellWorkerSilent
	case scheduler.EventWorkerBack:
		return logger.EventCellWorkerAnswers
	case scheduler.EventWorkerRestarted:
		return logger.EventCellWorkerRestarted
	case scheduler.EventWorkerQuarantined:
		return logger.EventCellWorkerAvoided
	case scheduler.EventWorkerLost:
		return logger.EventCellWorkerLost
	case scheduler.EventEndsTruncated:
		return logger.EventEndsTruncated
	case scheduler.EventEndIgnored:
		return logger.EventEndIgnored
	case scheduler.EventStepBlamed:
		return logger.EventCellStepBlamed
	case scheduler.EventWorkerReinstated:
		return logger.EventCellWorkerReinstated
	case scheduler.EventStepSetAside:
		return logger.EventPanicContained
	default:
		return logger.EventStrayRunStopped
	}
}

// Decided logs and counts the scheduler's decisions.
func (observer *Observer) Decided(events []scheduler.Event) {
	for _, event := range events {
		logged := logEvent(event.Kind)
		observer.count("Decisions", "Kind", logged.String())
		attributes := make([]slog.Attr, 0, 8)
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
		if event.Runs > 0 {
			attributes = append(attributes, slog.Int("Runs", event.Runs), slog.Int("Starting", event.Starting))
		}
		if event.Ends > 0 {
			attributes = append(attributes,
				slog.Int("Ends", event.Ends),
				slog.Int64("LastEnd", event.LastEnd),
				slog.Int("Unlisted", event.Unlisted))
		}
		if event.Losses > 0 {
			attributes = append(attributes, slog.Int("Losses", event.Losses))
		}
		attributes = append(attributes, leaseAttributes(event)...)
		attributes = append(attributes, slog.Duration("Age", event.Age))
		observer.log(logged, attributes...)
	}
}

// leaseAttributes returns what an event tells of the incarnation of a worker and of its leases.
func leaseAttributes(event scheduler.Event) []slog.Attr {
	var attributes []slog.Attr
	if !event.Incarnation.IsZero() {
		attributes = append(attributes, slog.Int64("Incarnation", event.Incarnation.UnixMilli()))
	}
	if !event.FormerIncarnation.IsZero() {
		attributes = append(attributes,
			slog.Int64("FormerIncarnation", event.FormerIncarnation.UnixMilli()),
			slog.Duration("DeadlineAhead", event.DeadlineAhead))
	}
	if event.Lease != scheduler.LeaseUnknown {
		attributes = append(attributes,
			slog.String("Lease", event.Lease.String()),
			slog.Duration("LeaseAge", event.LeaseAge))
	}
	return attributes
}

// OrderAnswered logs the outcome of an order to a worker, except a start that succeeded.
func (observer *Observer) OrderAnswered(order string, task describer.TaskID, run int, worker describer.WorkerID, reason string, took time.Duration, err error) {
	if err == nil && order == "start" {
		return
	}
	observer.log(logger.EventOrderAnswered,
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
func (observer *Observer) PlatformCallEnded(call string, took time.Duration, err error) {
	outcome := "Done"
	if err != nil {
		outcome = "Failed"
	}
	observer.count("Platform.Calls", "Call", call, "Outcome", outcome)
	observer.latency("Platform.Latency", took, "Call", call)
}

// Recovered logs that the state of the cell was loaded at the start of a term.
func (observer *Observer) Recovered(fence describer.Fence, inboxItems, workers int, took time.Duration) {
	observer.log(logger.EventCellRecovered,
		slog.Int64("Fence", int64(fence)),
		slog.Int("Items", inboxItems),
		slog.Int("Workers", workers),
		slog.Duration("Took", took))
}

// EntryUnreadable counts an entry of the store that is ignored because it cannot be read, or a failed list call, and
// logs it unless it was logged lately.
func (observer *Observer) EntryUnreadable(kind, key string, err error) {
	observer.count("Entries.Unreadable", "Kind", kind)
	if !observer.unreadable.allow(time.Now(), kind+" "+key) {
		return
	}
	observer.log(logger.EventEntryUnreadable,
		slog.String("Kind", kind),
		slog.String("Key", key),
		slog.String("Error", shorten(err.Error(), maxEntryError)))
}

// RunStarted measures the time from the submission of a job to the start of a run.
func (observer *Observer) RunStarted(queueTime time.Duration) {
	observer.latency("Starts.Wait", queueTime)
}

// WriteFailed logs and counts a write of records that failed.
func (observer *Observer) WriteFailed(records int, err error) {
	observer.count("Records.Failed")
	observer.log(logger.EventRecordsNotWritten, slog.Int("Records", records), logger.Error(err))
}

// Loaded logs the load of the leader and sets its gauges.
func (observer *Observer) Loaded(load leader.LoadReport) {
	for name, value := range map[string]float64{
		"Leader.Processor":     load.Processor.Seconds() / load.Interval.Seconds(),
		"Leader.LongestPause":  load.LongestPause.Seconds(),
		"Leader.Jobs":          float64(load.Jobs),
		"Leader.WaitingSteps":  float64(load.WaitingSteps),
		"Leader.OverdueSteps":  float64(load.OverdueSteps),
		"Leader.YieldingSteps": float64(load.YieldingSteps),
		"Leader.ExcessSteps":   float64(load.ExcessSteps),
		"Leader.FreeShare":     load.FreeShare,
		"Leader.WaitingAdvice": float64(load.WaitingAdvice),
	} {
		observer.Scope.Gauge(name).Update(value)
	}
	observer.log(logger.EventLeaderLoad,
		slog.Duration("Interval", load.Interval),
		slog.Duration("Processor", load.Processor),
		slog.Int("Passes", load.Passes),
		slog.Duration("PassTime", load.PassTime),
		slog.Duration("LongestPass", load.LongestPass),
		slog.Duration("LongestPause", load.LongestPause),
		slog.Int("Updates", load.Updates),
		slog.Int("Queries", load.Queries),
		slog.Int("Jobs", load.Jobs),
		slog.Int("WaitingSteps", load.WaitingSteps),
		slog.Int("OverdueSteps", load.OverdueSteps),
		slog.Int("YieldingSteps", load.YieldingSteps),
		slog.Int("ExcessSteps", load.ExcessSteps),
		slog.Float64("FreeShare", load.FreeShare),
		slog.Int("WaitingAdvice", load.WaitingAdvice),
		slog.Int("WaitingStarts", load.WaitingStarts),
		slog.Int("OpenStarts", load.OpenStarts),
		slog.Int("OpenStops", load.OpenStops))
	for index := range load.Organisations {
		observer.organisationLoaded(&load.Organisations[index])
	}
}

// Contained logs and counts a panic that was contained to one item, with the stack of its goroutine.
func (observer *Observer) Contained(item string, cause any) {
	observer.count("Panics.Contained")
	observer.log(logger.EventPanicContained, slog.String("Item", item), slog.String("Cause", fmt.Sprint(cause)), slog.String("Stack", string(debug.Stack())))
}

// CallAnswered logs, counts and measures a caller's call.
func (observer *Observer) CallAnswered(result admitter.CallResult) {
	observer.count("Calls", "Call", result.Call, "Outcome", result.Outcome)
	observer.latency("Calls.Latency", result.Took, "Call", result.Call)
	attributes := []slog.Attr{
		slog.String("Job", string(result.Job)),
		slog.String("Outcome", result.Outcome),
		slog.Int64("ConfigVersion", result.Config.Version),
		slog.Duration("ConfigAge", result.Config.Age),
		slog.Duration("Took", result.Took),
		logger.Error(result.Err),
	}
	if result.Organisation != "" {
		attributes = append(attributes, slog.String("Organisation", result.Organisation))
		observer.organisationCalled(&result)
	}
	switch result.Call {
	case "Submit":
		observer.log(logger.EventJobStored, append(attributes, slog.String("Queue", result.Queue))...)
	case "Cancel":
		observer.log(logger.EventJobCancelRequested, attributes...)
	case "State":
		observer.log(logger.EventJobStateTold, append(attributes, slog.String("State", result.State.String()))...)
	case "Route":
		observer.log(logger.EventCallUnrouted, append(attributes,
			slog.String("ConfigCall", string(result.Config.Call)),
			slog.Duration("WatchAge", result.Config.WatchAge),
			slog.String("Host", shorten(result.Host, maxLoggedPath)),
			slog.String("Path", shorten(result.Path, maxLoggedPath)))...)
	}
}

// LeadershipChanged logs a change of the instance's lease or leadership.
func (observer *Observer) LeadershipChanged(event string, fence describer.Fence, err error) {
	switch event {
	case "term begins":
		observer.log(logger.EventCellTermBegan, slog.Int64("Fence", int64(fence)))
	case "term ended":
		observer.log(logger.EventCellTermEnded, slog.Int64("Fence", int64(fence)), logger.Error(err))
	default:
		observer.log(logger.EventLeaseChanged, slog.String("Detail", event), slog.Int64("Fence", int64(fence)), logger.Error(err))
	}
}

// Members logs the members and the leader after a change.
func (observer *Observer) Members(view elector.View) {
	leader := ""
	if view.Leader != nil {
		leader = view.Leader.Instance
	}
	observer.log(logger.EventMembersChanged,
		slog.Int("Members", len(view.Members)),
		slog.String("Leader", leader),
		slog.Int64("Fence", int64(view.Fence)))
}

// Config logs a configuration that has come into force.
func (observer *Observer) Config(config *describer.Config, call refresher.Call, before refresher.Freshness) {
	observer.log(logger.EventCellConfigInForce,
		slog.Int64("Version", config.Version),
		slog.Int("Queues", len(config.Queues)),
		slog.Int("Organisations", len(config.Organisations)),
		slog.Int("Keys", len(config.Keys)),
		slog.String("ConfigCall", string(call)),
		slog.Duration("Age", before.Age),
		slog.Duration("WatchAge", before.WatchAge))
	observer.organisationsChanged(config)
}

// ConfigChecked counts a check of the configuration.
func (observer *Observer) ConfigChecked(call refresher.Call, changed bool, err error) {
	outcome := "Confirmed"
	switch {
	case err != nil:
		outcome = "Failed"
	case changed:
		outcome = "Changed"
	}
	observer.count("Config.Checks", "Call", string(call), "Outcome", outcome)
}

// ConfigFreshness sets the gauges of the configuration, and logs when it becomes overdue and when it no longer is.
func (observer *Observer) ConfigFreshness(freshness refresher.Freshness, overdue bool) {
	observer.Scope.Gauge("Config.Version").Update(float64(freshness.Version))
	observer.Scope.Gauge("Config.Age").Update(freshness.Age.Seconds())
	observer.Scope.Gauge("Config.WatchAge").Update(freshness.WatchAge.Seconds())
	if observer.configOverdue.Swap(overdue) == overdue {
		return
	}
	event := logger.EventCellConfigConfirmed
	if overdue {
		event = logger.EventCellConfigUnconfirmed
	}
	observer.log(event,
		slog.Int64("Version", freshness.Version),
		slog.String("ConfigCall", string(freshness.Call)),
		slog.Duration("Age", freshness.Age),
		slog.Duration("WatchAge", freshness.WatchAge))
}

// StoreReachability logs that the store became unreachable, or with a nil error that it is reachable again.
func (observer *Observer) StoreReachability(err error) {
	if err != nil {
		observer.log(logger.EventStoreUnreachable, logger.Error(err))
		return
	}
	observer.log(logger.EventStoreBack)
}

// ConnectionReplaced logs that the connection to another instance was silent and was replaced.
func (observer *Observer) ConnectionReplaced(address netip.AddrPort) {
	observer.log(logger.EventConnectionReplaced, slog.String("Address", address.String()))
}

// AdviceAnswered logs an answer of the advice service.
func (observer *Observer) AdviceAnswered(instance string, request scheduler.AdviceRequest, advice describer.Advice, err error) {
	observer.log(logger.EventAdviceAnswered,
		slog.String("Job", string(request.Step.Job)),
		slog.String("Step", request.Step.String()),
		slog.String("Instance", instance),
		slog.Int("Asked", len(request.Workers)),
		slog.Int("Allowed", len(advice.Tickets)),
		logger.Error(err))
}
