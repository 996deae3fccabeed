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

func cell(count int) []ranker.Shard {
	capacity := descriptor.Resources{
		MilliCPU:    1088000,
		MemoryBytes: 1 << 42,
	}
	shards := make([]ranker.Shard, count)
	for i := range shards {
		shards[i] = ranker.Shard{
			ID:       descriptor.ShardID(fmt.Sprintf("site-%d", i)),
			Region:   fmt.Sprintf("region-%d", i),
			Site:     fmt.Sprintf("site-%d", i),
			Known:    true,
			Capacity: capacity,
			Free:     capacity,
			HeardAt:  start,
		}
	}
	return shards
}

// emptiestShare sends a wave of 60 jobs through 8 instances that hear nothing new meanwhile, and returns
// how many go to the one of three shards that looks empty, while the others look 40 % full.
func emptiestShare(recall bool) int {
	shards := cell(3)
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
		if recall {
			instance.Chosen(now, first, &job)
		}
		counts[first]++
	}
	return counts["site-0"]
}

// TestWaveIsDistributed guards against a wave of jobs that all go to the shard that looked empty
// before it: a site holds 34 of these jobs, and more would wait beside sites with room.
func TestWaveIsDistributed(t *testing.T) {
	if got := emptiestShare(true); got > 34 {
		t.Errorf("the emptiest of 3 shards got %d of 60 jobs and holds 34", got)
	}
}

// firsts counts how often each shard is ranked first.
func firsts(one *ranker.Ranker, now time.Time, shards []ranker.Shard) map[descriptor.ShardID]int {
	counts := map[descriptor.ShardID]int{}
	for range 1000 {
		counts[one.Rank(now, shards, nil)[0]]++
	}
	return counts
}

// TestRecallEndsWithTheNextDescription guards against forgetting what was just sent to a shard, and
// against counting it twice: by recall and by the owner's description.
func TestRecallEndsWithTheNextDescription(t *testing.T) {
	one := &ranker.Ranker{
		Region: "region-0",
		Random: rand.New(rand.NewPCG(1, 1)),
	}
	shards := cell(2)
	for range 34 {
		one.Chosen(start.Add(time.Second), "site-0", &job)
	}
	if counts := firsts(one, start.Add(time.Second), shards); counts["site-0"] > 100 {
		t.Errorf("a shard that was just filled is first %d times of 1000", counts["site-0"])
	}
	shards[0].HeardAt = start.Add(1500 * time.Millisecond)
	if counts := firsts(one, start.Add(2*time.Second), shards); counts["site-0"] < 500 {
		t.Errorf("the own region's shard is first %d times of 1000 after it described itself as empty", counts["site-0"])
	}
}

// TestSelectors guards against jobs sent to a site that their selectors exclude.
func TestSelectors(t *testing.T) {
	one := ranker.Ranker{
		Random: rand.New(rand.NewPCG(1, 1)),
	}
	wanted, err := selector.Parse("Site in (site-1),Disk=Fast")
	if err != nil {
		t.Fatal(err)
	}
	order := one.Rank(start, cell(3), []selector.Selector{wanted})
	if len(order) != 1 || order[0] != "site-1" {
		t.Errorf("order is %v, want site-1 only", order)
	}
}

// BenchmarkWave reports how many of 60 jobs the emptiest of three shards gets with and without recall.
func BenchmarkWave(b *testing.B) {
	for b.Loop() {
		b.ReportMetric(float64(emptiestShare(false)), "without-recall")
		b.ReportMetric(float64(emptiestShare(true)), "with-recall")
	}
}
