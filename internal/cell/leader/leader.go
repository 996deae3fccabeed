// Package leader carries out the decisions of a planner for one term of leadership: it reads what earlier
// leaders decided, follows jobs and workers, writes records, and sends orders to the workers.
package leader

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"pomelomoor/internal/cell/advisor"
	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/elector"
	"pomelomoor/internal/cell/persister"
	"pomelomoor/internal/cell/planner"
	"pomelomoor/internal/cell/watcher"
)

const (
	// passInterval is the least time between two placement passes, so that events are handled together.
	passInterval = 10 * time.Millisecond
	// passPause is the pause after a pass in multiples of its time, so that passes over much waiting work
	// leave the processor to orders and answers.
	passPause = 4
	// tickInterval is how often due times, lapsed leases and tickets are looked at.
	tickInterval = 50 * time.Millisecond
	// inboxPace lets submissions come together. Instances also announce them, so that few come this way first.
	inboxPace = 100 * time.Millisecond
	// registryPace lets entries of workers come together.
	registryPace = 100 * time.Millisecond
	// listRetryPause is the pause after the store refused to list the state of the cell.
	listRetryPause = 100 * time.Millisecond
)

// Options describe a leader.
type Options struct {
	Store   describer.Store
	Workers describer.Workers
	Planner planner.Options
	// WorkerPrefix holds the registry, whose entries ParseWorker reads.
	WorkerPrefix string
	ParseWorker  func(key string, document []byte) (*describer.Worker, error)
	// Config returns the configuration in force.
	Config func() *describer.Config
	// Ask sends a question to the advice service by way of an instance.
	Ask func(ctx context.Context, instance string, request planner.AdviceRequest) (describer.Advice, error)
	// Journal is told of decisions.
	Journal Journal
}

// Journal takes what is worth a log line or a count.
type Journal interface {
	Decided(events []planner.Event)
	Ordered(order string, task describer.TaskID, run int, worker describer.WorkerID, reason string, took time.Duration, err error)
	Recovered(fence describer.Fence, jobs, workers int, took time.Duration)
	Faulty(what, key string, err error)
	Started(queueTime time.Duration)
	Wrote(records int, err error)
}

// Leader serves one term.
type Leader struct {
	options Options
	term    elector.Term
	end     context.CancelCauseFunc
	advisor *advisor.Advisor

	mutex   sync.Mutex
	planner *planner.Planner
	records *persister.Persister
	looking map[describer.WorkerID]bool
	passed  chan struct{}
}

// Errors that end a term.
var (
	errFenced = errors.New("a worker knows a newer leader")
)

// New returns the leader of a term.
func New(options Options, term elector.Term) *Leader {
	leader := &Leader{
		options: options,
		term:    term,
		looking: map[describer.WorkerID]bool{},
		passed:  make(chan struct{}, 1),
	}
	leader.advisor = advisor.New(leader.ask)
	return leader
}

// Run leads until ctx ends or the term cannot go on.
func (leader *Leader) Run(ctx context.Context) error {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	leader.end = end
	records, inbox, registry, err := leader.load(ctx)
	if err != nil {
		return errors.Wrap(err, "read the state of the cell")
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return errors.Wrap(records.Run(ctx), "write records")
	})
	group.Go(func() error {
		return leader.follow(ctx, persister.InboxPrefix, inbox, inboxPace, leader.takeInbox)
	})
	group.Go(func() error {
		return leader.follow(ctx, leader.options.WorkerPrefix, registry, registryPace, leader.takeRegistry)
	})
	group.Go(func() error {
		return leader.decide(ctx)
	})
	err = group.Wait()
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		return cause
	}
	return err
}

