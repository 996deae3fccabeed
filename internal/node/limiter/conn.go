package limiter

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// receiveBufferBytes is the receive buffer of a connection until its body is admitted, so that bytes which wait to be
	// read stay bounded. The first flight of a TCP sender, 14 KB, fits in.
	receiveBufferBytes = 16 << 10
	// bodyBufferBytes is the receive buffer while a longer body is read. A link of 10 Mbit/s with a round trip of 50 ms
	// needs as much.
	bodyBufferBytes = 64 << 10
	// grownBytes is the part of the maximum of the budget for each connection with such a buffer. The kernel allots twice
	// the size that it is asked for.
	grownBytes = 2 * bodyBufferBytes
	// writeTimeout limits how long a write may be blocked by a client that does not read.
	writeTimeout = 10 * time.Second
)

// Listen listens on a TCP address with small receive buffers. Connections take the buffer size of their listener.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(descriptor uintptr) {
				// Without a smaller buffer the listener works as well, with more memory of the kernel.
				_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
			})
		},
	}
	return config.Listen(ctx, "tcp", address)
}

// Limit makes a server and its listener subject to the limits of the port. It replaces the server's Handler, ConnContext
// and ConnState, and returns the listener that the server has to use.
func (port *Port) Limit(server *http.Server, netListener net.Listener) net.Listener {
	next := server.Handler
	server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		port.serve(next, writer, request)
	})
	server.ConnContext = func(ctx context.Context, netConn net.Conn) context.Context {
		if conn := unwrap(netConn); conn != nil {
			return context.WithValue(ctx, connKey{}, conn)
		}
		return ctx
	}
	server.ConnState = func(netConn net.Conn, state http.ConnState) {
		if conn := unwrap(netConn); conn != nil && state == http.StateIdle {
			port.limiter.idle(conn.account, time.Now())
		}
	}
	return &listener{
		Listener: netListener,
		port:     port,
		isHTTP:   true,
	}
}

// LimitListener returns a listener that bounds the connections of netListener, whatever protocol they carry. A connection
// counts as idle since its last bytes arrived. New connections do not wait for a place, so that what they send is not left
// in the large receive buffers of such listeners.
func (port *Port) LimitListener(netListener net.Listener) net.Listener {
	return &listener{
		Listener: netListener,
		port:     port,
	}
}

func (port *Port) serve(next http.Handler, writer http.ResponseWriter, request *http.Request) {
	conn, limited := request.Context().Value(connKey{}).(*conn)
	if !limited {
		next.ServeHTTP(writer, request)
		return
	}
	if port.limiter.begin(conn.account, awaitsBody(request), time.Now) != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() {
		port.limiter.end(conn.account, time.Now())
	}()
	if port.limiter.isLast(conn.account, time.Now) {
		writer.Header().Set("Connection", "close")
	}
	if !conn.reserveHeader(request) {
		panic(http.ErrAbortHandler)
	}
	next.ServeHTTP(writer, request)
}

