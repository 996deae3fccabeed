// Package tabulator measures all costs at several sizes and writes the slopes of cost over size as one table.
package tabulator

import (
	"context"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"

	"pomelomoor/internal/measure/archiver"
	"pomelomoor/internal/measure/imitator"
	"pomelomoor/internal/measure/prober"
	"pomelomoor/internal/measure/profiler"
	"pomelomoor/internal/measure/sampler"
)

// Numbers of rounds. Keep them equal to those of the commands in docs/CAPACITY.md.
const (
	journalRounds    = 5
	controllerRounds = 30
	memberRounds     = 50
	messageRounds    = 300
)

// Groups returns all measurements, under the names of their benchmarks. Some of them run the given program,
// which must be a built cmd/pomelomoor.
func Groups(program string) []profiler.Group {
	return []profiler.Group{
		group("Entry", 1, sampler.Entry(program)),
		group("Requests", 1, sampler.Requests(program)),
		group("Region", 1, sampler.Region(program)),
		group("Kept", 1, sampler.Kept(program)),
		group("Workers", controllerRounds, imitator.Workers()),
		group("Tasks", controllerRounds, imitator.Tasks()),
		group("Ended", controllerRounds, imitator.Ended()),
		group("Keys", controllerRounds, imitator.Keys()),
		group("Starts", controllerRounds, imitator.Starts()),
		group("Waiting", controllerRounds, imitator.Waiting()),
		group("Append", memberRounds, archiver.Append()),
		group("Takeover", journalRounds, archiver.Takeover()),
		group("Snapshot", journalRounds, archiver.Snapshot()),
		group("Sync", messageRounds, prober.Sync()),
		group("Exchange", memberRounds, prober.Exchange()),
		group("View", memberRounds, prober.View()),
		group("List", memberRounds, archiver.List()),
		group("Apply", memberRounds, archiver.Apply()),
	}
}

func group(name string, rounds int, trials []profiler.Trial) profiler.Group {
	return profiler.Group{
		Name:   name,
		Rounds: rounds,
		Trials: trials,
	}
}

// Slope is the growth of a metric per unit of one factor while all other factors stay equal.
type Slope struct {
	Subject string
	Factor  string
	Unit    string
	// PerUnit is the slope of the least-squares line through the points of Sizes and Values.
	PerUnit float64
	Sizes   []int
	Values  []float64
}

// result holds the size and the metrics of a trial.
type result struct {
	factors profiler.Factors
	metrics []profiler.Metric
}

// MeasureSlopes measures all groups whose names match and returns their slopes.
func MeasureSlopes(ctx context.Context, only *regexp.Regexp) ([]Slope, error) {
	directory, err := os.MkdirTemp("", "measure-*")
	if err != nil {
		return nil, errors.Wrap(err, "tabulator")
	}
	defer func() { _ = os.RemoveAll(directory) }()
	program, err := sampler.Build(ctx, directory)
	if err != nil {
		return nil, err
	}
	var slopes []Slope
	for _, group := range Groups(program) {
		if !only.MatchString(group.Name) {
			continue
		}
		measured, err := Measure(ctx, group)
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, measured...)
	}
	if len(slopes) == 0 {
		return nil, errors.Errorf("tabulator: no subject matches %q", only)
	}
	return slopes, nil
}

// Measure runs the trials of a group and returns their slopes.
func Measure(ctx context.Context, group profiler.Group) ([]Slope, error) {
	var results []result
	for _, trial := range group.Trials {
		metrics, err := profiler.Run(ctx, trial, group.Rounds)
		if err != nil {
			return nil, errors.Wrapf(err, "tabulator: %s/%s", group.Name, trial.Name)
		}
		results = append(results, result{
			factors: trial.Factors,
			metrics: metrics,
		})
	}
	var slopes []Slope
	for _, series := range longestSeries(results) {
		slopes = append(slopes, series.slopes(group.Name)...)
	}
	return slopes, nil
}

// series holds results that differ in one factor only, sorted by its value.
type series struct {
	factor  string
	sizes   []int
	results []result
}

// longestSeries returns the longest series of each factor, in the order in which the factors first appear.
func longestSeries(results []result) []*series {
	longest := map[string]*series{}
	seriesByKey := map[string]*series{}
	var order []string
	for _, result := range results {
		for i, factor := range result.factors {
			if factor.Dependent {
				continue
			}
			key := seriesKey(result.factors, i)
			if seriesByKey[key] == nil {
				seriesByKey[key] = &series{
					factor: factor.Name,
				}
			}
			candidate := seriesByKey[key]
			position, _ := slices.BinarySearch(candidate.sizes, factor.Value)
			candidate.sizes = slices.Insert(candidate.sizes, position, factor.Value)
			candidate.results = slices.Insert(candidate.results, position, result)
			current, exists := longest[factor.Name]
			if !exists {
				order = append(order, factor.Name)
			}
			if !exists || len(candidate.sizes) > len(current.sizes) {
				longest[factor.Name] = candidate
			}
		}
	}
	all := make([]*series, 0, len(order))
	for _, name := range order {
		if len(longest[name].sizes) > 1 {
			all = append(all, longest[name])
		}
	}
	return all
}

// seriesKey returns a key that is equal for results of the same series: it ignores the values of the excluded
// factor and of dependent factors.
func seriesKey(factors profiler.Factors, excluded int) string {
	fixed := profiler.Factors{}
	for i, factor := range factors {
		if i == excluded || factor.Dependent {
			factor.Value = 0
		}
		fixed = append(fixed, factor)
	}
	return fmt.Sprint(excluded, fixed)
}

// slopes returns the slope of each metric over the series.
func (series *series) slopes(subject string) []Slope {
	var slopes []Slope
	for i, metric := range series.results[0].metrics {
		values := make([]float64, 0, len(series.results))
		for _, result := range series.results {
			values = append(values, result.metrics[i].Value)
		}
		slopes = append(slopes, Slope{
			Subject: subject,
			Factor:  strings.Trim(series.factor, "/"),
			Unit:    metric.Unit,
			PerUnit: leastSquaresSlope(series.sizes, values),
			Sizes:   series.sizes,
			Values:  values,
		})
	}
	return slopes
}

// leastSquaresSlope returns the slope of the least-squares line through the points.
func leastSquaresSlope(sizes []int, values []float64) float64 {
	count := float64(len(sizes))
	var sizeSum, valueSum float64
	for i, size := range sizes {
		sizeSum += float64(size)
		valueSum += values[i]
	}
	var deviationProducts, squaredDeviations float64
	for i, size := range sizes {
		deviation := float64(size) - sizeSum/count
		deviationProducts += deviation * (values[i] - valueSum/count)
		squaredDeviations += deviation * deviation
	}
	return deviationProducts / squaredDeviations
}

// WriteTable writes the slopes as an aligned text table.
func WriteTable(writer io.Writer, slopes []Slope) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "SUBJECT\tFACTOR\tUNIT\tSLOPE\tSIZES\tVALUES")
	for _, slope := range slopes {
		factor := slope.Factor
		if factor == "" {
			factor = "-"
		}
		values := make([]string, 0, len(slope.Values))
		for _, value := range slope.Values {
			values = append(values, fmt.Sprintf("%.4g", value))
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%.3g\t%s\t%s\n", slope.Subject, factor, slope.Unit, slope.PerUnit,
			strings.Trim(fmt.Sprint(slope.Sizes), "[]"), strings.Join(values, " "))
	}
	return table.Flush()
}
