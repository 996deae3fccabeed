package observer

import (
	"log/slog"

	"github.com/uber-go/tally/v4"

	"pomelomoor/internal/node/limiter"
	"pomelomoor/internal/node/logger"
)

// ClientLimits reports what clients use of an instance. It logs a line for each port whose limits have refused clients
// since the last report.
func (observer *Observer) ClientLimits(usage limiter.Usage) {
	observer.gauge("Limits.Bytes", float64(usage.Bytes))
	for _, port := range usage.Ports {
		observer.gauge("Limits.Connections", float64(port.Connections), "Port", port.Name)
		last := observer.refused[port.Name]
		attributes := []slog.Attr{
			slog.String("Port", port.Name),
			slog.Int("Connections", port.Connections),
			slog.Int64("Bytes", usage.Bytes),
		}
		total := int64(0)
		for reason, count := range port.Refused {
			if added := count - last[reason]; added > 0 {
				total += added
				attributes = append(attributes, slog.Int64(string(reason), added))
				observer.add("Limits.Refused", added, "Port", port.Name, "Reason", string(reason))
			}
		}
		if total > 0 {
			observer.log(logger.EventClientsRefused, attributes...)
		}
		if observer.refused == nil {
			observer.refused = map[string]map[limiter.Reason]int64{}
		}
		observer.refused[port.Name] = port.Refused
	}
}

func (observer *Observer) gauge(name string, value float64, tags ...string) {
	gauge, _ := observer.metric(func(scope tally.Scope) any {
		return scope.Gauge(name)
	}, name, tags).(tally.Gauge)
	gauge.Update(value)
}
