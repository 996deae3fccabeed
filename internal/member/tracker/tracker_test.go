package tracker_test

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pomelomoor/internal/gateway/lister"
	"pomelomoor/internal/member/peerpb"
	"pomelomoor/internal/member/tracker"
	"pomelomoor/internal/work/descriptor"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// network is a set of trackers that exchange views directly.
type network struct {
	trackers map[string]*tracker.Tracker
	down     map[string]bool
	cut      map[[2]string]bool
	list     []lister.Instance
	messages map[[2]string]int
	// teams counts figures per team that were sent.
	teams int
}

func teamsOf(view *peerpb.View) int {
	count := 0
	for _, member := range view.GetMembers() {
		for _, shard := range member.GetShards() {
			count += len(shard.GetTeams())
		}
	}
	return count
}

func newNetwork(regions []string, perRegion int) *network {
	network := &network{
		trackers: map[string]*tracker.Tracker{},
		down:     map[string]bool{},
		cut:      map[[2]string]bool{},
		messages: map[[2]string]int{},
	}
	for _, region := range regions {
		for i := range perRegion {
			id := fmt.Sprintf("%s-%d", region, i)
			network.list = append(network.list, lister.Instance{
				ID:      id,
				Role:    lister.RoleEntry,
				State:   lister.StateLive,
				Address: netip.MustParseAddrPort("127.0.0.1:1"),
				Place: descriptor.Place{
					Region: region,
				},
			})
			network.trackers[id] = &tracker.Tracker{
				Self: &peerpb.Member{
					Id:          id,
					Region:      region,
					Incarnation: "1",
					Address:     "127.0.0.1:1",
				},
			}
		}
	}
	return network
}

func (network *network) step(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(network.trackers)) {
		from := network.trackers[id]
		if network.down[id] {
			continue
		}
		from.Self.Sequence++
		from.SetList(now, network.list)
		for _, exchange := range from.Due(now) {
			pair := [2]string{from.Self.Region, exchange.Region}
			network.messages[pair]++
			if network.down[exchange.ID] || network.cut[pair] {
				continue
			}
			to := network.trackers[exchange.ID]
			to.Merge(now, exchange.View)
			answer := to.Answer(now, id)
			from.Merge(now, answer)
			network.teams += teamsOf(exchange.View) + teamsOf(answer)
		}
	}
}

// TestLostMemberIsNoticed guards against views that keep a dead member or drop a live one,
// and against traffic between regions that grows with the number of members.
func TestLostMemberIsNoticed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perRegion := rapid.IntRange(1, 5).Draw(t, "perRegion")
		network := newNetwork([]string{"a", "b", "c"}, perRegion)
		now := epoch
		run := func(seconds int) {
			for range seconds {
				now = now.Add(time.Second)
				network.step(now)
			}
		}
		run(15)
		for id, tracker := range network.trackers {
			if got := len(tracker.Live(now)); got != len(network.trackers) {
				t.Fatalf("%s sees %d live members, want %d", id, got, len(network.trackers))
			}
		}
		for id := range network.trackers {
			if rapid.Bool().Draw(t, "down "+id) {
				network.down[id] = true
			}
		}
		run(25)
		up := len(network.trackers) - len(network.down)
		for id, tracker := range network.trackers {
			if network.down[id] {
				continue
			}
			if got := len(tracker.Live(now)); got != up {
				t.Fatalf("%s sees %d live members after the loss, want %d", id, got, up)
			}
		}
	})
}

// TestRemoteTraffic guards against exchanges between regions by every member instead of by delegates only.
func TestRemoteTraffic(t *testing.T) {
	network := newNetwork([]string{"a", "b"}, 8)
	now := epoch
	for range 60 {
		now = now.Add(time.Second)
		network.step(now)
	}
	remote := network.messages[[2]string{"a", "b"}] + network.messages[[2]string{"b", "a"}]
	t.Logf("%d exchanges between two regions in 60 s", remote)
	// One exchange each 2 s, and some more at the start while the delegates are not known.
	if remote > 40 {
		t.Errorf("%d exchanges between two regions in 60 s, want at most 40", remote)
	}
}

// TestTeams guards against figures per team that other regions never learn, and against ones that are
// passed on with every exchange.
func TestTeams(t *testing.T) {
	network := newNetwork([]string{"a", "b"}, 4)
	owner := network.trackers["a-2"]
	now := epoch
	for second := range 120 {
		now = now.Add(time.Second)
		owner.Self.Shards = []*peerpb.OwnedShard{
			{
				Shard: "a-shard",
			},
		}
		// The owner itself leaves the figures out in most statements.
		if second%4 == 0 {
			owner.Self.Shards[0].Teams = []*peerpb.TeamUse{
				{
					Team: "yard",
				},
			}
		}
		network.step(now)
	}
	for id, tracker := range network.trackers {
		if id == "a-2" {
			continue
		}
		peer, ok := tracker.Peer("a-2")
		if !ok || len(peer.Member.GetShards()) != 1 || len(peer.Member.GetShards()[0].GetTeams()) != 1 {
			t.Errorf("%s knows %v", id, peer.Member)
		}
	}
	// Three peers hear the owner itself every 4 s, and the others pass it on every 30 s.
	t.Logf("%d figures per team sent in 120 s", network.teams)
	if limit := 3*120/4 + 4*2*8; network.teams > limit {
		t.Errorf("%d figures per team sent, want at most %d", network.teams, limit)
	}
}

// TestStaleStatement guards against an old statement that arrives late and replaces a newer one.
func TestStaleStatement(t *testing.T) {
	self := &tracker.Tracker{
		Self: &peerpb.Member{
			Id: "a",
		},
	}
	state := func(incarnation string, sequence, revision uint64) *peerpb.View {
		return &peerpb.View{
			Members: []*peerpb.Member{
				{
					Id:             "b",
					Incarnation:    incarnation,
					Sequence:       sequence,
					ConfigRevision: revision,
				},
			},
		}
	}
	self.Merge(epoch, state("2", 5, 9))
	self.Merge(epoch, state("2", 4, 8))
	self.Merge(epoch, state("1", 99, 7))
	peer, _ := self.Peer("b")
	if got := peer.Member.GetConfigRevision(); got != 9 {
		t.Errorf("revision after stale statements: got %d, want 9", got)
	}
}

// TestCandidates guards against two members that both take themselves for the first candidate of a shard.
func TestCandidates(t *testing.T) {
	network := newNetwork([]string{"a", "b"}, 4)
	now := epoch
	for range 15 {
		now = now.Add(time.Second)
		network.step(now)
	}
	for i := range 20 {
		shard := descriptor.ShardID(fmt.Sprintf("site-%d", i))
		first := 0
		for _, tracker := range network.trackers {
			if tracker.Rank(now, shard, "a") == 0 {
				first++
			}
		}
		if first != 1 {
			t.Errorf("%d members rank first for %s, want 1", first, shard)
		}
	}
}
