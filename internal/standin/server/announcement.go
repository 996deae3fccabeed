package server

import (
	"context"
	"net/netip"

	"pomelomoor/internal/gateway/lister"
)

// Announcement is a stand-in's row on the instance list.
type Announcement struct {
	id        string
	client    *lister.Client
	announcer *lister.Announcer
	stop      func()
}

// Announce keeps the instance on the list at the addresses. Without addresses it does nothing.
// The returned function ends the heartbeat, as when the instance dies.
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

// SetLeaving changes the state on the list.
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

// Withdraw takes the instance off the list for good.
func (announcement *Announcement) Withdraw(ctx context.Context) {
	if announcement.announcer == nil {
		return
	}
	// A heartbeat under way would put the instance on the list again.
	announcement.stop()
	_ = announcement.client.Withdraw(ctx, announcement.id)
}
