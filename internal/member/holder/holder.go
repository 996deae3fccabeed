// Package holder holds an entry instance's store lease and the shard owner keys tied to it.
package holder

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/gateway/storer"
	"pomelomoor/internal/work/descriptor"
)

// Defaults of the lease.
const (
	DefaultTTL    = 4 * time.Second
	DefaultRenew  = time.Second
	DefaultMargin = 500 * time.Millisecond
)

// Authority tells what the instance may do with the shards it owns.
type Authority int

// The degrees of authority.
const (
	// AuthorityNone means that the lease is lost: nothing may be done.
	AuthorityNone Authority = iota
	// AuthorityRenew means that the lease may have lapsed while the store could not be reached:
	// only tasks already running may be kept alive.
	AuthorityRenew
	// AuthorityAct means that the lease is held.
	AuthorityAct
)

// Errors of the holder.
var (
	// ErrNoLease means that the instance holds no lease at the moment.
	ErrNoLease = errors.New("holder: no lease")
	// ErrOwned means that another instance owns the shard.
	ErrOwned = errors.New("holder: shard is owned by another instance")
	// ErrStore means that the store could not be asked.
	ErrStore = errors.New("holder: store did not answer")
)

// Holder holds one lease. ID and Store have to be set; other zero values mean the defaults.
type Holder struct {
	// ID is the instance's ID and the value of its owner keys.
	ID    string
	Store storer.Store
	TTL   time.Duration
	Renew time.Duration
	// Margin is the part of the TTL that is not relied on.
	Margin time.Duration
	// OnLost is called when the lease is found to have expired. All ownership ends with it.
	OnLost func()
	// OnReachable is called when the store becomes reachable or unreachable.
	OnReachable func(reachable bool, err error)

	mutex     sync.Mutex
	lease     storer.LeaseID
	deadline  time.Time
	reachable bool
	asked     bool
}

// Serve keeps the lease until ctx ends, then revokes it.
func (holder *Holder) Serve(ctx context.Context) error {
	ticker := time.NewTicker(or(holder.Renew, DefaultRenew))
	defer ticker.Stop()
	for {
		holder.refresh(ctx)
		select {
		case <-ctx.Done():
			holder.release(context.WithoutCancel(ctx))
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func or(value, standard time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return standard
}

// refresh renews the lease, or grants one when there is none.
// The deadline counts from before the call, since the store's clock starts later.
func (holder *Holder) refresh(ctx context.Context) {
	ttl := or(holder.TTL, DefaultTTL)
	begun := time.Now()
	lease := holder.current()
	var err error
	if lease == 0 {
		lease, err = holder.Store.Grant(ctx, ttl)
	} else {
		err = holder.Store.Renew(ctx, lease)
	}
	if ctx.Err() != nil {
		return
	}
	switch {
	case err == nil:
		holder.setLease(lease, begun.Add(ttl-or(holder.Margin, DefaultMargin)))
		holder.setReachable(true, nil)
	case errors.Is(err, storer.ErrLeaseExpired):
		holder.setLease(0, time.Time{})
		holder.setReachable(true, nil)
		if holder.OnLost != nil {
			holder.OnLost()
		}
	default:
		holder.setReachable(false, err)
	}
}

func (holder *Holder) current() storer.LeaseID {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	return holder.lease
}

func (holder *Holder) setLease(lease storer.LeaseID, deadline time.Time) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	holder.lease = lease
	holder.deadline = deadline
}

func (holder *Holder) setReachable(reachable bool, err error) {
	holder.mutex.Lock()
	changed := !holder.asked || holder.reachable != reachable
	holder.asked = true
	holder.reachable = reachable
	holder.mutex.Unlock()
	if changed && holder.OnReachable != nil {
		holder.OnReachable(reachable, err)
	}
}

func (holder *Holder) release(ctx context.Context) {
	lease := holder.current()
	holder.setLease(0, time.Time{})
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, or(holder.Renew, DefaultRenew))
	defer cancel()
	// A lease that cannot be revoked lapses by itself.
	_ = holder.Store.Revoke(ctx, lease)
}

// Authority returns what may be done at this moment. Call it immediately before an effect:
// the process may have been paused since the last call.
func (holder *Holder) Authority() Authority {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	switch {
	case holder.lease == 0:
		return AuthorityNone
	case time.Now().Before(holder.deadline):
		return AuthorityAct
	default:
		return AuthorityRenew
	}
}

// Reachable reports whether the store answered the last call.
func (holder *Holder) Reachable() bool {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	return holder.reachable
}

// OwnerKey returns the key that names a shard's owner.
func OwnerKey(shard descriptor.ShardID) string {
	return "shards/" + string(shard) + "/owner"
}

// Acquire makes the instance the owner of a shard, or returns ErrOwned, ErrNoLease or ErrStore.
func (holder *Holder) Acquire(ctx context.Context, shard descriptor.ShardID) error {
	lease := holder.current()
	if lease == 0 || holder.Authority() != AuthorityAct {
		return ErrNoLease
	}
	key := OwnerKey(shard)
	_, err := holder.Store.Put(ctx, key, holder.claim(lease), 0, lease)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, storer.ErrConflict), errors.Is(err, storer.ErrUncertain):
		return holder.confirm(ctx, key, lease)
	case errors.Is(err, storer.ErrLeaseExpired):
		return ErrNoLease
	default:
		return errors.Wrap(ErrStore, err.Error())
	}
}

// claim is the value of an owner key. It names the lease, so that a claim of an earlier lease
// of the same instance is not mistaken for the current one.
func (holder *Holder) claim(lease storer.LeaseID) []byte {
	return fmt.Appendf(nil, "%s %d", holder.ID, lease)
}

func (holder *Holder) confirm(ctx context.Context, key string, lease storer.LeaseID) error {
	entry, err := holder.Store.Get(ctx, key)
	switch {
	case err == nil && string(entry.Value) == string(holder.claim(lease)):
		return nil
	case err == nil, errors.Is(err, storer.ErrNotFound):
		return ErrOwned
	default:
		return errors.Wrap(ErrStore, err.Error())
	}
}

// Release gives a shard up, so that another instance can own it at once.
func (holder *Holder) Release(ctx context.Context, shard descriptor.ShardID) error {
	key := OwnerKey(shard)
	entry, err := holder.Store.Get(ctx, key)
	if errors.Is(err, storer.ErrNotFound) {
		return nil
	}
	if err != nil {
		return errors.Wrap(ErrStore, err.Error())
	}
	if string(entry.Value) != string(holder.claim(holder.current())) {
		return nil
	}
	if err := holder.Store.Delete(ctx, key, entry.Version); err != nil && !errors.Is(err, storer.ErrConflict) {
		return errors.Wrap(ErrStore, err.Error())
	}
	return nil
}
