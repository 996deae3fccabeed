package assembler

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/trace"

	"pomelomoor/internal/config/checker"
	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/gateway/lister"
	"pomelomoor/internal/member/exchanger"
	"pomelomoor/internal/member/peerpb"
	"pomelomoor/internal/node/logger"
	"pomelomoor/internal/request/forwarder"
	"pomelomoor/internal/shard/manager"
	"pomelomoor/internal/work/descriptor"
)

// Candidates implements manager.Membership.
func (membership membership) Candidates(shard descriptor.ShardID, region string) []*peerpb.Member {
	return membership.entry.exchanger.Candidates(shard, region)
}

// Owner implements manager.Membership.
func (membership membership) Owner(shard descriptor.ShardID) *peerpb.Member {
	return membership.entry.exchanger.Owner(shard)
}

func (entry *Entry) otelTracer() trace.Tracer {
	return entry.tracer.OTelTracer()
}

// fillMember sets the changing fields of the member record that this instance sends to its peers.
func (entry *Entry) fillMember(member *peerpb.Member) {
	member.ConfigRevision = entry.applier.Current().Revision
	member.StoreReachable = entry.holder.Reachable()
	member.Shards = entry.hoster.OwnedShards()
	for service, slots := range entry.forwarder.FreeSlots() {
		if slots > 0 {
			member.FreeSlots = append(member.FreeSlots, &peerpb.FreeSlots{
				Service: service,
				Slots:   uint32(slots),
			})
		}
	}
}

func (entry *Entry) listChanged(list lister.List) {
	entry.forwarder.SetInstances(list)
	entry.hoster.SetInstances(list)
	entry.closeStaleConnections()
}

// membersChanged updates the components that depend on the membership.
func (entry *Entry) membersChanged() {
	live := entry.exchanger.Live()
	var regionMembers []string
	var peers []forwarder.Peer
	for _, member := range live {
		if member.GetRegion() == entry.settings.Region && !member.GetLeaving() {
			regionMembers = append(regionMembers, member.GetId())
		}
		if member.GetId() == entry.id || member.GetLeaving() {
			continue
		}
		freeSlots := map[string]int{}
		for _, slots := range member.GetFreeSlots() {
			freeSlots[slots.GetService()] = int(slots.GetSlots())
		}
		peers = append(peers, forwarder.Peer{
			ID:     member.GetId(),
			Region: member.GetRegion(),
			Free:   freeSlots,
		})
	}
	entry.forwarder.SetPeers(regionMembers, peers)
	entry.limiter.SetLimit(manager.WriteShare(entry.id, entry.settings.Limits.StoreWrites, live))
	entry.hoster.UpdateTeamUsage()
	entry.updateReady(len(live))
}

// updateReady marks the instance ready once it has the configuration in force, from the store or, while
// the store is unavailable, from peers. Holding a store lease is not sufficient.
func (entry *Entry) updateReady(live int) {
	if entry.ready.Load() || entry.draining.Load() {
		return
	}
	if entry.applier.Loaded() {
		entry.ready.Store(true)
		logger.Log(context.Background(), entry.log, logger.EventReady, slog.Int("Members", live))
	}
}

func (entry *Entry) configChanged(compiled *parser.Compiled) {
	entry.forwarder.SetConfig(compiled)
	entry.hoster.SetConfig(compiled)
	entry.alerter.Arrived(int64(compiled.Revision), checker.Policies{
		Config: compiled.Config,
	})
}

// fetchConfig fetches the configuration from a peer that has a newer revision.
func (entry *Entry) fetchConfig(ctx context.Context, member *peerpb.Member) {
	address, ok := exchanger.Address(member)
	if !ok {
		return
	}
	client, err := entry.messenger.Client(address, member.GetRegion())
	if err != nil {
		return
	}
	current := entry.applier.Current().Revision
	response, err := client.FetchConfig(ctx, &peerpb.FetchConfigRequest{
		Above: current,
	})
	if err != nil || response.GetRevision() <= current {
		return
	}
	if err := entry.applier.SetIfNewer(response.GetRevision(), response.GetDocument()); err != nil {
		logger.Log(ctx, entry.log, logger.EventConfigRefused, slog.String("Peer", member.GetId()), logger.Error(err))
		return
	}
	logger.Log(ctx, entry.log, logger.EventConfigFetched,
		slog.String("Peer", member.GetId()), slog.Uint64("Revision", response.GetRevision()))
}

func (entry *Entry) leaseExpired() {
	logger.Log(context.Background(), entry.log, logger.EventLeaseLost)
	entry.manager.StopAll()
}

func (entry *Entry) storeReachableChanged(reachable bool, err error) {
	if reachable {
		logger.Log(context.Background(), entry.log, logger.EventStoreBack)
		return
	}
	logger.Log(context.Background(), entry.log, logger.EventStoreUnreachable, logger.Error(err))
}

