// Package courier carries a leader's orders to workers and their answers back through other instances. Orders and
// answers travel in batches on one stream to each of a few instances, since a leader of a thousand workers would spend
// most of its processor time on single calls. Nothing is decided on the way.
package courier

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/cellpb"
	"pomelomoor/internal/cell/describer"
)

const (
	// batchInterval is the minimum time between two messages of one direction on a stream.
	batchInterval = 25 * time.Millisecond
	// maxBatchItems and maxBatchBytes limit the orders or answers of one message. A single answer may be larger: its lists
	// have no limit but MaxMessageBytes.
	maxBatchItems = 64
	maxBatchBytes = 1 << 20
	// MaxMessageBytes is the size of a message that a leader has to accept. It admits the longest lists that an instance
	// reads from a worker.
	MaxMessageBytes = 8 << 20
	// minWorkers is the number of workers from which a leader uses couriers. Below it a leader calls them itself at
	// little cost, and saves the way through another instance.
	minWorkers = 500
	// maxCouriers limits the instances that carry orders.
	maxCouriers = 6
	// answerTimeout limits an order without its waiting time: the courier's own limit of 500 ms for the worker, and the
	// way to the courier and back.
	answerTimeout = 900 * time.Millisecond
	// detourPeriod is how long a worker is called another way after a courier could not reach it.
	detourPeriod = 5 * time.Second
	// maxQuiet is how long a courier that carries orders may deliver no answer before an order without one counts
	// against it. Until then the order is only late, here or there.
	maxQuiet = 300 * time.Millisecond
	// maxTimerLag is how late a timer may fire here before orders without an answer count as the leader's own delay. A
	// courier that is quiet for maxLaggingQuiet counts as lost in any case, before the leases of its workers lapse.
	maxTimerLag     = 100 * time.Millisecond
	maxLaggingQuiet = 2 * time.Second
	// maxUnansweredOrders is the number of orders in a row that a courier may leave without an answer before its stream
	// is opened anew.
	maxUnansweredOrders = 3
	// streamRetryDelay is the delay before a stream to a courier is opened again. Until then the leader calls the
	// workers itself.
	streamRetryDelay = time.Second
)

// Instance is an instance that can carry orders.
type Instance struct {
	Address    netip.AddrPort
	DataCentre string
	CPUCores   float64
}

// ClientStream is the leader's side of a stream of orders.
type ClientStream interface {
	Send(request *cellpb.CarryRequest) error
	Recv() (*cellpb.CarryReply, error)
}

// Options configures a Courier.
type Options struct {
	// Direct calls workers from this instance.
	Direct describer.Workers
	// Open opens a stream to the instance at an address. The stream ends with ctx.
	Open func(ctx context.Context, address netip.AddrPort) (ClientStream, error)
}

// Courier implements describer.Workers for one term. It is safe for concurrent use.
type Courier struct {
	options Options
	// ctx ends the streams.
	ctx context.Context

	mutex sync.Mutex
	// workers counts the workers of the cell.
	workers  int
	couriers []*carrier
	// detours holds the workers that could not be reached on the usual way.
	detours map[describer.WorkerID]detour
}

var _ describer.Workers = (*Courier)(nil)

// New returns a Courier, and a function that ends its streams.
func New(ctx context.Context, options Options) (*Courier, func()) {
	ctx, cancel := context.WithCancel(ctx)
	return &Courier{
		options: options,
		ctx:     ctx,
		detours: map[describer.WorkerID]detour{},
	}, cancel
}

// SetWorkers sets the number of workers of the cell.
func (courier *Courier) SetWorkers(count int) {
	courier.mutex.Lock()
	defer courier.mutex.Unlock()
	courier.workers = count
	for _, carrier := range courier.couriers {
		carrier.wakeUp()
	}
}

