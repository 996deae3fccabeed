// Package elector keeps an instance's lease in the store, its entry among the members, and elects the
// leader of the cell: the instance that created the leader key under its lease.
package elector

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/watcher"
)

// Keys of the members in the store.
const (
	// Prefix holds the leader and the members.
	Prefix = "cell/"
	// LeaderKey names the leader. Its revision is the fencing token of the term.
	LeaderKey = Prefix + "leader"
	// MemberPrefix holds one key for each instance.
	MemberPrefix = Prefix + "member/"
)

const (
	// leaseTTL is how long a member that does not renew is counted on. Nothing starts that long after the
	// loss of a leader. Source: the least time that the store grants.
	leaseTTL = time.Second
	// renewInterval and renewTimeout let a renewal fail, and each succeed while the store takes 60 times
	// its usual 4 ms to answer over the way between regions.
	renewInterval = leaseTTL / 4
	renewTimeout  = 400 * time.Millisecond
	// retryPause is the pause after a failed call.
	retryPause = 100 * time.Millisecond
	// MostSilence is how long a leader goes on without the store. Running work outlasts an outage of this time
	// and one lease of the workers; a new leader has to wait as long for workers that it cannot reach.
	MostSilence = 8 * time.Second
	// farDelay is by how much a candidate waits for each millisecond to the store.
	farDelay = 3
	// mostFarDelay bounds that delay.
	mostFarDelay = 250 * time.Millisecond
	// amplePower is the share of a core from which on a candidate does not wait.
	amplePower = 0.8
	// weakDelay is how long a candidate without any processor share would wait.
	weakDelay = 250 * time.Millisecond
	// spreadDelay spreads candidates that are alike.
	spreadDelay = 30 * time.Millisecond
)

// Member is the entry of an instance.
type Member struct {
	Instance string
	// Incarnation is drawn anew at each start of the process.
	Incarnation string
	Address     netip.AddrPort
	DataCentre  string
}

// Term is one instance's leadership.
type Term struct {
	Fence describer.Fence
	// Key is the expectation that holds as long as the term lasts.
	Key describer.Expectation
	// Began is when the term began.
	Began time.Time
}

// View is what is known of the members.
type View struct {
	Leader *Member
	// Fence is the token of the leader's term, 0 without a leader.
	Fence   describer.Fence
	Members map[string]Member
}

// Options describe an elector.
type Options struct {
	Store describer.Store
	Self  Member
	// CPUShare is the instance's share of a core; stronger instances are preferred as leader.
	CPUShare float64
	// Lead serves as the leader until ctx ends or the term cannot go on.
	Lead func(ctx context.Context, term Term) error
	// Changed is told of each new view.
	Changed func(view View)
	// Contact is told of each answer and failure of the store.
	Contact func(err error)
	// Observe is told of changes of the instance's own lease and leadership.
	Observe func(event string, fence describer.Fence, err error)
}

// Elector takes part in the election of the leader.
type Elector struct {
	options Options

	mutex sync.Mutex
	view  View
	// lease is the instance's lease, 0 while it has none.
	lease describer.LeaseID
	// distance is the least time that the store took to answer.
	distance time.Duration
	// renewed is when the last renewal that succeeded was sent.
	renewed time.Time
	// endTerm ends the present term.
	endTerm context.CancelFunc
	fence   describer.Fence
	wake    chan struct{}
}

// New returns an elector.
func New(options Options) *Elector {
	return &Elector{
		options: options,
		view: View{
			Members: map[string]Member{},
		},
		wake: make(chan struct{}, 1),
	}
}

// View returns what is known of the members.
func (elector *Elector) View() View {
	elector.mutex.Lock()
	defer elector.mutex.Unlock()
	return elector.view
}

// Run takes part in elections until ctx ends, and then gives up the lease.
func (elector *Elector) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() {
		elector.follow(ctx)
	})
	group.Go(func() {
		elector.campaign(ctx)
	})
	elector.keepLease(ctx)
	group.Wait()
	elector.resign()
	return ctx.Err()
}

// resign removes the keys of the instance, so that another one leads at once.
func (elector *Elector) resign() {
	lease := elector.leaseID()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaseTTL)
	defer cancel()
	if err := elector.options.Store.Revoke(ctx, lease); err != nil {
		elector.observe("resign", 0, err)
	}
}

func (elector *Elector) leaseID() describer.LeaseID {
	elector.mutex.Lock()
	defer elector.mutex.Unlock()
	return elector.lease
}

func (elector *Elector) observe(event string, fence describer.Fence, err error) {
	if elector.options.Observe != nil {
		elector.options.Observe(event, fence, err)
	}
}

