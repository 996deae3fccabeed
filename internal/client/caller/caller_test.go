package caller

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/entry/presenter"
	"pomelomoor/internal/work/descriptor"
)

// TestRetries guards against retrying calls that may have had an effect, and against giving up calls that
// may be retried.
func TestRetries(t *testing.T) {
	submit := func(key string) func(client *Client) error {
		return func(client *Client) error {
			_, _, err := client.Submit(context.Background(), descriptor.Job{Key: key})
			return err
		}
	}
	request := func(idempotent bool) func(client *Client) error {
		return func(client *Client) error {
			_, _, err := client.Request(context.Background(), presenter.Request{Service: "a", Idempotent: idempotent})
			return err
		}
	}
	apply := func(client *Client) error {
		_, err := client.Apply(context.Background(), 1, parser.Config{}, 0)
		return err
	}
	status := func(client *Client) error {
		_, err := client.Status(context.Background(), "a", false)
		return err
	}
	drain := func(client *Client) error {
		_, err := client.Drain(context.Background())
		return err
	}
	const dropped = "dropped connection"
	for _, test := range []struct {
		name     string
		call     func(client *Client) error
		code     descriptor.Code
		attempts int
		want     descriptor.Code
	}{
		{"submit with key, no response", submit("k"), dropped, 4, descriptor.CodeUncertain},
		{"submit without key, no response", submit(""), dropped, 1, descriptor.CodeUncertain},
		{"submit without key, refused", submit(""), descriptor.CodeUnavailable, 4, descriptor.CodeUnavailable},
		{"submit, invalid", submit("k"), descriptor.CodeInvalid, 1, descriptor.CodeInvalid},
		{"idempotent, uncertain", request(true), descriptor.CodeUncertain, 4, descriptor.CodeUncertain},
		{"not idempotent, uncertain", request(false), descriptor.CodeUncertain, 1, descriptor.CodeUncertain},
		{"not idempotent, no response", request(false), dropped, 1, descriptor.CodeUncertain},
		{"not idempotent, overloaded", request(false), descriptor.CodeOverloaded, 4, descriptor.CodeOverloaded},
		{"not idempotent, failed", request(false), descriptor.CodeUpstream, 1, descriptor.CodeUpstream},
		{"apply, no response", apply, dropped, 1, descriptor.CodeUncertain},
		{"apply, store down", apply, descriptor.CodeUnavailable, 4, descriptor.CodeUnavailable},
		{"status, no response", status, dropped, 4, descriptor.CodeUnavailable},
		{"drain, refused", drain, descriptor.CodeUnavailable, 1, descriptor.CodeUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			var attempts atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				attempts.Add(1)
				if test.code == dropped {
					panic(http.ErrAbortHandler)
				}
				writer.Header().Set(presenter.HeaderCode, string(test.code))
				writer.WriteHeader(http.StatusInternalServerError)
				_, _ = writer.Write([]byte(`{"Code": "` + test.code + `", "RetryAfter": "3s"}`))
			}))
			defer server.Close()
			client := &Client{
				Servers: []string{server.URL},
				HTTP:    &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
				Sleep: func(_ context.Context, wait time.Duration) error {
					if test.code != dropped && wait < 3*time.Second {
						t.Errorf("waits %s, less than the server's RetryAfter", wait)
					}
					return nil
				},
			}
			var problem *descriptor.Problem
			if err := test.call(client); !errors.As(err, &problem) || problem.Code != test.want {
				t.Errorf("got %v", err)
			}
			if got := int(attempts.Load()); got != test.attempts {
				t.Errorf("made %d attempts, want %d", got, test.attempts)
			}
		})
	}
}

// TestRefusedConnection guards against not retrying calls that were never sent, and against retrying only
// the server that cannot be reached.
func TestRefusedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if left, err := time.ParseDuration(request.Header.Get(presenter.HeaderTimeout)); err != nil || left <= 0 || left > time.Hour {
			t.Errorf("timeout header: %s, %v", left, err)
		}
		writer.Header().Set(presenter.HeaderFate, "Done")
		writer.Header().Set(presenter.HeaderRequest, "r1")
		writer.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	client := &Client{
		Servers: []string{gone, server.Listener.Addr().String()},
		Sleep:   func(context.Context, time.Duration) error { return nil },
	}
	response, id, err := client.Request(context.Background(), presenter.Request{
		Service:  "a",
		Deadline: time.Now().Add(time.Hour),
	})
	if err != nil || id != "r1" || response.Status != http.StatusServiceUnavailable {
		t.Errorf("got %v, %s, %v", response, id, err)
	}
}

