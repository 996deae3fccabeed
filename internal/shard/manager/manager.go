// Package manager decides which shards an entry instance owns. It acquires shards that have no owner,
// releases shards that another instance should own, and releases all shards when the instance stops.
package manager

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/member/holder"
	"pomelomoor/internal/member/peerpb"
	"pomelomoor/internal/work/descriptor"
)

// Default and fixed intervals, and the threshold for rebalancing.
const (
	DefaultInterval = 250 * time.Millisecond
	// DefaultRankDelay is the delay per rank before a candidate tries to acquire a shard without an
	// owner: the first candidate tries at once, the second after this time, the third after twice this
	// time. The first needs no delay, because the store refuses the owner key while the previous
	// owner's lease is valid.
	DefaultRankDelay = 2 * time.Second
	// DefaultRemoteDelay is the additional delay before acquiring a shard of another region. Messages to
	// its workers would cross regions, and the membership view of that region may be out of date.
	DefaultRemoteDelay = 10 * time.Second
	// retryDelay is the time between attempts to acquire a shard after one that failed.
	retryDelay = time.Second
	// rebalanceThreshold is the difference in owned shards at which a shard is released to another
	// instance. Moving a shard would only reverse a difference of one.
	rebalanceThreshold = 2
)

// Shard is one shard of the cell.
type Shard struct {
	ID     descriptor.ShardID
	Region string
}

// Driver is a running shard driver.
type Driver interface {
	// Stop stops the driver and returns once it can have no further effect.
	Stop()
	// Ended returns a channel that is closed when the driver stops by itself, for example after being fenced.
	Ended() <-chan struct{}
}

// Ownership acquires and releases owner keys. *holder.Holder implements it.
type Ownership interface {
	Acquire(ctx context.Context, shard descriptor.ShardID) error
	Release(ctx context.Context, shard descriptor.ShardID) error
}

// Membership is the membership view that the manager needs.
type Membership interface {
	// Candidates returns the members that may own the shard, best first.
	Candidates(shard descriptor.ShardID, region string) []*peerpb.Member
	// Owner returns the member that claims the shard, or nil.
	Owner(shard descriptor.ShardID) *peerpb.Member
}

// Options configures a Manager. All fields except the durations are required.
type Options struct {
	// Self is the ID of this instance, and Region its region.
	Self       string
	Region     string
	Shards     []Shard
	Ownership  Ownership
	Membership Membership
	// Start starts the driver of a shard whose owner key was acquired.
	Start       func(ctx context.Context, shard descriptor.ShardID) (Driver, error)
	Interval    time.Duration
	RankDelay   time.Duration
	RemoteDelay time.Duration
}

// Manager acquires, runs and releases the shards of one instance.
type Manager struct {
	options Options

	mutex    sync.Mutex
	drivers  map[descriptor.ShardID]Driver
	draining bool

	orphanedSince map[descriptor.ShardID]time.Time
	retryAt       map[descriptor.ShardID]time.Time
}

// New returns a Manager.
func New(options Options) *Manager {
	if options.Interval == 0 {
		options.Interval = DefaultInterval
	}
	if options.RankDelay == 0 {
		options.RankDelay = DefaultRankDelay
	}
	if options.RemoteDelay == 0 {
		options.RemoteDelay = DefaultRemoteDelay
	}
	return &Manager{
		options:       options,
		drivers:       map[descriptor.ShardID]Driver{},
		orphanedSince: map[descriptor.ShardID]time.Time{},
		retryAt:       map[descriptor.ShardID]time.Time{},
	}
}

// Serve manages the shards until ctx is cancelled, then releases them.
func (manager *Manager) Serve(ctx context.Context) error {
	ticker := time.NewTicker(manager.options.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			manager.Drain(context.WithoutCancel(ctx))
			return ctx.Err()
		case <-ticker.C:
			manager.Step(ctx, time.Now())
		}
	}
}

// Driver returns the driver of a shard, if this instance owns it.
func (manager *Manager) Driver(shard descriptor.ShardID) (Driver, bool) {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	driver, ok := manager.drivers[shard]
	return driver, ok
}

// Drivers returns the drivers of the shards that this instance owns.
func (manager *Manager) Drivers() map[descriptor.ShardID]Driver {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	drivers := make(map[descriptor.ShardID]Driver, len(manager.drivers))
	for shard, driver := range manager.drivers {
		drivers[shard] = driver
	}
	return drivers
}

