package observer

import (
	"log/slog"
	"sync"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/admitter"
	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/scheduler"
	"pomelomoor/internal/node/logger"
)

const (
	// maxOrganisations is the number of organisations with metrics of their own. The calls of further ones are counted under
	// otherOrganisations.
	maxOrganisations   = 300
	otherOrganisations = "Others"
	// maxLoggedChanges is the number of organisations of which one version logs the changes, and maxLoggedKeys the number of
	// digests in such a line.
	maxLoggedChanges = 100
	maxLoggedKeys    = 20
)

// nameLimiter lets the first names through. The zero value knows none.
type nameLimiter struct {
	mutex sync.Mutex
	names map[string]struct{}
}

// allow reports whether a name is among the first limit names.
func (nameLimiter *nameLimiter) allow(name string, limit int) bool {
	nameLimiter.mutex.Lock()
	defer nameLimiter.mutex.Unlock()
	if _, known := nameLimiter.names[name]; known {
		return true
	}
	if len(nameLimiter.names) >= limit {
		return false
	}
	if nameLimiter.names == nil {
		nameLimiter.names = map[string]struct{}{}
	}
	nameLimiter.names[name] = struct{}{}
	return true
}

// organisationCalled counts a call of an organisation, and why it was refused.
func (observer *Observer) organisationCalled(result *admitter.CallResult) {
	name := result.Organisation
	if !observer.organisations.allow(name, maxOrganisations) {
		name = otherOrganisations
	}
	observer.count("Organisations.Calls", "Organisation", name, "Outcome", result.Outcome)
	var rejected *describer.RejectedError
	if !errors.As(result.Err, &rejected) {
		return
	}
	reason := "Unavailable"
	if rejected.Overload {
		reason = "Overload"
	}
	observer.count("Organisations.Refused", "Organisation", name, "Reason", reason)
}

// organisationLoaded sets the gauges of an organisation at the leader, and logs one that its cap keeps waiting.
func (observer *Observer) organisationLoaded(load *scheduler.OrganisationLoad) {
	if load.CappedTasks > 0 {
		observer.log(logger.EventOrganisationCapped,
			slog.String("Organisation", load.Name),
			slog.Int("WaitingTasks", load.WaitingTasks),
			slog.Int("CappedTasks", load.CappedTasks),
			slog.Float64("CapShare", load.CapShare),
			slog.Float64("Share", load.Share))
	}
	if !observer.organisations.allow(load.Name, maxOrganisations) {
		return
	}
	scope := observer.Scope.Tagged(map[string]string{
		"Organisation": load.Name,
	})
	for name, value := range map[string]float64{
		"Organisations.RunningCores":  float64(load.Used.MilliCPU) / 1000,
		"Organisations.Share":         load.Share,
		"Organisations.EntitledShare": load.EntitledShare,
		"Organisations.CapShare":      load.CapShare,
		"Organisations.WaitingTasks":  float64(load.WaitingTasks),
		"Organisations.CappedTasks":   float64(load.CappedTasks),
	} {
		scope.Gauge(name).Update(value)
	}
}

// organisationsChanged logs what a configuration that has come into force changes for organisations. Of a key it logs the
// first digits of its digest.
func (observer *Observer) organisationsChanged(config *describer.Config) {
	former := observer.config.Swap(config)
	if former == nil {
		return
	}
	changes := config.OrganisationChanges(former)
	for index := range changes[:min(len(changes), maxLoggedChanges)] {
		change := &changes[index]
		attributes := []slog.Attr{
			slog.Int64("Version", config.Version),
			slog.String("Organisation", change.Name),
			slog.Any("AddedKeys", shownDigests(change.AddedKeys)),
			slog.Any("RemovedKeys", shownDigests(change.RemovedKeys)),
		}
		switch {
		case change.Former == nil:
			attributes = append(attributes, slog.String("Detail", "added"))
		case change.Current == nil:
			attributes = append(attributes, slog.String("Detail", "removed"))
		case change.Former.Cap != change.Current.Cap:
			attributes = append(attributes, slog.String("Detail", "cap changed"), slog.Any("FormerCap", change.Former.Cap))
		}
		if change.Current != nil {
			attributes = append(attributes, slog.Float64("Weight", change.Current.Weight), slog.Any("Cap", change.Current.Cap))
		}
		observer.log(logger.EventOrganisationChanged, attributes...)
	}
	if left := len(changes) - maxLoggedChanges; left > 0 {
		observer.log(logger.EventOrganisationChanged, slog.Int64("Version", config.Version), slog.Int("LeftOut", left))
	}
}

func shownDigests(digests []describer.KeyDigest) []string {
	shown := make([]string, 0, min(len(digests), maxLoggedKeys))
	for _, digest := range digests[:min(len(digests), maxLoggedKeys)] {
		shown = append(shown, digest.String())
	}
	return shown
}