// TestCombinedOutcome guards against reporting NotRun for a call of which an earlier attempt may have run
// (I4), and against attempts after the deadline.
func TestCombinedOutcome(t *testing.T) {
	const answered = "answered"
	for _, test := range []struct {
		name string
		// left is the time until the deadline; 0 means no deadline.
		left  time.Duration
		codes []descriptor.Code
		want  descriptor.Code
		// sent is the number of attempts.
		sent int
	}{
		{"uncertain, then refused", 0, []descriptor.Code{"Uncertain", "Unavailable", "Overloaded", "Draining"}, "Uncertain", 4},
		{"uncertain, then not found", 0, []descriptor.Code{"Uncertain", "NotFound"}, "Uncertain", 2},
		{"uncertain, then key of another job", 0, []descriptor.Code{"Uncertain", "KeyConflict"}, "KeyConflict", 2},
		{"uncertain, then answered", 0, []descriptor.Code{"Uncertain", answered}, "", 2},
		{"overloaded, then failed", 0, []descriptor.Code{"Overloaded", "UpstreamFailed"}, "UpstreamFailed", 2},
		{"RetryAfter past the deadline", time.Minute, []descriptor.Code{"Overloaded"}, "Overloaded", 1},
		{"uncertain, then RetryAfter past the deadline", time.Minute, []descriptor.Code{"Uncertain", "Overloaded"}, "Uncertain", 2},
		{"deadline already passed", -time.Second, nil, "DeadlineExceeded", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			var sent atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				attempt := int(sent.Add(1))
				if attempt > len(test.codes) {
					t.Errorf("attempt %d is too many", attempt)
					return
				}
				if code := test.codes[attempt-1]; code != answered {
					writer.Header().Set(presenter.HeaderCode, string(code))
					wait := "0s"
					if code == descriptor.CodeOverloaded && test.left != 0 {
						wait = "61s"
					}
					_, _ = writer.Write([]byte(`{"Code": "` + string(code) + `", "RetryAfter": "` + wait + `"}`))
					return
				}
				writer.Header().Set(presenter.HeaderFate, "Done")
			}))
			defer server.Close()
			client := &Client{
				Servers: []string{server.URL},
				Sleep:   func(context.Context, time.Duration) error { return nil },
			}
			request := presenter.Request{
				Service:    "a",
				Idempotent: true,
			}
			if test.left != 0 {
				request.Deadline = time.Now().Add(test.left)
			}
			_, _, err := client.Request(context.Background(), request)
			var problem *descriptor.Problem
			if test.want == "" && err != nil || test.want != "" && (!errors.As(err, &problem) || problem.Code != test.want) {
				t.Errorf("got %v", err)
			}
			if int(sent.Load()) != test.sent {
				t.Errorf("made %d attempts, want %d", sent.Load(), test.sent)
			}
		})
	}
}

// TestResponseAtDeadline guards against clients that stop waiting at the deadline, just when the entry
// instance reports the fate, and against an uncertain outcome of requests that never got a connection.
func TestResponseAtDeadline(t *testing.T) {
	arrived := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		close(arrived)
		left, _ := time.ParseDuration(request.Header.Get(presenter.HeaderTimeout))
		<-time.After(left)
		writer.Header().Set(presenter.HeaderCode, string(descriptor.CodeDeadline))
		writer.WriteHeader(http.StatusGatewayTimeout)
		_, _ = writer.Write([]byte(`{"Code": "DeadlineExceeded"}`))
	}))
	defer server.Close()
	client := &Client{
		Servers:  []string{server.URL},
		Attempts: 1,
		HTTP:     &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}},
	}
	code := func(left time.Duration) descriptor.Code {
		_, _, err := client.Request(context.Background(), presenter.Request{
			Service:  "a",
			Deadline: time.Now().Add(left),
		})
		var problem *descriptor.Problem
		if !errors.As(err, &problem) {
			t.Errorf("got %v", err)
			return ""
		}
		return problem.Code
	}
	first := make(chan descriptor.Code)
	go func() {
		first <- code(300 * time.Millisecond)
	}()
	<-arrived
	if got := code(time.Millisecond); got != descriptor.CodeUnavailable {
		t.Errorf("the request without a connection got %s", got)
	}
	if got := <-first; got != descriptor.CodeDeadline {
		t.Errorf("the request with a response at its deadline got %s", got)
	}
}

// FuzzResponse guards against panics on responses that do not come from an entry instance.
func FuzzResponse(f *testing.F) {
	f.Add("Conflict", 409, []byte(`{"Code": "Conflict", "Current": {"Revision": 7, "Document": {"Teams": null}}, "Changes": [{}]}`))
	f.Add("Invalid", 200, []byte(`{"Code": 5, "RetryAfter": "-"}`))
	f.Add("", 502, []byte(`<html>`))
	f.Fuzz(func(t *testing.T, code string, status int, body []byte) {
		result := response{
			status: status,
			header: http.Header{presenter.HeaderCode: {code}},
			body:   body,
		}
		err := result.problem(call{method: http.MethodPost})
		var problem *descriptor.Problem
		if err != nil && (!errors.As(err, &problem) || err.Error() == "") {
			t.Errorf("got %v", err)
		}
		if code != "" && err == nil {
			t.Error("a response with a problem code returned no error")
		}
	})
}
