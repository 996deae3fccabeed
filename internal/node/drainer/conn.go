package drainer

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// conn is an accepted connection. http.Server.Shutdown closes a connection that it takes for idle although the request
// may have been read meanwhile, so that a call is carried out and never answered. A conn is closed by a read deadline
// instead: a read either returns what has arrived, and the call is served, or it fails and nothing was read.
type conn struct {
	net.Conn

	mutex sync.Mutex
	// idleUntil is until when a connection without a call is kept; zero during a call.
	idleUntil time.Time
	// closing means that the read deadline of the connection has passed in order to close it.
	closing bool
	// readDeadline is the one that the server has set.
	readDeadline time.Time
}

func (conn *conn) setIdle(until time.Time) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.idleUntil = until
}

// closeIdle begins to close the connection if it has been idle for long enough.
func (conn *conn) closeIdle(now time.Time) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.closing || conn.idleUntil.IsZero() || now.Before(conn.idleUntil) {
		return
	}
	conn.closing = true
	// If it fails, the connection is closed already.
	_ = conn.Conn.SetReadDeadline(now)
}

// Read implements net.Conn.
func (conn *conn) Read(buffer []byte) (int, error) {
	for {
		count, err := conn.Conn.Read(buffer)
		if count > 0 {
			conn.keep()
			return count, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !conn.isClosing() || !pending(conn.Conn) {
			return count, err
		}
		// A request has arrived before this process got to read it.
		conn.keep()
	}
}

// NetConn returns the underlying connection.
func (conn *conn) NetConn() net.Conn {
	return conn.Conn
}

// CloseWrite lets net/http end an answer without a reset that could overtake it.
func (conn *conn) CloseWrite() error {
	if closer, canClose := conn.Conn.(interface{ CloseWrite() error }); canClose {
		return closer.CloseWrite()
	}
	return nil
}

func (conn *conn) isClosing() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return conn.closing
}

// keep notes that there is a call on the connection, which is not closed before its response.
func (conn *conn) keep() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.idleUntil = time.Time{}
	if conn.closing {
		conn.closing = false
		// If it fails, the next read does too.
		_ = conn.Conn.SetReadDeadline(conn.readDeadline)
	}
}

// SetReadDeadline implements net.Conn.
func (conn *conn) SetReadDeadline(deadline time.Time) error {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.readDeadline = deadline
	if conn.closing {
		return nil
	}
	return conn.Conn.SetReadDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (conn *conn) SetDeadline(deadline time.Time) error {
	if err := conn.SetReadDeadline(deadline); err != nil {
		return err
	}
	return conn.SetWriteDeadline(deadline)
}

// pending reports whether bytes have arrived that were not read.
func pending(netConn net.Conn) bool {
	source, isSyscallConn := netConn.(syscall.Conn)
	if !isSyscallConn {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	var buffer [1]byte
	received := 0
	if err := raw.Control(func(descriptor uintptr) {
		received, _, err = syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}); err != nil {
		return false
	}
	return err == nil && received > 0
}
