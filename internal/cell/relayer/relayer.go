// Package relayer gives an instance access to the store: directly, or by way of another instance while
// the store does not answer this one. It knows from all calls of the instance whether the store answers,
// so that a call which cannot succeed fails at once.
package relayer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/describer"
)

const (
	// mostSilence is how long calls may fail before the store counts as out of reach. The lease is
	// renewed more often than that, so the answer is known in time.
	mostSilence = 700 * time.Millisecond
	// relayTimeout bounds a call by way of another instance: twice the way between regions and the
	// answer of a slow store.
	relayTimeout = 700 * time.Millisecond
	// mostRelays is the number of instances that are tried for one call.
	mostRelays = 2
)

// Peer makes calls to the store at another instance.
type Peer interface {
	Read(ctx context.Context, address netip.AddrPort, key string) (describer.Item, error)
	Commit(ctx context.Context, address netip.AddrPort, change describer.Change) (describer.Revision, error)
}

// Relayer reaches the store. It is safe for concurrent use.
type Relayer struct {
	Direct describer.Store
	Peer   Peer
	// Peers returns the instances to try, the best first.
	Peers func() []netip.AddrPort
	// Changed, if set, is told when the store was lost, with the error, or is back, with nil.
	Changed func(err error)

	mutex   sync.Mutex
	failing bool
	// contact is when the store last answered.
	contact time.Time
	lost    bool
}

// answered tells whether err is an answer of the store.
func answered(err error) bool {
	return !errors.Is(err, describer.ErrNotDone) && !errors.Is(err, describer.ErrUncertain)
}

// Contact takes the outcome of any call of this instance to the store.
func (relayer *Relayer) Contact(err error) {
	relayer.mutex.Lock()
	was := relayer.lost
	if answered(err) {
		relayer.failing = false
		relayer.lost = false
		relayer.contact = time.Now()
	} else {
		relayer.failing = true
		relayer.lost = time.Since(relayer.contact) > mostSilence
	}
	changed := relayer.lost != was
	relayer.mutex.Unlock()
	if !changed || relayer.Changed == nil {
		return
	}
	if answered(err) {
		// An answer such as "no such key" shows that the store is back.
		err = nil
	}
	relayer.Changed(err)
}

// Reachable tells whether the store answers this instance.
func (relayer *Relayer) Reachable() bool {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	return !relayer.contact.IsZero() && !relayer.lost
}

// LocalRead reads a key for another instance, without a further relay.
func (relayer *Relayer) LocalRead(ctx context.Context, key string) (describer.Item, error) {
	if !relayer.Reachable() {
		return describer.Item{}, errors.Wrap(describer.ErrNotDone, "store is out of reach")
	}
	item, err := relayer.Direct.Read(ctx, key)
	relayer.Contact(err)
	return item, err
}

// LocalCommit makes a change for another instance, without a further relay.
func (relayer *Relayer) LocalCommit(ctx context.Context, change describer.Change) (describer.Revision, error) {
	if !relayer.Reachable() {
		return 0, errors.Wrap(describer.ErrNotDone, "store is out of reach")
	}
	revision, err := relayer.Direct.Commit(ctx, change)
	relayer.Contact(err)
	return revision, err
}

// Read returns the item of key.
func (relayer *Relayer) Read(ctx context.Context, key string) (describer.Item, error) {
	item, err := relayer.LocalRead(ctx, key)
	if answered(err) {
		return item, err
	}
	for _, address := range relayer.peers() {
		call, cancel := context.WithTimeout(ctx, relayTimeout)
		relayed, relayErr := relayer.Peer.Read(call, address, key)
		cancel()
		if answered(relayErr) {
			return relayed, relayErr
		}
	}
	return item, err
}

// Commit makes a change, which must be one that cannot take effect twice. ErrNotDone means that no
// attempt can have had an effect.
func (relayer *Relayer) Commit(ctx context.Context, change describer.Change) (describer.Revision, error) {
	revision, err := relayer.LocalCommit(ctx, change)
	if answered(err) {
		return revision, err
	}
	uncertain := errors.Is(err, describer.ErrUncertain)
	for _, address := range relayer.peers() {
		call, cancel := context.WithTimeout(ctx, relayTimeout)
		revision, relayErr := relayer.Peer.Commit(call, address, change)
		cancel()
		if answered(relayErr) {
			return revision, relayErr
		}
		uncertain = uncertain || errors.Is(relayErr, describer.ErrUncertain)
	}
	if uncertain && !errors.Is(err, describer.ErrUncertain) {
		return 0, errors.Wrap(describer.ErrUncertain, "relay: "+err.Error())
	}
	return 0, err
}

func (relayer *Relayer) peers() []netip.AddrPort {
	peers := relayer.Peers()
	return peers[:min(len(peers), mostRelays)]
}
