package sender_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/go-faster/errors"

	"pomelomoor/internal/gateway/sender"
)

// TestSend guards against a request that is sent again because of a redirect, against a response that is taken
// for complete although it may have been cut off by a lost connection, and against ErrNotSent for a request that
// was sent.
func TestSend(t *testing.T) {
	var requestCount atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, httpRequest *http.Request) {
		requestCount.Add(1)
		switch httpRequest.URL.Path {
		case "/redirect":
			writer.Header().Set("Location", "/whole")
			writer.WriteHeader(http.StatusTemporaryRedirect)
		case "/whole":
			_, _ = writer.Write([]byte("whole"))
		default:
			conn, _, _ := http.NewResponseController(writer).Hijack()
			if httpRequest.URL.Path == "/unbounded" {
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\nperhaps whole"))
			}
			_ = conn.Close()
		}
	}))
	client := sender.NewClient(sender.ClientOptions{})
	request := sender.Request{
		Method:  http.MethodPost,
		Address: netip.MustParseAddrPort(server.Listener.Addr().String()),
		Body:    []byte("body"),
	}
	for _, test := range []struct {
		path             string
		maxResponseBytes int64
		status           int
		want             error
	}{
		{"/whole", 5, http.StatusOK, nil},
		{"/whole", 4, http.StatusOK, sender.ErrNoResponse},
		{"/redirect", 5, http.StatusTemporaryRedirect, nil},
		{"/unbounded", 99, http.StatusOK, sender.ErrNoResponse},
		{"/closed", 99, 0, sender.ErrNoResponse},
	} {
		requestCountBefore := requestCount.Load()
		request.Path, request.MaxResponseBytes = test.path, test.maxResponseBytes
		response, err := sender.Send(t.Context(), client, request)
		if !errors.Is(err, test.want) || response.Status != test.status || requestCount.Load() != requestCountBefore+1 {
			t.Errorf("%s: %d requests, %+v, %v", test.path, requestCount.Load()-requestCountBefore, response, err)
		}
	}
	server.Close()
	client.CloseIdleConnections()
	if _, err := sender.Send(t.Context(), client, request); !errors.Is(err, sender.ErrNotSent) {
		t.Errorf("closed server: %v", err)
	}
}
