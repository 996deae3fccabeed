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

	"pomelomoor/internal/config/applier"
	"pomelomoor/internal/entry/adapter"
	"pomelomoor/internal/entry/dispatcher"
	"pomelomoor/internal/entry/handler"
	"pomelomoor/internal/entry/hoster"
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

// noticeTime is how long a stopping instance stays open after it stopped being ready, since the
// balancer asks for readiness once a second.
const noticeTime = 1500 * time.Millisecond

// Options configures an Entry. Settings has to be set.
type Options struct {
	Settings loader.Settings
	// Dial opens connections to other processes; nil means plain TCP. A local run delays them.
	Dial sender.DialFunc
	Log  *slog.Logger
}

// Entry is one entry instance.
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
	messenger  *messenger.Messenger
	exchanger  *exchanger.Exchanger
	dispatcher *dispatcher.Dispatcher
	forwarder  *forwarder.Forwarder
	manager    *manager.Manager
	hoster     *hoster.Hoster
	limiter    *rate.Limiter
	supervisor *supervisor.Supervisor
	listener   net.Listener
	server     *http.Server

	ready     atomic.Bool
	draining  atomic.Bool
	drain     chan struct{}
	stopping  chan struct{}
	drainOnce sync.Once
	cleanups  []func()
}

// New builds an entry instance and opens its addresses. The returned function closes everything;
// call it after Serve has returned.
func New(options Options) (*Entry, func(), error) {
	entry := &Entry{
		options:  options,
		settings: options.Settings,
		drain:    make(chan struct{}),
		stopping: make(chan struct{}),
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
	responder := &responder.Responder{}
	if err := entry.buildObservation(responder); err != nil {
		return err
	}
	if err := entry.buildPlatform(); err != nil {
		return err
	}
	entry.buildRequests()
	entry.buildShards()
	entry.buildMembers()
	responder.Members = entry.exchanger
	responder.Jobs = entry.dispatcher
	responder.Requests = entry.forwarder
	responder.Configs = entry.applier
	if err := entry.buildServer(); err != nil {
		return err
	}
	entry.buildTree()
	return nil
}

// buildObservation opens the peer address first, since an unnamed instance takes its ID from it.
func (entry *Entry) buildObservation(server peerpb.PeerServer) error {
	scoped, endMeter := meter.New(entry.settings.Intervals.Metrics.Duration)
	entry.meter = scoped
	entry.onClose(func() {
		_ = endMeter()
	})
	name := entry.settings.ID
	if name == "" {
		name = entry.settings.Site
	}
	traced, endTracer := tracer.New(name, entry.settings.Limits.Spans)
	entry.tracer = traced
	entry.onClose(func() {
		_ = endTracer(context.Background())
	})
	peers, closePeers, err := messenger.New(messenger.Options{
		Listen: entry.settings.Peer,
		Server: server,
		Region: entry.settings.Region,
		Dial:   entry.peerDial(),
		ServerOptions: []grpc.ServerOption{
			grpc.ChainUnaryInterceptor(traced.UnaryServer()),
		},
		DialOptions: []grpc.DialOption{
			grpc.WithChainUnaryInterceptor(tracer.UnaryClient()),
		},
	})
	if err != nil {
		return err
	}
	entry.messenger = peers
	entry.onClose(closePeers)
	entry.id = entry.settings.InstanceID(peers.Address())
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

func (entry *Entry) buildPlatform() error {
	store, closeStore, err := storer.Dial(entry.settings.Store, storer.Options{
		Dial:    entry.options.Dial,
		Timeout: entry.settings.Timeouts.StoreCall.Duration,
	})
	if err != nil {
		return err
	}
	entry.store = store
	entry.onClose(closeStore)
	list, closeList, err := lister.Dial([]netip.AddrPort{entry.settings.List}, lister.Options{
		Dial: entry.options.Dial,
	})
	if err != nil {
		return err
	}
	entry.lister = list
	entry.onClose(closeList)
	workers, closeWorkers := executor.New(executor.Options{
		Dial:    entry.options.Dial,
		Timeout: entry.settings.Timeouts.WorkerCall.Duration,
	})
	entry.executor = workers
	entry.onClose(closeWorkers)
	return nil
}

func (entry *Entry) buildRequests() {
	runners, closeRunners := requester.New(requester.Options{
		Dial: entry.options.Dial,
	})
	entry.onClose(closeRunners)
	forward, closeForward := forwarder.New(forwarder.Options{
		Self:       entry.id,
		Region:     entry.settings.Region,
		Requester:  runners,
		Forward:    entry.forward,
		Scope:      entry.meter.Scope,
		Logger:     entry.log,
		Tracer:     entry.openTracer(),
		QueueLimit: entry.settings.Limits.QueuedRequests,
	})
	entry.forwarder = forward
	entry.onClose(closeForward)
}

// forward sends an interactive request to a peer by its ID.
func (entry *Entry) forward(ctx context.Context, peer string, request *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
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
		reply, err := client.Forward(ctx, request)
		if err != nil && messenger.NotSent(err) {
			return nil, errors.Wrap(forwarder.ErrNotRun, err.Error())
		}
		return reply, err
	}
	return nil, errors.Wrapf(forwarder.ErrNotRun, "peer %s is gone", peer)
}

func (entry *Entry) buildShards() {
	entry.holder = &holder.Holder{
		ID:          entry.id,
		Store:       entry.store,
		TTL:         entry.settings.Timeouts.StoreLease.Duration,
		Renew:       entry.settings.Intervals.LeaseRenewal.Duration,
		Margin:      entry.settings.Timeouts.LeaseMargin.Duration,
		OnLost:      entry.leaseLost,
		OnReachable: entry.storeReachable,
	}
	entry.applier = &applier.Applier{
		Store:    entry.store,
		OnChange: entry.configChanged,
	}
	entry.limiter = rate.NewLimiter(rate.Limit(entry.settings.Limits.StoreWrites), 1)
	entry.hoster = hoster.New(entry.hosterOptions())
	list := entry.hoster.Shards()
	managed := make([]manager.Shard, 0, len(list))
	for _, shard := range list {
		managed = append(managed, manager.Shard{
			ID:     shard.ID,
			Region: shard.Region,
		})
	}
	entry.manager = manager.New(manager.Options{
		Self:      entry.id,
		Region:    entry.settings.Region,
		Shards:    managed,
		Ownership: entry.holder,
		View:      view{entry: entry},
		Start:     entry.hoster.Start,
	})
	entry.dispatcher = dispatcher.New(dispatcher.Options{
		Shards: list,
		Local:  entry.hoster.Local,
		Locate: entry.hoster.Locate,
		Client: func(location dispatcher.Location) (peerpb.PeerClient, error) {
			return entry.messenger.Client(location.Address, location.Region)
		},
		Rank:     entry.hoster.Rank,
		Stopping: entry.stopping,
	})
}

func (entry *Entry) hosterOptions() hoster.Options {
	return hoster.Options{
		Self:   entry.id,
		Region: entry.settings.Region,
		Sites:  entry.settings.Shards,
		Driver: driver.Options{
			Owner:     entry.id,
			Store:     entry.store,
			Executor:  entry.executor,
			Authority: entry.authority,
			Limiter:   entry.limiter,
			RingSize:  uint64(entry.settings.Limits.RingSize),
			Logger:    entry.log,
			Tracers:   entry.tracer.Provider(),
			Scope:     entry.meter.Scope,
		},
		Config: entry.applier.Current,
		Known:  entry.applier.Known,
		Owned: func() map[descriptor.ShardID]manager.Driver {
			return entry.manager.Drivers()
		},
		View: func() hoster.View {
			return entry.exchanger
		},
		Log: entry.log,
	}
}

// authority translates what the store lease allows.
func (entry *Entry) authority() signaler.Authority {
	switch entry.holder.Authority() {
	case holder.AuthorityAct:
		return signaler.AuthorityFull
	case holder.AuthorityRenew:
		return signaler.AuthorityRenewOnly
	default:
		return signaler.AuthorityNone
	}
}

// view breaks the circle between the manager and the exchanger, which reports the owned shards.
type view struct {
	entry *Entry
}

func (entry *Entry) buildMembers() {
	entry.exchanger = exchanger.New(exchanger.Options{
		Tracker: &tracker.Tracker{
			Self: &peerpb.Member{
				Id: entry.id,
				// The text order of incarnations is their time order.
				Incarnation: fmt.Sprintf("%020d", time.Now().UnixNano()),
				Region:      entry.settings.Region,
				Site:        entry.settings.Site,
				Address:     entry.advertised().String(),
			},
			Interval:           entry.settings.Intervals.Exchange.Duration,
			RemoteInterval:     entry.settings.Intervals.RegionExchange.Duration,
			SuspectAfter:       entry.settings.Timeouts.PeerSilence.Duration,
			RemoteSuspectAfter: entry.settings.Timeouts.RegionSilence.Duration,
		},
		Lister:        entry.lister,
		Messenger:     entry.messenger,
		State:         entry.state,
		OnList:        entry.listChanged,
		OnView:        entry.viewChanged,
		OnNewerConfig: entry.fetchConfig,
		Log:           entry.log,
		ListInterval:  entry.settings.Intervals.List.Duration,
	})
}

// advertised returns the address at which peers call the instance.
func (entry *Entry) advertised() netip.AddrPort {
	if entry.settings.Advertise.IsValid() {
		return entry.settings.Advertise
	}
	return entry.messenger.Address()
}

func (entry *Entry) buildServer() error {
	api := &handler.Handler{
		Jobs: adapter.Jobs{
			Dispatcher: entry.dispatcher,
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
	entry.server = api.Server()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", entry.settings.HTTP.String())
	if err != nil {
		return err
	}
	entry.listener = listener
	entry.onClose(func() {
		_ = entry.server.Close()
		_ = listener.Close()
	})
	return nil
}

func (entry *Entry) buildTree() {
	entry.supervisor = supervisor.New(entry.id, entry.log, supervisor.Limits{})
	store := entry.supervisor.Child("Store")
	store.Add("Lease", entry.holder.Serve)
	store.Add("Configuration", entry.applier.Serve)
	members := entry.supervisor.Child("Members")
	members.Add("Messenger", entry.messenger.Serve)
	members.Add("Exchange", entry.exchanger.Serve)
	members.Add("Metrics", entry.serveMetrics)
	work := entry.supervisor.Child("Work")
	work.Add("Shards", entry.manager.Serve)
	work.Add("API", entry.serveHTTP)
}

func (entry *Entry) serveHTTP(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		_ = entry.server.Close()
	})
	defer stop()
	err := entry.server.Serve(entry.listener)
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

// HTTP returns the bound address of the public API.
func (entry *Entry) HTTP() netip.AddrPort {
	address, _ := netip.ParseAddrPort(entry.listener.Addr().String())
	return address
}

// Peer returns the bound address for other entry instances.
func (entry *Entry) Peer() netip.AddrPort {
	return entry.messenger.Address()
}

var (
	_ handler.Readiness = (*Entry)(nil)
	_ manager.View      = view{}
)