func (elector *Elector) signal() {
	select {
	case elector.wake <- struct{}{}:
	default:
	}
}

// keepLease holds a lease and the member's key.
func (elector *Elector) keepLease(ctx context.Context) {
	for ctx.Err() == nil {
		if elector.leaseID() == 0 {
			if err := elector.join(ctx); err != nil {
				elector.checkSilence()
				watcher.Pause(ctx, retryPause)
				continue
			}
		}
		watcher.Pause(ctx, renewInterval)
		elector.renew(ctx)
	}
}

func (elector *Elector) join(ctx context.Context) error {
	began := time.Now()
	lease, _, err := elector.options.Store.Grant(ctx, leaseTTL)
	elector.contact(ctx, err)
	if err != nil {
		return err
	}
	elector.measure(time.Since(began))
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
	if err != nil {
		return err
	}
	elector.mutex.Lock()
	elector.lease = lease
	elector.renewed = began
	elector.mutex.Unlock()
	elector.observe("lease granted", 0, nil)
	elector.signal()
	return nil
}

func (elector *Elector) contact(ctx context.Context, err error) {
	if elector.options.Contact != nil && ctx.Err() == nil {
		elector.options.Contact(err)
	}
}

func (elector *Elector) measure(took time.Duration) {
	elector.mutex.Lock()
	defer elector.mutex.Unlock()
	if elector.distance == 0 || took < elector.distance {
		elector.distance = took
	}
}

func (elector *Elector) renew(ctx context.Context) {
	sent := time.Now()
	call, cancel := context.WithTimeout(ctx, renewTimeout)
	_, err := elector.options.Store.Renew(call, elector.leaseID())
	cancel()
	elector.contact(ctx, err)
	switch {
	case err == nil:
		elector.measure(time.Since(sent))
		elector.mutex.Lock()
		elector.renewed = sent
		elector.mutex.Unlock()
	case errors.Is(err, describer.ErrNotFound):
		elector.observe("lease ended", 0, err)
		elector.mutex.Lock()
		elector.lease = 0
		elector.mutex.Unlock()
		elector.stepDown("lease ended")
	default:
		elector.checkSilence()
	}
}

// checkSilence ends a term that went on without the store for too long.
func (elector *Elector) checkSilence() {
	elector.mutex.Lock()
	silent := time.Since(elector.renewed) > MostSilence
	elector.mutex.Unlock()
	if silent {
		elector.stepDown("store is out of reach")
	}
}

func (elector *Elector) stepDown(reason string) {
	elector.mutex.Lock()
	end := elector.endTerm
	fence := elector.fence
	elector.endTerm = nil
	elector.mutex.Unlock()
	if end != nil {
		elector.observe("term ends: "+reason, fence, nil)
		end()
	}
}

// follow keeps the view.
func (elector *Elector) follow(ctx context.Context) {
	watch := &watcher.Watcher{
		Store:  elector.options.Store,
		Prefix: Prefix,
		Snapshot: func(items []describer.Item) {
			elector.update(items, true)
		},
		Change: func(items []describer.Item) {
			elector.update(items, false)
		},
		Contact: elector.options.Contact,
	}
	// The watch ends with ctx only.
	_ = watch.Run(ctx)
}

// update takes a snapshot of the members or changes of it.
func (elector *Elector) update(items []describer.Item, whole bool) {
	elector.mutex.Lock()
	view := View{
		Leader:  elector.view.Leader,
		Fence:   elector.view.Fence,
		Members: map[string]Member{},
	}
	if whole {
		view.Leader, view.Fence = nil, 0
	} else {
		for name, member := range elector.view.Members {
			view.Members[name] = member
		}
	}
	for _, item := range items {
		var member Member
		if !item.Gone && json.Unmarshal(item.Value, &member) != nil {
			continue
		}
		switch {
		case item.Key == LeaderKey && item.Gone:
			view.Leader, view.Fence = nil, 0
		case item.Key == LeaderKey:
			view.Leader, view.Fence = &member, describer.Fence(item.Revision)
		case item.Gone:
			delete(view.Members, item.Key[len(MemberPrefix):])
		default:
			view.Members[member.Instance] = member
		}
	}
	elector.view = view
	replaced := elector.endTerm != nil && view.Fence > elector.fence
	elector.mutex.Unlock()
	if replaced {
		elector.stepDown("another instance leads")
	}
	if elector.options.Changed != nil {
		elector.options.Changed(view)
	}
	elector.signal()
}

