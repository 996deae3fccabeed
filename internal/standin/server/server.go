// Package server runs the HTTP servers of the stand-ins, counts the bytes on their connections and announces
// them on the instance list.
package server

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const headerTimeout = 10 * time.Second

// Options configures a server.
type Options struct {
	// Address is the listen address; port 0 picks a free port.
	Address netip.AddrPort
	Handler http.Handler
	// ConnContext and ConnState are passed to http.Server.
	ConnContext func(ctx context.Context, conn net.Conn) context.Context
	ConnState   func(conn net.Conn, state http.ConnState)
}

// Server is an HTTP server that counts the bytes on its connections.
type Server struct {
	http     *http.Server
	address  netip.AddrPort
	received atomic.Uint64
	sent     atomic.Uint64
}

// Start listens and serves requests. The returned function closes the listener and all connections.
func Start(options Options) (*Server, func(), error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", options.Address.String())
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen")
	}
	server := &Server{
		http: &http.Server{
			Handler:           options.Handler,
			ReadHeaderTimeout: headerTimeout,
			ConnContext:       options.ConnContext,
			ConnState:         options.ConnState,
		},
		address: netip.MustParseAddrPort(listener.Addr().String()),
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.http.Serve(&countingListener{
			Listener: listener,
			server:   server,
		})
	}()
	cleanup := sync.OnceFunc(func() {
		_ = server.http.Close()
		<-served
	})
	return server, cleanup, nil
}

// Address returns the bound address.
func (server *Server) Address() netip.AddrPort {
	return server.address
}

// Bytes returns the number of bytes received and sent on all connections.
func (server *Server) Bytes() (received, sent uint64) {
	return server.received.Load(), server.sent.Load()
}

// Shutdown closes the listener and waits for the requests in progress.
func (server *Server) Shutdown(ctx context.Context) error {
	return server.http.Shutdown(ctx)
}

type countingListener struct {
	net.Listener
	server *Server
}

func (listener *countingListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{
		Conn:   conn,
		server: listener.server,
	}, nil
}

type countingConn struct {
	net.Conn
	server *Server
}

func (conn *countingConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	conn.server.received.Add(uint64(count))
	return count, err
}

func (conn *countingConn) Write(buffer []byte) (int, error) {
	count, err := conn.Conn.Write(buffer)
	conn.server.sent.Add(uint64(count))
	return count, err
}

// ReadJSON decodes a JSON body of at most maxBytes bytes. If that fails, it responds with an error and returns
// false.
func ReadJSON(writer http.ResponseWriter, request *http.Request, maxBytes int64, value any) bool {
	err := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxBytes)).Decode(value)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return true
	case errors.As(err, &tooLarge):
		http.Error(writer, err.Error(), http.StatusRequestEntityTooLarge)
	default:
		http.Error(writer, err.Error(), http.StatusBadRequest)
	}
	return false
}

// WriteJSON responds with value encoded as JSON.
func WriteJSON(writer http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(body)
}

// Delay waits for the duration, or aborts the request when closed is closed. It ignores the request's
// context, so that a delayed request takes effect even after its client has given up.
func Delay(closed <-chan struct{}, duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-closed:
		Abort()
	}
}

// Abort ends the current request handler and closes its connection without a response.
func Abort() {
	panic(http.ErrAbortHandler)
}
