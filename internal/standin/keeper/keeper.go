// Package keeper is a stand-in for the platform's key-value service and instance list.
// Its state is in memory only.
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
	defaultWatchLimit = 25 * time.Second
	defaultSilence    = 5 * time.Second
)

// Options describe a keeper. Zero values mean the defaults.
type Options struct {
	// Address is where to listen; port 0 takes a free one.
	Address netip.AddrPort
	// WatchLimit is the longest wait of a watch.
	WatchLimit time.Duration
	// Silence is how long an instance may go without a heartbeat before it is no longer listed.
	Silence time.Duration
	// Faults are in force from the start.
	Faults Faults
}

// Faults are the keeper's fault switches.
type Faults struct {
	// Down refuses all calls to the store, and ends the waiting watches. Leases keep running out.
	Down bool
	// ListDown refuses all calls to the instance list.
	ListDown bool
	// Slow delays each call to the store. A delayed write takes effect even when its caller has given up.
	Slow descriptor.Duration
	// LoseAnswers is the number of coming puts and deletes whose answer is lost after they took effect.
	LoseAnswers int
	// Lag is how old the instance list is.
	Lag descriptor.Duration
}

// Counts are the calls and bytes so far.
type Counts struct {
	// Calls are counted by kind: the kinds of the store, and List, Unchanged, Announce and Withdraw.
	// A waiting watch is one call.
	Calls         map[string]uint64
	BytesReceived uint64
	BytesSent     uint64
}

// Keeper is a running key-value service with an instance list.
type Keeper struct {
	options Options
	server  *server.Server
	closed  chan struct{}

	mutex    sync.Mutex
	faults   Faults
	changed  chan struct{} // closed and replaced when faults change
	calls    map[string]uint64
	version  storer.Version
	entries  map[string]*entry
	watchers map[string]chan struct{}
	lease    storer.LeaseID
	leases   map[storer.LeaseID]*lease
	list     *list
}

type entry struct {
	value   []byte
	version storer.Version
	lease   storer.LeaseID
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	timer   *time.Timer
	keys    map[string]struct{}
}

// New returns a keeper that does not listen. It serves its Handler.
func New(options Options) *Keeper {
	if options.WatchLimit == 0 {
		options.WatchLimit = defaultWatchLimit
	}
	if options.Silence == 0 {
		options.Silence = defaultSilence
	}
	return &Keeper{
		options:  options,
		closed:   make(chan struct{}),
		faults:   options.Faults,
		changed:  make(chan struct{}),
		calls:    make(map[string]uint64),
		entries:  make(map[string]*entry),
		watchers: make(map[string]chan struct{}),
		leases:   make(map[storer.LeaseID]*lease),
		list:     newList(),
	}
}

// Start returns a listening keeper and a function that ends it.
func Start(options Options) (*Keeper, func(), error) {
	keeper := New(options)
	started, stop, err := server.Start(server.Options{
		Address: options.Address,
		Handler: keeper.Handler(),
	})
	if err != nil {
		return nil, nil, err
	}
	keeper.server = started
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

// Faults returns the fault switches.
func (keeper *Keeper) Faults() Faults {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return keeper.faults
}

// SetFaults sets all fault switches.
func (keeper *Keeper) SetFaults(faults Faults) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.faults = faults
	close(keeper.changed)
	keeper.changed = make(chan struct{})
}

// Counts returns the calls and bytes so far.
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

func (keeper *Keeper) count(kind string) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.calls[kind]++
}

// takeLoss reports whether the answer of a write that took effect is to be lost.
func (keeper *Keeper) takeLoss() bool {
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
		lease.timer.Stop()
	}
}

// Shutdown marks the end to waiting watches and waits for the other calls in progress.
func (keeper *Keeper) Shutdown(ctx context.Context) error {
	faults := keeper.Faults()
	faults.Down = true
	keeper.SetFaults(faults)
	return keeper.server.Shutdown(ctx)
}
