package elector

import (
	"context"
	"maps"
	"strings"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/watcher"
)

// watchMembers keeps the view up to date.
func (elector *Elector) watchMembers(ctx context.Context) {
	prefixWatcher := &watcher.Watcher{
		Store:  elector.options.Store,
		Prefix: Prefix,
		Snapshot: func(items []describer.Item) {
			elector.updateView(items, true)
		},
		Change: func(items []describer.Item) {
			elector.updateView(items, false)
		},
		OnStoreCall: elector.noteWatchCall,
	}
	// Run only fails when ctx is cancelled.
	_ = prefixWatcher.Run(ctx)
}

// updateView applies a snapshot of the leader and member keys, or changes to them.
func (elector *Elector) updateView(items []describer.Item, snapshot bool) {
	unreadable := map[string]error{}
	elector.mutex.Lock()
	view := View{
		Members: map[string]Member{},
	}
	if !snapshot {
		view.Leader, view.Fence, view.unreadableLeader = elector.view.Leader, elector.view.Fence, elector.view.unreadableLeader
		maps.Copy(view.Members, elector.view.Members)
	}
	for _, item := range items {
		if err := view.apply(item); err != nil {
			unreadable[item.Key] = err
			elector.ownEntryLost = elector.ownEntryLost || item.Key == MemberPrefix+elector.options.Self.Instance
		}
	}
	elector.view = view
	replaced := elector.cancelTerm != nil && max(view.Fence, describer.Fence(view.unreadableLeader)) > elector.fence
	elector.mutex.Unlock()
	for key, err := range unreadable {
		if elector.options.OnEntryUnreadable != nil {
			elector.options.OnEntryUnreadable("member", key, err)
		}
	}
	if replaced {
		elector.stepDown("another instance became leader")
	}
	if elector.options.OnViewChange != nil {
		elector.options.OnViewChange(view)
	}
	elector.wakeCampaign()
}

// apply applies one leader or member entry. It returns an error if the entry cannot be read. A member whose entry cannot
// be read stays in the view, since the instance is still there.
func (view *View) apply(item describer.Item) error {
	name, isMember := strings.CutPrefix(item.Key, MemberPrefix)
	if item.Key != LeaderKey && !isMember {
		// The key is of a later version.
		return nil
	}
	if item.Deleted {
		if isMember {
			delete(view.Members, name)
		} else {
			view.Leader, view.Fence, view.unreadableLeader = nil, 0, 0
		}
		return nil
	}
	member, err := parseMember(item)
	switch {
	case err == nil && isMember:
		view.Members[name] = member
	case err == nil:
		view.Leader, view.Fence, view.unreadableLeader = &member, describer.Fence(item.Revision), 0
	case !isMember && describer.Fence(item.Revision) > view.Fence:
		// An earlier entry that arrives late does not count beside the own later one.
		view.Leader, view.Fence, view.unreadableLeader = nil, 0, item.Revision
	}
	return err
}
