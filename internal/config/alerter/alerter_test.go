package alerter

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/go-faster/errors"

	"pomelomoor/internal/config/checker"
	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/node/logger"
)

// TestAlerter guards against findings that the log lacks or repeats, and against a check that ends the instance. Each case
// of testdata/arrivals.json holds the configurations that arrive one after the other, and the events and rules of the lines
// that each leads to. Without a configuration the check panics.
func TestAlerter(t *testing.T) {
	content, err := os.ReadFile("testdata/arrivals.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		Name     string
		Arrivals []struct {
			Policies []parser.Policy
			Repeat   int
			Panics   bool
			Lines    []string
		}
	}
	if err := json.Unmarshal(content, &cases); err != nil {
		t.Fatal(err)
	}
	for _, test := range cases {
		t.Run(test.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var log bytes.Buffer
				alerter := New(logger.New(&log, slog.LevelDebug), strings.ToLower)
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error, 1)
				go func() {
					ended <- alerter.Run(ctx)
				}()
				for index, arrival := range test.Arrivals {
					var config parser.Config
					for range max(arrival.Repeat, 1) {
						config.Policies = append(config.Policies, arrival.Policies...)
					}
					for policy := range config.Policies {
						config.Policies[policy].Name += strings.Repeat("+", policy)
					}
					var configuration checker.Configuration = checker.Policies{
						Config: config,
					}
					if arrival.Panics {
						configuration = checker.Cell{}
					}
					alerter.Arrived(int64(index), configuration)
					synctest.Wait()
					if lines := readLines(t, &log); !slices.Equal(lines, arrival.Lines) {
						t.Errorf("arrival %d: lines %q, want %q", index, lines, arrival.Lines)
					}
				}
				cancel()
				if err := <-ended; !errors.Is(err, context.Canceled) {
					t.Error(err)
				}
			})
		})
	}
}

// readLines empties log and returns each line as the name of its event and its rule, or its number of findings. Equal ones in a row are one.
func readLines(t *testing.T, log *bytes.Buffer) []string {
	t.Helper()
	var lines []string
	for _, text := range strings.Split(strings.TrimSpace(log.String()), "\n") {
		if text == "" {
			continue
		}
		var line struct {
			Name, Rule string
			Findings   json.Number
		}
		if err := json.Unmarshal([]byte(text), &line); err != nil {
			t.Fatal(err)
		}
		lines = append(lines, strings.Join(strings.Fields(line.Name+" "+line.Rule+" "+line.Findings.String()), " "))
	}
	log.Reset()
	return slices.Compact(lines)
}
