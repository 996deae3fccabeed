package lister

import (
	"context"
	"sync"
	"time"
)

const defaultInterval = time.Second

// Announcer keeps one instance on the list.
type Announcer struct {
	client   *Client
	interval time.Duration
	changed  chan struct{}

	mutex    sync.Mutex
	instance Instance
}

// StartAnnouncing puts the instance on the list and sends its heartbeat at each interval; 0 means
// every second. The returned function ends the heartbeat without taking the instance off the list,
// as when its process dies; Client.Withdraw does that.
func StartAnnouncing(client *Client, instance Instance, interval time.Duration) (*Announcer, func()) {
	if interval == 0 {
		interval = defaultInterval
	}
	announcer := &Announcer{
		client:   client,
		interval: interval,
		changed:  make(chan struct{}, 1),
		instance: instance,
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		announcer.run(ctx)
	}()
	return announcer, func() {
		cancel()
		<-ended
	}
}

// SetState announces the state at once.
func (announcer *Announcer) SetState(state State) {
	announcer.mutex.Lock()
	announcer.instance.State = state
	announcer.mutex.Unlock()
	select {
	case announcer.changed <- struct{}{}:
	default:
	}
}

func (announcer *Announcer) run(ctx context.Context) {
	ticker := time.NewTicker(announcer.interval)
	defer ticker.Stop()
	for {
		announcer.mutex.Lock()
		instance := announcer.instance
		announcer.mutex.Unlock()
		// A heartbeat that fails is made up for by the next one. It is not cancelled, because it
		// could then still arrive after the instance was taken off the list.
		_ = announcer.client.Announce(context.WithoutCancel(ctx), instance)
		select {
		case <-ticker.C:
		case <-announcer.changed:
		case <-ctx.Done():
			return
		}
	}
}
