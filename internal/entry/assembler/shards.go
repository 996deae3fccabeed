package assembler

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/entry/dispatcher"
	"pomelomoor/internal/entry/ranker"
	"pomelomoor/internal/member/exchanger"
	"pomelomoor/internal/member/holder"
	"pomelomoor/internal/member/peerpb"
	"pomelomoor/internal/node/logger"
	"pomelomoor/internal/platform/lister"
	"pomelomoor/internal/shard/driver"
	"pomelomoor/internal/shard/manager"
	"pomelomoor/internal/shard/signaler"
	"pomelomoor/internal/shard/tallier"
	"pomelomoor/internal/work/descriptor"
	"pomelomoor/internal/work/selector"
)

// shards starts the drivers of owned shards and finds those of others.
type shards struct {
	entry   *Entry
	limiter *rate.Limiter

	mutex  sync.Mutex
	ranker ranker.Ranker
	list   lister.List
	config *parser.Compiled
	use    tallier.Tallier
}

// shardList returns the cell's shards, which are the same at all instances.
func (entry *Entry) shardList() []dispatcher.Shard {
	var list []dispatcher.Shard
	for _, site := range entry.settings.Shards {
		for i := range site.Count {
			list = append(list, dispatcher.Shard{
				ID:     shardID(site.Site, i),
				Region: site.Region,
				Site:   site.Site,
			})
		}
	}
	return list
}

// running is a driver at work. It implements manager.Running.
type running struct {
	driver *driver.Driver
	cancel context.CancelFunc
	ended  chan struct{}
}

// Stop implements manager.Running.
func (running *running) Stop() {
	running.cancel()
	<-running.ended
}

// Ended implements manager.Running.
func (running *running) Ended() <-chan struct{} {
	return running.ended
}

// start implements manager.Options.Start. A driver that ends, by an error or a panic, gives its shard
// up; the shard is then taken over again, from the journal.
func (shards *shards) start(ctx context.Context, shard descriptor.ShardID) (manager.Running, error) {
	if !shards.entry.applier.Known() {
		// Work must not be placed as if there were no policies.
		return nil, errStarting
	}
	made, cleanup, err := shards.build(shard)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	running := &running{
		driver: made,
		cancel: cancel,
		ended:  make(chan struct{}),
	}
	logger.Log(ctx, shards.entry.log, logger.EventShardAcquired, slog.String("Shard", string(shard)))
	go func() {
		defer close(running.ended)
		defer cleanup()
		defer cancel()
		defer func() {
			if cause := recover(); cause != nil {
				logger.Log(ctx, shards.entry.log, logger.EventComponentPanicked,
					slog.String("Component", "Shard "+string(shard)), slog.String("Error", fmt.Sprint(cause)))
			}
		}()
		if err := made.Serve(ctx); err != nil && ctx.Err() == nil {
			logger.Log(ctx, shards.entry.log, logger.EventShardLost, slog.String("Shard", string(shard)), logger.Error(err))
			return
		}
		logger.Log(ctx, shards.entry.log, logger.EventShardHandedOver, slog.String("Shard", string(shard)))
	}()
	return running, nil
}

// setInstances passes the platform's list on to the owned shards.
func (shards *shards) setInstances(list lister.List) {
	shards.mutex.Lock()
	shards.list = list
	shards.mutex.Unlock()
	for _, owned := range shards.drivers() {
		owned.SetInstances(list)
	}
}

func (shards *shards) setConfig(compiled *parser.Compiled) {
	shards.mutex.Lock()
	shards.config = compiled
	shards.mutex.Unlock()
	for _, owned := range shards.drivers() {
		owned.SetConfig(compiled)
	}
}

// setElsewhere tells each owned shard what the teams use in the other ones. The peers' statements are
// up to a few seconds old.
func (shards *shards) setElsewhere() {
	drivers := shards.drivers()
	shards.mutex.Lock()
	defer shards.mutex.Unlock()
	for _, shard := range shards.entry.shardList() {
		if owned, ok := drivers[shard.ID]; ok {
			if load, ok := owned.Load(); ok {
				shards.use.Set(shard.ID, load.Teams)
			}
			continue
		}
		if told, ok := shards.told(shard.ID); ok {
			shards.use.Set(shard.ID, told)
		}
	}
	for shard, owned := range drivers {
		owned.SetElsewhere(shards.use.Elsewhere(shard))
	}
}

// told returns the use of each team by the statement of the shard's owner.
func (shards *shards) told(shard descriptor.ShardID) (tallier.Use, bool) {
	for _, owned := range shards.entry.exchanger.Owner(shard).GetShards() {
		if owned.GetShard() != string(shard) {
			continue
		}
		use := tallier.Use{}
		for _, team := range owned.GetTeams() {
			use[team.GetTeam()] = exchanger.Resources(team.GetUsed())
		}
		return use, true
	}
	return nil, false
}