// load reads what earlier leaders and callers wrote.
func (leader *Leader) load(ctx context.Context) (records *persister.Persister, inbox, registry describer.Revision, err error) {
	began := time.Now()
	var recordItems, inboxItems, workerItems []describer.Item
	group, call := errgroup.WithContext(ctx)
	group.Go(func() error {
		var err error
		recordItems, _, err = leader.list(call, persister.RecordPrefix)
		return err
	})
	group.Go(func() error {
		var err error
		inboxItems, inbox, err = leader.list(call, persister.InboxPrefix)
		return err
	})
	group.Go(func() error {
		var err error
		workerItems, registry, err = leader.list(call, leader.options.WorkerPrefix)
		return err
	})
	if err := group.Wait(); err != nil {
		return nil, 0, 0, err
	}
	leader.mutex.Lock()
	defer leader.mutex.Unlock()
	now := time.Now()
	options := leader.options.Planner
	options.Takeover = now
	leader.planner = planner.New(options, leader.options.Config())
	records = persister.New(leader.options.Store, &source{
		leader: leader,
	}, leader.term.Key)
	records.Observe = leader.options.Journal.Wrote
	leader.records = records
	leader.restore(now, records, recordItems, inboxItems)
	leader.snapshotWorkers(ctx, now, workerItems)
	leader.takeCancels(now, inboxItems)
	leader.options.Journal.Recovered(leader.term.Fence, len(inboxItems), len(workerItems), time.Since(began))
	return records, inbox, registry, nil
}

// list reads a prefix and tries again while the store refuses.
func (leader *Leader) list(ctx context.Context, prefix string) ([]describer.Item, describer.Revision, error) {
	for {
		items, at, err := describer.ListAll(ctx, leader.options.Store, prefix)
		if err == nil || ctx.Err() != nil {
			return items, at, err
		}
		leader.options.Journal.Faulty("list", prefix, err)
		watcher.Pause(ctx, listRetryPause)
	}
}

// restore hands the planner the jobs with what earlier leaders decided on them.
func (leader *Leader) restore(now time.Time, records *persister.Persister, recordItems, inboxItems []describer.Item) {
	stored := make(map[describer.JobID]describer.Item, len(recordItems))
	for _, item := range recordItems {
		id := describer.JobID(strings.TrimPrefix(item.Key, persister.RecordPrefix))
		stored[id] = item
		records.Known(id, item.Revision)
	}
	for _, item := range inboxItems {
		job := leader.parseJob(item)
		if job == nil {
			continue
		}
		record := stored[job.ID]
		delete(stored, job.ID)
		if err := leader.planner.Restore(now, job.ID, job, record.Value); err != nil {
			leader.options.Journal.Faulty("record", item.Key, err)
		}
	}
	for id, item := range stored {
		if err := leader.planner.Restore(now, id, nil, item.Value); err != nil {
			leader.options.Journal.Faulty("record", item.Key, err)
		}
	}
}

// parseJob returns the job of an item of the inbox, or nil if the item is something else.
func (leader *Leader) parseJob(item describer.Item) *describer.Job {
	if item.Gone || !strings.HasPrefix(item.Key, persister.JobPrefix) {
		return nil
	}
	var job describer.Job
	if err := json.Unmarshal(item.Value, &job); err != nil {
		leader.options.Journal.Faulty("job", item.Key, err)
		return nil
	}
	return &job
}

// Announce takes a job that an instance stored, or the ID of a job whose cancellation it stored. It returns
// false before the state of the cell is read; the inbox then tells.
func (leader *Leader) Announce(job []byte, cancelled describer.JobID) bool {
	now := time.Now()
	leader.mutex.Lock()
	defer leader.mutex.Unlock()
	if leader.planner == nil {
		return false
	}
	if cancelled != "" {
		leader.planner.Cancel(now, cancelled)
	} else if description := leader.parseJob(describer.Item{
		Key:   persister.JobPrefix,
		Value: job,
	}); description != nil {
		leader.planner.Add(now, description)
	}
	leader.signal()
	return true
}

