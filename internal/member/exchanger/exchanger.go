// Package exchanger carries out the exchanges between entry instances: it polls the platform's list,
// sends this instance's statement to its peers, and hands on what they tell.
package exchanger

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"pomelomoor/internal/gateway/lister"
	"pomelomoor/internal/member/messenger"
	"pomelomoor/internal/member/peerpb"
	"pomelomoor/internal/member/tracker"
	"pomelomoor/internal/node/logger"
	"pomelomoor/internal/work/descriptor"
)

// Timing of the loop.
const (
	defaultListInterval = 2 * time.Second
	tickInterval        = 200 * time.Millisecond
	callTimeout         = 2 * time.Second
	// teamsInterval is how often the figures per team are sent. They are the largest part of a
	// statement and change slowly.
	teamsInterval = 4 * time.Second
)

// Options configures an Exchanger. All fields but Log and ListInterval have to be set.
type Options struct {
	// Tracker holds the view. The exchanger is its only user.
	Tracker   *tracker.Tracker
	Lister    lister.Lister
	Messenger *messenger.Messenger
	// State fills in the changing part of this instance's statement.
	State func(member *peerpb.Member)
	// OnList is called with each changed list.
	OnList func(lister.List)
	// OnView is called after the view may have changed.
	OnView func()
	// OnNewerConfig is called when a peer has a higher revision than this instance.
	OnNewerConfig func(ctx context.Context, member *peerpb.Member)
	Log           *slog.Logger
	ListInterval  time.Duration
}

// Exchanger keeps the membership view up to date.
type Exchanger struct {
	options Options

	mutex     sync.Mutex
	validator string
	sentTeams time.Time
	live      map[string]bool
	fetching  bool
}

// New returns an Exchanger.
func New(options Options) *Exchanger {
	if options.ListInterval == 0 {
		options.ListInterval = defaultListInterval
	}
	return &Exchanger{
		options: options,
		live:    map[string]bool{},
	}
}

// Serve runs until ctx ends.
func (exchanger *Exchanger) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var polled time.Time
	for {
		now := time.Now()
		if now.Sub(polled) >= exchanger.options.ListInterval {
			polled = now
			exchanger.poll(ctx)
		}
		exchanger.exchange(ctx, now)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (exchanger *Exchanger) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := exchanger.options.Lister.List(ctx, exchanger.validator)
	if err != nil || list.Validator == exchanger.validator {
		return
	}
	exchanger.validator = list.Validator
	exchanger.mutex.Lock()
	exchanger.options.Tracker.SetList(time.Now(), list.Instances)
	exchanger.mutex.Unlock()
	exchanger.options.OnList(list)
}

// refresh replaces the own statement by a new one. Statements are never changed after that, since
// exchanges in progress use them.
func (exchanger *Exchanger) refresh(now time.Time) {
	tracker := exchanger.options.Tracker
	self := proto.CloneOf(tracker.Self)
	self.Sequence++
	self.Shards = nil
	self.FreeSlots = nil
	exchanger.options.State(self)
	if now.Sub(exchanger.sentTeams) < teamsInterval {
		for _, shard := range self.GetShards() {
			shard.Teams = nil
		}
	} else {
		exchanger.sentTeams = now
	}
	tracker.Self = self
}

// exchange begins the exchanges that are due.
func (exchanger *Exchanger) exchange(ctx context.Context, now time.Time) {
	exchanger.mutex.Lock()
	exchanger.refresh(now)
	due := exchanger.options.Tracker.Due(now)
	exchanger.mutex.Unlock()
	for _, exchange := range due {
		go exchanger.call(ctx, exchange)
	}
	exchanger.report(ctx, now)
	exchanger.options.OnView()
}

func (exchanger *Exchanger) call(ctx context.Context, exchange tracker.Exchange) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, err := exchanger.options.Messenger.Client(exchange.Address, exchange.Region)
	if err != nil {
		return
	}
	view, err := client.Exchange(ctx, exchange.View)
	if err != nil {
		return
	}
	exchanger.merge(ctx, view)
}

