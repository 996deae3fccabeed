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

// Path is where a worker takes the POST of a SyncRequest. It answers with a SyncReply, or with a Refusal.
const Path = "/v1/sync"

// CodeFenced is the code of ErrFenced in a Refusal.
const CodeFenced = "Fenced"

// Refusal is the document of an answer that is not a SyncReply.
type Refusal struct {
	Error string
}

const (
	defaultTimeout = 2 * time.Second
	answerLimit    = 32 << 20
)

// Options describe a client. Zero values mean the defaults.
type Options struct {
	// Client makes the HTTP calls; Dial is not used with it. It should follow no redirects.
	Client *http.Client
	// Dial replaces that of net.Dialer.
	Dial sender.DialFunc
	// Timeout is for one call.
	Timeout time.Duration
}

// Counts are the calls and bytes of bodies so far.
type Counts struct {
	Sync          uint64
	BytesSent     uint64
	BytesReceived uint64
}

// Client is an Executor over HTTP.
type Client struct {
	options  Options
	calls    atomic.Uint64
	sent     atomic.Uint64
	received atomic.Uint64
}

var _ Executor = (*Client)(nil)

// New returns a client of all workers and a function that closes its idle connections.
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

// Counts returns the calls and bytes so far.
func (client *Client) Counts() Counts {
	return Counts{
		Sync:          client.calls.Load(),
		BytesSent:     client.sent.Load(),
		BytesReceived: client.received.Load(),
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
	client.calls.Add(1)
	client.sent.Add(uint64(len(body)))
	answer, err := sender.Send(ctx, client.options.Client, sender.Call{
		Method:  http.MethodPost,
		Address: worker,
		Path:    Path,
		Body:    body,
		Limit:   answerLimit,
	})
	client.received.Add(uint64(len(answer.Body)))
	switch {
	case errors.Is(err, sender.ErrNotSent):
		return SyncReply{}, errors.Wrap(ErrUnreachable, err.Error())
	case err != nil:
		return SyncReply{}, errors.Wrap(ErrUncertain, err.Error())
	}
	return decode(answer)
}

func decode(answer sender.Answer) (SyncReply, error) {
	if answer.Status != http.StatusOK {
		var refusal Refusal
		_ = json.Unmarshal(answer.Body, &refusal)
		if refusal.Error == CodeFenced {
			return SyncReply{}, ErrFenced
		}
		return SyncReply{}, errors.Wrap(ErrUncertain, http.StatusText(answer.Status))
	}
	var reply SyncReply
	if err := json.Unmarshal(answer.Body, &reply); err != nil {
		return SyncReply{}, errors.Wrap(ErrUncertain, err.Error())
	}
	return reply, nil
}
