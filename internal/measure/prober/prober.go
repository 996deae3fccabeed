// Package prober measures the cost of messages between processes. Both ends run in this process.
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

// viewSize is the size of the view that one member sends to another.
type viewSize struct {
	members int
	shards  int
	teams   int
}

// Factors returns the numbers of members, of shards per member, and of teams per shard.
func (viewSize viewSize) Factors() profiler.Factors {
	return profiler.Factors{
		profiler.NewFactor("Members", viewSize.members),
		profiler.NewFactor("Shards", viewSize.shards),
		profiler.NewFactor("Teams", viewSize.teams),
	}
}

// message returns a view of this size.
func (viewSize viewSize) message() *peerpb.View {
	built := &peerpb.View{}
	for i := range viewSize.members {
		built.Members = append(built.Members, newMember(i, viewSize.shards, viewSize.teams))
	}
	return built
}

// newMember returns the state that an instance sends about itself. An instance includes teams in only one of
// four such messages.
func newMember(index, shards, teams int) *peerpb.Member {
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

// staticServer answers each exchange with the same view.
type staticServer struct {
	peerpb.UnimplementedPeerServer

	view *peerpb.View
}

func (staticServer *staticServer) Exchange(context.Context, *peerpb.View) (*peerpb.View, error) {
	return staticServer.view, nil
}

// countingConn counts the bytes read and written.
type countingConn struct {
	net.Conn

	bytes *atomic.Int64
}

func (countingConn countingConn) Read(buffer []byte) (int, error) {
	count, err := countingConn.Conn.Read(buffer)
	countingConn.bytes.Add(int64(count))
	return count, err
}

func (countingConn countingConn) Write(buffer []byte) (int, error) {
	count, err := countingConn.Conn.Write(buffer)
	countingConn.bytes.Add(int64(count))
	return count, err
}

// Exchange measures exchanges of views over gRPC. The CPU time is the sum of both ends, and the bytes are
// counted in both directions of the connection.
func Exchange() []profiler.Trial {
	var sizes []viewSize
	for _, shards := range []int{0, 1, 2, 4} {
		sizes = append(sizes, viewSize{
			members: 1,
			shards:  shards,
		})
	}
	for _, teams := range []int{7, 14, 28} {
		sizes = append(sizes, viewSize{
			members: 1,
			shards:  1,
			teams:   teams,
		})
	}
	for _, members := range []int{8, 16, 32} {
		sizes = append(sizes, viewSize{
			members: members,
			shards:  1,
		})
	}
	return profiler.Sweep(measureExchange, sizes...)
}

func measureExchange(meter profiler.Meter, size viewSize) error {
	view := size.message()
	var bytes atomic.Int64
	client, err := startClient(meter, view, &bytes)
	if err != nil {
		return err
	}
	if _, err := client.Exchange(meter.Context(), view); err != nil {
		return err
	}
	bytes.Store(0)
	membership := &tracker.Tracker{
		Self: newMember(99, 0, 0),
	}
	before, rounds := profiler.CPUTime(), 0
	for meter.Loop() {
		response, err := client.Exchange(meter.Context(), view)
		if err != nil {
			return err
		}
		// Each end merges the view that it receives.
		for range 2 {
			for _, member := range response.GetMembers() {
				member.Sequence = uint64(2 * rounds)
			}
			membership.Merge(time.Now(), response)
		}
		rounds++
	}
	cpuTime := profiler.CPUTime() - before
	meter.ReportMetric(float64(bytes.Load())/float64(rounds), "wire-B")
	meter.ReportMetric(float64(proto.Size(view)), "view-B")
	meter.ReportMetric(float64(cpuTime.Microseconds())/float64(rounds), "cpu-us")
	return nil
}

// startClient starts a server that answers with a view and returns a client of it. The bytes between them are
// added to bytes.
func startClient(meter profiler.Meter, view *peerpb.View, bytes *atomic.Int64) (peerpb.PeerClient, error) {
	server, err := startMessenger(meter, view, nil)
	if err != nil {
		return nil, err
	}
	go func() { _ = server.Serve(meter.Context()) }()
	client, err := startMessenger(meter, view, func(ctx context.Context, address string) (net.Conn, error) {
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

func startMessenger(meter profiler.Meter, view *peerpb.View, dial func(context.Context, string) (net.Conn, error)) (*messenger.Messenger, error) {
	started, stop, err := messenger.New(messenger.Options{
		Listen: loopback,
		Server: &staticServer{
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

// View measures the cost of one tick of an instance, which finds the due exchanges and the owners of all
// shards.
func View() []profiler.Trial {
	return profiler.SweepCounts(measureTick, 8, 16, 32, 64)
}

func measureTick(meter profiler.Meter, members int) error {
	now := time.Now()
	view := viewSize{
		members: members,
		shards:  1,
		teams:   28,
	}.message()
	instances := make([]lister.Instance, 0, members)
	for _, member := range view.GetMembers() {
		instances = append(instances, lister.Instance{
			ID:    member.GetId(),
			Role:  lister.RoleEntry,
			State: lister.StateLive,
		})
	}
	membership := &tracker.Tracker{
		Self: view.Members[0],
	}
	membership.SetList(now, instances)
	membership.Merge(now, view)
	start, rounds := time.Now(), 0.0
	for meter.Loop() {
		membership.Due(now)
		for shard := range 10 {
			membership.Owner(now, descriptor.ShardID(fmt.Sprintf("north-a-%d", shard)))
		}
		rounds++
	}
	meter.ReportMetric(float64(time.Since(start).Microseconds())/rounds, "us/tick")
	return nil
}
