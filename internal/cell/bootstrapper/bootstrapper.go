// Package bootstrapper wires the components of one instance of a cell together and runs the instance.
package bootstrapper

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"pomelomoor/internal/cell/acknowledger"
	"pomelomoor/internal/cell/admitter"
	"pomelomoor/internal/cell/connector"
	"pomelomoor/internal/cell/courier"
	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/elector"
	"pomelomoor/internal/cell/leader"
	"pomelomoor/internal/cell/observer"
	"pomelomoor/internal/cell/refresher"
	"pomelomoor/internal/cell/relayer"
	"pomelomoor/internal/cell/scheduler"
	"pomelomoor/internal/cell/watcher"
	"pomelomoor/internal/config/alerter"
	"pomelomoor/internal/config/checker"
	"pomelomoor/internal/node/drainer"
	"pomelomoor/internal/node/limiter"
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
	// answerMargin is how long before the end of the drain all calls have to be answered, so that the answers can be sent.
	answerMargin = 200 * time.Millisecond
	// defaultGrace is the stop grace period if the settings do not specify one.
	defaultGrace = 6 * time.Second
	// headerTimeout bounds the reading of a request header.
	headerTimeout = 3 * time.Second
	// bodyTimeout bounds the reading of a request body. A link of 10 Mbit/s carries the largest in 0.3 s; the rest is for
	// losses and for callers that freeze for seconds.
	bodyTimeout = 10 * time.Second
	// maxHeaderBytes bounds a request header; net/http adds 4 KB for the request line.
	maxHeaderBytes = 16 << 10
	// idleTimeout is how long idle caller connections are kept open.
	idleTimeout = 60 * time.Second
	// memoryLimitShare is the Go memory limit as a fraction of the instance's memory. The rest is for
	// connection buffers and stacks.
	memoryLimitShare = 0.6
	// gcPercent lets the heap grow to three times its live size before it is collected. Processor time is scarcer than
	// memory at a leader; near the memory limit the collector runs as often as it has to.
	gcPercent = 200
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

// Instance is one instance of a cell.
type Instance struct {
	settings     platform.Settings
	settingsPath string
	reload       <-chan os.Signal
	log          *slog.Logger
	meter        *meter.Meter
	limits       limits
	observer     *observer.Observer
	store        *platform.Store
	relayer      *relayer.Relayer
	workers      *platform.Workers
	advice       *platform.Advice
	connector    *connector.Connector
	refresher    *refresher.Refresher
	alerter      *alerter.Alerter
	admitter     *admitter.Admitter
	elector      *elector.Elector

	mutex  sync.Mutex
	leader *leader.Leader
	// courier carries the orders of leader; nil without one.
	courier *courier.Courier
}

