// Package refresher keeps the operators' configuration of an instance, and knows how fresh it is: when, and through
// which call, the store last confirmed that it is the newest one. A watch brings changes at once. It is not relied on:
// the configuration is checked in the store several times within the time in which a change has to be in force, through
// other instances if need be, and before a decision if no check has confirmed it lately.
package refresher

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/watcher"
)

const (
	// reportInterval is how often the freshness is reported.
	reportInterval = 250 * time.Millisecond
	// defaultApplyTime is the time in which a configuration has to be in force if the settings do not tell it.
	defaultApplyTime = 3 * time.Second
	// checkDivisor and maxAgeDivisor are the parts of the apply time after which the configuration is checked, and after
	// which it no longer counts as confirmed. Between them a check has time for a second way to the store.
	checkDivisor  = 3
	maxAgeDivisor = 2
	// watchWait is how long one call of the watch waits for a change. Checks bring a change that a silent call does not.
	watchWait = 5 * time.Second
	// maxCheckWait is how long a decision waits for a check.
	maxCheckWait = 700 * time.Millisecond
)

// Call is the kind of store call that confirmed a configuration.
type Call string

// The calls that confirm a configuration: the list and the events of the watch, and checks, directly or through another
// instance.
const (
	CallList         Call = "List"
	CallWatch        Call = "Watch"
	CallCheck        Call = "Check"
	CallRelayedCheck Call = "RelayedCheck"
)

// Freshness tells how up to date the configuration of an instance is known to be.
type Freshness struct {
	// Version is that of the configuration in force.
	Version int64
	// Age is the time since the store last confirmed the configuration, through Call. It is 0 without a configuration.
	Age  time.Duration
	Call Call
	// WatchAge is the time since the store last answered the watch of the configuration.
	WatchAge time.Duration
}

// Observer receives what is logged and measured.
type Observer interface {
	// Config is called with each configuration that comes into force, and the freshness of the one before.
	Config(config *describer.Config, call Call, before Freshness)
	// ConfigFreshness is called several times a second. overdue means that the configuration no longer counts as confirmed.
	ConfigFreshness(freshness Freshness, overdue bool)
	// ConfigChecked is called after each check.
	ConfigChecked(call Call, changed bool, err error)
	EntryUnreadable(kind, key string, err error)
}

// Options are the dependencies of a Refresher.
type Options struct {
	Store describer.Store
	// Commit makes a change by the fastest way to the store. relayed means that another instance was that way.
	Commit func(ctx context.Context, change describer.Change) (relayed bool, err error)
	// Key holds the configuration, and Parse decodes it.
	Key   string
	Parse func(document []byte) (*describer.Config, error)
	// ApplyTime returns the time in which a configuration has to be in force everywhere; 0 means the default.
	ApplyTime func() time.Duration
	// OnConfig, if set, is called with each configuration that comes into force, in the order of revisions.
	OnConfig func(config *describer.Config)
	// OnStoreCall, if set, is called with the outcome of each call of the watch.
	OnStoreCall func(err error)
	Observer    Observer
}

// Refresher holds the configuration in force. It is safe for concurrent use.
type Refresher struct {
	options Options
	wake    chan struct{}
	checks  singleflight.Group

	// applying is held while a configuration comes into force, so that OnConfig is called in the order of revisions.
	applying sync.Mutex

	mutex  sync.Mutex
	config *describer.Config
	// revision is that of the key as last seen, also if its configuration cannot be read; 0 if the key did not exist.
	revision describer.Revision
	// newest is the highest revision that was seen. An answer with an older one changes nothing.
	newest describer.Revision
	// confirmedAt is when the call was sent whose answer last confirmed revision.
	confirmedAt time.Time
	confirmedBy Call
	// watchedAt is when the store last answered the watch.
	watchedAt time.Time
	// checkedAt is when the last check was sent that has ended.
	checkedAt time.Time
	// failedAt is when a check ended without an answer from the store; zero if the store has answered since.
	failedAt time.Time
}

// New returns a Refresher that has no configuration yet.
func New(options Options) *Refresher {
	return &Refresher{
		options: options,
		wake:    make(chan struct{}, 1),
	}
}

// Config returns the configuration in force, nil before the first one.
func (refresher *Refresher) Config() *describer.Config {
	refresher.mutex.Lock()
	defer refresher.mutex.Unlock()
	return refresher.config
}

