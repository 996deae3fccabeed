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
	maxResponseBytes    = 2 * MaxValueBytes
)

// Options configures a client. Zero values select the defaults.
type Options struct {
	// Client is the HTTP client to use instead of one that connects with Dial. It should not follow redirects.
	Client *http.Client
	// Dial replaces net.Dialer.DialContext.
	Dial sender.DialFunc
	// Timeout limits each attempt of a call except Watch. A call makes at most one attempt at each address.
	Timeout time.Duration
	// WatchTimeout limits each attempt of a Watch call. It must be longer than the time after
	// which the store ends the wait of a Watch call for a key that has not changed. The stand-in store ends it after
	// keeper.Options.WatchTimeout.
	WatchTimeout time.Duration
}

// Counts are the numbers of attempts by operation, and of bytes of request and response bodies, since the start. A
// call makes an attempt at each address that it tries.
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

// Client is a Store that calls the key-value service over HTTP.
type Client struct {
	addresses []netip.AddrPort
	options   Options
	// preferredIndex is the index of the address to try first: the last one that did not return ErrUnavailable.
	preferredIndex atomic.Uint32
	// attemptCounts counts the attempts of each operation.
	attemptCounts map[Operation]*atomic.Uint64
	sentBytes     atomic.Uint64
	receivedBytes atomic.Uint64
}

var _ Store = (*Client)(nil)

// New returns a client for the store, which every one of the addresses serves, and a function that closes its
// idle connections. The client connects on the first call.
func New(addresses []netip.AddrPort, options Options) (*Client, func(), error) {
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
		addresses:     addresses,
		options:       options,
		attemptCounts: make(map[Operation]*atomic.Uint64),
	}
	for _, operation := range []Operation{OperationGet, OperationPut, OperationDelete, OperationWatch, OperationGrant, OperationRenew, OperationRevoke} {
		client.attemptCounts[operation] = new(atomic.Uint64)
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

// Counts returns the numbers of attempts and bytes since the start.
func (client *Client) Counts() Counts {
	return Counts{
		Get:           client.attemptCounts[OperationGet].Load(),
		Put:           client.attemptCounts[OperationPut].Load(),
		Delete:        client.attemptCounts[OperationDelete].Load(),
		Watch:         client.attemptCounts[OperationWatch].Load(),
		Grant:         client.attemptCounts[OperationGrant].Load(),
		Renew:         client.attemptCounts[OperationRenew].Load(),
		Revoke:        client.attemptCounts[OperationRevoke].Load(),
		BytesSent:     client.sentBytes.Load(),
		BytesReceived: client.receivedBytes.Load(),
	}
}

// Get implements Store.
func (client *Client) Get(ctx context.Context, key string) (Entry, error) {
	response, err := client.call(ctx, OperationGet, Request{
		Key: key,
	})
	return response.toEntry(key), err
}

// Put implements Store.
func (client *Client) Put(ctx context.Context, key string, value []byte, expect Version, lease LeaseID) (Version, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	response, err := client.call(ctx, OperationPut, Request{
		Key:     key,
		Value:   value,
		Version: expect,
		Lease:   lease,
	})
	return response.Version, err
}

// Delete implements Store.
func (client *Client) Delete(ctx context.Context, key string, expect Version) error {
	_, err := client.call(ctx, OperationDelete, Request{
		Key:     key,
		Version: expect,
	})
	return err
}

// Watch implements Store.
func (client *Client) Watch(ctx context.Context, key string, after Version) (Entry, error) {
	response, err := client.call(ctx, OperationWatch, Request{
		Key:     key,
		Version: after,
	})
	return response.toEntry(key), err
}

// Grant implements Store.
func (client *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	response, err := client.call(ctx, OperationGrant, Request{
		TTL: ttl,
	})
	return response.Lease, err
}

// Renew implements Store.
func (client *Client) Renew(ctx context.Context, lease LeaseID) error {
	_, err := client.call(ctx, OperationRenew, Request{
		Lease: lease,
	})
	return err
}

// Revoke implements Store.
func (client *Client) Revoke(ctx context.Context, lease LeaseID) error {
	_, err := client.call(ctx, OperationRevoke, Request{
		Lease: lease,
	})
	return err
}

func (response Response) toEntry(key string) Entry {
	return Entry{
		Key:     key,
		Value:   response.Value,
		Version: response.Version,
	}
}

// call tries the addresses in turn, starting with the preferred one, until the outcome is other than
// ErrUnavailable. A write whose outcome is uncertain is not retried, because it may have taken effect.
func (client *Client) call(ctx context.Context, operation Operation, request Request) (Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return Response{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	first := int(client.preferredIndex.Load())
	for offset := range client.addresses {
		index := (first + offset) % len(client.addresses)
		var response Response
		response, err = client.attempt(ctx, operation, client.addresses[index], body)
		if !errors.Is(err, ErrUnavailable) {
			client.preferredIndex.Store(uint32(index))
			return response, err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return Response{}, err
}

func (client *Client) attempt(ctx context.Context, operation Operation, address netip.AddrPort, body []byte) (Response, error) {
	timeout := client.options.Timeout
	if operation == OperationWatch {
		timeout = client.options.WatchTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	client.attemptCounts[operation].Add(1)
	client.sentBytes.Add(uint64(len(body)))
	httpResponse, err := sender.Send(ctx, client.options.Client, sender.Request{
		Method:           http.MethodPost,
		Address:          address,
		Path:             Path + string(operation),
		Body:             body,
		MaxResponseBytes: maxResponseBytes,
	})
	client.receivedBytes.Add(uint64(len(httpResponse.Body)))
	if errors.Is(err, sender.ErrNotSent) {
		return Response{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	if err != nil {
		return Response{}, noValidResponseError(operation, err.Error())
	}
	return decodeResponse(operation, httpResponse)
}

func decodeResponse(operation Operation, httpResponse sender.Response) (Response, error) {
	var response Response
	if err := json.Unmarshal(httpResponse.Body, &response); err != nil {
		return Response{}, noValidResponseError(operation, err.Error())
	}
	if response.Error != "" {
		storeErr, ok := errorsByCode[response.Error]
		if !ok {
			return Response{}, noValidResponseError(operation, "unknown error "+response.Error)
		}
		return Response{}, storeErr
	}
	if httpResponse.Status != http.StatusOK {
		return Response{}, noValidResponseError(operation, http.StatusText(httpResponse.Status))
	}
	return response, nil
}

// noValidResponseError returns the error for an attempt that was sent but got no response from the store or an invalid
// one: a write may have taken effect, while a read has no effect and can be retried.
func noValidResponseError(operation Operation, reason string) error {
	switch operation {
	case OperationGet, OperationWatch:
		return errors.Wrap(ErrUnavailable, reason)
	default:
		return errors.Wrap(ErrUncertain, reason)
	}
}
