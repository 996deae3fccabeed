// Package launcher starts the system of a scenario in one process on loopback ports: entry instances, and
// stand-ins for the store, workers, runners and balancers.
package launcher

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/gateway/sender"
	"pomelomoor/internal/local/planner"
	"pomelomoor/internal/node/loader"
	"pomelomoor/internal/standin/balancer"
	"pomelomoor/internal/standin/delayer"
	"pomelomoor/internal/standin/keeper"
	"pomelomoor/internal/standin/runner"
	"pomelomoor/internal/standin/worker"
	"pomelomoor/internal/work/descriptor"
)

const (
	defaultDrainTimeout = 5 * time.Second
	// readinessInterval is short so that a short run starts soon after the instances are ready.
	readinessInterval  = 250 * time.Millisecond
	acceleratorPresent = "Yes"
)

// Instance is one entry instance.
type Instance interface {
	ID() string
	HTTPAddress() netip.AddrPort
	PeerAddress() netip.AddrPort
	// Serve accepts calls until ctx ends or the drain is complete.
	Serve(ctx context.Context) error
	// Drain begins a graceful stop, at the end of which Serve returns.
	Drain(ctx context.Context) error
}

// BuildEntry returns an entry instance whose ports are bound, and a function that releases its resources.
type BuildEntry func(settings loader.Settings, dial sender.DialFunc, log *slog.Logger) (Instance, func(), error)

// Options configures a cell. Only Scenario and Build are required.
type Options struct {
	Scenario *planner.Scenario
	Build    BuildEntry
	// Log receives the log of the entry instances; nil discards it.
	Log *slog.Logger
	// DrainTimeout bounds the concurrent drain of all entry instances; 0 means defaultDrainTimeout.
	DrainTimeout time.Duration
}

// Cell is the running system of a scenario.
type Cell struct {
	options   Options
	network   *network
	store     *keeper.Keeper
	workers   []*worker.Worker
	runners   []*runner.Runner
	entries   []*entry
	balancers []*balancer.Balancer
	cleanups  []func()
	drainOnce sync.Once
}

var loopback = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)

// Start returns a cell whose entry instances are all ready, and a function that stops it: it drains the
// entry instances first and then stops everything they use.
func Start(ctx context.Context, options Options) (*Cell, func(), error) {
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	if options.DrainTimeout == 0 {
		options.DrainTimeout = defaultDrainTimeout
	}
	cell := &Cell{
		options: options,
		network: newNetwork(options.Scenario.Latency),
	}
	cell.cleanups = append(cell.cleanups, cell.network.close)
	stop := sync.OnceFunc(cell.stop)
	for _, step := range []func() error{
		cell.startStore,
		cell.startWorkers,
		cell.startRunners,
		cell.startEntries,
		cell.startBalancers,
	} {
		if err := step(); err != nil {
			stop()
			return nil, nil, err
		}
	}
	if err := cell.awaitReady(ctx); err != nil {
		stop()
		return nil, nil, err
	}
	return cell, stop, nil
}

func (cell *Cell) stop() {
	for _, stop := range slices.Backward(cell.cleanups) {
		stop()
	}
}

// place assigns instances to sites round robin, and at each site perRack of them to each rack. With a
// perRack of 0 it sets no rack.
func (cell *Cell) place(index, perRack int) descriptor.Place {
	sites := cell.options.Scenario.Sites
	site := sites[index%len(sites)]
	place := descriptor.Place{
		Region: site.Region,
		Site:   site.Site,
	}
	if perRack > 0 {
		place.Rack = fmt.Sprintf("%s-rack-%d", site.Site, index/len(sites)/perRack)
	}
	return place
}

func (cell *Cell) startStore() error {
	store, stop, err := keeper.Start(keeper.Options{
		Address: loopback,
	})
	if err != nil {
		return errors.Wrap(err, "start store")
	}
	cell.store = store
	cell.cleanups = append(cell.cleanups, stop)
	cell.network.addEndpoint(store.Address(), endpoint{
		id:   "store",
		role: RolePlatform,
	})
	return nil
}