// awaitsBody reports whether a request is carried out only once its body has been read.
func awaitsBody(request *http.Request) bool {
	return request.ContentLength != 0 && (request.Method == http.MethodPost || request.Method == http.MethodPut)
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// unwrap returns the connection of this package within netConn, or nil.
func unwrap(netConn net.Conn) *conn {
	for {
		switch wrapped := netConn.(type) {
		case *conn:
			return wrapped
		case interface{ NetConn() net.Conn }:
			netConn = wrapped.NetConn()
		default:
			return nil
		}
	}
}

type listener struct {
	net.Listener

	port *Port
	// isHTTP means that the server tells the limiter of the calls on its connections.
	isHTTP bool
}

// Accept implements net.Listener. While there is no place for a connection, further ones wait in the queue of the kernel,
// so that those who are being served come to an end in turn. It closes a connection that has waited for too long.
func (listener *listener) Accept() (net.Conn, error) {
	for {
		netConn, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		accepted := &conn{
			Conn:    netConn,
			limiter: listener.port.limiter,
			isHTTP:  listener.isHTTP,
		}
		if accepted.account = listener.awaitPlace(accepted.abort); accepted.account != nil {
			if !listener.isHTTP {
				// Batches between instances go over links between regions. Before a connection is accepted, what
				// arrives on it is bounded by the buffer of the listener.
				accepted.setReceiveBuffer()
			}
			return accepted, nil
		}
		listener.port.limiter.refuse(listener.port, ReasonConnections)
		// The client learns of the close, whether it fails here or not.
		_ = netConn.Close()
	}
}

// awaitPlace returns the account of a new connection, or nil if there was no place for it in time.
func (listener *listener) awaitPlace(closeConn func()) *account {
	for start := time.Now(); ; time.Sleep(admissionInterval) {
		now := time.Now()
		admitted, victim := listener.port.admit(now, closeConn)
		if victim != nil {
			victim.close()
		}
		if admitted != nil {
			return admitted
		}
		if !listener.isHTTP || now.Sub(start) > maxAdmission {
			listener.port.giveUp()
			return nil
		}
	}
}

// conn is a connection that counts towards the limits of its port.
type conn struct {
	net.Conn

	limiter   *Limiter
	account   *account
	isHTTP    bool
	closeOnce sync.Once
	closeErr  error
}

// Read implements net.Conn. It fails if there is no room for what it has read of a header.
func (conn *conn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if count == 0 {
		return count, err
	}
	if receiveErr := conn.received(buffer[:count]); receiveErr != nil {
		// net/http answers to other errors as if the client had made a mistake.
		return 0, &net.OpError{
			Op:  "read",
			Err: receiveErr,
		}
	}
	return count, err
}

// received notes bytes that have arrived. It returns an error if the connection gave way, or if there is no room for what
// they are decoded to.
func (conn *conn) received(arrived []byte) error {
	if !conn.isHTTP {
		return conn.limiter.active(conn.account, time.Now())
	}
	lines := bytes.Count(arrived, []byte{'\n'})
	reserve, err := conn.limiter.received(conn.account, int64(len(arrived)), int64(lines), time.Now)
	if err == nil && reserve > 0 {
		return conn.await(context.Background(), reserve, ReasonHeader)
	}
	return err
}

// reserveHeader reserves the memory of a decoded header. Short lines take much more than they have bytes, and the header
// of a pipelined call may have been read together with the call before.
func (conn *conn) reserveHeader(request *http.Request) bool {
	size, lines := 0, 0
	for name, values := range request.Header {
		lines += len(values)
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	reserve := conn.limiter.decoded(conn.account, int64(size), int64(lines))
	return reserve == 0 || conn.await(request.Context(), reserve, ReasonHeader) == nil
}

// reserve takes bytes from the budget without waiting. Stalled connections are closed for it.
func (conn *conn) reserve(bytes int64) bool {
	granted, victims := conn.limiter.reserve(conn.account, bytes, time.Now())
	for _, victim := range victims {
		victim.close()
	}
	if !granted {
		conn.limiter.collect()
	}
	return granted
}

// await takes bytes from the budget and waits for them if there is hope. The reason is that of a refusal.
func (conn *conn) await(ctx context.Context, bytes int64, reason Reason) error {
	if conn.reserve(bytes) {
		return nil
	}
	if bytes <= conn.limiter.maxBytes && conn.limiter.startWaiting() {
		defer conn.limiter.stopWaiting()
		ctx, cancel := context.WithTimeout(ctx, maxWait)
		defer cancel()
		ticker := time.NewTicker(waitInterval)
		defer ticker.Stop()
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-ticker.C:
				if conn.reserve(bytes) {
					return nil
				}
			}
		}
	}
	conn.limiter.refuse(conn.account.port, reason)
	return ErrNoRoom
}

// Write implements net.Conn.
func (conn *conn) Write(buffer []byte) (int, error) {
	now := time.Now()
	conn.limiter.blocked(conn.account, now)
	// A deadline that cannot be set means that the connection is closed, so that the write fails.
	_ = conn.SetWriteDeadline(now.Add(writeTimeout))
	count, err := conn.Conn.Write(buffer)
	conn.limiter.blocked(conn.account, time.Time{})
	return count, err
}

// Close implements net.Conn.
func (conn *conn) Close() error {
	conn.closeOnce.Do(func() {
		conn.closeErr = conn.Conn.Close()
		conn.limiter.leave(conn.account)
	})
	return conn.closeErr
}

// abort closes the connection for the sake of others.
func (conn *conn) abort() {
	// The connection is lost, whatever the error.
	_ = conn.Close()
}

// growReceiveBuffer makes room for a body that is longer than the first receive buffer. While many connections have that
// room, further bodies arrive through the first one.
func (conn *conn) growReceiveBuffer() {
	if conn.limiter.grow(conn.account) {
		conn.setReceiveBuffer()
	}
}

// setReceiveBuffer gives the connection the receive buffer for long messages.
func (conn *conn) setReceiveBuffer() {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	// A body that arrives through a small buffer is slower and complete all the same.
	_ = raw.Control(func(descriptor uintptr) {
		_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bodyBufferBytes)
		_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, syscall.TCP_WINDOW_CLAMP, bodyBufferBytes)
	})
}

// CloseWrite lets net/http end an answer without a reset that could overtake it.
func (conn *conn) CloseWrite() error {
	if closer, canClose := conn.Conn.(interface{ CloseWrite() error }); canClose {
		return closer.CloseWrite()
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (conn *conn) SyscallConn() (syscall.RawConn, error) {
	source, isSyscallConn := conn.Conn.(syscall.Conn)
	if !isSyscallConn {
		return nil, syscall.ENOTSUP
	}
	return source.SyscallConn()
}