// Freshness returns how up to date the configuration in force is known to be.
func (refresher *Refresher) Freshness() Freshness {
	refresher.mutex.Lock()
	defer refresher.mutex.Unlock()
	if refresher.config == nil {
		return Freshness{}
	}
	return Freshness{
		Version:  refresher.config.Version,
		Age:      age(refresher.confirmedAt),
		Call:     refresher.confirmedBy,
		WatchAge: age(refresher.watchedAt),
	}
}

// age returns the time since an earlier one. The steady clock stands still while a machine is suspended, and the time of
// day may be set back, so the larger difference counts.
func age(earlier time.Time) time.Duration {
	now := time.Now()
	return max(now.Sub(earlier), now.Round(0).Sub(earlier.Round(0)))
}

func (refresher *Refresher) applyTime() time.Duration {
	if refresher.options.ApplyTime != nil {
		if applyTime := refresher.options.ApplyTime(); applyTime > 0 {
			return applyTime
		}
	}
	return defaultApplyTime
}

// Confirmed reports whether the configuration in force was the newest one lately. If no check has confirmed it, the
// decision that depends on it waits for one, but not while checks fail: then it is known at once that there is no
// confirmation.
func (refresher *Refresher) Confirmed(ctx context.Context) bool {
	confirmed, failing := refresher.state()
	if confirmed || failing {
		return confirmed
	}
	ctx, cancel := context.WithTimeout(ctx, maxCheckWait)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-refresher.startCheck(ctx):
	}
	confirmed, _ = refresher.state()
	return confirmed
}

// state reports whether the configuration counts as confirmed, and whether checks fail. A failure that is older than the
// time until the next check tells nothing: the process has been paused since.
func (refresher *Refresher) state() (confirmed, failing bool) {
	maxAge := refresher.applyTime() / maxAgeDivisor
	maxFailureAge := refresher.applyTime()/checkDivisor + maxCheckWait
	refresher.mutex.Lock()
	defer refresher.mutex.Unlock()
	confirmed = refresher.config != nil && age(refresher.confirmedAt) <= maxAge
	failing = !refresher.failedAt.IsZero() && age(refresher.failedAt) <= maxFailureAge
	return confirmed, failing
}

// Wake makes the next check due now, for example because the store can be reached again.
func (refresher *Refresher) Wake() {
	select {
	case refresher.wake <- struct{}{}:
	default:
	}
}

// Run follows the configuration until ctx is cancelled.
func (refresher *Refresher) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return refresher.watch(ctx)
	})
	group.Go(func() error {
		return refresher.runChecks(ctx)
	})
	group.Go(func() error {
		return refresher.report(ctx)
	})
	return group.Wait()
}

// watch applies each change of the key as soon as the store tells it.
func (refresher *Refresher) watch(ctx context.Context) error {
	var sent time.Time
	observe := func(call Call) func(items []describer.Item) {
		return func(items []describer.Item) {
			for _, item := range items {
				refresher.observe(item, call, sent)
			}
		}
	}
	configWatcher := &watcher.Watcher{
		Store:    refresher.options.Store,
		Prefix:   refresher.options.Key,
		Wait:     watchWait,
		Snapshot: observe(CallList),
		Change:   observe(CallWatch),
		OnAnswer: func(callSent time.Time) {
			sent = callSent
			refresher.mutex.Lock()
			defer refresher.mutex.Unlock()
			refresher.watchedAt = time.Now()
		},
		OnStoreCall: refresher.options.OnStoreCall,
	}
	return configWatcher.Run(ctx)
}

// runChecks checks the configuration whenever nothing has confirmed it for the check interval.
func (refresher *Refresher) runChecks(ctx context.Context) error {
	for ctx.Err() == nil {
		interval := refresher.applyTime() / checkDivisor
		refresher.mutex.Lock()
		delay := interval - age(refresher.confirmedAt)
		if refresher.confirmedAt.Before(refresher.checkedAt) || delay > interval {
			// The last check did not confirm the configuration, or the time of day was set back.
			delay = interval
		}
		refresher.mutex.Unlock()
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-refresher.wake:
		}
		timer.Stop()
		select {
		case <-ctx.Done():
		case <-refresher.startCheck(ctx):
		}
	}
	return ctx.Err()
}

// startCheck starts a check, or joins the one that is under way. The returned channel delivers once it has ended.
func (refresher *Refresher) startCheck(ctx context.Context) <-chan singleflight.Result {
	return refresher.checks.DoChan("", func() (any, error) {
		// Others may wait for the check when the one who started it no longer does.
		refresher.check(context.WithoutCancel(ctx))
		return nil, nil
	})
}

