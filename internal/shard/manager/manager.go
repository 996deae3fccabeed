// Package manager decides which shards an entry instance owns: it takes shards that have no owner,
// gives surplus ones away, and hands all over when the instance stops.
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

// Defaults of the intervals.
const (
	DefaultInterval = 250 * time.Millisecond
	// DefaultOrphanAfter is how long a shard has to be without a claim before the second and later
	// candidates try to take it. The first candidate tries at once: the store refuses while the
	// previous owner's lease lives.
	DefaultOrphanAfter = 2 * time.Second
	// DefaultForeignAfter is how long a shard of another region has to be without a claim before it is
	// taken: its messages to workers would cross regions, and what is heard of that region may be late.
	DefaultForeignAfter = 10 * time.Second
	// refusedPause is the time between attempts on a shard that the store says is owned.
	refusedPause = time.Second
	// surplus is the difference in owned shards at which one is given away. A difference of one
	// cannot be improved.
	surplus = 2
)

// Shard is one shard of the cell.
type Shard struct {
	ID     descriptor.ShardID
	Region string
}

// Running is a shard driver at work.
type Running interface {
	// Stop ends the driver and returns when it will cause no further effect.
	Stop()
	// Ended is closed when the driver ended by itself, for instance because it was fenced.
	Ended() <-chan struct{}
}

// Ownership gets and gives up owner keys. *holder.Holder implements it.
type Ownership interface {
	Acquire(ctx context.Context, shard descriptor.ShardID) error
	Release(ctx context.Context, shard descriptor.ShardID) error
}

// View is what the manager asks of the membership.
type View interface {
	// Candidates returns the members that may own the shard, best first.
	Candidates(shard descriptor.ShardID, region string) []*peerpb.Member
	// Owner returns the member that claims the shard, or nil.
	Owner(shard descriptor.ShardID) *peerpb.Member
}

// Options configures a Manager. All fields but the durations have to be set.
type Options struct {
	// Self is the instance's ID, and Region its region.
	Self      string
	Region    string
	Shards    []Shard
	Ownership Ownership
	View      View
	// Start takes over a shard whose owner key was acquired.
	Start        func(ctx context.Context, shard descriptor.ShardID) (Running, error)
	Interval     time.Duration
	OrphanAfter  time.Duration
	ForeignAfter time.Duration
}

// Manager owns shards.
type Manager struct {
	options Options

	mutex    sync.Mutex
	running  map[descriptor.ShardID]Running
	draining bool

	orphaned map[descriptor.ShardID]time.Time
	retryAt  map[descriptor.ShardID]time.Time
}

// New returns a Manager.
func New(options Options) *Manager {
	if options.Interval == 0 {
		options.Interval = DefaultInterval
	}
	if options.OrphanAfter == 0 {
		options.OrphanAfter = DefaultOrphanAfter
	}
	if options.ForeignAfter == 0 {
		options.ForeignAfter = DefaultForeignAfter
	}
	return &Manager{
		options:  options,
		running:  map[descriptor.ShardID]Running{},
		orphaned: map[descriptor.ShardID]time.Time{},
		retryAt:  map[descriptor.ShardID]time.Time{},
	}
}

// Serve manages the shards until ctx ends, then hands them over.
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

// Running returns the driver of a shard that this instance owns.
func (manager *Manager) Running(shard descriptor.ShardID) (Running, bool) {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	running, ok := manager.running[shard]
	return running, ok
}

// Owned returns the drivers at work.
func (manager *Manager) Owned() map[descriptor.ShardID]Running {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	owned := make(map[descriptor.ShardID]Running, len(manager.running))
	for shard, running := range manager.running {
		owned[shard] = running
	}
	return owned
}

// Step takes and gives away what is due now. Serve calls it at the interval.
func (manager *Manager) Step(ctx context.Context, now time.Time) {
	for _, shard := range manager.options.Shards {
		running, ok := manager.Running(shard.ID)
		if !ok {
			manager.consider(ctx, now, shard)
			continue
		}
		select {
		case <-running.Ended():
			manager.remove(shard.ID)
			running.Stop()
			manager.giveUp(ctx, shard.ID)
		default:
		}
	}
	manager.balance(ctx, now)
}

