// Package delayer imitates a long link between processes of one machine: it delays
// the bytes of connections, counts them, and can cut the link.
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
	// window bounds the chunks under way in one direction of a connection, like a socket buffer.
	window = 256
)

// Link is one link. Both directions have the same latency.
type Link struct {
	latency  time.Duration
	dial     sender.DialFunc
	ctx      context.Context
	sent     atomic.Uint64
	received atomic.Uint64

	mutex sync.Mutex
	// whole is closed while the link is not cut.
	whole chan struct{}
	cut   bool
}

// New returns a link with a one-way latency, and a function that ends it and its connections.
// A nil dial means that of net.Dialer.
func New(latency time.Duration, dial sender.DialFunc) (*Link, func()) {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	whole := make(chan struct{})
	close(whole)
	ctx, cancel := context.WithCancel(context.Background())
	return &Link{
		latency: latency,
		dial:    dial,
		ctx:     ctx,
		whole:   whole,
	}, cancel
}

// Cut holds up all bytes and new connections until Mend. Nobody is told, as when a route is lost.
func (link *Link) Cut() {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	if !link.cut {
		link.cut = true
		link.whole = make(chan struct{})
	}
}

// Mend lets bytes pass again, those that were held up first.
func (link *Link) Mend() {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	if link.cut {
		link.cut = false
		close(link.whole)
	}
}

// Bytes returns what the dialing sides sent and received.
func (link *Link) Bytes() (sent, received uint64) {
	return link.sent.Load(), link.received.Load()
}

// Dial connects over the link. It takes a round trip.
func (link *Link) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := link.wait(ctx, time.Now().Add(2*link.latency)); err != nil {
		return nil, err
	}
	remote, err := link.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	// The pipe gives the caller's end deadlines that take effect at once.
	local, inner := net.Pipe()
	closeBoth := context.AfterFunc(link.ctx, func() {
		_ = remote.Close()
		_ = inner.Close()
	})
	var group sync.WaitGroup
	group.Go(func() {
		link.pump(remote, inner, &link.sent)
	})
	group.Go(func() {
		link.pump(inner, remote, &link.received)
	})
	go func() {
		group.Wait()
		closeBoth()
	}()
	return &conn{
		Conn:   local,
		remote: remote,
	}, nil
}

// wait returns when the time has come and the link is whole.
func (link *Link) wait(ctx context.Context, until time.Time) error {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	link.mutex.Lock()
	whole := link.whole
	link.mutex.Unlock()
	select {
	case <-whole:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

type chunk struct {
	due   time.Time
	bytes []byte
}

// pump copies from one connection to the other with the latency, and closes to when the end of from
// arrives there. After to has failed it discards, until the other pump has closed from.
func (link *Link) pump(to, from net.Conn, count *atomic.Uint64) {
	chunks := make(chan chunk, window)
	go link.collect(from, chunks, count)
	defer func() {
		_ = to.Close()
	}()
	failed := false
	for chunk := range chunks {
		if failed || link.wait(link.ctx, chunk.due) != nil || len(chunk.bytes) == 0 {
			continue
		}
		_, err := to.Write(chunk.bytes)
		failed = err != nil
	}
}

func (link *Link) collect(from io.Reader, chunks chan<- chunk, count *atomic.Uint64) {
	defer close(chunks)
	for {
		buffer := make([]byte, chunkSize)
		length, err := from.Read(buffer)
		count.Add(uint64(length))
		// An empty chunk carries the end.
		chunks <- chunk{
			due:   time.Now().Add(link.latency),
			bytes: buffer[:length],
		}
		if err != nil {
			return
		}
	}
}

// conn is the caller's end, with the addresses of the real connection.
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
