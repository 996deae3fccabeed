package observer

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"github.com/uber-go/tally/v4"

	"pomelomoor/internal/cell/admitter"
	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/leader"
	"pomelomoor/internal/cell/refresher"
	"pomelomoor/internal/cell/scheduler"
	"pomelomoor/internal/work/descriptor"
)

func newTestObserver() (*Observer, tally.TestScope, *bytes.Buffer) {
	log := &bytes.Buffer{}
	scope := tally.NewTestScope("", nil)
	return &Observer{
		Log: slog.New(slog.NewJSONHandler(log, &slog.HandlerOptions{
			Level: slog.LevelDebug,
		})),
		Scope: scope,
	}, scope, log
}

// TestManyOrganisations guards against metrics that grow without a bound as configurations name ever new organisations, and
// against calls that are not counted then.
func TestManyOrganisations(t *testing.T) {
	observer, scope, _ := newTestObserver()
	const organisations = 3 * maxOrganisations
	for index := range organisations {
		name := fmt.Sprintf("organisation-%d", index)
		observer.CallAnswered(admitter.CallResult{
			Call:         "Submit",
			Organisation: name,
			Outcome:      "Rejected",
			Err: &describer.RejectedError{
				Overload: index%2 == 0,
			},
		})
		observer.Loaded(leader.LoadReport{
			Organisations: []scheduler.OrganisationLoad{{
				Name: name,
			}},
		})
	}
	counted := map[string]int64{}
	names := map[string]bool{}
	for _, counter := range scope.Snapshot().Counters() {
		counted[counter.Name()] += counter.Value()
		names[counter.Tags()["Organisation"]] = true
	}
	for _, gauge := range scope.Snapshot().Gauges() {
		names[gauge.Tags()["Organisation"]] = true
	}
	if counted["Organisations.Calls"] != organisations || counted["Organisations.Refused"] != organisations {
		t.Errorf("%d calls and %d refusals counted, want %d", counted["Organisations.Calls"], counted["Organisations.Refused"], organisations)
	}
	// The metrics without an organisation, and the others, come on top.
	if len(names) != maxOrganisations+2 || !names[otherOrganisations] {
		t.Errorf("metrics of %d organisations, want %d", len(names), maxOrganisations+2)
	}
}

// TestOrganisationChanges guards against a change of keys or caps that leaves no trace, against a line that holds a key or a
// whole digest, and against a version that fills the log.
func TestOrganisationChanges(t *testing.T) {
	observer, _, log := newTestObserver()
	config := func(version int64, milliCPU int64, keys ...string) *describer.Config {
		config := &describer.Config{
			Version: version,
			Keys:    map[describer.KeyDigest]string{},
			Organisations: []describer.Organisation{
				{
					Name:   "north",
					Weight: 1,
					Cap: descriptor.Resources{
						MilliCPU: milliCPU,
					},
				},
				{
					Name: "south",
				},
			},
		}
		for _, key := range keys {
			config.Keys[describer.DigestKey(key)] = "north"
		}
		return config
	}
	observer.Config(config(1, 1000, "planted-a", "planted-b"), "", refresher.Freshness{})
	observer.Config(config(2, 2000, "planted-b", "planted-c"), "", refresher.Freshness{})
	observer.Config(config(3, 2000, "planted-b", "planted-c"), "", refresher.Freshness{})
	text := log.String()
	if lines := strings.Count(text, "OrganisationChanged"); lines != 1 {
		t.Errorf("%d lines, want one: %s", lines, text)
	}
	added, removed := describer.DigestKey("planted-c").String(), describer.DigestKey("planted-a").String()
	for _, want := range []string{
		fmt.Sprintf(`"AddedKeys":[%q],"RemovedKeys":[%q]`, added, removed),
		`"Detail":"cap changed"`,
		`"FormerCap":{"MilliCPU":1000`,
	} {
		if !strings.Contains(text, want) {
			t.Errorf("no %s in %s", want, text)
		}
	}
	if strings.Contains(text, "planted-") {
		t.Errorf("a line holds a key: %s", text)
	}
	many := &describer.Config{
		Version: 4,
	}
	for index := range 2 * maxLoggedChanges {
		many.Organisations = append(many.Organisations, describer.Organisation{
			Name: fmt.Sprintf("organisation-%d", index),
		})
	}
	log.Reset()
	observer.Config(many, "", refresher.Freshness{})
	if lines := strings.Count(log.String(), "OrganisationChanged"); lines != maxLoggedChanges+1 {
		t.Errorf("%d lines for a version with many changes, want %d", lines, maxLoggedChanges+1)
	}
}