// SetInstances sets the other instances of the cell. Those with the most cores carry orders.
func (courier *Courier) SetInstances(instances []Instance) {
	chosen := slices.Clone(instances)
	slices.SortFunc(chosen, func(left, right Instance) int {
		if left.CPUCores != right.CPUCores {
			return cmp.Compare(right.CPUCores, left.CPUCores)
		}
		return left.Address.Compare(right.Address)
	})
	chosen = spread(chosen)
	courier.mutex.Lock()
	defer courier.mutex.Unlock()
	var kept []*carrier
	for _, existing := range courier.couriers {
		if slices.Contains(chosen, existing.instance) {
			kept = append(kept, existing)
		} else {
			existing.cancel()
		}
	}
	for _, instance := range chosen {
		if !slices.ContainsFunc(kept, func(existing *carrier) bool { return existing.instance == instance }) {
			kept = append(kept, courier.newCarrier(instance))
		}
	}
	courier.couriers = kept
}

// spread chooses couriers from instances, which are sorted by preference: the first of each data centre, then others.
func spread(instances []Instance) []Instance {
	var chosen, others []Instance
	for _, instance := range instances {
		if slices.ContainsFunc(chosen, func(other Instance) bool { return other.DataCentre == instance.DataCentre }) {
			others = append(others, instance)
		} else {
			chosen = append(chosen, instance)
		}
	}
	chosen = append(chosen, others...)
	return chosen[:min(len(chosen), maxCouriers)]
}

func (courier *Courier) newCarrier(instance Instance) *carrier {
	ctx, cancel := context.WithCancel(courier.ctx)
	created := &carrier{
		instance: instance,
		cancel:   cancel,
		orders: &batch[*cellpb.WorkerOrder]{
			ready: make(chan struct{}, 1),
		},
		wake:    make(chan struct{}, 1),
		waiting: map[uint64]chan *cellpb.WorkerAnswer{},
	}
	go courier.keepOpen(ctx, created)
	return created
}

// keepOpen keeps the stream of a carrier open while the cell is large enough.
func (courier *Courier) keepOpen(ctx context.Context, carrier *carrier) {
	for ctx.Err() == nil {
		carrier.clearWake()
		if courier.wanted() {
			// Whatever ended the stream, its orders have been given up, and a new one is opened.
			_ = courier.runStream(ctx, carrier)
		}
		select {
		case <-ctx.Done():
		case <-carrier.wake:
		case <-time.After(streamRetryDelay):
		}
	}
}

func (courier *Courier) wanted() bool {
	courier.mutex.Lock()
	defer courier.mutex.Unlock()
	return courier.workers >= minWorkers
}

// runStream opens the stream of a carrier and passes orders and answers until it ends.
func (courier *Courier) runStream(ctx context.Context, carrier *carrier) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Orders are taken from now on and wait for the stream.
	carrier.setOpen(cancel)
	defer carrier.giveUp()
	stream, err := courier.options.Open(ctx, carrier.instance.Address)
	if err != nil {
		return err
	}
	go func() {
		// An error ends the stream, which the receiver notices.
		_ = carrier.orders.run(ctx, func(items []*cellpb.WorkerOrder) error {
			return stream.Send(&cellpb.CarryRequest{
				Orders: items,
			})
		})
		cancel()
	}()
	for {
		reply, err := stream.Recv()
		if err != nil {
			return err
		}
		for _, answer := range reply.GetAnswers() {
			carrier.deliver(answer)
		}
	}
}

// notCarriedError means that no carrier took the order. way is the number of the direct way.
type notCarriedError struct {
	way int
}

// Error implements error.
func (*notCarriedError) Error() string {
	return "no courier"
}

