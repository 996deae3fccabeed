// Package runner is a stand-in for upstream runners, which answer interactive requests.
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
	// defaultLinger is longer than the instance list's usual lag and the interval of its readers.
	defaultLinger = 5 * time.Second
)

// Options describe a runner. Zero values mean the defaults.
type Options struct {
	ID      string
	Service string
	// Address is where to listen; port 0 takes a free one.
	Address netip.AddrPort
	Place   descriptor.Place
	// Slots is how many requests run at a time.
	Slots int
	// Connections is how many connections are served; requests on others are refused.
	Connections int
	// Linger is how long a runner that is shut down refuses requests before it closes its connections,
	// so that the other side reads a refusal, which proves that nothing was run.
	Linger time.Duration
	// Lists are the addresses of the instance list; without any the runner is not listed.
	Lists []netip.AddrPort
	// Faults are in force from the start.
	Faults Faults
}

// Faults are the runner's fault switches.
type Faults struct {
	// Swap gives each request the complete answer of the one that finished before it.
	Swap bool
	// Late delays each answer after the work is done and its slot is free.
	Late descriptor.Duration
	// Truncate ends the connection in the middle of each answer's body.
	Truncate bool
	// Fail answers each request at once with an error and does not run it, but gives no proof of that.
	Fail bool
	// Down drops each request without running it.
	Down bool
	// LoseAnswers is the number of coming requests that are run but not answered.
	LoseAnswers int
	// Leaving refuses all requests.
	Leaving bool
}

// Record is one request that began to run.
type Record struct {
	ID     string
	Caller string
	// Key is the caller's own key, from the body.
	Key        string
	Idempotent bool
	// Trace is the W3C trace context that came with the request.
	Trace   string `json:",omitempty"`
	Started time.Time
	// Ended is zero while the request runs.
	Ended time.Time `json:",omitzero"`
	// Completed is false when the work was stopped before its end.
	Completed bool
}

// Runner is a running upstream runner.
type Runner struct {
	options      Options
	server       *server.Server
	announcement *server.Announcement
	closed       chan struct{}
	connections  atomic.Int64

	mutex   sync.Mutex
	faults  Faults
	busy    int
	last    *answer
	history []Record
	refused map[string]uint64
}

// Start returns a listening runner and a function that ends it at once.
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
		refused:      make(map[string]uint64),
	}
	started, stop, err := server.Start(server.Options{
		Address:     options.Address,
		Handler:     runner.Handler(),
		ConnContext: runner.admit,
		ConnState:   runner.track,
	})
	if err != nil {
		return nil, nil, err
	}
	runner.server = started
	announcement, silence, err := server.Announce(options.Lists, lister.Instance{
		ID:      options.ID,
		Role:    lister.RoleRunner,
		Service: options.Service,
		Address: started.Address(),
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
		silence()
		stop()
	})
	return runner, cleanup, nil
}

// connectionKey is the context key of whether a connection is one too many.
type connectionKey struct{}

func (runner *Runner) admit(ctx context.Context, _ net.Conn) context.Context {
	excess := runner.connections.Add(1) > int64(runner.options.Connections)
	return context.WithValue(ctx, connectionKey{}, excess)
}

func (runner *Runner) track(_ net.Conn, state http.ConnState) {
	if state == http.StateClosed {
		runner.connections.Add(-1)
	}
}

// Address returns the bound address.
func (runner *Runner) Address() netip.AddrPort {
	return runner.server.Address()
}

// Bytes returns what was received and sent on all connections.
func (runner *Runner) Bytes() (received, sent uint64) {
	return runner.server.Bytes()
}

// Faults returns the fault switches.
func (runner *Runner) Faults() Faults {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	return runner.faults
}

// SetFaults sets all fault switches.
func (runner *Runner) SetFaults(faults Faults) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	if faults.Leaving != runner.faults.Leaving {
		runner.announcement.SetLeaving(faults.Leaving)
	}
	runner.faults = faults
}

// History returns all requests that began to run, in that order.
func (runner *Runner) History() []Record {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	return slices.Clone(runner.history)
}

// Shutdown refuses new requests for the time of Linger, waits for those in progress, and leaves the list.
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
