package cell_test

import (
	"bytes"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// reconnectsDuration is how long the clients of TestReconnects go on.
	reconnectsDuration = 4 * time.Second
	// reconnectTimeout ends a connection on which nothing happens.
	reconnectTimeout = 2 * time.Second
)

// denseBody returns a body of legal size with as many steps as fit in.
func denseBody(step string) string {
	const begin, end = `{"steps":[`, `]}`
	count := (crowdBodyBytes - len(begin) - len(end)) / (len(step) + 1)
	return begin + strings.TrimSuffix(strings.Repeat(step+",", count), ",") + end
}

func crowdPostBody(body string) []byte {
	return []byte(crowdPost(fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body)
}

// TestReconnects guards against a process that runs out of memory or descriptors since clients connect again at once
// whenever they were answered or refused, with bodies that stop short of their end, that take many times their size when
// they are decoded, or that belong to no queue, and with connections to the port of the other instances.
func TestReconnects(t *testing.T) {
	front := func(cell *cell) netip.AddrPort {
		return cell.site.Front(0)
	}
	peers := func(cell *cell) netip.AddrPort {
		metrics := cell.site.Metrics(0)
		return netip.AddrPortFrom(metrics.Addr(), metrics.Port()-1)
	}
	short := append([]byte(crowdPost(fmt.Sprintf("Content-Length: %d\r\n", crowdBodyBytes))), crowdBody()...)
	crowds := []struct {
		name    string
		address func(cell *cell) netip.AddrPort
		payload []byte
	}{
		{
			name:    "short-body",
			address: front,
			payload: short,
		},
		{
			name:    "no-queue",
			address: front,
			payload: bytes.Replace(short, []byte("/plain/"), []byte("/other/"), 1),
		},
		{
			name:    "steps-null",
			address: front,
			payload: crowdPostBody(denseBody(`null`)),
		},
		{
			name:    "steps-impossible",
			address: front,
			payload: crowdPostBody(denseBody(`{"count":1,"cpu":-1}`)),
		},
		{
			name:    "peers-silent",
			address: peers,
			payload: []byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00"),
		},
		{
			name:    "peers-text",
			address: peers,
			payload: bytes.Repeat([]byte("x"), crowdBodyBytes),
		},
	}
	for _, crowd := range crowds {
		t.Run(crowd.name, func(t *testing.T) {
			cell := newLimitedCell(t)
			gauge := cell.instances[0].measure()
			defer gauge.stop()
			stop := make(chan struct{})
			var clients sync.WaitGroup
			for range crowdConnections {
				clients.Go(func() {
					for {
						select {
						case <-stop:
							return
						default:
							reconnect(crowd.address(cell), crowd.payload)
						}
					}
				})
			}
			time.Sleep(reconnectsDuration)
			cell.awaitOrdinaryCall("00000000000000d1")
			close(stop)
			clients.Wait()
			cell.awaitOrdinaryCall("00000000000000d2")
			gauge.stop()
			gauge.check(t)
		})
	}
}

// reconnect opens a connection, sends a payload and waits for an answer. The outcome does not matter.
func reconnect(address netip.AddrPort, payload []byte) {
	conn, err := net.DialTimeout("tcp", address.String(), reconnectTimeout)
	if err != nil {
		return
	}
	defer func() {
		_ = conn.Close()
	}()
	if err := conn.SetDeadline(time.Now().Add(reconnectTimeout)); err != nil {
		return
	}
	if _, err := conn.Write(payload); err != nil {
		return
	}
	var answer [64]byte
	_, _ = conn.Read(answer[:])
}
