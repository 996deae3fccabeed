package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"pomelomoor/internal/cell/bootstrapper"
	"pomelomoor/internal/client/commander"
	"pomelomoor/internal/node/logger"
	"pomelomoor/platform"
)

// runNode runs an instance of a cell on the users' platform.
func runNode(ctx context.Context, options commander.NodeOptions) error {
	// SIGHUP terminates a process that has no handler for it, so the handler is installed first.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	asyncWriter, flush := logger.NewAsyncWriter(options.Stdout)
	defer flush()
	log := logger.New(asyncWriter, options.LogLevel)
	path := options.Settings
	if path == "" {
		path = platform.SettingsPath()
	}
	settings, err := platform.ReadSettings(path)
	if err != nil {
		logger.Log(ctx, log, logger.EventSettingsRefused, slog.String("File", path), logger.Error(err))
		return err
	}
	if options.Check {
		return nil
	}
	instance, cleanup, err := bootstrapper.New(bootstrapper.Options{
		Settings:     settings,
		SettingsPath: path,
		Reload:       reload,
		Log:          log,
	})
	if err != nil {
		return err
	}
	defer cleanup()
	// The instance still logs while it stops after ctx is cancelled, so the check for dropped lines continues until
	// Serve returns.
	loggingCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go logDroppedLines(loggingCtx, asyncWriter, log)
	return instance.Serve(ctx)
}

// droppedCheckInterval is the interval at which the number of dropped log lines is checked.
const droppedCheckInterval = time.Second

// logDroppedLines logs the total number of dropped log lines whenever it has grown.
func logDroppedLines(ctx context.Context, asyncWriter *logger.AsyncWriter, log *slog.Logger) {
	ticker := time.NewTicker(droppedCheckInterval)
	defer ticker.Stop()
	var logged int64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if dropped := asyncWriter.Dropped(); dropped > logged {
			logged = dropped
			logger.Log(ctx, log, logger.EventLinesLeftOut, slog.Int64("Lines", dropped))
		}
	}
}