// consider takes a shard that nobody claims, if this instance is the candidate to do so. The claim of
// an owner that does not reach the store counts for nothing: only the store tells whether its lease
// still lives, and without the store it places no work.
func (manager *Manager) consider(ctx context.Context, now time.Time, shard Shard) {
	if manager.isDraining() || now.Before(manager.retryAt[shard.ID]) {
		return
	}
	if owner := manager.options.View.Owner(shard.ID); owner != nil && owner.GetId() != manager.options.Self && owner.GetStoreReachable() {
		delete(manager.orphaned, shard.ID)
		return
	}
	since, ok := manager.orphaned[shard.ID]
	if !ok {
		since = now
		manager.orphaned[shard.ID] = now
	}
	rank := rankOf(manager.options.Self, manager.options.View.Candidates(shard.ID, shard.Region))
	delay := time.Duration(rank) * manager.options.OrphanAfter
	if shard.Region != manager.options.Region {
		delay += manager.options.ForeignAfter
	}
	if rank < 0 || now.Sub(since) < delay {
		return
	}
	manager.take(ctx, now, shard.ID)
}

func rankOf(id string, candidates []*peerpb.Member) int {
	for i, candidate := range candidates {
		if candidate.GetId() == id {
			return i
		}
	}
	return -1
}

func (manager *Manager) take(ctx context.Context, now time.Time, shard descriptor.ShardID) {
	if err := manager.options.Ownership.Acquire(ctx, shard); err != nil {
		manager.retryAt[shard] = now.Add(refusedPause)
		return
	}
	running, err := manager.options.Start(ctx, shard)
	if err != nil {
		manager.retryAt[shard] = now.Add(refusedPause)
		manager.giveUp(ctx, shard)
		return
	}
	delete(manager.orphaned, shard)
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	manager.running[shard] = running
}

func (manager *Manager) remove(shard descriptor.ShardID) {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	delete(manager.running, shard)
}

// giveUp deletes the owner key. If the store does not answer, the key ends with the lease.
func (manager *Manager) giveUp(ctx context.Context, shard descriptor.ShardID) {
	if err := manager.options.Ownership.Release(ctx, shard); err != nil && !errors.Is(err, holder.ErrStore) {
		return
	}
}

// balance gives one shard away: one of another region when a candidate there is live, or one that a
// candidate in the region with at least surplus fewer shards can take.
func (manager *Manager) balance(ctx context.Context, now time.Time) {
	owned := manager.Owned()
	for _, shard := range manager.options.Shards {
		running, ok := owned[shard.ID]
		if !ok || !manager.betterOwner(shard, len(owned)) {
			continue
		}
		manager.handOver(ctx, shard.ID, running)
		// The candidate takes the shard at once only if it ranks first; the pause leaves it the time.
		manager.retryAt[shard.ID] = now.Add(2 * manager.options.OrphanAfter)
		return
	}
}

func (manager *Manager) betterOwner(shard Shard, owned int) bool {
	foreign := shard.Region != manager.options.Region
	for _, candidate := range manager.options.View.Candidates(shard.ID, shard.Region) {
		if candidate.GetRegion() != shard.Region || candidate.GetId() == manager.options.Self {
			continue
		}
		if foreign || len(candidate.GetShards())+surplus <= owned {
			return true
		}
	}
	return false
}

func (manager *Manager) handOver(ctx context.Context, shard descriptor.ShardID, running Running) {
	manager.remove(shard)
	running.Stop()
	manager.giveUp(ctx, shard)
}

func (manager *Manager) isDraining() bool {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	return manager.draining
}

// Drain hands all shards over and takes no more.
func (manager *Manager) Drain(ctx context.Context) {
	manager.mutex.Lock()
	manager.draining = true
	manager.mutex.Unlock()
	for shard, running := range manager.Owned() {
		manager.handOver(ctx, shard, running)
	}
}

// LoseAll stops all drivers because the store lease expired. The keys are gone with it.
func (manager *Manager) LoseAll() {
	for shard, running := range manager.Owned() {
		manager.remove(shard)
		running.Stop()
	}
}
