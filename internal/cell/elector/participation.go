package elector

import (
	"context"
	"sync"
)

// Run takes part in elections until ctx is cancelled or Resign is called, and then revokes the lease. It keeps the view up
// to date until ctx is cancelled.
func (elector *Elector) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() {
		elector.watchMembers(ctx)
	})
	group.Go(func() {
		elector.checkLeaders(ctx)
	})
	elector.takePart(ctx)
	group.Wait()
	return ctx.Err()
}

// Resign ends the term, if any, and the part that the instance takes in elections. An instance that stops still answers
// callers for some seconds, by way of the next leader, so that Run goes on to follow who leads.
func (elector *Elector) Resign() {
	elector.resignOnce.Do(func() {
		close(elector.resigned)
	})
}

// takePart takes part in elections until ctx is cancelled or Resign is called.
func (elector *Elector) takePart(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() {
		elector.campaign(ctx)
	})
	group.Go(func() {
		select {
		case <-elector.resigned:
			cancel()
		case <-ctx.Done():
		}
	})
	elector.keepLease(ctx)
	elector.confirmations.Wait()
	group.Wait()
	elector.revokeLease()
}

// revokeLease revokes the lease and so removes the instance's keys, so that another instance can lead at once.
func (elector *Elector) revokeLease() {
	lease := elector.leaseID()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaseTTL)
	defer cancel()
	if err := elector.options.Store.Revoke(ctx, lease); err != nil {
		// Revoking the lease failed, so the instance's keys may remain until it expires.
		elector.reportEvent("resign", 0, err)
	}
}
