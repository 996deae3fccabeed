// Package comparer measures the goals of the two deployments against baselines, all from one seed, and writes
// the results as one table.
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
	// Baseline names what Value is compared with: another algorithm, a limit, or "none".
	// BaselineValue is its value on the same workload.
	Baseline      string
	BaselineValue float64
}

// Deployment describes the workload of one deployment.
type Deployment struct {
	Name string
	// Scenario is the name of the simulated workload of jobs with deadlines.
	Scenario string
	// RequestDeadline is the time within which interactive requests must end.
	RequestDeadline time.Duration
	// Live is the report of a local run of the deployment. It may be nil.
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
	// workerCount is the number of workers on which tasks are packed.
	workerCount = 50
	// jobCount is the number of simulated jobs with a deadline.
	jobCount = 20_000
	// packingSeeds is the number of seeds over which packing is averaged.
	packingSeeds = 20
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
	if err := comparison.missedDeadlines(); err != nil {
		return nil, err
	}
	comparison.burst()
	comparison.headOfLineBlocking()
	comparison.localRun()
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
	for i := range uint64(packingSeeds) {
		share, err := packer.Pack(comparison.deployment.Name, comparison.seed+i, workerCount)
		if err != nil {
			return err
		}
		sum += share
	}
	comparison.add("Packing at the first refusal", "%", 100*sum/packingSeeds, "fractional upper bound", 100)
	return nil
}

func (comparison *comparison) missedDeadlines() error {
	index := slices.IndexFunc(sequencer.Scenarios, func(scenario sequencer.Scenario) bool {
		return scenario.Name == comparison.deployment.Scenario
	})
	if index < 0 {
		return errors.Errorf("comparer: unknown scenario %s", comparison.deployment.Scenario)
	}
	scenario := sequencer.Scenarios[index]
	jobs := sequencer.Generate(scenario, comparison.seed, jobCount)
	misses, waits := sequencer.Simulate(jobs, sequencer.OrdererPolicy(scenario))
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
		baselineMisses, baselineWaits := sequencer.Simulate(jobs, baseline.policy)
		comparison.add("Missed deadlines at 95 % load", "%", 100*float64(misses)/jobCount, baseline.name, 100*float64(baselineMisses)/jobCount)
		comparison.waits("Wait of batches", waits, baseline.name, baselineWaits)
	}
	return nil
}

// waits adds the median and the 99th percentile of waiting times, in milliseconds.
func (comparison *comparison) waits(measure string, waits []time.Duration, baseline string, baselineWaits []time.Duration) {
	systemHistogram, baselineHistogram := histogram(waits), histogram(baselineWaits)
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
			float64(systemHistogram.ValueAtQuantile(quantile.value))/1000, baseline, float64(baselineHistogram.ValueAtQuantile(quantile.value))/1000)
	}
}

// histogram returns a histogram of waiting times in microseconds, up to a day and with three significant digits.
func histogram(waits []time.Duration) *hdrhistogram.Histogram {
	const digits = 3
	histogram := hdrhistogram.New(1, (24 * time.Hour).Microseconds(), digits)
	for _, wait := range waits {
		// A wait beyond the range is recorded as the largest value of the range.
		_ = histogram.RecordValue(min(wait.Microseconds(), histogram.HighestTrackableValue()))
	}
	return histogram
}

func (comparison *comparison) burst() {
	system, fifo := streamer.SimulateBoth(1, func() []*streamer.Request {
		return streamer.GenerateBurst(comparison.seed, comparison.deployment.RequestDeadline)
	})
	goodput, _ := streamer.Goodput(system)
	baseline, _ := streamer.Goodput(fifo)
	comparison.add("Goodput in time at the crest of a fivefold demand", "%", 100*goodput, "no early refusal", 100*baseline)
}

func (comparison *comparison) headOfLineBlocking() {
	system, fifo := streamer.SimulateBoth(streamer.RegionInstances, func() []*streamer.Request {
		return streamer.GenerateStragglers(comparison.seed, streamer.RegionInstances, false)
	})
	comparison.waits("Wait of short requests behind 5 % stragglers",
		streamer.Waits(system)[parser.LaneShort], "one shared FIFO lane", streamer.Waits(fifo)[parser.LaneShort])
}

// Limits that the measures of a local run are compared with.
const (
	maxNodeBytes          = 5000.0
	maxStorePercent       = 25.0
	maxConfigMilliseconds = 1000.0
	percent               = 100.0
)

// localRun adds the measures of the local run of the deployment, if there is one.
func (comparison *comparison) localRun() {
	live := comparison.deployment.Live
	if live == nil {
		return
	}
	// Traffic to runners consists of callers' requests and is not control traffic.
	control := 0.0
	for _, role := range slices.Sorted(maps.Keys(live.EntryBytesPerSecond)) {
		if role != launcher.RoleRunner {
			control += live.EntryBytesPerSecond[role]
		}
	}
	comparison.add("Control traffic of an entry instance, local run", "B/s", control, "limit of a node", maxNodeBytes)
	comparison.add("Control traffic between regions, local run", "B/s", live.BytesBetweenRegionsPerSecond, "none", 0)
	for _, role := range slices.Sorted(maps.Keys(live.RegionBytes)) {
		comparison.add(fmt.Sprintf("Control traffic between regions with %s, local run", role), "B/s",
			float64(live.RegionBytes[role])/live.Span.Seconds(), "none", 0)
	}
	comparison.add("Store writes, local run", "% of its rate", percent*live.StoreWriteShare, "limit today", maxStorePercent)
	comparison.add("Store reads, local run", "% of its rate", percent*live.StoreReadShare, "limit today", maxStorePercent)
	comparison.add("Configuration in force everywhere, local run", "ms",
		float64(live.ConfigInForce.Milliseconds()), "limit today", maxConfigMilliseconds)
	for _, line := range live.Lines {
		comparison.add("Median wait of "+line.Name+", local run", "ms", float64(line.MedianWait.Milliseconds()), "none", 0)
		comparison.add("p99 wait of "+line.Name+", local run", "ms", float64(line.P99Wait.Milliseconds()), "none", 0)
	}
}

// WriteTable writes the rows as an aligned text table.
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

// WriteJSON writes the rows as a JSON array.
func WriteJSON(writer io.Writer, rows []Row) error {
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(rows)
}