func (leader *Leader) takeCancels(now time.Time, items []describer.Item) {
	for _, item := range items {
		if !item.Gone && strings.HasPrefix(item.Key, persister.CancelPrefix) {
			leader.planner.Cancel(now, describer.JobID(strings.TrimPrefix(item.Key, persister.CancelPrefix)))
		}
	}
}

// follow hands on the changes under a prefix, after a revision at first, and all items again when the
// history is not available.
func (leader *Leader) follow(ctx context.Context, prefix string, after describer.Revision, pace time.Duration,
	take func(ctx context.Context, items []describer.Item, whole bool),
) error {
	watch := &watcher.Watcher{
		Store:  leader.options.Store,
		Prefix: prefix,
		Pace:   pace,
		Snapshot: func(items []describer.Item) {
			take(ctx, items, true)
		},
		Change: func(items []describer.Item) {
			take(ctx, items, false)
		},
	}
	watch.Follow(ctx, after)
	return watch.Run(ctx)
}

// takeInbox takes jobs and cancellations.
func (leader *Leader) takeInbox(_ context.Context, items []describer.Item, _ bool) {
	now := time.Now()
	leader.mutex.Lock()
	defer leader.mutex.Unlock()
	for _, item := range items {
		if job := leader.parseJob(item); job != nil {
			leader.planner.Add(now, job)
		}
	}
	leader.takeCancels(now, items)
	leader.signal()
}

// takeRegistry takes the entries of workers.
func (leader *Leader) takeRegistry(ctx context.Context, items []describer.Item, whole bool) {
	now := time.Now()
	leader.mutex.Lock()
	defer leader.mutex.Unlock()
	if whole {
		leader.snapshotWorkers(ctx, now, items)
		return
	}
	for _, item := range items {
		leader.takeWorker(ctx, now, item)
	}
	leader.signal()
}

func (leader *Leader) snapshotWorkers(ctx context.Context, now time.Time, items []describer.Item) {
	listed := make(map[describer.WorkerID]bool, len(items))
	for _, item := range items {
		listed[describer.WorkerID(strings.TrimPrefix(item.Key, leader.options.WorkerPrefix))] = true
		leader.takeWorker(ctx, now, item)
	}
	for _, known := range leader.planner.Reachable() {
		if !listed[known.ID] {
			leader.planner.RemoveWorker(known.ID)
		}
	}
	leader.signal()
}

// takeWorker takes one entry and begins to look at a new worker.
func (leader *Leader) takeWorker(ctx context.Context, now time.Time, item describer.Item) {
	id := describer.WorkerID(strings.TrimPrefix(item.Key, leader.options.WorkerPrefix))
	if item.Gone {
		leader.planner.RemoveWorker(id)
		return
	}
	worker, err := leader.options.ParseWorker(item.Key, item.Value)
	if err != nil {
		leader.options.Journal.Faulty("worker", item.Key, err)
		return
	}
	leader.planner.SetWorker(now, worker)
	if !leader.looking[id] {
		leader.looking[id] = true
		go leader.look(ctx, id)
	}
}

// SetInstances tells which instances can ask for advice.
func (leader *Leader) SetInstances(ctx context.Context, names []string) {
	leader.advisor.SetInstances(ctx, names)
}

// SetConfig puts a configuration in force.
func (leader *Leader) SetConfig(config *describer.Config) {
	leader.mutex.Lock()
	defer leader.mutex.Unlock()
	if leader.planner != nil {
		leader.planner.SetConfig(config)
		leader.signal()
	}
}

// State returns the state of a job, or false before the state of the cell is read.
func (leader *Leader) State(id describer.JobID) (describer.JobState, bool) {
	leader.mutex.Lock()
	defer leader.mutex.Unlock()
	if leader.planner == nil {
		return describer.JobUnknown, false
	}
	return leader.planner.State(id), true
}

// Pending returns the number of jobs of a queue that have not begun, or false before the state is read.
func (leader *Leader) Pending(queue string) (int, bool) {
	leader.mutex.Lock()
	defer leader.mutex.Unlock()
	if leader.planner == nil {
		return 0, false
	}
	return leader.planner.Pending(queue), true
}

