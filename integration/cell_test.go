package integration_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	"pomelomoor/internal/node/loader"
	"pomelomoor/internal/standin/keeper"
	"pomelomoor/internal/standin/runner"
	"pomelomoor/internal/standin/worker"
	"pomelomoor/internal/work/descriptor"
)

const (
	region  = "kigali"
	site    = "kigali-a"
	shard   = descriptor.ShardID("kigali-a-0")
	service = "lending-desk"
	// recoveryTimeout bounds the time until another instance serves the shard of a failed one. It covers the leases and
	// the load of the tests themselves.
	recoveryTimeout = 30 * time.Second
	gibibyte        = int64(1) << 30
)

// workerCapacity is the capacity of each worker.
var workerCapacity = descriptor.Resources{
	MilliCPU:    4000,
	MemoryBytes: 8 * gibibyte,
}

// options describe the processes of a cell.
type options struct {
	Entries int
	Workers int
	Runners int
	// Adjust changes the settings of the entry instances. It may be nil.
	Adjust func(settings *loader.Settings)
}

// cell is the system under test: entry instances and the fake store, workers and runners.
type cell struct {
	t       testing.TB
	options options
	store   *fake

	mutex   sync.Mutex
	entries []*entry
	workers []*fake
	runners []*fake
	started int
}

// fake is a process of the standin program: a fake store, worker, runner or balancer.
type fake struct {
	*process
	id      string
	address netip.AddrPort
}

// newCell starts all processes and waits until the entry instances are ready and the shard has an owner.
func newCell(t *testing.T, options options) *cell {
	t.Helper()
	t.Parallel()
	cell := &cell{
		t:       t,
		options: options,
	}
	cell.store = cell.startStandin("store", "store", "--silence", "3s")
	for i := range options.Workers {
		cell.startWorker(fmt.Sprintf("worker-%d", i+1))
	}
	for i := range options.Runners {
		cell.startRunner(fmt.Sprintf("runner-%d", i+1))
	}
	for range options.Entries {
		cell.startEntry()
	}
	for _, entry := range cell.live() {
		entry.awaitReady()
	}
	cell.awaitOwner()
	return cell
}

func (cell *cell) startStandin(id, kind string, arguments ...string) *fake {
	cell.t.Helper()
	var banner struct {
		Address netip.AddrPort
	}
	process := startProcess(cell.t, id, &banner, standin, append([]string{kind}, arguments...)...)
	return &fake{
		process: process,
		id:      id,
		address: banner.Address,
	}
}

// placeFlags returns the flags with the address of the list and the place of a fake worker or runner.
func (cell *cell) placeFlags(index int) []string {
	return []string{
		"--list", cell.store.address.String(),
		"--region", region, "--site", site, "--rack", "rack-" + strconv.Itoa(index),
	}
}

func (cell *cell) startWorker(id string) *fake {
	cell.t.Helper()
	arguments := append(cell.placeFlags(len(cell.workers)),
		"--id", id,
		"--milli-cpu", strconv.FormatInt(workerCapacity.MilliCPU, 10),
		"--memory-bytes", strconv.FormatInt(workerCapacity.MemoryBytes, 10),
		"--labels", "Name="+id,
		"--usage-lag", "200ms")
	fake := cell.startStandin(id, "worker", arguments...)
	cell.workers = append(cell.workers, fake)
	return fake
}

func (cell *cell) startRunner(id string) *fake {
	cell.t.Helper()
	arguments := append(cell.placeFlags(len(cell.runners)), "--id", id, "--service", service)
	fake := cell.startStandin(id, "runner", arguments...)
	cell.runners = append(cell.runners, fake)
	return fake
}

// settings returns settings with shorter leases and intervals than the defaults, so that failures are detected sooner.
func (cell *cell) settings() loader.Settings {
	settings := loader.Defaults()
	duration := func(value time.Duration) descriptor.Duration {
		return descriptor.Duration{
			Duration: value,
		}
	}
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	settings.Region, settings.Site = region, site
	settings.HTTP, settings.Peer = anyPort, anyPort
	settings.Timeouts.StoreLease = duration(2 * time.Second)
	settings.Timeouts.LeaseMargin = duration(300 * time.Millisecond)
	settings.Timeouts.PeerSilence = duration(1500 * time.Millisecond)
	settings.Timeouts.Drain = duration(15 * time.Second)
	settings.Intervals.LeaseRenewal = duration(400 * time.Millisecond)
	settings.Intervals.Exchange = duration(300 * time.Millisecond)
	settings.Intervals.List = duration(300 * time.Millisecond)
	if cell.options.Adjust != nil {
		cell.options.Adjust(&settings)
	}
	return settings
}

