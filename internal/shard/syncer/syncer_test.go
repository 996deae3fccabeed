package syncer

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"

	"pomelomoor/internal/gateway/executor"
	"pomelomoor/internal/shard/signaler"
	"pomelomoor/internal/work/descriptor"
)

type fakeExecutor struct {
	requests []executor.SyncRequest
	reply    executor.SyncReply
	err      error
}

func (fakeExecutor *fakeExecutor) Sync(_ context.Context, _ netip.AddrPort, request executor.SyncRequest) (executor.SyncReply, error) {
	fakeExecutor.requests = append(fakeExecutor.requests, request)
	return fakeExecutor.reply, fakeExecutor.err
}

// Guards against a message that is sent after the deadline of the instance's lease, a task lease that ends
// later than the controller assumes, and an answer that is attributed to the wrong worker.
func TestSync(t *testing.T) {
	sentAt := time.Date(2026, 12, 4, 7, 0, 0, 0, time.UTC)
	renewal := executor.SyncRequest{
		Lease: 15 * time.Second,
	}
	command := executor.SyncRequest{
		Stop: []descriptor.RunID{{
			Job: "hof-0.x",
		}},
	}
	for _, test := range []struct {
		name      string
		authority signaler.Authority
		request   executor.SyncRequest
		worker    descriptor.WorkerID
		err       error
		sent      bool
		want      signaler.Event
	}{
		{"no authority", signaler.AuthorityNone, renewal, "w0", nil, false, signaler.NoReport{Worker: "w0"}},
		{"renewal only", signaler.AuthorityRenewOnly, renewal, "w0", nil, true, nil},
		{"command without a lease", signaler.AuthorityRenewOnly, command, "w0", nil, false, signaler.NoReport{Worker: "w0"}},
		{"command", signaler.AuthorityFull, command, "w0", nil, true, nil},
		{"other worker", signaler.AuthorityFull, command, "w1", nil, true, signaler.NoReport{Worker: "w0", MayHaveArrived: true}},
		{"unreachable", signaler.AuthorityFull, command, "w0", executor.ErrUnreachable, true, signaler.NoReport{Worker: "w0"}},
		{"uncertain", signaler.AuthorityFull, command, "w0", executor.ErrUncertain, true, signaler.NoReport{Worker: "w0", MayHaveArrived: true}},
		{"fenced", signaler.AuthorityFull, command, "w0", executor.ErrFenced, true, signaler.Fenced{Worker: "w0"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			fake := &fakeExecutor{
				reply: executor.SyncReply{
					Worker: test.worker,
				},
				err: test.err,
			}
			syncer := Syncer{
				Executor:   fake,
				Authority:  func() signaler.Authority { return test.authority },
				Now:        func() time.Time { return sentAt.Add(time.Second) },
				Tracer:     noop.NewTracerProvider().Tracer(""),
				Syncs:      tally.NoopScope.Counter("syncs"),
				Unanswered: tally.NoopScope.Counter("unanswered"),
			}
			event := syncer.Sync(t.Context(), signaler.Sync{
				Worker:  "w0",
				Request: test.request,
				Sent:    sentAt,
			})
			if sent := len(fake.requests) > 0; sent != test.sent {
				t.Fatalf("sent: %v", sent)
			}
			if _, reported := event.(signaler.Reported); test.want == nil && !reported || test.want != nil && event != test.want {
				t.Errorf("got %#v", event)
			}
			if test.sent && test.request.Lease > 0 && fake.requests[0].Lease != 14*time.Second {
				t.Errorf("the lease is %v, a second after the decision", fake.requests[0].Lease)
			}
		})
	}
}
