package supervisor

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/go-faster/errors"

	"pomelomoor/internal/node/logger"
)

// TestGivesUp guards against a panic that ends the process at once or is not logged, and against a process that
// continues without a component that fails on each restart.
func TestGivesUp(t *testing.T) {
	var output bytes.Buffer
	root := New("Entry", logger.New(&output, slog.LevelInfo), Limits{
		MaxFailures: 3,
	})
	var stopped atomic.Bool
	root.Add("Steady", func(ctx context.Context) error {
		<-ctx.Done()
		stopped.Store(true)
		return ctx.Err()
	})
	starts := 0
	root.AddSubtree("Shards").Add("Driver", func(context.Context) error {
		starts++
		if starts == 2 {
			return errors.New("no journal")
		}
		panic("bad state")
	})
	var gaveUp *GaveUpError
	if err := root.Serve(context.Background()); !errors.As(err, &gaveUp) || gaveUp.Subtree != "Entry/Shards" {
		t.Fatalf("got %v", err)
	}
	if starts != 4 || !stopped.Load() {
		t.Errorf("failing component started %d times, other component stopped: %t", starts, stopped.Load())
	}
	for text, want := range map[string]int{
		`"Name":"ComponentPanicked","Subtree":"Entry/Shards","Component":"Driver","Panic":"bad state"`: 3,
		`"Component":"Driver","Restarted":true,"Error":"no journal"`:                                   1,
		`"Name":"ComponentGaveUp","Subtree":"Entry/Shards"`:                                            1,
	} {
		if got := strings.Count(output.String(), text); got != want {
			t.Errorf("got %d times %s, want %d, in:\n%s", got, text, want, output.String())
		}
	}
}

// TestStops guards against a planned stop that returns an error, a finished component that is restarted, and a
// removed component that still runs.
func TestStops(t *testing.T) {
	root := New("Entry", nil, Limits{})
	ctx, cancel := context.WithCancel(context.Background())
	finished := make(chan struct{})
	root.Add("Once", func(context.Context) error {
		close(finished)
		return nil
	})
	running := make(chan struct{})
	var ended atomic.Bool
	remove := root.Add("Removed", func(ctx context.Context) error {
		close(running)
		<-ctx.Done()
		ended.Store(true)
		return ctx.Err()
	})
	result := make(chan error)
	go func() {
		result <- root.Serve(ctx)
	}()
	<-finished
	<-running
	if err := remove(); err != nil || !ended.Load() {
		t.Errorf("removed with %v, ended: %t", err, ended.Load())
	}
	cancel()
	if err := <-result; err != nil {
		t.Errorf("got %v", err)
	}
}