// New creates an instance and returns a function that releases its resources.
func New(options Options) (*Instance, func(), error) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(options.Settings.MemoryBytes)))
	instanceMeter, closeMeter := meter.New(metricsInterval)
	instance := &Instance{
		settings:     options.Settings,
		settingsPath: options.SettingsPath,
		reload:       options.Reload,
		log:          options.Log,
		meter:        instanceMeter,
		limits:       newLimits(options.Settings),
		observer: &observer.Observer{
			Log:   options.Log,
			Scope: instanceMeter.Scope,
		},
	}
	var closeStore, closeWorkers, closeAdvice, closeConnector func()
	instance.store, closeStore = platform.NewStore(options.Settings.Store)
	instance.store.OnCall = instance.observer.PlatformCallEnded
	instance.workers, closeWorkers = platform.NewWorkers()
	instance.workers.OnCall = instance.observer.PlatformCallEnded
	instance.advice, closeAdvice = platform.NewAdvice(options.Settings.Advice)
	instance.advice.OnCall = instance.observer.PlatformCallEnded
	instance.connector, closeConnector = connector.New()
	instance.connector.OnReplaced = instance.observer.ConnectionReplaced
	instance.relayer = &relayer.Relayer{
		Direct:               instance.store,
		Peer:                 instance.connector,
		Peers:                instance.relayAddresses,
		PeersByDataCentre:    instance.peersByDataCentre,
		OnReachabilityChange: instance.storeReachabilityChanged,
	}
	instance.alerter = alerter.New(options.Log, platform.ConfigField)
	instance.refresher = refresher.New(refresher.Options{
		Store:       instance.store,
		Commit:      instance.relayer.HedgedCommit,
		Key:         platform.ConfigKey,
		Parse:       instance.parseConfig,
		ApplyTime:   instance.configApplyTime,
		OnConfig:    instance.configChanged,
		OnStoreCall: instance.relayer.RecordOutcome,
		Observer:    instance.observer,
	})
	instance.admitter = admitter.New(admitter.Options{
		Store:             instance.relayer,
		Config:            instance.refresher.Config,
		Freshness:         instance.refresher.Freshness,
		ConfigConfirmed:   instance.refresher.Confirmed,
		ConfigExpectation: instance.refresher.Expectation,
		Reachable:         instance.relayer.Reachable,
		Silence:           instance.relayer.Silence,
		Leader:            instance.leaderAddress,
		State:             instance.queryState,
		Pending:           instance.queryPending,
		Announce:          instance.announce,
		OnCall:            instance.observer.CallAnswered,
		FailClosed: func() bool {
			return instance.bounds().FailClosed
		},
		CapOverage: func() float64 {
			return instance.bounds().CapOverage
		},
		MaxWithdrawals: instance.maxWithdrawals,
	})
	instance.elector = elector.New(elector.Options{
		Store: instance.store,
		Self: elector.Member{
			Instance:    options.Settings.Instance,
			Incarnation: uuid.NewString(),
			Address:     options.Settings.Peer,
			DataCentre:  options.Settings.DataCentre,
			CPUCores:    options.Settings.CPUCores,
		},
		RunLeader:         instance.runTerm,
		ReadThroughPeers:  instance.relayer.RelayedRead,
		Commit:            instance.relayer.HedgedCommit,
		OnViewChange:      instance.membersChanged,
		OnStoreCall:       instance.relayer.RecordOutcome,
		OnEntryUnreadable: instance.observer.EntryUnreadable,
		OnEvent:           instance.observer.LeadershipChanged,
	})
	return instance, func() {
		instance.elector.Resign()
		closeConnector()
		closeAdvice()
		closeWorkers()
		closeStore()
		// An error is ignored because the final metrics can no longer be collected.
		_ = closeMeter()
	}, nil
}

// Serve runs the instance until ctx is done, which is a planned stop: the instance reports that it is not
// ready, gives up its leadership, and serves calls until the balancer has taken it out of service.
func (instance *Instance) Serve(ctx context.Context) error {
	treeCtx, stopTree := context.WithCancel(context.Background())
	defer stopTree()
	tree := supervisor.New("Cell", instance.log, supervisor.Limits{})
	instance.addComponents(tree)
	servers, err := instance.listen(ctx)
	if err != nil {
		return err
	}
	logger.Log(ctx, instance.log, logger.EventStarted,
		slog.String("Instance", instance.settings.Instance),
		slog.String("Front", instance.settings.Front.String()),
		slog.String("Peer", instance.settings.Peer.String()))
	treeErr := make(chan error, 1)
	go func() {
		treeErr <- tree.Serve(treeCtx)
	}()
	select {
	case err := <-treeErr:
		return err
	case <-ctx.Done():
	}
	logger.Log(context.Background(), instance.log, logger.EventDraining)
	instance.admitter.MarkNotReady()
	instance.elector.Resign()
	err = instance.drain(servers)
	logger.Log(context.Background(), instance.log, logger.EventStopped, logger.Error(err))
	return err
}

