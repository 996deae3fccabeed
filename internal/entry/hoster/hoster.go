// Package hoster runs the drivers of the shards that an entry instance owns and locates the owners of the
// other shards.
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
	"pomelomoor/internal/entry/jobrouter"
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

// ErrNoConfig means that the configuration in force is not loaded yet, so no work may be placed.
var ErrNoConfig = errors.New("hoster: the configuration is not loaded yet")

// Membership provides what the hoster needs to know about other instances. *exchanger.Exchanger implements it.
type Membership interface {
	// Owner returns the live member that reports the shard as its own with the highest epoch, or nil.
	Owner(shard descriptor.ShardID) *peerpb.Member
	// LastHeard returns when the latest member record of a peer arrived, directly or through another instance.
	LastHeard(id string) time.Time
}

// Options configures a Hoster. All fields except Log are required.
type Options struct {
	// Self is the instance's ID, and Region its region.
	Self   string
	Region string
	// Sites lists the number of shards of each site. It must be the same on all instances.
	Sites []loader.SiteShards
	// DriverOptions contains the driver options that are common to all shards.
	DriverOptions driver.Options
	// Config returns the configuration in force, and ConfigLoaded whether it is loaded yet.
	Config       func() *parser.Compiled
	ConfigLoaded func() bool
	// Drivers returns the drivers of the shards that this instance owns.
	Drivers func() map[descriptor.ShardID]manager.Driver
	// Membership returns the membership, which is built after the hoster.
	Membership func() Membership
	Log        *slog.Logger
}

// Hoster runs the drivers of owned shards and locates the owners of the others.
type Hoster struct {
	options Options
	shards  []jobrouter.Shard

	mutex  sync.Mutex
	ranker ranker.Ranker
	list   lister.List
	config *parser.Compiled
	usage  tallier.Tallier
}

// New returns a Hoster that runs no drivers yet.
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
			hoster.shards = append(hoster.shards, jobrouter.Shard{
				ID:     shardID(site.Site, i),
				Region: site.Region,
				Site:   site.Site,
			})
		}
	}
	return hoster
}

// Shards returns the cell's shards, which are the same on all instances.
func (hoster *Hoster) Shards() []jobrouter.Shard {
	return hoster.shards
}

// runningDriver is the running driver of an owned shard. It implements manager.Driver.
type runningDriver struct {
	driver *driver.Driver
	cancel context.CancelFunc
	ended  chan struct{}
}

// Stop implements manager.Driver.
func (runningDriver *runningDriver) Stop() {
	runningDriver.cancel()
	<-runningDriver.ended
}

// Ended implements manager.Driver.
func (runningDriver *runningDriver) Ended() <-chan struct{} {
	return runningDriver.ended
}

// Start implements manager.Options.Start. If the driver ends with an error or a panic, its shard is given up
// and then taken over again, with its state recovered from the journal.
func (hoster *Hoster) Start(ctx context.Context, shard descriptor.ShardID) (manager.Driver, error) {
	if !hoster.options.ConfigLoaded() {
		// Without the configuration, work would be placed as if there were no policies.
		return nil, ErrNoConfig
	}
	shardDriver, cleanup, err := hoster.build(shard)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	running := &runningDriver{
		driver: shardDriver,
		cancel: cancel,
		ended:  make(chan struct{}),
	}
	logger.Log(ctx, hoster.options.Log, logger.EventShardAcquired, slog.String("Shard", string(shard)))
	go func() {
		defer close(running.ended)
		defer cleanup()
		defer cancel()
		defer func() {
			if panicValue := recover(); panicValue != nil {
				logger.Log(ctx, hoster.options.Log, logger.EventComponentPanicked,
					slog.String("Component", "Shard "+string(shard)), slog.String("Error", fmt.Sprint(panicValue)))
			}
		}()
		if err := shardDriver.Serve(ctx); err != nil && ctx.Err() == nil {
			logger.Log(ctx, hoster.options.Log, logger.EventShardLost, slog.String("Shard", string(shard)), logger.Error(err))
			return
		}
		logger.Log(ctx, hoster.options.Log, logger.EventShardHandedOver, slog.String("Shard", string(shard)))
	}()
	return running, nil
}

