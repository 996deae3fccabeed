package sampler

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"pomelomoor/internal/measure/imitator"
	"pomelomoor/internal/member/exchanger"
	"pomelomoor/internal/member/messenger"
	"pomelomoor/internal/member/peerpb"
	"pomelomoor/internal/member/tracker"
	"pomelomoor/internal/platform/lister"
	"pomelomoor/internal/work/descriptor"
)

// member is an instance's statement. Teams are sent in one of four statements only.
func member(index, shards, teams int) *peerpb.Member {
	member := &peerpb.Member{
		Id:             fmt.Sprintf("north-a-entry-%02d", index),
		Sequence:       100_000,
		Incarnation:    "01796367600123456789",
		Region:         region,
		Site:           site,
		Address:        "127.0.0.1:40123",
		ConfigRevision: 100_000,
		StoreReachable: true,
		FreeSlots: []*peerpb.FreeSlots{
			{
				Service: "lending-desk",
				Slots:   7,
			},
		},
	}
	for shard := range shards {
		owned := &peerpb.OwnedShard{
			Shard:    fmt.Sprintf("north-a-%d", shard),
			Epoch:    1000,
			Capacity: exchanger.Amount(imitator.Capacity.Scale(140)),
			Free:     exchanger.Amount(imitator.Capacity.Scale(31)),
			Waiting:  exchanger.Amount(imitator.Capacity.Scale(7)),
		}
		for team := range teams {
			owned.Teams = append(owned.Teams, &peerpb.TeamUse{
				Team: fmt.Sprintf("team-%02d", team),
				Used: exchanger.Amount(imitator.Capacity.Scale(3)),
			})
		}
		member.Shards = append(member.Shards, owned)
	}
	return member
}

// echo answers an exchange with its own view.
type echo struct {
	peerpb.UnimplementedPeerServer

	view *peerpb.View
}

func (echo *echo) Exchange(context.Context, *peerpb.View) (*peerpb.View, error) {
	return echo.view, nil
}

type countingConn struct {
	net.Conn

	bytes *atomic.Int64
}

func (conn countingConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	conn.bytes.Add(int64(count))
	return count, err
}

func (conn countingConn) Write(buffer []byte) (int, error) {
	count, err := conn.Conn.Write(buffer)
	conn.bytes.Add(int64(count))
	return count, err
}

// BenchmarkExchange exchanges views of members over gRPC. The processor time is of both sides, and the
// bytes are of the connection in both directions.
func BenchmarkExchange(b *testing.B) {
	for _, size := range []struct {
		members int
		shards  int
		teams   int
	}{
		{members: 1},
		{members: 1, shards: 1},
		{members: 1, shards: 2},
		{members: 1, shards: 4},
		{members: 1, shards: 1, teams: 7},
		{members: 1, shards: 1, teams: 14},
		{members: 1, shards: 1, teams: 28},
		{members: 8, shards: 1},
		{members: 16, shards: 1},
		{members: 32, shards: 1},
	} {
		b.Run(fmt.Sprintf("Members%d/Shards%d/Teams%d", size.members, size.shards, size.teams), func(b *testing.B) {
			view := &peerpb.View{}
			for i := range size.members {
				view.Members = append(view.Members, member(i, size.shards, size.teams))
			}
			var bytes atomic.Int64
			client := connect(b, view, &bytes)
			if _, err := client.Exchange(b.Context(), view); err != nil {
				b.Fatal(err)
			}
			bytes.Store(0)
			merging := &tracker.Tracker{
				Self: member(99, 0, 0),
			}
			before := Own()
			b.ResetTimer()
			for i := range b.N {
				reply, err := client.Exchange(b.Context(), view)
				if err != nil {
					b.Fatal(err)
				}
				// Both sides merge what they are told.
				for range 2 {
					for _, told := range reply.GetMembers() {
						told.Sequence = uint64(2 * i)
					}
					merging.Merge(time.Now(), reply)
				}
			}
			b.StopTimer()
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B")
			b.ReportMetric(float64(proto.Size(view)), "view-B")
			b.ReportMetric(float64((Own()-before).Microseconds())/float64(b.N), "cpu-us")
		})
	}
}

func connect(b *testing.B, view *peerpb.View, bytes *atomic.Int64) peerpb.PeerClient {
	b.Helper()
	start := func(dial func(context.Context, string) (net.Conn, error)) *messenger.Messenger {
		started, stop, err := messenger.New(messenger.Options{
			Listen: loopback,
			Server: &echo{
				view: view,
			},
			Dial: dial,
		})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(stop)
		return started
	}
	server := start(nil)
	go func() { _ = server.Serve(b.Context()) }()
	client := start(func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		return countingConn{
			Conn:  conn,
			bytes: bytes,
		}, err
	})
	peer, err := client.Client(server.Address(), region)
	if err != nil {
		b.Fatal(err)
	}
	return peer
}

// BenchmarkView measures what each tick of an instance costs: its due exchanges and the owners of all
// shards.
func BenchmarkView(b *testing.B) {
	for _, members := range []int{8, 16, 32, 64} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			now := time.Now()
			view := &peerpb.View{}
			var listed []lister.Instance
			for i := range members {
				view.Members = append(view.Members, member(i, 1, 28))
				listed = append(listed, lister.Instance{
					ID:    view.Members[i].GetId(),
					Role:  lister.RoleEntry,
					State: lister.StateLive,
				})
			}
			known := &tracker.Tracker{
				Self: view.Members[0],
			}
			known.SetList(now, listed)
			known.Merge(now, view)
			b.ResetTimer()
			for range b.N {
				known.Due(now)
				for shard := range 10 {
					known.Owner(now, descriptor.ShardID(fmt.Sprintf("north-a-%d", shard)))
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N), "us/tick")
		})
	}
}

// BenchmarkList reads the whole list of instances, as each entry instance does after each change.
func BenchmarkList(b *testing.B) {
	for _, instances := range []int{350, 700, 1400, 2800} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			started, _ := startStore(b)
			client, closeIdle, err := lister.Dial([]netip.AddrPort{started.Address()}, lister.Options{})
			if err != nil {
				b.Fatal(err)
			}
			defer closeIdle()
			for i := range instances {
				err := client.Announce(b.Context(), lister.Instance{
					ID:      fmt.Sprintf("north-a-worker-%04d", i),
					Role:    lister.RoleWorker,
					State:   lister.StateLive,
					Address: loopback,
					Place: descriptor.Place{
						Region: region,
						Site:   site,
						Rack:   fmt.Sprintf("north-a-rack-%03d", i/perRack),
					},
				})
				if err != nil {
					b.Fatal(err)
				}
			}
			counts, before := started.Counts(), Own()
			b.ResetTimer()
			for range b.N {
				if _, err := client.List(b.Context(), ""); err != nil {
					b.Fatal(err)
				}
			}
			b.StopTimer()
			now := started.Counts()
			b.ReportMetric(float64(now.BytesSent-counts.BytesSent)/float64(b.N)/1000, "wire-KB")
			b.ReportMetric(float64((Own()-before).Microseconds())/float64(b.N)/1000, "cpu-ms")
		})
	}
}
