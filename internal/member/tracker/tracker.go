// Package tracker keeps the membership view of one entry instance and decides
// with whom to exchange it and who should own which shard. It does no I/O.
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

// Defaults of the intervals.
const (
	DefaultInterval       = time.Second
	DefaultRemoteInterval = 2 * time.Second
	// DefaultSuspectAfter is three missed exchanges.
	DefaultSuspectAfter = 3 * time.Second
	// DefaultRemoteSuspectAfter allows for the extra hop through two delegates.
	DefaultRemoteSuspectAfter = 8 * time.Second
	// relayInterval is how often a delegate passes on the members of other regions.
	relayInterval = 4 * time.Second
	// teamsInterval is how often the figures per team of other members are passed on. They are the largest
	// part of a statement, and each region has one delegate for all of them.
	teamsInterval = 30 * time.Second
	// forgetAfter removes members that have been silent for long and are not listed.
	forgetAfter = time.Minute
)

// Peer is a known entry instance.
type Peer struct {
	Member *peerpb.Member
	// HeardAt is when a newer statement of the peer last arrived. It is zero for a peer known from the list only.
	HeardAt time.Time
	// Listed is false when the platform no longer lists the instance.
	Listed bool
	// ListedLeaving means that the platform lists the instance as leaving.
	ListedLeaving bool
	// attemptedAt is when the last exchange with the peer was begun.
	attemptedAt time.Time
	// relayedAt is when members of other regions were last passed on to the peer.
	relayedAt time.Time
	// teamsAt is when figures per team of other members were last passed on to the peer.
	teamsAt time.Time
}

// Tracker is the membership view. Self has to be set; other zero values mean the defaults.
// It is not safe for concurrent use.
type Tracker struct {
	// Self is this instance's own statement. The owner changes it between calls.
	Self *peerpb.Member
	// Interval is the time between exchanges within the region.
	Interval time.Duration
	// RemoteInterval is the time between exchanges of delegates.
	RemoteInterval time.Duration
	// SuspectAfter is the silence after which a peer in the region counts as lost.
	SuspectAfter time.Duration
	// RemoteSuspectAfter is the same for peers in other regions.
	RemoteSuspectAfter time.Duration

	peers map[string]*Peer
	// startedAt is the time of the first call of Due.
	startedAt time.Time
}

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

// SetList takes the entry instances of the platform's list, which makes unknown peers reachable.
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
		if peer.HeardAt.IsZero() {
			peer.Member.Region = instance.Place.Region
			peer.Member.Site = instance.Place.Site
			peer.Member.Address = instance.Address.String()
		}
	}
	for id, peer := range tracker.peers {
		if !peer.Listed && now.Sub(peer.HeardAt) > forgetAfter {
			delete(tracker.peers, id)
		}
	}
}

// Merge takes what another instance told.
func (tracker *Tracker) Merge(now time.Time, view *peerpb.View) {
	for _, member := range view.GetMembers() {
		if member.GetId() == "" || member.GetId() == tracker.Self.GetId() {
			continue
		}
		peer := tracker.peer(member.GetId())
		if !newer(member, peer.Member) {
			continue
		}
		merged := proto.CloneOf(member)
		keepTeams(merged, peer.Member)
		peer.Member = merged
		peer.HeardAt = now
	}
}

// newer reports whether a is a later statement than b of the same instance.
// Incarnations begin with the start time, so their text order is their time order.
func newer(a, b *peerpb.Member) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	return a.GetSequence() > b.GetSequence()
}

// keepTeams fills in the team figures that a statement leaves out because they are unchanged.
func keepTeams(member, previous *peerpb.Member) {
	for _, shard := range member.GetShards() {
		if len(shard.GetTeams()) > 0 {
			continue
		}
		for _, old := range previous.GetShards() {
			if old.GetShard() == shard.GetShard() {
				shard.Teams = old.GetTeams()
			}
		}
	}
}

// Live returns the members that were heard from recently, this instance included, ordered by ID.
func (tracker *Tracker) Live(now time.Time) []*peerpb.Member {
	live := []*peerpb.Member{tracker.Self}
	for _, peer := range tracker.peers {
		if tracker.alive(now, peer) {
			live = append(live, peer.Member)
		}
	}
	slices.SortFunc(live, func(a, b *peerpb.Member) int {
		return cmp.Compare(a.GetId(), b.GetId())
	})
	return live
}

func (tracker *Tracker) alive(now time.Time, peer *Peer) bool {
	if peer.HeardAt.IsZero() {
		return false
	}
	limit := or(tracker.RemoteSuspectAfter, DefaultRemoteSuspectAfter)
	if peer.Member.GetRegion() == tracker.Self.GetRegion() {
		limit = or(tracker.SuspectAfter, DefaultSuspectAfter)
	}
	return now.Sub(peer.HeardAt) < limit
}

// Silent returns the members that are listed as live but were not heard from in time.
func (tracker *Tracker) Silent(now time.Time) []*peerpb.Member {
	var silent []*peerpb.Member
	for _, peer := range tracker.peers {
		if peer.Listed && !peer.ListedLeaving && !tracker.alive(now, peer) {
			silent = append(silent, peer.Member)
		}
	}
	slices.SortFunc(silent, func(a, b *peerpb.Member) int {
		return cmp.Compare(a.GetId(), b.GetId())
	})
	return silent
}

