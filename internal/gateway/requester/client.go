package requester

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/propagation"

	"pomelomoor/internal/gateway/sender"
)

// Path is where a runner takes the POST of a request.
const Path = "/run"

// Headers of requests and answers.
const (
	// HeaderID is in the request and in its answer.
	HeaderID      = "Request-Id"
	HeaderService = "Service"
	HeaderCaller  = "Caller"
	// HeaderTrace carries the W3C trace context, by which the upstream's spans join the caller's trace.
	HeaderTrace      = "Traceparent"
	HeaderDeadline   = "Deadline"
	HeaderIdempotent = "Idempotent"
	// HeaderRefused is in the answer to a request that was not run, and names the reason.
	HeaderRefused = "Refused"
)

// The reasons of refusals.
const (
	RefusedBusy     = "Busy"
	RefusedLeaving  = "Leaving"
	RefusedDeadline = "Deadline"
)

// defaultMaxConns is what a runner accepts from all its clients together.
const defaultMaxConns = 64

// Options describe a client. Zero values mean the defaults.
type Options struct {
	// Client makes the HTTP calls; Dial and MaxConns are not used with it. It must follow no redirects.
	Client *http.Client
	// Dial replaces that of net.Dialer.
	Dial sender.DialFunc
	// DialTimeout is for one connection.
	DialTimeout time.Duration
	// MaxConns limits the connections to each runner.
	MaxConns int
}

// Counts are the requests and bytes of bodies so far.
type Counts struct {
	Send          uint64
	BytesSent     uint64
	BytesReceived uint64
}

// Client is a Requester over HTTP.
type Client struct {
	http     *http.Client
	calls    atomic.Uint64
	sent     atomic.Uint64
	received atomic.Uint64
}

var _ Requester = (*Client)(nil)

// New returns a client of all runners and a function that closes its idle connections.
func New(options Options) (*Client, func()) {
	if options.Client != nil {
		return &Client{
			http: options.Client,
		}, func() {}
	}
	if options.MaxConns == 0 {
		options.MaxConns = defaultMaxConns
	}
	client := &Client{
		http: sender.NewClient(sender.ClientOptions{
			Dial:        options.Dial,
			DialTimeout: options.DialTimeout,
			MaxConns:    options.MaxConns,
		}),
	}
	return client, client.http.CloseIdleConnections
}

// Counts returns the requests and bytes so far.
func (client *Client) Counts() Counts {
	return Counts{
		Send:          client.calls.Load(),
		BytesSent:     client.sent.Load(),
		BytesReceived: client.received.Load(),
	}
}

// Send implements Requester. A zero deadline means that only ctx limits the request. The answer is
// awaited until AnswerGrace past the deadline.
func (client *Client) Send(ctx context.Context, runner netip.AddrPort, request Request) (Response, error) {
	if len(request.Body) > MaxBody {
		return Response{}, errors.Wrapf(ErrNotRun, "body exceeds %d bytes", MaxBody)
	}
	if !request.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, request.Deadline.Add(AnswerGrace))
		defer cancel()
	}
	client.calls.Add(1)
	client.sent.Add(uint64(len(request.Body)))
	answer, err := sender.Send(ctx, client.http, sender.Call{
		Method:  http.MethodPost,
		Address: runner,
		Path:    Path,
		Header:  header(ctx, request),
		Body:    request.Body,
		Limit:   MaxBody,
	})
	client.received.Add(uint64(len(answer.Body)))
	switch {
	case errors.Is(err, sender.ErrNotSent):
		return Response{}, errors.Wrap(ErrNotRun, err.Error())
	case err != nil && answer.Status != 0:
		return Response{}, errors.Wrap(ErrMismatch, err.Error())
	case err != nil:
		return Response{}, errors.Wrap(ErrUncertain, err.Error())
	}
	return check(request, answer)
}

func header(ctx context.Context, request Request) http.Header {
	header := make(http.Header)
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(header))
	header.Set("Content-Type", "application/json")
	header.Set(HeaderID, request.ID)
	header.Set(HeaderService, request.Service)
	header.Set(HeaderCaller, request.Caller)
	header.Set(HeaderIdempotent, strconv.FormatBool(request.Idempotent))
	if !request.Deadline.IsZero() {
		header.Set(HeaderDeadline, request.Deadline.UTC().Format(time.RFC3339Nano))
	}
	return header
}

// check trusts nothing in an answer, not even a refusal, that does not carry the ID of the request.
func check(request Request, answer sender.Answer) (Response, error) {
	if id := answer.Header.Get(HeaderID); id != request.ID {
		return Response{}, errors.Wrapf(ErrMismatch, "answer has ID %q", id)
	}
	switch reason := answer.Header.Get(HeaderRefused); reason {
	case "":
		return Response{
			ID:     request.ID,
			Status: answer.Status,
			Body:   answer.Body,
		}, nil
	case RefusedBusy:
		return Response{}, ErrBusy
	case RefusedLeaving:
		return Response{}, ErrLeaving
	default:
		return Response{}, errors.Wrap(ErrNotRun, "refused: "+reason)
	}
}
