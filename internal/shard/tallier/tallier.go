// Package tallier adds up what each team uses in the shards of a cell, because quotas apply to the whole
// cell.
package tallier

import "pomelomoor/internal/work/descriptor"

// Usage maps each team to the resources it uses.
type Usage map[string]descriptor.Resources

// Tallier holds the latest known usage in each shard. The zero value is empty and ready to use. A shard
// whose owner is lost keeps its figures until the next owner publishes new ones, because its runs go on.
type Tallier struct {
	shards map[descriptor.ShardID]Usage
}

// Set replaces the usage in one shard.
func (tallier *Tallier) Set(shard descriptor.ShardID, usage Usage) {
	if tallier.shards == nil {
		tallier.shards = map[descriptor.ShardID]Usage{}
	}
	tallier.shards[shard] = usage
}

// OtherShardsUsage returns what each team uses in all shards other than the given one.
func (tallier *Tallier) OtherShardsUsage(shard descriptor.ShardID) Usage {
	sum := Usage{}
	for other, usage := range tallier.shards {
		if other == shard {
			continue
		}
		for team, used := range usage {
			sum[team] = sum[team].Add(used)
		}
	}
	return sum
}
