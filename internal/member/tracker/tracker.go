// Package tracker maintains the membership view of one entry instance. It decides with which peers to
// exchange the view, finds the owner of each shard and ranks the candidates for owning it. It does no I/O.
package tracker

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"pomelomoor/internal/gateway/lister"
	"pomelomoor/internal/member/peerpb"
	"pomelomoor/internal/work/descriptor"
)

// Default and fixed intervals.
const (
	DefaultInterval       = time.Second
	DefaultRemoteInterval = 2 * time.Second
	// DefaultMaxSilence allows three missed exchanges.
	DefaultMaxSilence = 3 * time.Second
	// DefaultMaxRemoteSilence allows for the extra hops through the delegates of both regions.
	DefaultMaxRemoteSilence = 8 * time.Second
	// relayInterval is how often a delegate relays the members of other regions to a peer in its region.
	relayInterval = 4 * time.Second
	// teamsRelayInterval is how often the usage per team of other members is relayed. It is the largest
	// part of a member record, and one delegate relays it for the whole region.
	teamsRelayInterval = 30 * time.Second
	// forgetAfter is the silence after which a peer that is no longer listed is removed. A peer that was never
	// heard from is removed as soon as it is no longer listed.
	forgetAfter = time.Minute
)

// Peer is an entry instance known from the platform's list or from other instances.
type Peer struct {
	Member *peerpb.Member
	// LastHeard is when a newer member record of the peer last arrived, from the peer itself or relayed by another
	// instance. It is zero for a peer known only from the list.
	LastHeard time.Time
	// Listed is false when the platform no longer lists the instance.
	Listed bool
	// ListedLeaving is true when the platform lists the instance as leaving.
	ListedLeaving bool
	// attemptedAt is when the last exchange with the peer was started.
	attemptedAt time.Time
	// relayedAt is when members of other regions were last relayed to the peer.
	relayedAt time.Time
	// teamsRelayedAt is when the usage per team of other members was last relayed to the peer.
	teamsRelayedAt time.Time
}

// Tracker is the membership view of one instance. Self is required; other zero values mean the defaults.
// It is not safe for concurrent use.
type Tracker struct {
	// Self is this instance's own member record. The caller may replace it between calls.
	Self *peerpb.Member
	// Interval is the time between exchanges within the region.
	Interval time.Duration
	// RemoteInterval is the time between exchanges of the delegates of two regions.
	RemoteInterval time.Duration
	// MaxSilence is the time since LastHeard after which a peer in this instance's region is no longer live.
	MaxSilence time.Duration
	// MaxRemoteSilence is the same for peers in other regions.
	MaxRemoteSilence time.Duration

	peers map[string]*Peer
	// startedAt is the time of the first call of Due.
	startedAt time.Time
}

// peer returns the peer with the given ID and adds it if it is unknown.
func (tracker *Tracker) peer(id string) *Peer {
	if tracker.peers == nil {
		tracker.peers = map[string]*Peer{}
	}
	peer, ok := tracker.peers[id]
	if !ok {
		peer = &Peer{
			Member: &peerpb.Member{
				Id: id,
			},
		}
		tracker.peers[id] = peer
	}
	return peer
}

// SetList updates the peers from the platform's list of instances. The list provides the addresses of
// peers that have not been heard from yet.
func (tracker *Tracker) SetList(now time.Time, instances []lister.Instance) {
	for _, peer := range tracker.peers {
		peer.Listed = false
	}
	for _, instance := range instances {
		if instance.Role != lister.RoleEntry || instance.ID == tracker.Self.GetId() {
			continue
		}
		peer := tracker.peer(instance.ID)
		peer.Listed = true
		peer.ListedLeaving = instance.State == lister.StateLeaving
		if peer.LastHeard.IsZero() {
			peer.Member.Region = instance.Place.Region
			peer.Member.Site = instance.Place.Site
			peer.Member.Address = instance.Address.String()
		}
	}
	for id, peer := range tracker.peers {
		if !peer.Listed && now.Sub(peer.LastHeard) > forgetAfter {
			delete(tracker.peers, id)
		}
	}
}

// Merge adds the members of a view received from another instance that are newer than those known.
func (tracker *Tracker) Merge(now time.Time, view *peerpb.View) {
	for _, member := range view.GetMembers() {
		if member.GetId() == "" || member.GetId() == tracker.Self.GetId() {
			continue
		}
		peer := tracker.peer(member.GetId())
		if !isNewer(member, peer.Member) {
			continue
		}
		merged := proto.CloneOf(member)
		fillTeams(merged, peer.Member)
		peer.Member = merged
		peer.LastHeard = now
	}
}

