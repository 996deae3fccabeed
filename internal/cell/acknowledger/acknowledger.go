// Package acknowledger keeps workers that restart from forgetting ends that nobody has read.
package acknowledger

import (
	"context"
	"time"

	"pomelomoor/internal/cell/describer"
)

// Acknowledger passes orders on to Workers. A worker forgets the ends that a poll acknowledges for as long as the poll
// waits there, also those of an incarnation that started after the poll was sent. So a poll that acknowledges ends and may
// wait is split into one that acknowledges them and one that waits.
//
// The split is made by the instance that calls the worker, so that it costs a leader with couriers no message.
type Acknowledger struct {
	describer.Workers
}

// Poll implements describer.Workers. It returns the first answer if that lists ends or is of another incarnation than
// target names. The second one is of the same incarnation or of a later one, to which no end has been acknowledged.
func (acknowledger *Acknowledger) Poll(ctx context.Context, target describer.Target, order describer.PollOrder) (describer.PollAnswer, error) {
	if order.AcknowledgedEnd == 0 || order.Wait == 0 {
		return acknowledger.Workers.Poll(ctx, target, order)
	}
	startTime := time.Now()
	acknowledgement := order
	acknowledgement.Wait = 0
	answer, err := acknowledger.Workers.Poll(ctx, target, acknowledgement)
	order.AcknowledgedEnd = 0
	order.Wait -= time.Since(startTime)
	if err != nil || len(answer.Ended) > 0 || restarted(target, answer) || order.Wait <= 0 {
		return answer, err
	}
	return acknowledger.Workers.Poll(ctx, target, order)
}

// restarted reports whether an answer is of another incarnation than target names. The target of an order that was carried
// names none.
func restarted(target describer.Target, answer describer.PollAnswer) bool {
	return !target.Worker.Incarnation.IsZero() && !answer.Incarnation.Equal(target.Worker.Incarnation)
}