func (exchanger *Exchanger) merge(ctx context.Context, view *peerpb.View) {
	exchanger.mutex.Lock()
	exchanger.options.Tracker.Merge(time.Now(), view)
	revision := exchanger.options.Tracker.Self.GetConfigRevision()
	exchanger.mutex.Unlock()
	for _, member := range view.GetMembers() {
		if member.GetConfigRevision() > revision {
			exchanger.fetch(ctx, member)
			return
		}
	}
}

// fetch asks one peer at a time for its configuration.
func (exchanger *Exchanger) fetch(ctx context.Context, member *peerpb.Member) {
	exchanger.mutex.Lock()
	busy := exchanger.fetching
	exchanger.fetching = true
	exchanger.mutex.Unlock()
	if busy {
		return
	}
	exchanger.options.OnNewerConfig(ctx, member)
	exchanger.mutex.Lock()
	exchanger.fetching = false
	exchanger.mutex.Unlock()
}

// Answer takes a peer's statement and returns the own one.
func (exchanger *Exchanger) Answer(ctx context.Context, view *peerpb.View) *peerpb.View {
	exchanger.merge(ctx, view)
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	id := ""
	if len(view.GetMembers()) > 0 {
		id = view.GetMembers()[0].GetId()
	}
	return exchanger.options.Tracker.Answer(time.Now(), id)
}

// SetLeaving marks this instance as leaving and tells all peers at once.
func (exchanger *Exchanger) SetLeaving(ctx context.Context) {
	exchanger.mutex.Lock()
	self := proto.CloneOf(exchanger.options.Tracker.Self)
	self.Leaving = true
	exchanger.options.Tracker.Self = self
	exchanger.mutex.Unlock()
	exchanger.Push(ctx)
}

// Push tells all live peers of the region the current state without waiting for the next exchange.
func (exchanger *Exchanger) Push(ctx context.Context) {
	exchanger.mutex.Lock()
	exchanger.refresh(time.Now())
	self := exchanger.options.Tracker.Self
	live := exchanger.options.Tracker.Live(time.Now())
	exchanger.mutex.Unlock()
	var group sync.WaitGroup
	for _, member := range live {
		address, ok := Address(member)
		if !ok || member.GetId() == self.GetId() || member.GetRegion() != self.GetRegion() {
			continue
		}
		group.Go(func() {
			exchanger.call(ctx, tracker.Exchange{
				ID:      member.GetId(),
				Region:  member.GetRegion(),
				Address: address,
				View: &peerpb.View{
					Members: []*peerpb.Member{self},
				},
			})
		})
	}
	group.Wait()
}

// report logs the peers that fell silent or came back.
func (exchanger *Exchanger) report(ctx context.Context, now time.Time) {
	exchanger.mutex.Lock()
	live := map[string]bool{}
	for _, member := range exchanger.options.Tracker.Live(now) {
		live[member.GetId()] = true
	}
	before := exchanger.live
	exchanger.live = live
	exchanger.mutex.Unlock()
	for id := range before {
		if !live[id] {
			logger.Log(ctx, exchanger.options.Log, logger.EventPeerSuspected, slog.String("Peer", id))
		}
	}
	for id := range live {
		if !before[id] {
			logger.Log(ctx, exchanger.options.Log, logger.EventPeerJoined, slog.String("Peer", id))
		}
	}
}

// Live returns the live members, this instance included.
func (exchanger *Exchanger) Live() []*peerpb.Member {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	return exchanger.options.Tracker.Live(time.Now())
}

// Silent returns the listed members that are not heard from.
func (exchanger *Exchanger) Silent() []*peerpb.Member {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	return exchanger.options.Tracker.Silent(time.Now())
}

// Candidates returns the members that may own a shard, best first.
func (exchanger *Exchanger) Candidates(shard descriptor.ShardID, region string) []*peerpb.Member {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	return exchanger.options.Tracker.Candidates(time.Now(), shard, region)
}

// Owner returns the live member that claims a shard, or nil.
func (exchanger *Exchanger) Owner(shard descriptor.ShardID) *peerpb.Member {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	return exchanger.options.Tracker.Owner(time.Now(), shard)
}

// Heard returns when a peer's newest statement arrived.
func (exchanger *Exchanger) Heard(id string) time.Time {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	peer, _ := exchanger.options.Tracker.Peer(id)
	return peer.HeardAt
}
