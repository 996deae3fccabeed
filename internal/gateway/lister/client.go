package lister

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

const (
	defaultTimeout = time.Second
	instancesPath  = "/v1/instances"
	// maxResponseBytes fits a list of ten times as many instances as the system is designed for.
	maxResponseBytes = 8 << 20
)

// Options configures a client. Zero values select the defaults.
type Options struct {
	// Client is the HTTP client to use instead of one that connects with Dial.
	Client *http.Client
	// Dial replaces net.Dialer.DialContext.
	Dial sender.DialFunc
	// Timeout limits each attempt of a call. A call makes at most one attempt at each address.
	Timeout time.Duration
}

// Counts are the numbers of calls and of bytes of request and response bodies since the start. List counts the
// calls that returned a list and Unchanged those that found it unchanged.
type Counts struct {
	List          uint64
	Unchanged     uint64
	Announce      uint64
	BytesReceived uint64
	BytesSent     uint64
}

// Client is a Lister that reads the instance list over HTTP.
type Client struct {
	addresses      []netip.AddrPort
	options        Options
	preferredIndex atomic.Uint32
	listCount      atomic.Uint64
	unchangedCount atomic.Uint64
	announceCount  atomic.Uint64
	receivedBytes  atomic.Uint64
	sentBytes      atomic.Uint64
}

var _ Lister = (*Client)(nil)

// New returns a client for the instance list, which every one of the addresses serves, and a function that
// closes its idle connections. The client connects on the first call.
func New(addresses []netip.AddrPort, options Options) (*Client, func(), error) {
	if len(addresses) == 0 {
		return nil, nil, errors.New("instance list: no address")
	}
	if options.Timeout == 0 {
		options.Timeout = defaultTimeout
	}
	client := &Client{
		addresses: addresses,
		options:   options,
	}
	if options.Client != nil {
		return client, func() {}, nil
	}
	client.options.Client = sender.NewClient(sender.ClientOptions{
		Dial:        options.Dial,
		DialTimeout: options.Timeout,
	})
	return client, client.options.Client.CloseIdleConnections, nil
}

// Counts returns the numbers of calls and bytes since the start.
func (client *Client) Counts() Counts {
	return Counts{
		List:          client.listCount.Load(),
		Unchanged:     client.unchangedCount.Load(),
		Announce:      client.announceCount.Load(),
		BytesReceived: client.receivedBytes.Load(),
		BytesSent:     client.sentBytes.Load(),
	}
}

// List implements Lister.
func (client *Client) List(ctx context.Context, etag string) (List, error) {
	header := make(http.Header)
	if etag != "" {
		header.Set("If-None-Match", etag)
	}
	response, err := client.call(ctx, sender.Request{
		Method: http.MethodGet,
		Path:   instancesPath,
		Header: header,
	})
	if err != nil {
		return List{}, err
	}
	list := List{
		ETag: response.Header.Get("ETag"),
	}
	if response.Status == http.StatusNotModified {
		client.unchangedCount.Add(1)
		return list, nil
	}
	client.listCount.Add(1)
	list.Instances = []Instance{}
	if err := json.Unmarshal(response.Body, &list.Instances); err != nil {
		return List{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	return list, nil
}

// Announce adds the instance to the list or updates it. It also serves as the instance's heartbeat.
func (client *Client) Announce(ctx context.Context, instance Instance) error {
	body, err := json.Marshal(instance)
	if err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	client.announceCount.Add(1)
	_, err = client.call(ctx, sender.Request{
		Method: http.MethodPut,
		Path:   instancesPath + "/" + instance.ID,
		Body:   body,
	})
	return err
}

// Withdraw removes the instance from the list.
func (client *Client) Withdraw(ctx context.Context, id string) error {
	_, err := client.call(ctx, sender.Request{
		Method: http.MethodDelete,
		Path:   instancesPath + "/" + id,
	})
	return err
}

// call tries the addresses in turn, starting with the one that responded last, until one succeeds. Retrying is
// safe because all calls to the list are idempotent.
func (client *Client) call(ctx context.Context, request sender.Request) (sender.Response, error) {
	request.MaxResponseBytes = maxResponseBytes
	first := int(client.preferredIndex.Load())
	var lastErr error
	for offset := range client.addresses {
		index := (first + offset) % len(client.addresses)
		request.Address = client.addresses[index]
		response, err := client.attempt(ctx, request)
		if err == nil {
			client.preferredIndex.Store(uint32(index))
			return response, nil
		}
		lastErr = err
		if ctx.Err() != nil {
			break
		}
	}
	return sender.Response{}, lastErr
}

func (client *Client) attempt(ctx context.Context, request sender.Request) (sender.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, client.options.Timeout)
	defer cancel()
	client.sentBytes.Add(uint64(len(request.Body)))
	response, err := sender.Send(ctx, client.options.Client, request)
	client.receivedBytes.Add(uint64(len(response.Body)))
	if err != nil {
		return sender.Response{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	switch response.Status {
	case http.StatusOK, http.StatusNoContent, http.StatusNotModified:
		return response, nil
	default:
		return sender.Response{}, errors.Wrap(ErrUnavailable, http.StatusText(response.Status))
	}
}
