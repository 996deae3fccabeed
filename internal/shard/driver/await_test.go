package driver

import (
	"context"
	"strconv"
	"sync"
	"testing"

	"pomelomoor/internal/shard/signaler"
	"pomelomoor/internal/work/descriptor"
)

// TestAwait guards against calls of Await that miss the end of a job or of the ownership, and against a
// polling goroutine that continues when no caller waits.
func TestAwait(t *testing.T) {
	harness := newHarness(t)
	stop := harness.serve()
	defer func() {
		stop()
	}()
	service := batchJob("k")
	service.Kind = descriptor.KindService
	id := harness.submitAndAccept(service)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	if status, err := harness.Await(cancelled, id); err != nil || status.ID != id || status.Fate.Final() {
		t.Errorf("cancelled context: got %v, %v", status.Fate, err)
	}
	if _, err := harness.Await(t.Context(), "hof-0.none"); problemCode(err) != descriptor.CodeNotFound {
		t.Errorf("unknown job: got %v", err)
	}
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() {
			if status, err := harness.Await(t.Context(), id); err != nil || !status.Fate.Final() {
				t.Errorf("cancelled job: got %v, %v", status.Fate, err)
			}
		})
	}
	harness.retry(func(ctx context.Context) error {
		_, err := harness.Cancel(ctx, id)
		return err
	})
	group.Wait()
	if awaited := harness.awaits.AwaitedJobs(); len(awaited) > 0 {
		t.Errorf("jobs still awaited: %v", awaited)
	}
	service.Key = "l"
	id = harness.submitAndAccept(service)
	awaitErr := make(chan error)
	go func() {
		_, err := harness.Await(t.Context(), id)
		awaitErr <- err
	}()
	harness.authority.Store(int64(signaler.AuthorityNone))
	if err := <-awaitErr; problemCode(err) != descriptor.CodeNoOwner {
		t.Errorf("lost shard: got %v", err)
	}
}

// BenchmarkPollJobs measures one poll of as many awaited jobs as an instance admits waiting calls.
func BenchmarkPollJobs(b *testing.B) {
	const waits = 512
	harness := newHarness(b)
	defer harness.serve()()
	var ids []descriptor.JobID
	var mutex sync.Mutex
	var group sync.WaitGroup
	for i := range waits {
		group.Go(func() {
			job := batchJob(strconv.Itoa(i))
			job.Kind = descriptor.KindService
			id := harness.submitAndAccept(job)
			mutex.Lock()
			defer mutex.Unlock()
			ids = append(ids, id)
		})
	}
	group.Wait()
	for b.Loop() {
		if ended := harness.pollJobs(ids); len(ended) > 0 {
			b.Fatal("jobs have ended")
		}
	}
}
