package advisor

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/scheduler"
)

// TestQueueAfterFailures lets all requests fail for a while and then succeed, with a caller that asks for room before
// it adds requests, as the leader does. It guards against requests that wait for ever, since none is sent once all
// instances are avoided at the same time, and no room is left for the request that would have them sent.
func TestQueueAfterFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var failing atomic.Bool
		var answered atomic.Int64
		failing.Store(true)
		advisor := New(func(context.Context, string, scheduler.AdviceRequest) (func(), error) {
			time.Sleep(10 * time.Millisecond)
			if failing.Load() {
				return nil, errors.New("the service does not answer")
			}
			answered.Add(1)
			return nil, nil
		})
		advisor.SetInstances(ctx, []string{"a", "b", "c"})
		number := 0
		pass := func() {
			room := advisor.Room()
			var requests []scheduler.AdviceRequest
			for len(requests) < 50 && room.Take(10*time.Millisecond) {
				number++
				requests = append(requests, scheduler.AdviceRequest{
					Step: describer.StepID{
						Job: describer.JobID(fmt.Sprint(number)),
					},
					ExpectedDuration: 10 * time.Millisecond,
				})
			}
			if len(requests) > 0 {
				advisor.Add(ctx, requests)
			}
		}
		for range 20 {
			pass()
			time.Sleep(50 * time.Millisecond)
		}
		failing.Store(false)
		for range 20 * 60 {
			pass()
			time.Sleep(50 * time.Millisecond)
		}
		if answered.Load() == 0 {
			t.Errorf("no request was answered within 60 s of the end of the failures; %d wait", advisor.Waiting())
		}
	})
}

// TestLongRequestAmongShort guards against a long request that is more urgent than all short ones and is never sent,
// since no instance is ever without an open request while short requests keep coming.
func TestLongRequestAmongShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var short, long atomic.Int64
		// The service answers each instance one request at a time.
		var services sync.Map
		advisor := New(func(_ context.Context, instance string, request scheduler.AdviceRequest) (func(), error) {
			service, _ := services.LoadOrStore(instance, make(chan struct{}, 1))
			turn, _ := service.(chan struct{})
			turn <- struct{}{}
			time.Sleep(request.ExpectedDuration)
			<-turn
			if isLong(request) {
				long.Add(1)
			} else {
				short.Add(1)
			}
			return nil, nil
		})
		advisor.SetInstances(ctx, []string{"a", "b", "c", "d"})
		for number := range 100 * 24 {
			room := advisor.Room()
			var requests []scheduler.AdviceRequest
			if number == 10 && room.Take(time.Second) {
				requests = append(requests, scheduler.AdviceRequest{
					UrgentFrom:       time.Unix(1, 0),
					ExpectedDuration: time.Second,
				})
			}
			for room.Take(20 * time.Millisecond) {
				requests = append(requests, scheduler.AdviceRequest{
					UrgentFrom:       time.Unix(1000, 0),
					ExpectedDuration: 20 * time.Millisecond,
				})
			}
			if len(requests) > 0 {
				advisor.Add(ctx, requests)
			}
			time.Sleep(10 * time.Millisecond)
		}
		if long.Load() == 0 {
			t.Errorf("the most urgent request was not answered within 24 s, while %d others were", short.Load())
		}
		time.Sleep(10 * time.Second)
	})
}
