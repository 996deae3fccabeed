// Package tallier adds up what teams use in the shards of a cell, because quotas hold for the cell.
package tallier

import "pomelomoor/internal/work/descriptor"

// Use is the use of each team.
type Use map[string]descriptor.Resources

// Tallier holds the latest known use of each shard. The zero value knows of none. A shard whose owner
// is lost keeps its figures until the next owner tells others, because its runs go on.
type Tallier struct {
	shards map[descriptor.ShardID]Use
}

// Set replaces the use of a shard.
func (tallier *Tallier) Set(shard descriptor.ShardID, use Use) {
	if tallier.shards == nil {
		tallier.shards = map[descriptor.ShardID]Use{}
	}
	tallier.shards[shard] = use
}

// Elsewhere returns the use of each team in all shards but one.
func (tallier *Tallier) Elsewhere(shard descriptor.ShardID) Use {
	sum := Use{}
	for other, use := range tallier.shards {
		if other == shard {
			continue
		}
		for team, used := range use {
			sum[team] = sum[team].Add(used)
		}
	}
	return sum
}
