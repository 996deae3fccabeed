package keeper

import (
	"context"
	"time"

	"pomelomoor/internal/gateway/storer"
)

func (keeper *Keeper) get(key string) (storer.Response, error) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	entry := keeper.entries[key]
	if entry == nil {
		return storer.Response{}, storer.ErrNotFound
	}
	return entry.response(), nil
}

func (entry *entry) response() storer.Response {
	if entry == nil {
		return storer.Response{}
	}
	return storer.Response{
		Value:   entry.value,
		Version: entry.version,
	}
}

func (entry *entry) currentVersion() storer.Version {
	if entry == nil {
		return 0
	}
	return entry.version
}

func (keeper *Keeper) put(call storer.Request) (storer.Response, error) {
	if len(call.Value) > storer.MaxValueBytes {
		return storer.Response{}, storer.ErrTooLarge
	}
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	if call.Lease != 0 && keeper.activeLease(call.Lease) == nil {
		return storer.Response{}, storer.ErrLeaseExpired
	}
	current := keeper.entries[call.Key]
	if current.currentVersion() != call.Version {
		return storer.Response{}, storer.ErrConflict
	}
	keeper.detachFromLease(call.Key)
	// With one counter for all keys, the versions of a key also increase across deletes.
	keeper.lastVersion++
	keeper.entries[call.Key] = &entry{
		value:   call.Value,
		version: keeper.lastVersion,
		lease:   call.Lease,
	}
	if call.Lease != 0 {
		keeper.leases[call.Lease].keys[call.Key] = struct{}{}
	}
	keeper.notifyWatches(call.Key)
	return storer.Response{
		Version: keeper.lastVersion,
	}, nil
}

func (keeper *Keeper) delete(key string, expected storer.Version) (storer.Response, error) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	current := keeper.entries[key]
	switch {
	case current == nil:
		return storer.Response{}, storer.ErrNotFound
	case current.version != expected:
		return storer.Response{}, storer.ErrConflict
	}
	keeper.removeKey(key)
	return storer.Response{}, nil
}

// removeKey deletes a key that exists. The caller holds the mutex.
func (keeper *Keeper) removeKey(key string) {
	keeper.detachFromLease(key)
	delete(keeper.entries, key)
	keeper.notifyWatches(key)
}

// detachFromLease removes the key from the lease it is bound to, if any. The caller holds the mutex.
func (keeper *Keeper) detachFromLease(key string) {
	current := keeper.entries[key]
	if current == nil || current.lease == 0 {
		return
	}
	if lease := keeper.leases[current.lease]; lease != nil {
		delete(lease.keys, key)
	}
}

// notifyWatches wakes up the watches of the key. The caller holds the mutex.
func (keeper *Keeper) notifyWatches(key string) {
	if keyChanged, ok := keeper.watchChannels[key]; ok {
		close(keyChanged)
		delete(keeper.watchChannels, key)
	}
}

// watchChannel returns the channel that the next change of the key closes. The caller holds the mutex.
func (keeper *Keeper) watchChannel(key string) chan struct{} {
	keyChanged, ok := keeper.watchChannels[key]
	if !ok {
		keyChanged = make(chan struct{})
		keeper.watchChannels[key] = keyChanged
	}
	return keyChanged
}

func (keeper *Keeper) watch(ctx context.Context, key string, after storer.Version) (storer.Response, error) {
	timer := time.NewTimer(keeper.options.WatchTimeout)
	defer timer.Stop()
	for {
		keeper.mutex.Lock()
		current := keeper.entries[key]
		down, faultsChanged := keeper.faults.Down, keeper.faultsChanged
		done := down || current.currentVersion() != after
		var keyChanged chan struct{}
		if !done {
			keyChanged = keeper.watchChannel(key)
		}
		keeper.mutex.Unlock()
		switch {
		case down:
			return storer.Response{}, storer.ErrUnavailable
		case done:
			return current.response(), nil
		}
		select {
		case <-keyChanged:
		case <-faultsChanged:
		case <-timer.C:
			return current.response(), nil
		case <-ctx.Done():
			return storer.Response{}, storer.ErrUnavailable
		}
	}
}

func (keeper *Keeper) grantLease(ttl time.Duration) (storer.Response, error) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.lastLease++
	id := keeper.lastLease
	keeper.leases[id] = &lease{
		ttl:       ttl,
		expiresAt: time.Now().Add(ttl),
		expiryTimer: time.AfterFunc(ttl, func() {
			keeper.mutex.Lock()
			defer keeper.mutex.Unlock()
			keeper.activeLease(id)
		}),
		keys: make(map[string]struct{}),
	}
	return storer.Response{
		Lease: id,
	}, nil
}

// activeLease returns the lease, or nil if it does not exist or has expired. It removes an expired lease with
// its keys. The caller holds the mutex.
func (keeper *Keeper) activeLease(id storer.LeaseID) *lease {
	lease := keeper.leases[id]
	if lease == nil {
		return nil
	}
	if time.Now().Before(lease.expiresAt) {
		return lease
	}
	keeper.endLease(id)
	return nil
}

// endLease removes a lease that exists, with its keys. The caller holds the mutex.
func (keeper *Keeper) endLease(id storer.LeaseID) {
	lease := keeper.leases[id]
	lease.expiryTimer.Stop()
	for key := range lease.keys {
		keeper.removeKey(key)
	}
	delete(keeper.leases, id)
}

func (keeper *Keeper) renewLease(id storer.LeaseID) (storer.Response, error) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	lease := keeper.activeLease(id)
	if lease == nil {
		return storer.Response{}, storer.ErrLeaseExpired
	}
	lease.expiresAt = time.Now().Add(lease.ttl)
	lease.expiryTimer.Reset(lease.ttl)
	return storer.Response{}, nil
}

func (keeper *Keeper) revokeLease(id storer.LeaseID) (storer.Response, error) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	if keeper.activeLease(id) == nil {
		return storer.Response{}, storer.ErrLeaseExpired
	}
	keeper.endLease(id)
	return storer.Response{}, nil
}
