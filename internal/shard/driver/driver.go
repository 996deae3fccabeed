// Package driver runs the controller of one shard. It takes over the shard, writes the journal, calls the
// workers, checks the instance's store lease before every external effect, and hands over the shard.
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
	"pomelomoor/internal/shard/journaler"
	"pomelomoor/internal/shard/monitor"
	"pomelomoor/internal/shard/signaler"
	"pomelomoor/internal/shard/syncer"
	"pomelomoor/internal/work/descriptor"
)

const (
	// tickInterval is the time between two ticks of the controller, and so the resolution of its timeouts.
	tickInterval = 50 * time.Millisecond
	// callTimeout bounds one journal write and each status query of Await. It is below the instance's store lease
	// of 4 s.
	callTimeout = 2 * time.Second
	// writeRetryPause is the pause after a failed journal write.
	writeRetryPause = 250 * time.Millisecond
	// handoverTimeout bounds the last journal writes before an orderly handover.
	handoverTimeout = 2 * time.Second
	// defaultMaxSyncs is the default limit of concurrent messages to workers.
	defaultMaxSyncs = 64
	// retryAfter is the delay after which callers are asked to retry.
	retryAfter = 2 * time.Second
)

// Options configure a driver. Shard, Store, Executor and Authority are required.
type Options struct {
	Shard descriptor.ShardID
	// Owner is the name of the instance.
	Owner    string
	Store    storer.Store
	Executor executor.Executor
	// Authority returns what the instance's store lease currently permits. It is called before every external
	// effect and must return quickly.
	Authority func() signaler.Authority
	// OwnsWorker selects the workers of the shard; nil means all workers at the shard's site.
	OwnsWorker func(instance lister.Instance) bool
	// Limiter limits the rate of journal writes to the instance's share of the store's writes; nil means
	// no limit.
	Limiter *rate.Limiter
	// RingSize is the number of log slots of the journal; 0 means the journal's default.
	RingSize uint64
	// MaxSyncs limits the concurrent messages to workers; 0 means 64.
	MaxSyncs int
	// Now returns the current time; nil means time.Now.
	Now    func() time.Time
	Logger *slog.Logger
	// Tracers provides the tracer; nil means the global provider.
	Tracers trace.TracerProvider
	// Scope receives the metrics; nil means that none are reported.
	Scope tally.Scope
}

// LoadSummary summarizes the load of the shard for other instances.
type LoadSummary struct {
	Shard descriptor.ShardID
	Epoch uint64
	allocator.LoadSummary
}

// Driver runs one shard. Its methods are safe for concurrent use.
type Driver struct {
	options Options
	tracer  trace.Tracer
	metrics metrics
	syncer  syncer.Syncer
	// syncSemaphore is the semaphore that limits concurrent messages to workers.
	syncSemaphore chan struct{}
	term          atomic.Pointer[term]
	load          atomic.Pointer[LoadSummary]
	serving       sync.WaitGroup

	awaits awaiter.Awaiter[answer]
	// otherShardsUsage is the event of the latest call to SetOtherShardsUsage, or nil.
	otherShardsUsage atomic.Pointer[signaler.OtherShardsUsage]

	mutex     sync.Mutex
	config    *parser.Compiled
	instances *lister.List
}

// New returns a driver and a function that waits until Serve has returned. Cancel the context of Serve
// before calling that function.
func New(options Options) (*Driver, func(), error) {
	if options.Shard == "" || options.Store == nil || options.Executor == nil || options.Authority == nil {
		return nil, nil, errors.New("driver: Shard, Store, Executor and Authority are required")
	}
	if options.OwnsWorker == nil {
		options.OwnsWorker = monitor.SiteMatcher(options.Shard)
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
		options:       options,
		tracer:        options.Tracers.Tracer("pomelomoor/internal/shard/driver"),
		metrics:       newMetrics(options.Scope),
		syncSemaphore: make(chan struct{}, options.MaxSyncs),
	}
	driver.syncer = syncer.Syncer{
		Executor:   options.Executor,
		Authority:  options.Authority,
		Now:        options.Now,
		Tracer:     driver.tracer,
		Syncs:      driver.metrics.syncs,
		Unanswered: driver.metrics.unansweredSyncs,
	}
	return driver, driver.serving.Wait, nil
}

