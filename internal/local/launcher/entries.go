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

// entry is a running entry instance with its row on the instance list.
type entry struct {
	id        string
	place     descriptor.Place
	instance  Instance
	announcer *lister.Announcer
	cancel    context.CancelFunc
	served    chan struct{}

	mutex    sync.Mutex
	stopping bool
	failure  error
}

func (cell *Cell) startEntries() error {
	client, closeIdle, err := lister.Dial([]netip.AddrPort{cell.keeper.Address()}, lister.Options{})
	if err != nil {
		return err
	}
	cell.stops = append(cell.stops, closeIdle)
	for index := range cell.options.Scenario.Entries {
		if err := cell.startEntry(client, index); err != nil {
			return errors.Wrap(err, "start entry instance")
		}
	}
	cell.stops = append(cell.stops, cell.Drain)
	return nil
}

func (cell *Cell) startEntry(client *lister.Client, index int) error {
	place := cell.place(index, 0)
	settings := cell.settings(index, place)
	instance, end, err := cell.options.Build(settings, cell.network.dialer(settings.ID, place), cell.options.Log)
	if err != nil {
		return err
	}
	cell.network.add(instance.PeerAddress(), endpoint{
		id:    settings.ID,
		role:  RolePeer,
		place: place,
	})
	announcer, silence := lister.StartAnnouncing(client, lister.Instance{
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
		served:    make(chan struct{}),
	}
	go entry.serve(ctx)
	cell.entries = append(cell.entries, entry)
	cell.stops = append(cell.stops, func() {
		entry.setStopping()
		cancel()
		<-entry.served
		end()
		silence()
	})
	return nil
}

func (cell *Cell) settings(index int, place descriptor.Place) loader.Settings {
	scenario := cell.options.Scenario
	settings := loader.Defaults()
	settings.ID = fmt.Sprintf("%s-entry-%d", place.Site, index)
	settings.Region, settings.Site = place.Region, place.Site
	settings.HTTP, settings.Peer = loopback, loopback
	settings.Store = []netip.AddrPort{cell.keeper.Address()}
	settings.List = cell.keeper.Address()
	settings.Timeouts.Drain.Duration = cell.options.Drain * 3 / 4
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
	defer close(entry.served)
	err := entry.instance.Serve(ctx)
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	switch {
	case entry.stopping:
	case err == nil:
		entry.failure = errors.New("ended by itself")
	default:
		entry.failure = err
	}
}

func (entry *entry) setStopping() {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	entry.stopping = true
}

// Drain stops all entry instances as planned, all at the same time. Only the first call does.
func (cell *Cell) Drain() {
	cell.drained.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cell.options.Drain)
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
		case <-entry.served:
		case <-ctx.Done():
			err = errors.New("not ended in time")
		}
	}
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	if err != nil && entry.failure == nil {
		entry.failure = errors.Wrap(err, "planned stop")
	}
}

// Failures returns by ID why entry instances ended by themselves or did not stop as planned.
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
