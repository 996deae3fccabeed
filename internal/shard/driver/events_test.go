package driver

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"testing"

	"pomelomoor/internal/node/logger"
)

// Guards against log lines that are missing from the event catalogue, and against a line for each decision at
// the default level.
func TestEvents(t *testing.T) {
	for level, want := range map[slog.Level][]logger.Event{
		slog.LevelInfo:  {logger.EventShardRecovered, logger.EventShardGivenUp},
		slog.LevelDebug: {logger.EventShardRecovered, logger.EventShardGivenUp, logger.EventJobDecided},
	} {
		var output bytes.Buffer
		harness := newHarness(t)
		harness.log = logger.New(&output, level)
		stop := harness.serve()
		harness.awaitFate(harness.submitAndAccept(batchJob("one")), "Done")
		stop()
		seen := map[logger.Event]bool{}
		for decoder := json.NewDecoder(&output); decoder.More(); {
			var line struct {
				Event logger.Event
				Name  string
				Shard string
			}
			if err := decoder.Decode(&line); err != nil {
				t.Fatal(err)
			}
			if line.Name == "" || line.Name != line.Event.String() || line.Shard != "hof-0" {
				t.Errorf("unexpected event %d, name %q, shard %q", line.Event, line.Name, line.Shard)
			}
			seen[line.Event] = true
		}
		for _, event := range want {
			if !seen[event] {
				t.Errorf("%s is missing at level %s", event, level)
			}
		}
		if len(seen) != len(want) {
			t.Errorf("%d different events at level %s, want %d", len(seen), level, len(want))
		}
	}
}
