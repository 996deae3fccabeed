// Package assembler builds one entry instance from its settings and runs it.
package assembler

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"
	"google.golang.org/grpc"

	"pomelomoor/internal/config/alerter"
	"pomelomoor/internal/config/applier"
	"pomelomoor/internal/entry/adapter"
	"pomelomoor/internal/entry/handler"
	"pomelomoor/internal/entry/hoster"
	"pomelomoor/internal/entry/jobrouter"
	"pomelomoor/internal/entry/responder"
	"pomelomoor/internal/gateway/executor"
	"pomelomoor/internal/gateway/lister"
	"pomelomoor/internal/gateway/requester"
	"pomelomoor/internal/gateway/sender"
	"pomelomoor/internal/gateway/storer"
	"pomelomoor/internal/member/exchanger"
	"pomelomoor/internal/member/holder"
	"pomelomoor/internal/member/messenger"
	"pomelomoor/internal/member/peerpb"
	"pomelomoor/internal/member/tracker"
	"pomelomoor/internal/node/drainer"
	"pomelomoor/internal/node/limiter"
	"pomelomoor/internal/node/loader"
	"pomelomoor/internal/node/meter"
	"pomelomoor/internal/node/supervisor"
	"pomelomoor/internal/node/tracer"
	"pomelomoor/internal/request/forwarder"
	"pomelomoor/internal/shard/driver"
	"pomelomoor/internal/shard/manager"
	"pomelomoor/internal/shard/signaler"
	"pomelomoor/internal/work/descriptor"
)

// ErrStart means that an entry instance could not be built.
var ErrStart = errors.New("entry instance cannot start")

// balancerNoticeTime is how long a draining instance keeps serving after it reports that it is not ready,
// since the balancer polls readiness once a second.
const balancerNoticeTime = 1500 * time.Millisecond

// Options configures an Entry. Settings is required.
type Options struct {
	Settings loader.Settings
	// Dial opens connections to other processes; nil means plain TCP. Local runs use it to add latency.
	Dial sender.DialFunc
	Log  *slog.Logger
}

// Entry is an entry instance with all its components.
type Entry struct {
	options  Options
	settings loader.Settings
	id       string
	log      *slog.Logger

	meter      *meter.Meter
	tracer     *tracer.Tracer
	store      *storer.Client
	lister     *lister.Client
	executor   *executor.Client
	holder     *holder.Holder
	applier    *applier.Applier
	alerter    *alerter.Alerter
	messenger  *messenger.Messenger
	exchanger  *exchanger.Exchanger
	jobRouter  *jobrouter.JobRouter
	forwarder  *forwarder.Forwarder
	manager    *manager.Manager
	hoster     *hoster.Hoster
	limiter    *rate.Limiter
	supervisor *supervisor.Supervisor
	server     *drainer.Drainer

	ready    atomic.Bool
	draining atomic.Bool
	// drainRequested is closed by Drain, and drainStarted when Serve starts to drain.
	drainRequested chan struct{}
	drainStarted   chan struct{}
	drainOnce      sync.Once
	cleanups       []func()
}

// New builds an entry instance and starts listening on its addresses. The returned function releases all
// resources; call it after Serve has returned.
func New(options Options) (*Entry, func(), error) {
	entry := &Entry{
		options:        options,
		settings:       options.Settings,
		drainRequested: make(chan struct{}),
		drainStarted:   make(chan struct{}),
	}
	if err := entry.build(); err != nil {
		entry.close()
		return nil, nil, errors.Wrap(err, ErrStart.Error())
	}
	return entry, entry.close, nil
}

func (entry *Entry) close() {
	for i := len(entry.cleanups) - 1; i >= 0; i-- {
		entry.cleanups[i]()
	}
	entry.cleanups = nil
}

func (entry *Entry) onClose(cleanup func()) {
	entry.cleanups = append(entry.cleanups, cleanup)
}

