// Package hoster starts the drivers of the shards that an entry instance owns and finds the owners of
// the others.
package hoster

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/entry/dispatcher"
	"pomelomoor/internal/entry/ranker"
	"pomelomoor/internal/gateway/lister"
	"pomelomoor/internal/member/exchanger"
	"pomelomoor/internal/member/peerpb"
	"pomelomoor/internal/node/loader"
	"pomelomoor/internal/node/logger"
	"pomelomoor/internal/shard/driver"
	"pomelomoor/internal/shard/manager"
	"pomelomoor/internal/shard/tallier"
	"pomelomoor/internal/work/descriptor"
	"pomelomoor/internal/work/selector"
)

// ErrNoConfig means that the configuration in force is not known, so that no work may be placed.
var ErrNoConfig = errors.New("hoster: the configuration is not known yet")

// View is what the hoster asks of the membership. *exchanger.Exchanger implements it.
type View interface {
	// Owner returns the live member that claims a shard, or nil.
	Owner(shard descriptor.ShardID) *peerpb.Member
	// Heard returns when a peer's newest statement arrived.
	Heard(id string) time.Time
}

// Options configures a Hoster. All fields have to be set but Log.
type Options struct {
	// Self is the instance's ID, and Region its region.
	Self   string
	Region string
	// Sites lists the cell's shards, the same at all instances.
	Sites []loader.SiteShards
	// Driver is the part of the drivers' options that all shards have in common.
	Driver driver.Options
	// Config returns the configuration in force, and Known whether one is known.
	Config func() *parser.Compiled
	Known  func() bool
	// Owned returns the shards that this instance owns.
	Owned func() map[descriptor.ShardID]manager.Driver
	// View returns the membership. It exists only after the hoster.
	View func() View
	Log  *slog.Logger
}

// Hoster starts the drivers of owned shards and finds those of others.
type Hoster struct {
	options Options
	shards  []dispatcher.Shard

	mutex  sync.Mutex
	ranker ranker.Ranker
	list   lister.List
	config *parser.Compiled
	use    tallier.Tallier
}

// New returns a Hoster without shards.
func New(options Options) *Hoster {
	hoster := &Hoster{
		options: options,
		ranker: ranker.Ranker{
			Region: options.Region,
			Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		},
	}
	for _, site := range options.Sites {
		for i := range site.Count {
			hoster.shards = append(hoster.shards, dispatcher.Shard{
				ID:     shardID(site.Site, i),
				Region: site.Region,
				Site:   site.Site,
			})
		}
	}
	return hoster
}

// Shards returns the cell's shards, which are the same at all instances.
func (hoster *Hoster) Shards() []dispatcher.Shard {
	return hoster.shards
}

// running is a driver at work. It implements manager.Driver.
type running struct {
	driver *driver.Driver
	cancel context.CancelFunc
	ended  chan struct{}
}

// Stop implements manager.Driver.
func (running *running) Stop() {
	running.cancel()
	<-running.ended
}

// Ended implements manager.Driver.
func (running *running) Ended() <-chan struct{} {
	return running.ended
}

// Start implements manager.Options.Start. A driver that ends, by an error or a panic, gives its shard
// up; the shard is then taken over again, from the journal.
func (hoster *Hoster) Start(ctx context.Context, shard descriptor.ShardID) (manager.Driver, error) {
	if !hoster.options.Known() {
		// Work must not be placed as if there were no policies.
		return nil, ErrNoConfig
	}
	made, cleanup, err := hoster.build(shard)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	running := &running{
		driver: made,
		cancel: cancel,
		ended:  make(chan struct{}),
	}
	logger.Log(ctx, hoster.options.Log, logger.EventShardAcquired, slog.String("Shard", string(shard)))
	go func() {
		defer close(running.ended)
		defer cleanup()
		defer cancel()
		defer func() {
			if cause := recover(); cause != nil {
				logger.Log(ctx, hoster.options.Log, logger.EventComponentPanicked,
					slog.String("Component", "Shard "+string(shard)), slog.String("Error", fmt.Sprint(cause)))
			}
		}()
		if err := made.Serve(ctx); err != nil && ctx.Err() == nil {
			logger.Log(ctx, hoster.options.Log, logger.EventShardLost, slog.String("Shard", string(shard)), logger.Error(err))
			return
		}
		logger.Log(ctx, hoster.options.Log, logger.EventShardHandedOver, slog.String("Shard", string(shard)))
	}()
	return running, nil
}