// Step acquires and releases the shards that are due at now. Serve calls it at every interval.
func (manager *Manager) Step(ctx context.Context, now time.Time) {
	for _, shard := range manager.options.Shards {
		driver, ok := manager.Driver(shard.ID)
		if !ok {
			manager.acquireIfOrphaned(ctx, now, shard)
			continue
		}
		select {
		case <-driver.Ended():
			manager.removeDriver(shard.ID)
			driver.Stop()
			manager.release(ctx, shard.ID)
		default:
		}
	}
	manager.rebalance(ctx, now)
}

// acquireIfOrphaned acquires a shard without an owner if this instance's turn among the candidates has come.
// An owner that cannot reach the store is ignored: it places no work without the store, and the store
// refuses the owner key while the owner's lease is valid.
func (manager *Manager) acquireIfOrphaned(ctx context.Context, now time.Time, shard Shard) {
	if manager.isDraining() || now.Before(manager.retryAt[shard.ID]) {
		return
	}
	if owner := manager.options.Membership.Owner(shard.ID); owner != nil && owner.GetId() != manager.options.Self && owner.GetStoreReachable() {
		delete(manager.orphanedSince, shard.ID)
		return
	}
	since, ok := manager.orphanedSince[shard.ID]
	if !ok {
		since = now
		manager.orphanedSince[shard.ID] = now
	}
	rank := rankOf(manager.options.Self, manager.options.Membership.Candidates(shard.ID, shard.Region))
	delay := time.Duration(rank) * manager.options.RankDelay
	if shard.Region != manager.options.Region {
		delay += manager.options.RemoteDelay
	}
	if rank < 0 || now.Sub(since) < delay {
		return
	}
	manager.acquire(ctx, now, shard.ID)
}

func rankOf(id string, candidates []*peerpb.Member) int {
	for i, candidate := range candidates {
		if candidate.GetId() == id {
			return i
		}
	}
	return -1
}

func (manager *Manager) acquire(ctx context.Context, now time.Time, shard descriptor.ShardID) {
	if err := manager.options.Ownership.Acquire(ctx, shard); err != nil {
		manager.retryAt[shard] = now.Add(retryDelay)
		return
	}
	driver, err := manager.options.Start(ctx, shard)
	if err != nil {
		manager.retryAt[shard] = now.Add(retryDelay)
		manager.release(ctx, shard)
		return
	}
	delete(manager.orphanedSince, shard)
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	manager.drivers[shard] = driver
}

func (manager *Manager) removeDriver(shard descriptor.ShardID) {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	delete(manager.drivers, shard)
}

// release deletes the owner key. If the store cannot be reached, the key is removed with the lease.
func (manager *Manager) release(ctx context.Context, shard descriptor.ShardID) {
	if err := manager.options.Ownership.Release(ctx, shard); err != nil && !errors.Is(err, holder.ErrStore) {
		return
	}
}

// rebalance releases at most one shard: one of another region if that region has a live candidate, or
// one of this region if a candidate here owns at least rebalanceThreshold fewer shards.
func (manager *Manager) rebalance(ctx context.Context, now time.Time) {
	drivers := manager.Drivers()
	for _, shard := range manager.options.Shards {
		driver, ok := drivers[shard.ID]
		if !ok || !manager.hasBetterOwner(shard, len(drivers)) {
			continue
		}
		manager.handOver(ctx, shard.ID, driver)
		// Only the first candidate acquires the shard at once, so leave the others time to do so.
		manager.retryAt[shard.ID] = now.Add(2 * manager.options.RankDelay)
		return
	}
}

func (manager *Manager) hasBetterOwner(shard Shard, ownedCount int) bool {
	remote := shard.Region != manager.options.Region
	for _, candidate := range manager.options.Membership.Candidates(shard.ID, shard.Region) {
		if candidate.GetRegion() != shard.Region || candidate.GetId() == manager.options.Self {
			continue
		}
		if remote || len(candidate.GetShards())+rebalanceThreshold <= ownedCount {
			return true
		}
	}
	return false
}

func (manager *Manager) handOver(ctx context.Context, shard descriptor.ShardID, driver Driver) {
	manager.removeDriver(shard)
	driver.Stop()
	manager.release(ctx, shard)
}

func (manager *Manager) isDraining() bool {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	return manager.draining
}

// Drain releases all shards and acquires no more.
func (manager *Manager) Drain(ctx context.Context) {
	manager.mutex.Lock()
	manager.draining = true
	manager.mutex.Unlock()
	for shard, driver := range manager.Drivers() {
		manager.handOver(ctx, shard, driver)
	}
}

// StopAll stops all drivers after the store lease has expired, which removed the owner keys.
func (manager *Manager) StopAll() {
	for shard, driver := range manager.Drivers() {
		manager.removeDriver(shard)
		driver.Stop()
	}
}
