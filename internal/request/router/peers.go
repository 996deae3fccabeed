package router

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Round-trip times between entry instances of one region and of different regions.
const (
	IntraRegionRoundTrip = 2 * time.Millisecond
	InterRegionRoundTrip = 60 * time.Millisecond
)

// Peer is another entry instance with the number of free slots that it reported for one service.
type Peer struct {
	ID     string
	Region string
	Free   int
}

// Demand describes a request that may be forwarded to a peer.
type Demand struct {
	// ID is the request's ID. Its hash spreads requests over the peers with free slots.
	ID       string
	Deadline time.Time
	// Wait and Service are the predicted wait and service time at this instance.
	Wait, Service time.Duration
}

// Peers decides which requests to forward. Between reports it keeps an estimate of the peers' free
// slots.
type Peers struct {
	// Region is the region of this instance.
	Region string

	peers []Peer
}

// Set replaces the estimate with newly reported free slots.
func (peers *Peers) Set(reported []Peer) {
	peers.peers = append(peers.peers[:0], reported...)
}

// Choose returns the peer to forward to if forwarding is better than waiting, and counts one of the
// peer's slots as occupied. The caller must call Release afterwards.
func (peers *Peers) Choose(now time.Time, demand Demand) (string, bool) {
	if demand.Wait <= IntraRegionRoundTrip {
		return "", false
	}
	remaining := demand.Deadline.Sub(now)
	if IntraRegionRoundTrip+demand.Service <= remaining {
		if id, ok := peers.pick(demand.ID, true); ok {
			return id, true
		}
	}
	// Traffic between regions is billed, so a request is forwarded to another region only if it would
	// miss its deadline here and meet it there. Both conditions hold only if the wait is longer than
	// the round trip.
	if demand.Wait+demand.Service <= remaining || InterRegionRoundTrip+demand.Service > remaining {
		return "", false
	}
	return peers.pick(demand.ID, false)
}

// pick selects a peer within or outside this instance's region, weighted by free slots and by a hash
// of the request ID, so that instances with the same report do not all select the same peer.
func (peers *Peers) pick(id string, sameRegion bool) (string, bool) {
	total := 0
	for i := range peers.peers {
		if peer := &peers.peers[i]; (peer.Region == peers.Region) == sameRegion {
			total += max(peer.Free, 0)
		}
	}
	if total == 0 {
		return "", false
	}
	offset := int(xxhash.Sum64String(id) % uint64(total))
	for i := range peers.peers {
		peer := &peers.peers[i]
		if (peer.Region == peers.Region) != sameRegion || peer.Free <= 0 {
			continue
		}
		if offset < peer.Free {
			peer.Free--
			return peer.ID, true
		}
		offset -= peer.Free
	}
	return "", false
}

// Release frees the slot that Choose counted, when the forwarded request has ended. A peer that
// refused is assumed to have no free slots until its next report.
func (peers *Peers) Release(id string, refused bool) {
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
