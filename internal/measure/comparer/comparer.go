// Package comparer measures what the users of the two deployments asked for against baselines, all from
// one seed, and prints one table.
package comparer

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/local/launcher"
	"pomelomoor/internal/local/reporter"
	"pomelomoor/internal/measure/packer"
	"pomelomoor/internal/measure/sequencer"
	"pomelomoor/internal/measure/streamer"
)

// Row is one measure of one deployment.
type Row struct {
	Deployment string
	Measure    string
	Unit       string
	Value      float64
	// Baseline names what Value is compared with, and BaselineValue is its figure on the same work.
	Baseline      string
	BaselineValue float64
}

// Deployment describes the work of one user.
type Deployment struct {
	Name string
	// Scenario is the simulated work with deadlines.
	Scenario string
	// RequestDeadline is that of interactive requests.
	RequestDeadline time.Duration
	// Live is the report of a local run, or nil.
	Live *reporter.Report
}

// Deployments returns the two deployments.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name:            "Kupferau",
			Scenario:        "Teams",
			RequestDeadline: time.Second,
		},
		{
			Name:            "Inkoni",
			Scenario:        "TeamsBurst",
			RequestDeadline: 200 * time.Millisecond,
		},
	}
}

const (
	// workers is the number of workers of a deployment.
	workers = 50
	// batches is the number of simulated jobs with a deadline.
	batches = 20_000
	// packings is the number of seeds over which packing is averaged.
	packings = 20
)

// Compare returns all rows of a deployment.
func Compare(deployment Deployment, seed uint64) ([]Row, error) {
	comparison := &comparison{
		deployment: deployment,
		seed:       seed,
	}
	if err := comparison.packing(); err != nil {
		return nil, err
	}
	if err := comparison.deadlines(); err != nil {
		return nil, err
	}
	comparison.crest()
	comparison.headOfLine()
	comparison.traffic()
	return comparison.rows, nil
}

type comparison struct {
	deployment Deployment
	seed       uint64
	rows       []Row
}

func (comparison *comparison) add(measure, unit string, value float64, baseline string, baselineValue float64) {
	comparison.rows = append(comparison.rows, Row{
		Deployment:    comparison.deployment.Name,
		Measure:       measure,
		Unit:          unit,
		Value:         value,
		Baseline:      baseline,
		BaselineValue: baselineValue,
	})
}

func (comparison *comparison) packing() error {
	sum := 0.0
	for i := range uint64(packings) {
		share, err := packer.Pack(comparison.deployment.Name, comparison.seed+i, workers)
		if err != nil {
			return err
		}
		sum += share
	}
	comparison.add("Packing at the first refusal", "%", 100*sum/packings, "fractional upper bound", 100)
	return nil
}

func (comparison *comparison) deadlines() error {
	index := slices.IndexFunc(sequencer.Scenarios, func(scenario sequencer.Scenario) bool {
		return scenario.Name == comparison.deployment.Scenario
	})
	if index < 0 {
		return errors.Errorf("comparer: no scenario %s", comparison.deployment.Scenario)
	}
	scenario := sequencer.Scenarios[index]
	work := sequencer.Generate(scenario, comparison.seed, batches)
	misses, waits := sequencer.Simulate(work, sequencer.Ordered(scenario))
	for _, baseline := range []struct {
		name   string
		policy sequencer.Policy
	}{
		{
			name:   "first-come-first-served",
			policy: sequencer.FCFS(),
		},
		{
			name:   "earliest-deadline-first",
			policy: sequencer.EDF(),
		},
	} {
		baselineMisses, baselineWaits := sequencer.Simulate(work, baseline.policy)
		comparison.add("Missed deadlines at 95 % load", "%", 100*float64(misses)/batches, baseline.name, 100*float64(baselineMisses)/batches)
		comparison.waits("Wait of batches", waits, baseline.name, baselineWaits)
	}
	return nil
}

