// Package assembler builds one instance of a cell from its settings and runs it.
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
	// metricsInterval is how often the counters are collected.
	metricsInterval = time.Second
	// lingerTime is how long a stopping instance serves new calls yet: the balancer notices after two
	// probes, a second apart, that it is not ready.
	lingerTime = 2500 * time.Millisecond
	// stopMargin is left of the grace of a planned stop.
	stopMargin = 700 * time.Millisecond
	// defaultGrace is the grace of a planned stop if the settings have none.
	defaultGrace = 6 * time.Second
	// headerTimeout bounds the reading of a call's header.
	headerTimeout = 3 * time.Second
	// idleTimeout is how long an idle connection of a caller is kept.
	idleTimeout = 60 * time.Second
	// memoryShare is the share of the instance's memory that the collector aims at; the rest is for
	// the buffers of connections and for the stacks.
	memoryShare = 0.6
	// settingsInterval is how often the settings file is looked at, since it may change without a signal.
	settingsInterval = time.Second
)

// Options describe an instance.
type Options struct {
	Settings platform.Settings
	// SettingsPath is where changed settings are read.
	SettingsPath string
	// Reload receives when the settings file may have changed; nil if nobody tells.
	Reload <-chan os.Signal
	Log    *slog.Logger
}

// Node is one instance.
type Node struct {
	settings  platform.Settings
	path      string
	reload    <-chan os.Signal
	log       *slog.Logger
	meter     *meter.Meter
	recorder  *recorder.Recorder
	store     *platform.Store
	relayer   *relayer.Relayer
	workers   *platform.Workers
	advice    *platform.Advice
	messenger *messenger.Messenger
	desk      *desk.Desk
	elector   *elector.Elector
	// resign ends electing, during which the instance holds a lease.
	resign   context.CancelFunc
	electing context.Context

	// draining means that the instance was told to stop.
	draining atomic.Bool

	mutex  sync.Mutex
	leader *leader.Leader
}

