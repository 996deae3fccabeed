package elector

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/describer"
)

// termEndedError tells why the elector ended a term.
type termEndedError struct {
	reason string
}

func (termEndedError *termEndedError) Error() string {
	return "term ended: " + termEndedError.reason
}

// confirmThroughPeers finds out from other instances whether the term can have ended while this one does not reach
// the store. While the store is down for all of them, no other instance can become the leader. It does not wait for
// their answers, since the lease has to be renewed meanwhile.
func (elector *Elector) confirmThroughPeers(ctx context.Context) {
	elector.mutex.Lock()
	defer elector.mutex.Unlock()
	if elector.cancelTerm == nil || elector.options.ReadThroughPeers == nil || elector.confirming {
		return
	}
	elector.confirming = true
	fence := elector.fence
	elector.confirmations.Go(func() {
		elector.confirmTerm(ctx, fence)
	})
}

// confirmTerm asks other instances whether the term with a fencing token can have ended.
func (elector *Elector) confirmTerm(ctx context.Context, fence describer.Fence) {
	sent := time.Now()
	peerCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	item, err := elector.options.ReadThroughPeers(peerCtx, LeaderKey)
	elector.mutex.Lock()
	elector.confirming = false
	superseded := elector.fence != fence
	confirmed := err == nil && item.Revision == describer.Revision(fence) || errors.Is(err, describer.ErrNoEffect)
	if confirmed && !superseded && sent.After(elector.lastConfirmation) {
		elector.lastConfirmation = sent
	}
	elector.mutex.Unlock()
	if !superseded && !confirmed && (err == nil || errors.Is(err, describer.ErrNotFound)) {
		elector.stepDown("other instances see another leader or none")
	}
}

// confirmed reports whether the current term is sure to be the newest.
func (elector *Elector) confirmed() bool {
	elector.mutex.Lock()
	defer elector.mutex.Unlock()
	return time.Since(elector.lastConfirmation) < confirmationValidity
}

// largerMember reports whether the instance falls short of the cores that a leader should have and another member has
// clearly more.
func (elector *Elector) largerMember() bool {
	own := elector.options.Self.CPUCores
	if own >= sufficientCPUCores {
		return false
	}
	for _, member := range elector.view.Members {
		if member.CPUCores > largerMemberFactor*own {
			return true
		}
	}
	return false
}

// handOver ends the term of an instance that is short of CPU cores once a larger member can lead.
func (elector *Elector) handOver() {
	elector.mutex.Lock()
	delay := handOverDelay
	if elector.handedOver {
		delay = repeatedHandOverDelay
	}
	due := elector.cancelTerm != nil && time.Since(elector.termStart) > delay && elector.largerMember()
	elector.handedOver = elector.handedOver || due
	elector.mutex.Unlock()
	if due {
		elector.stepDown("a larger instance can lead")
	}
}