// String returns the name of the service for the supervisor's log.
func (driver *Driver) String() string {
	return fmt.Sprintf("shard %s", driver.options.Shard)
}

// ErrOwnershipEnded means that the instance no longer owns the shard. The instance has to obtain the owner key
// again before the next takeover.
var ErrOwnershipEnded = errors.New("driver: ownership ended")

// Serve takes over the shard and runs it until ctx or the ownership ends.
func (driver *Driver) Serve(ctx context.Context) error {
	driver.serving.Add(1)
	defer driver.serving.Done()
	if driver.options.Authority() != signaler.AuthorityFull {
		return errors.Wrap(ErrOwnershipEnded, "the instance's store lease does not permit a takeover")
	}
	term, err := driver.takeOver(ctx)
	if err != nil {
		driver.log(ctx, logger.EventShardRecoveryFailed, logger.Error(err))
		return errors.Wrap(ErrOwnershipEnded, err.Error())
	}
	driver.log(ctx, logger.EventShardRecovered, slog.Uint64("Epoch", term.journal.Epoch()))
	driver.metrics.takeovers.Inc(1)
	reason := term.run(ctx)
	driver.load.Store(nil)
	driver.log(ctx, logger.EventShardGivenUp, slog.Uint64("Epoch", term.journal.Epoch()), slog.String("Reason", reason))
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errors.Wrap(ErrOwnershipEnded, reason)
}

// log logs an event with the shard as an attribute.
func (driver *Driver) log(ctx context.Context, event logger.Event, attributes ...slog.Attr) {
	shard := slog.String("Shard", string(driver.options.Shard))
	logger.Log(ctx, driver.options.Logger, event, append([]slog.Attr{shard}, attributes...)...)
}

// takeOver opens the journal, which fences the previous owner, and returns a term with the records that its
// controller loads.
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

// SetConfig sets the configuration in force.
func (driver *Driver) SetConfig(config *parser.Compiled) {
	driver.mutex.Lock()
	driver.config = config
	driver.mutex.Unlock()
	driver.notifySettingsChanged()
}

// SetInstances sets the platform's list of instances.
func (driver *Driver) SetInstances(list lister.List) {
	driver.mutex.Lock()
	driver.instances = &list
	driver.mutex.Unlock()
	driver.notifySettingsChanged()
}

// SetOtherShardsUsage sets the resource usage of teams in the other shards of the cell. It takes effect
// at the next tick.
func (driver *Driver) SetOtherShardsUsage(teams map[string]descriptor.Resources) {
	driver.otherShardsUsage.Store(&signaler.OtherShardsUsage{
		Teams: teams,
	})
}

// notifySettingsChanged makes the event loop apply the new settings, if the shard is owned.
func (driver *Driver) notifySettingsChanged() {
	if term := driver.term.Load(); term != nil {
		select {
		case term.settingsChanged <- struct{}{}:
		default:
		}
	}
}

// settings returns the latest configuration and the workers of the shard, and whether the platform's list has
// been received.
func (driver *Driver) settings() (*parser.Compiled, []lister.Instance, bool) {
	driver.mutex.Lock()
	defer driver.mutex.Unlock()
	if driver.instances == nil {
		return driver.config, nil, false
	}
	var workers []lister.Instance
	for _, instance := range driver.instances.Instances {
		if instance.Role == lister.RoleWorker && driver.options.OwnsWorker(instance) {
			workers = append(workers, instance)
		}
	}
	return driver.config, workers, true
}

// LoadSummary returns the latest load summary, or false while the shard is not owned by this instance.
func (driver *Driver) LoadSummary() (LoadSummary, bool) {
	summary := driver.load.Load()
	if summary == nil {
		return LoadSummary{}, false
	}
	return *summary, true
}
