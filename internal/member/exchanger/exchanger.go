// Package exchanger runs the membership exchanges between entry instances. It polls the platform's list
// of instances, exchanges views with peers, and reports changes of the view and newer configurations.
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

// Intervals of the loop in Serve, and the timeout of its calls.
const (
	defaultListInterval = 2 * time.Second
	tickInterval        = 200 * time.Millisecond
	callTimeout         = 2 * time.Second
	// teamsSendInterval is how often the usage per team is sent. It is the largest part of a member
	// record and changes slowly.
	teamsSendInterval = 4 * time.Second
)

// Options configures an Exchanger. All fields except Log and ListInterval are required.
type Options struct {
	// Tracker holds the view. It must not be used outside the exchanger.
	Tracker   *tracker.Tracker
	Lister    lister.Lister
	Messenger *messenger.Messenger
	// FillState sets the fields of this instance's member record that change.
	FillState func(member *peerpb.Member)
	// OnList is called with each list that differs from the previous one.
	OnList func(lister.List)
	// OnView is called after the view may have changed.
	OnView func()
	// OnNewerConfig is called when a peer has a higher configuration revision than this instance.
	OnNewerConfig func(ctx context.Context, member *peerpb.Member)
	Log           *slog.Logger
	ListInterval  time.Duration
}

// Exchanger keeps the membership view up to date.
type Exchanger struct {
	options Options

	mutex          sync.Mutex
	listETag       string
	teamsSentAt    time.Time
	previousLive   map[string]bool
	fetchingConfig bool
}

// New returns an Exchanger.
func New(options Options) *Exchanger {
	if options.ListInterval == 0 {
		options.ListInterval = defaultListInterval
	}
	return &Exchanger{
		options:      options,
		previousLive: map[string]bool{},
	}
}

// Serve polls the list and exchanges views until ctx is cancelled.
func (exchanger *Exchanger) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var lastPoll time.Time
	for {
		now := time.Now()
		if now.Sub(lastPoll) >= exchanger.options.ListInterval {
			lastPoll = now
			exchanger.pollList(ctx)
		}
		exchanger.startExchanges(ctx, now)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (exchanger *Exchanger) pollList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := exchanger.options.Lister.List(ctx, exchanger.listETag)
	if err != nil || list.ETag == exchanger.listETag {
		return
	}
	exchanger.listETag = list.ETag
	exchanger.mutex.Lock()
	exchanger.options.Tracker.SetList(time.Now(), list.Instances)
	exchanger.mutex.Unlock()
	exchanger.options.OnList(list)
}

// refreshSelf replaces this instance's member record with a new one. A record is not modified once it is in use,
// because exchanges in progress read it.
func (exchanger *Exchanger) refreshSelf(now time.Time) {
	tracker := exchanger.options.Tracker
	self := proto.CloneOf(tracker.Self)
	self.Sequence++
	self.Shards = nil
	self.FreeSlots = nil
	exchanger.options.FillState(self)
	if now.Sub(exchanger.teamsSentAt) < teamsSendInterval {
		for _, shard := range self.GetShards() {
			shard.Teams = nil
		}
	} else {
		exchanger.teamsSentAt = now
	}
	tracker.Self = self
}

// startExchanges starts the exchanges that are due.
func (exchanger *Exchanger) startExchanges(ctx context.Context, now time.Time) {
	exchanger.mutex.Lock()
	exchanger.refreshSelf(now)
	due := exchanger.options.Tracker.Due(now)
	exchanger.mutex.Unlock()
	for _, exchange := range due {
		go exchanger.callPeer(ctx, exchange)
	}
	exchanger.logChanges(ctx, now)
	exchanger.options.OnView()
}

func (exchanger *Exchanger) callPeer(ctx context.Context, exchange tracker.Exchange) {
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
			exchanger.fetchConfig(ctx, member)
			return
		}
	}
}

// fetchConfig reports that member has a newer configuration, unless an earlier such call is in progress.
func (exchanger *Exchanger) fetchConfig(ctx context.Context, member *peerpb.Member) {
	exchanger.mutex.Lock()
	busy := exchanger.fetchingConfig
	exchanger.fetchingConfig = true
	exchanger.mutex.Unlock()
	if busy {
		return
	}
	exchanger.options.OnNewerConfig(ctx, member)
	exchanger.mutex.Lock()
	exchanger.fetchingConfig = false
	exchanger.mutex.Unlock()
}

// Respond merges the view that a peer sent and returns the view to send back.
func (exchanger *Exchanger) Respond(ctx context.Context, view *peerpb.View) *peerpb.View {
	exchanger.merge(ctx, view)
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	id := ""
	if len(view.GetMembers()) > 0 {
		id = view.GetMembers()[0].GetId()
	}
	return exchanger.options.Tracker.Respond(time.Now(), id)
}

// SetLeaving marks this instance as leaving and sends its member record to all live peers of the region at once.
func (exchanger *Exchanger) SetLeaving(ctx context.Context) {
	exchanger.mutex.Lock()
	self := proto.CloneOf(exchanger.options.Tracker.Self)
	self.Leaving = true
	exchanger.options.Tracker.Self = self
	exchanger.mutex.Unlock()
	exchanger.Broadcast(ctx)
}

// Broadcast sends this instance's current member record to all live peers of the region without waiting for the
// next exchange.
func (exchanger *Exchanger) Broadcast(ctx context.Context) {
	exchanger.mutex.Lock()
	exchanger.refreshSelf(time.Now())
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
			exchanger.callPeer(ctx, tracker.Exchange{
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

// logChanges logs the peers that are no longer live and those that became live.
func (exchanger *Exchanger) logChanges(ctx context.Context, now time.Time) {
	exchanger.mutex.Lock()
	live := map[string]bool{}
	for _, member := range exchanger.options.Tracker.Live(now) {
		live[member.GetId()] = true
	}
	previous := exchanger.previousLive
	exchanger.previousLive = live
	exchanger.mutex.Unlock()
	for id := range previous {
		if !live[id] {
			logger.Log(ctx, exchanger.options.Log, logger.EventPeerSuspected, slog.String("Peer", id))
		}
	}
	for id := range live {
		if !previous[id] {
			logger.Log(ctx, exchanger.options.Log, logger.EventPeerJoined, slog.String("Peer", id))
		}
	}
}

// Live returns the live members, including this instance.
func (exchanger *Exchanger) Live() []*peerpb.Member {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	return exchanger.options.Tracker.Live(time.Now())
}

// Suspected returns the peers that are not live although the platform lists them and not as leaving.
func (exchanger *Exchanger) Suspected() []*peerpb.Member {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	return exchanger.options.Tracker.Suspected(time.Now())
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

// LastHeard returns when the newest member record of a peer arrived, from the peer itself or relayed by another
// instance, or the zero time if none did.
func (exchanger *Exchanger) LastHeard(id string) time.Time {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	peer, _ := exchanger.options.Tracker.Peer(id)
	return peer.LastHeard
}
