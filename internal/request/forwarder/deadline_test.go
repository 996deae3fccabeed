package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"pomelomoor/internal/gateway/requester"
	"pomelomoor/internal/member/peerpb"
	"pomelomoor/internal/node/logger"
	"pomelomoor/internal/work/descriptor"
)

// lateRequester responds at a fixed offset from the deadline, like a runner that works until then.
type lateRequester struct {
	after  time.Duration
	status int
	id     string
}

func (lateRequester *lateRequester) Send(ctx context.Context, _ netip.AddrPort, request requester.Request) (requester.Response, error) {
	lateRequester.id = request.ID
	select {
	case <-time.After(time.Until(request.Deadline.Add(lateRequester.after))):
		return requester.Response{
			ID:     request.ID,
			Status: lateRequester.status,
		}, nil
	case <-ctx.Done():
		return requester.Response{}, requester.ErrUncertain
	}
}

// Guards against the fate Unknown for requests whose runner reports at the deadline, against unbounded
// waits for a response, and against runners that lose their share because callers set tight deadlines.
func TestResponseAtDeadline(t *testing.T) {
	for _, test := range []struct {
		after  time.Duration
		status int
		want   string
		count  int
	}{
		{0, 504, "Failed", 100},
		{10 * time.Millisecond, 504, "Failed", 100},
		{10 * time.Millisecond, 200, "Done", 1},
		{time.Hour, 200, "Unknown", 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			var log bytes.Buffer
			forwarder, stop := New(Options{
				Self:   "a",
				Region: "kigali",
				Requester: &lateRequester{
					after:  test.after,
					status: test.status,
				},
				Logger: logger.New(&log, slog.LevelDebug),
			})
			defer stop()
			forwarder.SetInstances(runners(3))
			for range test.count {
				result := forwarder.Do(t.Context(), Request{
					Service:    "desk",
					Caller:     "kiosk",
					Idempotent: true,
					Deadline:   time.Now().Add(100 * time.Millisecond),
				})
				if fate := descriptor.NewFateRecord(result.Fate).Fate; fate != test.want {
					t.Fatalf("response %v after the deadline: got %s, %v", test.after, fate, result.Problem)
				}
			}
			if log.Len() > 0 {
				t.Errorf("response %v after the deadline: unexpected log: %s", test.after, &log)
			}
		})
	}
}

// Guards against requests that cannot be traced because the response, the runner, a peer or the log has
// a different ID, and against log events that are missing from the catalogue.
func TestRequestID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		upstream := &lateRequester{
			after: -time.Second,
		}
		forwarder, stop := New(Options{
			Self:      "a",
			Region:    "kigali",
			Requester: upstream,
			Forward: func(_ context.Context, _ string, request *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
				if request.GetId() != "r1.1" {
					t.Errorf("peer got ID %s", request.GetId())
				}
				return nil, ErrNotRun
			},
			Logger: logger.New(&log, slog.LevelDebug),
		})
		defer stop()
		forwarder.SetInstances(runners(1))
		forwarder.services["desk"].router.SetRunners(time.Now(), nil)
		forwarder.SetPeers([]string{"a", "b"}, []Peer{{ID: "b", Region: "kigali", Free: map[string]int{"desk": 8}}})
		result := forwarder.Do(t.Context(), Request{
			ID:       "r1",
			Service:  "desk",
			Caller:   "kiosk",
			Deadline: time.Now().Add(time.Second),
		})
		if result.ID != "r1" {
			t.Errorf("got ID %q", result.ID)
		}
		var line struct {
			Name, Request, Attempt string
		}
		_ = json.Unmarshal(log.Bytes(), &line)
		if line.Name != "ForwardFailed" || line.Request != "r1" || line.Attempt != "r1.1" {
			t.Errorf("got log %s", &log)
		}
	})
}
