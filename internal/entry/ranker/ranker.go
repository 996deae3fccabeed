// Package ranker orders the shards that may take a job by their room. It does no I/O.
package ranker

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"pomelomoor/internal/work/descriptor"
	"pomelomoor/internal/work/selector"
)

// Constants of the choice.
const (
	// remoteFactor lowers the weight of shards in other regions, since their messages cross regions.
	remoteFactor = 0.5
	// leastWeight is the weight of a shard without room; it falls further with the work that waits.
	leastWeight = 0.02
	// recallFor bounds how long an own choice is added to a shard's load if the shard's owner is not heard.
	recallFor = 3 * time.Second
)

// Shard is one shard as its owner described it.
type Shard struct {
	ID     descriptor.ShardID
	Region string
	Site   string
	// Known is false when no owner is known.
	Known    bool
	Capacity descriptor.Resources
	Free     descriptor.Resources
	Waiting  descriptor.Resources
	// HeardAt is when the description arrived.
	HeardAt time.Time
}

// choice is a job that was sent to a shard by this instance.
type choice struct {
	at     time.Time
	amount descriptor.Resources
}

// Ranker remembers the own choices that the shards' owners cannot have described yet.
// Region and Random have to be set. It is not safe for concurrent use.
type Ranker struct {
	// Region is this instance's region.
	Region string
	Random *rand.Rand

	choices map[descriptor.ShardID][]choice
}

// Rank returns the shards whose region and site meet the selectors, in random order weighted by their
// room. What instances know of shards is a second old, so if all sent to the emptiest one, a wave of
// jobs would queue there beside sites with room.
func (ranker *Ranker) Rank(now time.Time, shards []Shard, wanted []selector.Selector) []descriptor.ShardID {
	type ranked struct {
		id descriptor.ShardID
		// arrival is exponentially distributed with the weight as its rate: the order of such
		// arrivals is a weighted sample without replacement.
		arrival float64
	}
	var eligible []ranked
	for _, shard := range shards {
		if !admits(wanted, shard) {
			continue
		}
		eligible = append(eligible, ranked{
			id:      shard.ID,
			arrival: ranker.Random.ExpFloat64() / ranker.weight(now, shard),
		})
	}
	slices.SortFunc(eligible, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.arrival, b.arrival), cmp.Compare(a.id, b.id))
	})
	order := make([]descriptor.ShardID, 0, len(eligible))
	for _, ranked := range eligible {
		order = append(order, ranked.id)
	}
	return order
}

func admits(wanted []selector.Selector, shard Shard) bool {
	labels := descriptor.Labels{
		"Region": shard.Region,
		"Site":   shard.Site,
	}
	for _, selector := range wanted {
		if !selector.Admits(labels, "Region", "Site") {
			return false
		}
	}
	return true
}

// weight is the free part of a shard's capacity, less what waits and what was sent there a moment ago.
func (ranker *Ranker) weight(now time.Time, shard Shard) float64 {
	if !shard.Known {
		// Such a shard comes last, but it may be the only one that the selectors admit.
		return leastWeight / 1000
	}
	load := ranker.load(now, shard)
	weight := max(1-load, leastWeight/max(load, 1))
	if shard.Region != ranker.Region {
		weight *= remoteFactor
	}
	return weight
}

// load is the part of a shard's capacity that is used, waited for, or sent there a moment ago.
func (ranker *Ranker) load(now time.Time, shard Shard) float64 {
	amount := shard.Capacity.Sub(shard.Free).Add(shard.Waiting)
	kept := ranker.choices[shard.ID][:0]
	for _, choice := range ranker.choices[shard.ID] {
		if choice.at.After(shard.HeardAt) && now.Sub(choice.at) < recallFor {
			kept = append(kept, choice)
			amount = amount.Add(choice.amount)
		}
	}
	if ranker.choices != nil {
		ranker.choices[shard.ID] = kept
	}
	return amount.DominantShare(shard.Capacity)
}

// Chosen records that a job is sent to a shard.
func (ranker *Ranker) Chosen(now time.Time, id descriptor.ShardID, job *descriptor.Job) {
	if ranker.choices == nil {
		ranker.choices = map[descriptor.ShardID][]choice{}
	}
	ranker.choices[id] = append(ranker.choices[id], choice{
		at:     now,
		amount: job.Task.Scale(int64(job.TaskCount())),
	})
}
