// Package leader executes the scheduler's decisions during one term of leadership. It restores the state that
// earlier leaders stored, watches jobs and workers, writes job records, and sends orders to workers.
package leader

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"pomelomoor/internal/cell/advisor"
	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/elector"
	"pomelomoor/internal/cell/persister"
	"pomelomoor/internal/cell/scheduler"
	"pomelomoor/internal/cell/watcher"
	"pomelomoor/internal/cell/withdrawer"
)

const (
	// minPassInterval is the minimum time between two placement passes, so that events are handled in batches.
	minPassInterval = 10 * time.Millisecond
	// passDelayFactor is the delay after a pass as a multiple of the pass duration. When many tasks wait and
	// passes are slow, it leaves CPU time for handling orders and answers.
	passDelayFactor = 4
	// maxPassDelay limits that delay. A pass that had to wait for the processor takes long by the clock, and must not make
	// the next one later still.
	maxPassDelay = 40 * time.Millisecond
	// maxPendingAge limits the age of the counts of pending jobs. Callers ask more often than it is worth counting.
	maxPendingAge = 250 * time.Millisecond
	// tickInterval is how often due times, expired leases and expired tickets are checked.
	tickInterval = 50 * time.Millisecond
	// inboxMinInterval is the minimum time between two watch calls on the inbox, so that submissions are handled in
	// batches. Instances also announce jobs to the leader directly, so few jobs are first seen through the inbox.
	inboxMinInterval = 100 * time.Millisecond
	// registryMinInterval is the minimum time between two watch calls on the worker registry, so that entries are
	// handled in batches.
	registryMinInterval = 100 * time.Millisecond
	// maxAnnouncementAge is the age of a job from which its announcement is ignored. One that an instance sends late, since it
	// stood still, may be of a job that has ended and whose record has expired.
	maxAnnouncementAge = time.Minute
	// maxOpenStarts and maxOpenStops limit the orders that wait for an answer, so that the answers do not wait for
	// processor time longer than the orders' timeout. A start that waits too long here is refused as late by its
	// worker. Stops have a limit of their own, since the members of a gang must not wait for each other.
	maxOpenStarts = 512
	maxOpenStops  = 256
)

// Options configures a leader.
type Options struct {
	Store     describer.Store
	Workers   describer.Workers
	Scheduler scheduler.Options
	// WorkerPrefix is the key prefix of the worker registry. ParseWorker decodes its entries.
	WorkerPrefix string
	ParseWorker  func(key string, document []byte) (*describer.Worker, error)
	// Config returns the current configuration.
	Config func() *describer.Config
	// RequestAdvice sends a request to the advice service through the given instance.
	RequestAdvice func(ctx context.Context, instance string, request scheduler.AdviceRequest) (describer.Advice, error)
	// OnWorkers, if set, is called with the number of workers after a change of the registry.
	OnWorkers func(count int)
	// Observer receives decisions and outcomes.
	Observer Observer
}

// Observer receives the events that are logged or counted.
type Observer interface {
	Decided(events []scheduler.Event)
	OrderAnswered(order string, task describer.TaskID, run int, worker describer.WorkerID, reason string, took time.Duration, err error)
	Recovered(fence describer.Fence, inboxItems, workers int, took time.Duration)
	EntryUnreadable(kind, key string, err error)
	RunStarted(queueTime time.Duration)
	WriteFailed(records int, err error)
	// Loaded reports what the leader did in the last second and what waits.
	Loaded(load LoadReport)
	// Contained reports a panic that ended only the handling of one item.
	Contained(item string, cause any)
}

// Leader leads the cell for one term.
type Leader struct {
	options    Options
	term       elector.Term
	cancelTerm context.CancelCauseFunc
	advisor    *advisor.Advisor

	mutex     sync.Mutex
	scheduler *scheduler.Scheduler
	records   *persister.Persister
	polling   map[describer.WorkerID]bool
	meter     loadMeter
	// pending holds the number of jobs that have not started, by queue, as of pendingAt.
	pending       map[string]int
	pendingAt     time.Time
	passRequested chan struct{}
	starts        startQueue
	// openStops has one element for each stop order that waits for an answer.
	openStops chan struct{}
	// raisingFence means that a newer fencing token is being requested.
	raisingFence atomic.Bool
}

// Errors that end a term.
var (
	errFenced  = errors.New("a worker has accepted a newer fencing token")
	errStalled = errors.New("no pass for several seconds")
)

