// Package prober measures what the messages between processes cost, with both sides in this process.
package prober

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"pomelomoor/internal/gateway/lister"
	"pomelomoor/internal/measure/imitator"
	"pomelomoor/internal/measure/profiler"
	"pomelomoor/internal/member/exchanger"
	"pomelomoor/internal/member/messenger"
	"pomelomoor/internal/member/peerpb"
	"pomelomoor/internal/member/tracker"
	"pomelomoor/internal/work/descriptor"
)

const (
	region = "north"
	site   = "north-a"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// view is the size of what one member tells another.
type view struct {
	members int
	shards  int
	teams   int
}

// Factors returns the numbers of members, of shards of each, and of teams in each shard.
func (view view) Factors() profiler.Factors {
	return profiler.Factors{
		profiler.NewFactor("Members", view.members),
		profiler.NewFactor("Shards", view.shards),
		profiler.NewFactor("Teams", view.teams),
	}
}

// build returns the view's message.
func (view view) build() *peerpb.View {
	built := &peerpb.View{}
	for i := range view.members {
		built.Members = append(built.Members, member(i, view.shards, view.teams))
	}
	return built
}

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
			Capacity: exchanger.ToAmount(imitator.Capacity.Scale(140)),
			Free:     exchanger.ToAmount(imitator.Capacity.Scale(31)),
			Waiting:  exchanger.ToAmount(imitator.Capacity.Scale(7)),
		}
		for team := range teams {
			owned.Teams = append(owned.Teams, &peerpb.TeamUse{
				Team: fmt.Sprintf("team-%02d", team),
				Used: exchanger.ToAmount(imitator.Capacity.Scale(3)),
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

// Exchange exchanges views of members over gRPC. The processor time is of both sides, and the bytes are
// of the connection in both directions.
func Exchange() []profiler.Trial {
	var views []view
	for _, shards := range []int{0, 1, 2, 4} {
		views = append(views, view{
			members: 1,
			shards:  shards,
		})
	}
	for _, teams := range []int{7, 14, 28} {
		views = append(views, view{
			members: 1,
			shards:  1,
			teams:   teams,
		})
	}
	for _, members := range []int{8, 16, 32} {
		views = append(views, view{
			members: members,
			shards:  1,
		})
	}
	return profiler.Sweep(exchange, views...)
}

func exchange(meter profiler.Meter, size view) error {
	view := size.build()
	var bytes atomic.Int64
	client, err := connect(meter, view, &bytes)
	if err != nil {
		return err
	}
	if _, err := client.Exchange(meter.Context(), view); err != nil {
		return err
	}
	bytes.Store(0)
	merging := &tracker.Tracker{
		Self: member(99, 0, 0),
	}
	before, rounds := profiler.Own(), 0
	for meter.Loop() {
		reply, err := client.Exchange(meter.Context(), view)
		if err != nil {
			return err
		}
		// Both sides merge what they are told.
		for range 2 {
			for _, told := range reply.GetMembers() {
				told.Sequence = uint64(2 * rounds)
			}
			merging.Merge(time.Now(), reply)
		}
		rounds++
	}
	processor := profiler.Own() - before
	meter.ReportMetric(float64(bytes.Load())/float64(rounds), "wire-B")
	meter.ReportMetric(float64(proto.Size(view)), "view-B")
	meter.ReportMetric(float64(processor.Microseconds())/float64(rounds), "cpu-us")
	return nil
}

// connect returns a client of a server that answers with a view, and counts the bytes between them.
func connect(meter profiler.Meter, view *peerpb.View, bytes *atomic.Int64) (peerpb.PeerClient, error) {
	server, err := start(meter, view, nil)
	if err != nil {
		return nil, err
	}
	go func() { _ = server.Serve(meter.Context()) }()
	client, err := start(meter, view, func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		return countingConn{
			Conn:  conn,
			bytes: bytes,
		}, err
	})
	if err != nil {
		return nil, err
	}
	return client.Client(server.Address(), region)
}

func start(meter profiler.Meter, view *peerpb.View, dial func(context.Context, string) (net.Conn, error)) (*messenger.Messenger, error) {
	started, stop, err := messenger.New(messenger.Options{
		Listen: loopback,
		Server: &echo{
			view: view,
		},
		Dial: dial,
	})
	if err != nil {
		return nil, err
	}
	meter.Cleanup(stop)
	return started, nil
}

// View measures what each tick of an instance costs: its due exchanges and the owners of all shards.
func View() []profiler.Trial {
	return profiler.SweepCounts(tick, 8, 16, 32, 64)
}

func tick(meter profiler.Meter, members int) error {
	now := time.Now()
	view := view{
		members: members,
		shards:  1,
		teams:   28,
	}.build()
	listed := make([]lister.Instance, 0, members)
	for _, member := range view.GetMembers() {
		listed = append(listed, lister.Instance{
			ID:    member.GetId(),
			Role:  lister.RoleEntry,
			State: lister.StateLive,
		})
	}
	known := &tracker.Tracker{
		Self: view.Members[0],
	}
	known.SetList(now, listed)
	known.Merge(now, view)
	begin, rounds := time.Now(), 0.0
	for meter.Loop() {
		known.Due(now)
		for shard := range 10 {
			known.Owner(now, descriptor.ShardID(fmt.Sprintf("north-a-%d", shard)))
		}
		rounds++
	}
	meter.ReportMetric(float64(time.Since(begin).Microseconds())/rounds, "us/tick")
	return nil
}
