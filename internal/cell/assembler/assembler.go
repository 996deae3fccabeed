// Package assembler wires the components of one instance of a cell together and runs the instance.
package assembler

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/desk"
	"pomelomoor/internal/cell/elector"
	"pomelomoor/internal/cell/leader"
	"pomelomoor/internal/cell/messenger"
	"pomelomoor/internal/cell/planner"
	"pomelomoor/internal/cell/recorder"
	"pomelomoor/internal/cell/relayer"
	"pomelomoor/internal/cell/watcher"
	"pomelomoor/internal/node/logger"
	"pomelomoor/internal/node/meter"
	"pomelomoor/internal/node/supervisor"
	"pomelomoor/platform"
)

const (
	// metricsInterval is the collection interval of the metrics.
	metricsInterval = time.Second
	// drainDelay is how long a stopping instance still serves new calls. The balancer takes it out of service
	// after two failed readiness probes, which are a second apart.
	drainDelay = 2500 * time.Millisecond
	// graceMargin is the part of the stop grace period that the drain leaves unused.
	graceMargin = 700 * time.Millisecond
	// defaultGrace is the stop grace period if the settings do not specify one.
	defaultGrace = 6 * time.Second
	// headerTimeout bounds the reading of a request header.
	headerTimeout = 3 * time.Second
	// idleTimeout is how long idle caller connections are kept open.
	idleTimeout = 60 * time.Second
	// memoryLimitShare is the Go memory limit as a fraction of the instance's memory. The rest is for
	// connection buffers and stacks.
	memoryLimitShare = 0.6
	// settingsPollInterval is how often the settings file is checked, because it may change without a signal.
	settingsPollInterval = time.Second
)

// Options configure an instance.
type Options struct {
	Settings platform.Settings
	// SettingsPath is the settings file that is watched for changes. Empty disables the watch.
	SettingsPath string
	// Reload receives a signal when the settings file may have changed. It may be nil.
	Reload <-chan os.Signal
	Log    *slog.Logger
}

// Node is one instance of a cell.
type Node struct {
	settings     platform.Settings
	settingsPath string
	reload       <-chan os.Signal
	log          *slog.Logger
	meter        *meter.Meter
	recorder     *recorder.Recorder
	store        *platform.Store
	relayer      *relayer.Relayer
	workers      *platform.Workers
	advice       *platform.Advice
	messenger    *messenger.Messenger
	desk         *desk.Desk
	elector      *elector.Elector
	// resign cancels electionCtx, in which the elector runs and may hold the leader lease.
	resign      context.CancelFunc
	electionCtx context.Context

	// draining is set once the instance has begun its planned stop.
	draining atomic.Bool

	mutex  sync.Mutex
	leader *leader.Leader
}

// New creates an instance and returns a function that releases its resources.
func New(options Options) (*Node, func(), error) {
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(options.Settings.MemoryBytes)))
	instanceMeter, closeMeter := meter.New(metricsInterval)
	node := &Node{
		settings:     options.Settings,
		settingsPath: options.SettingsPath,
		reload:       options.Reload,
		log:          options.Log,
		meter:        instanceMeter,
		recorder: &recorder.Recorder{
			Log:   options.Log,
			Scope: instanceMeter.Scope,
		},
	}
	var closeStore, closeWorkers, closeAdvice, closeMessenger func()
	node.store, closeStore = platform.NewStore(options.Settings.Store)
	node.store.Observe = node.recorder.Called
	node.workers, closeWorkers = platform.NewWorkers()
	node.workers.Observe = node.recorder.Called
	node.advice, closeAdvice = platform.NewAdvice(options.Settings.Advice)
	node.advice.Observe = node.recorder.Called
	node.messenger, closeMessenger = messenger.New()
	node.electionCtx, node.resign = context.WithCancel(context.Background())
	node.relayer = &relayer.Relayer{
		Direct:  node.store,
		Peer:    node.messenger,
		Peers:   node.relayAddresses,
		Changed: node.recorder.Store,
	}
	node.desk = desk.New(desk.Options{
		Store:     node.relayer,
		Reachable: node.relayer.Reachable,
		Leader:    node.leaderAddress,
		State:     node.queryState,
		Pending:   node.queryPending,
		Announce:  node.announce,
		Observe:   node.recorder.Answered,
	})
	node.elector = elector.New(elector.Options{
		Store: node.store,
		Self: elector.Member{
			Instance:    options.Settings.Instance,
			Incarnation: uuid.NewString(),
			Address:     options.Settings.Peer,
			DataCentre:  options.Settings.DataCentre,
		},
		CPUShare: options.Settings.CPUShare,
		Lead:     node.runTerm,
		Changed:  node.membersChanged,
		Contact:  node.relayer.Contact,
		Observe:  node.recorder.Elected,
	})
	return node, func() {
		node.resign()
		closeMessenger()
		closeAdvice()
		closeWorkers()
		closeStore()
		// An error is ignored because the final metrics can no longer be collected.
		_ = closeMeter()
	}, nil
}