// SetInstances passes the platform's instance list to the owned shards.
func (hoster *Hoster) SetInstances(list lister.List) {
	hoster.mutex.Lock()
	hoster.list = list
	hoster.mutex.Unlock()
	for _, shardDriver := range hoster.drivers() {
		shardDriver.SetInstances(list)
	}
}

// SetConfig passes the configuration in force to the owned shards.
func (hoster *Hoster) SetConfig(compiled *parser.Compiled) {
	hoster.mutex.Lock()
	hoster.config = compiled
	hoster.mutex.Unlock()
	for _, shardDriver := range hoster.drivers() {
		shardDriver.SetConfig(compiled)
	}
}

// UpdateTeamUsage tells each owned shard how much each team uses in all other shards. The figures of shards
// owned by peers are up to a few seconds old.
func (hoster *Hoster) UpdateTeamUsage() {
	drivers := hoster.drivers()
	hoster.mutex.Lock()
	defer hoster.mutex.Unlock()
	for _, shard := range hoster.shards {
		if shardDriver, ok := drivers[shard.ID]; ok {
			if load, ok := shardDriver.LoadSummary(); ok {
				hoster.usage.Set(shard.ID, load.Teams)
			}
			continue
		}
		if reported, ok := hoster.reportedUsage(shard.ID); ok {
			hoster.usage.Set(shard.ID, reported)
		}
	}
	for shard, shardDriver := range drivers {
		shardDriver.SetOtherShardsUsage(hoster.usage.OtherShardsUsage(shard))
	}
}

// reportedUsage returns the usage of each team in a shard as last reported by its owner.
func (hoster *Hoster) reportedUsage(shard descriptor.ShardID) (tallier.Usage, bool) {
	for _, owned := range hoster.options.Membership().Owner(shard).GetShards() {
		if owned.GetShard() != string(shard) {
			continue
		}
		usage := tallier.Usage{}
		for _, team := range owned.GetTeams() {
			usage[team.GetTeam()] = exchanger.FromAmount(team.GetUsed())
		}
		return usage, true
	}
	return nil, false
}

func (hoster *Hoster) drivers() map[descriptor.ShardID]*driver.Driver {
	drivers := map[descriptor.ShardID]*driver.Driver{}
	for shard, owned := range hoster.options.Drivers() {
		if owned, ok := owned.(*runningDriver); ok {
			drivers[shard] = owned.driver
		}
	}
	return drivers
}

// Local implements jobrouter.Options.Local.
func (hoster *Hoster) Local(shard descriptor.ShardID) (jobrouter.LocalShard, bool) {
	running, ok := hoster.options.Drivers()[shard].(*runningDriver)
	if !ok {
		return nil, false
	}
	return running.driver, true
}

// Locate implements jobrouter.Options.Locate.
func (hoster *Hoster) Locate(shard descriptor.ShardID) (jobrouter.Location, bool) {
	owner := hoster.options.Membership().Owner(shard)
	if owner == nil || owner.GetId() == hoster.options.Self {
		return jobrouter.Location{}, false
	}
	address, ok := exchanger.Address(owner)
	return jobrouter.Location{
		Address: address,
		Region:  owner.GetRegion(),
	}, ok
}

// OwnedShards returns the state of the owned shards as reported to peers.
func (hoster *Hoster) OwnedShards() []*peerpb.OwnedShard {
	var ownedShards []*peerpb.OwnedShard
	for shard, shardDriver := range hoster.drivers() {
		load, ok := shardDriver.LoadSummary()
		if !ok {
			continue
		}
		ownedShard := &peerpb.OwnedShard{
			Shard:    string(shard),
			Epoch:    load.Epoch,
			Capacity: exchanger.ToAmount(load.Capacity),
			Free:     exchanger.ToAmount(load.Free),
			Waiting:  exchanger.ToAmount(load.Waiting),
		}
		for team, used := range load.Teams {
			ownedShard.Teams = append(ownedShard.Teams, &peerpb.TeamUse{
				Team: team,
				Used: exchanger.ToAmount(used),
			})
		}
		slices.SortFunc(ownedShard.Teams, func(a, b *peerpb.TeamUse) int {
			return cmp.Compare(a.GetTeam(), b.GetTeam())
		})
		ownedShards = append(ownedShards, ownedShard)
	}
	slices.SortFunc(ownedShards, func(a, b *peerpb.OwnedShard) int {
		return cmp.Compare(a.GetShard(), b.GetShard())
	})
	return ownedShards
}

