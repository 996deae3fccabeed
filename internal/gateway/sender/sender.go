// Package sender sends HTTP requests for the clients of the platform, each at most once, and reports whether a
// failed request may have reached the server.
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

// Errors of Send.
var (
	// ErrNotSent means that nothing was sent, usually because no connection could be established.
	ErrNotSent = errors.New("request was not sent")
	// ErrNoResponse means that the request may have reached the server but no complete response was received.
	ErrNoResponse = errors.New("no complete response")
)

// DialFunc is the type of net.Dialer.DialContext and its replacements.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ClientOptions configures an HTTP client. Zero values select the defaults.
type ClientOptions struct {
	Dial        DialFunc
	DialTimeout time.Duration
	// MaxConns is the maximum number of connections to each address; 0 means no limit.
	MaxConns int
}

const (
	defaultDialTimeout  = time.Second
	idleConnTimeout     = 90 * time.Second
	defaultMaxIdleConns = 4
)

// NewClient returns an HTTP client that uses no proxy and follows no redirects,
// because either could send a request twice.
func NewClient(options ClientOptions) *http.Client {
	dial := options.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	dialTimeout := options.DialTimeout
	if dialTimeout == 0 {
		dialTimeout = defaultDialTimeout
	}
	maxIdleConns := options.MaxConns
	if maxIdleConns == 0 {
		maxIdleConns = defaultMaxIdleConns
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				ctx, cancel := context.WithTimeout(ctx, dialTimeout)
				defer cancel()
				return dial(ctx, network, address)
			},
			MaxConnsPerHost:     options.MaxConns,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// Request is an HTTP request and the size limit of its response.
type Request struct {
	Method  string
	Address netip.AddrPort
	Path    string
	Header  http.Header
	Body    []byte
	// MaxResponseBytes is the maximum size of the response body.
	MaxResponseBytes int64
}

// Response is an HTTP response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Send sends a request and reads the whole response. Its error wraps ErrNotSent or ErrNoResponse. If only the
// body of the response is incomplete or too large, the Response still has the status and the header.
func Send(ctx context.Context, client *http.Client, request Request) (Response, error) {
	var gotConn atomic.Bool
	tracedCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			gotConn.Store(true)
		},
	})
	url := "http://" + request.Address.String() + request.Path
	httpRequest, err := http.NewRequestWithContext(tracedCtx, request.Method, url, bytes.NewReader(request.Body))
	if err != nil {
		return Response{}, errors.Wrap(ErrNotSent, err.Error())
	}
	for name, values := range request.Header {
		httpRequest.Header[name] = values
	}
	httpResponse, err := client.Do(httpRequest)
	switch {
	case err != nil && !gotConn.Load():
		return Response{}, errors.Wrap(ErrNotSent, err.Error())
	case err != nil:
		return Response{}, errors.Wrap(ErrNoResponse, err.Error())
	}
	defer httpResponse.Body.Close()
	return readResponse(httpResponse, request.MaxResponseBytes)
}

func readResponse(httpResponse *http.Response, maxBytes int64) (Response, error) {
	response := Response{
		Status: httpResponse.StatusCode,
		Header: httpResponse.Header,
	}
	chunked := len(httpResponse.TransferEncoding) > 0
	if httpResponse.ContentLength < 0 && !chunked {
		return response, errors.Wrap(ErrNoResponse, "response has neither a content length nor chunked encoding")
	}
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxBytes+1))
	if err != nil {
		return response, errors.Wrap(ErrNoResponse, err.Error())
	}
	if int64(len(body)) > maxBytes {
		return response, errors.Wrapf(ErrNoResponse, "response body exceeds %d bytes", maxBytes)
	}
	response.Body = body
	return response, nil
}