func (entry *Entry) build() error {
	peerServer := &responder.Responder{}
	if err := entry.buildTelemetryAndMessenger(peerServer); err != nil {
		return err
	}
	if err := entry.buildPlatformClients(); err != nil {
		return err
	}
	entry.buildRequests()
	entry.buildShards()
	entry.buildMembers()
	peerServer.Members = entry.exchanger
	peerServer.Jobs = entry.jobRouter
	peerServer.Requests = entry.forwarder
	peerServer.Configs = entry.applier
	if err := entry.buildServer(); err != nil {
		return err
	}
	entry.buildSupervisorTree()
	return nil
}

// buildTelemetryAndMessenger opens the peer address before other components are built, since an instance
// without an ID in its settings derives its ID from that address.
func (entry *Entry) buildTelemetryAndMessenger(server peerpb.PeerServer) error {
	entryMeter, closeMeter := meter.New(entry.settings.Intervals.Metrics.Duration)
	entry.meter = entryMeter
	entry.onClose(func() {
		_ = closeMeter()
	})
	name := entry.settings.ID
	if name == "" {
		name = entry.settings.Site
	}
	entryTracer, closeTracer := tracer.New(name, entry.settings.Limits.Spans)
	entry.tracer = entryTracer
	entry.onClose(func() {
		_ = closeTracer(context.Background())
	})
	peerMessenger, closeMessenger, err := messenger.New(messenger.Options{
		Listen: entry.settings.Peer,
		Server: server,
		Region: entry.settings.Region,
		Dial:   entry.peerDial(),
		ServerOptions: []grpc.ServerOption{
			grpc.ChainUnaryInterceptor(entryTracer.UnaryServerInterceptor()),
		},
		DialOptions: []grpc.DialOption{
			grpc.WithChainUnaryInterceptor(tracer.UnaryClientInterceptor()),
		},
	})
	if err != nil {
		return err
	}
	entry.messenger = peerMessenger
	entry.onClose(closeMessenger)
	entry.id = entry.settings.InstanceID(peerMessenger.Address())
	entry.log = entry.options.Log
	if entry.log != nil {
		entry.log = entry.log.With(slog.String("Instance", entry.id))
	}
	return nil
}

func (entry *Entry) peerDial() func(ctx context.Context, address string) (net.Conn, error) {
	if entry.options.Dial == nil {
		return nil
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return entry.options.Dial(ctx, "tcp", address)
	}
}

func (entry *Entry) buildPlatformClients() error {
	storeClient, closeStore, err := storer.New(entry.settings.Store, storer.Options{
		Dial:    entry.options.Dial,
		Timeout: entry.settings.Timeouts.StoreCall.Duration,
	})
	if err != nil {
		return err
	}
	entry.store = storeClient
	entry.onClose(closeStore)
	listClient, closeList, err := lister.New([]netip.AddrPort{entry.settings.List}, lister.Options{
		Dial: entry.options.Dial,
	})
	if err != nil {
		return err
	}
	entry.lister = listClient
	entry.onClose(closeList)
	workerClient, closeWorkers := executor.New(executor.Options{
		Dial:    entry.options.Dial,
		Timeout: entry.settings.Timeouts.WorkerCall.Duration,
	})
	entry.executor = workerClient
	entry.onClose(closeWorkers)
	return nil
}

func (entry *Entry) buildRequests() {
	runnerClient, closeRunners := requester.New(requester.Options{
		Dial: entry.options.Dial,
	})
	entry.onClose(closeRunners)
	requestForwarder, closeForward := forwarder.New(forwarder.Options{
		Self:              entry.id,
		Region:            entry.settings.Region,
		Requester:         runnerClient,
		Forward:           entry.forwardToPeer,
		Scope:             entry.meter.Scope,
		Logger:            entry.log,
		Tracer:            entry.otelTracer(),
		MaxWaitingPerLane: entry.settings.Limits.QueuedRequests,
	})
	entry.forwarder = requestForwarder
	entry.onClose(closeForward)
}

