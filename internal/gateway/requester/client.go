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

// Path is the path to which a request is posted.
const Path = "/run"

// Headers of requests and responses.
const (
	// HeaderID carries the request ID, in the request and in its response.
	HeaderID      = "Request-Id"
	HeaderService = "Service"
	HeaderCaller  = "Caller"
	// HeaderTrace carries the W3C trace context, which makes the upstream's spans part of the caller's trace.
	HeaderTrace      = "Traceparent"
	HeaderDeadline   = "Deadline"
	HeaderIdempotent = "Idempotent"
	// HeaderRefused carries the reason in the response to a request that was not run.
	HeaderRefused = "Refused"
)

// The values of HeaderRefused.
const (
	RefusedBusy     = "Busy"
	RefusedLeaving  = "Leaving"
	RefusedDeadline = "Deadline"
)

// defaultMaxConns is the number of connections that a runner accepts from all of its clients together.
const defaultMaxConns = 64

// Options configures a client. Zero values select the defaults.
type Options struct {
	// Client is the HTTP client to use instead of one with the settings below. It must not follow redirects.
	Client *http.Client
	// Dial replaces net.Dialer.DialContext.
	Dial sender.DialFunc
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// MaxConns is the maximum number of connections to each runner.
	MaxConns int
}

// Counts are the numbers of requests and of bytes of request and response bodies since the start.
type Counts struct {
	Send          uint64
	BytesSent     uint64
	BytesReceived uint64
}

// Client is a Requester that calls the runners over HTTP.
type Client struct {
	httpClient    *http.Client
	sendCount     atomic.Uint64
	sentBytes     atomic.Uint64
	receivedBytes atomic.Uint64
}

var _ Requester = (*Client)(nil)

// New returns a client for all runners and a function that closes its idle connections.
func New(options Options) (*Client, func()) {
	if options.Client != nil {
		return &Client{
			httpClient: options.Client,
		}, func() {}
	}
	if options.MaxConns == 0 {
		options.MaxConns = defaultMaxConns
	}
	client := &Client{
		httpClient: sender.NewClient(sender.ClientOptions{
			Dial:        options.Dial,
			DialTimeout: options.DialTimeout,
			MaxConns:    options.MaxConns,
		}),
	}
	return client, client.httpClient.CloseIdleConnections
}

// Counts returns the numbers of requests and bytes since the start.
func (client *Client) Counts() Counts {
	return Counts{
		Send:          client.sendCount.Load(),
		BytesSent:     client.sentBytes.Load(),
		BytesReceived: client.receivedBytes.Load(),
	}
}

// Send implements Requester. It waits for the response until ResponseGrace after the deadline; if the deadline is
// zero, only ctx limits the wait.
func (client *Client) Send(ctx context.Context, runner netip.AddrPort, request Request) (Response, error) {
	if len(request.Body) > MaxBodyBytes {
		return Response{}, errors.Wrapf(ErrNotRun, "body exceeds %d bytes", MaxBodyBytes)
	}
	if !request.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, request.Deadline.Add(ResponseGrace))
		defer cancel()
	}
	client.sendCount.Add(1)
	client.sentBytes.Add(uint64(len(request.Body)))
	httpResponse, err := sender.Send(ctx, client.httpClient, sender.Request{
		Method:           http.MethodPost,
		Address:          runner,
		Path:             Path,
		Header:           requestHeader(ctx, request),
		Body:             request.Body,
		MaxResponseBytes: MaxBodyBytes,
	})
	client.receivedBytes.Add(uint64(len(httpResponse.Body)))
	switch {
	case errors.Is(err, sender.ErrNotSent):
		return Response{}, errors.Wrap(ErrNotRun, err.Error())
	case err != nil && httpResponse.Status != 0:
		return Response{}, errors.Wrap(ErrMismatch, err.Error())
	case err != nil:
		return Response{}, errors.Wrap(ErrUncertain, err.Error())
	}
	return parseResponse(request, httpResponse)
}

func requestHeader(ctx context.Context, request Request) http.Header {
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

// parseResponse checks and converts a runner's response. It ignores everything in a response without the ID of the
// request, even a refusal, because the response may belong to another request.
func parseResponse(request Request, httpResponse sender.Response) (Response, error) {
	if id := httpResponse.Header.Get(HeaderID); id != request.ID {
		return Response{}, errors.Wrapf(ErrMismatch, "response has ID %q", id)
	}
	switch reason := httpResponse.Header.Get(HeaderRefused); reason {
	case "":
		return Response{
			ID:     request.ID,
			Status: httpResponse.Status,
			Body:   httpResponse.Body,
		}, nil
	case RefusedBusy:
		return Response{}, ErrBusy
	case RefusedLeaving:
		return Response{}, ErrLeaving
	default:
		return Response{}, errors.Wrap(ErrNotRun, "refused: "+reason)
	}
}
