// Package counter keeps the metrics of interactive requests, as explained in docs/metrics.md.
package counter

import (
	"time"

	"github.com/uber-go/tally/v4"

	"pomelomoor/internal/request/queuer"
	"pomelomoor/internal/work/descriptor"
)

// Counter holds the metrics of one service.
type Counter struct {
	scope tally.Scope
	wait  tally.Histogram
	total tally.Histogram
}

// New returns the counter of a service under scope.
func New(scope tally.Scope, service string) Counter {
	scope = scope.SubScope("request").Tagged(map[string]string{
		"service": service,
	})
	durations := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)
	return Counter{
		scope: scope,
		wait:  scope.Histogram("wait", durations),
		total: scope.Histogram("total", durations),
	}
}

// Refused counts a wait that ended without a slot.
func (counter *Counter) Refused(reason queuer.Reason) {
	counter.Count("refused", "reason", string(reason))
}

// Waited records the wait for a slot.
func (counter *Counter) Waited(took time.Duration) {
	counter.wait.RecordDuration(took)
}

// Ended records the end of a request.
func (counter *Counter) Ended(fate descriptor.Fate, took time.Duration) {
	counter.Count("ended", "fate", descriptor.Record(fate).Fate)
	counter.total.RecordDuration(took)
}

// Count adds one to the metric name with a tag.
func (counter *Counter) Count(name, key, value string) {
	counter.scope.Tagged(map[string]string{
		key: value,
	}).Counter(name).Inc(1)
}
