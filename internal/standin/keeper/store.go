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
	return entry.answer(), nil
}

func (entry *entry) answer() storer.Response {
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
	if call.Lease != 0 && keeper.liveLease(call.Lease) == nil {
		return storer.Response{}, storer.ErrLeaseExpired
	}
	current := keeper.entries[call.Key]
	if current.currentVersion() != call.Version {
		return storer.Response{}, storer.ErrConflict
	}
	keeper.untie(call.Key)
	// One counter for all keys makes the versions of a key grow across deletes.
	keeper.version++
	keeper.entries[call.Key] = &entry{
		value:   call.Value,
		version: keeper.version,
		lease:   call.Lease,
	}
	if call.Lease != 0 {
		keeper.leases[call.Lease].keys[call.Key] = struct{}{}
	}
	keeper.notify(call.Key)
	return storer.Response{
		Version: keeper.version,
	}, nil
}

func (keeper *Keeper) delete(key string, expect storer.Version) (storer.Response, error) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	current := keeper.entries[key]
	switch {
	case current == nil:
		return storer.Response{}, storer.ErrNotFound
	case current.version != expect:
		return storer.Response{}, storer.ErrConflict
	}
	keeper.remove(key)
	return storer.Response{}, nil
}

// remove deletes a present key. The mutex is held.
func (keeper *Keeper) remove(key string) {
	keeper.untie(key)
	delete(keeper.entries, key)
	keeper.notify(key)
}

// untie takes the key from its lease. The mutex is held.
func (keeper *Keeper) untie(key string) {
	current := keeper.entries[key]
	if current == nil || current.lease == 0 {
		return
	}
	if lease := keeper.leases[current.lease]; lease != nil {
		delete(lease.keys, key)
	}
}

// notify wakes the watches of the key. The mutex is held.
func (keeper *Keeper) notify(key string) {
	if waiting, ok := keeper.watchers[key]; ok {
		close(waiting)
		delete(keeper.watchers, key)
	}
}

// waiter returns the channel that the next change of the key closes. The mutex is held.
func (keeper *Keeper) waiter(key string) chan struct{} {
	waiting, ok := keeper.watchers[key]
	if !ok {
		waiting = make(chan struct{})
		keeper.watchers[key] = waiting
	}
	return waiting
}

func (keeper *Keeper) watch(ctx context.Context, key string, after storer.Version) (storer.Response, error) {
	timer := time.NewTimer(keeper.options.WatchLimit)
	defer timer.Stop()
	for {
		keeper.mutex.Lock()
		current := keeper.entries[key]
		down, changed := keeper.faults.Down, keeper.changed
		settled := down || current.currentVersion() != after
		var waiting chan struct{}
		if !settled {
			waiting = keeper.waiter(key)
		}
		keeper.mutex.Unlock()
		switch {
		case down:
			return storer.Response{}, storer.ErrUnavailable
		case settled:
			return current.answer(), nil
		}
		select {
		case <-waiting:
		case <-changed:
		case <-timer.C:
			return current.answer(), nil
		case <-ctx.Done():
			return storer.Response{}, storer.ErrUnavailable
		}
	}
}

func (keeper *Keeper) grant(ttl time.Duration) (storer.Response, error) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.lease++
	id := keeper.lease
	keeper.leases[id] = &lease{
		ttl:     ttl,
		expires: time.Now().Add(ttl),
		timer: time.AfterFunc(ttl, func() {
			keeper.mutex.Lock()
			defer keeper.mutex.Unlock()
			keeper.liveLease(id)
		}),
		keys: make(map[string]struct{}),
	}
	return storer.Response{
		Lease: id,
	}, nil
}

// liveLease returns the lease, or nil after it ended; it removes the keys of a lease that ran out.
// The mutex is held.
func (keeper *Keeper) liveLease(id storer.LeaseID) *lease {
	lease := keeper.leases[id]
	if lease == nil {
		return nil
	}
	if time.Now().Before(lease.expires) {
		return lease
	}
	keeper.end(id)
	return nil
}

// end removes a present lease with its keys. The mutex is held.
func (keeper *Keeper) end(id storer.LeaseID) {
	lease := keeper.leases[id]
	lease.timer.Stop()
	for key := range lease.keys {
		keeper.remove(key)
	}
	delete(keeper.leases, id)
}

func (keeper *Keeper) renew(id storer.LeaseID) (storer.Response, error) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	lease := keeper.liveLease(id)
	if lease == nil {
		return storer.Response{}, storer.ErrLeaseExpired
	}
	lease.expires = time.Now().Add(lease.ttl)
	lease.timer.Reset(lease.ttl)
	return storer.Response{}, nil
}

func (keeper *Keeper) revoke(id storer.LeaseID) (storer.Response, error) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	if keeper.liveLease(id) == nil {
		return storer.Response{}, storer.ErrLeaseExpired
	}
	keeper.end(id)
	return storer.Response{}, nil
}
