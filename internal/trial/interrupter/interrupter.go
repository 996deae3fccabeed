// Package interrupter puts fault-injecting proxies in front of processes.
package interrupter

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy"
	"github.com/go-faster/errors"
)

// ErrProxy is wrapped by all errors of this package.
var ErrProxy = errors.New("interrupter")

const loopback = "127.0.0.1:0"

// Link is a proxy in front of one address.
type Link struct {
	proxy *toxiproxy.Proxy
}

// NewLink starts a proxy. The returned function stops it.
func NewLink(name string, upstream netip.AddrPort) (*Link, func(), error) {
	proxy := toxiproxy.NewProxy()
	proxy.Name = name
	proxy.Listen = loopback
	proxy.Upstream = upstream.String()
	if err := proxy.Start(); err != nil {
		return nil, nil, errors.Wrapf(ErrProxy, "%s: %v", name, err)
	}
	return &Link{
		proxy: proxy,
	}, proxy.Stop, nil
}

// Address returns where the proxy listens.
func (link *Link) Address() netip.AddrPort {
	return netip.MustParseAddrPort(link.proxy.Listen)
}

// add puts a fault on one direction. The documents are constants, so an error is a fault of this package.
func (link *Link) add(toxic, direction, attributes string) {
	document := fmt.Sprintf(`{"name": %q, "type": %q, "stream": %q, "attributes": %s}`,
		toxic+"-"+direction, toxic, direction, attributes)
	if _, err := link.proxy.Toxics.AddToxicJson(strings.NewReader(document)); err != nil {
		panic(fmt.Sprintf("interrupter: %s: %v", link.proxy.Name, err))
	}
}

// Cut drops everything in both directions, as a network that is split.
func (link *Link) Cut() {
	link.add("timeout", "upstream", `{"timeout": 0}`)
	link.add("timeout", "downstream", `{"timeout": 0}`)
}

// LoseAnswers lets calls through and drops their answers.
func (link *Link) LoseAnswers() {
	link.add("timeout", "downstream", `{"timeout": 0}`)
}

// Scatter delays each answer by a time of its own up to limit, so that answers overtake each other.
func (link *Link) Scatter(limit time.Duration) {
	half := limit.Milliseconds() / 2
	link.add("latency", "downstream", fmt.Sprintf(`{"latency": %d, "jitter": %d}`, half, half))
}

// Slow delays everything that the caller is sent.
func (link *Link) Slow(delay time.Duration) {
	link.add("latency", "downstream", fmt.Sprintf(`{"latency": %d}`, delay.Milliseconds()))
}

// Heal removes all faults.
func (link *Link) Heal() {
	link.proxy.Toxics.ResetToxics()
}

// Relay passes connections on to a target that may be set later. It stands between a proxy and a
// process that does not exist yet: the proxy cannot change its upstream without giving up its port.
type Relay struct {
	listener net.Listener
	target   atomic.Pointer[netip.AddrPort]
}

// NewRelay listens. The returned function stops it.
func NewRelay() (*Relay, func(), error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", loopback)
	if err != nil {
		return nil, nil, errors.Wrap(ErrProxy, err.Error())
	}
	relay := &Relay{
		listener: listener,
	}
	go relay.serve()
	return relay, func() {
		_ = listener.Close()
	}, nil
}

// Address returns where the relay listens.
func (relay *Relay) Address() netip.AddrPort {
	return netip.MustParseAddrPort(relay.listener.Addr().String())
}

// SetTarget sets where new connections go. Connections before that are closed.
func (relay *Relay) SetTarget(target netip.AddrPort) {
	relay.target.Store(&target)
}

func (relay *Relay) serve() {
	for {
		conn, err := relay.listener.Accept()
		if err != nil {
			return
		}
		go relay.pass(conn)
	}
}

// pass copies in both directions until one of them ends.
func (relay *Relay) pass(conn net.Conn) {
	defer func() {
		_ = conn.Close()
	}()
	target := relay.target.Load()
	if target == nil {
		return
	}
	other, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", target.String())
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
