// Package elector keeps an instance's lease and member key in the store, and elects the leader of the cell: the
// instance that holds the leader key under its own lease.
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
	// Prefix is the prefix of the leader key and the member keys.
	Prefix = "cell/"
	// LeaderKey holds the member that leads. Its revision is the fencing token of the term.
	LeaderKey = Prefix + "leader"
	// MemberPrefix is the prefix of the member keys, one for each instance.
	MemberPrefix = Prefix + "member/"
)

const (
	// leaseTTL is how long the store keeps the keys of an instance that stopped renewing its lease. After the loss of
	// a leader, no run starts for this long. It is the shortest TTL that the store grants.
	leaseTTL = time.Second
	// The instance pauses for renewInterval between renewals and gives up on one after renewTimeout. The time that a failed
	// one took is part of the pause, which is at least retryDelay. So the lease survives one failed renewal: the next one is
	// sent renewInterval + renewTimeout + retryDelay = 750 ms after the last successful one was answered. That leaves time
	// to open a connection across regions, since the old ones may be silent. renewTimeout lets a renewal succeed when the
	// store, reached across regions, takes 60 times its usual 4 ms to answer.
	renewInterval = leaseTTL / 4
	renewTimeout  = 400 * time.Millisecond
	// retryDelay is the delay before a failed call is repeated.
	retryDelay = 100 * time.Millisecond
	// maxStoreSilence is how long a leader continues without a successful renewal of its own lease. Runs survive a
	// store outage of this length plus one worker lease.
	maxStoreSilence = 8 * time.Second
	// confirmationValidity is how long a term counts as confirmed after a renewal, or after other instances have told
	// that the leader key still stands or that they cannot reach the store either.
	confirmationValidity = 1200 * time.Millisecond
	// peerTimeout limits the calls to other instances that confirm a term.
	peerTimeout = 400 * time.Millisecond
	// MaxInheritedRenewal is how long after the start of a term a former leader may still renew the leases of workers:
	// confirmationValidity, and the time after an outage in which other instances do not know yet that it is over.
	MaxInheritedRenewal = 2 * time.Second
	// latencyDelayFactor is the latency delay of a candidate as a multiple of the shortest response time of the store.
	// Before it claims the leadership, a candidate waits for the sum of this delay, the CPU delay and a random delay.
	latencyDelayFactor = 3
	// maxLatencyDelay bounds the latency delay.
	maxLatencyDelay = 250 * time.Millisecond
	// sufficientCPUCores is the number of cores from which a candidate has no CPU delay.
	sufficientCPUCores = 0.8
	// cpuDelay is the CPU delay for each core by which a candidate falls short of sufficientCPUCores.
	cpuDelay = 250 * time.Millisecond
	// largerMemberFactor is how many times as many cores another member has to have to be preferred as leader by an
	// instance that falls short of sufficientCPUCores.
	largerMemberFactor = 1.5
	// largerMemberDelay is the additional delay of a candidate while it knows of a larger member.
	largerMemberDelay = 700 * time.Millisecond
	// handOverDelay is how long a leader leads before it hands over to a larger member. The next time it leads for
	// repeatedHandOverDelay, in case that no larger member can take over.
	handOverDelay         = 3 * time.Second
	repeatedHandOverDelay = time.Minute
	// delayJitter bounds the random delay, which separates otherwise equal candidates.
	delayJitter = 30 * time.Millisecond
)

// Member is the entry of an instance in the store.
type Member struct {
	Instance string
	// Incarnation is a new random identifier for each start of the process.
	Incarnation string
	Address     netip.AddrPort
	DataCentre  string
	// CPUCores is the number of CPU cores that the instance may use, such as 0.5. An earlier version does not tell it.
	CPUCores float64 `json:",omitempty"`
}

// Term is one period of leadership of one instance.
type Term struct {
	Fence describer.Fence
	// LeaderKey is an expectation on the leader key that holds while the term lasts.
	LeaderKey describer.Expectation
	StartTime time.Time
	// IsConfirmed, if set, reports whether no other instance can have become the leader yet.
	IsConfirmed func() bool
}

