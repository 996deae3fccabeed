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

// fakeCell holds the owner keys and a membership view that is always up to date.
type fakeCell struct {
	members  []*peerpb.Member
	owners   map[descriptor.ShardID]string
	managers map[string]*manager.Manager
}

type fakeOwnership struct {
	*fakeCell
	id string
}

func (fakeOwnership fakeOwnership) Acquire(_ context.Context, shard descriptor.ShardID) error {
	if fakeOwnership.owners[shard] != "" {
		return holder.ErrOwned
	}
	fakeOwnership.owners[shard] = fakeOwnership.id
	return nil
}

func (fakeOwnership fakeOwnership) Release(_ context.Context, shard descriptor.ShardID) error {
	if fakeOwnership.owners[shard] == fakeOwnership.id {
		delete(fakeOwnership.owners, shard)
	}
	return nil
}

func (fakeCell *fakeCell) Candidates(_ descriptor.ShardID, region string) []*peerpb.Member {
	candidates := slices.Clone(fakeCell.members)
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

func (fakeCell *fakeCell) Owner(shard descriptor.ShardID) *peerpb.Member {
	for _, member := range fakeCell.members {
		if member.GetId() == fakeCell.owners[shard] {
			return member
		}
	}
	return nil
}

type fakeDriver struct {
	ended chan struct{}
}

func (fakeDriver fakeDriver) Stop() {}

func (fakeDriver fakeDriver) Ended() <-chan struct{} {
	return fakeDriver.ended
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

func (fakeCell *fakeCell) join(id, region string) {
	fakeCell.members = append(fakeCell.members, &peerpb.Member{
		Id:     id,
		Region: region,
	})
	fakeCell.managers[id] = manager.New(manager.Options{
		Self:   id,
		Region: region,
		Shards: shards,
		Ownership: fakeOwnership{
			fakeCell: fakeCell,
			id:       id,
		},
		Membership: fakeCell,
		Start: func(context.Context, descriptor.ShardID) (manager.Driver, error) {
			return fakeDriver{
				ended: make(chan struct{}),
			}, nil
		},
	})
}

// TestShardReturnsToItsRegion guards against a shard that stays with an owner in another region, so that
// messages to its workers cross regions, and against instances that acquire shards of another region
// while that region is still starting.
func TestShardReturnsToItsRegion(t *testing.T) {
	cell := &fakeCell{
		owners:   map[descriptor.ShardID]string{},
		managers: map[string]*manager.Manager{},
	}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	advance := func(duration time.Duration) {
		for end := now.Add(duration); now.Before(end); now = now.Add(manager.DefaultInterval) {
			for _, member := range cell.members {
				cell.managers[member.GetId()].Step(t.Context(), now)
			}
		}
	}
	cell.join("a1", "a")
	advance(2 * time.Second)
	if got := cell.owners["site-b-0"]; got != "" {
		t.Errorf("shard of region b is owned by %q before region b had time to start", got)
	}
	advance(20 * time.Second)
	if got := cell.owners["site-b-0"]; got != "a1" {
		t.Fatalf("shard of region b, which has no members, is owned by %q, want a1", got)
	}
	cell.join("b1", "b")
	advance(5 * time.Second)
	if cell.owners["site-b-0"] != "b1" || cell.owners["site-a-0"] != "a1" {
		t.Errorf("owners are %v, want each shard in its region", cell.owners)
	}
}
