package driver

import (
	"time"

	"github.com/uber-go/tally/v4"
)

type metrics struct {
	takeovers       tally.Counter
	appends         tally.Counter
	records         tally.Counter
	appendFailures  tally.Counter
	snapshots       tally.Counter
	syncs           tally.Counter
	unansweredSyncs tally.Counter
	appendLatency   tally.Histogram
	stepLatency     tally.Histogram
}

func newMetrics(scope tally.Scope) metrics {
	scope = scope.SubScope("shard")
	return metrics{
		takeovers:       scope.Counter("takeovers"),
		appends:         scope.Counter("appends"),
		records:         scope.Counter("records"),
		appendFailures:  scope.Counter("append_failures"),
		snapshots:       scope.Counter("snapshots"),
		syncs:           scope.Counter("syncs"),
		unansweredSyncs: scope.Counter("syncs_unanswered"),
		appendLatency:   scope.Histogram("append_latency", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)),
		stepLatency:     scope.Histogram("step_latency", tally.MustMakeExponentialDurationBuckets(10*time.Microsecond, 2, 14)),
	}
}
