// Package logger writes numbered log events over log/slog. docs/events.md lists the events for operators.
package logger

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
)

// Event is the number of a kind of log event. Numbers are stable across versions.
type Event int

// Description is the catalogue entry of an event.
type Description struct {
	Event Event
	Level slog.Level
	// Name is the stable name in Pascal case.
	Name string
	// Text is the message of the log line.
	Text string
	// Meaning tells operators what happened and how to react.
	Meaning string
}

// Describe returns the catalogue entry of event, or a placeholder named Uncatalogued if there is none.
func (event Event) Describe() Description {
	index, found := slices.BinarySearchFunc(catalogue, event, func(entry Description, event Event) int {
		return int(entry.Event) - int(event)
	})
	if !found {
		return Description{
			Event: event,
			Level: slog.LevelError,
			Name:  "Uncatalogued",
			Text:  "event without catalogue entry",
		}
	}
	return catalogue[index]
}

// String returns the name of event.
func (event Event) String() string {
	return event.Describe().Name
}

// Log writes event with attributes, whose keys are in Pascal case. A nil log discards the event.
func Log(ctx context.Context, log *slog.Logger, event Event, attributes ...slog.Attr) {
	description := event.Describe()
	if log == nil || !log.Enabled(ctx, description.Level) {
		return
	}
	allAttributes := make([]slog.Attr, 0, len(attributes)+2)
	allAttributes = append(allAttributes, slog.Int("Event", int(event)), slog.String("Name", description.Name))
	allAttributes = append(allAttributes, attributes...)
	log.LogAttrs(ctx, description.Level, description.Text, allAttributes...)
}

// Error returns the attribute Error with the message of err, which is empty for nil.
func Error(err error) slog.Attr {
	if err == nil {
		return slog.String("Error", "")
	}
	return slog.String("Error", err.Error())
}

// New returns a logger that writes one JSON object per line, with keys in Pascal case.
func New(writer io.Writer, level slog.Leveler) *slog.Logger {
	return slog.New(slog.NewJSONHandler(writer, &slog.HandlerOptions{
		Level:       level,
		ReplaceAttr: renameBuiltin,
	}))
}

// renameBuiltin gives the built-in attributes of slog keys in Pascal case. All other keys are in Pascal case
// already.
func renameBuiltin(groups []string, attribute slog.Attr) slog.Attr {
	if len(groups) > 0 {
		return attribute
	}
	switch attribute.Key {
	case slog.TimeKey:
		attribute.Key = "Time"
	case slog.LevelKey:
		attribute.Key = "Level"
	case slog.MessageKey:
		attribute.Key = "Message"
	}
	return attribute
}

// Page returns the content of docs/events.md, generated from the catalogue.
func Page() string {
	var page strings.Builder
	page.WriteString("# Log events\n\n")
	page.WriteString("Every log line is a JSON object with `Time`, `Level`, `Message`, `Event` (the number), `Name` and further attributes. ")
	page.WriteString("Numbers and names are stable. This page is generated from `internal/node/logger/catalogue.go`; ")
	page.WriteString("`go test ./internal/node/logger -update` regenerates it.\n\n")
	page.WriteString("| number | level | name | message | meaning |\n|---|---|---|---|---|\n")
	for _, entry := range catalogue {
		fmt.Fprintf(&page, "| %d | %s | `%s` | %s | %s |\n",
			int(entry.Event), entry.Level, entry.Name, entry.Text, entry.Meaning)
	}
	return page.String()
}
