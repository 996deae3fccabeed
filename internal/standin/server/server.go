// Package server serves the HTTP interfaces of the stand-ins and counts the bytes on their connections.
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

// Options describe a server.
type Options struct {
	// Address is where to listen; port 0 takes a free one.
	Address netip.AddrPort
	Handler http.Handler
	// ConnContext and ConnState are those of http.Server.
	ConnContext func(ctx context.Context, conn net.Conn) context.Context
	ConnState   func(conn net.Conn, state http.ConnState)
}

// Server is a listening HTTP server.
type Server struct {
	http     *http.Server
	address  netip.AddrPort
	received atomic.Uint64
	sent     atomic.Uint64
}

// Start listens and serves until the clean-up function is called, which closes all connections.
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
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.http.Serve(&countingListener{
			Listener: listener,
			server:   server,
		})
	}()
	cleanup := sync.OnceFunc(func() {
		_ = server.http.Close()
		<-ended
	})
	return server, cleanup, nil
}

// Address returns the bound address.
func (server *Server) Address() netip.AddrPort {
	return server.address
}

// Bytes returns what was received and sent on all connections.
func (server *Server) Bytes() (received, sent uint64) {
	return server.received.Load(), server.sent.Load()
}

// Shutdown stops listening and waits for the calls in progress.
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

// Read decodes a JSON body of at most limit bytes. It answers bad ones itself and returns false.
func Read(writer http.ResponseWriter, request *http.Request, limit int64, value any) bool {
	err := json.NewDecoder(http.MaxBytesReader(writer, request.Body, limit)).Decode(value)
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

// Reply answers with a JSON document.
func Reply(writer http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(body)
}

// Delay waits for a duration, or drops the call when the server is closed. It does not depend on the
// caller, so that a delayed call takes effect after its caller gave up.
func Delay(closed <-chan struct{}, duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-closed:
		Drop()
	}
}

// Drop closes the connection of the call in progress without an answer.
func Drop() {
	panic(http.ErrAbortHandler)
}
