// Package keeper simulates the platform's key-value service and instance list. All state is in memory.
package keeper

import (
	"context"
	"maps"
	"net/netip"
	"sync"
	"time"

	"pomelomoor/internal/gateway/storer"
	"pomelomoor/internal/standin/server"
	"pomelomoor/internal/work/descriptor"
)

const (
	defaultWatchTimeout     = 25 * time.Second
	defaultHeartbeatTimeout = 5 * time.Second
)

// Options configures a keeper. Zero values select the defaults.
type Options struct {
	// Address is the listen address; port 0 picks a free port.
	Address netip.AddrPort
	// WatchTimeout is the time after which a watch returns even if its key has not changed.
	WatchTimeout time.Duration
	// HeartbeatTimeout is the time without a heartbeat after which an instance is removed from the list.
	HeartbeatTimeout time.Duration
	// Faults are the faults that are injected from the start.
	Faults Faults
}

// Faults selects the faults that the keeper injects.
type Faults struct {
	// Down refuses all calls to the store and ends the watches in progress. Leases still expire.
	Down bool
	// ListDown refuses all calls to the instance list.
	ListDown bool
	// Slow delays each call to the store. A delayed write is applied even if its client has given up.
	Slow descriptor.Duration
	// LoseAnswers is the number of puts and deletes from now on that are applied but get no response.
	LoseAnswers int
	// Lag is the time until a change of the instance list becomes visible to readers.
	Lag descriptor.Duration
}

// Counts holds the number of calls and bytes since the start.
type Counts struct {
	// Calls holds the number of calls by kind. Kinds are those of the store, and for the instance list List,
	// Unchanged, Announce and Withdraw. A watch counts once, however long it waits.
	Calls         map[string]uint64
	BytesReceived uint64
	BytesSent     uint64
}

// Keeper is a simulated key-value service with an instance list.
type Keeper struct {
	options Options
	server  *server.Server
	closed  chan struct{}

	mutex         sync.Mutex
	faults        Faults
	faultsChanged chan struct{} // closed and replaced when the faults change
	calls         map[string]uint64
	lastVersion   storer.Version
	entries       map[string]*entry
	watchChannels map[string]chan struct{}
	lastLease     storer.LeaseID
	leases        map[storer.LeaseID]*lease
	list          *list
}

type entry struct {
	value   []byte
	version storer.Version
	lease   storer.LeaseID
}

type lease struct {
	ttl         time.Duration
	expiresAt   time.Time
	expiryTimer *time.Timer
	keys        map[string]struct{}
}

// New returns a keeper that does not listen; the caller can serve its Handler.
func New(options Options) *Keeper {
	if options.WatchTimeout == 0 {
		options.WatchTimeout = defaultWatchTimeout
	}
	if options.HeartbeatTimeout == 0 {
		options.HeartbeatTimeout = defaultHeartbeatTimeout
	}
	return &Keeper{
		options:       options,
		closed:        make(chan struct{}),
		faults:        options.Faults,
		faultsChanged: make(chan struct{}),
		calls:         make(map[string]uint64),
		entries:       make(map[string]*entry),
		watchChannels: make(map[string]chan struct{}),
		leases:        make(map[storer.LeaseID]*lease),
		list:          newList(),
	}
}

// Start returns a listening keeper and a function that stops it.
func Start(options Options) (*Keeper, func(), error) {
	keeper := New(options)
	httpServer, stop, err := server.Start(server.Options{
		Address: options.Address,
		Handler: keeper.Handler(),
	})
	if err != nil {
		return nil, nil, err
	}
	keeper.server = httpServer
	cleanup := sync.OnceFunc(func() {
		close(keeper.closed)
		stop()
		keeper.stopTimers()
	})
	return keeper, cleanup, nil
}

// Address returns the bound address.
func (keeper *Keeper) Address() netip.AddrPort {
	return keeper.server.Address()
}

// Faults returns the faults that are injected now.
func (keeper *Keeper) Faults() Faults {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return keeper.faults
}

// SetFaults replaces the faults to inject.
func (keeper *Keeper) SetFaults(faults Faults) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.faults = faults
	close(keeper.faultsChanged)
	keeper.faultsChanged = make(chan struct{})
}

// Counts returns the number of calls and bytes since the start.
func (keeper *Keeper) Counts() Counts {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	counts := Counts{
		Calls: maps.Clone(keeper.calls),
	}
	if keeper.server != nil {
		counts.BytesReceived, counts.BytesSent = keeper.server.Bytes()
	}
	return counts
}

func (keeper *Keeper) countCall(kind string) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.calls[kind]++
}

// consumeLostResponse reports whether to drop the response to a write, and counts down Faults.LoseAnswers.
func (keeper *Keeper) consumeLostResponse() bool {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	if keeper.faults.LoseAnswers == 0 {
		return false
	}
	keeper.faults.LoseAnswers--
	return true
}

func (keeper *Keeper) stopTimers() {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	for _, lease := range keeper.leases {
		lease.expiryTimer.Stop()
	}
}

// Shutdown ends the watches in progress by setting Faults.Down, and waits for the other calls in progress.
func (keeper *Keeper) Shutdown(ctx context.Context) error {
	faults := keeper.Faults()
	faults.Down = true
	keeper.SetFaults(faults)
	return keeper.server.Shutdown(ctx)
}