// forwardToPeer sends an interactive request to the peer with an ID.
func (entry *Entry) forwardToPeer(ctx context.Context, peer string, request *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	for _, member := range entry.exchanger.Live() {
		if member.GetId() != peer {
			continue
		}
		address, ok := exchanger.Address(member)
		if !ok {
			break
		}
		client, err := entry.messenger.Client(address, member.GetRegion())
		if err != nil {
			break
		}
		response, err := client.Forward(ctx, request)
		if err != nil && messenger.IsNotSent(err) {
			return nil, errors.Wrap(forwarder.ErrNotRun, err.Error())
		}
		return response, err
	}
	return nil, errors.Wrapf(forwarder.ErrNotRun, "peer %s is not available", peer)
}

func (entry *Entry) buildShards() {
	entry.holder = &holder.Holder{
		ID:            entry.id,
		Store:         entry.store,
		TTL:           entry.settings.Timeouts.StoreLease.Duration,
		RenewInterval: entry.settings.Intervals.LeaseRenewal.Duration,
		SafetyMargin:  entry.settings.Timeouts.LeaseMargin.Duration,
		OnExpired:     entry.leaseExpired,
		OnReachable:   entry.storeReachableChanged,
	}
	entry.alerter = alerter.New(entry.log, nil)
	entry.applier = &applier.Applier{
		Store:    entry.store,
		OnChange: entry.configChanged,
	}
	entry.limiter = rate.NewLimiter(rate.Limit(entry.settings.Limits.StoreWrites), 1)
	entry.hoster = hoster.New(entry.hosterOptions())
	shards := entry.hoster.Shards()
	managerShards := make([]manager.Shard, 0, len(shards))
	for _, shard := range shards {
		managerShards = append(managerShards, manager.Shard{
			ID:     shard.ID,
			Region: shard.Region,
		})
	}
	entry.manager = manager.New(manager.Options{
		Self:       entry.id,
		Region:     entry.settings.Region,
		Shards:     managerShards,
		Ownership:  entry.holder,
		Membership: membership{entry: entry},
		Start:      entry.hoster.Start,
	})
	entry.jobRouter = jobrouter.New(jobrouter.Options{
		Shards: shards,
		Local:  entry.hoster.Local,
		Locate: entry.hoster.Locate,
		Client: func(location jobrouter.Location) (peerpb.PeerClient, error) {
			return entry.messenger.Client(location.Address, location.Region)
		},
		Rank:     entry.hoster.Rank,
		Draining: entry.drainStarted,
	})
}

func (entry *Entry) hosterOptions() hoster.Options {
	return hoster.Options{
		Self:   entry.id,
		Region: entry.settings.Region,
		Sites:  entry.settings.Shards,
		DriverOptions: driver.Options{
			Owner:     entry.id,
			Store:     entry.store,
			Executor:  entry.executor,
			Authority: entry.authority,
			Limiter:   entry.limiter,
			RingSize:  uint64(entry.settings.Limits.RingSize),
			Logger:    entry.log,
			Tracers:   entry.tracer.TracerProvider(),
			Scope:     entry.meter.Scope,
		},
		Config:       entry.applier.Current,
		ConfigLoaded: entry.applier.Loaded,
		Drivers: func() map[descriptor.ShardID]manager.Driver {
			return entry.manager.Drivers()
		},
		Membership: func() hoster.Membership {
			return entry.exchanger
		},
		Log: entry.log,
	}
}

// authority converts what the store lease currently allows to the drivers' type.
func (entry *Entry) authority() signaler.Authority {
	switch entry.holder.Authority() {
	case holder.AuthorityFull:
		return signaler.AuthorityFull
	case holder.AuthorityRenewOnly:
		return signaler.AuthorityRenewOnly
	default:
		return signaler.AuthorityNone
	}
}

// membership lets the manager use the exchanger, which is built after the manager because it reports the
// owned shards.
type membership struct {
	entry *Entry
}

