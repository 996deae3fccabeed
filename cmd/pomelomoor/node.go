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
	// A signal that nobody takes would end the process, so it is taken before anything else happens.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	queue, flush := logger.NewQueue(options.Stdout)
	defer flush()
	log := logger.New(queue, options.LogLevel)
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
	watching, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go tellLeftOut(watching, queue, log)
	return instance.Serve(ctx)
}

// leftOutInterval is how often the number of log lines that were left out is looked at.
const leftOutInterval = time.Second

// tellLeftOut logs how many log lines were left out whenever there are more.
func tellLeftOut(ctx context.Context, queue *logger.Queue, log *slog.Logger) {
	ticker := time.NewTicker(leftOutInterval)
	defer ticker.Stop()
	var told int64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if dropped := queue.Dropped(); dropped > told {
			told = dropped
			logger.Log(ctx, log, logger.EventLinesLeftOut, slog.Int64("Lines", dropped))
		}
	}
}
