// Package caller sends the messages of a shard's owner to workers, under the lease of its instance.
package caller

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"pomelomoor/internal/gateway/executor"
	"pomelomoor/internal/shard/signaler"
)

// timeout bounds one call. It is below the window in which an answer counts for the quorum.
const timeout = 2 * time.Second

// Caller calls workers. All fields are required.
type Caller struct {
	Executor executor.Executor
	// Authority tells what the instance's lease allows at this moment.
	Authority func() signaler.Authority
	Now       func() time.Time
	Tracer    trace.Tracer
	// Calls counts the messages and Silent those without an answer.
	Calls  tally.Counter
	Silent tally.Counter
}

// Call checks the lease, sends a message and translates the answer.
func (caller *Caller) Call(ctx context.Context, action signaler.Sync) signaler.Event {
	ctx, span := caller.Tracer.Start(ctx, "worker.sync", trace.WithAttributes(attribute.String("worker", string(action.Worker))))
	defer span.End()
	request := action.Request
	// The task lease counts from the decision, which the controller remembers.
	if request.Lease > 0 {
		request.Lease = max(request.Lease-caller.Now().Sub(action.Sent), time.Millisecond)
	}
	if !allowed(caller.Authority(), request) {
		return signaler.Unanswered{
			Worker: action.Worker,
		}
	}
	caller.Calls.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := caller.Executor.Sync(ctx, action.Address, request)
	switch {
	case err == nil && reply.Worker != action.Worker:
		// Another worker has the address now, and took the message.
		err = errors.Wrap(executor.ErrUncertain, "answer of another worker")
	case err == nil:
		return signaler.Reported{
			Worker: action.Worker,
			Sent:   action.Sent,
			Reply:  reply,
		}
	case errors.Is(err, executor.ErrFenced):
		return signaler.Fenced{
			Worker: action.Worker,
		}
	}
	span.RecordError(err)
	caller.Silent.Inc(1)
	return signaler.Unanswered{
		Worker:         action.Worker,
		MayHaveArrived: !errors.Is(err, executor.ErrUnreachable),
	}
}

// allowed reports whether a message may be sent under the authority of this moment.
func allowed(authority signaler.Authority, request executor.SyncRequest) bool {
	switch authority {
	case signaler.AuthorityAct:
		return true
	case signaler.AuthorityRenew:
		commands := len(request.Start) + len(request.Stop) + len(request.Checkpoint) + len(request.Throttle) + len(request.Acknowledge)
		return commands == 0
	default:
		return false
	}
}
