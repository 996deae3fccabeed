// Package coordinator carries out a local run from its file to its report.
package coordinator

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/local/launcher"
	"pomelomoor/internal/local/planner"
	"pomelomoor/internal/local/reporter"
	"pomelomoor/internal/local/submitter"
)

// Bounds of a run, which add up to less than the limit of a minute.
const (
	maxStart = 12 * time.Second
	maxPlay  = 50 * time.Second
	maxDrain = 4 * time.Second
	maxRun   = 59 * time.Second
)

// Options describe a local run. Only Scenario and Build are required.
type Options struct {
	Scenario planner.Scenario
	Build    launcher.Build
	// Progress gets lines while the run goes on, and the table at its end; nil means standard error.
	Progress io.Writer
	// Log gets the log of the entry instances; nil discards it.
	Log *slog.Logger
}

// ErrTooLong means that the run did not end in time, even though it was cut short.
var ErrTooLong = errors.New("local run: not ended within its limit")

// Run carries out a scenario. It returns within a minute in any case.
func Run(ctx context.Context, options Options) (reporter.Report, error) {
	if options.Progress == nil {
		options.Progress = os.Stderr
	}
	type outcome struct {
		report reporter.Report
		err    error
	}
	ctx, cancel := context.WithTimeout(ctx, maxRun)
	defer cancel()
	ended := make(chan outcome, 1)
	go func() {
		report, err := run(ctx, options)
		ended <- outcome{
			report: report,
			err:    err,
		}
	}()
	timer := time.NewTimer(maxRun)
	defer timer.Stop()
	select {
	case outcome := <-ended:
		return outcome.report, outcome.err
	case <-timer.C:
		return reporter.Report{}, ErrTooLong
	}
}

func run(ctx context.Context, options Options) (reporter.Report, error) {
	began := time.Now()
	schedule, err := options.Scenario.Plan()
	if err != nil {
		return reporter.Report{}, err
	}
	_, _ = fmt.Fprintf(options.Progress, "%s: starting %d entry instances, %d workers and %d runners\n",
		options.Scenario.Name, options.Scenario.Entries, options.Scenario.Workers.Count, options.Scenario.Runners.Count)
	starting, cancel := context.WithTimeout(ctx, maxStart)
	defer cancel()
	cell, stop, err := launcher.Start(starting, launcher.Options{
		Scenario: &options.Scenario,
		Build:    options.Build,
		Log:      options.Log,
		Drain:    maxDrain,
	})
	if err != nil {
		return reporter.Report{}, err
	}
	defer stop()
	history, err := play(ctx, options, schedule, cell, began.Add(maxPlay))
	if err != nil {
		return reporter.Report{}, err
	}
	cell.Drain()
	history.Failures = cell.Failures()
	report := reporter.New(&history)
	return report, report.WriteTable(options.Progress)
}

// play sends the jobs and requests and collects what everyone saw.
func play(
	ctx context.Context, options Options, schedule planner.Schedule, cell *launcher.Cell, latest time.Time,
) (reporter.History, error) {
	end := time.Now().Add(options.Scenario.Duration.Duration + options.Scenario.Settle.Duration)
	if end.After(latest) {
		end = latest
	}
	playing, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	before := cell.Traffic()
	callers, err := submitter.Play(playing, submitter.Options{
		Scenario: &options.Scenario,
		Schedule: schedule,
		Servers:  cell.Servers(),
		Progress: options.Progress,
	})
	if err != nil {
		return reporter.History{}, err
	}
	after := cell.Traffic()
	return reporter.History{
		Scenario:   &options.Scenario,
		Callers:    callers,
		Runs:       cell.Runs(),
		Requests:   cell.Requests(),
		Capacities: cell.Capacities(),
		Taken:      time.Now(),
		Traffic:    after.Since(&before),
		Span:       after.At.Sub(before.At),
	}, nil
}