// isNewer reports whether a is a later record of an instance than b.
// Incarnations begin with the start time, so their lexical order is their order in time.
func isNewer(a, b *peerpb.Member) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	return a.GetSequence() > b.GetSequence()
}

// fillTeams copies the usage per team from the previous record for shards whose new record omits it,
// because senders include it only at intervals.
func fillTeams(member, previous *peerpb.Member) {
	for _, shard := range member.GetShards() {
		if len(shard.GetTeams()) > 0 {
			continue
		}
		for _, previousShard := range previous.GetShards() {
			if previousShard.GetShard() == shard.GetShard() {
				shard.Teams = previousShard.GetTeams()
			}
		}
	}
}

// Live returns the members heard from recently, including this instance, ordered by ID.
func (tracker *Tracker) Live(now time.Time) []*peerpb.Member {
	live := []*peerpb.Member{tracker.Self}
	for _, peer := range tracker.peers {
		if tracker.isLive(now, peer) {
			live = append(live, peer.Member)
		}
	}
	slices.SortFunc(live, func(a, b *peerpb.Member) int {
		return cmp.Compare(a.GetId(), b.GetId())
	})
	return live
}

// isLive reports whether a newer record of the peer arrived within the limit for its region.
func (tracker *Tracker) isLive(now time.Time, peer *Peer) bool {
	if peer.LastHeard.IsZero() {
		return false
	}
	limit := orDefault(tracker.MaxRemoteSilence, DefaultMaxRemoteSilence)
	if peer.Member.GetRegion() == tracker.Self.GetRegion() {
		limit = orDefault(tracker.MaxSilence, DefaultMaxSilence)
	}
	return now.Sub(peer.LastHeard) < limit
}

// Suspected returns the peers that are not live although the platform lists them and not as leaving, ordered by
// ID. A peer that is listed but was never heard from is among them.
func (tracker *Tracker) Suspected(now time.Time) []*peerpb.Member {
	var suspected []*peerpb.Member
	for _, peer := range tracker.peers {
		if peer.Listed && !peer.ListedLeaving && !tracker.isLive(now, peer) {
			suspected = append(suspected, peer.Member)
		}
	}
	slices.SortFunc(suspected, func(a, b *peerpb.Member) int {
		return cmp.Compare(a.GetId(), b.GetId())
	})
	return suspected
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}

// Exchange is an exchange of views to start with one peer.
type Exchange struct {
	ID      string
	Region  string
	Address netip.AddrPort
	View    *peerpb.View
}

// Due returns the exchanges to start now, ordered by the peer's ID.
func (tracker *Tracker) Due(now time.Time) []Exchange {
	if tracker.startedAt.IsZero() {
		tracker.startedAt = now
	}
	isDelegate := tracker.regionDelegate(now, tracker.Self.GetRegion()) == tracker.Self.GetId()
	var exchanges []Exchange
	for id, peer := range tracker.peers {
		if !tracker.isDue(now, id, peer, isDelegate) {
			continue
		}
		address, err := netip.ParseAddrPort(peer.Member.GetAddress())
		if err != nil {
			continue
		}
		peer.attemptedAt = now
		exchanges = append(exchanges, Exchange{
			ID:      id,
			Region:  peer.Member.GetRegion(),
			Address: address,
			View:    tracker.viewFor(now, peer, isDelegate),
		})
	}
	slices.SortFunc(exchanges, func(a, b Exchange) int {
		return cmp.Compare(a.ID, b.ID)
	})
	return exchanges
}

// isDue reports whether this instance should start an exchange with the peer now.
func (tracker *Tracker) isDue(now time.Time, id string, peer *Peer, isDelegate bool) bool {
	if !peer.Listed && !tracker.isLive(now, peer) {
		return false
	}
	interval := orDefault(tracker.Interval, DefaultInterval)
	if peer.Member.GetRegion() != tracker.Self.GetRegion() {
		interval = orDefault(tracker.RemoteInterval, DefaultRemoteInterval)
		if !isDelegate || tracker.regionDelegate(now, peer.Member.GetRegion()) != id {
			return false
		}
	}
	if now.Sub(peer.attemptedAt) < interval {
		return false
	}
	// An exchange transfers the records of both sides, so only the instance with the lower ID starts it. The
	// other one starts it if it has heard nothing for one and a half intervals.
	return tracker.Self.GetId() < id || now.Sub(peer.LastHeard) > interval+interval/2
}

