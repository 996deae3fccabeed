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
	region         = "north"
	site           = "north-a"
	workersPerRack = 8
)

// Testbed is a site whose entry instances run as separate processes, while stand-ins of the store, the workers
// and the runners run in this process.
type Testbed struct {
	// Program is the path of the built cmd/pomelomoor. Settings files are written to Directory.
	Program   string
	Directory string
	// Shards is the number of shards of the site.
	Shards int
	// Store is the stand-in of the store. Open starts one if it is nil.
	Store *keeper.Keeper

	Workers   []*worker.Worker
	Processes []*Process
	stopFuncs []func()
}

// Close stops all stand-ins and processes, in reverse order of their start.
func (testbed *Testbed) Close() {
	for i := len(testbed.stopFuncs) - 1; i >= 0; i-- {
		testbed.stopFuncs[i]()
	}
	testbed.stopFuncs = nil
}

// Open starts the store and the workers.
func (testbed *Testbed) Open(workers int) error {
	if err := testbed.startStore(); err != nil {
		return err
	}
	for i := range workers {
		started, stop, err := worker.Start(testbed.workerOptions(i))
		if err != nil {
			return errors.Wrap(err, "sampler: start worker")
		}
		testbed.Workers = append(testbed.Workers, started)
		testbed.stopFuncs = append(testbed.stopFuncs, stop)
	}
	return nil
}

func (testbed *Testbed) startStore() error {
	if testbed.Store != nil {
		return nil
	}
	store, stop, err := keeper.Start(keeper.Options{
		Address: loopback,
	})
	if err != nil {
		return errors.Wrap(err, "sampler: start store")
	}
	testbed.Store = store
	testbed.stopFuncs = append(testbed.stopFuncs, stop)
	return nil
}

func (testbed *Testbed) workerOptions(index int) worker.Options {
	return worker.Options{
		ID:      descriptor.WorkerID(fmt.Sprintf("%s-worker-%04d", site, index)),
		Address: loopback,
		Place: descriptor.Place{
			Region: region,
			Site:   site,
			Rack:   fmt.Sprintf("%s-rack-%03d", site, index/workersPerRack),
		},
		Labels: descriptor.Labels{
			"Disk":  "Fast",
			"Class": "Large",
		},
		Capacity:      imitator.Capacity,
		ListAddresses: []netip.AddrPort{testbed.Store.Address()},
	}
}

// RunnerService is the service that the runners provide.
const RunnerService = "lending-desk"

// StartRunners starts upstream runners.
func (testbed *Testbed) StartRunners(count int) error {
	for i := range count {
		_, stop, err := runner.Start(runner.Options{
			ID:      fmt.Sprintf("%s-runner-%02d", site, i),
			Service: RunnerService,
			Address: loopback,
			Place: descriptor.Place{
				Region: region,
				Site:   site,
			},
			Slots:         8,
			Connections:   64,
			ListAddresses: []netip.AddrPort{testbed.Store.Address()},
		})
		if err != nil {
			return errors.Wrap(err, "sampler: start runner")
		}
		testbed.stopFuncs = append(testbed.stopFuncs, stop)
	}
	return nil
}

// settings returns the settings of the next entry instance.
func (testbed *Testbed) settings() loader.Settings {
	settings := loader.Defaults()
	settings.ID = fmt.Sprintf("%s-entry-%02d", site, len(testbed.Processes))
	settings.Region, settings.Site = region, site
	settings.HTTP, settings.Peer = loopback, loopback
	settings.Store = []netip.AddrPort{testbed.Store.Address()}
	settings.List = testbed.Store.Address()
	return settings
}

// StartEntry starts another entry instance and announces it in the instance list.
func (testbed *Testbed) StartEntry() (*Process, error) {
	settings := testbed.settings()
	settings.Shards = []loader.SiteShards{
		{
			Region: region,
			Site:   site,
			Count:  max(testbed.Shards, 1),
		},
	}
	process, stop, err := StartProcess(testbed.Program, testbed.Directory, settings)
	if err != nil {
		return nil, err
	}
	testbed.stopFuncs = append(testbed.stopFuncs, stop)
	testbed.Processes = append(testbed.Processes, process)
	client, closeIdle, err := lister.New([]netip.AddrPort{testbed.Store.Address()}, lister.Options{})
	if err != nil {
		return nil, errors.Wrap(err, "sampler: connect to the instance list")
	}
	_, stopAnnouncing := lister.StartAnnouncing(client, lister.Instance{
		ID:      settings.ID,
		Role:    lister.RoleEntry,
		State:   lister.StateLive,
		Address: process.Peer,
		Place: descriptor.Place{
			Region: region,
			Site:   site,
		},
	}, 0)
	testbed.stopFuncs = append(testbed.stopFuncs, closeIdle, stopAnnouncing)
	return process, nil
}

// Client returns a client of the first entry instance.
func (testbed *Testbed) Client() *caller.Client {
	return &caller.Client{
		Servers: []string{testbed.Processes[0].HTTP.String()},
	}
}

// RunningTasks returns the number of tasks in progress on all workers.
func (testbed *Testbed) RunningTasks() int {
	count := 0
	for _, worker := range testbed.Workers {
		for _, record := range worker.History() {
			if record.Ended.IsZero() {
				count++
			}
		}
	}
	return count
}

// StartTasks starts tasks of an hour and waits until all of them are running.
func (testbed *Testbed) StartTasks(ctx context.Context, tasks int) error {
	const tasksPerJob = 100
	client := testbed.Client()
	for submitted := 0; submitted < tasks; submitted += tasksPerJob {
		job := imitator.Job(fmt.Sprint("fill-", submitted), min(tasksPerJob, tasks-submitted), time.Hour)
		if _, _, err := client.Submit(ctx, job); err != nil {
			return errors.Wrap(err, "sampler: submit job")
		}
	}
	for testbed.RunningTasks() < tasks {
		if err := caller.Sleep(ctx, time.Second); err != nil {
			return errors.Wrapf(err, "sampler: %d of %d tasks are running", testbed.RunningTasks(), tasks)
		}
	}
	return nil
}

// WorkerBytes returns the number of bytes on all connections to the workers, in both directions.
func (testbed *Testbed) WorkerBytes() uint64 {
	var bytes uint64
	for _, worker := range testbed.Workers {
		received, sent := worker.Bytes()
		bytes += received + sent
	}
	return bytes
}
