package advisor

import (
	"context"
	"fmt"
	"sync"
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
		advisor := New(func(ctx context.Context, _ string, request scheduler.AdviceRequest) (func(), error) {
			sent <- request
			select {
			case <-release:
			case <-ctx.Done():
			}
			return nil, nil
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

// testRequest returns a short request that becomes late after urgent and worthless after three times that.
func testRequest(name string, urgent time.Duration) scheduler.AdviceRequest {
	return scheduler.AdviceRequest{
		Step: describer.StepID{
			Job: describer.JobID(name),
		},
		UrgentFrom:       time.Now().Add(urgent),
		WorthlessFrom:    time.Now().Add(3 * urgent),
		ExpectedDuration: 10 * time.Millisecond,
	}
}

// TestWaitingRequests guards against answers whose cost grows with the requests that wait: a leader with 3,100 waiting
// requests and 147 instances spent all its processor time on looking for an instance that takes one of them.
func TestWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		release := make(chan struct{})
		advisor := New(func(ctx context.Context, _ string, _ scheduler.AdviceRequest) (func(), error) {
			select {
			case <-release:
			case <-ctx.Done():
			}
			return nil, nil
		})
		var names []string
		for index := range 147 {
			names = append(names, fmt.Sprint(index))
		}
		advisor.SetInstances(ctx, names)
		var requests []scheduler.AdviceRequest
		for index := range 4000 {
			request := testRequest(fmt.Sprint(index), time.Hour)
			if index%4 == 0 {
				request.ExpectedDuration = time.Second
			}
			requests = append(requests, request)
		}
		advisor.Add(ctx, requests)
		synctest.Wait()
		before, waiting := advisor.Examined(), advisor.Waiting()
		release <- struct{}{}
		synctest.Wait()
		if sent := waiting - advisor.Waiting(); sent != 1 {
			t.Fatalf("%d requests were sent after one answer, want 1", sent)
		}
		if examined := advisor.Examined() - before; examined > 4*147 {
			t.Errorf("one answer took %d looks at instances, want at most four at each of the 147", examined)
		}
	})
}

// TestOverdueRequests guards against requests that have become worthless while they waited and still go first, since
// they were the most urgent when they were made: then all answers come too late.
func TestOverdueRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var mutex sync.Mutex
		var sent []string
		release := make(chan struct{})
		advisor := New(func(ctx context.Context, _ string, request scheduler.AdviceRequest) (func(), error) {
			mutex.Lock()
			sent = append(sent, string(request.Step.Job))
			mutex.Unlock()
			select {
			case <-release:
			case <-ctx.Done():
			}
			return nil, nil
		})
		advisor.SetInstances(ctx, []string{"a"})
		advisor.Add(ctx, []scheduler.AdviceRequest{testRequest("open-1", time.Minute), testRequest("open-2", time.Minute)})
		synctest.Wait()
		advisor.Add(ctx, []scheduler.AdviceRequest{testRequest("worthless", 100*time.Millisecond), testRequest("late", 200*time.Millisecond)})
		time.Sleep(400 * time.Millisecond)
		advisor.Add(ctx, []scheduler.AdviceRequest{testRequest("new", time.Minute)})
		synctest.Wait()
		sent = nil
		for range 3 {
			release <- struct{}{}
			synctest.Wait()
		}
		if got, want := fmt.Sprint(sent), "[new late worthless]"; got != want {
			t.Errorf("sent %s, want %s", got, want)
		}
	})
}

// TestRoom guards against requests that are made long before they can be sent, and against short requests that find no
// room because long ones wait.
func TestRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		advisor := New(func(ctx context.Context, _ string, _ scheduler.AdviceRequest) (func(), error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		count := func(expected time.Duration) int {
			room, taken := advisor.Room(), 0
			for room.Take(expected) {
				taken++
			}
			return taken
		}
		advisor.SetInstances(ctx, []string{"a", "b", "c", "d", "e"})
		if short, long := count(time.Millisecond), count(time.Second); short != 15 || long != 4 {
			t.Errorf("room for %d short and %d long requests, want 15 and 4", short, long)
		}
		var requests []scheduler.AdviceRequest
		for index := range 8 {
			request := testRequest(fmt.Sprint(index), time.Hour)
			request.ExpectedDuration = time.Second
			requests = append(requests, request)
		}
		advisor.Add(ctx, requests)
		synctest.Wait()
		if short, long := count(time.Millisecond), count(time.Second); short != 11 || long != 0 {
			t.Errorf("room for %d short and %d long requests beside eight long ones, want 11 and 0", short, long)
		}
	})
}