// Confirmed reports whether the term is sure to be the newest, so that the leader may renew the leases of workers.
// A leader that is cut off from the store goes on, but must leave the leases to its successor.
func (term Term) Confirmed() bool {
	return term.IsConfirmed == nil || term.IsConfirmed()
}

// View is what an instance knows of the leader and the members.
type View struct {
	Leader *Member
	// Fence is the fencing token of the leader's term, or 0 without a leader.
	Fence   describer.Fence
	Members map[string]Member

	// unreadableLeader is the revision of a leader key that cannot be read, else 0. Such a key names no leader and may be
	// replaced.
	unreadableLeader describer.Revision
}

// Options configures an elector.
type Options struct {
	Store describer.Store
	Self  Member
	// RunLeader runs the leader until ctx is cancelled or the term cannot continue.
	RunLeader func(ctx context.Context, term Term) error
	// ReadThroughPeers, if set, reads a key of the store through other instances. It returns ErrNoEffect if one of them
	// answers that it cannot reach the store either.
	ReadThroughPeers func(ctx context.Context, key string) (describer.Item, error)
	// Commit, if set, makes a change by the fastest way to the store, also through other instances.
	Commit func(ctx context.Context, change describer.Change) (relayed bool, err error)
	// OnViewChange, if set, is called with each new view.
	OnViewChange func(view View)
	// OnStoreCall, if set, is called with the outcome of each call to the store.
	OnStoreCall func(err error)
	// OnEntryUnreadable, if set, is called with each leader or member entry that cannot be read.
	OnEntryUnreadable func(kind, key string, err error)
	// OnEvent, if set, is called on changes of the instance's own lease and leadership.
	OnEvent func(event string, fence describer.Fence, err error)
}

// Elector takes part in leader elections.
type Elector struct {
	options Options

	mutex sync.Mutex
	view  View
	// lease is the instance's lease, or 0 without one.
	lease describer.LeaseID
	// minStoreLatency is the shortest response time of the store so far.
	minStoreLatency time.Duration
	// lastRenewal is when the last successful renewal was sent.
	lastRenewal time.Time
	// lastConfirmation is when the call was sent whose answer last confirmed the current term.
	lastConfirmation time.Time
	// cancelTerm ends the current term; nil without one.
	cancelTerm context.CancelCauseFunc
	// termStart is when the current or last term began; handedOver means that the instance has handed over before.
	termStart  time.Time
	handedOver bool
	fence      describer.Fence
	wake       chan struct{}
	// resigned is closed by Resign.
	resigned   chan struct{}
	resignOnce sync.Once
	// ownEntryLost means that the member key of this instance cannot be read.
	ownEntryLost bool
	// watchedAt is when the watch of the members was last answered. watchFailed means that its last call was not.
	watchedAt   time.Time
	watchFailed bool
	// confirming means that other instances are asked whether the term lasts; confirmations are such questions.
	confirming    bool
	confirmations sync.WaitGroup
}

// New returns an elector with no lease.
func New(options Options) *Elector {
	return &Elector{
		options: options,
		view: View{
			Members: map[string]Member{},
		},
		wake:     make(chan struct{}, 1),
		resigned: make(chan struct{}),
	}
}

// View returns the current view.
func (elector *Elector) View() View {
	elector.mutex.Lock()
	defer elector.mutex.Unlock()
	return elector.view
}

func (elector *Elector) leaseID() describer.LeaseID {
	elector.mutex.Lock()
	defer elector.mutex.Unlock()
	return elector.lease
}

func (elector *Elector) reportEvent(event string, fence describer.Fence, err error) {
	if elector.options.OnEvent != nil {
		elector.options.OnEvent(event, fence, err)
	}
}

func (elector *Elector) wakeCampaign() {
	select {
	case elector.wake <- struct{}{}:
	default:
	}
}