// Serve runs the instance until ctx is done, which is a planned stop: the instance reports that it is not
// ready, gives up its leadership, and serves calls until the balancer has taken it out of service.
func (node *Node) Serve(ctx context.Context) error {
	treeCtx, stopTree := context.WithCancel(context.Background())
	defer stopTree()
	tree := supervisor.New("Cell", node.log, supervisor.Limits{})
	node.addComponents(tree)
	servers, err := node.listen(ctx)
	if err != nil {
		return err
	}
	logger.Log(ctx, node.log, logger.EventStarted,
		slog.String("Instance", node.settings.Instance),
		slog.String("Front", node.settings.Front.String()),
		slog.String("Peer", node.settings.Peer.String()))
	treeErr := make(chan error, 1)
	go func() {
		treeErr <- tree.Serve(treeCtx)
	}()
	select {
	case err := <-treeErr:
		return err
	case <-ctx.Done():
	}
	logger.Log(context.Background(), node.log, logger.EventDraining)
	node.desk.Stop()
	node.resign()
	err = node.drain(servers)
	logger.Log(context.Background(), node.log, logger.EventStopped, logger.Error(err))
	return err
}

// addComponents adds the background components to the supervision tree.
func (node *Node) addComponents(tree *supervisor.Supervisor) {
	tree.Add("Elector", func(ctx context.Context) error {
		electorCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		stop := context.AfterFunc(node.electionCtx, cancel)
		defer stop()
		err := node.elector.Run(electorCtx)
		if node.electionCtx.Err() != nil {
			// After a resignation the supervisor must not restart the elector.
			<-ctx.Done()
			return ctx.Err()
		}
		return err
	})
	tree.Add("Config", node.watchConfig)
	tree.Add("Peers", func(ctx context.Context) error {
		return messenger.Serve(ctx, node.settings.Peer, node, node.advice, node.relayer)
	})
	tree.Add("Settings", node.watchSettings)
}

// listen starts the HTTP servers for calls, readiness probes and metrics.
func (node *Node) listen(ctx context.Context) ([]*http.Server, error) {
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", node.meter)
	handlers := []struct {
		address netip.AddrPort
		handler http.Handler
	}{
		{
			address: node.settings.Front,
			handler: node.closeWhileDraining(platform.NewCallHandler(node.desk)),
		},
		{
			address: node.settings.Ready,
			handler: platform.NewReadyHandler(node.desk),
		},
		{
			address: node.settings.Metrics,
			handler: metrics,
		},
	}
	var config net.ListenConfig
	var servers []*http.Server
	for _, entry := range handlers {
		listener, err := config.Listen(ctx, "tcp", entry.address.String())
		if err != nil {
			return nil, errors.Wrapf(err, "listen on %s", entry.address)
		}
		server := &http.Server{
			Handler:           entry.handler,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
		}
		servers = append(servers, server)
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				logger.Log(context.Background(), node.log, logger.EventComponentGaveUp, logger.Error(err))
			}
		}()
	}
	return servers, nil
}

// closeWhileDraining returns a handler that closes each connection after its next response while the instance
// is draining. Idle connections stay open until the balancer has taken the instance out of service, because a
// call may be in transit on any of them.
func (node *Node) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if node.draining.Load() {
			writer.Header().Set("Connection", "close")
		}
		next.ServeHTTP(writer, request)
	})
}

// drain keeps serving until the balancer has taken the instance out of service, and then shuts the servers
// down gracefully.
func (node *Node) drain(servers []*http.Server) error {
	node.mutex.Lock()
	grace := node.settings.Bounds.StopGrace
	node.mutex.Unlock()
	if grace == 0 {
		grace = defaultGrace
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(grace-graceMargin, 0))
	defer cancel()
	node.draining.Store(true)
	watcher.Pause(ctx, min(drainDelay, grace/2))
	var shutdownErrs []error
	for _, server := range servers {
		shutdownErrs = append(shutdownErrs, server.Shutdown(ctx))
	}
	return errors.Join(shutdownErrs...)
}

// watchConfig watches the operators' configuration in the store and applies each new version.
func (node *Node) watchConfig(ctx context.Context) error {
	configWatcher := &watcher.Watcher{
		Store:    node.store,
		Prefix:   platform.ConfigKey,
		Snapshot: node.applyConfig,
		Change:   node.applyConfig,
		Contact:  node.relayer.Contact,
	}
	return configWatcher.Run(ctx)
}

func (node *Node) applyConfig(items []describer.Item) {
	for _, item := range items {
		if item.Key != platform.ConfigKey || item.Gone {
			continue
		}
		config, err := platform.ParseConfig(item.Value)
		if err != nil {
			node.recorder.Faulty("configuration", item.Key, err)
			continue
		}
		if !node.desk.SetConfig(config) {
			continue
		}
		node.recorder.Config(config)
		if leader := node.currentLeader(); leader != nil {
			leader.SetConfig(config)
		}
	}
}

func (node *Node) currentLeader() *leader.Leader {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.leader
}

