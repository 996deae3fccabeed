package sender

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

const (
	// defaultMaxConns is the limit of connections to one address if PoolOptions sets none.
	defaultMaxConns = 64
	// bufferBytes is the size of the buffers for one request and its response. Larger ones pass through in parts.
	bufferBytes = 2048
	// lateReadTime is how long a response that arrived in time may take to be read after the deadline.
	lateReadTime = 200 * time.Millisecond
)

// PoolOptions configures a Pool. Zero values select the defaults.
type PoolOptions struct {
	Dial        DialFunc
	DialTimeout time.Duration
	// MaxConns is the maximum number of connections to each address. Further requests wait for one to become free.
	MaxConns int
}

// Pool sends requests over connections that it keeps open. The calling goroutine writes the request and reads the
// response itself, and an idle connection holds neither a goroutine nor a buffer. That makes it much cheaper than
// an http.Client for an instance that has requests open to a thousand workers. It is safe for concurrent use.
//
// Open connections may all have gone silent at once. So a request that gets no response in time closes the idle
// connections to its address, but for those that have been used since it was sent.
type Pool struct {
	options PoolOptions
	readers sync.Pool
	writers sync.Pool

	mutex  sync.Mutex
	closed bool
	hosts  map[netip.AddrPort]*host
}

// host holds the connections to one address.
type host struct {
	// requests counts the requests that use or wait for a connection. A host without any and without idle
	// connections is forgotten.
	requests int
	// slots has one element for each request that uses a connection.
	slots chan struct{}
	// idle holds the unused connections, the one that was used last at the end.
	idle []*poolConn
}

// poolConn is a connection with its last use.
type poolConn struct {
	net.Conn

	usedAt time.Time
}

// NewPool returns a Pool and a function that closes its idle connections.
func NewPool(options PoolOptions) (*Pool, func()) {
	if options.Dial == nil {
		options.Dial = (&net.Dialer{}).DialContext
	}
	if options.DialTimeout == 0 {
		options.DialTimeout = defaultDialTimeout
	}
	if options.MaxConns == 0 {
		options.MaxConns = defaultMaxConns
	}
	pool := &Pool{
		options: options,
		hosts:   map[netip.AddrPort]*host{},
	}
	return pool, pool.close
}

// Send sends a request and reads the whole response. Its error wraps ErrNotSent or ErrNoResponse, with the
// meaning that they have for the function Send.
func (pool *Pool) Send(ctx context.Context, request Request) (Response, error) {
	host := pool.enter(request.Address)
	defer pool.leave(request.Address, host)
	select {
	case host.slots <- struct{}{}:
	case <-ctx.Done():
		return Response{}, errors.Wrap(ErrNotSent, ctx.Err().Error())
	}
	defer func() {
		<-host.slots
	}()
	conn, err := pool.connect(ctx, request.Address, host)
	if err != nil {
		return Response{}, errors.Wrap(ErrNotSent, err.Error())
	}
	// Without a deadline this is the zero time, which removes the deadline of the request before.
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		_ = conn.Close()
		return Response{}, errors.Wrap(ErrNotSent, err.Error())
	}
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			// A deadline in the past ends the request at once. An error means that the connection is closed already.
			_ = conn.SetDeadline(time.Unix(1, 0))
		}
	})
	sent := time.Now()
	response, reusable, err := pool.exchange(conn, request)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		pool.closeIdle(host, sent)
	}
	if !stop() || err != nil || !reusable || !pool.keep(host, conn) {
		// The outcome of the request is known, so an error on closing has no consequence.
		_ = conn.Close()
	}
	if err != nil {
		return response, errors.Wrap(ErrNoResponse, err.Error())
	}
	return response, nil
}

// exchange writes a request to conn and reads the response. reusable means that conn can take another request.
func (pool *Pool) exchange(conn net.Conn, request Request) (response Response, reusable bool, err error) {
	outgoing := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(outgoing)
	outgoing.Header.SetMethod(request.Method)
	outgoing.Header.SetHost(request.Address.String())
	outgoing.SetRequestURI(request.Path)
	for name, values := range request.Header {
		for _, value := range values {
			outgoing.Header.Set(name, value)
		}
	}
	outgoing.SetBodyRaw(request.Body)
	if err := pool.write(conn, outgoing); err != nil {
		return Response{}, false, err
	}
	incoming := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(incoming)
	reader, _ := pool.readers.Get().(*bufio.Reader)
	if reader == nil {
		reader = bufio.NewReaderSize(conn, bufferBytes)
	} else {
		reader.Reset(conn)
	}
	defer func() {
		reader.Reset(nil)
		pool.readers.Put(reader)
	}()
	if err := awaitResponse(conn, reader); err != nil {
		return Response{}, false, err
	}
	if err := incoming.Header.Read(reader); err != nil {
		return Response{}, false, err
	}
	response.Status = incoming.StatusCode()
	if incoming.Header.ContentLength() == identityLength && response.Status != fasthttp.StatusNoContent {
		// The end of the connection marks the end of the body, so a lost connection could have cut it off.
		return response, false, errors.New("response has neither a content length nor chunked encoding")
	}
	if response.Status == fasthttp.StatusNoContent {
		return response, !incoming.ConnectionClose() && reader.Buffered() == 0, nil
	}
	if err := incoming.ReadBody(reader, int(request.MaxResponseBytes)); err != nil {
		return response, false, err
	}
	response.Body = slices.Clone(incoming.Body())
	return response, !incoming.ConnectionClose() && reader.Buffered() == 0, nil
}

