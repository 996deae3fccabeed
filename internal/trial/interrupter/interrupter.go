// Package interrupter provides TCP proxies that inject network faults between processes.
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

// ErrProxy is wrapped by the errors that the constructors of this package return.
var ErrProxy = errors.New("interrupter")

const loopback = "127.0.0.1:0"

// Link is a proxy in front of one address. Faults are injected into the connections that pass through it.
type Link struct {
	proxy *toxiproxy.Proxy
}

// NewLink starts a proxy that forwards to upstream. The returned function stops the proxy.
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

// Address returns the address on which the proxy listens.
func (link *Link) Address() netip.AddrPort {
	return netip.MustParseAddrPort(link.proxy.Listen)
}

// addToxic injects a fault into one direction of all connections. It panics on an error, because the fault documents
// are constants.
func (link *Link) addToxic(toxic, direction, attributes string) {
	document := fmt.Sprintf(`{"name": %q, "type": %q, "stream": %q, "attributes": %s}`,
		toxic+"-"+direction, toxic, direction, attributes)
	if _, err := link.proxy.Toxics.AddToxicJson(strings.NewReader(document)); err != nil {
		panic(fmt.Sprintf("interrupter: %s: %v", link.proxy.Name, err))
	}
}

// Cut drops all data in both directions, as in a network partition.
func (link *Link) Cut() {
	link.addToxic("timeout", "upstream", `{"timeout": 0}`)
	link.addToxic("timeout", "downstream", `{"timeout": 0}`)
}

// LoseResponses forwards requests and drops the responses.
func (link *Link) LoseResponses() {
	link.addToxic("timeout", "downstream", `{"timeout": 0}`)
}

// AddJitter delays each response by a random time of up to maxDelay, so that responses can arrive out of order.
func (link *Link) AddJitter(maxDelay time.Duration) {
	mean := maxDelay.Milliseconds() / 2
	link.addToxic("latency", "downstream", fmt.Sprintf(`{"latency": %d, "jitter": %d}`, mean, mean))
}

// Slow delays all data sent to the caller.
func (link *Link) Slow(delay time.Duration) {
	link.addToxic("latency", "downstream", fmt.Sprintf(`{"latency": %d}`, delay.Milliseconds()))
}

// Heal removes all faults.
func (link *Link) Heal() {
	link.proxy.Toxics.ResetToxics()
}

// Relay forwards connections to a target that is set after the relay has started. It is the upstream of a proxy whose
// process does not listen yet: a proxy cannot change its upstream and keep its port.
type Relay struct {
	listener net.Listener
	target   atomic.Pointer[netip.AddrPort]
}

// NewRelay starts a relay without a target. The returned function stops it.
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

// Address returns the address on which the relay listens.
func (relay *Relay) Address() netip.AddrPort {
	return netip.MustParseAddrPort(relay.listener.Addr().String())
}

// SetTarget sets the address to which new connections are forwarded. Without a target, connections are closed.
func (relay *Relay) SetTarget(target netip.AddrPort) {
	relay.target.Store(&target)
}

func (relay *Relay) serve() {
	for {
		conn, err := relay.listener.Accept()
		if err != nil {
			return
		}
		go relay.forward(conn)
	}
}

// forward copies data in both directions until one side closes its connection.
func (relay *Relay) forward(conn net.Conn) {
	defer func() {
		_ = conn.Close()
	}()
	target := relay.target.Load()
	if target == nil {
		return
	}
	upstream, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", target.String())
	if err != nil {
		return
	}
	defer func() {
		_ = upstream.Close()
	}()
	ended := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{conn, upstream}, {upstream, conn}} {
		go func() {
			_, _ = io.Copy(pair[0], pair[1])
			ended <- struct{}{}
		}()
	}
	<-ended
}
