package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pomelomoor/internal/cell/describer"
)

// TestPollWait guards against a leader that polls many workers so often while calls are lost that it reads the
// answers to its orders too late and counts these as lost as well.
func TestPollWait(t *testing.T) {
	tests := []struct {
		workers int
		lost    int
		want    time.Duration
	}{
		{
			workers: 48,
			lost:    0,
			want:    pollWait,
		},
		{
			workers: 48,
			lost:    lossThreshold,
			want:    lossyPollWait,
		},
		{
			workers: 200,
			lost:    lossThreshold,
			want:    200 * minPollInterval,
		},
		{
			workers: 350,
			lost:    lossThreshold,
			want:    pollWait,
		},
	}
	for _, test := range tests {
		scheduler := New(Options{
			MaxLease: 6 * time.Second,
		}, &describer.Config{})
		now := time.Unix(1000, 0)
		for index := range test.workers {
			id := describer.WorkerID(fmt.Sprint(index))
			scheduler.SetWorker(now, &describer.Worker{
				ID: id,
			})
			scheduler.PollAnswered(now, now, id, describer.PollAnswer{})
		}
		for range test.lost {
			scheduler.noteUnanswered(now)
		}
		if _, order, _ := scheduler.PollOrder(now, "0", true); order.Wait != test.want {
			t.Errorf("%d workers, %d calls lost: waits %s, want %s", test.workers, test.lost, order.Wait, test.want)
		}
	}
}
