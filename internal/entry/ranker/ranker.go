// Package ranker orders the shards that may run a job, by a random draw weighted by their free capacity.
// It does no I/O.
package ranker

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"pomelomoor/internal/work/descriptor"
	"pomelomoor/internal/work/selector"
)

// Parameters of the ranking.
const (
	// remoteWeightFactor reduces the weight of shards in other regions, since messages to them cross regions.
	remoteWeightFactor = 0.5
	// minWeight is the weight of a shard without free capacity. It is divided by the load when waiting work
	// brings the load above 1.
	minWeight = 0.02
	// assignmentTTL bounds how long an assignment is added to a shard's load, in case its owner sends no report.
	assignmentTTL = 3 * time.Second
)

// Shard is the state of one shard as last reported by its owner.
type Shard struct {
	ID     descriptor.ShardID
	Region string
	Site   string
	// HasOwner is false when the shard has no known owner.
	HasOwner bool
	Capacity descriptor.Resources
	Free     descriptor.Resources
	Waiting  descriptor.Resources
	// ReportedAt is when the owner's last report arrived.
	ReportedAt time.Time
}

// assignment records a job that this instance sent to a shard.
type assignment struct {
	at     time.Time
	amount descriptor.Resources
}

// Ranker ranks shards. It tracks the jobs that this instance sent to a shard since the owner's last report.
// Region and Random have to be set. It is not safe for concurrent use.
type Ranker struct {
	// Region is this instance's region.
	Region string
	Random *rand.Rand

	assignments map[descriptor.ShardID][]assignment
}

// Rank returns the shards whose region and site satisfy the selectors, in random order weighted by their
// free capacity. Reports are about one second old: if every instance picked the least loaded shard, a burst
// of jobs would queue there while other sites have free capacity.
func (ranker *Ranker) Rank(now time.Time, shards []Shard, selectors []selector.Selector) []descriptor.ShardID {
	type candidate struct {
		id descriptor.ShardID
		// key is exponentially distributed with the weight as its rate. Sorting by such keys draws a
		// weighted random sample without replacement.
		key float64
	}
	var candidates []candidate
	for _, shard := range shards {
		if !satisfies(selectors, shard) {
			continue
		}
		candidates = append(candidates, candidate{
			id:  shard.ID,
			key: ranker.Random.ExpFloat64() / ranker.weight(now, shard),
		})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.id, b.id))
	})
	order := make([]descriptor.ShardID, 0, len(candidates))
	for _, candidate := range candidates {
		order = append(order, candidate.id)
	}
	return order
}

func satisfies(selectors []selector.Selector, shard Shard) bool {
	labels := descriptor.Labels{
		"Region": shard.Region,
		"Site":   shard.Site,
	}
	for _, selector := range selectors {
		if !selector.MatchesKnown(labels, "Region", "Site") {
			return false
		}
	}
	return true
}

// weight returns the free share of a shard's capacity, reduced by waiting work and recent assignments.
func (ranker *Ranker) weight(now time.Time, shard Shard) float64 {
	if !shard.HasOwner {
		// The shard is ranked last but not left out, since it may be the only one that satisfies the selectors.
		return minWeight / 1000
	}
	load := ranker.load(now, shard)
	weight := max(1-load, minWeight/max(load, 1))
	if shard.Region != ranker.Region {
		weight *= remoteWeightFactor
	}
	return weight
}

// load returns the share of a shard's capacity that is used, requested by waiting work, or taken by recent
// assignments. It removes assignments that the owner's report covers or that are older than assignmentTTL.
func (ranker *Ranker) load(now time.Time, shard Shard) float64 {
	demand := shard.Capacity.Sub(shard.Free).Add(shard.Waiting)
	pending := ranker.assignments[shard.ID][:0]
	for _, assignment := range ranker.assignments[shard.ID] {
		if assignment.at.After(shard.ReportedAt) && now.Sub(assignment.at) < assignmentTTL {
			pending = append(pending, assignment)
			demand = demand.Add(assignment.amount)
		}
	}
	if ranker.assignments != nil {
		ranker.assignments[shard.ID] = pending
	}
	return demand.DominantShare(shard.Capacity)
}

// RecordAssignment records that this instance sends a job to a shard.
func (ranker *Ranker) RecordAssignment(now time.Time, id descriptor.ShardID, job *descriptor.Job) {
	if ranker.assignments == nil {
		ranker.assignments = map[descriptor.ShardID][]assignment{}
	}
	ranker.assignments[id] = append(ranker.assignments[id], assignment{
		at:     now,
		amount: job.Task.Scale(int64(job.TaskCount())),
	})
}