// send carries one order. It returns a notCarriedError if the order has to be sent directly.
func (courier *Courier) send(ctx context.Context, target describer.Target, order *cellpb.WorkerOrder, timeout time.Duration) (*cellpb.WorkerAnswer, error) {
	carrier, way := courier.carrierFor(target.Worker)
	if carrier == nil {
		return nil, &notCarriedError{
			way: way,
		}
	}
	order.Worker = string(target.Worker.ID)
	order.Address = target.Worker.Address.String()
	order.Fence = int64(target.Fence)
	waiting := carrier.submit(order)
	if waiting == nil {
		return nil, &notCarriedError{
			way: way,
		}
	}
	due := time.Now().Add(timeout)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case answer, answered := <-waiting:
		if !answered {
			return nil, errors.Wrap(describer.ErrUncertain, "the stream to the courier ended")
		}
		err := answerError(answer)
		if unreached(err) {
			courier.noteUnreached(target.Worker.ID, way)
		}
		return answer, err
	case <-timer.C:
		carrier.forget(order.Id)
		if carrier.noteUnanswered(time.Since(due)) {
			courier.noteUnreached(target.Worker.ID, way)
		}
		return nil, errors.Wrap(describer.ErrUncertain, "the courier did not answer")
	case <-ctx.Done():
		carrier.forget(order.Id)
		return nil, errors.Wrap(describer.ErrUncertain, ctx.Err().Error())
	}
}

// Start implements describer.Workers.
func (courier *Courier) Start(ctx context.Context, target describer.Target, order describer.StartOrder) (time.Duration, error) {
	answer, err := courier.send(ctx, target, &cellpb.WorkerOrder{
		Order: &cellpb.WorkerOrder_Start{
			Start: &cellpb.StartOrder{
				Task:       order.Task.String(),
				Run:        int64(order.Run),
				Payload:    order.Payload,
				Checkpoint: order.Checkpoint,
				Ticket:     order.Ticket,
				Deadline:   int64(order.Deadline),
			},
		},
	}, answerTimeout)
	var notCarried *notCarriedError
	if errors.As(err, &notCarried) {
		clock, err := courier.options.Direct.Start(ctx, target, order)
		courier.noteDirect(target.Worker.ID, notCarried.way, err)
		return clock, err
	}
	return time.Duration(answer.GetClock()), err
}

// Stop implements describer.Workers.
func (courier *Courier) Stop(ctx context.Context, target describer.Target, order describer.StopOrder) error {
	_, err := courier.send(ctx, target, &cellpb.WorkerOrder{
		Order: &cellpb.WorkerOrder_Stop{
			Stop: &cellpb.StopOrder{
				Task: order.Task.String(),
				Run:  int64(order.Run),
			},
		},
	}, answerTimeout)
	var notCarried *notCarriedError
	if errors.As(err, &notCarried) {
		err = courier.options.Direct.Stop(ctx, target, order)
		courier.noteDirect(target.Worker.ID, notCarried.way, err)
	}
	return err
}

// Throttle implements describer.Workers. It is rare and not carried.
func (courier *Courier) Throttle(ctx context.Context, target describer.Target, order describer.ThrottleOrder) error {
	return courier.options.Direct.Throttle(ctx, target, order)
}

// Poll implements describer.Workers.
func (courier *Courier) Poll(ctx context.Context, target describer.Target, order describer.PollOrder) (describer.PollAnswer, error) {
	answer, err := courier.send(ctx, target, &cellpb.WorkerOrder{
		Order: &cellpb.WorkerOrder_Poll{
			Poll: &cellpb.PollOrder{
				Deadline:        int64(order.Deadline),
				AcknowledgedEnd: order.AcknowledgedEnd,
				Wait:            int64(order.Wait),
			},
		},
	}, order.Wait+answerTimeout)
	var notCarried *notCarriedError
	switch {
	case errors.As(err, &notCarried):
		polled, err := courier.options.Direct.Poll(ctx, target, order)
		courier.noteDirect(target.Worker.ID, notCarried.way, err)
		return polled, err
	case err != nil:
		return describer.PollAnswer{}, err
	}
	return pollAnswerFromProto(answer)
}
