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
	path           = "/v1/instances"
	// answerLimit has room for ten times the instances of the target size.
	answerLimit = 8 << 20
)

// Options describe a client. Zero values mean the defaults.
type Options struct {
	// Client makes the HTTP calls; Dial is not used with it.
	Client *http.Client
	// Dial replaces that of net.Dialer.
	Dial sender.DialFunc
	// Timeout is for one attempt of a call, at one address.
	Timeout time.Duration
}

// Counts are the calls and bytes of bodies so far.
type Counts struct {
	List          uint64
	Unchanged     uint64
	Announce      uint64
	BytesReceived uint64
	BytesSent     uint64
}

// Client is a Lister over HTTP.
type Client struct {
	addresses []netip.AddrPort
	options   Options
	preferred atomic.Uint32
	list      atomic.Uint64
	unchanged atomic.Uint64
	announce  atomic.Uint64
	received  atomic.Uint64
	sent      atomic.Uint64
}

var _ Lister = (*Client)(nil)

// Dial returns a client of the instance list at the addresses, which are equivalent,
// and a function that closes its idle connections. It connects with the first call.
func Dial(addresses []netip.AddrPort, options Options) (*Client, func(), error) {
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

// Counts returns the calls and bytes so far.
func (client *Client) Counts() Counts {
	return Counts{
		List:          client.list.Load(),
		Unchanged:     client.unchanged.Load(),
		Announce:      client.announce.Load(),
		BytesReceived: client.received.Load(),
		BytesSent:     client.sent.Load(),
	}
}

// List implements Lister.
func (client *Client) List(ctx context.Context, validator string) (List, error) {
	header := make(http.Header)
	if validator != "" {
		header.Set("If-None-Match", validator)
	}
	answer, err := client.call(ctx, sender.Call{
		Method: http.MethodGet,
		Path:   path,
		Header: header,
	})
	if err != nil {
		return List{}, err
	}
	list := List{
		Validator: answer.Header.Get("ETag"),
	}
	if answer.Status == http.StatusNotModified {
		client.unchanged.Add(1)
		return list, nil
	}
	client.list.Add(1)
	list.Instances = []Instance{}
	if err := json.Unmarshal(answer.Body, &list.Instances); err != nil {
		return List{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	return list, nil
}

// Announce registers the instance, changes its row, or says that it is still there.
func (client *Client) Announce(ctx context.Context, instance Instance) error {
	body, err := json.Marshal(instance)
	if err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	client.announce.Add(1)
	_, err = client.call(ctx, sender.Call{
		Method: http.MethodPut,
		Path:   path + "/" + instance.ID,
		Body:   body,
	})
	return err
}

// Withdraw takes the instance off the list.
func (client *Client) Withdraw(ctx context.Context, id string) error {
	_, err := client.call(ctx, sender.Call{
		Method: http.MethodDelete,
		Path:   path + "/" + id,
	})
	return err
}

// call tries the addresses in turn. All calls to the list may be repeated.
func (client *Client) call(ctx context.Context, call sender.Call) (sender.Answer, error) {
	call.Limit = answerLimit
	first := int(client.preferred.Load())
	var last error
	for offset := range client.addresses {
		index := (first + offset) % len(client.addresses)
		call.Address = client.addresses[index]
		answer, err := client.attempt(ctx, call)
		if err == nil {
			client.preferred.Store(uint32(index))
			return answer, nil
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return sender.Answer{}, last
}

func (client *Client) attempt(ctx context.Context, call sender.Call) (sender.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, client.options.Timeout)
	defer cancel()
	client.sent.Add(uint64(len(call.Body)))
	answer, err := sender.Send(ctx, client.options.Client, call)
	client.received.Add(uint64(len(answer.Body)))
	if err != nil {
		return sender.Answer{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	switch answer.Status {
	case http.StatusOK, http.StatusNoContent, http.StatusNotModified:
		return answer, nil
	default:
		return sender.Answer{}, errors.Wrap(ErrUnavailable, http.StatusText(answer.Status))
	}
}
