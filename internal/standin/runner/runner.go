// Package runner simulates an upstream runner, which serves interactive requests. Requests only wait for their
// service time.
package runner

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pomelomoor/internal/gateway/lister"
	"pomelomoor/internal/standin/server"
	"pomelomoor/internal/work/descriptor"
)

const (
	defaultSlots       = 8
	defaultConnections = 64
	// defaultLinger is longer than the usual lag of the instance list and than the polling interval of its
	// readers.
	defaultLinger = 5 * time.Second
)

// Options configures a runner. Zero values select the defaults.
type Options struct {
	ID      string
	Service string
	// Address is the listen address; port 0 picks a free port.
	Address netip.AddrPort
	Place   descriptor.Place
	// Slots is the maximum number of concurrent requests.
	Slots int
	// Connections is the maximum number of connections; requests on further ones are refused.
	Connections int
	// Linger is how long a runner that shuts down refuses requests before it closes its connections. A
	// refusal proves to the client that the request did not run; a closed connection does not.
	Linger time.Duration
	// ListAddresses are the addresses of the instance list; if empty, the runner is not listed.
	ListAddresses []netip.AddrPort
	// Faults are the faults that are injected from the start.
	Faults Faults
}

// Faults selects the faults that the runner injects.
type Faults struct {
	// Swap answers each request with the response to the one that finished before it.
	Swap bool
	// Late delays each response after the request has completed and its slot is free.
	Late descriptor.Duration
	// Truncate closes the connection in the middle of each response body.
	Truncate bool
	// Fail answers each request at once with status 500, without running it. The response does not say that
	// the request did not run.
	Fail bool
	// Down closes the connection of each request without running it.
	Down bool
	// LoseAnswers is the number of requests from now on that run but get no response.
	LoseAnswers int
	// Leaving lists the runner as leaving and refuses all requests.
	Leaving bool
}

// Record is the history entry of one request that started to run.
type Record struct {
	ID     string
	Caller string
	// Key is the client's identifier of the request, from its body.
	Key        string
	Idempotent bool
	// Trace is the W3C trace context that came with the request.
	Trace   string `json:",omitempty"`
	Started time.Time
	// Ended is zero while the request runs.
	Ended time.Time `json:",omitzero"`
	// Completed is false if the request was stopped before its service time had passed.
	Completed bool
}

// Runner is a simulated upstream runner.
type Runner struct {
	options      Options
	server       *server.Server
	announcement *server.Announcement
	closed       chan struct{}
	connections  atomic.Int64

	mutex        sync.Mutex
	faults       Faults
	busySlots    int
	lastResponse *response
	history      []Record
	refusals     map[string]uint64
}

// Start returns a listening runner and a function that stops it immediately.
func Start(options Options) (*Runner, func(), error) {
	if options.Slots == 0 {
		options.Slots = defaultSlots
	}
	if options.Connections == 0 {
		options.Connections = defaultConnections
	}
	if options.Linger == 0 {
		options.Linger = defaultLinger
	}
	runner := &Runner{
		options:      options,
		announcement: new(server.Announcement),
		closed:       make(chan struct{}),
		faults:       options.Faults,
		refusals:     make(map[string]uint64),
	}
	httpServer, stop, err := server.Start(server.Options{
		Address:     options.Address,
		Handler:     runner.Handler(),
		ConnContext: runner.countConnection,
		ConnState:   runner.handleConnState,
	})
	if err != nil {
		return nil, nil, err
	}
	runner.server = httpServer
	announcement, stopAnnouncing, err := server.Announce(options.ListAddresses, lister.Instance{
		ID:      options.ID,
		Role:    lister.RoleRunner,
		Service: options.Service,
		Address: httpServer.Address(),
		Place:   options.Place,
	})
	if err != nil {
		stop()
		return nil, nil, err
	}
	runner.mutex.Lock()
	runner.announcement = announcement
	runner.mutex.Unlock()
	announcement.SetLeaving(options.Faults.Leaving)
	cleanup := sync.OnceFunc(func() {
		close(runner.closed)
		stopAnnouncing()
		stop()
	})
	return runner, cleanup, nil
}

// overLimitKey is the context key for whether a connection exceeds the limit.
type overLimitKey struct{}

func (runner *Runner) countConnection(ctx context.Context, _ net.Conn) context.Context {
	overLimit := runner.connections.Add(1) > int64(runner.options.Connections)
	return context.WithValue(ctx, overLimitKey{}, overLimit)
}

func (runner *Runner) handleConnState(_ net.Conn, state http.ConnState) {
	if state == http.StateClosed {
		runner.connections.Add(-1)
	}
}

// Address returns the bound address.
func (runner *Runner) Address() netip.AddrPort {
	return runner.server.Address()
}

// Bytes returns the number of bytes received and sent on all connections.
func (runner *Runner) Bytes() (received, sent uint64) {
	return runner.server.Bytes()
}

// Faults returns the faults that are injected now.
func (runner *Runner) Faults() Faults {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	return runner.faults
}

// SetFaults replaces the faults to inject.
func (runner *Runner) SetFaults(faults Faults) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	if faults.Leaving != runner.faults.Leaving {
		runner.announcement.SetLeaving(faults.Leaving)
	}
	runner.faults = faults
}

// History returns all requests that started to run, oldest first.
func (runner *Runner) History() []Record {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	return slices.Clone(runner.history)
}

// Shutdown refuses new requests for Options.Linger, waits for those in progress and removes the runner from
// the instance list.
func (runner *Runner) Shutdown(ctx context.Context) error {
	faults := runner.Faults()
	faults.Leaving = true
	runner.SetFaults(faults)
	linger := time.NewTimer(runner.options.Linger)
	defer linger.Stop()
	select {
	case <-linger.C:
	case <-ctx.Done():
	}
	err := runner.server.Shutdown(ctx)
	runner.announcement.Withdraw(ctx)
	return err
}