func (entry *Entry) buildMembers() {
	entry.exchanger = exchanger.New(exchanger.Options{
		Tracker: &tracker.Tracker{
			Self: &peerpb.Member{
				Id: entry.id,
				// Zero-padded, so that the string order of incarnations is their order in time.
				Incarnation: fmt.Sprintf("%020d", time.Now().UnixNano()),
				Region:      entry.settings.Region,
				Site:        entry.settings.Site,
				Address:     entry.advertisedAddress().String(),
			},
			Interval:         entry.settings.Intervals.Exchange.Duration,
			RemoteInterval:   entry.settings.Intervals.RegionExchange.Duration,
			MaxSilence:       entry.settings.Timeouts.PeerSilence.Duration,
			MaxRemoteSilence: entry.settings.Timeouts.RegionSilence.Duration,
		},
		Lister:        entry.lister,
		Messenger:     entry.messenger,
		FillState:     entry.fillMember,
		OnList:        entry.listChanged,
		OnView:        entry.membersChanged,
		OnNewerConfig: entry.fetchConfig,
		Log:           entry.log,
		ListInterval:  entry.settings.Intervals.List.Duration,
	})
}

// advertisedAddress returns the address that peers use to call this instance.
func (entry *Entry) advertisedAddress() netip.AddrPort {
	if entry.settings.Advertise.IsValid() {
		return entry.settings.Advertise
	}
	return entry.messenger.Address()
}

func (entry *Entry) buildServer() error {
	api := &handler.Handler{
		Jobs: adapter.Jobs{
			JobRouter: entry.jobRouter,
		},
		Requests: adapter.Requests{
			Forwarder: entry.forwarder,
		},
		Configs: adapter.Configs{
			Self:      entry.id,
			Applier:   entry.applier,
			Exchanger: entry.exchanger,
			Messenger: entry.messenger,
			Log:       entry.log,
		},
		Instances: adapter.Instances{
			Self:      entry.id,
			Exchanger: entry.exchanger,
			Applier:   entry.applier,
		},
		Readiness: entry,
		Metrics:   entry.meter,
		Traces:    entry.tracer,
		Tracer:    entry.tracer,
		Scope:     entry.meter.Scope,
		Log:       entry.log,
		Limits:    entry.settings.Limits,
		Timeouts:  entry.settings.Timeouts,
	}
	listener, err := limiter.Listen(context.Background(), entry.settings.HTTP.String())
	if err != nil {
		return err
	}
	server := api.Server()
	port := limiter.New(int64(entry.settings.Limits.BufferBytes)).NewPort("HTTP", entry.settings.Limits.Connections)
	limited := port.Limit(server, listener)
	entry.server = drainer.New(server, limited)
	entry.onClose(func() {
		_ = entry.server.Close()
	})
	return nil
}

func (entry *Entry) buildSupervisorTree() {
	entry.supervisor = supervisor.New(entry.id, entry.log, supervisor.Limits{})
	store := entry.supervisor.AddSubtree("Store")
	store.Add("Lease", entry.holder.Serve)
	store.Add("Configuration", entry.applier.Serve)
	store.Add("ConfigurationCheck", entry.alerter.Run)
	members := entry.supervisor.AddSubtree("Members")
	members.Add("Messenger", entry.messenger.Serve)
	members.Add("Exchange", entry.exchanger.Serve)
	members.Add("Metrics", entry.serveMetrics)
	work := entry.supervisor.AddSubtree("Work")
	work.Add("Shards", entry.manager.Serve)
	work.Add("API", entry.serveHTTP)
}

func (entry *Entry) serveHTTP(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		_ = entry.server.Close()
	})
	defer stop()
	err := entry.server.Serve()
	if errors.Is(err, http.ErrServerClosed) || ctx.Err() != nil {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

// ID returns the instance's ID.
func (entry *Entry) ID() string {
	return entry.id
}

// HTTPAddress returns the bound address of the public API.
func (entry *Entry) HTTPAddress() netip.AddrPort {
	return entry.server.Address()
}

// PeerAddress returns the bound address for calls from other entry instances.
func (entry *Entry) PeerAddress() netip.AddrPort {
	return entry.messenger.Address()
}

var (
	_ handler.Readiness  = (*Entry)(nil)
	_ manager.Membership = membership{}
)
