package assembler

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/trace"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/gateway/lister"
	"pomelomoor/internal/member/exchanger"
	"pomelomoor/internal/member/peerpb"
	"pomelomoor/internal/node/logger"
	"pomelomoor/internal/request/forwarder"
	"pomelomoor/internal/shard/manager"
	"pomelomoor/internal/work/descriptor"
)

// Candidates implements manager.View.
func (view view) Candidates(shard descriptor.ShardID, region string) []*peerpb.Member {
	return view.entry.exchanger.Candidates(shard, region)
}

// Owner implements manager.View.
func (view view) Owner(shard descriptor.ShardID) *peerpb.Member {
	return view.entry.exchanger.Owner(shard)
}

func (entry *Entry) openTracer() trace.Tracer {
	return entry.tracer.OpenTelemetry()
}

// state fills in this instance's statement to its peers.
func (entry *Entry) state(member *peerpb.Member) {
	member.ConfigRevision = entry.applier.Current().Revision
	member.StoreReachable = entry.holder.Reachable()
	member.Shards = entry.hoster.Statement()
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
	entry.forgetConnections()
}

// viewChanged gives the parts that depend on the members their share.
func (entry *Entry) viewChanged() {
	live := entry.exchanger.Live()
	var members []string
	var peers []forwarder.Peer
	for _, member := range live {
		if member.GetRegion() == entry.settings.Region && !member.GetLeaving() {
			members = append(members, member.GetId())
		}
		if member.GetId() == entry.id || member.GetLeaving() {
			continue
		}
		free := map[string]int{}
		for _, slots := range member.GetFreeSlots() {
			free[slots.GetService()] = int(slots.GetSlots())
		}
		peers = append(peers, forwarder.Peer{
			ID:     member.GetId(),
			Region: member.GetRegion(),
			Free:   free,
		})
	}
	entry.forwarder.SetPeers(members, peers)
	entry.limiter.SetLimit(manager.WriteShare(entry.id, entry.settings.Limits.StoreWrites, live))
	entry.hoster.SetElsewhere()
	entry.updateReady(len(live))
}

// updateReady makes the instance ready once it knows the configuration in force: from the store, or
// from peers while the store is down. A store lease alone does not tell it.
func (entry *Entry) updateReady(live int) {
	if entry.ready.Load() || entry.draining.Load() {
		return
	}
	if entry.applier.Known() {
		entry.ready.Store(true)
		logger.Log(context.Background(), entry.log, logger.EventReady, slog.Int("Members", live))
	}
}

func (entry *Entry) configChanged(compiled *parser.Compiled) {
	entry.forwarder.SetConfig(compiled)
	entry.hoster.SetConfig(compiled)
}

// fetchConfig takes the configuration of a peer that has a newer one.
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
	reply, err := client.FetchConfig(ctx, &peerpb.FetchConfigRequest{
		Above: current,
	})
	if err != nil || reply.GetRevision() <= current {
		return
	}
	if err := entry.applier.Offer(reply.GetRevision(), reply.GetDocument()); err != nil {
		logger.Log(ctx, entry.log, logger.EventConfigRefused, slog.String("Peer", member.GetId()), logger.Error(err))
		return
	}
	logger.Log(ctx, entry.log, logger.EventConfigFetched,
		slog.String("Peer", member.GetId()), slog.Uint64("Revision", reply.GetRevision()))
}

func (entry *Entry) leaseLost() {
	logger.Log(context.Background(), entry.log, logger.EventLeaseLost)
	entry.manager.StopAll()
}

func (entry *Entry) storeReachable(reachable bool, err error) {
	if reachable {
		logger.Log(context.Background(), entry.log, logger.EventStoreBack)
		return
	}
	logger.Log(context.Background(), entry.log, logger.EventStoreUnreachable, logger.Error(err))
}

var (
	errStarting = errors.New("the configuration is not known yet")
	errDraining = errors.New("the instance is stopping")
)

// Ready implements handler.Readiness.
func (entry *Entry) Ready() error {
	switch {
	case entry.draining.Load():
		return errDraining
	case !entry.ready.Load():
		return errStarting
	default:
		return nil
	}
}

// Live implements handler.Readiness. A process that answers is live; its supervisor ends it otherwise.
func (entry *Entry) Live() error {
	return nil
}

// Drain implements handler.Readiness. Serve carries the stop out and returns.
func (entry *Entry) Drain(context.Context) error {
	entry.drainOnce.Do(func() {
		close(entry.drain)
	})
	return nil
}

// Serve runs the instance until ctx ends or Drain is called, then stops it gracefully.
func (entry *Entry) Serve(ctx context.Context) error {
	logger.Log(ctx, entry.log, logger.EventStarted,
		slog.String("HTTP", entry.HTTP().String()), slog.String("Peer", entry.Peer().String()))
	tree, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ended := make(chan error, 1)
	go func() {
		ended <- entry.supervisor.Serve(tree)
	}()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	case <-entry.drain:
	}
	entry.stop()
	cancel()
	err := <-ended
	logger.Log(context.WithoutCancel(ctx), entry.log, logger.EventStopped)
	return err
}

// stop is the planned stop: no new calls, shards handed over, then calls in progress end.
func (entry *Entry) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), entry.settings.Timeouts.Drain.Duration)
	defer cancel()
	entry.draining.Store(true)
	close(entry.stopping)
	logger.Log(ctx, entry.log, logger.EventDraining)
	entry.exchanger.SetLeaving(ctx)
	notice := time.NewTimer(noticeTime)
	defer notice.Stop()
	entry.manager.Drain(ctx)
	entry.exchanger.Push(ctx)
	<-notice.C
	// Connections that came in before the balancer noticed are served to their end.
	if err := entry.server.Shutdown(ctx); err != nil {
		logger.Log(ctx, entry.log, logger.EventDrainTimedOut, logger.Error(err))
	}
	if err := entry.forwarder.Drain(ctx); err != nil {
		logger.Log(ctx, entry.log, logger.EventDrainTimedOut, logger.Error(err))
	}
}

// forgetConnections closes the connections to instances that were replaced. Otherwise each of them
// would stay and try to connect for the life of this process.
func (entry *Entry) forgetConnections() {
	known := map[netip.AddrPort]bool{}
	for _, member := range append(entry.exchanger.Live(), entry.exchanger.Silent()...) {
		if address, ok := exchanger.Address(member); ok {
			known[address] = true
		}
	}
	entry.messenger.Forget(func(address netip.AddrPort) bool {
		return known[address]
	})
}

// serveMetrics publishes the counts of the adapters at the interval of the metrics.
func (entry *Entry) serveMetrics(ctx context.Context) error {
	ticker := time.NewTicker(entry.settings.Intervals.Metrics.Duration)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			entry.observe()
		}
	}
}

// observe publishes the byte counts of calls to peers.
func (entry *Entry) observe() {
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
