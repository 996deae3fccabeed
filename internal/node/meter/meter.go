// Package meter keeps the metrics of a process in memory over a tally scope and prints them over HTTP.
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

// LatencyBuckets are the bounds of histograms of waiting and answer times, from 0.5 ms to 16 s.
var LatencyBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 16)

// Meter collects what is recorded on Scope. Tag values must come from small fixed sets,
// because each combination is kept for the life of the process.
type Meter struct {
	// Scope is the root for all metrics of the process. Names and tags are in Pascal case.
	Scope tally.Scope

	reporter *reporter
}

// New returns a meter that collects at each interval, and a function that collects a last time and ends it.
// An interval of 0 collects at the end only.
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

// ServeHTTP answers with one line of name, tags and value for each series, in order of name and tags.
func (meter *Meter) ServeHTTP(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	// A caller that closed its connection needs no answer.
	_ = meter.Print(writer)
}

// Print writes what was collected. The lines of a histogram count the samples of one bucket each,
// named by its upper bound.
func (meter *Meter) Print(writer io.Writer) error {
	_, err := io.WriteString(writer, meter.reporter.text())
	return err
}

// series is a counter, gauge, timer or one bucket of a histogram.
type series struct {
	name string
	tags string
	// order sorts the buckets of one histogram by bound instead of by text.
	order float64
	value float64
}

// reporter implements tally.StatsReporter.
type reporter struct {
	mutex  sync.Mutex
	series map[string]*series
}

func (reporter *reporter) Capabilities() tally.Capabilities { return reporter }
func (reporter *reporter) Reporting() bool                  { return true }
func (reporter *reporter) Tagging() bool                    { return true }
func (reporter *reporter) Flush()                           {}

// update applies change to the series of name and tags, with bucket as an additional tag unless empty.
func (reporter *reporter) update(name string, tags map[string]string, bucket string, order float64, change func(*series)) {
	text := formatTags(tags, bucket)
	reporter.mutex.Lock()
	defer reporter.mutex.Unlock()
	entry := reporter.series[name+text]
	if entry == nil {
		entry = &series{
			name:  name,
			tags:  text,
			order: order,
		}
		reporter.series[name+text] = entry
	}
	change(entry)
}

func (reporter *reporter) add(name string, tags map[string]string, bucket string, order float64, amount float64) {
	reporter.update(name, tags, bucket, order, func(series *series) {
		series.value += amount
	})
}

func (reporter *reporter) ReportCounter(name string, tags map[string]string, value int64) {
	reporter.add(name, tags, "", 0, float64(value))
}

func (reporter *reporter) ReportGauge(name string, tags map[string]string, value float64) {
	reporter.update(name, tags, "", 0, func(series *series) {
		series.value = value
	})
}

// ReportTimer keeps the count and the sum. Distributions are recorded as histograms.
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

// formatTags returns {A="x",B="y"} in order of keys, or nothing when there are no tags.
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

func (reporter *reporter) text() string {
	reporter.mutex.Lock()
	defer reporter.mutex.Unlock()
	all := slices.Collect(maps.Values(reporter.series))
	slices.SortFunc(all, func(left, right *series) int {
		if compared := strings.Compare(left.name, right.name); compared != 0 {
			return compared
		}
		if compared := strings.Compare(left.group(), right.group()); compared != 0 {
			return compared
		}
		if left.order != right.order {
			if left.order < right.order {
				return -1
			}
			return 1
		}
		return strings.Compare(left.tags, right.tags)
	})
	var text strings.Builder
	for _, series := range all {
		fmt.Fprintf(&text, "%s%s %s\n", series.name, series.tags, strconv.FormatFloat(series.value, 'f', -1, 64))
	}
	return text.String()
}

// group is the tags without the bucket, which is the last.
func (series *series) group() string {
	if series.order == 0 {
		return series.tags
	}
	return strings.TrimRight(series.tags[:strings.LastIndex(series.tags, "UpTo=")], ",")
}