// check asks the store whether the newest revision that was seen still is. The answer holds the configuration only if
// there is a newer one.
func (refresher *Refresher) check(ctx context.Context) {
	sent := time.Now()
	expected := refresher.Expectation()
	relayed, err := refresher.options.Commit(ctx, describer.Change{
		Expect: []describer.Expectation{expected},
	})
	call := CallCheck
	if relayed {
		call = CallRelayedCheck
	}
	var conflict *describer.ConflictError
	changed := errors.As(err, &conflict)
	switch {
	case changed:
		err = nil
		refresher.checkAnswered(expected, conflict, call, sent)
	case err == nil:
		refresher.confirm(expected.Revision, call, sent)
	}
	refresher.mutex.Lock()
	refresher.checkedAt = sent
	if err != nil {
		refresher.failedAt = time.Now()
	}
	refresher.mutex.Unlock()
	refresher.options.Observer.ConfigChecked(call, changed, err)
}

// checkAnswered takes the answer to a check that the key no longer is as expected.
func (refresher *Refresher) checkAnswered(expected describer.Expectation, conflict *describer.ConflictError, call Call, sent time.Time) {
	if conflict.Revision(expected.Key) == 0 {
		refresher.removed(expected.Revision, call, sent)
	}
	for _, item := range conflict.Items {
		refresher.observe(item, call, sent)
	}
}

// removed notes that the key, last seen with a revision, does not exist. The configuration stays in force.
func (refresher *Refresher) removed(last describer.Revision, call Call, sent time.Time) {
	refresher.mutex.Lock()
	if refresher.revision == last {
		refresher.revision = 0
	}
	refresher.mutex.Unlock()
	refresher.confirm(0, call, sent)
}

// report passes the freshness to the observer several times a second.
func (refresher *Refresher) report(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if freshness := refresher.Freshness(); freshness.Call != "" {
			confirmed, _ := refresher.state()
			refresher.options.Observer.ConfigFreshness(freshness, !confirmed)
		}
	}
}

// observe takes an entry that the store returned in the answer to a call. An answer that is older than one already seen
// changes nothing.
func (refresher *Refresher) observe(item describer.Item, call Call, sent time.Time) {
	if item.Key != refresher.options.Key || item.Deleted {
		// A check notices a removal.
		return
	}
	refresher.apply(item, call)
	refresher.confirm(item.Revision, call, sent)
}

// apply puts a configuration into force if it is later than the one in force. The order in the store decides and not the
// version, since no configuration would come into force after one with a version that is too high.
func (refresher *Refresher) apply(item describer.Item, call Call) {
	refresher.applying.Lock()
	defer refresher.applying.Unlock()
	refresher.mutex.Lock()
	newest := refresher.newest
	refresher.mutex.Unlock()
	if item.Revision <= newest {
		return
	}
	config, err := refresher.options.Parse(item.Value)
	if err != nil {
		refresher.options.Observer.EntryUnreadable("configuration", item.Key, err)
		refresher.setConfig(nil, item.Revision)
		return
	}
	config.Revision = item.Revision
	before := refresher.Freshness()
	refresher.setConfig(config, item.Revision)
	refresher.options.Observer.Config(config, call, before)
	if refresher.options.OnConfig != nil {
		refresher.options.OnConfig(config)
	}
}

// confirm notes that the store has answered that revision was the newest one when a call was sent.
func (refresher *Refresher) confirm(revision describer.Revision, call Call, sent time.Time) {
	refresher.mutex.Lock()
	defer refresher.mutex.Unlock()
	refresher.failedAt = time.Time{}
	if revision == refresher.revision && sent.After(refresher.confirmedAt) {
		refresher.confirmedAt, refresher.confirmedBy = sent, call
	}
}

// Expectation returns the expectation on the key that holds while nothing newer than what was seen is in the store.
func (refresher *Refresher) Expectation() describer.Expectation {
	refresher.mutex.Lock()
	defer refresher.mutex.Unlock()
	return describer.Expectation{
		Key:      refresher.options.Key,
		Revision: refresher.revision,
	}
}

// setConfig notes a revision of the key and its configuration. Without one, the configuration before stays in force.
func (refresher *Refresher) setConfig(config *describer.Config, revision describer.Revision) {
	refresher.mutex.Lock()
	defer refresher.mutex.Unlock()
	refresher.revision, refresher.newest = revision, revision
	if config != nil {
		refresher.config = config
	}
}
