package elector

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/describer"
)

const (
	// maxMemberCores is the largest number of CPU cores that an instance can have. Orders are shared by cores, so that an
	// entry with more would draw all of them.
	maxMemberCores = 4096
	// maxMemberName is the length in bytes of the longest name in an entry.
	maxMemberName = 256
)

// parseMember decodes the entry under the leader key or a member key, which may come from another writer.
func parseMember(item describer.Item) (Member, error) {
	var member Member
	if err := json.Unmarshal(item.Value, &member); err != nil {
		return Member{}, errors.Wrap(err, "decode member")
	}
	name, isMember := strings.CutPrefix(item.Key, MemberPrefix)
	switch {
	case member.Instance == "" || isMember && member.Instance != name:
		return Member{}, errors.New("entry does not name the instance of its key")
	case len(member.Instance) > maxMemberName || len(member.Incarnation) > maxMemberName || len(member.DataCentre) > maxMemberName:
		return Member{}, errors.New("entry has a name that is too long")
	case !describer.IsUnicast(member.Address):
		return Member{}, errors.Errorf("%s is not the address of an instance", member.Address)
	case member.CPUCores < 0 || member.CPUCores > maxMemberCores:
		return Member{}, errors.Errorf("entry has the impossible number of %g cores", member.CPUCores)
	}
	return member, nil
}

// join acquires a lease and writes the member key under it.
func (elector *Elector) join(ctx context.Context) error {
	sent := time.Now()
	lease, _, err := elector.options.Store.Grant(ctx, leaseTTL)
	elector.reportStoreCall(ctx, err)
	if err != nil {
		return err
	}
	elector.recordLatency(time.Since(sent))
	if err := elector.writeMember(ctx, lease); err != nil {
		return err
	}
	elector.mutex.Lock()
	elector.lease = lease
	elector.lastRenewal = sent
	elector.mutex.Unlock()
	// The instance holds a lease and its member key is written.
	elector.reportEvent("lease granted", 0, nil)
	elector.wakeCampaign()
	return nil
}

// writeMember writes the member key under lease.
func (elector *Elector) writeMember(ctx context.Context, lease describer.LeaseID) error {
	value, err := json.Marshal(elector.options.Self)
	if err != nil {
		return errors.Wrap(err, "encode member")
	}
	_, err = elector.options.Store.Commit(ctx, describer.Change{
		Writes: []describer.Write{{
			Key:   MemberPrefix + elector.options.Self.Instance,
			Value: value,
			Lease: lease,
		}},
	})
	return err
}

// restoreMember writes the member key again after another writer has overwritten it.
func (elector *Elector) restoreMember(ctx context.Context) {
	elector.mutex.Lock()
	lease := elector.lease
	// The write must not delay a renewal that is due.
	restored := elector.ownEntryLost && lease != 0 && time.Since(elector.lastRenewal) < renewInterval
	elector.ownEntryLost = elector.ownEntryLost && !restored
	elector.mutex.Unlock()
	if !restored {
		return
	}
	writeCtx, cancel := context.WithTimeout(ctx, renewInterval)
	defer cancel()
	if err := elector.writeMember(writeCtx, lease); err != nil {
		// The member key was not written and is tried again after the next renewal.
		elector.reportEvent("restore member key", 0, err)
		elector.mutex.Lock()
		elector.ownEntryLost = true
		elector.mutex.Unlock()
	}
}
