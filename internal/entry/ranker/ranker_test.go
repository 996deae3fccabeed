package ranker_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pomelomoor/internal/entry/ranker"
	"pomelomoor/internal/work/descriptor"
	"pomelomoor/internal/work/selector"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	job   = descriptor.Job{
		Tasks: 2,
		Task: descriptor.Resources{
			MilliCPU:    16000,
			MemoryBytes: 1 << 30,
		},
	}
)

func idleShards(count int) []ranker.Shard {
	capacity := descriptor.Resources{
		MilliCPU:    1088000,
		MemoryBytes: 1 << 42,
	}
	shards := make([]ranker.Shard, count)
	for i := range shards {
		shards[i] = ranker.Shard{
			ID:         descriptor.ShardID(fmt.Sprintf("site-%d", i)),
			Region:     fmt.Sprintf("region-%d", i),
			Site:       fmt.Sprintf("site-%d", i),
			HasOwner:   true,
			Capacity:   capacity,
			Free:       capacity,
			ReportedAt: start,
		}
	}
	return shards
}

// jobsOnEmptiest sends a burst of 60 jobs through 8 instances that receive no reports meanwhile. It returns
// how many go to the one of three shards that is reported as empty; the others are reported as 40 % full.
func jobsOnEmptiest(recordAssignments bool) int {
	shards := idleShards(3)
	for i := 1; i < len(shards); i++ {
		shards[i].Free.MilliCPU = shards[i].Capacity.MilliCPU * 6 / 10
	}
	counts := map[descriptor.ShardID]int{}
	rankers := make([]ranker.Ranker, 8)
	for i := range rankers {
		rankers[i].Region = fmt.Sprintf("region-%d", i%3)
		rankers[i].Random = rand.New(rand.NewPCG(1, uint64(i)))
	}
	now := start
	for i := range 60 {
		now = now.Add(8 * time.Millisecond)
		instance := &rankers[i%len(rankers)]
		first := instance.Rank(now, shards, nil)[0]
		if recordAssignments {
			instance.RecordAssignment(now, first, &job)
		}
		counts[first]++
	}
	return counts["site-0"]
}

// TestBurstIsDistributed guards against a burst whose jobs all go to the shard that was last reported as
// empty: a site holds 34 of these jobs, and more would wait while other sites have free capacity.
func TestBurstIsDistributed(t *testing.T) {
	if got := jobsOnEmptiest(true); got > 34 {
		t.Errorf("the emptiest of 3 shards got %d of 60 jobs but holds 34", got)
	}
}

// countFirst counts how often each shard is ranked first in 1000 rankings.
func countFirst(instance *ranker.Ranker, now time.Time, shards []ranker.Shard) map[descriptor.ShardID]int {
	counts := map[descriptor.ShardID]int{}
	for range 1000 {
		counts[instance.Rank(now, shards, nil)[0]]++
	}
	return counts
}

// TestAssignmentsCountUntilNextReport guards against ignoring jobs that were just sent to a shard, and against
// counting them twice: as assignments and in the owner's report.
func TestAssignmentsCountUntilNextReport(t *testing.T) {
	instance := &ranker.Ranker{
		Region: "region-0",
		Random: rand.New(rand.NewPCG(1, 1)),
	}
	shards := idleShards(2)
	for range 34 {
		instance.RecordAssignment(start.Add(time.Second), "site-0", &job)
	}
	if counts := countFirst(instance, start.Add(time.Second), shards); counts["site-0"] > 100 {
		t.Errorf("a shard that was just filled is ranked first %d times of 1000", counts["site-0"])
	}
	shards[0].ReportedAt = start.Add(1500 * time.Millisecond)
	if counts := countFirst(instance, start.Add(2*time.Second), shards); counts["site-0"] < 500 {
		t.Errorf("the shard of the instance's region is ranked first %d times of 1000 after it was reported as empty", counts["site-0"])
	}
}

// TestSelectors guards against jobs sent to a site that their selectors exclude.
func TestSelectors(t *testing.T) {
	instance := ranker.Ranker{
		Random: rand.New(rand.NewPCG(1, 1)),
	}
	parsed, err := selector.Parse("Site in (site-1),Disk=Fast")
	if err != nil {
		t.Fatal(err)
	}
	order := instance.Rank(start, idleShards(3), []selector.Selector{parsed})
	if len(order) != 1 || order[0] != "site-1" {
		t.Errorf("order is %v, want site-1 only", order)
	}
}

// BenchmarkBurst reports how many of a burst of 60 jobs the emptiest of three shards gets, with recent
// assignments added to the load and without.
func BenchmarkBurst(b *testing.B) {
	for b.Loop() {
		b.ReportMetric(float64(jobsOnEmptiest(false)), "jobs-without-assignments")
		b.ReportMetric(float64(jobsOnEmptiest(true)), "jobs-with-assignments")
	}
}
