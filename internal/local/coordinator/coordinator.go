// Package coordinator executes a local run: it starts the system of a scenario, sends the scheduled
// jobs and requests, and reports on the outcome.
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

// Time limits of a run. maxUntilDrain counts from the start of the run and includes startTimeout, so that
// with drainTimeout the run stays below runTimeout and the limit of a minute.
const (
	startTimeout  = 12 * time.Second
	maxUntilDrain = 50 * time.Second
	drainTimeout  = 4 * time.Second
	runTimeout    = 59 * time.Second
)

// Options configures a local run. Only Scenario and Build are required.
type Options struct {
	Scenario planner.Scenario
	Build    launcher.BuildEntry
	// Progress receives progress lines during the run and the table at its end; nil means standard error.
	Progress io.Writer
	// Log receives the log of the entry instances; nil discards it.
	Log *slog.Logger
}

// ErrTooLong means that the run did not return within its time limit, although its context ended.
var ErrTooLong = errors.New("local run: did not end within its time limit")

// Run executes a scenario. It always returns within a minute.
func Run(ctx context.Context, options Options) (reporter.Report, error) {
	if options.Progress == nil {
		options.Progress = os.Stderr
	}
	type outcome struct {
		report reporter.Report
		err    error
	}
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	ended := make(chan outcome, 1)
	go func() {
		report, err := run(ctx, options)
		ended <- outcome{
			report: report,
			err:    err,
		}
	}()
	timer := time.NewTimer(runTimeout)
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
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	cell, stop, err := launcher.Start(startCtx, launcher.Options{
		Scenario:     &options.Scenario,
		Build:        options.Build,
		Log:          options.Log,
		DrainTimeout: drainTimeout,
	})
	if err != nil {
		return reporter.Report{}, err
	}
	defer stop()
	history, err := runSchedule(ctx, options, schedule, cell, began.Add(maxUntilDrain))
	if err != nil {
		return reporter.Report{}, err
	}
	cell.Drain()
	history.Failures = cell.Failures()
	report := reporter.New(&history)
	return report, report.WriteTable(options.Progress)
}

// runSchedule sends the jobs and requests and collects the records of callers, workers and runners.
func runSchedule(
	ctx context.Context, options Options, schedule planner.Schedule, cell *launcher.Cell, latestEnd time.Time,
) (reporter.History, error) {
	end := time.Now().Add(options.Scenario.Duration.Duration + options.Scenario.Settle.Duration)
	if end.After(latestEnd) {
		end = latestEnd
	}
	scheduleCtx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	before := cell.Traffic()
	callers, err := submitter.Run(scheduleCtx, submitter.Options{
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
		Scenario:    &options.Scenario,
		Callers:     callers,
		Runs:        cell.Runs(),
		Requests:    cell.Requests(),
		Capacities:  cell.Capacities(),
		CollectedAt: time.Now(),
		Traffic:     after.Since(&before),
		Span:        after.At.Sub(before.At),
	}, nil
}
