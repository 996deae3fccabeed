// Package delayer simulates a long-distance network link between processes on one machine. It delays and
// counts the bytes of connections, and can partition the link.
package delayer

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"pomelomoor/internal/gateway/sender"
)

const (
	chunkSize = 16 << 10
	// maxPendingChunks limits the chunks in flight in one direction of a connection, like a socket buffer.
	maxPendingChunks = 256
)

// Link is a simulated network link with the same latency in both directions.
type Link struct {
	latency  time.Duration
	dial     sender.DialFunc
	ctx      context.Context
	sent     atomic.Uint64
	received atomic.Uint64

	mutex sync.Mutex
	// connected is a closed channel while the link is not cut, so that receiving from it blocks during a cut.
	connected chan struct{}
	cut       bool
}

// New returns a link with this one-way latency, and a function that stops it and closes its connections. If
// dial is nil, that of net.Dialer is used.
func New(latency time.Duration, dial sender.DialFunc) (*Link, func()) {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	connected := make(chan struct{})
	close(connected)
	ctx, cancel := context.WithCancel(context.Background())
	return &Link{
		latency:   latency,
		dial:      dial,
		ctx:       ctx,
		connected: connected,
	}, cancel
}

// Cut partitions the link until Heal: bytes and new connections are held back. Neither end gets an error, as
// when packets are dropped silently.
func (link *Link) Cut() {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	if !link.cut {
		link.cut = true
		link.connected = make(chan struct{})
	}
}

// Heal ends a partition. The bytes that were held back are delivered first.
func (link *Link) Heal() {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	if link.cut {
		link.cut = false
		close(link.connected)
	}
}

// Bytes returns the number of bytes that the dialing sides sent and received.
func (link *Link) Bytes() (sent, received uint64) {
	return link.sent.Load(), link.received.Load()
}

// Dial connects over the link. It waits for one round trip first.
func (link *Link) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := link.wait(ctx, time.Now().Add(2*link.latency)); err != nil {
		return nil, err
	}
	remote, err := link.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	// The caller gets one end of a pipe, whose deadlines take effect at once, also during a cut.
	callerEnd, linkEnd := net.Pipe()
	closeBoth := context.AfterFunc(link.ctx, func() {
		_ = remote.Close()
		_ = linkEnd.Close()
	})
	var group sync.WaitGroup
	group.Go(func() {
		link.copyDelayed(remote, linkEnd, &link.sent)
	})
	group.Go(func() {
		link.copyDelayed(linkEnd, remote, &link.received)
	})
	go func() {
		group.Wait()
		closeBoth()
	}()
	return &conn{
		Conn:   callerEnd,
		remote: remote,
	}, nil
}

// wait returns at the given time, or when the link is connected if that is later.
func (link *Link) wait(ctx context.Context, until time.Time) error {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	link.mutex.Lock()
	connected := link.connected
	link.mutex.Unlock()
	select {
	case <-connected:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

type chunk struct {
	deliverAt time.Time
	bytes     []byte
}

// copyDelayed copies source to destination with the link's latency, and closes destination when the end of
// source arrives there. After a failed write it discards the rest, until the call for the other direction
// closes source.
func (link *Link) copyDelayed(destination, source net.Conn, count *atomic.Uint64) {
	chunks := make(chan chunk, maxPendingChunks)
	go link.readChunks(source, chunks, count)
	defer func() {
		_ = destination.Close()
	}()
	failed := false
	for pending := range chunks {
		if failed || link.wait(link.ctx, pending.deliverAt) != nil || len(pending.bytes) == 0 {
			continue
		}
		_, err := destination.Write(pending.bytes)
		failed = err != nil
	}
}

func (link *Link) readChunks(source io.Reader, chunks chan<- chunk, count *atomic.Uint64) {
	defer close(chunks)
	for {
		buffer := make([]byte, chunkSize)
		length, err := source.Read(buffer)
		count.Add(uint64(length))
		// At the end of source the chunk is empty; it delays the close of the destination.
		chunks <- chunk{
			deliverAt: time.Now().Add(link.latency),
			bytes:     buffer[:length],
		}
		if err != nil {
			return
		}
	}
}

// conn is the caller's end of the pipe, with the addresses of the remote connection.
type conn struct {
	net.Conn
	remote net.Conn
}

func (conn *conn) LocalAddr() net.Addr {
	return conn.remote.LocalAddr()
}

func (conn *conn) RemoteAddr() net.Addr {
	return conn.remote.RemoteAddr()
}