// keepLease acquires the lease and the member key, and renews the lease. It starts over when the lease is lost.
func (elector *Elector) keepLease(ctx context.Context) {
	pause := renewInterval
	for ctx.Err() == nil {
		if elector.leaseID() == 0 {
			if err := elector.join(ctx); err != nil {
				elector.checkStoreSilence()
				watcher.Sleep(ctx, retryDelay)
				continue
			}
		}
		watcher.Sleep(ctx, pause)
		pause = renewInterval
		sent := time.Now()
		if !elector.renew(ctx) {
			pause = max(renewInterval-time.Since(sent), retryDelay)
		}
		elector.restoreMember(ctx)
	}
}

func (elector *Elector) reportStoreCall(ctx context.Context, err error) {
	if elector.options.OnStoreCall != nil && ctx.Err() == nil {
		elector.options.OnStoreCall(err)
	}
}

func (elector *Elector) recordLatency(took time.Duration) {
	elector.mutex.Lock()
	defer elector.mutex.Unlock()
	if elector.minStoreLatency == 0 || took < elector.minStoreLatency {
		elector.minStoreLatency = took
	}
}

// renew renews the lease once. It returns false if the store did not answer.
func (elector *Elector) renew(ctx context.Context) bool {
	sent := time.Now()
	renewCtx, cancel := context.WithTimeout(ctx, renewTimeout)
	_, err := elector.options.Store.Renew(renewCtx, elector.leaseID())
	cancel()
	elector.reportStoreCall(ctx, err)
	switch {
	case err == nil:
		elector.recordLatency(time.Since(sent))
		elector.mutex.Lock()
		elector.lastRenewal = sent
		elector.lastConfirmation = sent
		elector.mutex.Unlock()
		elector.handOver()
	case errors.Is(err, describer.ErrNotFound):
		// The store no longer has the lease, so the instance's keys are gone too.
		elector.reportEvent("lease ended", 0, err)
		elector.mutex.Lock()
		elector.lease = 0
		elector.mutex.Unlock()
		elector.stepDown("lease ended")
	default:
		elector.checkStoreSilence()
		elector.confirmThroughPeers(ctx)
		return false
	}
	return true
}

// checkStoreSilence ends the term once no lease renewal has succeeded for maxStoreSilence.
func (elector *Elector) checkStoreSilence() {
	elector.mutex.Lock()
	unreachable := time.Since(elector.lastRenewal) > maxStoreSilence
	elector.mutex.Unlock()
	if unreachable {
		elector.stepDown("no lease renewal succeeded within the limit")
	}
}

// stepDown ends the current term, if any.
func (elector *Elector) stepDown(reason string) {
	elector.mutex.Lock()
	cancel := elector.cancelTerm
	fence := elector.fence
	elector.cancelTerm = nil
	elector.mutex.Unlock()
	if cancel != nil {
		elector.reportEvent("term ends: "+reason, fence, nil)
		cancel(&termEndedError{
			reason: reason,
		})
	}
}

// campaign takes the leadership when no instance leads.
func (elector *Elector) campaign(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-elector.wake:
		}
		for ctx.Err() == nil && elector.currentClaim().possible() {
			watcher.Sleep(ctx, elector.candidateDelay())
			// The view may have changed during the delay.
			elector.claimLeadership(ctx, elector.currentClaim())
		}
	}
}

// claim is the way in which the instance can become the leader.
type claim struct {
	// vacant means that no live process leads. The leader key then has revision expected, 0 if there is none.
	vacant   bool
	expected describer.Revision
	// ownFence is the fencing token of a leader key that this process wrote in a call whose answer was lost, else 0.
	ownFence describer.Fence
}

// possible reports whether the instance can become the leader.
func (claim claim) possible() bool {
	return claim.vacant || claim.ownFence > 0
}

// currentClaim returns the claim that the current view allows.
func (elector *Elector) currentClaim() claim {
	elector.mutex.Lock()
	defer elector.mutex.Unlock()
	view := elector.view
	switch {
	case elector.lease == 0:
		return claim{}
	case view.Leader == nil:
		return claim{
			vacant:   true,
			expected: view.unreadableLeader,
		}
	case elector.previousIncarnation(*view.Leader):
		return claim{
			vacant:   true,
			expected: describer.Revision(view.Fence),
		}
	case *view.Leader == elector.options.Self && view.Fence > elector.fence:
		return claim{
			ownFence: view.Fence,
		}
	default:
		return claim{}
	}
}

