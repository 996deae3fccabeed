package main

import (
	"context"
	"log/slog"
	"os"

	"github.com/go-faster/errors"

	"pomelomoor/internal/client/commander"
	"pomelomoor/internal/entry/assembler"
	"pomelomoor/internal/gateway/sender"
	"pomelomoor/internal/local/coordinator"
	"pomelomoor/internal/local/launcher"
	"pomelomoor/internal/local/planner"
	"pomelomoor/internal/node/loader"
)

var errLocalRunFailed = errors.New("local run: an accepted item has no known fate, or an invariant was violated")

// runLocal runs the whole system in this process. It writes progress to standard error during the run, and
// the report to options.Report at the end.
func runLocal(ctx context.Context, options commander.LocalOptions) error {
	scenario, err := planner.Parse(options.Document)
	if err != nil {
		return errors.Wrap(err, options.File)
	}
	report, err := coordinator.Run(ctx, coordinator.Options{
		Scenario: scenario,
		Build:    buildEntry,
		Progress: os.Stderr,
		Log:      options.Log,
	})
	if err != nil {
		return err
	}
	if err := report.WriteJSON(options.Report); err != nil {
		return err
	}
	if !report.OK() {
		return errLocalRunFailed
	}
	return nil
}

func buildEntry(settings loader.Settings, dial sender.DialFunc, log *slog.Logger) (launcher.Instance, func(), error) {
	entry, cleanup, err := assembler.New(assembler.Options{
		Settings: settings,
		Dial:     dial,
		Log:      log,
	})
	if err != nil {
		return nil, nil, err
	}
	return entry, cleanup, nil
}
