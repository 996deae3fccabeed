package manager_test

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"pomelomoor/internal/member/holder"
	"pomelomoor/internal/member/peerpb"
	"pomelomoor/internal/shard/manager"
	"pomelomoor/internal/work/descriptor"
)

// cell is a store of owner keys with a view of members that is always up to date.
type cell struct {
	live     []*peerpb.Member
	owners   map[descriptor.ShardID]string
	managers map[string]*manager.Manager
}

type ownership struct {
	*cell
	self string
}

func (ownership ownership) Acquire(_ context.Context, shard descriptor.ShardID) error {
	if ownership.owners[shard] != "" {
		return holder.ErrOwned
	}
	ownership.owners[shard] = ownership.self
	return nil
}

func (ownership ownership) Release(_ context.Context, shard descriptor.ShardID) error {
	if ownership.owners[shard] == ownership.self {
		delete(ownership.owners, shard)
	}
	return nil
}

func (cell *cell) Candidates(_ descriptor.ShardID, region string) []*peerpb.Member {
	candidates := slices.Clone(cell.live)
	slices.SortStableFunc(candidates, func(a, b *peerpb.Member) int {
		return strings.Compare(a.GetRegion()+a.GetId(), b.GetRegion()+b.GetId())
	})
	slices.SortStableFunc(candidates, func(a, _ *peerpb.Member) int {
		if a.GetRegion() == region {
			return -1
		}
		return 0
	})
	return candidates
}

func (cell *cell) Owner(shard descriptor.ShardID) *peerpb.Member {
	for _, member := range cell.live {
		if member.GetId() == cell.owners[shard] {
			return member
		}
	}
	return nil
}

type running struct {
	ended chan struct{}
}

func (running running) Stop() {}

func (running running) Ended() <-chan struct{} {
	return running.ended
}

var shards = []manager.Shard{
	{
		ID:     "site-a-0",
		Region: "a",
	},
	{
		ID:     "site-b-0",
		Region: "b",
	},
}

func (cell *cell) join(id, region string) {
	cell.live = append(cell.live, &peerpb.Member{
		Id:     id,
		Region: region,
	})
	cell.managers[id] = manager.New(manager.Options{
		Self:   id,
		Region: region,
		Shards: shards,
		Ownership: ownership{
			cell: cell,
			self: id,
		},
		View: cell,
		Start: func(context.Context, descriptor.ShardID) (manager.Running, error) {
			return running{
				ended: make(chan struct{}),
			}, nil
		},
	})
}

// TestShardReturnsToItsRegion guards against a shard that stays with an owner in another region,
// whose messages to workers cross regions, and against a region that takes foreign shards at its start.
func TestShardReturnsToItsRegion(t *testing.T) {
	cell := &cell{
		owners:   map[descriptor.ShardID]string{},
		managers: map[string]*manager.Manager{},
	}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	run := func(duration time.Duration) {
		for end := now.Add(duration); now.Before(end); now = now.Add(manager.DefaultInterval) {
			for _, member := range cell.live {
				cell.managers[member.GetId()].Step(t.Context(), now)
			}
		}
	}
	cell.join("a1", "a")
	run(2 * time.Second)
	if got := cell.owners["site-b-0"]; got != "" {
		t.Errorf("shard of region b is owned by %q before its own region had time to start", got)
	}
	run(20 * time.Second)
	if got := cell.owners["site-b-0"]; got != "a1" {
		t.Fatalf("shard of the lost region b is owned by %q, want a1", got)
	}
	cell.join("b1", "b")
	run(5 * time.Second)
	if cell.owners["site-b-0"] != "b1" || cell.owners["site-a-0"] != "a1" {
		t.Errorf("owners are %v, want each shard in its region", cell.owners)
	}
}