// campaign becomes the leader when there is none.
func (elector *Elector) campaign(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-elector.wake:
		}
		for ctx.Err() == nil && elector.opening().any() {
			watcher.Pause(ctx, elector.delay())
			// The view may have changed meanwhile.
			elector.take(ctx, elector.opening())
		}
	}
}

// opening is a chance to lead.
type opening struct {
	// vacant means that no instance leads; the leader key then has the revision expected.
	vacant   bool
	expected describer.Revision
	// own is the fence of a leader key that this process wrote by a call without an answer, else 0.
	own describer.Fence
}

func (opening opening) any() bool {
	return opening.vacant || opening.own > 0
}

// opening returns the chance that the present view gives.
func (elector *Elector) opening() opening {
	elector.mutex.Lock()
	defer elector.mutex.Unlock()
	view := elector.view
	switch {
	case elector.lease == 0:
		return opening{}
	case view.Leader == nil:
		return opening{
			vacant: true,
		}
	case elector.former(*view.Leader):
		return opening{
			vacant:   true,
			expected: describer.Revision(view.Fence),
		}
	case *view.Leader == elector.options.Self && view.Fence > elector.fence:
		return opening{
			own: view.Fence,
		}
	default:
		return opening{}
	}
}

// take uses a chance to lead.
func (elector *Elector) take(ctx context.Context, opening opening) {
	switch {
	case opening.own > 0:
		elector.lead(ctx, opening.own, time.Now())
	case opening.vacant:
		elector.stand(ctx, opening.expected)
	}
}

// former tells whether member is an earlier process of this instance, which has ended.
func (elector *Elector) former(member Member) bool {
	return member.Instance == elector.options.Self.Instance && member.Incarnation != elector.options.Self.Incarnation
}

// delay lets instances with a strong processor that are near the store come first.
func (elector *Elector) delay() time.Duration {
	elector.mutex.Lock()
	defer elector.mutex.Unlock()
	far := min(elector.distance*farDelay, mostFarDelay)
	weak := time.Duration(max(amplePower-elector.options.CPUShare, 0) * float64(weakDelay))
	return far + weak + rand.N(spreadDelay)
}

// stand tries to write the leader key over the expected revision, and leads if it could. If the answer is
// lost or another instance was faster, the watch will tell who leads.
func (elector *Elector) stand(ctx context.Context, expected describer.Revision) {
	value, err := json.Marshal(elector.options.Self)
	if err != nil {
		elector.observe("encode member", 0, err)
		return
	}
	began := time.Now()
	revision, err := elector.options.Store.Commit(ctx, describer.Change{
		Expect: []describer.Expectation{{
			Key:      LeaderKey,
			Revision: expected,
		}},
		Writes: []describer.Write{{
			Key:   LeaderKey,
			Value: value,
			Lease: elector.leaseID(),
		}},
	})
	elector.contact(ctx, err)
	if err != nil {
		elector.observe("campaign", 0, err)
		watcher.Pause(ctx, retryPause)
		return
	}
	elector.lead(ctx, describer.Fence(revision), began)
}

func (elector *Elector) lead(ctx context.Context, fence describer.Fence, began time.Time) {
	term, cancel := context.WithCancel(ctx)
	defer cancel()
	self := elector.options.Self
	elector.mutex.Lock()
	elector.endTerm = cancel
	elector.fence = fence
	elector.view.Leader = &self
	elector.view.Fence = fence
	view := elector.view
	elector.mutex.Unlock()
	if elector.options.Changed != nil {
		elector.options.Changed(view)
	}
	elector.observe("term begins", fence, nil)
	err := elector.options.Lead(term, Term{
		Fence: fence,
		Key: describer.Expectation{
			Key:      LeaderKey,
			Revision: describer.Revision(fence),
		},
		Began: began,
	})
	elector.observe("term ended", fence, err)
	elector.retire(ctx, fence)
}

// retire removes the leader key of a term that ended, if it is still there, so that the next one can begin.
func (elector *Elector) retire(ctx context.Context, fence describer.Fence) {
	elector.mutex.Lock()
	elector.endTerm = nil
	if elector.view.Fence == fence {
		elector.view.Leader, elector.view.Fence = nil, 0
	}
	elector.mutex.Unlock()
	for ctx.Err() == nil {
		_, err := elector.options.Store.Commit(ctx, describer.Change{
			Expect: []describer.Expectation{{
				Key:      LeaderKey,
				Revision: describer.Revision(fence),
			}},
			Remove: []string{LeaderKey},
		})
		var conflict *describer.ConflictError
		if err == nil || errors.As(err, &conflict) {
			break
		}
		watcher.Pause(ctx, retryPause)
	}
	elector.signal()
}