// New returns the leader for term.
func New(options Options, term elector.Term) *Leader {
	leader := &Leader{
		options:       options,
		term:          term,
		polling:       map[describer.WorkerID]bool{},
		passRequested: make(chan struct{}, 1),
		openStops:     make(chan struct{}, maxOpenStops),
	}
	leader.advisor = advisor.New(leader.requestAdvice)
	return leader
}

// Run leads until ctx is cancelled or the term cannot continue.
func (leader *Leader) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	leader.cancelTerm = cancel
	records, inboxRevision, registryRevision, err := leader.load(ctx)
	if err != nil {
		return errors.Wrap(err, "load the state of the cell")
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return errors.Wrap(records.Run(ctx), "write records")
	})
	group.Go(func() error {
		return leader.watch(ctx, persister.InboxPrefix, inboxRevision, inboxMinInterval, leader.handleInbox)
	})
	group.Go(func() error {
		return leader.watch(ctx, leader.options.WorkerPrefix, registryRevision, registryMinInterval, leader.handleRegistry)
	})
	group.Go(func() error {
		return leader.runPasses(ctx)
	})
	group.Go(func() error {
		return leader.reportLoad(ctx)
	})
	group.Go(func() error {
		sweeper := &withdrawer.Sweeper{
			Store:      leader.options.Store,
			Leadership: leader.term.LeaderKey,
			OnFailure: func(err error) {
				leader.options.Observer.EntryUnreadable("withdrawals", withdrawer.Prefix, err)
			},
		}
		return errors.Wrap(sweeper.Run(ctx), "remove old withdrawals")
	})
	err = group.Wait()
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		return cause
	}
	return err
}

// load restores the scheduler from the records, the inbox and the worker registry. It returns the revisions
// from which the inbox and the registry are to be watched.
func (leader *Leader) load(ctx context.Context) (records *persister.Persister, inboxRevision, registryRevision describer.Revision, err error) {
	startTime := time.Now()
	var recordItems, inboxItems, workerItems []describer.Item
	group, listCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		var err error
		recordItems, _, err = leader.listByID(listCtx, persister.RecordPrefix)
		return err
	})
	group.Go(func() error {
		var err error
		inboxItems, inboxRevision, err = leader.listInbox(listCtx)
		return err
	})
	group.Go(func() error {
		var err error
		workerItems, registryRevision, err = leader.list(listCtx, leader.options.WorkerPrefix)
		return err
	})
	if err := group.Wait(); err != nil {
		return nil, 0, 0, err
	}
	leader.mutex.Lock()
	defer leader.mutex.Unlock()
	now := time.Now()
	options := leader.options.Scheduler
	options.Takeover = now
	options.Fence = leader.term.Fence
	leader.scheduler = scheduler.New(options, leader.options.Config())
	records = persister.New(leader.options.Store, &recordSource{
		leader: leader,
	}, leader.term.LeaderKey)
	records.OnWriteFailed = leader.options.Observer.WriteFailed
	leader.records = records
	leader.restore(now, records, recordItems, inboxItems)
	leader.replaceWorkers(ctx, now, workerItems)
	leader.handleCancellations(now, inboxItems)
	leader.options.Observer.Recovered(leader.term.Fence, len(inboxItems), len(workerItems), time.Since(startTime))
	return records, inboxRevision, registryRevision, nil
}

// restore passes the jobs and their stored records to the scheduler.
func (leader *Leader) restore(now time.Time, records *persister.Persister, recordItems, inboxItems []describer.Item) {
	stored := make(map[describer.JobID]describer.Item, len(recordItems))
	for _, item := range recordItems {
		id := describer.JobID(strings.TrimPrefix(item.Key, persister.RecordPrefix))
		stored[id] = item
		records.SetRevision(id, item.Revision)
	}
	for _, item := range inboxItems {
		job := leader.parseJob(item)
		if job == nil {
			continue
		}
		record := stored[job.ID]
		delete(stored, job.ID)
		leader.restoreJob(now, job.ID, job, item.Key, record.Value)
	}
	for id, item := range stored {
		leader.restoreJob(now, id, nil, item.Key, item.Value)
	}
}

