package forwarder

import (
	"context"
	"log/slog"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/node/logger"
	"pomelomoor/internal/request/counter"
	"pomelomoor/internal/request/queuer"
	"pomelomoor/internal/request/router"
	"pomelomoor/internal/work/descriptor"
)

// service is the state of one upstream service. Forwarder.mu guards it.
type service struct {
	forwarder *Forwarder
	queuer    queuer.Queuer
	router    router.Router
	peers     router.Peers
	waiters   map[string]*waiter
	timer     *time.Timer
	timerAt   time.Time
	metrics   counter.Counter
}

// waiter is a request that waits for a slot.
type waiter struct {
	avoid string
	// granted receives exactly one grant unless the wait is cancelled first.
	granted chan grant
}

// grant is the end of a wait: a slot, or a refusal if refusal is not nil.
type grant struct {
	slot    router.Slot
	refusal *queuer.Refusal
}

func (forwarder *Forwarder) newService(name string) *service {
	service := &service{
		forwarder: forwarder,
		queuer: queuer.Queuer{
			Limit: forwarder.options.MaxWaitingPerLane,
		},
		router: router.Router{
			Self: forwarder.options.Self,
		},
		peers: router.Peers{
			Region: forwarder.options.Region,
		},
		waiters: map[string]*waiter{},
		metrics: counter.New(forwarder.options.Scope, name),
	}
	service.router.SetMembers(forwarder.members)
	return service
}

func (service *service) queueLength() int {
	return service.queuer.Len(parser.LaneShort) + service.queuer.Len(parser.LaneLong)
}

// dispatch assigns free slots to waiting requests and sets a timer to run again when a paused runner
// accepts work again.
func (service *service) dispatch(now time.Time) {
	for service.queueLength() > 0 {
		_, short := service.router.Slots(now, parser.LaneShort)
		_, long := service.router.Slots(now, parser.LaneLong)
		item, dropped, ok := service.queuer.Take(now, short > 0, long > 0)
		service.refuse(dropped)
		if !ok {
			break
		}
		waiter := service.waiters[item.ID]
		delete(service.waiters, item.ID)
		slot, ok := service.router.Choose(now, item.Lane, waiter.avoid)
		if !ok {
			waiter.granted <- grant{
				refusal: &queuer.Refusal{
					Item:       item,
					Reason:     queuer.ReasonNoSlots,
					RetryAfter: queuer.MinRetryAfter,
				},
			}
			continue
		}
		waiter.granted <- grant{
			slot: slot,
		}
	}
	service.armTimer(now)
}

func (service *service) refuse(refusals []queuer.Refusal) {
	for i := range refusals {
		refusal := &refusals[i]
		waiter := service.waiters[refusal.Item.ID]
		delete(service.waiters, refusal.Item.ID)
		waiter.granted <- grant{
			refusal: refusal,
		}
	}
}

func (service *service) armTimer(now time.Time) {
	due := time.Time{}
	if service.queueLength() > 0 {
		due = service.router.AvailableAt(now)
	}
	if due.Equal(service.timerAt) {
		return
	}
	service.disarmTimer()
	if due.IsZero() {
		return
	}
	service.timerAt = due
	service.timer = time.AfterFunc(due.Sub(now), func() {
		service.forwarder.mu.Lock()
		defer service.forwarder.mu.Unlock()
		if service.timerAt.Equal(due) {
			service.timerAt = time.Time{}
		}
		service.dispatch(time.Now())
	})
}

func (service *service) disarmTimer() {
	if service.timer != nil {
		service.timer.Stop()
	}
	service.timerAt = time.Time{}
}

// acquire waits for a slot. It returns a slot, the ID of a peer to forward to, or a problem.
func (service *service) acquire(ctx context.Context, call *call) (router.Slot, string, *descriptor.Problem) {
	started := time.Now()
	item := queuer.Item{
		ID:       call.id,
		Caller:   call.request.Caller,
		Lane:     call.lane,
		Urgency:  call.urgency,
		Deadline: call.request.Deadline,
	}
	if ctx.Err() != nil {
		return router.Slot{}, "", contextProblem(ctx)
	}
	waiter, peer, problem := service.offer(started, item, call)
	if waiter == nil {
		return router.Slot{}, peer, problem
	}
	select {
	case granted := <-waiter.granted:
		if ctx.Err() == nil || granted.refusal != nil {
			return service.acceptGrant(granted, started)
		}
		waiter.granted <- granted
	case <-ctx.Done():
	}
	service.cancelWait(call.id, waiter)
	return router.Slot{}, "", contextProblem(ctx)
}

