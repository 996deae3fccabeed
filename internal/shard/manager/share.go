package manager

import (
	"golang.org/x/time/rate"

	"pomelomoor/internal/member/peerpb"
)

// WriteShare is this instance's part of the cell's budget of store writes, in proportion to its shards.
// Instances without shards write no journal; a part for each of them would delay the others' starts.
func WriteShare(self string, budget int, live []*peerpb.Member) rate.Limit {
	own, all := 0, 0
	for _, member := range live {
		count := len(member.GetShards())
		all += count
		if member.GetId() == self {
			own = count
		}
	}
	if own == 0 {
		// The first shard may come before the next view.
		own, all = 1, max(all+1, len(live))
	}
	return rate.Limit(float64(budget) * float64(own) / float64(all))
}