// addComponents adds the background components to the supervision tree.
func (instance *Instance) addComponents(tree *supervisor.Supervisor) {
	tree.Add("Elector", instance.elector.Run)
	tree.Add("Config", instance.refresher.Run)
	tree.Add("ConfigCheck", instance.alerter.Run)
	tree.Add("Peers", func(ctx context.Context) error {
		listener, err := limiter.Listen(ctx, instance.settings.Peer.String())
		if err != nil {
			return errors.Wrap(err, "listen for calls of other instances")
		}
		return connector.Serve(ctx, instance.limits.peers.LimitListener(listener), instance, instance.advice, instance.relayer, instance.acknowledger())
	})
	tree.Add("Settings", instance.watchSettings)
	tree.Add("Limits", instance.reportLimits)
}

// listen starts the HTTP servers for calls, readiness probes and metrics.
func (instance *Instance) listen(ctx context.Context) ([]*drainer.Drainer, error) {
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", instance.meter)
	handlers := []struct {
		address netip.AddrPort
		handler http.Handler
		port    *limiter.Port
	}{
		{
			address: instance.settings.Front,
			handler: platform.NewCallHandler(instance.admitter),
			port:    instance.limits.front,
		},
		{
			address: instance.settings.Ready,
			handler: platform.NewReadyHandler(instance.admitter),
			port:    instance.limits.ready,
		},
		{
			address: instance.settings.Metrics,
			handler: metrics,
			port:    instance.limits.metrics,
		},
	}
	var servers []*drainer.Drainer
	for _, entry := range handlers {
		listener, err := limiter.Listen(ctx, entry.address.String())
		if err != nil {
			return nil, errors.Wrapf(err, "listen on %s", entry.address)
		}
		httpServer := &http.Server{
			Handler:           entry.handler,
			ReadHeaderTimeout: headerTimeout,
			ReadTimeout:       headerTimeout + bodyTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		}
		limited := entry.port.Limit(httpServer, listener)
		server := drainer.New(httpServer, limited)
		servers = append(servers, server)
		go func() {
			if err := server.Serve(); !errors.Is(err, http.ErrServerClosed) {
				logger.Log(context.Background(), instance.log, logger.EventComponentGaveUp, logger.Error(err))
			}
		}()
	}
	return servers, nil
}

// drain keeps serving until the balancer has taken the instance out of service, and then shuts the servers
// down gracefully.
func (instance *Instance) drain(servers []*drainer.Drainer) error {
	instance.mutex.Lock()
	grace := instance.settings.Bounds.StopGrace
	instance.mutex.Unlock()
	if grace == 0 {
		grace = defaultGrace
	}
	end := time.Now().Add(max(grace-graceMargin, 0))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	for _, server := range servers {
		server.Start()
		server.EndCallsAt(end.Add(-answerMargin))
	}
	watcher.Sleep(ctx, min(drainDelay, grace/2))
	var shutdownErrs []error
	for _, server := range servers {
		shutdownErrs = append(shutdownErrs, server.Shutdown(ctx))
	}
	return errors.Join(shutdownErrs...)
}

// storeReachabilityChanged checks the configuration as soon as the store can be reached again.
func (instance *Instance) storeReachabilityChanged(err error) {
	instance.observer.StoreReachability(err)
	if err == nil {
		instance.refresher.Wake()
	}
}

// configChanged passes a new configuration to the leader, if this instance leads, and has it checked.
func (instance *Instance) configChanged(config *describer.Config) {
	if leader := instance.currentLeader(); leader != nil {
		leader.SetConfig(config)
	}
	instance.alerter.Arrived(config.Version, checker.Cell{
		Config: config,
	})
}

// parseConfig parses a configuration. The settings may require keys although it names no organisations.
func (instance *Instance) parseConfig(document []byte) (*describer.Config, error) {
	config, err := platform.ParseConfig(document)
	if err != nil {
		return nil, err
	}
	config.KeysRequired = config.KeysRequired || instance.settings.KeysRequired
	return config, nil
}