// runTerm runs a leader for one leadership term. It waits for the configuration first.
func (node *Node) runTerm(ctx context.Context, term elector.Term) error {
	for node.desk.Config() == nil {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		watcher.Pause(ctx, 20*time.Millisecond)
	}
	node.mutex.Lock()
	bounds := node.settings.Bounds
	node.mutex.Unlock()
	termLeader := leader.New(leader.Options{
		Store:   node.store,
		Workers: node.workers,
		Planner: planner.Options{
			LongestLease:    bounds.LongestLease,
			StatusRetention: bounds.StatusRetention,
			RemoteFactor:    bounds.RemoteFactor,
			InheritedHold:   elector.MostSilence,
		},
		WorkerPrefix: platform.WorkerPrefix,
		ParseWorker:  platform.ParseWorker,
		Config:       node.desk.Config,
		Ask:          node.requestAdvice,
		Journal:      node.recorder,
	}, term)
	node.mutex.Lock()
	node.leader = termLeader
	node.mutex.Unlock()
	termLeader.SetInstances(ctx, memberNames(node.elector.View()))
	err := termLeader.Run(ctx)
	node.mutex.Lock()
	node.leader = nil
	node.mutex.Unlock()
	return err
}

func memberNames(view elector.View) []string {
	names := make([]string, 0, len(view.Members))
	for name := range view.Members {
		names = append(names, name)
	}
	return names
}

// membersChanged handles a new view of the cell's members.
func (node *Node) membersChanged(view elector.View) {
	node.recorder.Members(view)
	addresses := map[netip.AddrPort]bool{}
	for _, member := range view.Members {
		addresses[member.Address] = true
	}
	if view.Leader != nil {
		addresses[view.Leader.Address] = true
	}
	node.messenger.Retain(addresses)
	if leader := node.currentLeader(); leader != nil {
		leader.SetInstances(context.Background(), memberNames(view))
	}
}

// leaderAddress returns the address of the leader, or an invalid address if there is no leader.
func (node *Node) leaderAddress() netip.AddrPort {
	view := node.elector.View()
	if view.Leader == nil {
		return netip.AddrPort{}
	}
	return view.Leader.Address
}

// relayAddresses returns the addresses of the other instances in order of preference: the leader, instances in
// the same data centre, all others.
func (node *Node) relayAddresses() []netip.AddrPort {
	view := node.elector.View()
	var local, remote []netip.AddrPort
	for name, member := range view.Members {
		switch {
		case name == node.settings.Instance || view.Leader != nil && name == view.Leader.Instance:
		case member.DataCentre == node.settings.DataCentre:
			local = append(local, member.Address)
		default:
			remote = append(remote, member.Address)
		}
	}
	var addresses []netip.AddrPort
	if view.Leader != nil && view.Leader.Instance != node.settings.Instance {
		addresses = append(addresses, view.Leader.Address)
	}
	return append(append(addresses, local...), remote...)
}

// State implements messenger.Leader.
func (node *Node) State(id describer.JobID) (describer.JobState, error) {
	if leader := node.currentLeader(); leader != nil {
		if state, known := leader.State(id); known {
			return state, nil
		}
	}
	return describer.JobUnknown, messenger.ErrNotLeader
}

// Pending implements messenger.Leader.
func (node *Node) Pending(queue string) (int, error) {
	if leader := node.currentLeader(); leader != nil {
		if count, known := leader.Pending(queue); known {
			return count, nil
		}
	}
	return 0, messenger.ErrNotLeader
}

// Announce implements messenger.Leader.
func (node *Node) Announce(job []byte, cancelled describer.JobID) error {
	if leader := node.currentLeader(); leader != nil && leader.Announce(job, cancelled) {
		return nil
	}
	return messenger.ErrNotLeader
}

func (node *Node) announce(ctx context.Context, address netip.AddrPort, job []byte, cancelled describer.JobID) error {
	if address == node.settings.Peer {
		return node.Announce(job, cancelled)
	}
	return node.messenger.Announce(ctx, address, job, cancelled)
}

func (node *Node) queryState(ctx context.Context, address netip.AddrPort, id describer.JobID) (describer.JobState, error) {
	if address == node.settings.Peer {
		return node.State(id)
	}
	return node.messenger.State(ctx, address, id)
}

func (node *Node) queryPending(ctx context.Context, address netip.AddrPort, queue string) (int, error) {
	if address == node.settings.Peer {
		return node.Pending(queue)
	}
	return node.messenger.Pending(ctx, address, queue)
}

// requestAdvice calls the advice service through the given instance.
func (node *Node) requestAdvice(ctx context.Context, instance string, request planner.AdviceRequest) (describer.Advice, error) {
	var advice describer.Advice
	var err error
	if instance == node.settings.Instance {
		advice, err = node.advice.Advise(ctx, request.Step, request.Workers)
	} else {
		member, known := node.elector.View().Members[instance]
		if !known {
			return advice, errors.Errorf("instance %s is not a member of the cell", instance)
		}
		advice, err = node.messenger.Advise(ctx, member.Address, request.Step, request.Workers)
	}
	node.recorder.Advised(instance, request, advice, err)
	return advice, err
}
