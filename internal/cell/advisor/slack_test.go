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

// TestRequestsWithSlack brings long requests with slack beside short urgent ones, in a cell with two near instances and two
// whose answers take 150 ms longer. It guards against long requests that occupy the near instances, so that the short
// ones, whose objective the longer way uses up, are sent through the others.
func TestRequestsWithSlack(t *testing.T) {
	const far = 150 * time.Millisecond
	tests := []struct {
		name  string
		slack time.Duration
		// wantNear is whether the long requests go through near instances.
		wantNear bool
	}{
		{
			name:  "slack",
			slack: 10 * time.Second,
		},
		{
			name:     "little slack",
			slack:    time.Second,
			wantNear: true,
		},
		{
			name:     "late",
			slack:    -time.Second,
			wantNear: true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				var mutex sync.Mutex
				sent := map[describer.JobID]string{}
				advisor := New(func(_ context.Context, instance string, request scheduler.AdviceRequest) (func(), error) {
					mutex.Lock()
					sent[request.Step.Job] = instance
					mutex.Unlock()
					if instance >= "far" && instance < "near" {
						time.Sleep(far)
					}
					time.Sleep(request.ExpectedDuration)
					return nil, nil
				})
				advisor.SetInstances(ctx, []string{"far-1", "far-2", "near-1", "near-2"})
				for round := range 20 {
					for index := range 4 {
						advisor.Add(ctx, []scheduler.AdviceRequest{testRequest(fmt.Sprintf("learn-%d-%d", round, index), 0)})
					}
					time.Sleep(time.Second)
				}
				for index := range 2 {
					request := testRequest(fmt.Sprintf("long-%d", index), test.slack)
					request.ExpectedDuration = time.Second
					advisor.Add(ctx, []scheduler.AdviceRequest{request})
				}
				synctest.Wait()
				for index := range 2 {
					advisor.Add(ctx, []scheduler.AdviceRequest{testRequest(fmt.Sprintf("short-%d", index), 100*time.Millisecond)})
				}
				time.Sleep(5 * time.Second)
				synctest.Wait()
				for index := range 2 {
					long := sent[describer.JobID(fmt.Sprintf("long-%d", index))]
					short := sent[describer.JobID(fmt.Sprintf("short-%d", index))]
					if near := long >= "near"; near != test.wantNear {
						t.Errorf("long request %d was sent through %s", index, long)
					}
					if !test.wantNear && short < "near" {
						t.Errorf("short request %d was sent through %s", index, short)
					}
				}
			})
		})
	}
}

// TestNearInstancesKept has long requests with slack while each of the far instances has a request that ends soon. It guards
// against long requests that take the near instances when no other is idle, as at a crest, while short ones keep coming.
func TestNearInstancesKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var mutex sync.Mutex
		sent := map[describer.JobID]string{}
		advisor := New(func(_ context.Context, instance string, request scheduler.AdviceRequest) (func(), error) {
			mutex.Lock()
			sent[request.Step.Job] = instance
			mutex.Unlock()
			if instance < "near" {
				time.Sleep(150 * time.Millisecond)
			}
			time.Sleep(request.ExpectedDuration)
			return nil, nil
		})
		names := []string{"near-1", "near-2"}
		for index := range 8 {
			names = append(names, fmt.Sprint("far-", index))
		}
		advisor.SetInstances(ctx, names)
		for index := range 20 {
			advisor.Add(ctx, []scheduler.AdviceRequest{testRequest(fmt.Sprint("learn-", index), 0)})
		}
		time.Sleep(2 * time.Second)
		for index := range 8 {
			request := testRequest(fmt.Sprint("medium-", index), 10*time.Second)
			request.ExpectedDuration = 140 * time.Millisecond
			advisor.Add(ctx, []scheduler.AdviceRequest{request})
		}
		for index := range 20 {
			request := testRequest(fmt.Sprint("long-", index), 10*time.Second)
			request.ExpectedDuration = time.Second
			advisor.Add(ctx, []scheduler.AdviceRequest{request})
		}
		for index := range 10 {
			name := fmt.Sprint("short-", index)
			advisor.Add(ctx, []scheduler.AdviceRequest{testRequest(name, 100*time.Millisecond)})
			time.Sleep(50 * time.Millisecond)
			mutex.Lock()
			instance := sent[describer.JobID(name)]
			mutex.Unlock()
			if instance < "near" {
				t.Errorf("short request %d was sent through %q", index, instance)
			}
		}
		time.Sleep(20 * time.Second)
		synctest.Wait()
		if waiting := advisor.Waiting(); waiting > 0 {
			t.Errorf("%d requests were never sent", waiting)
		}
	})
}
