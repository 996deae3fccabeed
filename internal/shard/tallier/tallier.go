// Package tallier adds up what each team uses in the shards of a cell, because quotas apply to the whole
// cell.
package tallier

import "pomelomoor/internal/work/descriptor"

// Use maps each team to the resources it uses.
type Use map[string]descriptor.Resources

// Tallier holds the latest known use in each shard. The zero value is empty and ready to use. A shard
// whose owner is lost keeps its figures until the next owner publishes new ones, because its runs go on.
type Tallier struct {
	shards map[descriptor.ShardID]Use
}

// Set replaces the use in one shard.
func (tallier *Tallier) Set(shard descriptor.ShardID, use Use) {
	if tallier.shards == nil {
		tallier.shards = map[descriptor.ShardID]Use{}
	}
	tallier.shards[shard] = use
}

// Elsewhere returns what each team uses in all shards other than the given one.
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
