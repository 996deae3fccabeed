package manager

import (
	"golang.org/x/time/rate"

	"pomelomoor/internal/member/peerpb"
)

// WriteShare returns this instance's share of the cell's budget of store writes, in proportion to the
// shards it owns. Instances without shards write no journal, so a share for each of them would only
// delay the task starts of the owners.
func WriteShare(self string, budget int, live []*peerpb.Member) rate.Limit {
	ownShards, totalShards := 0, 0
	for _, member := range live {
		count := len(member.GetShards())
		totalShards += count
		if member.GetId() == self {
			ownShards = count
		}
	}
	if ownShards == 0 {
		// This instance may acquire its first shard before the next view arrives.
		ownShards, totalShards = 1, max(totalShards+1, len(live))
	}
	return rate.Limit(float64(budget) * float64(ownShards) / float64(totalShards))
}