func or(value, standard time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return standard
}

// Exchange is one exchange to carry out.
type Exchange struct {
	ID      string
	Region  string
	Address netip.AddrPort
	View    *peerpb.View
}

// Due returns the exchanges to begin now.
func (tracker *Tracker) Due(now time.Time) []Exchange {
	if tracker.startedAt.IsZero() {
		tracker.startedAt = now
	}
	delegate := tracker.delegate(now, tracker.Self.GetRegion()) == tracker.Self.GetId()
	var due []Exchange
	for id, peer := range tracker.peers {
		if !tracker.due(now, id, peer, delegate) {
			continue
		}
		address, err := netip.ParseAddrPort(peer.Member.GetAddress())
		if err != nil {
			continue
		}
		peer.attemptedAt = now
		due = append(due, Exchange{
			ID:      id,
			Region:  peer.Member.GetRegion(),
			Address: address,
			View:    tracker.viewFor(now, peer, delegate),
		})
	}
	slices.SortFunc(due, func(a, b Exchange) int {
		return cmp.Compare(a.ID, b.ID)
	})
	return due
}

func (tracker *Tracker) due(now time.Time, id string, peer *Peer, delegate bool) bool {
	if !peer.Listed && !tracker.alive(now, peer) {
		return false
	}
	interval := or(tracker.Interval, DefaultInterval)
	if peer.Member.GetRegion() != tracker.Self.GetRegion() {
		interval = or(tracker.RemoteInterval, DefaultRemoteInterval)
		if !delegate || tracker.delegate(now, peer.Member.GetRegion()) != id {
			return false
		}
	}
	if now.Sub(peer.attemptedAt) < interval {
		return false
	}
	// One exchange carries both statements, so the lower ID begins it. The other side takes over when it hears nothing.
	return tracker.Self.GetId() < id || now.Sub(peer.HeardAt) > interval+interval/2
}

// delegate returns the lowest ID of a region's live members. When none is known to live, it returns the
// listed member that was tried least recently, so that a region whose first members all failed is found again.
func (tracker *Tracker) delegate(now time.Time, region string) string {
	live, listed := "", ""
	if tracker.Self.GetRegion() == region {
		live = tracker.Self.GetId()
	}
	for id, peer := range tracker.peers {
		if peer.Member.GetRegion() != region {
			continue
		}
		present := tracker.alive(now, peer) || tracker.expected(now, peer)
		if present && !peer.Member.GetLeaving() && (live == "" || id < live) {
			live = id
		}
		if peer.Listed && (listed == "" || tracker.triedBefore(id, listed)) {
			listed = id
		}
	}
	if live != "" {
		return live
	}
	return listed
}

// expected reports whether a listed peer of the own region may only not have been heard yet, because
// this instance has just started. Otherwise all instances of a region that start together would take
// themselves for its delegate.
func (tracker *Tracker) expected(now time.Time, peer *Peer) bool {
	return peer.Listed && peer.HeardAt.IsZero() && peer.Member.GetRegion() == tracker.Self.GetRegion() &&
		now.Sub(tracker.startedAt) < or(tracker.SuspectAfter, DefaultSuspectAfter)
}

func (tracker *Tracker) triedBefore(a, b string) bool {
	order := tracker.peers[a].attemptedAt.Compare(tracker.peers[b].attemptedAt)
	return order < 0 || order == 0 && a < b
}

// viewFor returns what to tell a peer: the own statement, to another region also the own region's
// members, and now and then, as the delegate, the other regions' members to a peer in the region.
func (tracker *Tracker) viewFor(now time.Time, peer *Peer, delegate bool) *peerpb.View {
	view := &peerpb.View{
		Members: []*peerpb.Member{tracker.Self},
	}
	own := tracker.Self.GetRegion()
	foreign := peer.Member.GetRegion() != own
	relay := delegate && !foreign && now.Sub(peer.relayedAt) >= relayInterval
	if !foreign && !relay {
		return view
	}
	if relay {
		peer.relayedAt = now
	}
	teams := now.Sub(peer.teamsAt) >= teamsInterval
	if teams {
		peer.teamsAt = now
	}
	for _, other := range tracker.peers {
		local := other.Member.GetRegion() == own
		if other != peer && tracker.alive(now, other) && local == foreign {
			view.Members = append(view.Members, passedOn(other.Member, teams))
		}
	}
	return view
}

// passedOn returns a member's statement with or without its figures per team. The receiver keeps those
// that it has.
func passedOn(member *peerpb.Member, teams bool) *peerpb.Member {
	if teams || len(member.GetShards()) == 0 {
		return member
	}
	copied := proto.CloneOf(member)
	for _, shard := range copied.GetShards() {
		shard.Teams = nil
	}
	return copied
}

// Answer returns what to tell the peer that began an exchange.
func (tracker *Tracker) Answer(now time.Time, id string) *peerpb.View {
	delegate := tracker.delegate(now, tracker.Self.GetRegion()) == tracker.Self.GetId()
	peer, ok := tracker.peers[id]
	if !ok {
		return &peerpb.View{
			Members: []*peerpb.Member{tracker.Self},
		}
	}
	return tracker.viewFor(now, peer, delegate)
}

// Peer returns what is known of an instance.
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
