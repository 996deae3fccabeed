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

// service is the state of one upstream service. It is guarded by Forwarder.mu.
type service struct {
	forwarder *Forwarder
	queuer    queuer.Queuer
	router    router.Router
	peers     router.Peers
	tickets   map[string]*ticket
	timer     *time.Timer
	timerAt   time.Time
	metrics   counter.Counter
}

// ticket is a request that waits for a slot.
type ticket struct {
	avoid string
	// granted receives exactly one grant unless the ticket is cancelled first.
	granted chan grant
}

type grant struct {
	slot    router.Slot
	refusal *queuer.Refusal
}

func (forwarder *Forwarder) newService(name string) *service {
	service := &service{
		forwarder: forwarder,
		queuer: queuer.Queuer{
			Limit: forwarder.options.QueueLimit,
		},
		router: router.Router{
			Self: forwarder.options.Self,
		},
		peers: router.Peers{
			Region: forwarder.options.Region,
		},
		tickets: map[string]*ticket{},
		metrics: counter.New(forwarder.options.Scope, name),
	}
	service.router.SetMembers(forwarder.members)
	return service
}

func (service *service) waiting() int {
	return service.queuer.Len(parser.LaneShort) + service.queuer.Len(parser.LaneLong)
}

// dispatch gives free slots to waiting requests and arranges to be called again when a paused
// runner takes work again.
func (service *service) dispatch(now time.Time) {
	for service.waiting() > 0 {
		_, short := service.router.Slots(now, parser.LaneShort)
		_, long := service.router.Slots(now, parser.LaneLong)
		item, dropped, ok := service.queuer.Take(now, short > 0, long > 0)
		service.refuse(dropped)
		if !ok {
			break
		}
		waiting := service.tickets[item.ID]
		delete(service.tickets, item.ID)
		slot, ok := service.router.Choose(now, item.Lane, waiting.avoid)
		if !ok {
			waiting.granted <- grant{
				refusal: &queuer.Refusal{
					Item:       item,
					Reason:     queuer.ReasonNoSlots,
					RetryAfter: queuer.MinRetryAfter,
				},
			}
			continue
		}
		waiting.granted <- grant{
			slot: slot,
		}
	}
	service.arm(now)
}

func (service *service) refuse(refusals []queuer.Refusal) {
	for i := range refusals {
		refusal := &refusals[i]
		waiting := service.tickets[refusal.Item.ID]
		delete(service.tickets, refusal.Item.ID)
		waiting.granted <- grant{
			refusal: refusal,
		}
	}
}

func (service *service) arm(now time.Time) {
	wake := time.Time{}
	if service.waiting() > 0 {
		wake = service.router.Wake(now)
	}
	if wake.Equal(service.timerAt) {
		return
	}
	service.disarm()
	if wake.IsZero() {
		return
	}
	service.timerAt = wake
	service.timer = time.AfterFunc(wake.Sub(now), func() {
		service.forwarder.mu.Lock()
		defer service.forwarder.mu.Unlock()
		if service.timerAt.Equal(wake) {
			service.timerAt = time.Time{}
		}
		service.dispatch(time.Now())
	})
}

func (service *service) disarm() {
	if service.timer != nil {
		service.timer.Stop()
	}
	service.timerAt = time.Time{}
}

// acquire waits for a slot. Its result is one of a slot, a peer to forward to, and a problem.
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
		return router.Slot{}, "", givenUp(ctx)
	}
	waiting, peer, problem := service.offer(started, item, call)
	if waiting == nil {
		return router.Slot{}, peer, problem
	}
	select {
	case granted := <-waiting.granted:
		if ctx.Err() == nil || granted.refusal != nil {
			return service.accept(granted, started)
		}
		waiting.granted <- granted
	case <-ctx.Done():
	}
	service.withdraw(call.id, waiting)
	return router.Slot{}, "", givenUp(ctx)
}

// withdraw ends the wait of a request. When the grant and the end of the wait crossed, it gives
// the slot back, as nobody else would.
func (service *service) withdraw(id string, waiting *ticket) {
	service.forwarder.mu.Lock()
	defer service.forwarder.mu.Unlock()
	delete(service.tickets, id)
	service.queuer.Cancel(id)
	select {
	case granted := <-waiting.granted:
		if granted.refusal == nil {
			now := time.Now()
			service.router.Release(now, granted.slot, router.OutcomeCancelled, 0)
			service.dispatch(now)
		}
	default:
	}
}

// offer queues the request and returns its ticket, unless it is to be forwarded or refused.
func (service *service) offer(now time.Time, item queuer.Item, call *call) (*ticket, string, *descriptor.Problem) {
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
		waiting := &ticket{
			avoid:   call.avoid,
			granted: make(chan grant, 1),
		}
		service.tickets[item.ID] = waiting
		service.dispatch(now)
		return waiting, "", nil
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
	demand.Wait, demand.Service = service.queuer.Predict(now, item, slots)
	if slots.Usable == 0 {
		// Without slots nothing bounds the wait.
		demand.Wait = item.Deadline.Sub(now) + 1
	}
	return demand
}

func (service *service) accept(granted grant, started time.Time) (router.Slot, string, *descriptor.Problem) {
	if granted.refusal != nil {
		service.metrics.Refused(granted.refusal.Reason)
		return router.Slot{}, "", granted.refusal.Problem()
	}
	service.metrics.Waited(time.Since(started))
	return granted.slot, "", nil
}

// release gives a slot back after an attempt.
func (service *service) release(ctx context.Context, slot router.Slot, outcome router.Outcome, took time.Duration) {
	now := time.Now()
	service.forwarder.mu.Lock()
	paused := service.router.Release(now, slot, outcome, took)
	if outcome == router.OutcomeSuccess || outcome == router.OutcomeTimeout {
		// A fast error says nothing about how long work takes.
		service.queuer.Learn(now, slot.Lane, took)
	}
	service.dispatch(now)
	service.forwarder.mu.Unlock()
	if paused {
		logger.Log(ctx, service.forwarder.options.Logger, logger.EventRunnerUnhealthy, slog.String("Runner", slot.Runner))
	}
}

func givenUp(ctx context.Context) *descriptor.Problem {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return descriptor.NewProblem(descriptor.CodeDeadline, 0, "deadline passed before a slot was free")
	}
	return descriptor.NewProblem(descriptor.CodeUnavailable, 0, "caller gave up before a slot was free")
}
