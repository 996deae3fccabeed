package driver

import (
	"time"

	"github.com/uber-go/tally/v4"
)

type metrics struct {
	takeovers tally.Counter
	appends   tally.Counter
	records   tally.Counter
	failures  tally.Counter
	snapshots tally.Counter
	syncs     tally.Counter
	silent    tally.Counter
	append    tally.Histogram
	step      tally.Histogram
}

func newMetrics(scope tally.Scope) metrics {
	scope = scope.SubScope("shard")
	return metrics{
		takeovers: scope.Counter("takeovers"),
		appends:   scope.Counter("appends"),
		records:   scope.Counter("records"),
		failures:  scope.Counter("append_failures"),
		snapshots: scope.Counter("snapshots"),
		syncs:     scope.Counter("syncs"),
		silent:    scope.Counter("syncs_unanswered"),
		append:    scope.Histogram("append_latency", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)),
		step:      scope.Histogram("step_latency", tally.MustMakeExponentialDurationBuckets(10*time.Microsecond, 2, 14)),
	}
}
