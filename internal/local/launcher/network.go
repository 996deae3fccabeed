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

// Role is the kind of an endpoint that entry instances connect to.
type Role string

// The roles of endpoints.
const (
	RolePlatform Role = "Platform"
	RolePeer     Role = "Peer"
	RoleWorker   Role = "Worker"
	RoleRunner   Role = "Runner"
)

// endpoint identifies a server that entry instances connect to.
type endpoint struct {
	id    string
	role  Role
	place descriptor.Place
}

// pathKey holds the IDs of an entry instance and of the endpoint that it connects to.
type pathKey struct {
	from string
	to   string
}

// path is the link for the connections of one entry instance to one endpoint.
type path struct {
	link           *delayer.Link
	role           Role
	from           string
	to             string
	betweenRegions bool
}

// network delays the connections of entry instances by the latencies of the scenario and counts their
// bytes.
type network struct {
	latency planner.Latency

	mutex     sync.Mutex
	endpoints map[string]endpoint
	paths     map[pathKey]*path
	cleanups  []func()
	closed    bool
}

func newNetwork(latency planner.Latency) *network {
	return &network{
		latency:   latency,
		endpoints: make(map[string]endpoint),
		paths:     make(map[pathKey]*path),
	}
}

func (network *network) addEndpoint(address netip.AddrPort, endpoint endpoint) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.endpoints[address.String()] = endpoint
}

// dialer returns the dial function for the entry instance with the ID from.
func (network *network) dialer(from string, place descriptor.Place) sender.DialFunc {
	return func(ctx context.Context, transport, address string) (net.Conn, error) {
		path := network.path(from, place, address)
		if path == nil {
			return (&net.Dialer{}).DialContext(ctx, transport, address)
		}
		return path.link.Dial(ctx, transport, address)
	}
}

// path returns the path to address, or nil if no endpoint has that address or the network is closed.
func (network *network) path(from string, place descriptor.Place, address string) *path {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	target, known := network.endpoints[address]
	if !known || network.closed {
		return nil
	}
	key := pathKey{
		from: from,
		to:   target.id,
	}
	if path := network.paths[key]; path != nil {
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
	network.paths[key] = created
	network.cleanups = append(network.cleanups, stop)
	return created
}

// delay returns the one-way latency. The platform's services answer within milliseconds in every
// region, so they have the latency of another site in the same region.
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
	for _, stop := range network.cleanups {
		stop()
	}
}

// Traffic holds the cumulative counts of calls and bytes at a point in time.
type Traffic struct {
	At time.Time
	// StoreCalls counts the calls to the store and the instance list by kind.
	StoreCalls map[string]uint64
	// BetweenRegions counts the bytes between regions in both directions, by the role of the endpoint.
	BetweenRegions map[Role]uint64
	// Entries counts the bytes of each entry instance in both directions, by the role of the endpoint.
	Entries map[string]map[Role]uint64
}

// Since returns the increase since an earlier reading.
func (traffic *Traffic) Since(earlier *Traffic) Traffic {
	difference := Traffic{
		At:             traffic.At,
		StoreCalls:     maps.Clone(traffic.StoreCalls),
		BetweenRegions: maps.Clone(traffic.BetweenRegions),
		Entries:        make(map[string]map[Role]uint64),
	}
	for kind, count := range earlier.StoreCalls {
		difference.StoreCalls[kind] -= count
	}
	for role, bytes := range earlier.BetweenRegions {
		difference.BetweenRegions[role] -= bytes
	}
	for id, roles := range traffic.Entries {
		difference.Entries[id] = maps.Clone(roles)
		for role, bytes := range earlier.Entries[id] {
			difference.Entries[id][role] -= bytes
		}
	}
	return difference
}

// traffic returns the byte counts so far. StoreCalls is left empty.
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
		traffic.addBytes(path.from, path.role, bytes)
		if path.role == RolePeer {
			traffic.addBytes(path.to, path.role, bytes)
		}
	}
	return traffic
}

func (traffic *Traffic) addBytes(id string, role Role, bytes uint64) {
	if traffic.Entries[id] == nil {
		traffic.Entries[id] = make(map[Role]uint64)
	}
	traffic.Entries[id][role] += bytes
}
