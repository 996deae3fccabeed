package bootstrapper

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"time"

	"pomelomoor/internal/node/logger"
	"pomelomoor/platform"
)

// watchSettings polls the settings file and also checks it at each reload signal. Only the bounds are
// reloaded: leadership bounds apply from the next term. Addresses keep their values from the start because
// they belong to the machine.
func (instance *Instance) watchSettings(ctx context.Context) error {
	if instance.settingsPath == "" {
		<-ctx.Done()
		return ctx.Err()
	}
	lastDocument, err := os.ReadFile(instance.settingsPath)
	if err != nil {
		logger.Log(ctx, instance.log, logger.EventSettingsKept, slog.String("File", instance.settingsPath), logger.Error(err))
	}
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-instance.reload:
		}
		document, err := os.ReadFile(instance.settingsPath)
		if err != nil || bytes.Equal(document, lastDocument) {
			// A file that cannot be read, such as during its replacement, is read at the next tick.
			continue
		}
		lastDocument = document
		settings, err := platform.ParseSettings(document)
		if err != nil {
			logger.Log(ctx, instance.log, logger.EventSettingsKept, slog.String("File", instance.settingsPath), logger.Error(err))
			continue
		}
		instance.mutex.Lock()
		instance.settings.Bounds = settings.Bounds
		instance.mutex.Unlock()
		logger.Log(ctx, instance.log, logger.EventSettingsReloaded, slog.String("File", instance.settingsPath))
	}
}
