// Package driver runs the controller of one shard: it writes the journal, calls the workers, checks
// the instance's lease before every effect, and takes the shard over and hands it over.
package driver

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/time/rate"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/gateway/executor"
	"pomelomoor/internal/gateway/lister"
	"pomelomoor/internal/gateway/storer"
	"pomelomoor/internal/node/logger"
	"pomelomoor/internal/shard/allocator"
	"pomelomoor/internal/shard/awaiter"
	"pomelomoor/internal/shard/caller"
	"pomelomoor/internal/shard/journaler"
	"pomelomoor/internal/shard/signaler"
	"pomelomoor/internal/shard/watcher"
	"pomelomoor/internal/work/descriptor"
)

const (
	// tickInterval is the resolution of the controller's time.
	tickInterval = 50 * time.Millisecond
	// callTimeout bounds one call of the store. It is below the instance's lease of 4 s.
	callTimeout = 2 * time.Second
	// retryPause is the time between two attempts to write or to take over.
	retryPause = 250 * time.Millisecond
	// handoverTimeout bounds the last writes of a term that ends in an orderly way.
	handoverTimeout = 2 * time.Second
	// defaultMaxSyncs bounds the calls to workers at one time.
	defaultMaxSyncs = 64
	// retryAfter is what callers are told while the shard has no owner here.
	retryAfter = 2 * time.Second
)

// Options describe a driver. Shard, Store, Executor and Authority are required.
type Options struct {
	Shard descriptor.ShardID
	// Owner is the instance's name.
	Owner    string
	Store    storer.Store
	Executor executor.Executor
	// Authority tells what the instance's lease allows at this moment. It is called before every
	// external effect and must be quick.
	Authority func() signaler.Authority
	// Belongs tells which workers are the shard's; nil means all workers of the shard's site.
	Belongs func(instance lister.Instance) bool
	// Limiter is the instance's share of the store's writes; nil means no limit.
	Limiter *rate.Limiter
	// RingSize is that of the journal; 0 means its default.
	RingSize uint64
	// MaxSyncs bounds the calls to workers at one time; 0 means 64.
	MaxSyncs int
	// Now replaces time.Now.
	Now    func() time.Time
	Logger *slog.Logger
	// Tracers provides the tracer; nil means the process's provider.
	Tracers trace.TracerProvider
	// Scope takes metrics; nil means none.
	Scope tally.Scope
}

// Load is a summary of the shard for other instances.
type Load struct {
	Shard descriptor.ShardID
	Epoch uint64
	allocator.Load
}

// Driver runs one shard. All methods may be called by any goroutine.
type Driver struct {
	options Options
	tracer  trace.Tracer
	metrics metrics
	caller  caller.Caller
	// syncs holds a place for each call to a worker.
	syncs   chan struct{}
	term    atomic.Pointer[term]
	load    atomic.Pointer[Load]
	serving sync.WaitGroup

	awaits awaiter.Awaiter[answer]
	// elsewhere is the latest event of SetElsewhere, or nil.
	elsewhere atomic.Pointer[signaler.UseElsewhere]

	mutex     sync.Mutex
	config    *parser.Compiled
	instances *lister.List
}

