package executor

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/gateway/sender"
)

// Path is the path to which a SyncRequest is posted. The response is a SyncReply, or an ErrorResponse on an error.
const Path = "/v1/sync"

// CodeFenced is the error code in an ErrorResponse that stands for ErrFenced.
const CodeFenced = "Fenced"

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Error string
}

const (
	defaultTimeout   = 2 * time.Second
	maxResponseBytes = 32 << 20
)

// Options configures a client. Zero values select the defaults.
type Options struct {
	// Client is the HTTP client to use instead of one that connects with Dial. It should not follow redirects.
	Client *http.Client
	// Dial replaces net.Dialer.DialContext.
	Dial sender.DialFunc
	// Timeout limits each call.
	Timeout time.Duration
}

// Counts are the numbers of calls and of bytes of request and response bodies since the start.
type Counts struct {
	Sync          uint64
	BytesSent     uint64
	BytesReceived uint64
}

// Client is an Executor that calls the workers over HTTP.
type Client struct {
	options       Options
	syncCount     atomic.Uint64
	sentBytes     atomic.Uint64
	receivedBytes atomic.Uint64
}

var _ Executor = (*Client)(nil)

// New returns a client for all workers and a function that closes its idle connections.
func New(options Options) (*Client, func()) {
	if options.Timeout == 0 {
		options.Timeout = defaultTimeout
	}
	client := &Client{
		options: options,
	}
	if options.Client != nil {
		return client, func() {}
	}
	client.options.Client = sender.NewClient(sender.ClientOptions{
		Dial:        options.Dial,
		DialTimeout: options.Timeout,
	})
	return client, client.options.Client.CloseIdleConnections
}

// Counts returns the numbers of calls and bytes since the start.
func (client *Client) Counts() Counts {
	return Counts{
		Sync:          client.syncCount.Load(),
		BytesSent:     client.sentBytes.Load(),
		BytesReceived: client.receivedBytes.Load(),
	}
}

// Sync implements Executor.
func (client *Client) Sync(ctx context.Context, worker netip.AddrPort, request SyncRequest) (SyncReply, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return SyncReply{}, errors.Wrap(ErrUnreachable, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, client.options.Timeout)
	defer cancel()
	client.syncCount.Add(1)
	client.sentBytes.Add(uint64(len(body)))
	response, err := sender.Send(ctx, client.options.Client, sender.Request{
		Method:           http.MethodPost,
		Address:          worker,
		Path:             Path,
		Body:             body,
		MaxResponseBytes: maxResponseBytes,
	})
	client.receivedBytes.Add(uint64(len(response.Body)))
	switch {
	case errors.Is(err, sender.ErrNotSent):
		return SyncReply{}, errors.Wrap(ErrUnreachable, err.Error())
	case err != nil:
		return SyncReply{}, errors.Wrap(ErrUncertain, err.Error())
	}
	return decodeReply(response)
}

func decodeReply(response sender.Response) (SyncReply, error) {
	if response.Status != http.StatusOK {
		var errorResponse ErrorResponse
		_ = json.Unmarshal(response.Body, &errorResponse)
		if errorResponse.Error == CodeFenced {
			return SyncReply{}, ErrFenced
		}
		return SyncReply{}, errors.Wrap(ErrUncertain, http.StatusText(response.Status))
	}
	var reply SyncReply
	if err := json.Unmarshal(response.Body, &reply); err != nil {
		return SyncReply{}, errors.Wrap(ErrUncertain, err.Error())
	}
	return reply, nil
}
