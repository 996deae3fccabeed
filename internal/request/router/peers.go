package router

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Round trips between entry instances.
const (
	RegionRoundTrip  = 2 * time.Millisecond
	BetweenRoundTrip = 60 * time.Millisecond
)

// Peer is another entry instance with the slots of one service that it reported free.
type Peer struct {
	ID     string
	Region string
	Free   int
}

// Demand is a request that found no free own slot.
type Demand struct {
	// ID spreads requests over peers with free slots.
	ID       string
	Deadline time.Time
	// Wait and Service are the predicted times at this instance.
	Wait, Service time.Duration
}

// Peers decides which requests to forward. It keeps an estimate of free slots between reports.
type Peers struct {
	// Region is the own one.
	Region string

	peers []Peer
}

// Set replaces the estimate by newly reported free slots.
func (peers *Peers) Set(reported []Peer) {
	peers.peers = append(peers.peers[:0], reported...)
}

// Choose returns the peer to forward to, if that is better than to wait, and counts one of its
// slots as taken. Return must follow.
func (peers *Peers) Choose(now time.Time, demand Demand) (string, bool) {
	if demand.Wait <= RegionRoundTrip {
		return "", false
	}
	left := demand.Deadline.Sub(now)
	if RegionRoundTrip+demand.Service <= left {
		if id, ok := peers.pick(demand.ID, true); ok {
			return id, true
		}
	}
	// Traffic between regions is billed, so it has to save the request: here the deadline would be
	// missed, there it is met. Both hold only if the wait exceeds the round trip.
	if demand.Wait+demand.Service <= left || BetweenRoundTrip+demand.Service > left {
		return "", false
	}
	return peers.pick(demand.ID, false)
}

// pick chooses in proportion to free slots, by a hash of the request, so that instances that see
// the same report do not all choose the same peer.
func (peers *Peers) pick(id string, own bool) (string, bool) {
	total := 0
	for i := range peers.peers {
		if peer := &peers.peers[i]; (peer.Region == peers.Region) == own {
			total += max(peer.Free, 0)
		}
	}
	if total == 0 {
		return "", false
	}
	at := int(xxhash.Sum64String(id) % uint64(total))
	for i := range peers.peers {
		peer := &peers.peers[i]
		if (peer.Region == peers.Region) != own || peer.Free <= 0 {
			continue
		}
		if at < peer.Free {
			peer.Free--
			return peer.ID, true
		}
		at -= peer.Free
	}
	return "", false
}

// Return follows a Choose when its request has ended. A peer that refused has no free slots until
// its next report.
func (peers *Peers) Return(id string, refused bool) {
	for i := range peers.peers {
		peer := &peers.peers[i]
		if peer.ID != id {
			continue
		}
		if refused {
			peer.Free = 0
			return
		}
		peer.Free++
		return
	}
}
