package storer

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
	defaultTimeout      = time.Second
	defaultWatchTimeout = 30 * time.Second
	answerLimit         = 2 * MaxValue
)

// Options describe a client. Zero values mean the defaults.
type Options struct {
	// Client makes the HTTP calls; Dial is not used with it. It should follow no redirects.
	Client *http.Client
	// Dial replaces that of net.Dialer.
	Dial sender.DialFunc
	// Timeout is for one attempt of a call, at one address.
	Timeout time.Duration
	// WatchTimeout is for one watch, and longer than the wait that the store grants.
	WatchTimeout time.Duration
}

// Counts are the calls and bytes of bodies so far. An attempt at another address counts as another call.
type Counts struct {
	Get           uint64
	Put           uint64
	Delete        uint64
	Watch         uint64
	Grant         uint64
	Renew         uint64
	Revoke        uint64
	BytesSent     uint64
	BytesReceived uint64
}

// Client is a Store over HTTP.
type Client struct {
	addresses []netip.AddrPort
	options   Options
	// preferred is the index of the address that answered last.
	preferred atomic.Uint32
	calls     map[Kind]*atomic.Uint64
	sent      atomic.Uint64
	received  atomic.Uint64
}

var _ Store = (*Client)(nil)

// Dial returns a client of the store at the addresses, which are equivalent,
// and a function that closes its idle connections. It connects with the first call.
func Dial(addresses []netip.AddrPort, options Options) (*Client, func(), error) {
	if len(addresses) == 0 {
		return nil, nil, errors.New("store: no address")
	}
	if options.Timeout == 0 {
		options.Timeout = defaultTimeout
	}
	if options.WatchTimeout == 0 {
		options.WatchTimeout = defaultWatchTimeout
	}
	client := &Client{
		addresses: addresses,
		options:   options,
		calls:     make(map[Kind]*atomic.Uint64),
	}
	for _, kind := range []Kind{KindGet, KindPut, KindDelete, KindWatch, KindGrant, KindRenew, KindRevoke} {
		client.calls[kind] = new(atomic.Uint64)
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
		Get:           client.calls[KindGet].Load(),
		Put:           client.calls[KindPut].Load(),
		Delete:        client.calls[KindDelete].Load(),
		Watch:         client.calls[KindWatch].Load(),
		Grant:         client.calls[KindGrant].Load(),
		Renew:         client.calls[KindRenew].Load(),
		Revoke:        client.calls[KindRevoke].Load(),
		BytesSent:     client.sent.Load(),
		BytesReceived: client.received.Load(),
	}
}

// Get implements Store.
func (client *Client) Get(ctx context.Context, key string) (Entry, error) {
	answer, err := client.call(ctx, KindGet, Call{
		Key: key,
	})
	return answer.entry(key), err
}

// Put implements Store.
func (client *Client) Put(ctx context.Context, key string, value []byte, expect Version, lease LeaseID) (Version, error) {
	if len(value) > MaxValue {
		return 0, ErrTooLarge
	}
	answer, err := client.call(ctx, KindPut, Call{
		Key:     key,
		Value:   value,
		Version: expect,
		Lease:   lease,
	})
	return answer.Version, err
}

// Delete implements Store.
func (client *Client) Delete(ctx context.Context, key string, expect Version) error {
	_, err := client.call(ctx, KindDelete, Call{
		Key:     key,
		Version: expect,
	})
	return err
}

// Watch implements Store.
func (client *Client) Watch(ctx context.Context, key string, after Version) (Entry, error) {
	answer, err := client.call(ctx, KindWatch, Call{
		Key:     key,
		Version: after,
	})
	return answer.entry(key), err
}

// Grant implements Store.
func (client *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	answer, err := client.call(ctx, KindGrant, Call{
		TTL: ttl,
	})
	return answer.Lease, err
}

// Renew implements Store.
func (client *Client) Renew(ctx context.Context, lease LeaseID) error {
	_, err := client.call(ctx, KindRenew, Call{
		Lease: lease,
	})
	return err
}

// Revoke implements Store.
func (client *Client) Revoke(ctx context.Context, lease LeaseID) error {
	_, err := client.call(ctx, KindRevoke, Call{
		Lease: lease,
	})
	return err
}

func (answer Answer) entry(key string) Entry {
	return Entry{
		Key:     key,
		Value:   answer.Value,
		Version: answer.Version,
	}
}

// call tries the addresses in turn until one gives an answer of the store.
// A write whose outcome is uncertain is not tried again.
func (client *Client) call(ctx context.Context, kind Kind, call Call) (Answer, error) {
	body, err := json.Marshal(call)
	if err != nil {
		return Answer{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	first := int(client.preferred.Load())
	for offset := range client.addresses {
		index := (first + offset) % len(client.addresses)
		var answer Answer
		answer, err = client.attempt(ctx, kind, client.addresses[index], body)
		if !errors.Is(err, ErrUnavailable) {
			client.preferred.Store(uint32(index))
			return answer, err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return Answer{}, err
}

func (client *Client) attempt(ctx context.Context, kind Kind, address netip.AddrPort, body []byte) (Answer, error) {
	timeout := client.options.Timeout
	if kind == KindWatch {
		timeout = client.options.WatchTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	client.calls[kind].Add(1)
	client.sent.Add(uint64(len(body)))
	got, err := sender.Send(ctx, client.options.Client, sender.Call{
		Method:  http.MethodPost,
		Address: address,
		Path:    Path + string(kind),
		Body:    body,
		Limit:   answerLimit,
	})
	client.received.Add(uint64(len(got.Body)))
	if errors.Is(err, sender.ErrNotSent) {
		return Answer{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	if err != nil {
		return Answer{}, unanswered(kind, err.Error())
	}
	return decode(kind, got)
}

func decode(kind Kind, got sender.Answer) (Answer, error) {
	var answer Answer
	if err := json.Unmarshal(got.Body, &answer); err != nil {
		return Answer{}, unanswered(kind, err.Error())
	}
	if answer.Error != "" {
		known, ok := codes[answer.Error]
		if !ok {
			return Answer{}, unanswered(kind, "unknown error "+answer.Error)
		}
		return Answer{}, known
	}
	if got.Status != http.StatusOK {
		return Answer{}, unanswered(kind, http.StatusText(got.Status))
	}
	return answer, nil
}

// unanswered returns the error of a call that was sent and got no answer of the store.
// A read has no effect in any case.
func unanswered(kind Kind, reason string) error {
	switch kind {
	case KindGet, KindWatch:
		return errors.Wrap(ErrUnavailable, reason)
	default:
		return errors.Wrap(ErrUncertain, reason)
	}
}
