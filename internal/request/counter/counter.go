// Package counter records the metrics of interactive requests, which docs/metrics.md describes.
package counter

import (
	"time"

	"github.com/uber-go/tally/v4"

	"pomelomoor/internal/request/queuer"
	"pomelomoor/internal/work/descriptor"
)

// Counter records the metrics of one service.
type Counter struct {
	scope tally.Scope
	wait  tally.Histogram
	total tally.Histogram
}

// New returns a Counter for service whose metrics are in a subscope of scope.
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

// Refused counts a request that did not get a slot, by reason.
func (counter *Counter) Refused(reason queuer.Reason) {
	counter.Count("refused", "reason", string(reason))
}

// Waited records how long a request waited for its slot.
func (counter *Counter) Waited(took time.Duration) {
	counter.wait.RecordDuration(took)
}

// Ended counts a finished request by fate and records its total duration.
func (counter *Counter) Ended(fate descriptor.Fate, took time.Duration) {
	counter.Count("ended", "fate", descriptor.NewFateRecord(fate).Fate)
	counter.total.RecordDuration(took)
}

// Count increments the counter name with the tag key=value.
func (counter *Counter) Count(name, key, value string) {
	counter.scope.Tagged(map[string]string{
		key: value,
	}).Counter(name).Inc(1)
}
