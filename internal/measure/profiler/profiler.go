// Package profiler runs cost measurements, either as Go benchmarks or without the testing package.
package profiler

import (
	"context"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Meter is the part of *testing.B that a measurement uses.
type Meter interface {
	Context() context.Context
	Cleanup(cleanup func())
	TempDir() string
	// Loop reports whether to run another round.
	Loop() bool
	ReportMetric(value float64, unit string)
}

// Trial measures one subject at one size.
type Trial struct {
	Name string
	// Factors is the size from which Name is built. It may be empty.
	Factors Factors
	Measure func(meter Meter) error
}

// Group measures one subject at several sizes.
type Group struct {
	Name string
	// Rounds is the number of rounds of each trial when it does not run as a benchmark.
	Rounds int
	Trials []Trial
}

// Factor is one parameter of a size, such as the number of workers.
type Factor struct {
	// Name is empty if the subject makes clear what Value counts.
	Name  string
	Value int
	// Dependent marks a factor that varies together with another one. The slope of the other factor
	// includes the cost of both.
	Dependent bool
}

// NewFactor returns an independent factor.
func NewFactor(name string, value int) Factor {
	return Factor{
		Name:  name,
		Value: value,
	}
}

// Factors is a size: the parameters of one trial.
type Factors []Factor

func (factors Factors) String() string {
	parts := make([]string, 0, len(factors))
	for _, factor := range factors {
		parts = append(parts, factor.Name+strconv.Itoa(factor.Value))
	}
	return strings.Join(parts, "/")
}

// Sized is implemented by types that describe the size of a trial.
type Sized interface {
	Factors() Factors
}

// Count is a size with a single unnamed factor.
type Count int

// Factors returns the count as the only factor.
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

// SweepCounts returns a trial for each count.
func SweepCounts(measure func(meter Meter, size int) error, sizes ...int) []Trial {
	counts := make([]Count, 0, len(sizes))
	for _, size := range sizes {
		counts = append(counts, Count(size))
	}
	return Sweep(func(meter Meter, count Count) error {
		return measure(meter, int(count))
	}, counts...)
}

// Metric is a measured value with its unit.
type Metric struct {
	Value float64
	Unit  string
}

// Run runs a trial for a fixed number of rounds and returns its metrics.
func Run(ctx context.Context, trial Trial, rounds int) ([]Metric, error) {
	directory, err := os.MkdirTemp("", "measure-*")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(directory) }()
	ctx, cancel := context.WithCancel(ctx)
	meter := &fixedMeter{
		ctx:       ctx,
		directory: directory,
		rounds:    rounds,
	}
	defer meter.close()
	// As in a benchmark, the context is cancelled before the cleanup functions run.
	defer cancel()
	if err := trial.Measure(meter); err != nil {
		return nil, err
	}
	return meter.allMetrics(), nil
}

// fixedMeter is a Meter with a fixed number of rounds.
type fixedMeter struct {
	ctx       context.Context
	directory string
	rounds    int
	cleanups  []func()
	metrics   []Metric
	// begun counts the rounds begun, and elapsed is the time from the start of the first to the end of the
	// last.
	begun           int
	firstRoundStart time.Time
	elapsed         time.Duration
	roundTimeHidden bool
}

func (fixedMeter *fixedMeter) Context() context.Context {
	return fixedMeter.ctx
}

func (fixedMeter *fixedMeter) Cleanup(cleanup func()) {
	fixedMeter.cleanups = append(fixedMeter.cleanups, cleanup)
}

func (fixedMeter *fixedMeter) TempDir() string {
	return fixedMeter.directory
}

func (fixedMeter *fixedMeter) Loop() bool {
	if fixedMeter.begun == 0 {
		fixedMeter.firstRoundStart = time.Now()
	}
	if fixedMeter.begun < fixedMeter.rounds {
		fixedMeter.begun++
		return true
	}
	fixedMeter.elapsed = time.Since(fixedMeter.firstRoundStart)
	return false
}

func (fixedMeter *fixedMeter) ReportMetric(value float64, unit string) {
	if unit == RoundTimeUnit {
		fixedMeter.roundTimeHidden = true
		return
	}
	fixedMeter.metrics = append(fixedMeter.metrics, Metric{
		Value: value,
		Unit:  unit,
	})
}

// allMetrics returns the reported metrics and, unless it is hidden, the time of a round, as a benchmark
// does.
func (fixedMeter *fixedMeter) allMetrics() []Metric {
	if fixedMeter.roundTimeHidden || fixedMeter.begun == 0 {
		return fixedMeter.metrics
	}
	return append(fixedMeter.metrics, Metric{
		Value: float64(fixedMeter.elapsed.Nanoseconds()) / float64(fixedMeter.begun),
		Unit:  RoundTimeUnit,
	})
}

func (fixedMeter *fixedMeter) close() {
	for i := len(fixedMeter.cleanups) - 1; i >= 0; i-- {
		fixedMeter.cleanups[i]()
	}
}

// RoundTimeUnit is the unit of the time of a round. A measurement that reports 0 in this unit hides that
// time, as in a benchmark.
const RoundTimeUnit = "ns/op"

// CPUTime returns the CPU time that this process has used so far, in user and kernel mode.
func CPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
