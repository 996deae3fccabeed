// Package worker is a stand-in for the platform's workers. Its tasks are timers.
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
	// failDelay is how soon a task fails on a worker that fails every task.
	failDelay = 10 * time.Millisecond
	// memory of acknowledged runs keeps a delayed message from starting them again.
	forgetAfter = 10 * time.Minute
)

// Options describe a worker. Zero values mean the defaults.
type Options struct {
	ID descriptor.WorkerID
	// Address is where to listen; port 0 takes a free one.
	Address  netip.AddrPort
	Place    descriptor.Place
	Labels   descriptor.Labels
	Capacity descriptor.Resources
	// UsageLag is how old the usage reports are.
	UsageLag time.Duration
	// RunTime is that of tasks whose payload has none.
	RunTime time.Duration
	// Lists are the addresses of the instance list; without any the worker is not listed.
	Lists []netip.AddrPort
	// Faults are in force from the start.
	Faults Faults
}

// Faults are the worker's fault switches.
type Faults struct {
	// FailAll makes every task fail soon after its start.
	FailAll bool
	// Down drops all calls without effect. Tasks and leases go on.
	Down bool
	// Leaving makes the worker take no new runs.
	Leaving bool
	// Slow delays each call; it takes effect even when its caller has given up.
	Slow descriptor.Duration
	// LoseAnswers is the number of coming calls whose answer is lost after they took effect.
	LoseAnswers int
}

// Record is one run in the history.
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

// Worker is a running worker.
type Worker struct {
	options      Options
	server       *server.Server
	announcement *server.Announcement
	closed       chan struct{}

	mutex       sync.Mutex
	faults      Faults
	incarnation string
	shards      map[descriptor.ShardID]*shard
	// declared is the sum of the declared sizes of all runs in progress.
	declared descriptor.Resources
	history  []Record
}

// shard is what the worker knows of one shard.
type shard struct {
	epoch    uint64
	expires  time.Time
	timer    *time.Timer
	ticket   uint64
	ticketAt time.Time
	running  map[descriptor.RunID]*run
	// told is the usage of each run in the latest reply.
	told     map[descriptor.RunID]descriptor.Resources
	finished map[descriptor.RunID]executor.RunResult
	// forgotten holds the acknowledged runs, also in their order.
	forgotten      map[descriptor.RunID]struct{}
	forgottenOrder []forgotten
}

type forgotten struct {
	run descriptor.RunID
	at  time.Time
}

// New returns a worker that does not listen. It serves its Handler.
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

// Start returns a listening worker and a function that ends it, and its tasks with it, at once.
func Start(options Options) (*Worker, func(), error) {
	worker := New(options)
	started, stop, err := server.Start(server.Options{
		Address: options.Address,
		Handler: worker.Handler(),
	})
	if err != nil {
		return nil, nil, err
	}
	worker.server = started
	announcement, silence, err := server.Announce(options.Lists, lister.Instance{
		ID:      string(options.ID),
		Role:    lister.RoleWorker,
		Address: started.Address(),
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
		silence()
		stop()
		worker.Restart()
	})
	return worker, cleanup, nil
}

// Address returns the bound address.
func (worker *Worker) Address() netip.AddrPort {
	return worker.server.Address()
}

// Bytes returns what was received and sent on all connections.
func (worker *Worker) Bytes() (received, sent uint64) {
	return worker.server.Bytes()
}

// Faults returns the fault switches.
func (worker *Worker) Faults() Faults {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	return worker.faults
}

// SetFaults sets all fault switches.
func (worker *Worker) SetFaults(faults Faults) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	if faults.Leaving != worker.faults.Leaving {
		worker.announcement.SetLeaving(faults.Leaving)
	}
	worker.faults = faults
}

// History returns all runs that were ever started, oldest first.
func (worker *Worker) History() []Record {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	return slices.Clone(worker.history)
}

// Restart loses all state but the history, as when the machine fails and comes back.
func (worker *Worker) Restart() {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	now := time.Now()
	for _, shard := range worker.shards {
		shard.timer.Stop()
		for _, run := range shard.running {
			worker.finish(shard, run, executor.RunResult{
				Outcome: executor.OutcomeFailed,
				Reason:  "worker restarted",
			}, now)
		}
	}
	worker.shards = make(map[descriptor.ShardID]*shard)
	worker.incarnation = newIncarnation()
}

// Shutdown takes no new runs, waits until no run is in progress or ctx ends, and leaves the list.
func (worker *Worker) Shutdown(ctx context.Context) error {
	faults := worker.Faults()
	faults.Leaving = true
	worker.SetFaults(faults)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for worker.busy() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	worker.announcement.Withdraw(ctx)
	return worker.server.Shutdown(ctx)
}

const pollInterval = 50 * time.Millisecond

func (worker *Worker) busy() bool {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	for _, shard := range worker.shards {
		if len(shard.running) > 0 {
			return true
		}
	}
	return false
}
