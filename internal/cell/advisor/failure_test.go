package advisor

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/scheduler"
)

// TestFailures guards against requests for advice that wait for a second although the service answers, because one
// request of each instance was lost when all connections went silent. An instance that keeps failing must not take many.
func TestFailures(t *testing.T) {
	for _, test := range []struct {
		name string
		// failures is how many requests fail.
		failures int
		// maxSent is the largest number of requests that may be sent within 5 s, and maxWait the longest wait of the last.
		maxSent int
		maxWait time.Duration
	}{
		{name: "lost once", failures: 1, maxSent: 2, maxWait: 150 * time.Millisecond},
		{name: "lost thrice", failures: 3, maxSent: 4, maxWait: 800 * time.Millisecond},
		{name: "always lost", failures: 1000, maxSent: 9, maxWait: 5 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				sent := 0
				answered := make(chan struct{})
				var advisor *Advisor
				advisor = New(func(ctx context.Context, _ string, request scheduler.AdviceRequest) (func(), error) {
					sent++
					if sent > test.failures {
						close(answered)
						return nil, nil
					}
					return func() {
						// The scheduler asks again.
						advisor.Add(ctx, []scheduler.AdviceRequest{request})
					}, errors.New("the connection was lost")
				})
				advisor.SetInstances(ctx, []string{"a"})
				start := time.Now()
				advisor.Add(ctx, make([]scheduler.AdviceRequest, 1))
				select {
				case <-answered:
				case <-ctx.Done():
				}
				if waited := time.Since(start); waited > test.maxWait || sent > test.maxSent {
					t.Errorf("%d requests were sent within %s, want at most %d within %s", sent, waited, test.maxSent, test.maxWait)
				}
			})
		})
	}
}
