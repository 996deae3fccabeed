package leader

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/prioritizer"
	"pomelomoor/internal/cell/scheduler"
)

// acquire takes one of the places in open. It returns false if ctx ends first.
func acquire(ctx context.Context, open chan struct{}) bool {
	select {
	case open <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func release(open chan struct{}) {
	<-open
}

// startQueue holds the starts that wait to be sent, the most urgent first, since a start that comes late is of no use.
type startQueue struct {
	mutex   sync.Mutex
	waiting prioritizer.Queue[scheduler.Start]
	// open counts the starts that wait for an answer.
	open int
}

// next takes the most urgent start, unless as many as may be wait for an answer.
func (startQueue *startQueue) next() (start scheduler.Start, taken bool) {
	startQueue.mutex.Lock()
	defer startQueue.mutex.Unlock()
	if startQueue.open >= maxOpenStarts || startQueue.waiting.Len() == 0 {
		return scheduler.Start{}, false
	}
	startQueue.open++
	return startQueue.waiting.Take(), true
}

// finished notes that a start no longer waits for an answer.
func (startQueue *startQueue) finished() {
	startQueue.mutex.Lock()
	defer startQueue.mutex.Unlock()
	startQueue.open--
}

// counts returns the numbers of starts that wait to be sent and for an answer.
func (startQueue *startQueue) counts() (waiting, open int) {
	startQueue.mutex.Lock()
	defer startQueue.mutex.Unlock()
	return startQueue.waiting.Len(), startQueue.open
}

// startRuns sends start orders, as many at a time as may be open.
func (leader *Leader) startRuns(ctx context.Context, starts []scheduler.Start) {
	leader.starts.mutex.Lock()
	for _, start := range starts {
		leader.starts.waiting.Add(start.Rank, start)
	}
	leader.starts.mutex.Unlock()
	for {
		start, taken := leader.starts.next()
		if !taken {
			return
		}
		go leader.keepStarting(ctx, start)
	}
}

// keepStarting sends a start order, and those that wait after it.
func (leader *Leader) keepStarting(ctx context.Context, start scheduler.Start) {
	for taken := true; taken && ctx.Err() == nil; start, taken = leader.starts.next() {
		leader.startRun(ctx, start)
		leader.starts.finished()
	}
}

// startRun sends a start order and reports the answer to the scheduler.
func (leader *Leader) startRun(ctx context.Context, start scheduler.Start) {
	startTime := time.Now()
	target := describer.Target{
		Worker: start.Worker,
		Fence:  start.Fence,
	}
	err := scheduler.ErrNotSent
	var clock time.Duration
	if startTime.Before(start.SendBy) {
		clock, err = leader.options.Workers.Start(ctx, target, start.Order)
	}
	leader.options.Observer.OrderAnswered("start", start.Order.Task, start.Order.Run, start.Worker.ID, "", time.Since(startTime), err)
	leader.endTermIfFenced(target, err)
	if !errors.Is(err, scheduler.ErrNotSent) {
		leader.options.Observer.RunStarted(start.Waited)
	}
	leader.update("start of "+start.Order.Task.String(), func(now time.Time) {
		if err == nil {
			leader.scheduler.NoteClock(now, startTime, start.Worker.ID, clock)
		}
		leader.scheduler.StartAnswered(now, start, err)
	})
}

// stopRun sends a stop order and reports the answer to the scheduler.
func (leader *Leader) stopRun(ctx context.Context, stop scheduler.Stop) {
	if !acquire(ctx, leader.openStops) {
		return
	}
	defer release(leader.openStops)
	startTime := time.Now()
	target := describer.Target{
		Worker: stop.Worker,
		Fence:  stop.Fence,
	}
	err := leader.options.Workers.Stop(ctx, target, stop.Order)
	leader.options.Observer.OrderAnswered("stop", stop.Order.Task, stop.Order.Run, stop.Worker.ID, stop.Reason, time.Since(startTime), err)
	leader.endTermIfFenced(target, err)
	leader.update("stop of "+stop.Order.Task.String(), func(now time.Time) {
		leader.scheduler.StopAnswered(now, stop, err)
	})
}

// contain handles one item and contains its panic, so that one bad item does not end the process of every leader in
// turn. The caller holds the mutex.
func (leader *Leader) contain(item string, handle func()) {
	defer func() {
		if cause := recover(); cause != nil {
			leader.options.Observer.Contained(item, cause)
		}
	}()
	handle()
}

// update handles one item under the mutex, contains its panic and requests a pass.
func (leader *Leader) update(item string, handle func(now time.Time)) {
	leader.mutex.Lock()
	defer leader.mutex.Unlock()
	leader.meter.load.Updates++
	leader.contain(item, func() {
		handle(time.Now())
	})
	leader.requestPass()
}
