package balancer_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"pomelomoor/internal/standin/balancer"
)

// TestBalancer guards against connections to backends that are not ready or have stopped, and against an
// uneven distribution.
func TestBalancer(t *testing.T) {
	var ready [3]atomic.Bool
	var backends []netip.AddrPort
	var servers []*httptest.Server
	for index := range ready {
		ready[index].Store(index != 2)
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if request.URL.Path == "/v1/ready" && !ready[index].Load() {
				writer.WriteHeader(http.StatusServiceUnavailable)
			}
			_, _ = writer.Write([]byte{'0' + byte(index)})
		}))
		defer server.Close()
		servers = append(servers, server)
		backends = append(backends, netip.MustParseAddrPort(server.Listener.Addr().String()))
	}
	started, stop, err := balancer.Start(balancer.Options{
		Address:  netip.MustParseAddrPort("127.0.0.1:0"),
		Backends: backends,
		Interval: 10 * time.Millisecond,
		Timeout:  time.Minute,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	client := &http.Client{
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	expectSpread := func(count int, want string) {
		t.Helper()
		if err := started.AwaitReady(ctx, count); err != nil {
			t.Fatal(err)
		}
		got := map[byte]int{}
		for range 6 {
			response, err := client.Get("http://" + started.Address().String())
			if err != nil {
				t.Fatal(err)
			}
			body, _ := io.ReadAll(response.Body)
			response.Body.Close()
			got[body[0]]++
		}
		for _, index := range []byte(want) {
			if got[index] != 6/len(want) {
				t.Errorf("with backends %s ready: uneven distribution of responses %v", want, got)
			}
		}
	}
	expectSpread(2, "01")
	ready[2].Store(true)
	expectSpread(3, "012")
	servers[0].Close()
	expectSpread(2, "12")
	ready[1].Store(false)
	expectSpread(1, "2")
}
