package courier

import (
	"context"
	"sync"
	"time"

	"pomelomoor/internal/cell/cellpb"
)

// carrier is the stream to one instance.
type carrier struct {
	instance Instance
	cancel   context.CancelFunc
	orders   *batch[*cellpb.WorkerOrder]
	// wake has an element when the cell may have become large enough.
	wake chan struct{}

	mutex sync.Mutex
	// open means that the stream takes orders.
	open bool
	// end ends the open stream.
	end        context.CancelFunc
	unanswered int
	// lastAnswer is when the last answer was delivered in time, or when the stream was opened.
	lastAnswer time.Time
	lastID     uint64
	waiting    map[uint64]chan *cellpb.WorkerAnswer
}

func (carrier *carrier) wakeUp() {
	select {
	case carrier.wake <- struct{}{}:
	default:
	}
}

func (carrier *carrier) clearWake() {
	select {
	case <-carrier.wake:
	default:
	}
}

func (carrier *carrier) setOpen(end context.CancelFunc) {
	carrier.mutex.Lock()
	defer carrier.mutex.Unlock()
	carrier.open = true
	carrier.end = end
	carrier.unanswered = 0
	carrier.lastAnswer = time.Now()
}

// giveUp answers all waiting orders as uncertain, since the stream may have carried them.
func (carrier *carrier) giveUp() {
	carrier.mutex.Lock()
	defer carrier.mutex.Unlock()
	carrier.open = false
	for id, waiting := range carrier.waiting {
		delete(carrier.waiting, id)
		close(waiting)
	}
	carrier.orders.mutex.Lock()
	defer carrier.orders.mutex.Unlock()
	carrier.orders.items = nil
}

func (carrier *carrier) deliver(answer *cellpb.WorkerAnswer) {
	carrier.mutex.Lock()
	defer carrier.mutex.Unlock()
	waiting := carrier.waiting[answer.GetId()]
	if waiting == nil {
		// The answer came too late. A courier whose answers all do is as good as lost.
		return
	}
	carrier.unanswered = 0
	carrier.lastAnswer = time.Now()
	delete(carrier.waiting, answer.GetId())
	waiting <- answer
}

// submit adds an order to the stream. It returns nil if the stream is not open.
func (carrier *carrier) submit(order *cellpb.WorkerOrder) chan *cellpb.WorkerAnswer {
	carrier.mutex.Lock()
	defer carrier.mutex.Unlock()
	if !carrier.open {
		return nil
	}
	carrier.lastID++
	order.Id = carrier.lastID
	waiting := make(chan *cellpb.WorkerAnswer, 1)
	carrier.waiting[order.Id] = waiting
	carrier.orders.add(order)
	return waiting
}

func (carrier *carrier) forget(id uint64) {
	carrier.mutex.Lock()
	defer carrier.mutex.Unlock()
	delete(carrier.waiting, id)
}

// noteUnanswered notes that the instance left an order without an answer, which was noticed with a lag, and ends the
// stream after several. It returns false if the instance answers others in time or the lag is the leader's own, so that
// this order is only late.
func (carrier *carrier) noteUnanswered(lag time.Duration) bool {
	carrier.mutex.Lock()
	defer carrier.mutex.Unlock()
	quiet := time.Since(carrier.lastAnswer)
	if quiet < maxQuiet || lag > maxTimerLag && quiet < maxLaggingQuiet {
		return false
	}
	carrier.unanswered++
	if carrier.open && carrier.unanswered >= maxUnansweredOrders {
		carrier.open = false
		carrier.end()
	}
	return true
}

func (carrier *carrier) isOpen() bool {
	carrier.mutex.Lock()
	defer carrier.mutex.Unlock()
	return carrier.open
}
