package tracker

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pomelomoor/internal/member/peerpb"
	"pomelomoor/internal/work/descriptor"
)

// Candidates returns the live members that may own a shard, best first: those of the shard's region by
// rendezvous hashing, then the others by rendezvous hashing. Leaving members are excluded.
func (tracker *Tracker) Candidates(now time.Time, shard descriptor.ShardID, region string) []*peerpb.Member {
	var candidates []*peerpb.Member
	for _, member := range tracker.Live(now) {
		if !member.GetLeaving() {
			candidates = append(candidates, member)
		}
	}
	slices.SortFunc(candidates, func(a, b *peerpb.Member) int {
		if regionOrder := compareBool(b.GetRegion() == region, a.GetRegion() == region); regionOrder != 0 {
			return regionOrder
		}
		if order := cmp.Compare(rendezvousScore(b, shard), rendezvousScore(a, shard)); order != 0 {
			return order
		}
		return cmp.Compare(a.GetId(), b.GetId())
	})
	return candidates
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

func rendezvousScore(member *peerpb.Member, shard descriptor.ShardID) uint64 {
	return xxhash.Sum64String(member.GetId() + "\x00" + string(shard))
}

// Rank returns this instance's index among a shard's candidates, or -1 if it is leaving.
func (tracker *Tracker) Rank(now time.Time, shard descriptor.ShardID, region string) int {
	return slices.IndexFunc(tracker.Candidates(now, shard, region), func(member *peerpb.Member) bool {
		return member.GetId() == tracker.Self.GetId()
	})
}
