// Package holder keeps an entry instance's store lease and manages the shard owner keys tied to it.
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
	DefaultTTL           = 4 * time.Second
	DefaultRenewInterval = time.Second
	DefaultSafetyMargin  = 500 * time.Millisecond
)

// Authority is what the instance may do with the shards it owns.
type Authority int

// The levels of authority.
const (
	// AuthorityNone means that there is no lease: the instance may do nothing.
	AuthorityNone Authority = iota
	// AuthorityRenewOnly means that the lease may have expired because it was not renewed in time: the
	// instance may only keep running tasks alive.
	AuthorityRenewOnly
	// AuthorityFull means that the lease is valid.
	AuthorityFull
)

// Errors returned by Acquire and Release.
var (
	// ErrNoLease means that the instance holds no valid lease.
	ErrNoLease = errors.New("holder: no lease")
	// ErrOwned means that another instance owns the shard.
	ErrOwned = errors.New("holder: shard is owned by another instance")
	// ErrStore means that a call to the store failed. The owner key may or may not have changed.
	ErrStore = errors.New("holder: store did not respond")
)

// Holder keeps one lease. ID and Store are required; other zero values mean the defaults.
type Holder struct {
	// ID is the instance's ID, which is part of the value of its owner keys.
	ID            string
	Store         storer.Store
	TTL           time.Duration
	RenewInterval time.Duration
	// SafetyMargin is subtracted from the TTL to get the time during which the lease is taken to be valid.
	SafetyMargin time.Duration
	// OnExpired is called when the store reports that the lease has expired, which ended ownership of all shards.
	OnExpired func()
	// OnReachable is called when the store becomes reachable or unreachable.
	OnReachable func(reachable bool, err error)

	mutex     sync.Mutex
	lease     storer.LeaseID
	deadline  time.Time
	reachable bool
	contacted bool
}

// Serve keeps the lease renewed until ctx is cancelled, then revokes it.
func (holder *Holder) Serve(ctx context.Context) error {
	ticker := time.NewTicker(orDefault(holder.RenewInterval, DefaultRenewInterval))
	defer ticker.Stop()
	for {
		holder.refresh(ctx)
		select {
		case <-ctx.Done():
			holder.revoke(context.WithoutCancel(ctx))
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}

// refresh renews the lease, or requests one if there is none. The deadline counts from before the call,
// because the store starts the TTL later.
func (holder *Holder) refresh(ctx context.Context) {
	ttl := orDefault(holder.TTL, DefaultTTL)
	startedAt := time.Now()
	lease := holder.currentLease()
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
		holder.setLease(lease, startedAt.Add(ttl-orDefault(holder.SafetyMargin, DefaultSafetyMargin)))
		holder.setReachable(true, nil)
	case errors.Is(err, storer.ErrLeaseExpired):
		holder.setLease(0, time.Time{})
		holder.setReachable(true, nil)
		if holder.OnExpired != nil {
			holder.OnExpired()
		}
	default:
		holder.setReachable(false, err)
	}
}

func (holder *Holder) currentLease() storer.LeaseID {
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
	changed := !holder.contacted || holder.reachable != reachable
	holder.contacted = true
	holder.reachable = reachable
	holder.mutex.Unlock()
	if changed && holder.OnReachable != nil {
		holder.OnReachable(reachable, err)
	}
}

func (holder *Holder) revoke(ctx context.Context) {
	lease := holder.currentLease()
	holder.setLease(0, time.Time{})
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orDefault(holder.RenewInterval, DefaultRenewInterval))
	defer cancel()
	// A lease that cannot be revoked expires by itself.
	_ = holder.Store.Revoke(ctx, lease)
}

// Authority returns what the instance may do at this moment. Call it immediately before each effect,
// because the process may have been paused since the last call.
func (holder *Holder) Authority() Authority {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	switch {
	case holder.lease == 0:
		return AuthorityNone
	case time.Now().Before(holder.deadline):
		return AuthorityFull
	default:
		return AuthorityRenewOnly
	}
}

// Reachable reports whether the store responded to the last call.
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
	lease := holder.currentLease()
	if lease == 0 || holder.Authority() != AuthorityFull {
		return ErrNoLease
	}
	key := OwnerKey(shard)
	_, err := holder.Store.Put(ctx, key, holder.ownerValue(lease), 0, lease)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, storer.ErrConflict), errors.Is(err, storer.ErrUncertain):
		return holder.confirmOwner(ctx, key, lease)
	case errors.Is(err, storer.ErrLeaseExpired):
		return ErrNoLease
	default:
		return errors.Wrap(ErrStore, err.Error())
	}
}

// ownerValue returns the value of an owner key. It contains the lease, so that a key written under an
// earlier lease of the same instance is not mistaken for one of the current lease.
func (holder *Holder) ownerValue(lease storer.LeaseID) []byte {
	return fmt.Appendf(nil, "%s %d", holder.ID, lease)
}

// confirmOwner reads the owner key after a conflict or an unknown outcome, and returns ErrOwned unless the
// instance wrote it under this lease.
func (holder *Holder) confirmOwner(ctx context.Context, key string, lease storer.LeaseID) error {
	entry, err := holder.Store.Get(ctx, key)
	switch {
	case err == nil && string(entry.Value) == string(holder.ownerValue(lease)):
		return nil
	case err == nil, errors.Is(err, storer.ErrNotFound):
		return ErrOwned
	default:
		return errors.Wrap(ErrStore, err.Error())
	}
}

// Release deletes the owner key of a shard, if the instance owns it, so that another instance can acquire
// it at once.
func (holder *Holder) Release(ctx context.Context, shard descriptor.ShardID) error {
	key := OwnerKey(shard)
	entry, err := holder.Store.Get(ctx, key)
	if errors.Is(err, storer.ErrNotFound) {
		return nil
	}
	if err != nil {
		return errors.Wrap(ErrStore, err.Error())
	}
	if string(entry.Value) != string(holder.ownerValue(holder.currentLease())) {
		return nil
	}
	if err := holder.Store.Delete(ctx, key, entry.Version); err != nil && !errors.Is(err, storer.ErrConflict) {
		return errors.Wrap(ErrStore, err.Error())
	}
	return nil
}
