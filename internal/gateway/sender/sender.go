// Package sender makes single HTTP calls for the platform adapters and tells whether
// a failed call can have had an effect.
package sender

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// Errors of a call.
var (
	// ErrNotSent means that no connection could be had, so that nothing was sent.
	ErrNotSent = errors.New("call was not sent")
	// ErrNoAnswer means that the call may have arrived but no complete answer came back.
	ErrNoAnswer = errors.New("no complete answer")
)

// DialFunc is net.Dialer.DialContext or a replacement for it.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ClientOptions describe an HTTP client. Zero values mean the defaults.
type ClientOptions struct {
	Dial        DialFunc
	DialTimeout time.Duration
	// MaxConns limits the connections to each address; 0 means no limit.
	MaxConns int
}

const (
	defaultDialTimeout = time.Second
	idleTimeout        = 90 * time.Second
	defaultIdleConns   = 4
)

// NewClient returns an HTTP client that uses no proxy and follows no redirect,
// since either could repeat a call.
func NewClient(options ClientOptions) *http.Client {
	dial := options.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	timeout := options.DialTimeout
	if timeout == 0 {
		timeout = defaultDialTimeout
	}
	idle := options.MaxConns
	if idle == 0 {
		idle = defaultIdleConns
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				ctx, cancel := context.WithTimeout(ctx, timeout)
				defer cancel()
				return dial(ctx, network, address)
			},
			MaxConnsPerHost:     options.MaxConns,
			MaxIdleConnsPerHost: idle,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// Call is one HTTP call.
type Call struct {
	Method  string
	Address netip.AddrPort
	Path    string
	Header  http.Header
	Body    []byte
	// Limit is the largest acceptable body of the answer in bytes.
	Limit int64
}

// Answer is a complete answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Send makes one call. Its error is ErrNotSent or ErrNoAnswer.
func Send(ctx context.Context, client *http.Client, call Call) (Answer, error) {
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			connected.Store(true)
		},
	})
	url := "http://" + call.Address.String() + call.Path
	request, err := http.NewRequestWithContext(traced, call.Method, url, bytes.NewReader(call.Body))
	if err != nil {
		return Answer{}, errors.Wrap(ErrNotSent, err.Error())
	}
	for name, values := range call.Header {
		request.Header[name] = values
	}
	response, err := client.Do(request)
	switch {
	case err != nil && !connected.Load():
		return Answer{}, errors.Wrap(ErrNotSent, err.Error())
	case err != nil:
		return Answer{}, errors.Wrap(ErrNoAnswer, err.Error())
	}
	defer response.Body.Close()
	return read(response, call.Limit)
}

func read(response *http.Response, limit int64) (Answer, error) {
	answer := Answer{
		Status: response.StatusCode,
		Header: response.Header,
	}
	chunked := len(response.TransferEncoding) > 0
	if response.ContentLength < 0 && !chunked {
		return answer, errors.Wrap(ErrNoAnswer, "answer has no length")
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return answer, errors.Wrap(ErrNoAnswer, err.Error())
	}
	if int64(len(body)) > limit {
		return answer, errors.Wrapf(ErrNoAnswer, "answer exceeds %d bytes", limit)
	}
	answer.Body = body
	return answer, nil
}