// signal has a pass run soon and changed records written.
func (leader *Leader) signal() {
	select {
	case leader.passed <- struct{}{}:
	default:
	}
	leader.records.Wake()
}

// decide runs placement passes after events and at each tick.
func (leader *Leader) decide(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			leader.mutex.Lock()
			leader.planner.Tick(time.Now())
			leader.mutex.Unlock()
		case <-leader.passed:
		}
		leader.mutex.Lock()
		began := time.Now()
		leader.planner.Pass(began)
		took := time.Since(began)
		effects := leader.planner.Take()
		leader.mutex.Unlock()
		leader.records.Wake()
		leader.carryOut(ctx, effects)
		watcher.Pause(ctx, max(passInterval, passPause*took))
	}
}

// carryOut sends the orders that the planner decided on.
func (leader *Leader) carryOut(ctx context.Context, effects planner.Effects) {
	leader.options.Journal.Decided(effects.Events)
	for _, start := range effects.Starts {
		go leader.start(ctx, start)
	}
	for _, stop := range effects.Stops {
		go leader.stop(ctx, stop)
	}
	for _, id := range effects.Looks {
		go leader.lookOnce(ctx, id)
	}
	if len(effects.Advice) > 0 {
		leader.advisor.Add(ctx, effects.Advice)
	}
}

func (leader *Leader) target(worker *describer.Worker) describer.Target {
	return describer.Target{
		Worker: worker,
		Fence:  leader.term.Fence,
	}
}

func (leader *Leader) start(ctx context.Context, start planner.Start) {
	began := time.Now()
	_, err := leader.options.Workers.Start(ctx, leader.target(start.Worker), start.Order)
	leader.options.Journal.Ordered("start", start.Order.Task, start.Order.Run, start.Worker.ID, "", time.Since(began), err)
	if errors.Is(err, describer.ErrFenced) {
		leader.end(errFenced)
		return
	}
	leader.options.Journal.Started(start.Waited)
	leader.mutex.Lock()
	defer leader.mutex.Unlock()
	leader.planner.Started(time.Now(), start, err)
	leader.signal()
}

func (leader *Leader) stop(ctx context.Context, stop planner.Stop) {
	began := time.Now()
	err := leader.options.Workers.Stop(ctx, leader.target(stop.Worker), stop.Order)
	leader.options.Journal.Ordered("stop", stop.Order.Task, stop.Order.Run, stop.Worker.ID, stop.Reason, time.Since(began), err)
	if errors.Is(err, describer.ErrFenced) {
		leader.end(errFenced)
		return
	}
	leader.mutex.Lock()
	defer leader.mutex.Unlock()
	leader.planner.Stopped(time.Now(), stop, err)
	leader.signal()
}

// ask has an instance ask for advice and hands the answer to the planner.
func (leader *Leader) ask(ctx context.Context, instance string, request planner.AdviceRequest) error {
	answer, err := leader.options.Ask(ctx, instance, request)
	leader.mutex.Lock()
	defer leader.mutex.Unlock()
	leader.planner.Advised(time.Now(), request.Step, request.Workers, answer, err)
	leader.signal()
	return err
}

// source gives the planner's records to the persister.
type source struct {
	leader *Leader
}

func (source *source) Dirty() []describer.JobID {
	source.leader.mutex.Lock()
	defer source.leader.mutex.Unlock()
	return source.leader.planner.Dirty()
}

func (source *source) Encode(id describer.JobID) ([]byte, int64, bool, error) {
	source.leader.mutex.Lock()
	defer source.leader.mutex.Unlock()
	return source.leader.planner.Encode(id)
}

func (source *source) Durable(id describer.JobID, generation int64) {
	source.leader.mutex.Lock()
	defer source.leader.mutex.Unlock()
	source.leader.planner.Durable(time.Now(), id, generation)
	source.leader.signal()
}