// bounds returns the bounds of the settings in force.
func (instance *Instance) bounds() platform.Bounds {
	instance.mutex.Lock()
	defer instance.mutex.Unlock()
	return instance.settings.Bounds
}

// configApplyTime returns the time in which a configuration has to be in force everywhere.
func (instance *Instance) configApplyTime() time.Duration {
	return instance.bounds().ConfigApplyTime
}

func (instance *Instance) currentLeader() *leader.Leader {
	instance.mutex.Lock()
	defer instance.mutex.Unlock()
	return instance.leader
}

// runTerm runs a leader for one leadership term. It waits for the configuration first, and for a check of it if none has
// confirmed it lately.
func (instance *Instance) runTerm(ctx context.Context, term elector.Term) error {
	for instance.refresher.Config() == nil {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		watcher.Sleep(ctx, 20*time.Millisecond)
	}
	// A configuration that stays unconfirmed leads too: no start waits longer for it than the store is away.
	_ = instance.refresher.Confirmed(ctx)
	bounds := instance.bounds()
	carried, closeCourier := courier.New(ctx, courier.Options{
		Direct: instance.acknowledger(),
		Open:   instance.connector.Carry,
	})
	defer closeCourier()
	termLeader := leader.New(leader.Options{
		Store:     instance.store,
		Workers:   carried,
		OnWorkers: carried.SetWorkers,
		Scheduler: scheduler.Options{
			MaxLease:          bounds.MaxLease,
			StatusRetention:   bounds.StatusRetention,
			RemoteFactor:      bounds.RemoteFactor,
			InheritedRenewal:  elector.MaxInheritedRenewal,
			CapOverage:        bounds.CapOverage,
			EntitlementWindow: bounds.EntitlementWindow,
			EntitlementSlack:  bounds.EntitlementSlack,
		},
		WorkerPrefix:  platform.WorkerPrefix,
		ParseWorker:   platform.ParseWorker,
		Config:        instance.refresher.Config,
		RequestAdvice: instance.requestAdvice,
		Observer:      instance.observer,
	}, term)
	instance.mutex.Lock()
	instance.leader = termLeader
	instance.courier = carried
	instance.mutex.Unlock()
	view := instance.elector.View()
	termLeader.SetInstances(ctx, memberNames(view))
	carried.SetInstances(instance.couriers(view))
	err := termLeader.Run(ctx)
	instance.mutex.Lock()
	instance.leader = nil
	instance.courier = nil
	instance.mutex.Unlock()
	return err
}

// acknowledger returns a client for the workers that acknowledges no ends in polls that wait.
func (instance *Instance) acknowledger() describer.Workers {
	return &acknowledger.Acknowledger{
		Workers: instance.workers,
	}
}

// couriers returns the other instances of the cell that can carry orders. An earlier version, which cannot, does not
// tell its cores.
func (instance *Instance) couriers(view elector.View) []courier.Instance {
	var couriers []courier.Instance
	for name, member := range view.Members {
		if name != instance.settings.Instance && member.CPUCores > 0 {
			couriers = append(couriers, courier.Instance{
				Address:    member.Address,
				DataCentre: member.DataCentre,
				CPUCores:   member.CPUCores,
			})
		}
	}
	return couriers
}

func memberNames(view elector.View) []string {
	names := make([]string, 0, len(view.Members))
	for name := range view.Members {
		names = append(names, name)
	}
	return names
}

// membersChanged handles a new view of the cell's members.
func (instance *Instance) membersChanged(view elector.View) {
	instance.observer.Members(view)
	addresses := map[netip.AddrPort]bool{}
	for _, member := range view.Members {
		addresses[member.Address] = true
	}
	if view.Leader != nil {
		addresses[view.Leader.Address] = true
	}
	instance.connector.CloseExcept(addresses)
	if leader := instance.currentLeader(); leader != nil {
		leader.SetInstances(context.Background(), memberNames(view))
	}
	instance.mutex.Lock()
	carried := instance.courier
	instance.mutex.Unlock()
	if carried != nil {
		carried.SetInstances(instance.couriers(view))
	}
}

