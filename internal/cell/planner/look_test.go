package planner

import (
	"fmt"
	"testing"
	"time"

	"pomelomoor/internal/cell/describer"
)

// TestLookWait guards against a leader that looks so often at many workers while calls are lost that it reads the
// answers to its orders too late, and takes them for lost as well.
func TestLookWait(t *testing.T) {
	tests := []struct {
		workers int
		lost    int
		want    time.Duration
	}{
		{
			workers: 48,
			lost:    0,
			want:    lookWait,
		},
		{
			workers: 48,
			lost:    cautiousAfter,
			want:    cautiousWait,
		},
		{
			workers: 200,
			lost:    cautiousAfter,
			want:    200 * lookPace,
		},
		{
			workers: 350,
			lost:    cautiousAfter,
			want:    lookWait,
		},
	}
	for _, test := range tests {
		planner := New(Options{
			LongestLease: 6 * time.Second,
		}, &describer.Config{})
		now := time.Unix(1000, 0)
		for index := range test.workers {
			id := describer.WorkerID(fmt.Sprint(index))
			planner.SetWorker(now, &describer.Worker{
				ID: id,
			})
			planner.Looked(now, now, id, describer.Look{})
		}
		for range test.lost {
			planner.unanswer(now)
		}
		if _, order, _ := planner.LookOrder(now, "0"); order.Wait != test.want {
			t.Errorf("%d workers, %d calls lost: waits %s, want %s", test.workers, test.lost, order.Wait, test.want)
		}
	}
}
