// Package relayer gives an instance access to the store, either directly or through another instance while this
// one cannot reach the store. It tracks the outcomes of all store calls of the instance, so that a call fails at
// once while the store is known to be unreachable.
package relayer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/describer"
)

const (
	// maxSilence is how long calls may fail before the store counts as unreachable. The lease is renewed more often
	// than that, so the outcome of a recent call is always known.
	maxSilence = 700 * time.Millisecond
	// relayTimeout bounds a call through another instance. It covers the latency between regions twice and the
	// response time of a slow store.
	relayTimeout = 700 * time.Millisecond
	// maxRelayPeers is the number of instances tried for one call.
	maxRelayPeers = 2
	// hedgeDelay is how long a hedged call waits for an answer before it tries the next way as well. The store takes 60 times
	// its usual 4 ms when it is slow, and a round trip between regions 60 ms.
	hedgeDelay = 350 * time.Millisecond
	// maxHedgePeers is the number of instances tried for one hedged call. The store may turn many of them away, and those
	// say so at once.
	maxHedgePeers = 6
	// maxAskedPeers is about the number of instances that are asked at the same time for one relayed read.
	maxAskedPeers = 16
)

// Peer makes store calls through another instance.
type Peer interface {
	Read(ctx context.Context, address netip.AddrPort, key string) (describer.Item, error)
	Commit(ctx context.Context, address netip.AddrPort, change describer.Change) (describer.Revision, error)
}

// Relayer reads from and writes to the store. It is safe for concurrent use.
type Relayer struct {
	Direct describer.Store
	Peer   Peer
	// Peers returns the addresses of the instances to try, the preferred one first.
	Peers func() []netip.AddrPort
	// PeersByDataCentre returns the addresses of the other instances by data centre.
	PeersByDataCentre func() map[string][]netip.AddrPort
	// OnReachabilityChange, if set, is called with the error when the store becomes unreachable, and with nil when it is
	// reachable again.
	OnReachabilityChange func(err error)

	mutex   sync.Mutex
	failing bool
	// lastAnswer is when the store last answered.
	lastAnswer  time.Time
	unreachable bool
	// hedgePeer is the instance through which a hedged call was answered last.
	hedgePeer netip.AddrPort
}

// storeAnswered reports whether a call with outcome err was answered by the store.
func storeAnswered(err error) bool {
	return !errors.Is(err, describer.ErrNoEffect) && !errors.Is(err, describer.ErrUncertain)
}

// RecordOutcome records the outcome of a store call of this instance.
func (relayer *Relayer) RecordOutcome(err error) {
	relayer.mutex.Lock()
	wasUnreachable := relayer.unreachable
	if storeAnswered(err) {
		relayer.failing = false
		relayer.unreachable = false
		relayer.lastAnswer = time.Now()
	} else {
		relayer.failing = true
		relayer.unreachable = time.Since(relayer.lastAnswer) > maxSilence
	}
	changed := relayer.unreachable != wasUnreachable
	relayer.mutex.Unlock()
	if !changed || relayer.OnReachabilityChange == nil {
		return
	}
	if storeAnswered(err) {
		// An answer such as "no such key" also shows that the store is reachable.
		err = nil
	}
	relayer.OnReachabilityChange(err)
}

// Reachable reports whether the store answers this instance.
func (relayer *Relayer) Reachable() bool {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	return !relayer.lastAnswer.IsZero() && !relayer.unreachable
}

// Silence returns for how long the store has not answered this instance; 0 while it is reachable.
func (relayer *Relayer) Silence() time.Duration {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	if relayer.lastAnswer.IsZero() || !relayer.unreachable {
		return 0
	}
	return time.Since(relayer.lastAnswer)
}

// LocalRead reads a key directly from the store. It serves other instances and never relays.
func (relayer *Relayer) LocalRead(ctx context.Context, key string) (describer.Item, error) {
	if !relayer.Reachable() {
		return describer.Item{}, errors.Wrap(describer.ErrNoEffect, "store is unreachable")
	}
	item, err := relayer.Direct.Read(ctx, key)
	relayer.RecordOutcome(err)
	return item, err
}

// LocalCommit makes a change directly in the store. It serves other instances and never relays.
func (relayer *Relayer) LocalCommit(ctx context.Context, change describer.Change) (describer.Revision, error) {
	if !relayer.Reachable() {
		return 0, errors.Wrap(describer.ErrNoEffect, "store is unreachable")
	}
	revision, err := relayer.Direct.Commit(ctx, change)
	relayer.RecordOutcome(err)
	return revision, err
}

// Read returns the item of key, directly or through another instance.
func (relayer *Relayer) Read(ctx context.Context, key string) (describer.Item, error) {
	item, err := relayer.LocalRead(ctx, key)
	if storeAnswered(err) {
		return item, err
	}
	for _, address := range relayer.relayPeers() {
		relayCtx, cancel := context.WithTimeout(ctx, relayTimeout)
		relayed, relayErr := relayer.Peer.Read(relayCtx, address, key)
		cancel()
		if storeAnswered(relayErr) {
			return relayed, relayErr
		}
	}
	return item, err
}