// regionDelegate returns the lowest ID among a region's eligible members: the live or awaited peers that
// are not leaving by their own record and, in its own region, this instance, even if it is leaving. If a
// region has none, regionDelegate returns the listed peer with the oldest exchange attempt, leaving or
// not, so that contact with the region is restored even if its first members all failed.
func (tracker *Tracker) regionDelegate(now time.Time, region string) string {
	live, listed := "", ""
	if tracker.Self.GetRegion() == region {
		live = tracker.Self.GetId()
	}
	for id, peer := range tracker.peers {
		if peer.Member.GetRegion() != region {
			continue
		}
		eligible := tracker.isLive(now, peer) || tracker.isAwaited(now, peer)
		if eligible && !peer.Member.GetLeaving() && (live == "" || id < live) {
			live = id
		}
		if peer.Listed && (listed == "" || tracker.attemptedBefore(id, listed)) {
			listed = id
		}
	}
	if live != "" {
		return live
	}
	return listed
}

// isAwaited reports whether a listed peer of this region may be live although it was not heard from,
// because this instance has just started. Without this, every one of several instances that start
// together would make itself the delegate of the region.
func (tracker *Tracker) isAwaited(now time.Time, peer *Peer) bool {
	return peer.Listed && peer.LastHeard.IsZero() && peer.Member.GetRegion() == tracker.Self.GetRegion() &&
		now.Sub(tracker.startedAt) < orDefault(tracker.MaxSilence, DefaultMaxSilence)
}

// attemptedBefore reports whether the last exchange with peer a was started before that with peer b. Ties
// are broken by ID.
func (tracker *Tracker) attemptedBefore(a, b string) bool {
	order := tracker.peers[a].attemptedAt.Compare(tracker.peers[b].attemptedAt)
	return order < 0 || order == 0 && a < b
}

// viewFor returns the view to send to a peer. It always contains this instance's own record. A peer in
// another region also gets the live members of this region, and a peer in this region gets those of
// other regions from the delegate at every relayInterval.
func (tracker *Tracker) viewFor(now time.Time, peer *Peer, isDelegate bool) *peerpb.View {
	view := &peerpb.View{
		Members: []*peerpb.Member{tracker.Self},
	}
	ownRegion := tracker.Self.GetRegion()
	remote := peer.Member.GetRegion() != ownRegion
	relay := isDelegate && !remote && now.Sub(peer.relayedAt) >= relayInterval
	if !remote && !relay {
		return view
	}
	if relay {
		peer.relayedAt = now
	}
	withTeams := now.Sub(peer.teamsRelayedAt) >= teamsRelayInterval
	if withTeams {
		peer.teamsRelayedAt = now
	}
	for _, other := range tracker.peers {
		sameRegion := other.Member.GetRegion() == ownRegion
		if other != peer && tracker.isLive(now, other) && sameRegion == remote {
			view.Members = append(view.Members, relayedMember(other.Member, withTeams))
		}
	}
	return view
}

// relayedMember returns a member record with or without its usage per team. A receiver keeps the usage
// that it has if the new record omits it.
func relayedMember(member *peerpb.Member, withTeams bool) *peerpb.Member {
	if withTeams || len(member.GetShards()) == 0 {
		return member
	}
	copied := proto.CloneOf(member)
	for _, shard := range copied.GetShards() {
		shard.Teams = nil
	}
	return copied
}

// Respond returns the view to send back to the peer that started an exchange.
func (tracker *Tracker) Respond(now time.Time, id string) *peerpb.View {
	isDelegate := tracker.regionDelegate(now, tracker.Self.GetRegion()) == tracker.Self.GetId()
	peer, ok := tracker.peers[id]
	if !ok {
		return &peerpb.View{
			Members: []*peerpb.Member{tracker.Self},
		}
	}
	return tracker.viewFor(now, peer, isDelegate)
}

// Peer returns the peer with the given ID, if it is known.
func (tracker *Tracker) Peer(id string) (Peer, bool) {
	peer, ok := tracker.peers[id]
	if !ok {
		return Peer{}, false
	}
	return *peer, true
}

// Owner returns the live member that claims the shard with the highest epoch, or nil.
func (tracker *Tracker) Owner(now time.Time, shard descriptor.ShardID) *peerpb.Member {
	var owner *peerpb.Member
	var highest uint64
	for _, member := range tracker.Live(now) {
		for _, owned := range member.GetShards() {
			if owned.GetShard() == string(shard) && (owner == nil || owned.GetEpoch() > highest) {
				owner, highest = member, owned.GetEpoch()
			}
		}
	}
	return owner
}
