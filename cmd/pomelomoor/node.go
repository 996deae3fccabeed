package main

import (
	"context"
	"log/slog"

	"pomelomoor/internal/cell/assembler"
	"pomelomoor/internal/client/commander"
	"pomelomoor/internal/node/logger"
	"pomelomoor/platform"
)

// runNode runs an instance of a cell on the users' platform.
func runNode(ctx context.Context, options commander.NodeOptions) error {
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
		Log:          log,
	})
	if err != nil {
		return err
	}
	defer cleanup()
	return node.Serve(ctx)
}
