// Package meter collects the metrics of a process from a tally scope in memory and serves them over HTTP.
package meter

import (
	"fmt"
	"io"
	"maps"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// LatencyBuckets are the upper bounds of the buckets for histograms of waiting and response times, from 0.5 ms
// to 16 s.
var LatencyBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 16)

// Meter collects the metrics that are recorded on Scope. Tag values must come from small fixed sets,
// because each combination is kept for the life of the process.
type Meter struct {
	// Scope is the root for all metrics of the process. Names and tags are in Pascal case.
	Scope tally.Scope

	reporter *reporter
}

// New returns a meter that collects at each interval, and a function that collects once more and stops the meter.
// With an interval of 0 only that function collects.
func New(interval time.Duration) (*Meter, func() error) {
	reporter := &reporter{
		series: map[string]*series{},
	}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Reporter:               reporter,
		Separator:              ".",
		OmitCardinalityMetrics: true,
	}, interval)
	meter := &Meter{
		Scope:    scope,
		reporter: reporter,
	}
	return meter, closer.Close
}

// ServeHTTP responds with the output of Print.
func (meter *Meter) ServeHTTP(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	// Ignored: a write fails when the caller has closed its connection.
	_ = meter.Print(writer)
}

// Print writes one line with name, tags and value for each series, sorted by name and tags. A histogram has one
// line for each bucket, with the upper bound as the tag UpTo and the number of samples as the value.
func (meter *Meter) Print(writer io.Writer) error {
	_, err := io.WriteString(writer, meter.reporter.text())
	return err
}

// series is a counter, gauge, timer or one bucket of a histogram.
type series struct {
	name string
	tags string
	// upperBound is the upper bound of a bucket, by which the buckets of a histogram are sorted, and 0 for all
	// other series.
	upperBound float64
	value      float64
}

// reporter implements tally.StatsReporter. It keeps the series by name and formatted tags.
type reporter struct {
	mutex  sync.Mutex
	series map[string]*series
}

func (reporter *reporter) Capabilities() tally.Capabilities { return reporter }
func (reporter *reporter) Reporting() bool                  { return true }
func (reporter *reporter) Tagging() bool                    { return true }
func (reporter *reporter) Flush()                           {}

// updateSeries applies modify to the series of name and tags, which it creates if necessary. A bucket that is not
// empty becomes an additional tag.
func (reporter *reporter) updateSeries(
	name string, tags map[string]string, bucket string, upperBound float64, modify func(*series),
) {
	text := formatTags(tags, bucket)
	reporter.mutex.Lock()
	defer reporter.mutex.Unlock()
	current := reporter.series[name+text]
	if current == nil {
		current = &series{
			name:       name,
			tags:       text,
			upperBound: upperBound,
		}
		reporter.series[name+text] = current
	}
	modify(current)
}

func (reporter *reporter) add(name string, tags map[string]string, bucket string, upperBound float64, amount float64) {
	reporter.updateSeries(name, tags, bucket, upperBound, func(series *series) {
		series.value += amount
	})
}

func (reporter *reporter) ReportCounter(name string, tags map[string]string, value int64) {
	reporter.add(name, tags, "", 0, float64(value))
}

func (reporter *reporter) ReportGauge(name string, tags map[string]string, value float64) {
	reporter.updateSeries(name, tags, "", 0, func(series *series) {
		series.value = value
	})
}

// ReportTimer keeps only the count and the sum of a timer. For a distribution, record a histogram.
func (reporter *reporter) ReportTimer(name string, tags map[string]string, interval time.Duration) {
	reporter.add(name+".Count", tags, "", 0, 1)
	reporter.add(name+".Seconds", tags, "", 0, interval.Seconds())
}

func (reporter *reporter) ReportHistogramValueSamples(
	name string, tags map[string]string, _ tally.Buckets, _, upper float64, samples int64,
) {
	bound := strconv.FormatFloat(upper, 'g', -1, 64)
	if upper == math.MaxFloat64 {
		bound = "Inf"
	}
	reporter.add(name, tags, bound, upper, float64(samples))
}

func (reporter *reporter) ReportHistogramDurationSamples(
	name string, tags map[string]string, _ tally.Buckets, _, upper time.Duration, samples int64,
) {
	bound := upper.String()
	if upper == math.MaxInt64 {
		bound = "Inf"
	}
	reporter.add(name, tags, bound, float64(upper), float64(samples))
}

// formatTags returns tags sorted by key, followed by bucket, such as {A="x",UpTo="1ms"}, or an empty string if
// there are none.
func formatTags(tags map[string]string, bucket string) string {
	parts := make([]string, 0, len(tags)+1)
	for _, key := range slices.Sorted(maps.Keys(tags)) {
		parts = append(parts, fmt.Sprintf("%s=%q", key, tags[key]))
	}
	if bucket != "" {
		parts = append(parts, fmt.Sprintf("UpTo=%q", bucket))
	}
	if len(parts) == 0 {
		return ""
	}
	return "{" + strings.Join(parts, ",") + "}"
}

// text returns the sorted lines of all series.
func (reporter *reporter) text() string {
	reporter.mutex.Lock()
	defer reporter.mutex.Unlock()
	sorted := slices.Collect(maps.Values(reporter.series))
	slices.SortFunc(sorted, func(left, right *series) int {
		if compared := strings.Compare(left.name, right.name); compared != 0 {
			return compared
		}
		if compared := strings.Compare(left.tagsWithoutBucket(), right.tagsWithoutBucket()); compared != 0 {
			return compared
		}
		if left.upperBound != right.upperBound {
			if left.upperBound < right.upperBound {
				return -1
			}
			return 1
		}
		return strings.Compare(left.tags, right.tags)
	})
	var text strings.Builder
	for _, series := range sorted {
		fmt.Fprintf(&text, "%s%s %s\n", series.name, series.tags, strconv.FormatFloat(series.value, 'f', -1, 64))
	}
	return text.String()
}

// tagsWithoutBucket returns the tags without the tag UpTo, which is the last one.
func (series *series) tagsWithoutBucket() string {
	if series.upperBound == 0 {
		return series.tags
	}
	return strings.TrimRight(series.tags[:strings.LastIndex(series.tags, "UpTo=")], ",")
}
