// Package logger writes numbered log events over log/slog. docs/events.md is the catalogue for operators.
package logger

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
)

// Event is the stable number of a kind of log line.
type Event int

// Description is the catalogue entry of an event.
type Description struct {
	Event Event
	Level slog.Level
	// Name is the stable name in Pascal case.
	Name string
	// Text is the message of the log line.
	Text string
	// Meaning tells operators what happened and what to do.
	Meaning string
}

// Describe returns the catalogue entry of event.
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

// Log writes event with attributes, whose names are in Pascal case. A nil log discards it.
func Log(ctx context.Context, log *slog.Logger, event Event, attributes ...slog.Attr) {
	description := event.Describe()
	if log == nil || !log.Enabled(ctx, description.Level) {
		return
	}
	all := make([]slog.Attr, 0, len(attributes)+2)
	all = append(all, slog.Int("Event", int(event)), slog.String("Name", description.Name))
	all = append(all, attributes...)
	log.LogAttrs(ctx, description.Level, description.Text, all...)
}

// Error returns the attribute for an error. A nil error is written as an empty string.
func Error(err error) slog.Attr {
	if err == nil {
		return slog.String("Error", "")
	}
	return slog.String("Error", err.Error())
}

// New returns a logger that writes one JSON object in Pascal case per line.
func New(writer io.Writer, level slog.Leveler) *slog.Logger {
	return slog.New(slog.NewJSONHandler(writer, &slog.HandlerOptions{
		Level:       level,
		ReplaceAttr: pascalCase,
	}))
}

// pascalCase renames the built-in attributes; those of the project are Pascal case already.
func pascalCase(groups []string, attribute slog.Attr) slog.Attr {
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

// Page returns the text of docs/events.md.
func Page() string {
	var page strings.Builder
	page.WriteString("# Log events\n\n")
	page.WriteString("Every log line is a JSON object with `Time`, `Level`, `Message`, `Event` (the number), `Name` and further attributes. ")
	page.WriteString("Numbers and names are stable. This page is written from `internal/node/logger/catalogue.go`; ")
	page.WriteString("`go test ./internal/node/logger -update` writes it anew.\n\n")
	page.WriteString("| number | level | name | message | meaning |\n|---|---|---|---|---|\n")
	for _, entry := range catalogue {
		fmt.Fprintf(&page, "| %d | %s | `%s` | %s | %s |\n",
			int(entry.Event), entry.Level, entry.Name, entry.Text, entry.Meaning)
	}
	return page.String()
}
