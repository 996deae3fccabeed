package advisor

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/scheduler"
)

// TestLongRequests queues short requests behind long ones, while the service answers each instance one request
// at a time. It guards against long requests that occupy all instances while short ones wait, and against more
// requests to one instance than it may have open.
func TestLongRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		sent := make(chan scheduler.AdviceRequest, 100)
		release := make(chan struct{})
		advisor := New(func(ctx context.Context, _ string, request scheduler.AdviceRequest) error {
			sent <- request
			select {
			case <-release:
			case <-ctx.Done():
			}
			return nil
		})
		advisor.SetInstances(ctx, []string{"a", "b", "c", "d"})
		var requests []scheduler.AdviceRequest
		for index := range 20 {
			request := scheduler.AdviceRequest{
				Step: describer.StepID{
					Job: describer.JobID(fmt.Sprint(index)),
				},
				ExpectedDuration: time.Second,
			}
			if index >= 10 {
				request.ExpectedDuration = 10 * time.Millisecond
				request.UrgentFrom = time.Unix(1000, 0)
			}
			requests = append(requests, request)
		}
		advisor.Add(ctx, requests)
		synctest.Wait()
		long, short := 0, 0
		for len(sent) > 0 {
			if request := <-sent; request.ExpectedDuration >= longRequestThreshold {
				long++
			} else {
				short++
			}
		}
		// Three of the four instances have one long request each. The fourth has two short ones, and each of the others
		// one short request beside its long one.
		if long != 3 || short != 5 {
			t.Errorf("%d long and %d short requests are open, want 3 and 5", long, short)
		}
		close(release)
		for range 20 - long - short {
			<-sent
		}
	})
}