func (shards *shards) drivers() map[descriptor.ShardID]*driver.Driver {
	drivers := map[descriptor.ShardID]*driver.Driver{}
	for shard, owned := range shards.entry.manager.Owned() {
		if owned, ok := owned.(*running); ok {
			drivers[shard] = owned.driver
		}
	}
	return drivers
}

// local implements dispatcher.Options.Local.
func (shards *shards) local(shard descriptor.ShardID) (dispatcher.Owner, bool) {
	owned, ok := shards.entry.manager.Running(shard)
	if !ok {
		return nil, false
	}
	running, ok := owned.(*running)
	if !ok {
		return nil, false
	}
	return running.driver, true
}

// locate implements dispatcher.Options.Locate.
func (shards *shards) locate(shard descriptor.ShardID) (dispatcher.Location, bool) {
	owner := shards.entry.exchanger.Owner(shard)
	if owner == nil || owner.GetId() == shards.entry.id {
		return dispatcher.Location{}, false
	}
	address, ok := exchanger.Address(owner)
	return dispatcher.Location{
		Address: address,
		Region:  owner.GetRegion(),
	}, ok
}

// statement returns what is told to peers about the owned shards.
func (shards *shards) statement() []*peerpb.OwnedShard {
	var statement []*peerpb.OwnedShard
	for shard, owned := range shards.drivers() {
		load, ok := owned.Load()
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

// rank implements dispatcher.Options.Rank.
func (shards *shards) rank(job *descriptor.Job) []descriptor.ShardID {
	described := shards.describe()
	wanted := shards.selectors(job)
	now := time.Now()
	shards.mutex.Lock()
	defer shards.mutex.Unlock()
	order := shards.ranker.Rank(now, described, wanted)
	if len(order) > 0 {
		shards.ranker.Chosen(now, order[0], job)
	}
	return order
}

// ownStatementAge is how old this instance's statement about its own shards may be.
const ownStatementAge = 200 * time.Millisecond

// describe returns all shards as their owners described them last.
func (shards *shards) describe() []ranker.Shard {
	var described []ranker.Shard
	for _, shard := range shards.entry.shardList() {
		one := ranker.Shard{
			ID:     shard.ID,
			Region: shard.Region,
			Site:   shard.Site,
		}
		owner := shards.entry.exchanger.Owner(shard.ID)
		for _, owned := range owner.GetShards() {
			if owned.GetShard() != string(shard.ID) {
				continue
			}
			one.Known = true
			one.Capacity = exchanger.Resources(owned.GetCapacity())
			one.Free = exchanger.Resources(owned.GetFree())
			one.Waiting = exchanger.Resources(owned.GetWaiting())
			one.HeardAt = shards.entry.exchanger.Heard(owner.GetId())
			if owner.GetId() == shards.entry.id {
				one.HeardAt = time.Now().Add(-ownStatementAge)
			}
		}
		described = append(described, one)
	}
	return described
}

func (shards *shards) selectors(job *descriptor.Job) []selector.Selector {
	selectors := shards.entry.applier.Current().JobTreatment(job).Where
	// A selector with a fault is refused when the job is validated.
	if own, err := selector.Parse(job.Where); err == nil {
		selectors = append(slices.Clone(selectors), own)
	}
	return selectors
}

// build returns a driver that knows the list and the configuration.
func (shards *shards) build(shard descriptor.ShardID) (*driver.Driver, func(), error) {
	entry := shards.entry
	made, cleanup, err := driver.New(driver.Options{
		Shard:     shard,
		Owner:     entry.id,
		Store:     entry.store,
		Executor:  entry.executor,
		Authority: entry.authority,
		Belongs:   shards.membership(shard),
		Limiter:   shards.limiter,
		RingSize:  uint64(entry.settings.Limits.RingSize),
		Logger:    entry.log,
		Tracers:   entry.tracer.Provider(),
		Scope:     entry.meter.Scope,
	})
	if err != nil {
		return nil, nil, err
	}
	shards.mutex.Lock()
	list, config := shards.list, shards.config
	shards.mutex.Unlock()
	if list.Validator != "" {
		made.SetInstances(list)
	}
	made.SetConfig(config)
	return made, cleanup, nil
}

// authority translates what the store lease allows.
func (entry *Entry) authority() signaler.Authority {
	switch entry.holder.Authority() {
	case holder.AuthorityAct:
		return signaler.AuthorityAct
	case holder.AuthorityRenew:
		return signaler.AuthorityRenew
	default:
		return signaler.AuthorityNone
	}
}

// membership returns a test for the workers of a shard. The workers of a rack stay together.
func (shards *shards) membership(shard descriptor.ShardID) func(lister.Instance) bool {
	for _, site := range shards.entry.settings.Shards {
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