// New returns a driver and a function that waits until all its calls have ended. The context of Serve
// has to be cancelled before.
func New(options Options) (*Driver, func(), error) {
	if options.Shard == "" || options.Store == nil || options.Executor == nil || options.Authority == nil {
		return nil, nil, errors.New("driver: Shard, Store, Executor and Authority are required")
	}
	if options.Belongs == nil {
		options.Belongs = watcher.OfSite(options.Shard)
	}
	if options.MaxSyncs == 0 {
		options.MaxSyncs = defaultMaxSyncs
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	if options.Tracers == nil {
		options.Tracers = otel.GetTracerProvider()
	}
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	driver := &Driver{
		options: options,
		tracer:  options.Tracers.Tracer("pomelomoor/internal/shard/driver"),
		metrics: newMetrics(options.Scope),
		syncs:   make(chan struct{}, options.MaxSyncs),
	}
	driver.caller = caller.Caller{
		Executor:  options.Executor,
		Authority: options.Authority,
		Now:       options.Now,
		Tracer:    driver.tracer,
		Calls:     driver.metrics.syncs,
		Silent:    driver.metrics.silent,
	}
	return driver, driver.serving.Wait, nil
}

// String names the service in its supervisor's log.
func (driver *Driver) String() string {
	return fmt.Sprintf("shard %s", driver.options.Shard)
}

// ErrEnded means that the ownership of the shard ended. Taking it over again needs the owner key again.
var ErrEnded = errors.New("driver: ownership ended")

// Serve takes the shard over and runs it until ctx ends or the ownership does.
func (driver *Driver) Serve(ctx context.Context) error {
	driver.serving.Add(1)
	defer driver.serving.Done()
	if driver.options.Authority() != signaler.AuthorityAct {
		return errors.Wrap(ErrEnded, "no lease")
	}
	term, err := driver.takeOver(ctx)
	if err != nil {
		driver.log(ctx, logger.EventShardRecoveryFailed, logger.Error(err))
		return errors.Wrap(ErrEnded, err.Error())
	}
	driver.log(ctx, logger.EventShardRecovered, slog.Uint64("Epoch", term.journal.Epoch()))
	driver.metrics.takeovers.Inc(1)
	reason := term.run(ctx)
	driver.load.Store(nil)
	driver.log(ctx, logger.EventShardGivenUp, slog.Uint64("Epoch", term.journal.Epoch()), slog.String("Reason", reason))
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errors.Wrap(ErrEnded, reason)
}

// log writes an event of the shard.
func (driver *Driver) log(ctx context.Context, event logger.Event, attributes ...slog.Attr) {
	shard := slog.String("Shard", string(driver.options.Shard))
	logger.Log(ctx, driver.options.Logger, event, append([]slog.Attr{shard}, attributes...)...)
}

// takeOver opens the journal and starts a controller from its records.
func (driver *Driver) takeOver(ctx context.Context) (*term, error) {
	ctx, span := driver.tracer.Start(ctx, "shard.takeover")
	defer span.End()
	journal, records, err := journaler.Open(ctx, journaler.Options{
		Store:    driver.options.Store,
		Shard:    driver.options.Shard,
		Owner:    driver.options.Owner,
		RingSize: driver.options.RingSize,
	})
	if err != nil {
		span.RecordError(err)
		return nil, err
	}
	return newTerm(driver, journal, records), nil
}

// SetConfig gives the configuration in force.
func (driver *Driver) SetConfig(config *parser.Compiled) {
	driver.mutex.Lock()
	driver.config = config
	driver.mutex.Unlock()
	driver.notify()
}

// SetInstances gives the platform's list.
func (driver *Driver) SetInstances(list lister.List) {
	driver.mutex.Lock()
	driver.instances = &list
	driver.mutex.Unlock()
	driver.notify()
}

// SetElsewhere gives the use of teams in the cell's other shards. It takes effect at the next tick.
func (driver *Driver) SetElsewhere(teams map[string]descriptor.Resources) {
	driver.elsewhere.Store(&signaler.UseElsewhere{
		Teams: teams,
	})
}

func (driver *Driver) notify() {
	if term := driver.term.Load(); term != nil {
		select {
		case term.changed <- struct{}{}:
		default:
		}
	}
}

// settings returns the latest configuration and the workers of the shard, nil if there are none yet.
func (driver *Driver) settings() (*parser.Compiled, []lister.Instance, bool) {
	driver.mutex.Lock()
	defer driver.mutex.Unlock()
	if driver.instances == nil {
		return driver.config, nil, false
	}
	var workers []lister.Instance
	for _, instance := range driver.instances.Instances {
		if instance.Role == lister.RoleWorker && driver.options.Belongs(instance) {
			workers = append(workers, instance)
		}
	}
	return driver.config, workers, true
}

// Load returns the latest summary, and false while the shard is not owned here.
func (driver *Driver) Load() (Load, bool) {
	load := driver.load.Load()
	if load == nil {
		return Load{}, false
	}
	return *load, true
}