func (cell *cell) writeSettings(settings loader.Settings) string {
	cell.t.Helper()
	document, err := json.Marshal(settings)
	if err != nil {
		cell.t.Fatal(err)
	}
	path := filepath.Join(cell.t.TempDir(), settings.ID+".json")
	if err := os.WriteFile(path, document, 0o600); err != nil {
		cell.t.Fatal(err)
	}
	return path
}

// live returns the entry instances whose processes have not exited.
func (cell *cell) live() []*entry {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	var live []*entry
	for _, entry := range cell.entries {
		select {
		case <-entry.Ended():
		default:
			live = append(live, entry)
		}
	}
	return live
}

// owner returns the instance that owns the shard at the highest epoch known to any live instance.
func (cell *cell) owner() (*entry, uint64, error) {
	var id string
	var epoch uint64
	live := cell.live()
	for _, entry := range live {
		for _, known := range entry.view() {
			for _, owned := range known.Shards {
				if owned.ID == shard && owned.Epoch > epoch {
					id, epoch = known.ID, owned.Epoch
				}
			}
		}
	}
	for _, entry := range live {
		if entry.id == id {
			return entry, epoch, nil
		}
	}
	return nil, 0, fmt.Errorf("no live instance owns shard %s; the latest owner is %q", shard, id)
}

func (cell *cell) awaitOwner() *entry {
	cell.t.Helper()
	return cell.awaitOwnerAbove(0)
}

// awaitOwnerAbove waits until the shard has an owner with a higher epoch.
func (cell *cell) awaitOwnerAbove(epoch uint64) *entry {
	cell.t.Helper()
	var found *entry
	await(cell.t, recoveryTimeout, "owner of the shard", func() error {
		owner, current, err := cell.owner()
		if err == nil && current <= epoch {
			err = fmt.Errorf("epoch %d, not above %d", current, epoch)
		}
		found = owner
		return err
	})
	return found
}

func (cell *cell) epoch() uint64 {
	cell.t.Helper()
	_, epoch, err := cell.owner()
	if err != nil {
		cell.t.Fatal(err)
	}
	return epoch
}

// get decodes a JSON document that the fake serves.
func (fake *fake) get(path string, target any) {
	fake.t.Helper()
	response, err := http.Get("http://" + fake.address.String() + path)
	if err != nil {
		fake.t.Fatalf("%s: %v", fake.id, err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(target); err != nil {
		fake.t.Fatalf("%s: %s: %v", fake.id, path, err)
	}
}

// send calls the fake's control API and fails the test on an error.
func (fake *fake) send(method, path string, document any) {
	fake.t.Helper()
	if err := fake.trySend(method, path, document); err != nil {
		fake.t.Fatalf("%s: %s: %v", fake.id, path, err)
	}
}

func (fake *fake) trySend(method, path string, document any) error {
	body, err := json.Marshal(document)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(method, "http://"+fake.address.String()+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	if response.StatusCode >= http.StatusMultipleChoices {
		return errors.New(response.Status + ": " + string(text))
	}
	return nil
}

func (fake *fake) setStore(faults keeper.Faults) {
	fake.t.Helper()
	fake.send(http.MethodPut, "/v1/faults", faults)
}

func (fake *fake) setWorker(faults worker.Faults) {
	fake.t.Helper()
	fake.send(http.MethodPut, "/v1/faults", faults)
}

func (fake *fake) setRunner(faults runner.Faults) {
	fake.t.Helper()
	fake.send(http.MethodPut, "/v1/faults", faults)
}

// loseState makes a worker drop its state, as a restart does.
func (fake *fake) loseState() {
	fake.t.Helper()
	fake.send(http.MethodPost, "/v1/restart", nil)
}
