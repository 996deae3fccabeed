package lister

import (
	"context"
	"sync"
	"time"
)

const defaultInterval = time.Second

// Announcer keeps an instance on the list by sending heartbeats.
type Announcer struct {
	client       *Client
	interval     time.Duration
	stateChanged chan struct{}

	mutex    sync.Mutex
	instance Instance
}

// StartAnnouncing adds the instance to the list and sends a heartbeat at each interval; 0 means every second.
// The returned function stops the heartbeats but leaves the instance on the list, as if its process had died.
// Client.Withdraw removes it.
func StartAnnouncing(client *Client, instance Instance, interval time.Duration) (*Announcer, func()) {
	if interval == 0 {
		interval = defaultInterval
	}
	announcer := &Announcer{
		client:       client,
		interval:     interval,
		stateChanged: make(chan struct{}, 1),
		instance:     instance,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		announcer.run(ctx)
	}()
	return announcer, func() {
		cancel()
		<-done
	}
}

// SetState changes the state and triggers a heartbeat without waiting for the interval.
func (announcer *Announcer) SetState(state State) {
	announcer.mutex.Lock()
	announcer.instance.State = state
	announcer.mutex.Unlock()
	select {
	case announcer.stateChanged <- struct{}{}:
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
		// The error is ignored because the next heartbeat makes up for a failed one. The call is not cancelled
		// with ctx, because a cancelled request could still arrive after the instance was removed from the list.
		_ = announcer.client.Announce(context.WithoutCancel(ctx), instance)
		select {
		case <-ticker.C:
		case <-announcer.stateChanged:
		case <-ctx.Done():
			return
		}
	}
}