// cancelWait ends the wait of a request. If a slot was granted at the same time, cancelWait releases
// it, because nothing else would.
func (service *service) cancelWait(id string, waiter *waiter) {
	service.forwarder.mu.Lock()
	defer service.forwarder.mu.Unlock()
	delete(service.waiters, id)
	service.queuer.Cancel(id)
	select {
	case granted := <-waiter.granted:
		if granted.refusal == nil {
			now := time.Now()
			service.router.Release(now, granted.slot, router.OutcomeCancelled, 0)
			service.dispatch(now)
		}
	default:
	}
}

// offer queues the request and returns its waiter, or returns the peer to forward to or a problem.
func (service *service) offer(now time.Time, item queuer.Item, call *call) (*waiter, string, *descriptor.Problem) {
	service.forwarder.mu.Lock()
	defer service.forwarder.mu.Unlock()
	slots := queuer.Slots{}
	slots.Usable, slots.Free = service.router.Slots(now, item.Lane)
	if call.onlyFree && slots.Free <= service.queuer.Len(item.Lane) {
		service.metrics.Refused(queuer.ReasonNoSlots)
		return nil, "", descriptor.NewProblem(descriptor.CodeOverloaded, queuer.MinRetryAfter, "peer has no free slot")
	}
	if call.mayForward {
		if peer, ok := service.peers.Choose(now, service.demand(now, item, slots)); ok {
			return nil, peer, nil
		}
	}
	refusal, displaced := service.queuer.Offer(now, item, slots)
	service.refuse(displaced)
	if refusal == nil {
		added := &waiter{
			avoid:   call.avoid,
			granted: make(chan grant, 1),
		}
		service.waiters[item.ID] = added
		service.dispatch(now)
		return added, "", nil
	}
	if call.mayForward {
		demand := service.demand(now, item, slots)
		demand.Wait = max(demand.Wait, item.Deadline.Sub(now)+1)
		if peer, ok := service.peers.Choose(now, demand); ok {
			return nil, peer, nil
		}
	}
	service.metrics.Refused(refusal.Reason)
	return nil, "", refusal.Problem()
}

func (service *service) demand(now time.Time, item queuer.Item, slots queuer.Slots) router.Demand {
	demand := router.Demand{
		ID:       item.ID,
		Deadline: item.Deadline,
	}
	demand.Wait, demand.Service = service.queuer.PredictTimes(now, item, slots)
	if slots.Usable == 0 {
		// Without usable slots the wait is unbounded, so treat it as longer than the deadline allows.
		demand.Wait = item.Deadline.Sub(now) + 1
	}
	return demand
}

func (service *service) acceptGrant(granted grant, started time.Time) (router.Slot, string, *descriptor.Problem) {
	if granted.refusal != nil {
		service.metrics.Refused(granted.refusal.Reason)
		return router.Slot{}, "", granted.refusal.Problem()
	}
	service.metrics.Waited(time.Since(started))
	return granted.slot, "", nil
}

// release frees a slot after an attempt and records the outcome and the service time.
func (service *service) release(ctx context.Context, slot router.Slot, outcome router.Outcome, took time.Duration) {
	now := time.Now()
	service.forwarder.mu.Lock()
	paused := service.router.Release(now, slot, outcome, took)
	if outcome == router.OutcomeSuccess || outcome == router.OutcomeTimeout {
		// Other outcomes, such as fast errors, are no samples of the service time.
		service.queuer.ObserveServiceTime(now, slot.Lane, took)
	}
	service.dispatch(now)
	service.forwarder.mu.Unlock()
	if paused {
		logger.Log(ctx, service.forwarder.options.Logger, logger.EventRunnerUnhealthy, slog.String("Runner", slot.Runner))
	}
}

func contextProblem(ctx context.Context) *descriptor.Problem {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return descriptor.NewProblem(descriptor.CodeDeadline, 0, "deadline passed before a slot was free")
	}
	return descriptor.NewProblem(descriptor.CodeUnavailable, 0, "caller gave up before a slot was free")
}