// SetInstances passes the platform's list on to the owned shards.
func (hoster *Hoster) SetInstances(list lister.List) {
	hoster.mutex.Lock()
	hoster.list = list
	hoster.mutex.Unlock()
	for _, owned := range hoster.drivers() {
		owned.SetInstances(list)
	}
}

// SetConfig passes the configuration in force on to the owned shards.
func (hoster *Hoster) SetConfig(compiled *parser.Compiled) {
	hoster.mutex.Lock()
	hoster.config = compiled
	hoster.mutex.Unlock()
	for _, owned := range hoster.drivers() {
		owned.SetConfig(compiled)
	}
}

// SetElsewhere tells each owned shard what the teams use in the other ones. The peers' statements are
// up to a few seconds old.
func (hoster *Hoster) SetElsewhere() {
	drivers := hoster.drivers()
	hoster.mutex.Lock()
	defer hoster.mutex.Unlock()
	for _, shard := range hoster.shards {
		if owned, ok := drivers[shard.ID]; ok {
			if load, ok := owned.LoadSummary(); ok {
				hoster.use.Set(shard.ID, load.Teams)
			}
			continue
		}
		if told, ok := hoster.told(shard.ID); ok {
			hoster.use.Set(shard.ID, told)
		}
	}
	for shard, owned := range drivers {
		owned.SetOtherShardsUsage(hoster.use.OtherShardsUsage(shard))
	}
}

// told returns the use of each team by the statement of the shard's owner.
func (hoster *Hoster) told(shard descriptor.ShardID) (tallier.Usage, bool) {
	for _, owned := range hoster.options.View().Owner(shard).GetShards() {
		if owned.GetShard() != string(shard) {
			continue
		}
		use := tallier.Usage{}
		for _, team := range owned.GetTeams() {
			use[team.GetTeam()] = exchanger.Resources(team.GetUsed())
		}
		return use, true
	}
	return nil, false
}

func (hoster *Hoster) drivers() map[descriptor.ShardID]*driver.Driver {
	drivers := map[descriptor.ShardID]*driver.Driver{}
	for shard, owned := range hoster.options.Owned() {
		if owned, ok := owned.(*running); ok {
			drivers[shard] = owned.driver
		}
	}
	return drivers
}

// Local implements dispatcher.Options.Local.
func (hoster *Hoster) Local(shard descriptor.ShardID) (dispatcher.Owner, bool) {
	running, ok := hoster.options.Owned()[shard].(*running)
	if !ok {
		return nil, false
	}
	return running.driver, true
}

// Locate implements dispatcher.Options.Locate.
func (hoster *Hoster) Locate(shard descriptor.ShardID) (dispatcher.Location, bool) {
	owner := hoster.options.View().Owner(shard)
	if owner == nil || owner.GetId() == hoster.options.Self {
		return dispatcher.Location{}, false
	}
	address, ok := exchanger.Address(owner)
	return dispatcher.Location{
		Address: address,
		Region:  owner.GetRegion(),
	}, ok
}

// Statement returns what is told to peers about the owned shards.
func (hoster *Hoster) Statement() []*peerpb.OwnedShard {
	var statement []*peerpb.OwnedShard
	for shard, owned := range hoster.drivers() {
		load, ok := owned.LoadSummary()
		if !ok {
			continue
		}
		told := &peerpb.OwnedShard{
			Shard:    string(shard),
			Epoch:    load.Epoch,
			Capacity: exchanger.Amount(load.Capacity),
			Free:     exchanger.Amount(load.Free),
			Waiting:  exchanger.Amount(load.Waiting),
		}
		for team, used := range load.Teams {
			told.Teams = append(told.Teams, &peerpb.TeamUse{
				Team: team,
				Used: exchanger.Amount(used),
			})
		}
		slices.SortFunc(told.Teams, func(a, b *peerpb.TeamUse) int {
			return cmp.Compare(a.GetTeam(), b.GetTeam())
		})
		statement = append(statement, told)
	}
	slices.SortFunc(statement, func(a, b *peerpb.OwnedShard) int {
		return cmp.Compare(a.GetShard(), b.GetShard())
	})
	return statement
}