// claimLeadership tries to become the leader by a claim.
func (elector *Elector) claimLeadership(ctx context.Context, claim claim) {
	switch {
	case claim.ownFence > 0:
		// The key was written in an earlier call, so only the last renewal of its lease confirms the term.
		elector.mutex.Lock()
		confirmed := elector.lastRenewal
		elector.mutex.Unlock()
		elector.lead(ctx, claim.ownFence, confirmed)
	case claim.vacant:
		elector.writeLeaderKey(ctx, claim.expected)
	}
}

// previousIncarnation reports whether member is an earlier process of this instance, which has ended.
func (elector *Elector) previousIncarnation(member Member) bool {
	return member.Instance == elector.options.Self.Instance && member.Incarnation != elector.options.Self.Incarnation
}

// candidateDelay returns how long to wait before claiming the leadership: the sum of the latency delay, the CPU delay
// and a random delay. Instances close to the store and with enough CPU wait the shortest.
func (elector *Elector) candidateDelay() time.Duration {
	elector.mutex.Lock()
	defer elector.mutex.Unlock()
	latencyDelay := min(elector.minStoreLatency*latencyDelayFactor, maxLatencyDelay)
	lowCPUDelay := time.Duration(max(sufficientCPUCores-elector.options.Self.CPUCores, 0) * float64(cpuDelay))
	if elector.largerMember() {
		lowCPUDelay += largerMemberDelay
	}
	return latencyDelay + lowCPUDelay + rand.N(delayJitter)
}

// writeLeaderKey writes the leader key over the expected revision and leads if that succeeds. If the answer is lost
// or another instance was faster, the watch reports who leads.
func (elector *Elector) writeLeaderKey(ctx context.Context, expected describer.Revision) {
	value, err := json.Marshal(elector.options.Self)
	if err != nil {
		// The value of the leader key could not be encoded, so it was not written.
		elector.reportEvent("encode member", 0, err)
		return
	}
	sent := time.Now()
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
	elector.reportStoreCall(ctx, err)
	if err != nil {
		// The leader key was not written, for example because another instance was faster, or the outcome is unknown.
		elector.reportEvent("campaign", 0, err)
		watcher.Sleep(ctx, retryDelay)
		return
	}
	elector.lead(ctx, describer.Fence(revision), sent)
}

// lead runs one term and then removes its leader key.
func (elector *Elector) lead(ctx context.Context, fence describer.Fence, termStart time.Time) {
	termCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	self := elector.options.Self
	elector.mutex.Lock()
	elector.cancelTerm = cancel
	elector.fence = fence
	elector.lastConfirmation = termStart
	elector.termStart = termStart
	elector.view.Leader = &self
	elector.view.Fence = fence
	elector.view.unreadableLeader = 0
	view := elector.view
	elector.mutex.Unlock()
	if elector.options.OnViewChange != nil {
		elector.options.OnViewChange(view)
	}
	// The instance holds the leader key. The observer matches the texts "term begins" and "term ended".
	elector.reportEvent("term begins", fence, nil)
	err := elector.options.RunLeader(termCtx, Term{
		Fence: fence,
		LeaderKey: describer.Expectation{
			Key:      LeaderKey,
			Revision: describer.Revision(fence),
		},
		StartTime:   termStart,
		IsConfirmed: elector.confirmed,
	})
	var ended *termEndedError
	if errors.As(context.Cause(termCtx), &ended) {
		err = ended
	}
	// The leader has returned, and its leader key is about to be removed.
	elector.reportEvent("term ended", fence, err)
	elector.removeLeaderKey(ctx, fence)
}

// removeLeaderKey removes the leader key of a finished term, if it still exists, so that the next term can begin.
func (elector *Elector) removeLeaderKey(ctx context.Context, fence describer.Fence) {
	elector.mutex.Lock()
	elector.cancelTerm = nil
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
		watcher.Sleep(ctx, retryDelay)
	}
	elector.wakeCampaign()
}
