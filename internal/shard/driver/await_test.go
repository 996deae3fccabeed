package driver

import (
	"context"
	"strconv"
	"sync"
	"testing"

	"pomelomoor/internal/shard/signaler"
	"pomelomoor/internal/work/descriptor"
)

// TestAwait guards against waits that miss the end of a job or of the ownership, and against a loop
// that goes on when nobody waits.
func TestAwait(t *testing.T) {
	bench := newBench(t)
	stop := bench.serve()
	defer func() {
		stop()
	}()
	service := batch("k")
	service.Kind = descriptor.KindService
	id := bench.run(service)
	ended, end := context.WithCancel(t.Context())
	end()
	if status, err := bench.Await(ended, id); err != nil || status.ID != id || status.Fate.Final() {
		t.Errorf("a wait that is over: got %v, %v", status.Fate, err)
	}
	if _, err := bench.Await(t.Context(), "hof-0.none"); code(err) != descriptor.CodeNotFound {
		t.Errorf("unknown job: got %v", err)
	}
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() {
			if status, err := bench.Await(t.Context(), id); err != nil || !status.Fate.Final() {
				t.Errorf("cancelled job: got %v, %v", status.Fate, err)
			}
		})
	}
	bench.retry(func(ctx context.Context) error {
		_, err := bench.Cancel(ctx, id)
		return err
	})
	group.Wait()
	if open := bench.awaits.Open(); len(open) > 0 {
		t.Errorf("still awaited: %v", open)
	}
	service.Key = "l"
	id = bench.run(service)
	left := make(chan error)
	go func() {
		_, err := bench.Await(t.Context(), id)
		left <- err
	}()
	bench.authority.Store(int64(signaler.AuthorityNone))
	if err := <-left; code(err) != descriptor.CodeNoOwner {
		t.Errorf("lost shard: got %v", err)
	}
}

// BenchmarkLook measures one look at as many awaited jobs as an instance admits waiting calls.
func BenchmarkLook(b *testing.B) {
	const waits = 512
	bench := newBench(b)
	defer bench.serve()()
	var ids []descriptor.JobID
	var mutex sync.Mutex
	var group sync.WaitGroup
	for i := range waits {
		group.Go(func() {
			job := batch(strconv.Itoa(i))
			job.Kind = descriptor.KindService
			id := bench.run(job)
			mutex.Lock()
			defer mutex.Unlock()
			ids = append(ids, id)
		})
	}
	group.Wait()
	for b.Loop() {
		if ended := bench.look(ids); len(ended) > 0 {
			b.Fatal("jobs have ended")
		}
	}
}