// awaitResponse waits for the first byte of a response. A response that arrived in time counts although a busy process
// gets to it after the deadline: without this, an instance that is short of processor time would take all its workers
// for silent.
func awaitResponse(conn net.Conn, reader *bufio.Reader) error {
	_, err := reader.Peek(1)
	if !errors.Is(err, os.ErrDeadlineExceeded) || !responseWaits(conn) {
		return err
	}
	if err := conn.SetDeadline(time.Now().Add(lateReadTime)); err != nil {
		return err
	}
	_, err = reader.Peek(1)
	return err
}

// identityLength is the content length that fasthttp reports for a body that ends with the connection.
const identityLength = -2

func (pool *Pool) write(conn net.Conn, request *fasthttp.Request) error {
	writer, _ := pool.writers.Get().(*bufio.Writer)
	if writer == nil {
		writer = bufio.NewWriterSize(conn, bufferBytes)
	} else {
		writer.Reset(conn)
	}
	defer func() {
		writer.Reset(io.Discard)
		pool.writers.Put(writer)
	}()
	if err := request.Write(writer); err != nil {
		return err
	}
	return writer.Flush()
}

// enter returns the host at address and counts a request to it.
func (pool *Pool) enter(address netip.AddrPort) *host {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	entry := pool.hosts[address]
	if entry == nil {
		entry = &host{
			slots: make(chan struct{}, pool.options.MaxConns),
		}
		pool.hosts[address] = entry
	}
	entry.requests++
	return entry
}

// leave ends a request to the host at address.
func (pool *Pool) leave(address netip.AddrPort, host *host) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	host.requests--
	if host.requests == 0 && len(host.idle) == 0 {
		delete(pool.hosts, address)
	}
}

// connect returns an idle connection to host that is still open, or a new one.
func (pool *Pool) connect(ctx context.Context, address netip.AddrPort, host *host) (net.Conn, error) {
	for {
		conn := pool.takeIdle(host)
		if conn == nil {
			break
		}
		if time.Since(conn.usedAt) < idleConnTimeout && stillOpen(conn.Conn) {
			return conn.Conn, nil
		}
		_ = conn.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, pool.options.DialTimeout)
	defer cancel()
	return pool.options.Dial(ctx, "tcp", address.String())
}

// takeIdle removes the idle connection that was used last. It returns nil if there is none.
func (pool *Pool) takeIdle(host *host) *poolConn {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	last := len(host.idle) - 1
	if last < 0 {
		return nil
	}
	conn := host.idle[last]
	host.idle[last] = nil
	host.idle = host.idle[:last]
	return conn
}

// keep makes a connection idle. It returns false once the pool is closed.
func (pool *Pool) keep(host *host, conn net.Conn) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.closed {
		return false
	}
	host.idle = append(host.idle, &poolConn{
		Conn:   conn,
		usedAt: time.Now(),
	})
	return true
}

// closeIdle closes the idle connections to host that have not been used since a time.
func (pool *Pool) closeIdle(host *host, since time.Time) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	host.idle = slices.DeleteFunc(host.idle, func(conn *poolConn) bool {
		unused := conn.usedAt.Before(since)
		if unused {
			_ = conn.Close()
		}
		return unused
	})
}

func (pool *Pool) close() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.closed = true
	for _, host := range pool.hosts {
		for _, conn := range host.idle {
			_ = conn.Close()
		}
		host.idle = nil
	}
}

// responseWaits reports whether bytes of a response have arrived.
func responseWaits(conn net.Conn) bool {
	received, err := peek(conn)
	return err == nil && received > 0
}

// stillOpen reports whether the peer has neither closed nor reset an idle connection. A request on a closed one
// would end without an answer, and an order without an answer costs a run.
func stillOpen(conn net.Conn) bool {
	_, err := peek(conn)
	// Nothing to read is the only good state: data would be a response that nobody waits for.
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, errNoSyscalls)
}

// errNoSyscalls means that a connection is not one of the operating system.
var errNoSyscalls = errors.New("connection gives no access to its socket")

// peek looks for a received byte without waiting and without consuming it. The error is EAGAIN if there is none.
func peek(conn net.Conn) (received int, err error) {
	source, isSyscallConn := conn.(syscall.Conn)
	if !isSyscallConn {
		return 0, errNoSyscalls
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return 0, err
	}
	var buffer [1]byte
	var receiveErr error
	// Control does not heed the deadline of the last request, which may have passed.
	err = raw.Control(func(descriptor uintptr) {
		received, _, receiveErr = syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err
	}
	return received, receiveErr
}
