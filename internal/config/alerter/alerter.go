// Package alerter logs what the check of a configuration finds when an instance has taken it into use.
package alerter

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"

	"pomelomoor/internal/config/checker"
	"pomelomoor/internal/node/logger"
)

// maxLines limits the lines that are logged for one configuration.
const maxLines = 32

// Alerter checks the configurations of an instance apart from what puts them in force, so that neither a call nor the
// configuration waits for the check. If several arrive during one check, only the newest of them is checked.
type Alerter struct {
	log     *slog.Logger
	field   func(path string) string
	arrived chan arrival
	inForce checker.Configuration
	// standing are the findings on inForce, the configuration that was checked last. They are not logged again with each later configuration.
	standing map[findingID]bool
}

// findingID identifies a finding in different configurations, in which its field may have another index.
type findingID struct {
	rule, text string
}

type arrival struct {
	version       int64
	configuration checker.Configuration
}

// New returns an Alerter that logs to log. If field is not nil, it returns the path of a field in the documents that
// operators write.
func New(log *slog.Logger, field func(path string) string) *Alerter {
	if field == nil {
		field = func(path string) string { return path }
	}
	return &Alerter{
		log:     log,
		field:   field,
		arrived: make(chan arrival, 1),
	}
}

// Arrived has a configuration checked that came into force. It does not wait. Calls must not overlap.
func (alerter *Alerter) Arrived(version int64, configuration checker.Configuration) {
	select {
	case <-alerter.arrived:
	default:
	}
	alerter.arrived <- arrival{
		version:       version,
		configuration: configuration,
	}
}

// Run checks configurations until ctx is done.
func (alerter *Alerter) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case arrival := <-alerter.arrived:
			alerter.check(ctx, arrival)
		}
	}
}

func (alerter *Alerter) check(ctx context.Context, arrival arrival) {
	defer func() {
		if cause := recover(); cause != nil {
			logger.Log(ctx, alerter.log, logger.EventPanicContained,
				slog.String("Item", fmt.Sprintf("check of configuration %d", arrival.version)),
				slog.String("Cause", fmt.Sprint(cause)),
				slog.String("Stack", string(debug.Stack())))
		}
	}()
	report := checker.Check(checker.Options{
		Configuration: arrival.configuration,
		InForce:       alerter.inForce,
	})
	alerter.inForce = arrival.configuration
	standing := map[findingID]bool{}
	lines := 0
	for _, event := range []logger.Event{logger.EventConfigFinding, logger.EventConfigChange} {
		for _, finding := range report.Findings {
			if isNote := finding.Severity == checker.SeverityNote; isNote != (event == logger.EventConfigChange) {
				continue
			}
			id := findingID{
				rule: finding.Rule,
				text: finding.Text,
			}
			repeated := standing[id] || alerter.standing[id]
			standing[id] = true
			if repeated {
				continue
			}
			lines++
			if lines > maxLines {
				continue
			}
			logger.Log(ctx, alerter.log, event,
				slog.Int64("Version", arrival.version),
				slog.String("Rule", finding.Rule),
				slog.String("Field", alerter.field(finding.Field)),
				slog.String("Detail", finding.Text))
		}
	}
	alerter.standing = standing
	if lines > maxLines {
		logger.Log(ctx, alerter.log, logger.EventConfigFindingsOmitted,
			slog.Int64("Version", arrival.version),
			slog.Int("Findings", lines-maxLines))
	}
}
