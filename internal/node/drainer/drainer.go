// Package drainer stops an HTTP server without interrupting calls. Callers use an open connection until they learn that
// it ends, so each response during the drain tells them so, and a connection without a call is closed only while
// nothing has been read from it. A call that would outlast the drain is told when it has to be answered.
package drainer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	// minIdle is how long a connection has to be without a call before it is closed. A caller that has used it later is
	// likely to use it again just then.
	minIdle = time.Second
	// minUnused replaces minIdle for a connection without any call so far.
	minUnused = 5 * time.Second
	// pollInterval is the time between looks at the connections that are still open.
	pollInterval = 10 * time.Millisecond
)

// Drainer serves HTTP on one listener.
type Drainer struct {
	server   *http.Server
	listener *trackingListener
	// nextConnState is the ConnState that the server had before; it may be nil.
	nextConnState func(net.Conn, http.ConnState)
	draining      atomic.Bool
	// minIdle is the constant, or less in tests.
	minIdle time.Duration
	// callsEnd is when all calls have to be answered, nil before EndCallsAt. callsEnded is done from then on.
	callsEnd   atomic.Pointer[time.Time]
	callsEnded context.Context
	endCalls   context.CancelFunc

	mutex sync.Mutex
	conns map[*conn]struct{}
}

// New returns a drainer that serves with server on listener. It wraps the server's Handler and
// ConnState.
func New(server *http.Server, listener net.Listener) *Drainer {
	drainer := &Drainer{
		server:        server,
		nextConnState: server.ConnState,
		minIdle:       minIdle,
		conns:         make(map[*conn]struct{}),
	}
	drainer.callsEnded, drainer.endCalls = context.WithCancel(context.Background())
	drainer.listener = &trackingListener{
		Listener:      listener,
		drainer:       drainer,
		closeListener: sync.OnceValue(listener.Close),
		closed:        make(chan struct{}),
	}
	next := server.Handler
	server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		closing := &closingWriter{
			ResponseWriter: writer,
			draining:       &drainer.draining,
		}
		ctx, cancel := drainer.callContext(request.Context())
		defer cancel()
		next.ServeHTTP(closing, request.WithContext(ctx))
		closing.beforeHeader()
	})
	server.ConnState = drainer.connState
	return drainer
}

// Address returns the address of the listener.
func (drainer *Drainer) Address() netip.AddrPort {
	address, _ := netip.ParseAddrPort(drainer.listener.Addr().String())
	return address
}

// Serve accepts connections until Shutdown or Close. It always returns an error.
func (drainer *Drainer) Serve() error {
	return drainer.server.Serve(drainer.listener)
}

// Start begins the drain: from now on each response closes its connection.
func (drainer *Drainer) Start() {
	drainer.draining.Store(true)
}

// EndCallsAt tells the calls that they have to be answered by a time: the contexts of those in progress are cancelled then,
// and those of later calls have it as their deadline. The handler answers a call whose context has ended.
func (drainer *Drainer) EndCallsAt(end time.Time) {
	drainer.callsEnd.Store(&end)
	time.AfterFunc(time.Until(end), drainer.endCalls)
}

// callContext returns the context of a call and a function that releases its resources.
func (drainer *Drainer) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if end := drainer.callsEnd.Load(); end != nil {
		return context.WithDeadline(ctx, *end)
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(drainer.callsEnded, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// Shutdown starts the drain, stops accepting, closes the connections that have been idle for a while, and waits for the
// calls in progress. If ctx ends first, it returns the error of ctx and leaves the calls as they are.
func (drainer *Drainer) Shutdown(ctx context.Context) error {
	drainer.Start()
	stopErr := drainer.listener.stop()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for drainer.closeIdle() && ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	return errors.Join(stopErr, drainer.server.Shutdown(ctx))
}

// closeIdle begins to close the connections that have been idle for long enough. It reports whether any is open.
func (drainer *Drainer) closeIdle() bool {
	drainer.mutex.Lock()
	defer drainer.mutex.Unlock()
	now := time.Now()
	for conn := range drainer.conns {
		conn.closeIdle(now)
	}
	return len(drainer.conns) > 0
}

// Close closes the listener and all connections at once.
func (drainer *Drainer) Close() error {
	return errors.Join(drainer.server.Close(), drainer.listener.Close())
}

func (drainer *Drainer) connState(netConn net.Conn, state http.ConnState) {
	conn, tracked := netConn.(*conn)
	if !tracked {
		return
	}
	if drainer.nextConnState != nil {
		drainer.nextConnState(netConn, state)
	}
	switch state {
	case http.StateIdle:
		conn.setIdle(time.Now().Add(drainer.minIdle))
	case http.StateNew, http.StateActive:
		// A connection is new when it is accepted, and active when something is read.
	case http.StateClosed, http.StateHijacked:
		drainer.mutex.Lock()
		defer drainer.mutex.Unlock()
		delete(drainer.conns, conn)
	}
}

// trackingListener gives each connection that it accepts to the drainer.
type trackingListener struct {
	net.Listener

	drainer *Drainer
	// closeListener closes the underlying listener, and closed is closed by Close.
	closeListener func() error
	stopped       atomic.Bool
	closed        chan struct{}
	closeOnce     sync.Once
}

func (listener *trackingListener) Accept() (net.Conn, error) {
	netConn, err := listener.Listener.Accept()
	if err != nil {
		if listener.stopped.Load() {
			<-listener.closed
		}
		return nil, err
	}
	accepted := &conn{
		Conn:      netConn,
		idleUntil: time.Now().Add(minUnused),
	}
	listener.drainer.mutex.Lock()
	defer listener.drainer.mutex.Unlock()
	listener.drainer.conns[accepted] = struct{}{}
	return accepted, nil
}

// stop ends the accepting of connections. The server, which takes that for a failure, learns of it by Close.
func (listener *trackingListener) stop() error {
	listener.stopped.Store(true)
	return listener.closeListener()
}

// Close implements net.Listener.
func (listener *trackingListener) Close() error {
	listener.closeOnce.Do(func() {
		close(listener.closed)
	})
	return listener.closeListener()
}

// closingWriter closes the connection with a response whose header is written during a drain. A call that arrived
// before the drain would otherwise leave its connection open.
type closingWriter struct {
	http.ResponseWriter

	draining *atomic.Bool
	written  bool
}

func (writer *closingWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		writer.beforeHeader()
	}
	writer.ResponseWriter.WriteHeader(status)
}

func (writer *closingWriter) Write(body []byte) (int, error) {
	writer.beforeHeader()
	return writer.ResponseWriter.Write(body)
}

func (writer *closingWriter) beforeHeader() {
	if !writer.written && writer.draining.Load() {
		writer.Header().Set("Connection", "close")
	}
	writer.written = true
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (writer *closingWriter) Unwrap() http.ResponseWriter {
	return writer.ResponseWriter
}
