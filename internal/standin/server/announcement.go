package server

import (
	"context"
	"net/netip"

	"pomelomoor/internal/gateway/lister"
)

// Announcement keeps the entry of a stand-in on the instance list.
type Announcement struct {
	id        string
	client    *lister.Client
	announcer *lister.Announcer
	stop      func()
}

// Announce puts the instance on the list at these addresses and sends heartbeats. Without addresses it
// does nothing. The returned function stops the heartbeats without withdrawing the entry, as if the
// instance had crashed.
func Announce(addresses []netip.AddrPort, instance lister.Instance) (*Announcement, func(), error) {
	if len(addresses) == 0 {
		return &Announcement{}, func() {}, nil
	}
	client, closeIdle, err := lister.New(addresses, lister.Options{})
	if err != nil {
		return nil, nil, err
	}
	instance.State = lister.StateLive
	announcer, stop := lister.StartAnnouncing(client, instance, 0)
	announcement := &Announcement{
		id:        instance.ID,
		client:    client,
		announcer: announcer,
		stop:      stop,
	}
	return announcement, func() {
		stop()
		closeIdle()
	}, nil
}

// SetLeaving sets the listed state to leaving or live.
func (announcement *Announcement) SetLeaving(leaving bool) {
	if announcement.announcer == nil {
		return
	}
	state := lister.StateLive
	if leaving {
		state = lister.StateLeaving
	}
	announcement.announcer.SetState(state)
}

// Withdraw stops the heartbeats and removes the instance from the list.
func (announcement *Announcement) Withdraw(ctx context.Context) {
	if announcement.announcer == nil {
		return
	}
	// A heartbeat in flight could otherwise list the instance again.
	announcement.stop()
	_ = announcement.client.Withdraw(ctx, announcement.id)
}