var (
	errConfigNotLoaded = errors.New("the configuration is not loaded yet")
	errDraining        = errors.New("the instance is draining")
)

// Ready implements handler.Readiness.
func (entry *Entry) Ready() error {
	switch {
	case entry.draining.Load():
		return errDraining
	case !entry.ready.Load():
		return errConfigNotLoaded
	default:
		return nil
	}
}

// Live implements handler.Readiness. A process that responds is live; the supervisor ends it otherwise.
func (entry *Entry) Live() error {
	return nil
}

// Drain implements handler.Readiness. It only signals Serve, which stops the instance and returns.
func (entry *Entry) Drain(context.Context) error {
	entry.drainOnce.Do(func() {
		close(entry.drainRequested)
	})
	return nil
}

// Serve runs the instance until ctx ends or Drain is called, then stops it gracefully.
func (entry *Entry) Serve(ctx context.Context) error {
	logger.Log(ctx, entry.log, logger.EventStarted,
		slog.String("HTTP", entry.HTTPAddress().String()), slog.String("Peer", entry.PeerAddress().String()))
	treeCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	supervisorEnded := make(chan error, 1)
	go func() {
		supervisorEnded <- entry.supervisor.Serve(treeCtx)
	}()
	select {
	case err := <-supervisorEnded:
		return err
	case <-ctx.Done():
	case <-entry.drainRequested:
	}
	entry.stop()
	cancel()
	err := <-supervisorEnded
	logger.Log(context.WithoutCancel(ctx), entry.log, logger.EventStopped)
	return err
}

// answerMargin is how long before the end of the drain all calls have to be answered, so that the answers can be sent.
const answerMargin = 200 * time.Millisecond

// stop drains the instance: it reports that it is not ready, hands its shards over and then waits for the
// calls in progress to complete.
func (entry *Entry) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), entry.settings.Timeouts.Drain.Duration)
	defer cancel()
	entry.draining.Store(true)
	entry.server.Start()
	if end, bounded := ctx.Deadline(); bounded {
		entry.server.EndCallsAt(end.Add(-answerMargin))
	}
	close(entry.drainStarted)
	logger.Log(ctx, entry.log, logger.EventDraining)
	entry.exchanger.SetLeaving(ctx)
	noticeTimer := time.NewTimer(balancerNoticeTime)
	defer noticeTimer.Stop()
	entry.manager.Drain(ctx)
	entry.exchanger.Broadcast(ctx)
	<-noticeTimer.C
	// Calls that arrived before the balancer noticed the drain are completed.
	if err := entry.server.Shutdown(ctx); err != nil {
		logger.Log(ctx, entry.log, logger.EventDrainTimedOut, logger.Error(err))
	}
	if err := entry.forwarder.Drain(ctx); err != nil {
		logger.Log(ctx, entry.log, logger.EventDrainTimedOut, logger.Error(err))
	}
}

// closeStaleConnections closes the connections to instances that were replaced. Otherwise each of them would
// keep trying to reconnect for the life of this process.
func (entry *Entry) closeStaleConnections() {
	known := map[netip.AddrPort]bool{}
	for _, member := range append(entry.exchanger.Live(), entry.exchanger.Suspected()...) {
		if address, ok := exchanger.Address(member); ok {
			known[address] = true
		}
	}
	entry.messenger.CloseExcept(func(address netip.AddrPort) bool {
		return known[address]
	})
}

// serveMetrics publishes the traffic and store call counts at the metrics interval.
func (entry *Entry) serveMetrics(ctx context.Context) error {
	ticker := time.NewTicker(entry.settings.Intervals.Metrics.Duration)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			entry.publishMetrics()
		}
	}
}

// publishMetrics publishes the bytes exchanged with peers and the number of store calls.
func (entry *Entry) publishMetrics() {
	for flow, traffic := range entry.messenger.Traffic() {
		scope := entry.meter.Scope.Tagged(map[string]string{
			"From":   entry.settings.Region,
			"To":     flow.Region,
			"Method": flow.Method,
		})
		scope.Gauge("PeerBytesSent").Update(float64(traffic.Sent()))
		scope.Gauge("PeerBytesReceived").Update(float64(traffic.Received()))
	}
	store := entry.store.Counts()
	for kind, count := range map[string]uint64{
		"Get":    store.Get,
		"Put":    store.Put,
		"Delete": store.Delete,
		"Watch":  store.Watch,
		"Grant":  store.Grant,
		"Renew":  store.Renew,
		"Revoke": store.Revoke,
	} {
		entry.meter.Scope.Tagged(map[string]string{
			"Kind": kind,
		}).Gauge("StoreCalls").Update(float64(count))
	}
}
