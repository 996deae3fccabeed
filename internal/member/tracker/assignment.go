package tracker

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pomelomoor/internal/member/peerpb"
	"pomelomoor/internal/work/descriptor"
)

// Candidates returns the members that may own a shard, best first: those of the shard's region in
// rendezvous order, then the others in rendezvous order. Leaving members are left out.
func (tracker *Tracker) Candidates(now time.Time, shard descriptor.ShardID, region string) []*peerpb.Member {
	var candidates []*peerpb.Member
	for _, member := range tracker.Live(now) {
		if !member.GetLeaving() {
			candidates = append(candidates, member)
		}
	}
	slices.SortFunc(candidates, func(a, b *peerpb.Member) int {
		if local := compareBool(b.GetRegion() == region, a.GetRegion() == region); local != 0 {
			return local
		}
		if order := cmp.Compare(score(b, shard), score(a, shard)); order != 0 {
			return order
		}
		return cmp.Compare(a.GetId(), b.GetId())
	})
	return candidates
}

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

func score(member *peerpb.Member, shard descriptor.ShardID) uint64 {
	return xxhash.Sum64String(member.GetId() + "\x00" + string(shard))
}

// Rank returns this instance's position among a shard's candidates, or -1 when it is leaving.
func (tracker *Tracker) Rank(now time.Time, shard descriptor.ShardID, region string) int {
	return slices.IndexFunc(tracker.Candidates(now, shard, region), func(member *peerpb.Member) bool {
		return member.GetId() == tracker.Self.GetId()
	})
}
