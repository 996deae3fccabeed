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

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// network is a set of trackers that exchange views by direct calls.
type network struct {
	trackers    map[string]*tracker.Tracker
	down        map[string]bool
	partitioned map[[2]string]bool
	instances   []lister.Instance
	exchanges   map[[2]string]int
	// teamEntries counts the entries of usage per team that were sent.
	teamEntries int
}

func countTeamEntries(view *peerpb.View) int {
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
		trackers:    map[string]*tracker.Tracker{},
		down:        map[string]bool{},
		partitioned: map[[2]string]bool{},
		exchanges:   map[[2]string]int{},
	}
	for _, region := range regions {
		for i := range perRegion {
			id := fmt.Sprintf("%s-%d", region, i)
			network.instances = append(network.instances, lister.Instance{
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
		from.SetList(now, network.instances)
		for _, exchange := range from.Due(now) {
			pair := [2]string{from.Self.Region, exchange.Region}
			network.exchanges[pair]++
			if network.down[exchange.ID] || network.partitioned[pair] {
				continue
			}
			to := network.trackers[exchange.ID]
			to.Merge(now, exchange.View)
			response := to.Respond(now, id)
			from.Merge(now, response)
			network.teamEntries += countTeamEntries(exchange.View) + countTeamEntries(response)
		}
	}
}

// TestLostMemberIsNoticed guards against a view that keeps a failed member or drops a live one. A random
// subset of the members fails, which may include delegates and whole regions.
func TestLostMemberIsNoticed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perRegion := rapid.IntRange(1, 5).Draw(t, "perRegion")
		network := newNetwork([]string{"a", "b", "c"}, perRegion)
		now := startTime
		advance := func(seconds int) {
			for range seconds {
				now = now.Add(time.Second)
				network.step(now)
			}
		}
		advance(15)
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
		advance(25)
		liveCount := len(network.trackers) - len(network.down)
		for id, tracker := range network.trackers {
			if network.down[id] {
				continue
			}
			if got := len(tracker.Live(now)); got != liveCount {
				t.Fatalf("%s sees %d live members after the failures, want %d", id, got, liveCount)
			}
		}
	})
}

// TestRemoteTraffic guards against traffic between regions that grows with the number of members, because
// every member instead of only the delegate exchanges views with another region.
func TestRemoteTraffic(t *testing.T) {
	network := newNetwork([]string{"a", "b"}, 8)
	now := startTime
	for range 60 {
		now = now.Add(time.Second)
		network.step(now)
	}
	remoteExchanges := network.exchanges[[2]string{"a", "b"}] + network.exchanges[[2]string{"b", "a"}]
	t.Logf("%d exchanges between two regions in 60 s", remoteExchanges)
	// One exchange every 2 s, and a few more at the start while the delegates are not known.
	if remoteExchanges > 40 {
		t.Errorf("%d exchanges between two regions in 60 s, want at most 40", remoteExchanges)
	}
}

// TestTeams guards against usage per team that members of other regions never receive, and against usage
// that is relayed with every exchange.
func TestTeams(t *testing.T) {
	network := newNetwork([]string{"a", "b"}, 4)
	owner := network.trackers["a-2"]
	now := startTime
	for second := range 120 {
		now = now.Add(time.Second)
		owner.Self.Shards = []*peerpb.OwnedShard{
			{
				Shard: "a-shard",
			},
		}
		// The owner itself sends its usage per team only every 4 s.
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
			t.Errorf("%s has %v for a-2, want one shard with the usage of one team", id, peer.Member)
		}
	}
	// The owner sends its usage to three peers every 4 s, and delegates relay it to the other members every 30 s.
	t.Logf("%d entries of usage per team sent in 120 s", network.teamEntries)
	if limit := 3*120/4 + 4*2*8; network.teamEntries > limit {
		t.Errorf("%d entries of usage per team sent, want at most %d", network.teamEntries, limit)
	}
}

// TestOutdatedRecord guards against an outdated member record that arrives late and replaces a newer one.
func TestOutdatedRecord(t *testing.T) {
	self := &tracker.Tracker{
		Self: &peerpb.Member{
			Id: "a",
		},
	}
	viewOf := func(incarnation string, sequence, revision uint64) *peerpb.View {
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
	self.Merge(startTime, viewOf("2", 5, 9))
	self.Merge(startTime, viewOf("2", 4, 8))
	self.Merge(startTime, viewOf("1", 99, 7))
	peer, _ := self.Peer("b")
	if got := peer.Member.GetConfigRevision(); got != 9 {
		t.Errorf("revision after merging outdated states: got %d, want 9", got)
	}
}

// TestCandidates guards against two members that both rank themselves first among the candidates of a shard.
func TestCandidates(t *testing.T) {
	network := newNetwork([]string{"a", "b"}, 4)
	now := startTime
	for range 15 {
		now = now.Add(time.Second)
		network.step(now)
	}
	for i := range 20 {
		shard := descriptor.ShardID(fmt.Sprintf("site-%d", i))
		firstRanked := 0
		for _, tracker := range network.trackers {
			if tracker.Rank(now, shard, "a") == 0 {
				firstRanked++
			}
		}
		if firstRanked != 1 {
			t.Errorf("%d members rank first for %s, want 1", firstRanked, shard)
		}
	}
}