// restoreJob passes one job and its stored record to the scheduler. A job that cannot be restored is left out, so that
// it does not end each term in turn. Its record stays as it is.
func (leader *Leader) restoreJob(now time.Time, id describer.JobID, job *describer.Job, key string, record []byte) {
	restored := false
	leader.contain(key, func() {
		err := leader.scheduler.Restore(now, id, job, record)
		if err != nil {
			leader.options.Observer.EntryUnreadable("record", key, err)
		}
		restored = err == nil
	})
	if !restored {
		leader.scheduler.SetAside(id)
	}
}

// add passes a submitted job to the scheduler.
func (leader *Leader) add(now time.Time, job *describer.Job) {
	leader.contain("job "+string(job.ID), func() {
		leader.scheduler.Add(now, job)
	})
}

// parseJob decodes the job of an inbox item, which may come from another writer. It returns nil if the item is not a job
// or cannot be one.
func (leader *Leader) parseJob(item describer.Item) *describer.Job {
	if item.Deleted || !strings.HasPrefix(item.Key, persister.JobPrefix) {
		return nil
	}
	job := &describer.Job{}
	err := json.Unmarshal(item.Value, job)
	if name := strings.TrimPrefix(item.Key, persister.JobPrefix); err == nil && name != "" && name != string(job.ID) {
		err = errors.Errorf("entry holds the job %.32q", string(job.ID))
	}
	if err == nil {
		err = errors.Join(job.ID.CheckID(), job.Check())
	}
	if err != nil {
		leader.options.Observer.EntryUnreadable("job", item.Key, err)
		return nil
	}
	return job
}

// Announce adds a job that an instance has stored, or cancels the job whose cancellation it has stored.
// It returns false while the state of the cell is being loaded; the job or cancellation is then read from
// the inbox, as is a job that is announced late.
func (leader *Leader) Announce(job []byte, cancelled describer.JobID) bool {
	now := time.Now()
	leader.mutex.Lock()
	defer leader.mutex.Unlock()
	if leader.scheduler == nil {
		return false
	}
	leader.meter.load.Updates++
	if cancelled != "" {
		leader.contain("cancellation of "+string(cancelled), func() {
			leader.scheduler.Cancel(now, cancelled)
		})
	} else if description := leader.parseJob(describer.Item{
		Key:   persister.JobPrefix,
		Value: job,
	}); description != nil && now.Sub(description.Submitted) < maxAnnouncementAge {
		leader.add(now, description)
	}
	leader.requestPass()
	return true
}

// handleCancellations cancels the jobs that have a cancellation among items.
func (leader *Leader) handleCancellations(now time.Time, items []describer.Item) {
	for _, item := range items {
		if !item.Deleted && strings.HasPrefix(item.Key, persister.CancelPrefix) {
			leader.contain(item.Key, func() {
				leader.scheduler.Cancel(now, describer.JobID(strings.TrimPrefix(item.Key, persister.CancelPrefix)))
			})
		}
	}
}

// watch passes the changes under prefix since revision after to handle. When the store no longer has the
// history, it passes a snapshot of all items and continues from there.
func (leader *Leader) watch(ctx context.Context, prefix string, after describer.Revision, minInterval time.Duration,
	handle func(ctx context.Context, items []describer.Item, snapshot bool),
) error {
	prefixWatcher := &watcher.Watcher{
		Store:       leader.options.Store,
		Prefix:      prefix,
		MinInterval: minInterval,
		Snapshot: func(items []describer.Item) {
			handle(ctx, items, true)
		},
		Change: func(items []describer.Item) {
			handle(ctx, items, false)
		},
	}
	prefixWatcher.Follow(ctx, after)
	return prefixWatcher.Run(ctx)
}

// handleInbox adds new jobs and applies cancellations.
func (leader *Leader) handleInbox(_ context.Context, items []describer.Item, _ bool) {
	now := time.Now()
	leader.mutex.Lock()
	defer leader.mutex.Unlock()
	for _, item := range items {
		if job := leader.parseJob(item); job != nil {
			leader.add(now, job)
		}
	}
	leader.handleCancellations(now, items)
	leader.requestPass()
}

// SetInstances sets the instances through which advice can be requested.
func (leader *Leader) SetInstances(ctx context.Context, names []string) {
	leader.advisor.SetInstances(ctx, names)
}

// SetConfig replaces the configuration.
func (leader *Leader) SetConfig(config *describer.Config) {
	leader.mutex.Lock()
	defer leader.mutex.Unlock()
	if leader.scheduler != nil {
		leader.scheduler.SetConfig(config)
		leader.requestPass()
	}
}

