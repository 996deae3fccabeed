package assembler

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"time"

	"pomelomoor/internal/node/logger"
	"pomelomoor/platform"
)

// followSettings looks for changes of the settings file, at a signal at once. Addresses stay as they were at the start, since
// they belong to the machine; changed bounds hold from the next term on.
func (node *Node) followSettings(ctx context.Context) error {
	if node.path == "" {
		<-ctx.Done()
		return ctx.Err()
	}
	last, err := os.ReadFile(node.path)
	if err != nil {
		logger.Log(ctx, node.log, logger.EventSettingsKept, slog.String("File", node.path), logger.Error(err))
	}
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-node.reload:
		}
		document, err := os.ReadFile(node.path)
		if err != nil || bytes.Equal(document, last) {
			// A file that is being replaced is read at the next tick.
			continue
		}
		last = document
		settings, err := platform.ParseSettings(document)
		if err != nil {
			logger.Log(ctx, node.log, logger.EventSettingsKept, slog.String("File", node.path), logger.Error(err))
			continue
		}
		node.mutex.Lock()
		node.settings.Bounds = settings.Bounds
		node.mutex.Unlock()
		logger.Log(ctx, node.log, logger.EventSettingsReloaded, slog.String("File", node.path))
	}
}
