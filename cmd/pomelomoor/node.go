package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"pomelomoor/internal/cell/assembler"
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
	node, cleanup, err := assembler.New(assembler.Options{
		Settings:     settings,
		SettingsPath: path,
		Reload:       reload,
		Log:          log,
	})
	if err != nil {
		return err
	}
	defer cleanup()
	return node.Serve(ctx)
}
