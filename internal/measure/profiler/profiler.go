// Package profiler runs measurements of cost in rounds, as benchmarks or without the testing package.
package profiler

import (
	"context"
	"fmt"
	"os"
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
	Name    string
	Measure func(meter Meter) error
}

// Group is the measurement of one subject in several sizes.
type Group struct {
	Name string
	// Rounds is the number of rounds of each trial outside of benchmarks.
	Rounds int
	Trials []Trial
}

// Sweep returns a trial for each size, named after it.
func Sweep[Size any](measure func(meter Meter, size Size) error, sizes ...Size) []Trial {
	trials := make([]Trial, 0, len(sizes))
	for _, size := range sizes {
		trials = append(trials, Trial{
			Name: fmt.Sprint(size),
			Measure: func(meter Meter) error {
				return measure(meter, size)
			},
		})
	}
	return trials
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
		left:      rounds,
	}
	defer counter.close()
	// As with a benchmark, the context ends before what was set up is cleaned up.
	defer cancel()
	if err := trial.Measure(counter); err != nil {
		return nil, err
	}
	return counter.metrics, nil
}

// counter is a meter with a fixed number of rounds.
type counter struct {
	ctx       context.Context
	directory string
	left      int
	cleanups  []func()
	metrics   []Metric
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
	counter.left--
	return counter.left >= 0
}

func (counter *counter) ReportMetric(value float64, unit string) {
	// Measurements report no time for each round to hide that of a benchmark.
	if unit == HiddenUnit {
		return
	}
	counter.metrics = append(counter.metrics, Metric{
		Value: value,
		Unit:  unit,
	})
}

func (counter *counter) close() {
	for i := len(counter.cleanups) - 1; i >= 0; i-- {
		counter.cleanups[i]()
	}
}

// HiddenUnit is the unit that a benchmark reports by itself and leaves out when it is set to 0.
const HiddenUnit = "ns/op"

// Own returns the processor time that this process used so far, in the program and in the system.
func Own() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
