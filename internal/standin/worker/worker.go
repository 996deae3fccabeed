// Package worker simulates a worker of the platform. Its tasks are timers.
package worker

import (
	"context"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"pomelomoor/internal/gateway/executor"
	"pomelomoor/internal/gateway/lister"
	"pomelomoor/internal/standin/server"
	"pomelomoor/internal/work/descriptor"
)

const (
	defaultUsageLag = 2 * time.Second
	defaultRunTime  = time.Second
	// failDelay is the run time of tasks while Faults.FailAll is set.
	failDelay = 10 * time.Millisecond
	// acknowledgedRetention is how long acknowledged runs are remembered, so that a delayed message does not
	// start them again.
	acknowledgedRetention = 10 * time.Minute
)

// Options configures a worker. Zero values select the defaults.
type Options struct {
	ID descriptor.WorkerID
	// Address is the listen address; port 0 picks a free port.
	Address  netip.AddrPort
	Place    descriptor.Place
	Labels   descriptor.Labels
	Capacity descriptor.Resources
	// UsageLag is the age of the reported resource usage.
	UsageLag time.Duration
	// RunTime is the run time of tasks whose payload has none.
	RunTime time.Duration
	// ListAddresses are the addresses of the instance list; if empty, the worker is not listed.
	ListAddresses []netip.AddrPort
	// Faults are the faults that are injected from the start.
	Faults Faults
}

// Faults selects the faults that the worker injects.
type Faults struct {
	// FailAll makes every task fail shortly after its start.
	FailAll bool
	// Down closes the connection of each sync without applying it. Tasks keep running and leases expire.
	Down bool
	// Leaving lists the worker as leaving and makes it refuse new runs.
	Leaving bool
	// Slow delays each sync. A delayed sync is applied even if its client has given up.
	Slow descriptor.Duration
	// LoseAnswers is the number of syncs from now on that are applied but get no response.
	LoseAnswers int
}

// Record is the history entry of one run.
type Record struct {
	Run         descriptor.RunID
	Worker      descriptor.WorkerID
	Incarnation string
	Shard       descriptor.ShardID
	Epoch       uint64
	Declared    descriptor.Resources
	Started     time.Time
	// Ended is zero while the run is in progress.
	Ended   time.Time        `json:",omitzero"`
	Outcome executor.Outcome `json:",omitempty"`
	Reason  string           `json:",omitempty"`
}

// Worker is a simulated worker.
type Worker struct {
	options      Options
	server       *server.Server
	announcement *server.Announcement
	closed       chan struct{}

	mutex       sync.Mutex
	faults      Faults
	incarnation string
	shards      map[descriptor.ShardID]*shard
	// declaredTotal is the sum of the declared sizes of all runs in progress.
	declaredTotal descriptor.Resources
	history       []Record
}

// shard is the worker's state for one shard: its epoch, lease, ticket and runs.
type shard struct {
	epoch          uint64
	leaseExpiresAt time.Time
	leaseTimer     *time.Timer
	ticketNumber   uint64
	ticketIssuedAt time.Time
	running        map[descriptor.RunID]*run
	// reported is the usage of each run in the latest response.
	reported map[descriptor.RunID]descriptor.Resources
	finished map[descriptor.RunID]executor.RunResult
	// acknowledged holds the runs whose results the shard's owner has acknowledged; acknowledgedOrder holds
	// them oldest first.
	acknowledged      map[descriptor.RunID]struct{}
	acknowledgedOrder []acknowledgement
}

type acknowledgement struct {
	run descriptor.RunID
	at  time.Time
}

// New returns a worker that does not listen; the caller can serve its Handler.
func New(options Options) *Worker {
	if options.UsageLag == 0 {
		options.UsageLag = defaultUsageLag
	}
	if options.RunTime == 0 {
		options.RunTime = defaultRunTime
	}
	return &Worker{
		options:      options,
		announcement: new(server.Announcement),
		closed:       make(chan struct{}),
		faults:       options.Faults,
		incarnation:  newIncarnation(),
		shards:       make(map[descriptor.ShardID]*shard),
	}
}

func newIncarnation() string {
	return strconv.FormatInt(time.Now().UnixNano(), 36)
}

// Start returns a listening worker and a function that stops it and its tasks immediately.
func Start(options Options) (*Worker, func(), error) {
	worker := New(options)
	httpServer, stop, err := server.Start(server.Options{
		Address: options.Address,
		Handler: worker.Handler(),
	})
	if err != nil {
		return nil, nil, err
	}
	worker.server = httpServer
	announcement, stopAnnouncing, err := server.Announce(options.ListAddresses, lister.Instance{
		ID:      string(options.ID),
		Role:    lister.RoleWorker,
		Address: httpServer.Address(),
		Place:   options.Place,
	})
	if err != nil {
		stop()
		return nil, nil, err
	}
	worker.mutex.Lock()
	worker.announcement = announcement
	worker.mutex.Unlock()
	announcement.SetLeaving(options.Faults.Leaving)
	cleanup := sync.OnceFunc(func() {
		close(worker.closed)
		stopAnnouncing()
		stop()
		worker.Restart()
	})
	return worker, cleanup, nil
}

// Address returns the bound address.
func (worker *Worker) Address() netip.AddrPort {
	return worker.server.Address()
}

// Bytes returns the number of bytes received and sent on all connections.
func (worker *Worker) Bytes() (received, sent uint64) {
	return worker.server.Bytes()
}

// Faults returns the faults that are injected now.
func (worker *Worker) Faults() Faults {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	return worker.faults
}

// SetFaults replaces the faults to inject.
func (worker *Worker) SetFaults(faults Faults) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	if faults.Leaving != worker.faults.Leaving {
		worker.announcement.SetLeaving(faults.Leaving)
	}
	worker.faults = faults
}

// History returns all runs that were started, oldest first, also those before a restart.
func (worker *Worker) History() []Record {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	return slices.Clone(worker.history)
}

// Restart fails the runs in progress, clears all state but the history and takes a new incarnation, as after a
// crash of the machine.
func (worker *Worker) Restart() {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	now := time.Now()
	for _, shard := range worker.shards {
		shard.leaseTimer.Stop()
		for _, run := range shard.running {
			worker.finishRun(shard, run, executor.RunResult{
				Outcome: executor.OutcomeFailed,
				Reason:  "worker restarted",
			}, now)
		}
	}
	worker.shards = make(map[descriptor.ShardID]*shard)
	worker.incarnation = newIncarnation()
}

// Shutdown refuses new runs, waits until no run is in progress and removes the worker from the instance list.
// If ctx ends first, it returns without doing the latter.
func (worker *Worker) Shutdown(ctx context.Context) error {
	faults := worker.Faults()
	faults.Leaving = true
	worker.SetFaults(faults)
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for worker.hasRunsInProgress() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	worker.announcement.Withdraw(ctx)
	return worker.server.Shutdown(ctx)
}

const shutdownPollInterval = 50 * time.Millisecond

func (worker *Worker) hasRunsInProgress() bool {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	for _, shard := range worker.shards {
		if len(shard.running) > 0 {
			return true
		}
	}
	return false
}