// New builds an instance and returns a function that frees what it holds.
func New(options Options) (*Node, func(), error) {
	debug.SetMemoryLimit(int64(memoryShare * float64(options.Settings.MemoryBytes)))
	measures, closeMeter := meter.New(metricsInterval)
	node := &Node{
		settings: options.Settings,
		path:     options.SettingsPath,
		reload:   options.Reload,
		log:      options.Log,
		meter:    measures,
		recorder: &recorder.Recorder{
			Log:   options.Log,
			Scope: measures.Scope,
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
	node.electing, node.resign = context.WithCancel(context.Background())
	node.relayer = &relayer.Relayer{
		Direct:  node.store,
		Peer:    node.messenger,
		Peers:   node.relays,
		Changed: node.recorder.Store,
	}
	node.desk = desk.New(desk.Options{
		Store:     node.relayer,
		Reachable: node.relayer.Reachable,
		Leader:    node.leaderAddress,
		State:     node.askState,
		Pending:   node.askPending,
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
		Lead:     node.lead,
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
		// The last values of counters that nobody can read any more are of no use.
		_ = closeMeter()
	}, nil
}

// Serve runs the instance until ctx ends, which is a planned stop: readiness is withdrawn, leadership is
// given up, and calls are served until the balancer has noticed.
func (node *Node) Serve(ctx context.Context) error {
	life, end := context.WithCancel(context.Background())
	defer end()
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
	failed := make(chan error, 1)
	go func() {
		failed <- tree.Serve(life)
	}()
	select {
	case err := <-failed:
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

// addComponents adds what runs beside the servers to the tree.
func (node *Node) addComponents(tree *supervisor.Supervisor) {
	tree.Add("Elector", func(ctx context.Context) error {
		electing, cancel := context.WithCancel(ctx)
		defer cancel()
		stop := context.AfterFunc(node.electing, cancel)
		defer stop()
		err := node.elector.Run(electing)
		if node.electing.Err() != nil {
			// The lease is given up for good, so the component must not be started again.
			<-ctx.Done()
			return ctx.Err()
		}
		return err
	})
	tree.Add("Config", node.followConfig)
	tree.Add("Peers", func(ctx context.Context) error {
		return messenger.Serve(ctx, node.settings.Peer, node, node.advice, node.relayer)
	})
	tree.Add("Settings", node.followSettings)
}

// listen starts the HTTP servers.
func (node *Node) listen(ctx context.Context) ([]*http.Server, error) {
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", node.meter)
	handlers := []struct {
		address netip.AddrPort
		handler http.Handler
	}{
		{
			address: node.settings.Front,
			handler: node.lastCalls(platform.NewCallHandler(node.desk)),
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

// lastCalls has each connection closed with its next answer while the instance stops. Idle connections stay
// open until the balancer has noticed, since a call may be on its way on any of them.
func (node *Node) lastCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if node.draining.Load() {
			writer.Header().Set("Connection", "close")
		}
		next.ServeHTTP(writer, request)
	})
}

// drain serves on until the balancer has noticed, and then ends the servers as their calls end.
func (node *Node) drain(servers []*http.Server) error {
	node.mutex.Lock()
	grace := node.settings.Bounds.StopGrace
	node.mutex.Unlock()
	if grace == 0 {
		grace = defaultGrace
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(grace-stopMargin, 0))
	defer cancel()
	node.draining.Store(true)
	watcher.Pause(ctx, min(lingerTime, grace/2))
	var faults []error
	for _, server := range servers {
		faults = append(faults, server.Shutdown(ctx))
	}
	return errors.Join(faults...)
}

// followConfig keeps the operators' configuration in force.
func (node *Node) followConfig(ctx context.Context) error {
	watch := &watcher.Watcher{
		Store:    node.store,
		Prefix:   platform.ConfigKey,
		Snapshot: node.takeConfig,
		Change:   node.takeConfig,
		Contact:  node.relayer.Contact,
	}
	return watch.Run(ctx)
}

func (node *Node) takeConfig(items []describer.Item) {
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
		if leader := node.leading(); leader != nil {
			leader.SetConfig(config)
		}
	}
}

func (node *Node) leading() *leader.Leader {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.leader
}

// lead serves one term.
func (node *Node) lead(ctx context.Context, term elector.Term) error {
	for node.desk.Config() == nil {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		watcher.Pause(ctx, 20*time.Millisecond)
	}
	node.mutex.Lock()
	bounds := node.settings.Bounds
	node.mutex.Unlock()
	serving := leader.New(leader.Options{
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
		Ask:          node.ask,
		Journal:      node.recorder,
	}, term)
	node.mutex.Lock()
	node.leader = serving
	node.mutex.Unlock()
	serving.SetInstances(ctx, instances(node.elector.View()))
	err := serving.Run(ctx)
	node.mutex.Lock()
	node.leader = nil
	node.mutex.Unlock()
	return err
}

func instances(view elector.View) []string {
	names := make([]string, 0, len(view.Members))
	for name := range view.Members {
		names = append(names, name)
	}
	return names
}

// membersChanged takes a new view of the members.
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
	if leader := node.leading(); leader != nil {
		leader.SetInstances(context.Background(), instances(view))
	}
}

// leaderAddress returns the address of the leader, invalid if there is none.
func (node *Node) leaderAddress() netip.AddrPort {
	view := node.elector.View()
	if view.Leader == nil {
		return netip.AddrPort{}
	}
	return view.Leader.Address
}

// relays returns the other instances: the leader, then those of the same data centre, then the others.
func (node *Node) relays() []netip.AddrPort {
	view := node.elector.View()
	var near, far []netip.AddrPort
	for name, member := range view.Members {
		switch {
		case name == node.settings.Instance || view.Leader != nil && name == view.Leader.Instance:
		case member.DataCentre == node.settings.DataCentre:
			near = append(near, member.Address)
		default:
			far = append(far, member.Address)
		}
	}
	var all []netip.AddrPort
	if view.Leader != nil && view.Leader.Instance != node.settings.Instance {
		all = append(all, view.Leader.Address)
	}
	return append(append(all, near...), far...)
}

// State implements messenger.Leader.
func (node *Node) State(id describer.JobID) (describer.JobState, error) {
	if leader := node.leading(); leader != nil {
		if state, known := leader.State(id); known {
			return state, nil
		}
	}
	return describer.JobUnknown, messenger.ErrNotLeader
}

// Pending implements messenger.Leader.
func (node *Node) Pending(queue string) (int, error) {
	if leader := node.leading(); leader != nil {
		if count, known := leader.Pending(queue); known {
			return count, nil
		}
	}
	return 0, messenger.ErrNotLeader
}

// Announce implements messenger.Leader.
func (node *Node) Announce(job []byte, cancelled describer.JobID) error {
	if leader := node.leading(); leader != nil && leader.Announce(job, cancelled) {
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

func (node *Node) askState(ctx context.Context, address netip.AddrPort, id describer.JobID) (describer.JobState, error) {
	if address == node.settings.Peer {
		return node.State(id)
	}
	return node.messenger.State(ctx, address, id)
}

func (node *Node) askPending(ctx context.Context, address netip.AddrPort, queue string) (int, error) {
	if address == node.settings.Peer {
		return node.Pending(queue)
	}
	return node.messenger.Pending(ctx, address, queue)
}

// ask sends a question to the advice service by way of an instance.
func (node *Node) ask(ctx context.Context, instance string, request planner.AdviceRequest) (describer.Advice, error) {
	var advice describer.Advice
	var err error
	if instance == node.settings.Instance {
		advice, err = node.advice.Advise(ctx, request.Step, request.Workers)
	} else {
		member, known := node.elector.View().Members[instance]
		if !known {
			return advice, errors.Errorf("instance %s has left", instance)
		}
		advice, err = node.messenger.Advise(ctx, member.Address, request.Step, request.Workers)
	}
	node.recorder.Advised(instance, request, advice, err)
	return advice, err
}