// Rank implements jobrouter.Options.Rank. It also records the job as assigned to the best shard, so that later
// rankings add the job to the shard's load until the owner's next report, or for a few seconds if none arrives.
func (hoster *Hoster) Rank(job *descriptor.Job) []descriptor.ShardID {
	descriptions := hoster.describeShards()
	jobSelectors := hoster.selectors(job)
	now := time.Now()
	hoster.mutex.Lock()
	defer hoster.mutex.Unlock()
	order := hoster.ranker.Rank(now, descriptions, jobSelectors)
	if len(order) > 0 {
		hoster.ranker.RecordAssignment(now, order[0], job)
	}
	return order
}

// assumedOwnRecordAge is the age assumed for this instance's own member record, for which Membership has no
// arrival time. It equals the tick of the exchanger, which refreshes the record.
const assumedOwnRecordAge = 200 * time.Millisecond

// describeShards returns all shards with the state that their owners last reported.
func (hoster *Hoster) describeShards() []ranker.Shard {
	var descriptions []ranker.Shard
	for _, shard := range hoster.shards {
		description := ranker.Shard{
			ID:     shard.ID,
			Region: shard.Region,
			Site:   shard.Site,
		}
		owner := hoster.options.Membership().Owner(shard.ID)
		for _, owned := range owner.GetShards() {
			if owned.GetShard() != string(shard.ID) {
				continue
			}
			description.HasOwner = true
			description.Capacity = exchanger.FromAmount(owned.GetCapacity())
			description.Free = exchanger.FromAmount(owned.GetFree())
			description.Waiting = exchanger.FromAmount(owned.GetWaiting())
			description.ReportedAt = hoster.options.Membership().LastHeard(owner.GetId())
			if owner.GetId() == hoster.options.Self {
				description.ReportedAt = time.Now().Add(-assumedOwnRecordAge)
			}
		}
		descriptions = append(descriptions, description)
	}
	return descriptions
}

func (hoster *Hoster) selectors(job *descriptor.Job) []selector.Selector {
	selectors := hoster.options.Config().EffectiveJobPolicy(job).Where
	// A selector that does not parse is ignored here, since validation refuses the job.
	if jobSelector, err := selector.Parse(job.Where); err == nil {
		selectors = append(slices.Clone(selectors), jobSelector)
	}
	return selectors
}

// build creates the driver of a shard and gives it the current instance list and configuration.
func (hoster *Hoster) build(shard descriptor.ShardID) (*driver.Driver, func(), error) {
	options := hoster.options.DriverOptions
	options.Shard = shard
	options.OwnsWorker = hoster.workerFilter(shard)
	shardDriver, cleanup, err := driver.New(options)
	if err != nil {
		return nil, nil, err
	}
	hoster.mutex.Lock()
	list, config := hoster.list, hoster.config
	hoster.mutex.Unlock()
	// An empty ETag means that no list was received yet.
	if list.ETag != "" {
		shardDriver.SetInstances(list)
	}
	shardDriver.SetConfig(config)
	return shardDriver, cleanup, nil
}

// workerFilter returns a predicate for the workers of a shard. All workers of a rack are in the same shard.
func (hoster *Hoster) workerFilter(shard descriptor.ShardID) func(lister.Instance) bool {
	for _, site := range hoster.options.Sites {
		for i := range site.Count {
			if shardID(site.Site, i) == shard {
				return func(instance lister.Instance) bool {
					return inShard(instance, site.Site, i, site.Count)
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

// inShard reports whether instance is a worker in the shard with the given index, out of count shards of its
// site. The rack's hash selects the shard.
func inShard(instance lister.Instance, site string, index, count int) bool {
	if instance.Role != lister.RoleWorker || instance.Place.Site != site {
		return false
	}
	return xxhash.Sum64String(instance.Place.Rack)%uint64(count) == uint64(index)
}
