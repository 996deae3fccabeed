package courier

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"pomelomoor/internal/cell/cellpb"
	"pomelomoor/internal/cell/describer"
)

// Stream is the courier's side of a stream of orders.
type Stream interface {
	Context() context.Context
	Recv() (*cellpb.CarryRequest, error)
	Send(reply *cellpb.CarryReply) error
}

// Serve carries the orders of one stream to workers until the stream ends. Each order is sent once. Its fencing token
// and its deadline, both the leader's, are all that permits it, so that an order that was delayed here is refused by
// the worker.
func Serve(stream Stream, workers describer.Workers) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	answers := &batch[*cellpb.WorkerAnswer]{
		ready: make(chan struct{}, 1),
	}
	sent := make(chan error, 1)
	go func() {
		sent <- answers.run(ctx, func(items []*cellpb.WorkerAnswer) error {
			return stream.Send(&cellpb.CarryReply{
				Answers: items,
			})
		})
		cancel()
	}()
	for {
		request, err := stream.Recv()
		if err != nil {
			cancel()
			return errors.Join(err, <-sent)
		}
		for _, order := range request.GetOrders() {
			go func() {
				answers.add(carry(ctx, workers, order))
			}()
		}
	}
}

// carry sends one order to its worker. A panic is contained to the order.
func carry(ctx context.Context, workers describer.Workers, order *cellpb.WorkerOrder) (answer *cellpb.WorkerAnswer) {
	answer = &cellpb.WorkerAnswer{
		Id: order.GetId(),
	}
	defer func() {
		if cause := recover(); cause != nil {
			setError(answer, errors.Errorf("panic while an order was carried: %v", cause))
		}
	}()
	target, err := parseTarget(order)
	if err != nil {
		setError(answer, err)
		return answer
	}
	var task describer.TaskID
	switch sent := order.GetOrder().(type) {
	case *cellpb.WorkerOrder_Start:
		if task, err = describer.ParseTaskID(sent.Start.GetTask()); err != nil {
			break
		}
		var clock time.Duration
		clock, err = workers.Start(ctx, target, describer.StartOrder{
			Task:       task,
			Run:        int(sent.Start.GetRun()),
			Payload:    sent.Start.GetPayload(),
			Checkpoint: sent.Start.GetCheckpoint(),
			Ticket:     sent.Start.GetTicket(),
			Deadline:   time.Duration(sent.Start.GetDeadline()),
		})
		answer.Clock = int64(clock)
	case *cellpb.WorkerOrder_Stop:
		if task, err = describer.ParseTaskID(sent.Stop.GetTask()); err != nil {
			break
		}
		err = workers.Stop(ctx, target, describer.StopOrder{
			Task: task,
			Run:  int(sent.Stop.GetRun()),
		})
	case *cellpb.WorkerOrder_Poll:
		var poll describer.PollAnswer
		poll, err = workers.Poll(ctx, target, describer.PollOrder{
			Deadline:        time.Duration(sent.Poll.GetDeadline()),
			AcknowledgedEnd: sent.Poll.GetAcknowledgedEnd(),
			Wait:            time.Duration(sent.Poll.GetWait()),
		})
		pollAnswerToProto(answer, &poll)
	default:
		err = errors.Wrap(describer.ErrNoEffect, "order of an unknown kind")
	}
	setError(answer, err)
	return answer
}

// batch collects items and passes them on together.
type batch[Item proto.Message] struct {
	mutex sync.Mutex
	items []Item
	// ready has an element while items has any.
	ready chan struct{}
}

func (batch *batch[Item]) add(item Item) {
	batch.mutex.Lock()
	batch.items = append(batch.items, item)
	batch.mutex.Unlock()
	select {
	case batch.ready <- struct{}{}:
	default:
	}
}

// countForMessage returns how many of the first items fit into one message, at least one.
func countForMessage[Item proto.Message](items []Item) int {
	size := 0
	for index, item := range items[:min(len(items), maxBatchItems)] {
		size += proto.Size(item)
		if index > 0 && size > maxBatchBytes {
			return index
		}
	}
	return min(len(items), maxBatchItems)
}

// run passes the collected items to send, at most every batchInterval, until ctx ends or send fails.
func (batch *batch[Item]) run(ctx context.Context, send func(items []Item) error) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-batch.ready:
		}
		batch.mutex.Lock()
		items := batch.items
		batch.items = nil
		batch.mutex.Unlock()
		for len(items) > 0 {
			count := countForMessage(items)
			if err := send(items[:count]); err != nil {
				return err
			}
			items = items[count:]
		}
		timer := time.NewTimer(batchInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
	}
}
