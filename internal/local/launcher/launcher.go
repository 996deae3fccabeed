// Package launcher builds the whole system of a scenario in one process on loopback ports.
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
	defaultDrain = 5 * time.Second
	// readyInterval lets a short run begin soon after the instances are ready.
	readyInterval = 250 * time.Millisecond
	yes           = "Yes"
)

// Instance is one entry instance.
type Instance interface {
	ID() string
	HTTPAddress() netip.AddrPort
	PeerAddress() netip.AddrPort
	// Serve answers until ctx ends.
	Serve(ctx context.Context) error
	// Drain begins the planned stop, after which Serve returns.
	Drain(ctx context.Context) error
}

// Build returns an entry instance whose ports are bound, and a function that ends it.
type Build func(settings loader.Settings, dial sender.DialFunc, log *slog.Logger) (Instance, func(), error)

// Options describe a cell. Only Scenario and Build are required.
type Options struct {
	Scenario *planner.Scenario
	Build    Build
	// Log gets the log of the entry instances; nil discards it.
	Log *slog.Logger
	// Drain bounds the planned stop of all entry instances together.
	Drain time.Duration
}

// Cell is a running system.
type Cell struct {
	options   Options
	network   *network
	keeper    *keeper.Keeper
	workers   []*worker.Worker
	runners   []*runner.Runner
	entries   []*entry
	balancers []*balancer.Balancer
	stops     []func()
	drained   sync.Once
}

var loopback = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)

// Start returns a cell whose entry instances are all ready, and a function that ends it:
// first the entry instances by a planned stop, then everything they use.
func Start(ctx context.Context, options Options) (*Cell, func(), error) {
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	if options.Drain == 0 {
		options.Drain = defaultDrain
	}
	cell := &Cell{
		options: options,
		network: newNetwork(options.Scenario.Latency),
	}
	cell.stops = append(cell.stops, cell.network.close)
	stop := sync.OnceFunc(cell.stop)
	for _, step := range []func() error{
		cell.startKeeper,
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
	for _, stop := range slices.Backward(cell.stops) {
		stop()
	}
}

// place returns where the instance of the index stands, when instances are spread over the sites.
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

func (cell *Cell) startKeeper() error {
	keeper, stop, err := keeper.Start(keeper.Options{
		Address: loopback,
	})
	if err != nil {
		return errors.Wrap(err, "start store")
	}
	cell.keeper = keeper
	cell.stops = append(cell.stops, stop)
	cell.network.add(keeper.Address(), endpoint{
		id:   "store",
		role: RolePlatform,
	})
	return nil
}

func (cell *Cell) startWorkers() error {
	plan := cell.options.Scenario.Workers
	for index := range plan.Count {
		place := cell.place(index, plan.PerRack)
		labels := descriptor.Labels{
			"Region": place.Region,
			"Site":   place.Site,
		}
		capacity := plan.Capacity
		if index < plan.Accelerated {
			labels["Accelerator"] = yes
			capacity.Accelerators = plan.Accelerators
		}
		id := fmt.Sprintf("%s-worker-%d", place.Site, index)
		worker, stop, err := worker.Start(worker.Options{
			ID:       descriptor.WorkerID(id),
			Address:  loopback,
			Place:    place,
			Labels:   labels,
			Capacity: capacity,
			Lists:    []netip.AddrPort{cell.keeper.Address()},
			Faults: worker.Faults{
				FailAll: index >= plan.Count-plan.Faulty,
			},
		})
		if err != nil {
			return errors.Wrap(err, "start worker")
		}
		cell.workers = append(cell.workers, worker)
		cell.stops = append(cell.stops, stop)
		cell.network.add(worker.Address(), endpoint{
			id:    id,
			role:  RoleWorker,
			place: place,
		})
	}
	return nil
}

func (cell *Cell) startRunners() error {
	plan := cell.options.Scenario.Runners
	for index := range plan.Count {
		place := cell.place(index, 0)
		id := fmt.Sprintf("%s-runner-%d", place.Site, index)
		runner, stop, err := runner.Start(runner.Options{
			ID:          id,
			Service:     plan.Service,
			Address:     loopback,
			Place:       place,
			Slots:       plan.Slots,
			Connections: plan.Connections,
			Lists:       []netip.AddrPort{cell.keeper.Address()},
		})
		if err != nil {
			return errors.Wrap(err, "start runner")
		}
		cell.runners = append(cell.runners, runner)
		cell.stops = append(cell.stops, stop)
		cell.network.add(runner.Address(), endpoint{
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
	cell.stops = append(cell.stops, stopLink)
	for _, site := range scenario.Sites {
		balancer, stop, err := balancer.Start(balancer.Options{
			Address:  loopback,
			Backends: cell.backends(site.Region),
			Interval: readyInterval,
			Dial:     link.Dial,
		})
		if err != nil {
			return errors.Wrap(err, "start balancer")
		}
		cell.balancers = append(cell.balancers, balancer)
		cell.stops = append(cell.stops, stop)
	}
	return nil
}

// backends returns the entry instances of the region, or all when it has none.
func (cell *Cell) backends(region string) []netip.AddrPort {
	var near, all []netip.AddrPort
	for _, entry := range cell.entries {
		all = append(all, entry.instance.HTTPAddress())
		if entry.place.Region == region {
			near = append(near, entry.instance.HTTPAddress())
		}
	}
	if len(near) > 0 {
		return near
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

// Servers returns the base URL for the callers of each site.
func (cell *Cell) Servers() []string {
	servers := make([]string, 0, len(cell.balancers))
	for _, balancer := range cell.balancers {
		servers = append(servers, "http://"+balancer.Address().String())
	}
	return servers
}

// Traffic returns what passed so far.
func (cell *Cell) Traffic() Traffic {
	traffic := cell.network.traffic()
	traffic.StoreCalls = cell.keeper.Counts().Calls
	return traffic
}

// Runs returns the histories of all workers.
func (cell *Cell) Runs() []worker.Record {
	var runs []worker.Record
	for _, worker := range cell.workers {
		runs = append(runs, worker.History()...)
	}
	return runs
}

// Requests returns the histories of all runners.
func (cell *Cell) Requests() []runner.Record {
	var requests []runner.Record
	for _, runner := range cell.runners {
		requests = append(requests, runner.History()...)
	}
	return requests
}

// Capacities returns what each worker has.
func (cell *Cell) Capacities() map[descriptor.WorkerID]descriptor.Resources {
	plan := cell.options.Scenario.Workers
	capacities := make(map[descriptor.WorkerID]descriptor.Resources)
	for index := range plan.Count {
		capacity := plan.Capacity
		if index < plan.Accelerated {
			capacity.Accelerators = plan.Accelerators
		}
		id := fmt.Sprintf("%s-worker-%d", cell.place(index, 0).Site, index)
		capacities[descriptor.WorkerID(id)] = capacity
	}
	return capacities
}
