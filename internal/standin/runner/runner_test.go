package runner_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/trace"

	"pomelomoor/internal/gateway/requester"
	"pomelomoor/internal/standin/runner"
	"pomelomoor/internal/work/descriptor"
)

type fixture struct {
	*testing.T
	runner *runner.Runner
	client *requester.Client
	// stop stops the runner; closeIdle closes the client's idle connections.
	stop, closeIdle func()
}

func start(t *testing.T, options runner.Options) *fixture {
	t.Helper()
	options.Address = netip.MustParseAddrPort("127.0.0.1:0")
	started, stop, err := runner.Start(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	client, closeIdle := requester.New(requester.Options{})
	t.Cleanup(closeIdle)
	return &fixture{
		T:         t,
		runner:    started,
		client:    client,
		stop:      stop,
		closeIdle: closeIdle,
	}
}

func (fixture *fixture) send(ctx context.Context, id string, serviceTime time.Duration, deadline time.Time) (requester.Response, error) {
	body, _ := json.Marshal(runner.Work{
		ServiceTime: descriptor.Duration{
			Duration: serviceTime,
		},
		Key:  "key-" + id,
		Echo: "echo-" + id,
	})
	return fixture.client.Send(ctx, fixture.runner.Address(), requester.Request{
		ID:       id,
		Caller:   "caller",
		Deadline: deadline,
		Body:     body,
	})
}

// expectRequest sends one request and checks its error, the echo and whether the runner's history shows it.
func (fixture *fixture) expectRequest(id string, want error, ran bool) {
	fixture.Helper()
	before := len(fixture.runner.History())
	response, err := fixture.send(fixture.Context(), id, 0, time.Time{})
	if !errors.Is(err, want) {
		fixture.Errorf("request %s: error %v, want %v", id, err, want)
	}
	var result runner.Result
	_ = json.Unmarshal(response.Body, &result)
	if err == nil && result.Echo != "echo-"+id {
		fixture.Errorf("request %s: got %+v", id, result)
	}
	history := fixture.runner.History()
	if (len(history) > before) != ran || ran && history[before].Key != "key-"+id {
		fixture.Errorf("request %s: history %+v", id, history)
	}
}

// occupy starts a request that occupies a slot until the returned function cancels it.
func (fixture *fixture) occupy(id string) (release func() error) {
	fixture.Helper()
	ctx, cancel := context.WithCancel(fixture.Context())
	ended := make(chan error, 1)
	before := len(fixture.runner.History())
	go func() {
		_, err := fixture.send(ctx, id, time.Hour, time.Time{})
		ended <- err
	}()
	for len(fixture.runner.History()) == before {
		if fixture.Context().Err() != nil {
			fixture.Fatal("request did not start")
		}
	}
	return func() error {
		cancel()
		return <-ended
	}
}

// TestRefusal guards against a refusal that is reported as uncertain, a slot that is assigned twice or never
// released, and a request that keeps running after its client has disconnected.
func TestRefusal(t *testing.T) {
	fixture := start(t, runner.Options{
		Slots: 2,
	})
	releases := []func() error{fixture.occupy("1"), fixture.occupy("2")}
	fixture.expectRequest("3", requester.ErrBusy, false)
	for _, release := range releases {
		if err := release(); !errors.Is(err, requester.ErrUncertain) || errors.Is(err, requester.ErrNotRun) {
			t.Errorf("request cancelled while it ran: %v, want only an uncertain outcome", err)
		}
	}
	for history := fixture.runner.History(); history[0].Ended.IsZero() || history[1].Ended.IsZero(); {
		history = fixture.runner.History()
	}
	if history := fixture.runner.History(); history[0].Completed || history[1].Completed {
		t.Errorf("request completed after its client disconnected: %+v", history)
	}
	fixture.expectRequest("4", nil, true)
	fixture.runner.SetFaults(runner.Faults{
		Leaving: true,
	})
	fixture.expectRequest("5", requester.ErrLeaving, false)
	fixture.stop()
	// The outcome of a request on a kept-alive connection that the runner is closing would be uncertain.
	fixture.closeIdle()
	fixture.expectRequest("6", requester.ErrNotRun, false)
}

// TestConnections guards against requests that are served, or never answered, on connections above the limit.
func TestConnections(t *testing.T) {
	fixture := start(t, runner.Options{
		Connections: 1,
	})
	release := fixture.occupy("1")
	fixture.expectRequest("2", requester.ErrBusy, false)
	_ = release()
	// The runner detects the close of the first connection asynchronously.
	err := requester.ErrBusy
	for errors.Is(err, requester.ErrBusy) {
		_, err = fixture.send(t.Context(), "3", 0, time.Time{})
	}
	if history := fixture.runner.History(); err != nil || len(history) != 2 {
		t.Errorf("request after the first connection was closed: %v, history %+v", err, history)
	}
}

// TestFaults guards against a missing response, a truncated one or one to another request that is taken for a
// valid response, or for proof that the request did not run.
func TestFaults(t *testing.T) {
	fixture := start(t, runner.Options{})
	fixture.expectRequest("1", nil, true)
	for _, test := range []struct {
		id     string
		faults runner.Faults
		want   error
		ran    bool
	}{
		{"2", runner.Faults{Swap: true}, requester.ErrMismatch, true},
		{"3", runner.Faults{Truncate: true}, requester.ErrMismatch, true},
		{"4", runner.Faults{LoseAnswers: 1}, requester.ErrUncertain, true},
		{"5", runner.Faults{Down: true}, requester.ErrUncertain, false},
		{"6", runner.Faults{}, nil, true},
	} {
		fixture.runner.SetFaults(test.faults)
		fixture.expectRequest(test.id, test.want, test.ran)
	}
	fixture.runner.SetFaults(runner.Faults{
		Fail: true,
	})
	if response, err := fixture.send(t.Context(), "7", 0, time.Time{}); err != nil || response.Status != http.StatusInternalServerError {
		t.Errorf("runner that fails at once: %+v, %v", response, err)
	}
}

// TestDeadline guards against requests that run after their deadline, and against late responses that are
// accepted after it.
func TestDeadline(t *testing.T) {
	fixture := start(t, runner.Options{})
	if _, err := fixture.send(t.Context(), "1", 0, time.Now().Add(-time.Second)); !errors.Is(err, requester.ErrNotRun) {
		t.Errorf("request after its deadline: %v", err)
	}
	// The client's timeout and the runner's error response race, so either is accepted.
	response, err := fixture.send(t.Context(), "2", time.Hour, time.Now().Add(100*time.Millisecond))
	if !errors.Is(err, requester.ErrUncertain) && response.Status != http.StatusGatewayTimeout {
		t.Errorf("request that reaches its deadline while it runs: %+v, %v", response, err)
	}
	fixture.runner.SetFaults(runner.Faults{
		Late: descriptor.Duration{
			Duration: time.Hour,
		},
	})
	if _, err := fixture.send(t.Context(), "3", 0, time.Now().Add(100*time.Millisecond)); !errors.Is(err, requester.ErrUncertain) {
		t.Errorf("response after the deadline: %v", err)
	}
	for history := fixture.runner.History(); len(history) < 2 || history[1].Ended.IsZero(); {
		history = fixture.runner.History()
	}
	history := fixture.runner.History()
	if len(history) != 2 || history[0].Completed || !history[1].Completed {
		t.Errorf("history %+v, want an incomplete request and a completed one", history)
	}
}

// TestTrace guards against a trace context that is not propagated to the runner.
func TestTrace(t *testing.T) {
	fixture := start(t, runner.Options{})
	ctx := trace.ContextWithSpanContext(t.Context(), trace.NewSpanContext(trace.SpanContextConfig{
		TraceID:    trace.TraceID{1},
		SpanID:     trace.SpanID{2},
		TraceFlags: trace.FlagsSampled,
	}))
	if _, err := fixture.send(ctx, "1", 0, time.Time{}); err != nil {
		t.Fatal(err)
	}
	want := "00-01000000000000000000000000000000-0200000000000000-01"
	if got := fixture.runner.History()[0].Trace; got != want {
		t.Errorf("the runner got trace context %q, want %q", got, want)
	}
}
