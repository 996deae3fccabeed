package integration_test

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	toxiproxy "github.com/Shopify/toxiproxy"
)

// link is a proxy in front of one address.
type link struct {
	t     testing.TB
	proxy *toxiproxy.Proxy
}

func newLink(t testing.TB, name string, upstream netip.AddrPort) *link {
	t.Helper()
	proxy := toxiproxy.NewProxy()
	proxy.Name = name
	proxy.Listen = "127.0.0.1:0"
	proxy.Upstream = upstream.String()
	if err := proxy.Start(); err != nil {
		t.Fatalf("proxy %s: %v", name, err)
	}
	t.Cleanup(proxy.Stop)
	return &link{
		t:     t,
		proxy: proxy,
	}
}

// newRelay listens for connections that are passed on to the address given to the returned function,
// for a proxy that has to exist before the process behind it. The proxy itself can't change its
// upstream without giving up its port.
func newRelay(t testing.TB) (netip.AddrPort, func(target netip.AddrPort)) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = listener.Close()
	})
	var target atomic.Pointer[netip.AddrPort]
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go pass(conn, target.Load())
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String()), func(address netip.AddrPort) {
		target.Store(&address)
	}
}

// pass copies in both directions until one of them ends.
func pass(conn net.Conn, target *netip.AddrPort) {
	defer func() {
		_ = conn.Close()
	}()
	if target == nil {
		return
	}
	other, err := net.Dial("tcp", target.String())
	if err != nil {
		return
	}
	defer func() {
		_ = other.Close()
	}()
	ended := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{conn, other}, {other, conn}} {
		go func() {
			_, _ = io.Copy(pair[0], pair[1])
			ended <- struct{}{}
		}()
	}
	<-ended
}

func (link *link) address() netip.AddrPort {
	return netip.MustParseAddrPort(link.proxy.Listen)
}

func (link *link) add(toxic, direction string, attributes string) {
	link.t.Helper()
	document := fmt.Sprintf(`{"name": %q, "type": %q, "stream": %q, "attributes": %s}`,
		toxic+"-"+direction, toxic, direction, attributes)
	if _, err := link.proxy.Toxics.AddToxicJson(strings.NewReader(document)); err != nil {
		link.t.Fatalf("proxy %s: %v", link.proxy.Name, err)
	}
}

// cut drops everything in both directions, as a network that is split.
func (link *link) cut() {
	link.add("timeout", "upstream", `{"timeout": 0}`)
	link.add("timeout", "downstream", `{"timeout": 0}`)
}

// loseAnswers lets calls through and drops their answers.
func (link *link) loseAnswers() {
	link.add("timeout", "downstream", `{"timeout": 0}`)
}

// scatter delays each answer by a time of its own, so that answers overtake each other.
func (link *link) scatter(milliseconds int) {
	link.add("latency", "downstream", fmt.Sprintf(`{"latency": %d, "jitter": %d}`, milliseconds/2, milliseconds/2))
}

// slow delays everything that the caller is sent.
func (link *link) slow(milliseconds int) {
	link.add("latency", "downstream", fmt.Sprintf(`{"latency": %d}`, milliseconds))
}

// heal removes all faults.
func (link *link) heal() {
	link.proxy.Toxics.ResetToxics()
}
