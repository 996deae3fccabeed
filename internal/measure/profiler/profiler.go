// Package profiler runs measurements of cost in rounds, as benchmarks or without the testing package.
package profiler

import (
	"context"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Meter is what a measurement runs with. A *testing.B is one.
type Meter interface {
	Context() context.Context
	Cleanup(cleanup func())
	TempDir() string
	// Loop reports whether one more round is due.
	Loop() bool
	ReportMetric(value float64, unit string)
}

// Trial is the measurement of one size.
type Trial struct {
	Name string
	// Factors are what Name is made of, or none.
	Factors Factors
	Measure func(meter Meter) error
}

// Group is the measurement of one subject in several sizes.
type Group struct {
	Name string
	// Rounds is the number of rounds of each trial outside of benchmarks.
	Rounds int
	Trials []Trial
}

// Factor is one amount of a size.
type Factor struct {
	// Name is empty where the measured subject says what is counted.
	Name  string
	Value int
	// Dependent says that the factor varies with another one, which has the slope of both.
	Dependent bool
}

// NewFactor returns a factor that depends on no other.
func NewFactor(name string, value int) Factor {
	return Factor{
		Name:  name,
		Value: value,
	}
}

// Factors are a size.
type Factors []Factor

func (factors Factors) String() string {
	parts := make([]string, 0, len(factors))
	for _, factor := range factors {
		parts = append(parts, factor.Name+strconv.Itoa(factor.Value))
	}
	return strings.Join(parts, "/")
}

// Sized is a size of several factors.
type Sized interface {
	Factors() Factors
}

// Count is a size of one factor.
type Count int

// Factors returns the count.
func (count Count) Factors() Factors {
	return Factors{
		{
			Value: int(count),
		},
	}
}

// Sweep returns a trial for each size, named after its factors.
func Sweep[Size Sized](measure func(meter Meter, size Size) error, sizes ...Size) []Trial {
	trials := make([]Trial, 0, len(sizes))
	for _, size := range sizes {
		factors := size.Factors()
		trials = append(trials, Trial{
			Name:    factors.String(),
			Factors: factors,
			Measure: func(meter Meter) error {
				return measure(meter, size)
			},
		})
	}
	return trials
}

// SweepCounts is a sweep of sizes of one factor.
func SweepCounts(measure func(meter Meter, size int) error, sizes ...int) []Trial {
	counts := make([]Count, 0, len(sizes))
	for _, size := range sizes {
		counts = append(counts, Count(size))
	}
	return Sweep(func(meter Meter, count Count) error {
		return measure(meter, int(count))
	}, counts...)
}

// Metric is a measured value.
type Metric struct {
	Value float64
	Unit  string
}

// Run carries out a trial with a number of rounds.
func Run(ctx context.Context, trial Trial, rounds int) ([]Metric, error) {
	directory, err := os.MkdirTemp("", "measure-*")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(directory) }()
	ctx, cancel := context.WithCancel(ctx)
	counter := &counter{
		ctx:       ctx,
		directory: directory,
		rounds:    rounds,
	}
	defer counter.close()
	// As with a benchmark, the context ends before what was set up is cleaned up.
	defer cancel()
	if err := trial.Measure(counter); err != nil {
		return nil, err
	}
	return counter.all(), nil
}

// counter is a meter with a fixed number of rounds.
type counter struct {
	ctx       context.Context
	directory string
	rounds    int
	cleanups  []func()
	metrics   []Metric
	// done is the number of rounds begun before, and elapsed the time from the first to after the last.
	done    int
	begin   time.Time
	elapsed time.Duration
	hidden  bool
}

func (counter *counter) Context() context.Context {
	return counter.ctx
}

func (counter *counter) Cleanup(cleanup func()) {
	counter.cleanups = append(counter.cleanups, cleanup)
}

func (counter *counter) TempDir() string {
	return counter.directory
}

func (counter *counter) Loop() bool {
	if counter.done == 0 {
		counter.begin = time.Now()
	}
	if counter.done < counter.rounds {
		counter.done++
		return true
	}
	counter.elapsed = time.Since(counter.begin)
	return false
}

func (counter *counter) ReportMetric(value float64, unit string) {
	if unit == HiddenUnit {
		counter.hidden = true
		return
	}
	counter.metrics = append(counter.metrics, Metric{
		Value: value,
		Unit:  unit,
	})
}

// all returns the metrics with the time of a round, as a benchmark does.
func (counter *counter) all() []Metric {
	if counter.hidden || counter.done == 0 {
		return counter.metrics
	}
	return append(counter.metrics, Metric{
		Value: float64(counter.elapsed.Nanoseconds()) / float64(counter.done),
		Unit:  HiddenUnit,
	})
}

func (counter *counter) close() {
	for i := len(counter.cleanups) - 1; i >= 0; i-- {
		counter.cleanups[i]()
	}
}

// HiddenUnit is that of the time of a round, which is left out when a measurement reports 0 for it.
const HiddenUnit = "ns/op"

// Own returns the processor time that this process used so far, in the program and in the system.
func Own() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
