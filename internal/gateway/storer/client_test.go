package storer_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/go-faster/errors"

	"pomelomoor/internal/gateway/storer"
)

// TestResponseNotFromStore guards against a write that is taken for rejected or for done because of a response that
// does not come from the store itself.
func TestResponseNotFromStore(t *testing.T) {
	for _, test := range []struct {
		status int
		body   string
		want   error
	}{
		{http.StatusServiceUnavailable, `{"Error":"Unavailable"}`, storer.ErrUnavailable},
		{http.StatusServiceUnavailable, `{}`, storer.ErrUncertain},
		{http.StatusBadGateway, `no JSON`, storer.ErrUncertain},
		{http.StatusConflict, `{"Error":"Other"}`, storer.ErrUncertain},
		{http.StatusOK, `no JSON`, storer.ErrUncertain},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			writer.WriteHeader(test.status)
			_, _ = writer.Write([]byte(test.body))
		}))
		address := netip.MustParseAddrPort(server.Listener.Addr().String())
		client, closeIdle, err := storer.New([]netip.AddrPort{address}, storer.Options{})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := client.Put(t.Context(), "key", nil, 0, 0); !errors.Is(err, test.want) {
			t.Errorf("%d %s: write: %v", test.status, test.body, err)
		}
		if _, err := client.Get(t.Context(), "key"); !errors.Is(err, storer.ErrUnavailable) {
			t.Errorf("%d %s: read: %v", test.status, test.body, err)
		}
		closeIdle()
		server.Close()
	}
}