// Rank implements dispatcher.Options.Rank.
func (hoster *Hoster) Rank(job *descriptor.Job) []descriptor.ShardID {
	described := hoster.describe()
	wanted := hoster.selectors(job)
	now := time.Now()
	hoster.mutex.Lock()
	defer hoster.mutex.Unlock()
	order := hoster.ranker.Rank(now, described, wanted)
	if len(order) > 0 {
		hoster.ranker.Chosen(now, order[0], job)
	}
	return order
}

// ownStatementAge is how old this instance's statement about its own shards may be.
const ownStatementAge = 200 * time.Millisecond

// describe returns all shards as their owners described them last.
func (hoster *Hoster) describe() []ranker.Shard {
	var described []ranker.Shard
	for _, shard := range hoster.shards {
		one := ranker.Shard{
			ID:     shard.ID,
			Region: shard.Region,
			Site:   shard.Site,
		}
		owner := hoster.options.View().Owner(shard.ID)
		for _, owned := range owner.GetShards() {
			if owned.GetShard() != string(shard.ID) {
				continue
			}
			one.Known = true
			one.Capacity = exchanger.Resources(owned.GetCapacity())
			one.Free = exchanger.Resources(owned.GetFree())
			one.Waiting = exchanger.Resources(owned.GetWaiting())
			one.HeardAt = hoster.options.View().Heard(owner.GetId())
			if owner.GetId() == hoster.options.Self {
				one.HeardAt = time.Now().Add(-ownStatementAge)
			}
		}
		described = append(described, one)
	}
	return described
}

func (hoster *Hoster) selectors(job *descriptor.Job) []selector.Selector {
	selectors := hoster.options.Config().JobTreatment(job).Where
	// A selector with a fault is refused when the job is validated.
	if own, err := selector.Parse(job.Where); err == nil {
		selectors = append(slices.Clone(selectors), own)
	}
	return selectors
}

// build returns a driver that knows the list and the configuration.
func (hoster *Hoster) build(shard descriptor.ShardID) (*driver.Driver, func(), error) {
	options := hoster.options.Driver
	options.Shard = shard
	options.OwnsWorker = hoster.membership(shard)
	made, cleanup, err := driver.New(options)
	if err != nil {
		return nil, nil, err
	}
	hoster.mutex.Lock()
	list, config := hoster.list, hoster.config
	hoster.mutex.Unlock()
	if list.Validator != "" {
		made.SetInstances(list)
	}
	made.SetConfig(config)
	return made, cleanup, nil
}

// membership returns a test for the workers of a shard. The workers of a rack stay together.
func (hoster *Hoster) membership(shard descriptor.ShardID) func(lister.Instance) bool {
	for _, site := range hoster.options.Sites {
		for i := range site.Count {
			if shardID(site.Site, i) == shard {
				return func(instance lister.Instance) bool {
					return belongs(instance, site.Site, i, site.Count)
				}
			}
		}
	}
	return func(lister.Instance) bool {
		return false
	}
}

func shardID(site string, index int) descriptor.ShardID {
	return descriptor.ShardID(fmt.Sprintf("%s-%d", site, index))
}

// belongs reports whether a worker is in shard index of its site's count shards.
func belongs(instance lister.Instance, site string, index, count int) bool {
	if instance.Role != lister.RoleWorker || instance.Place.Site != site {
		return false
	}
	return xxhash.Sum64String(instance.Place.Rack)%uint64(count) == uint64(index)
}
