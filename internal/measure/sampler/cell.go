package sampler

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/client/caller"
	"pomelomoor/internal/gateway/lister"
	"pomelomoor/internal/measure/imitator"
	"pomelomoor/internal/node/loader"
	"pomelomoor/internal/standin/keeper"
	"pomelomoor/internal/standin/runner"
	"pomelomoor/internal/standin/worker"
	"pomelomoor/internal/work/descriptor"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

const (
	region  = "north"
	site    = "north-a"
	perRack = 8
)

// Cell is one site with stand-ins in this process and entry instances in processes of their own.
type Cell struct {
	// Program is the built cmd/pomelomoor, and Directory takes settings files.
	Program   string
	Directory string
	// Shards is the number of shards of the site.
	Shards int
	// Keeper is the store. Open starts one unless it is set.
	Keeper *keeper.Keeper

	Workers   []*worker.Worker
	Processes []*Process
	stops     []func()
}

// Close ends all stand-ins and processes.
func (cell *Cell) Close() {
	for i := len(cell.stops) - 1; i >= 0; i-- {
		cell.stops[i]()
	}
	cell.stops = nil
}

// Open starts the store and the workers.
func (cell *Cell) Open(workers int) error {
	if err := cell.openStore(); err != nil {
		return err
	}
	for i := range workers {
		started, stop, err := worker.Start(cell.workerOptions(i))
		if err != nil {
			return errors.Wrap(err, "sampler: worker")
		}
		cell.Workers = append(cell.Workers, started)
		cell.stops = append(cell.stops, stop)
	}
	return nil
}

func (cell *Cell) openStore() error {
	if cell.Keeper != nil {
		return nil
	}
	store, stop, err := keeper.Start(keeper.Options{
		Address: loopback,
	})
	if err != nil {
		return errors.Wrap(err, "sampler: store")
	}
	cell.Keeper = store
	cell.stops = append(cell.stops, stop)
	return nil
}

func (cell *Cell) workerOptions(index int) worker.Options {
	return worker.Options{
		ID:      descriptor.WorkerID(fmt.Sprintf("%s-worker-%04d", site, index)),
		Address: loopback,
		Place: descriptor.Place{
			Region: region,
			Site:   site,
			Rack:   fmt.Sprintf("%s-rack-%03d", site, index/perRack),
		},
		Labels: descriptor.Labels{
			"Disk":  "Fast",
			"Class": "Large",
		},
		Capacity: imitator.Capacity,
		Lists:    []netip.AddrPort{cell.Keeper.Address()},
	}
}

// Service is that of the runners.
const Service = "lending-desk"

// OpenRunners starts upstream runners.
func (cell *Cell) OpenRunners(count int) error {
	for i := range count {
		_, stop, err := runner.Start(runner.Options{
			ID:      fmt.Sprintf("%s-runner-%02d", site, i),
			Service: Service,
			Address: loopback,
			Place: descriptor.Place{
				Region: region,
				Site:   site,
			},
			Slots:       8,
			Connections: 64,
			Lists:       []netip.AddrPort{cell.Keeper.Address()},
		})
		if err != nil {
			return errors.Wrap(err, "sampler: runner")
		}
		cell.stops = append(cell.stops, stop)
	}
	return nil
}

// settings returns those of the next entry instance.
func (cell *Cell) settings() loader.Settings {
	settings := loader.Defaults()
	settings.ID = fmt.Sprintf("%s-entry-%02d", site, len(cell.Processes))
	settings.Region, settings.Site = region, site
	settings.HTTP, settings.Peer = loopback, loopback
	settings.Store = []netip.AddrPort{cell.Keeper.Address()}
	settings.List = cell.Keeper.Address()
	return settings
}

// StartEntry starts one more entry instance, which the list names.
func (cell *Cell) StartEntry() (*Process, error) {
	settings := cell.settings()
	settings.Shards = []loader.SiteShards{
		{
			Region: region,
			Site:   site,
			Count:  max(cell.Shards, 1),
		},
	}
	process, stop, err := Start(cell.Program, cell.Directory, settings)
	if err != nil {
		return nil, err
	}
	cell.stops = append(cell.stops, stop)
	cell.Processes = append(cell.Processes, process)
	client, closeIdle, err := lister.New([]netip.AddrPort{cell.Keeper.Address()}, lister.Options{})
	if err != nil {
		return nil, errors.Wrap(err, "sampler: list")
	}
	_, silence := lister.StartAnnouncing(client, lister.Instance{
		ID:      settings.ID,
		Role:    lister.RoleEntry,
		State:   lister.StateLive,
		Address: process.Peer,
		Place: descriptor.Place{
			Region: region,
			Site:   site,
		},
	}, 0)
	cell.stops = append(cell.stops, closeIdle, silence)
	return process, nil
}

// Client returns a caller of the first entry instance.
func (cell *Cell) Client() *caller.Client {
	return &caller.Client{
		Servers: []string{cell.Processes[0].HTTP.String()},
	}
}

// Running returns the number of tasks in progress on all workers.
func (cell *Cell) Running() int {
	running := 0
	for _, worker := range cell.Workers {
		for _, record := range worker.History() {
			if record.Ended.IsZero() {
				running++
			}
		}
	}
	return running
}

// Fill starts tasks that last and waits until all of them run.
func (cell *Cell) Fill(ctx context.Context, tasks int) error {
	const perJob = 100
	client := cell.Client()
	for begun := 0; begun < tasks; begun += perJob {
		job := imitator.Job(fmt.Sprint("fill-", begun), min(perJob, tasks-begun), time.Hour)
		if _, _, err := client.Submit(ctx, job); err != nil {
			return errors.Wrap(err, "sampler: submit")
		}
	}
	for cell.Running() < tasks {
		if err := caller.Sleep(ctx, time.Second); err != nil {
			return errors.Wrapf(err, "sampler: %d of %d tasks run", cell.Running(), tasks)
		}
	}
	return nil
}

// Traffic returns the bytes on all connections to the workers, in both directions.
func (cell *Cell) Traffic() uint64 {
	var bytes uint64
	for _, worker := range cell.Workers {
		received, sent := worker.Bytes()
		bytes += received + sent
	}
	return bytes
}