func (cell *Cell) startWorkers() error {
	spec := cell.options.Scenario.Workers
	for index := range spec.Count {
		place := cell.place(index, spec.PerRack)
		labels := descriptor.Labels{
			"Region": place.Region,
			"Site":   place.Site,
		}
		capacity := spec.Capacity
		if index < spec.Accelerated {
			labels["Accelerator"] = acceleratorPresent
			capacity.Accelerators = spec.Accelerators
		}
		id := fmt.Sprintf("%s-worker-%d", place.Site, index)
		worker, stop, err := worker.Start(worker.Options{
			ID:            descriptor.WorkerID(id),
			Address:       loopback,
			Place:         place,
			Labels:        labels,
			Capacity:      capacity,
			ListAddresses: []netip.AddrPort{cell.store.Address()},
			Faults: worker.Faults{
				FailAll: index >= spec.Count-spec.Faulty,
			},
		})
		if err != nil {
			return errors.Wrap(err, "start worker")
		}
		cell.workers = append(cell.workers, worker)
		cell.cleanups = append(cell.cleanups, stop)
		cell.network.addEndpoint(worker.Address(), endpoint{
			id:    id,
			role:  RoleWorker,
			place: place,
		})
	}
	return nil
}

func (cell *Cell) startRunners() error {
	spec := cell.options.Scenario.Runners
	for index := range spec.Count {
		place := cell.place(index, 0)
		id := fmt.Sprintf("%s-runner-%d", place.Site, index)
		runner, stop, err := runner.Start(runner.Options{
			ID:            id,
			Service:       spec.Service,
			Address:       loopback,
			Place:         place,
			Slots:         spec.Slots,
			Connections:   spec.Connections,
			ListAddresses: []netip.AddrPort{cell.store.Address()},
		})
		if err != nil {
			return errors.Wrap(err, "start runner")
		}
		cell.runners = append(cell.runners, runner)
		cell.cleanups = append(cell.cleanups, stop)
		cell.network.addEndpoint(runner.Address(), endpoint{
			id:    id,
			role:  RoleRunner,
			place: place,
		})
	}
	return nil
}

// startBalancers starts one balancer for the callers of each site.
func (cell *Cell) startBalancers() error {
	scenario := cell.options.Scenario
	link, stopLink := delayer.New(scenario.Latency.Client.Duration, (&net.Dialer{}).DialContext)
	cell.cleanups = append(cell.cleanups, stopLink)
	for _, site := range scenario.Sites {
		balancer, stop, err := balancer.Start(balancer.Options{
			Address:  loopback,
			Backends: cell.backends(site.Region),
			Interval: readinessInterval,
			Dial:     link.Dial,
		})
		if err != nil {
			return errors.Wrap(err, "start balancer")
		}
		cell.balancers = append(cell.balancers, balancer)
		cell.cleanups = append(cell.cleanups, stop)
	}
	return nil
}

// backends returns the addresses of the entry instances in the region, or of all if the region has none.
func (cell *Cell) backends(region string) []netip.AddrPort {
	var sameRegion, all []netip.AddrPort
	for _, entry := range cell.entries {
		all = append(all, entry.instance.HTTPAddress())
		if entry.place.Region == region {
			sameRegion = append(sameRegion, entry.instance.HTTPAddress())
		}
	}
	if len(sameRegion) > 0 {
		return sameRegion
	}
	return all
}

func (cell *Cell) awaitReady(ctx context.Context) error {
	for index, balancer := range cell.balancers {
		site := cell.options.Scenario.Sites[index]
		if err := balancer.AwaitReady(ctx, len(cell.backends(site.Region))); err != nil {
			return errors.Wrapf(err, "wait until the entry instances of %s are ready", site.Region)
		}
	}
	return nil
}

// Servers returns the base URL that the callers of each site use.
func (cell *Cell) Servers() []string {
	servers := make([]string, 0, len(cell.balancers))
	for _, balancer := range cell.balancers {
		servers = append(servers, "http://"+balancer.Address().String())
	}
	return servers
}

// Traffic returns the counts of calls and bytes so far.
func (cell *Cell) Traffic() Traffic {
	traffic := cell.network.traffic()
	traffic.StoreCalls = cell.store.Counts().Calls
	return traffic
}

// Runs returns the run records of all workers.
func (cell *Cell) Runs() []worker.Record {
	var runs []worker.Record
	for _, worker := range cell.workers {
		runs = append(runs, worker.History()...)
	}
	return runs
}

// Requests returns the request records of all runners.
func (cell *Cell) Requests() []runner.Record {
	var requests []runner.Record
	for _, runner := range cell.runners {
		requests = append(requests, runner.History()...)
	}
	return requests
}

// Capacities returns the capacity of each worker.
func (cell *Cell) Capacities() map[descriptor.WorkerID]descriptor.Resources {
	spec := cell.options.Scenario.Workers
	capacities := make(map[descriptor.WorkerID]descriptor.Resources)
	for index := range spec.Count {
		capacity := spec.Capacity
		if index < spec.Accelerated {
			capacity.Accelerators = spec.Accelerators
		}
		id := fmt.Sprintf("%s-worker-%d", cell.place(index, 0).Site, index)
		capacities[descriptor.WorkerID(id)] = capacity
	}
	return capacities
}