// RelayedRead reads a key through other instances only, and asks several of each data centre at the same time. Its
// error is ErrNoEffect only if none of them read the key and at least one in each data centre answered that it cannot
// reach the store: while a data centre does not answer, its instances may be served.
func (relayer *Relayer) RelayedRead(ctx context.Context, key string) (describer.Item, error) {
	type answer struct {
		dataCentre string
		item       describer.Item
		err        error
	}
	groups := relayer.PeersByDataCentre()
	answers := make(chan answer)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	asked := 0
	for dataCentre, peers := range groups {
		peers = slices.Clone(peers)
		rand.Shuffle(len(peers), func(left, right int) {
			peers[left], peers[right] = peers[right], peers[left]
		})
		for _, address := range peers[:min(len(peers), max(maxAskedPeers/len(groups), 2))] {
			asked++
			go func() {
				item, err := relayer.Peer.Read(ctx, address, key)
				select {
				case answers <- answer{
					dataCentre: dataCentre,
					item:       item,
					err:        err,
				}:
				case <-ctx.Done():
				}
			}()
		}
	}
	unreachable := map[string]bool{}
	for waiting := asked; waiting > 0; waiting-- {
		select {
		case answer := <-answers:
			if storeAnswered(answer.err) {
				return answer.item, answer.err
			}
			if errors.Is(answer.err, describer.ErrNoEffect) {
				unreachable[answer.dataCentre] = true
			}
		case <-ctx.Done():
			waiting = 0
		}
	}
	if asked > 0 && len(unreachable) == len(groups) {
		return describer.Item{}, errors.Wrap(describer.ErrNoEffect, "no instance reaches the store")
	}
	return describer.Item{}, errors.Wrap(describer.ErrUncertain, "a data centre did not answer")
}

// Commit makes a change, directly or through another instance. Because it may be attempted more than once, the
// change must be one that cannot take effect twice. ErrNoEffect means that no attempt can have had an effect.
func (relayer *Relayer) Commit(ctx context.Context, change describer.Change) (describer.Revision, error) {
	revision, err := relayer.LocalCommit(ctx, change)
	if storeAnswered(err) {
		return revision, err
	}
	uncertain := errors.Is(err, describer.ErrUncertain)
	for _, address := range relayer.relayPeers() {
		relayCtx, cancel := context.WithTimeout(ctx, relayTimeout)
		revision, relayErr := relayer.Peer.Commit(relayCtx, address, change)
		cancel()
		if storeAnswered(relayErr) {
			return revision, relayErr
		}
		uncertain = uncertain || errors.Is(relayErr, describer.ErrUncertain)
	}
	if uncertain && !errors.Is(err, describer.ErrUncertain) {
		return 0, errors.Wrap(describer.ErrUncertain, "relay: "+err.Error())
	}
	return 0, err
}

// HedgedCommit makes a change directly, and through another instance if there is no answer soon, and another one. The
// first answer of the store counts; relayed means that it came through another instance. Because several attempts are
// made, the change must be one that cannot take effect twice.
func (relayer *Relayer) HedgedCommit(ctx context.Context, change describer.Change) (relayed bool, err error) {
	// An attempt that is overtaken still ends by itself, so that its outcome tells whether the store is reachable.
	attemptCtx := context.WithoutCancel(ctx)
	attempts := []func() error{func() error {
		_, err := relayer.LocalCommit(attemptCtx, change)
		return err
	}}
	peers := relayer.hedgePeers()
	for _, address := range peers {
		attempts = append(attempts, func() error {
			relayCtx, cancel := context.WithTimeout(attemptCtx, relayTimeout)
			defer cancel()
			_, err := relayer.Peer.Commit(relayCtx, address, change)
			return err
		})
	}
	type answer struct {
		attempt int
		err     error
	}
	answers := make(chan answer, len(attempts))
	started, open := 0, 0
	hedge := time.NewTimer(0)
	defer hedge.Stop()
	for {
		select {
		case <-hedge.C:
		case answer := <-answers:
			if storeAnswered(answer.err) {
				if answer.attempt > 0 {
					relayer.setHedgePeer(peers[answer.attempt-1])
				}
				return answer.attempt > 0, answer.err
			}
			open--
			if open == 0 && started == len(attempts) {
				return false, answer.err
			}
		case <-ctx.Done():
			return false, errors.Wrap(describer.ErrUncertain, ctx.Err().Error())
		}
		if started == len(attempts) {
			continue
		}
		attempt := started
		started, open = started+1, open+1
		go func() {
			answers <- answer{
				attempt: attempt,
				err:     attempts[attempt](),
			}
		}()
		hedge.Reset(hedgeDelay)
	}
}

// hedgePeers returns the instances to try for one hedged call: the one that was of use last, the preferred one, and
// others at random.
func (relayer *Relayer) hedgePeers() []netip.AddrPort {
	peers := slices.Clone(relayer.Peers())
	if len(peers) > 1 {
		others := peers[1:]
		rand.Shuffle(len(others), func(left, right int) {
			others[left], others[right] = others[right], others[left]
		})
	}
	relayer.mutex.Lock()
	useful := relayer.hedgePeer
	relayer.mutex.Unlock()
	if index := slices.Index(peers, useful); index > 0 {
		peers = slices.Insert(slices.Delete(peers, index, index+1), 0, useful)
	}
	return peers[:min(len(peers), maxHedgePeers)]
}

func (relayer *Relayer) setHedgePeer(address netip.AddrPort) {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	relayer.hedgePeer = address
}

// relayPeers returns the instances to try for one call.
func (relayer *Relayer) relayPeers() []netip.AddrPort {
	peers := relayer.Peers()
	return peers[:min(len(peers), maxRelayPeers)]
}
