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
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		calls.Add(1)
		switch request.URL.Path {
		case "/redirect":
			writer.Header().Set("Location", "/whole")
			writer.WriteHeader(http.StatusTemporaryRedirect)
		case "/whole":
			_, _ = writer.Write([]byte("whole"))
		default:
			conn, _, _ := http.NewResponseController(writer).Hijack()
			if request.URL.Path == "/unbounded" {
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\nperhaps whole"))
			}
			_ = conn.Close()
		}
	}))
	client := sender.NewClient(sender.ClientOptions{})
	call := sender.Call{
		Method:  http.MethodPost,
		Address: netip.MustParseAddrPort(server.Listener.Addr().String()),
		Body:    []byte("body"),
	}
	for _, test := range []struct {
		path   string
		limit  int64
		status int
		want   error
	}{
		{"/whole", 5, http.StatusOK, nil},
		{"/whole", 4, http.StatusOK, sender.ErrNoResponse},
		{"/redirect", 5, http.StatusTemporaryRedirect, nil},
		{"/unbounded", 99, http.StatusOK, sender.ErrNoResponse},
		{"/closed", 99, 0, sender.ErrNoResponse},
	} {
		callsBefore := calls.Load()
		call.Path, call.Limit = test.path, test.limit
		response, err := sender.Send(t.Context(), client, call)
		if !errors.Is(err, test.want) || response.Status != test.status || calls.Load() != callsBefore+1 {
			t.Errorf("%s: %d calls, %+v, %v", test.path, calls.Load()-callsBefore, response, err)
		}
	}
	server.Close()
	client.CloseIdleConnections()
	if _, err := sender.Send(t.Context(), client, call); !errors.Is(err, sender.ErrNotSent) {
		t.Errorf("closed server: %v", err)
	}
}