// State returns the status of a job. It returns false while the state of the cell is being loaded.
func (leader *Leader) State(id describer.JobID) (describer.JobStatus, bool) {
	leader.mutex.Lock()
	defer leader.mutex.Unlock()
	if leader.scheduler == nil {
		return describer.JobStatus{}, false
	}
	leader.meter.load.Queries++
	return describer.JobStatus{
		State:        leader.scheduler.State(id),
		Organisation: leader.scheduler.Organisation(id),
	}, true
}

// Pending returns the number of jobs in a queue that have not started. It returns false while the state of
// the cell is being loaded.
func (leader *Leader) Pending(queue string) (int, bool) {
	leader.mutex.Lock()
	defer leader.mutex.Unlock()
	if leader.scheduler == nil {
		return 0, false
	}
	leader.meter.load.Queries++
	if now := time.Now(); leader.pending == nil || now.Sub(leader.pendingAt) > maxPendingAge {
		leader.pending, leader.pendingAt = leader.scheduler.Pending(), now
	}
	return leader.pending[queue], true
}

// requestPass requests a placement pass and a write of changed records.
func (leader *Leader) requestPass() {
	select {
	case leader.passRequested <- struct{}{}:
	default:
	}
	leader.records.Wake()
}

// runPasses runs a placement pass after each event and at each tick.
func (leader *Leader) runPasses(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			leader.mutex.Lock()
			leader.contain("tick", func() {
				leader.scheduler.Tick(time.Now())
			})
			leader.mutex.Unlock()
		case <-leader.passRequested:
		}
		room := leader.advisor.Room()
		leader.mutex.Lock()
		leader.scheduler.SetAdviceRoom(room)
		passStart := time.Now()
		leader.contain("pass", func() {
			leader.scheduler.Pass(passStart)
		})
		took := time.Since(passStart)
		leader.meter.notePass(passStart, took)
		effects := leader.scheduler.TakeEffects()
		leader.mutex.Unlock()
		leader.records.Wake()
		leader.applyEffects(ctx, effects)
		watcher.Sleep(ctx, min(max(minPassInterval, passDelayFactor*took), maxPassDelay))
	}
}

// applyEffects sends the orders, polls and advice requests of a pass.
func (leader *Leader) applyEffects(ctx context.Context, effects scheduler.Effects) {
	leader.options.Observer.Decided(effects.Events)
	leader.startRuns(ctx, effects.Starts)
	for _, stop := range effects.Stops {
		go leader.stopRun(ctx, stop)
	}
	for _, id := range effects.Polls {
		go leader.pollOnce(ctx, id)
	}
	if effects.RaiseFence && leader.raisingFence.CompareAndSwap(false, true) {
		go leader.raiseFence(ctx)
	}
	if len(effects.Advice) > 0 {
		leader.advisor.Add(ctx, effects.Advice)
	}
}

// requestAdvice requests advice through an instance. The function that it returns passes the answer to the scheduler.
func (leader *Leader) requestAdvice(ctx context.Context, instance string, request scheduler.AdviceRequest) (deliver func(), err error) {
	answer, err := leader.options.RequestAdvice(ctx, instance, request)
	return func() {
		leader.update("advice for "+request.Step.String(), func(now time.Time) {
			leader.scheduler.AdviceAnswered(now, request.Step, request.Workers, answer, err)
		})
	}, err
}

// recordSource exposes the scheduler's records to the persister. It implements persister.Source.
type recordSource struct {
	leader *Leader
}

func (recordSource *recordSource) Dirty() []describer.JobID {
	recordSource.leader.mutex.Lock()
	defer recordSource.leader.mutex.Unlock()
	return recordSource.leader.scheduler.Dirty()
}

func (recordSource *recordSource) Encode(id describer.JobID) ([]byte, int64, bool, error) {
	recordSource.leader.mutex.Lock()
	defer recordSource.leader.mutex.Unlock()
	return recordSource.leader.scheduler.Encode(id)
}

func (recordSource *recordSource) Committed(revision describer.Revision) {
	recordSource.leader.mutex.Lock()
	defer recordSource.leader.mutex.Unlock()
	recordSource.leader.scheduler.SetFence(describer.Fence(revision))
}

func (recordSource *recordSource) RecordStored(id describer.JobID, generation int64) {
	recordSource.leader.update("record of "+string(id), func(now time.Time) {
		recordSource.leader.scheduler.RecordStored(now, id, generation)
	})
}