// waits adds the median and the p99 in milliseconds.
func (comparison *comparison) waits(measure string, waits []time.Duration, baseline string, baselineWaits []time.Duration) {
	own, other := histogram(waits), histogram(baselineWaits)
	for _, quantile := range []struct {
		name  string
		value float64
	}{
		{
			name:  "median",
			value: 50,
		},
		{
			name:  "p99",
			value: 99,
		},
	} {
		comparison.add(measure+", "+quantile.name, "ms",
			float64(own.ValueAtQuantile(quantile.value))/1000, baseline, float64(other.ValueAtQuantile(quantile.value))/1000)
	}
}

// histogram holds microseconds up to a day with three digits.
func histogram(waits []time.Duration) *hdrhistogram.Histogram {
	const digits = 3
	histogram := hdrhistogram.New(1, (24 * time.Hour).Microseconds(), digits)
	for _, wait := range waits {
		// A wait beyond the range counts as the longest.
		_ = histogram.RecordValue(min(wait.Microseconds(), histogram.HighestTrackableValue()))
	}
	return histogram
}

func (comparison *comparison) crest() {
	system, shared := streamer.Serve(1, func() []*streamer.Request {
		return streamer.Burst(comparison.seed, comparison.deployment.RequestDeadline)
	})
	goodput, _ := streamer.Goodput(system)
	baseline, _ := streamer.Goodput(shared)
	comparison.add("Goodput in time at the crest of a fivefold demand", "%", 100*goodput, "no early refusal", 100*baseline)
}

func (comparison *comparison) headOfLine() {
	system, shared := streamer.Serve(streamer.RegionMembers, func() []*streamer.Request {
		return streamer.Stragglers(comparison.seed, streamer.RegionMembers, false)
	})
	comparison.waits("Wait of short requests behind 5 % stragglers",
		streamer.Waits(system)[parser.LaneShort], "one shared FIFO lane", streamer.Waits(shared)[parser.LaneShort])
}

// Limits of the control traffic.
const (
	nodeBytes      = 5000.0
	storeShare     = 25.0
	configInForce  = 1000.0
	percentOfShare = 100.0
)

// traffic adds what a local run of the deployment measured.
func (comparison *comparison) traffic() {
	live := comparison.deployment.Live
	if live == nil {
		return
	}
	// Requests to runners are the callers' own traffic.
	control := 0.0
	for _, role := range slices.Sorted(maps.Keys(live.EntryBytesPerSecond)) {
		if role != launcher.RoleRunner {
			control += live.EntryBytesPerSecond[role]
		}
	}
	comparison.add("Control traffic of an entry instance, local run", "B/s", control, "limit of a node", nodeBytes)
	comparison.add("Control traffic between regions, local run", "B/s", live.BytesBetweenRegionsPerSecond, "none", 0)
	for _, role := range slices.Sorted(maps.Keys(live.RegionBytes)) {
		comparison.add(fmt.Sprintf("Control traffic between regions with %s, local run", role), "B/s",
			float64(live.RegionBytes[role])/live.Span.Seconds(), "none", 0)
	}
	comparison.add("Store writes, local run", "% of its rate", percentOfShare*live.StoreWriteShare, "limit today", storeShare)
	comparison.add("Store reads, local run", "% of its rate", percentOfShare*live.StoreReadShare, "limit today", storeShare)
	comparison.add("Configuration in force everywhere, local run", "ms",
		float64(live.ConfigInForce.Milliseconds()), "limit today", configInForce)
	for _, line := range live.Lines {
		comparison.add("Median wait of "+line.Name+", local run", "ms", float64(line.MedianWait.Milliseconds()), "none", 0)
		comparison.add("p99 wait of "+line.Name+", local run", "ms", float64(line.P99Wait.Milliseconds()), "none", 0)
	}
}

// WriteTable writes the rows for people.
func WriteTable(writer io.Writer, rows []Row) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "DEPLOYMENT\tMEASURE\tVALUE\tUNIT\tBASELINE\tITS VALUE")
	for _, row := range rows {
		baselineValue := "-"
		if row.Baseline != "none" {
			baselineValue = fmt.Sprintf("%.4g", row.BaselineValue)
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%.4g\t%s\t%s\t%s\n", row.Deployment, row.Measure, row.Value, row.Unit, row.Baseline, baselineValue)
	}
	return table.Flush()
}

// WriteJSON writes the rows for programs.
func WriteJSON(writer io.Writer, rows []Row) error {
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(rows)
}