// leaderAddress returns the address of the leader, or an invalid address if there is no leader.
func (instance *Instance) leaderAddress() netip.AddrPort {
	view := instance.elector.View()
	if view.Leader == nil {
		return netip.AddrPort{}
	}
	return view.Leader.Address
}

// relayAddresses returns the addresses of the other instances in order of preference: the leader, instances in
// the same data centre, all others.
func (instance *Instance) relayAddresses() []netip.AddrPort {
	view := instance.elector.View()
	var local, remote []netip.AddrPort
	for name, member := range view.Members {
		switch {
		case name == instance.settings.Instance || view.Leader != nil && name == view.Leader.Instance:
		case member.DataCentre == instance.settings.DataCentre:
			local = append(local, member.Address)
		default:
			remote = append(remote, member.Address)
		}
	}
	var addresses []netip.AddrPort
	if view.Leader != nil && view.Leader.Instance != instance.settings.Instance {
		addresses = append(addresses, view.Leader.Address)
	}
	return append(append(addresses, local...), remote...)
}

// peersByDataCentre returns the addresses of the other instances by data centre.
func (instance *Instance) peersByDataCentre() map[string][]netip.AddrPort {
	addresses := map[string][]netip.AddrPort{}
	for name, member := range instance.elector.View().Members {
		if name != instance.settings.Instance {
			addresses[member.DataCentre] = append(addresses[member.DataCentre], member.Address)
		}
	}
	return addresses
}

// State implements connector.LeaderHandler.
func (instance *Instance) State(id describer.JobID) (describer.JobStatus, error) {
	if leader := instance.currentLeader(); leader != nil {
		if status, known := leader.State(id); known {
			return status, nil
		}
	}
	return describer.JobStatus{}, connector.ErrNotLeader
}

// Pending implements connector.LeaderHandler.
func (instance *Instance) Pending(queue string) (int, error) {
	if leader := instance.currentLeader(); leader != nil {
		if count, known := leader.Pending(queue); known {
			return count, nil
		}
	}
	return 0, connector.ErrNotLeader
}

// Announce implements connector.LeaderHandler.
func (instance *Instance) Announce(job []byte, cancelled describer.JobID) error {
	if leader := instance.currentLeader(); leader != nil && leader.Announce(job, cancelled) {
		return nil
	}
	return connector.ErrNotLeader
}

func (instance *Instance) announce(ctx context.Context, address netip.AddrPort, job []byte, cancelled describer.JobID) error {
	if address == instance.settings.Peer {
		return instance.Announce(job, cancelled)
	}
	return instance.connector.Announce(ctx, address, job, cancelled)
}

func (instance *Instance) queryState(ctx context.Context, address netip.AddrPort, id describer.JobID) (describer.JobStatus, error) {
	if address == instance.settings.Peer {
		return instance.State(id)
	}
	return instance.connector.State(ctx, address, id)
}

func (instance *Instance) queryPending(ctx context.Context, address netip.AddrPort, queue string) (int, error) {
	if address == instance.settings.Peer {
		return instance.Pending(queue)
	}
	return instance.connector.Pending(ctx, address, queue)
}

// requestAdvice calls the advice service through the given instance.
func (instance *Instance) requestAdvice(ctx context.Context, name string, request scheduler.AdviceRequest) (describer.Advice, error) {
	var advice describer.Advice
	var err error
	if name == instance.settings.Instance {
		advice, err = instance.advice.Advise(ctx, request.Step, request.Workers)
	} else {
		member, known := instance.elector.View().Members[name]
		if !known {
			return advice, errors.Errorf("instance %s is not a member of the cell", name)
		}
		advice, err = instance.connector.Advise(ctx, member.Address, request.Step, request.Workers)
	}
	instance.observer.AdviceAnswered(name, request, advice, err)
	return advice, err
}
