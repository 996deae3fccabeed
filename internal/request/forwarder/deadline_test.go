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

// tardy answers a time after the deadline, as a runner does that works until then.
type tardy struct {
	after  time.Duration
	status int
	id     string
}

func (tardy *tardy) Send(ctx context.Context, _ netip.AddrPort, request requester.Request) (requester.Response, error) {
	tardy.id = request.ID
	select {
	case <-time.After(time.Until(request.Deadline.Add(tardy.after))):
		return requester.Response{
			ID:     request.ID,
			Status: tardy.status,
		}, nil
	case <-ctx.Done():
		return requester.Response{}, requester.ErrUncertain
	}
}

// Guards against an unknown fate of requests whose runner tells it at the deadline, against waits
// without end, and against runners that lose their share because callers set tight deadlines.
func TestAnswerAtDeadline(t *testing.T) {
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
				Requester: &tardy{
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
				if fate := descriptor.Record(result.Fate).Fate; fate != test.want {
					t.Fatalf("answer %v after the deadline: got %s, %v", test.after, fate, result.Problem)
				}
			}
			if log.Len() > 0 {
				t.Errorf("answer %v after the deadline: a runner was blamed: %s", test.after, &log)
			}
		})
	}
}

// Guards against requests that cannot be followed, as their ID is another one in the answer, at the
// runner, at a peer or in the log, and against log events that the catalogue lacks.
func TestRequestID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		upstream := &tardy{
			after: -time.Second,
		}
		forwarder, stop := New(Options{
			Self:      "a",
			Region:    "kigali",
			Requester: upstream,
			Forward: func(_ context.Context, _ string, request *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
				if request.GetId() != "r1.1" {
					t.Errorf("the peer got ID %s", request.GetId())
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
