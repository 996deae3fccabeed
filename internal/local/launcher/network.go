package launcher

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"sync"
	"time"

	"pomelomoor/internal/gateway/sender"
	"pomelomoor/internal/local/planner"
	"pomelomoor/internal/standin/delayer"
	"pomelomoor/internal/work/descriptor"
)

// Role tells what an entry instance connects to.
type Role string

// The roles of endpoints.
const (
	RolePlatform Role = "Platform"
	RolePeer     Role = "Peer"
	RoleWorker   Role = "Worker"
	RoleRunner   Role = "Runner"
)

// endpoint is something that entry instances connect to.
type endpoint struct {
	id    string
	role  Role
	place descriptor.Place
}

// direction is from an entry instance to an endpoint.
type direction struct {
	from string
	to   string
}

// path is a link in one direction, with what it stands for.
type path struct {
	link           *delayer.Link
	role           Role
	from           string
	to             string
	betweenRegions bool
}

// network connects entry instances with everything else, with the latencies of the scenario.
type network struct {
	latency planner.Latency

	mutex     sync.Mutex
	endpoints map[string]endpoint
	paths     map[direction]*path
	stops     []func()
	closed    bool
}

func newNetwork(latency planner.Latency) *network {
	return &network{
		latency:   latency,
		endpoints: make(map[string]endpoint),
		paths:     make(map[direction]*path),
	}
}

func (network *network) add(address netip.AddrPort, endpoint endpoint) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.endpoints[address.String()] = endpoint
}

// dialer returns the dial function of the entry instance from.
func (network *network) dialer(from string, place descriptor.Place) sender.DialFunc {
	return func(ctx context.Context, transport, address string) (net.Conn, error) {
		path := network.path(from, place, address)
		if path == nil {
			return (&net.Dialer{}).DialContext(ctx, transport, address)
		}
		return path.link.Dial(ctx, transport, address)
	}
}

// path returns the path to address, or nil when nobody is known there.
func (network *network) path(from string, place descriptor.Place, address string) *path {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	target, known := network.endpoints[address]
	if !known || network.closed {
		return nil
	}
	direction := direction{
		from: from,
		to:   target.id,
	}
	if path := network.paths[direction]; path != nil {
		return path
	}
	link, stop := delayer.New(network.delay(place, target), nil)
	created := &path{
		link:           link,
		role:           target.role,
		from:           from,
		to:             target.id,
		betweenRegions: target.role != RolePlatform && target.place.Region != place.Region,
	}
	network.paths[direction] = created
	network.stops = append(network.stops, stop)
	return created
}

// delay returns the one-way latency. The platform's services answer in milliseconds in every
// region, so they are as far away as another site of the own region.
func (network *network) delay(place descriptor.Place, target endpoint) time.Duration {
	switch {
	case target.role == RolePlatform:
		return network.latency.Site.Duration
	case target.place.Region != place.Region:
		return network.latency.Region.Duration
	case target.place.Site != place.Site:
		return network.latency.Site.Duration
	default:
		return 0
	}
}

func (network *network) close() {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.closed = true
	for _, stop := range network.stops {
		stop()
	}
}

// Traffic is what passed until a moment.
type Traffic struct {
	At time.Time
	// StoreCalls counts calls by kind, those to the instance list included.
	StoreCalls map[string]uint64
	// BetweenRegions is bytes by the role of the endpoint, in both directions.
	BetweenRegions map[Role]uint64
	// Entries is bytes of each entry instance by the role of the other side, in both directions.
	Entries map[string]map[Role]uint64
}

// Since returns what passed after the earlier moment.
func (traffic *Traffic) Since(earlier *Traffic) Traffic {
	passed := Traffic{
		At:             traffic.At,
		StoreCalls:     maps.Clone(traffic.StoreCalls),
		BetweenRegions: maps.Clone(traffic.BetweenRegions),
		Entries:        make(map[string]map[Role]uint64),
	}
	for kind, count := range earlier.StoreCalls {
		passed.StoreCalls[kind] -= count
	}
	for role, bytes := range earlier.BetweenRegions {
		passed.BetweenRegions[role] -= bytes
	}
	for id, roles := range traffic.Entries {
		passed.Entries[id] = maps.Clone(roles)
		for role, bytes := range earlier.Entries[id] {
			passed.Entries[id][role] -= bytes
		}
	}
	return passed
}

// traffic returns the bytes so far, without the calls to the store.
func (network *network) traffic() Traffic {
	traffic := Traffic{
		At:             time.Now(),
		BetweenRegions: make(map[Role]uint64),
		Entries:        make(map[string]map[Role]uint64),
	}
	network.mutex.Lock()
	defer network.mutex.Unlock()
	for _, path := range network.paths {
		sent, received := path.link.Bytes()
		bytes := sent + received
		if path.betweenRegions {
			traffic.BetweenRegions[path.role] += bytes
		}
		traffic.count(path.from, path.role, bytes)
		if path.role == RolePeer {
			traffic.count(path.to, path.role, bytes)
		}
	}
	return traffic
}

func (traffic *Traffic) count(id string, role Role, bytes uint64) {
	if traffic.Entries[id] == nil {
		traffic.Entries[id] = make(map[Role]uint64)
	}
	traffic.Entries[id][role] += bytes
}
