package elector

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
)

// TestResigned guards against an instance that follows no leader once it has resigned (review/10): the callers that it still
// has got no answer, since it took the cell to have no leader. It also guards against one that claims the leadership again.
func TestResigned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &entryStore{
			changed: make(chan struct{}),
		}
		ctx, cancel := context.WithCancel(t.Context())
		terms := make(chan Term, 8)
		elector := New(Options{
			Store: store,
			Self: Member{
				Instance:    "a",
				Incarnation: "1",
				Address:     netip.MustParseAddrPort("10.0.0.1:7720"),
				CPUCores:    sufficientCPUCores,
			},
			RunLeader: func(ctx context.Context, term Term) error {
				terms <- term
				<-ctx.Done()
				return ctx.Err()
			},
		})
		done := make(chan struct{})
		go func() {
			defer close(done)
			if err := elector.Run(ctx); !errors.Is(err, context.Canceled) {
				t.Error(err)
			}
		}()
		time.Sleep(3 * time.Second)
		if len(terms) != 1 {
			t.Errorf("%d terms, want 1", len(terms))
		}
		elector.Resign()
		store.put(nil)
		time.Sleep(3 * time.Second)
		if view := elector.View(); len(terms) != 1 || view.Leader != nil {
			t.Errorf("%d terms and leader %v after the resignation, want 1 and none", len(terms), view.Leader)
		}
		for _, next := range []string{"b", "c"} {
			store.put(leaderItem(next, 0).Value)
			time.Sleep(time.Second)
			if view := elector.View(); view.Leader == nil || view.Leader.Instance != next {
				t.Errorf("leader %v after the resignation, want %s", view.Leader, next)
			}
		}
		cancel()
		<-done
	})
}
