// Package syncer sends the messages of a shard's owner to workers, as far as the store lease of its instance
// allows.
package syncer

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

// timeout bounds one exchange. It must be below the time within which a report counts for the quorum.
const timeout = 2 * time.Second

// Syncer calls workers. All fields are required.
type Syncer struct {
	Executor executor.Executor
	// Authority returns what the instance's store lease allows at present.
	Authority func() signaler.Authority
	Now       func() time.Time
	Tracer    trace.Tracer
	// Syncs counts the messages sent, and Unanswered those without a valid report.
	Syncs      tally.Counter
	Unanswered tally.Counter
}

// Sync sends a message to a worker if the store lease allows it, and returns the report as an event.
func (syncer *Syncer) Sync(ctx context.Context, action signaler.Sync) signaler.Event {
	ctx, span := syncer.Tracer.Start(ctx, "worker.sync", trace.WithAttributes(attribute.String("worker", string(action.Worker))))
	defer span.End()
	request := action.Request
	// The controller counts the task lease from the time of its decision, so the time since then is
	// subtracted.
	if request.Lease > 0 {
		request.Lease = max(request.Lease-syncer.Now().Sub(action.Sent), time.Millisecond)
	}
	if !allowed(syncer.Authority(), request) {
		return signaler.NoReport{
			Worker: action.Worker,
		}
	}
	syncer.Syncs.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	report, err := syncer.Executor.Sync(ctx, action.Address, request)
	switch {
	case err == nil && report.Worker != action.Worker:
		// Another worker has the address now, and received the message.
		err = errors.Wrap(executor.ErrUncertain, "answer from another worker")
	case err == nil:
		return signaler.Reported{
			Worker: action.Worker,
			Sent:   action.Sent,
			Report: report,
		}
	case errors.Is(err, executor.ErrFenced):
		return signaler.Fenced{
			Worker: action.Worker,
		}
	}
	span.RecordError(err)
	syncer.Unanswered.Inc(1)
	return signaler.NoReport{
		Worker:         action.Worker,
		MayHaveArrived: !errors.Is(err, executor.ErrUnreachable),
	}
}

// allowed reports whether a message may be sent under an authority. The authority to renew leases allows
// only messages without commands.
func allowed(authority signaler.Authority, request executor.SyncRequest) bool {
	switch authority {
	case signaler.AuthorityFull:
		return true
	case signaler.AuthorityRenewOnly:
		commands := len(request.Start) + len(request.Stop) + len(request.Checkpoint) + len(request.Throttle) + len(request.Acknowledge)
		return commands == 0
	default:
		return false
	}
}
