package leader

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/watcher"
)

const (
	// lookPause is the least time between two looks at a worker, so that ends come together.
	lookPause = 5 * time.Millisecond
	// failedLookPause is the pause after a look without an answer.
	failedLookPause = 100 * time.Millisecond
	// unseenPause is how often a look that waits for records looks whether they are stored.
	unseenPause = 3 * time.Millisecond
	// mostUnseenWait is how long a look waits for the records of ends that the worker would list again.
	mostUnseenWait = 400 * time.Millisecond
)

// look renews the leases on a worker and reads its lists until it is forgotten.
func (leader *Leader) look(ctx context.Context, id describer.WorkerID) {
	for ctx.Err() == nil {
		worker, order := leader.nextLook(ctx, id)
		if worker == nil {
			return
		}
		err := leader.lookAt(ctx, worker, order)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			watcher.Pause(ctx, failedLookPause)
		} else {
			watcher.Pause(ctx, lookPause)
		}
	}
}

// lookAt carries out one look and hands its outcome to the planner.
func (leader *Leader) lookAt(ctx context.Context, worker *describer.Worker, order describer.LookOrder) error {
	sent := time.Now()
	look, err := leader.options.Workers.Look(ctx, leader.target(worker), order)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if errors.Is(err, describer.ErrFenced) {
		leader.end(errFenced)
		return err
	}
	leader.mutex.Lock()
	if err != nil {
		leader.planner.LookFailed(time.Now(), worker.ID, err)
	} else {
		leader.planner.Looked(time.Now(), sent, worker.ID, look)
	}
	leader.mutex.Unlock()
	leader.signal()
	return err
}

// lookOnce reads a worker's lists beside the look that waits there.
func (leader *Leader) lookOnce(ctx context.Context, id describer.WorkerID) {
	leader.mutex.Lock()
	worker, order, _ := leader.planner.LookOrder(time.Now(), id)
	leader.mutex.Unlock()
	if worker == nil {
		return
	}
	order.Wait = 0
	// A failure is told to the planner; the look that waits goes on.
	_ = leader.lookAt(ctx, worker, order)
}

// nextLook waits until the ends of the last look are durable, since the worker would list them again at once.
func (leader *Leader) nextLook(ctx context.Context, id describer.WorkerID) (*describer.Worker, describer.LookOrder) {
	began := time.Now()
	for {
		leader.mutex.Lock()
		worker, order, unseen := leader.planner.LookOrder(time.Now(), id)
		if worker == nil {
			delete(leader.looking, id)
		}
		leader.mutex.Unlock()
		if !unseen || worker == nil || ctx.Err() != nil || time.Since(began) > mostUnseenWait {
			return worker, order
		}
		watcher.Pause(ctx, unseenPause)
	}
}
