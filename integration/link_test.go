package integration_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	toxiproxy "github.com/Shopify/toxiproxy"
)

// link is a proxy in front of one address.
type link struct {
	t     testing.TB
	proxy *toxiproxy.Proxy
}

// newLink starts a proxy. Its upstream may be set later, before its first connection.
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

func (link *link) address() netip.AddrPort {
	return netip.MustParseAddrPort(link.proxy.Listen)
}

func (link *link) setUpstream(upstream netip.AddrPort) {
	link.t.Helper()
	err := link.proxy.Update(&toxiproxy.Proxy{
		Listen:   link.proxy.Listen,
		Upstream: upstream.String(),
		Enabled:  true,
	})
	if err != nil {
		link.t.Fatalf("proxy %s: %v", link.proxy.Name, err)
	}
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

// slow delays answers by milliseconds.
func (link *link) slow(milliseconds int) {
	link.add("latency", "downstream", fmt.Sprintf(`{"latency": %d}`, milliseconds))
}

// heal removes all faults.
func (link *link) heal() {
	link.proxy.Toxics.ResetToxics()
}
