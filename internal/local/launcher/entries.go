package launcher

import (
	"context"
	"fmt"
	"net/netip"
	"sync"

	"github.com/go-faster/errors"

	"pomelomoor/internal/gateway/lister"
	"pomelomoor/internal/node/loader"
	"pomelomoor/internal/work/descriptor"
)

// entry is a running entry instance with its announcer, which keeps it on the instance list.
type entry struct {
	id        string
	place     descriptor.Place
	instance  Instance
	announcer *lister.Announcer
	cancel    context.CancelFunc
	serveDone chan struct{}

	mutex    sync.Mutex
	stopping bool
	failure  error
}

func (cell *Cell) startEntries() error {
	client, closeIdle, err := lister.New([]netip.AddrPort{cell.store.Address()}, lister.Options{})
	if err != nil {
		return err
	}
	cell.cleanups = append(cell.cleanups, closeIdle)
	for index := range cell.options.Scenario.Entries {
		if err := cell.startEntry(client, index); err != nil {
			return errors.Wrap(err, "start entry instance")
		}
	}
	cell.cleanups = append(cell.cleanups, cell.Drain)
	return nil
}

func (cell *Cell) startEntry(client *lister.Client, index int) error {
	place := cell.place(index, 0)
	settings := cell.settings(index, place)
	instance, cleanup, err := cell.options.Build(settings, cell.network.dialer(settings.ID, place), cell.options.Log)
	if err != nil {
		return err
	}
	cell.network.addEndpoint(instance.PeerAddress(), endpoint{
		id:    settings.ID,
		role:  RolePeer,
		place: place,
	})
	announcer, stopAnnouncing := lister.StartAnnouncing(client, lister.Instance{
		ID:      instance.ID(),
		Role:    lister.RoleEntry,
		State:   lister.StateLive,
		Address: instance.PeerAddress(),
		Place:   place,
	}, 0)
	ctx, cancel := context.WithCancel(context.Background())
	entry := &entry{
		id:        settings.ID,
		place:     place,
		instance:  instance,
		announcer: announcer,
		cancel:    cancel,
		serveDone: make(chan struct{}),
	}
	go entry.serve(ctx)
	cell.entries = append(cell.entries, entry)
	cell.cleanups = append(cell.cleanups, func() {
		entry.setStopping()
		cancel()
		<-entry.serveDone
		cleanup()
		stopAnnouncing()
	})
	return nil
}

func (cell *Cell) settings(index int, place descriptor.Place) loader.Settings {
	scenario := cell.options.Scenario
	settings := loader.Defaults()
	settings.ID = fmt.Sprintf("%s-entry-%d", place.Site, index)
	settings.Region, settings.Site = place.Region, place.Site
	settings.HTTP, settings.Peer = loopback, loopback
	settings.Store = []netip.AddrPort{cell.store.Address()}
	settings.List = cell.store.Address()
	settings.Timeouts.Drain.Duration = cell.options.DrainTimeout * 3 / 4
	for _, site := range scenario.Sites {
		settings.Shards = append(settings.Shards, loader.SiteShards{
			Region: site.Region,
			Site:   site.Site,
			Count:  1,
		})
	}
	return settings
}

func (entry *entry) serve(ctx context.Context) {
	defer close(entry.serveDone)
	err := entry.instance.Serve(ctx)
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	switch {
	case entry.stopping:
	case err == nil:
		entry.failure = errors.New("stopped serving before it was asked to")
	default:
		entry.failure = err
	}
}

func (entry *entry) setStopping() {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	entry.stopping = true
}

// Drain gracefully stops all entry instances concurrently and waits for them. Later calls do nothing.
func (cell *Cell) Drain() {
	cell.drainOnce.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cell.options.DrainTimeout)
		defer cancel()
		var group sync.WaitGroup
		for _, entry := range cell.entries {
			group.Go(func() {
				entry.drain(ctx)
			})
		}
		group.Wait()
	})
}

func (entry *entry) drain(ctx context.Context) {
	entry.setStopping()
	entry.announcer.SetState(lister.StateLeaving)
	err := entry.instance.Drain(ctx)
	if err == nil {
		select {
		case <-entry.serveDone:
		case <-ctx.Done():
			err = errors.New("did not stop serving in time")
		}
	}
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	if err != nil && entry.failure == nil {
		entry.failure = errors.Wrap(err, "drain")
	}
}

// Failures returns, by the ID of an entry instance, why it stopped before it was asked to or failed to
// drain.
func (cell *Cell) Failures() map[string]string {
	failures := make(map[string]string)
	for _, entry := range cell.entries {
		entry.mutex.Lock()
		if entry.failure != nil {
			failures[entry.id] = entry.failure.Error()
		}
		entry.mutex.Unlock()
	}
	return failures
}
