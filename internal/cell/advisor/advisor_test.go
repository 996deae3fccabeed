package advisor

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/planner"
)

// TestLongQuestions answers the pattern of short questions behind long ones: the service answers each
// instance one question at a time. It guards against short questions that wait because long ones have
// taken all instances, and against a flood of questions at one instance.
func TestLongQuestions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		asked := make(chan planner.AdviceRequest, 100)
		release := make(chan struct{})
		advisor := New(func(ctx context.Context, _ string, request planner.AdviceRequest) error {
			asked <- request
			select {
			case <-release:
			case <-ctx.Done():
			}
			return nil
		})
		advisor.SetInstances(ctx, []string{"a", "b", "c", "d"})
		var requests []planner.AdviceRequest
		for index := range 20 {
			request := planner.AdviceRequest{
				Step: describer.StepID{
					Job: describer.JobID(fmt.Sprint(index)),
				},
				Takes: time.Second,
			}
			if index >= 10 {
				request.Takes = 10 * time.Millisecond
				request.Urgency = time.Unix(1000, 0)
			}
			requests = append(requests, request)
		}
		advisor.Add(ctx, requests)
		synctest.Wait()
		long, short := 0, 0
		for len(asked) > 0 {
			if request := <-asked; request.Takes >= longQuestion {
				long++
			} else {
				short++
			}
		}
		// One of four instances has no long question, and no instance has more than two questions.
		if long != 3 || short != 5 {
			t.Errorf("%d long and %d short questions are open, want 3 and 5", long, short)
		}
		close(release)
		for range 20 - long - short {
			<-asked
		}
	})
}
