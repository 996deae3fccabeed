package driver

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"pomelomoor/internal/node/logger"
	"pomelomoor/internal/shard/batcher"
	"pomelomoor/internal/shard/controller"
	"pomelomoor/internal/shard/journaler"
	"pomelomoor/internal/shard/recordpb"
	"pomelomoor/internal/shard/signaler"
	"pomelomoor/internal/work/descriptor"
)

// term is one period of ownership of the shard. Only the event loop may access its fields, except for driver,
// journal, the channels and goroutines, which the goroutines that it starts use as well.
type term struct {
	driver     *Driver
	journal    *journaler.Journal
	controller *controller.Controller
	records    []*recordpb.Record

	requests     chan request
	workerEvents chan signaler.Event
	flushResults chan flushResult
	// snapshotResults carries the results of snapshots.
	snapshotResults chan error
	settingsChanged chan struct{}
	// closed is closed at the end of the event loop, so that callers and syncs with workers stop waiting.
	closed     chan struct{}
	goroutines sync.WaitGroup

	authority signaler.Authority
	// appliedOtherShardsUsage is the latest usage event that the controller has handled.
	appliedOtherShardsUsage *signaler.OtherShardsUsage
	// pendingAnswers holds the channels of the callers that still wait for the answer to their request.
	pendingAnswers map[signaler.RequestID]chan answer
	lastRequestID  signaler.RequestID
	queue          batcher.Queue
	// flushTimer triggers the next journal write. scheduleFlush and flush set its time.
	flushTimer      *time.Timer
	loadPublishedAt time.Time
	// endReason is why the term has ended; empty while it continues.
	endReason string
}

func newTerm(driver *Driver, journal *journaler.Journal, records []*recordpb.Record) *term {
	return &term{
		driver:          driver,
		journal:         journal,
		controller:      controller.New(driver.options.Shard),
		records:         records,
		requests:        make(chan request),
		workerEvents:    make(chan signaler.Event),
		flushResults:    make(chan flushResult, 1),
		snapshotResults: make(chan error, 1),
		settingsChanged: make(chan struct{}, 1),
		closed:          make(chan struct{}),
		pendingAnswers:  map[signaler.RequestID]chan answer{},
		// Idle until scheduleFlush resets it: a flush without records does nothing.
		flushTimer: time.NewTimer(time.Hour),
	}
}

// run runs the event loop until the term ends and returns the reason.
func (term *term) run(ctx context.Context) string {
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer term.goroutines.Wait()
	defer cancel()
	defer close(term.closed)
	defer term.flushTimer.Stop()
	term.checkAuthority(workCtx)
	term.applySettings(workCtx)
	term.step(workCtx, signaler.Loaded{
		Epoch:   term.journal.Epoch(),
		Records: term.records,
	})
	term.records = nil
	term.publishLoad()
	term.driver.term.Store(term)
	defer term.driver.term.Store(nil)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for term.endReason == "" {
		term.handleNext(ctx, workCtx, ticker.C)
	}
	term.failPendingRequests()
	return term.endReason
}

// handleNext waits for the next input of the event loop and handles it.
func (term *term) handleNext(ctx, workCtx context.Context, ticks <-chan time.Time) {
	select {
	case <-ctx.Done():
		term.handOver(workCtx)
	case <-ticks:
		term.tick(workCtx)
	case <-term.settingsChanged:
		term.applySettings(workCtx)
	case request := <-term.requests:
		term.handleRequest(workCtx, request)
	case event := <-term.workerEvents:
		term.step(workCtx, event)
	case result := <-term.flushResults:
		term.handleFlushResult(workCtx, result)
	case err := <-term.snapshotResults:
		term.handleSnapshotResult(workCtx, err)
	case <-term.flushTimer.C:
		term.flush(workCtx)
	}
}

// end ends the term. The first reason is kept.
func (term *term) end(reason string) {
	if term.endReason == "" {
		term.endReason = reason
	}
}

func (term *term) tick(ctx context.Context) {
	term.checkAuthority(ctx)
	if usage := term.driver.otherShardsUsage.Load(); usage != term.appliedOtherShardsUsage {
		term.appliedOtherShardsUsage = usage
		term.step(ctx, *usage)
	}
	term.step(ctx, signaler.Tick{})
	term.flush(ctx)
	if now := term.driver.options.Now(); now.Sub(term.loadPublishedAt) >= loadPublishInterval {
		term.publishLoad()
	}
}

// loadPublishInterval is the time between two load summaries. It is half of the interval at which instances
// exchange their views.
const loadPublishInterval = 500 * time.Millisecond

func (term *term) publishLoad() {
	term.loadPublishedAt = term.driver.options.Now()
	term.driver.load.Store(&LoadSummary{
		Shard:       term.driver.options.Shard,
		Epoch:       term.journal.Epoch(),
		LoadSummary: term.controller.LoadSummary(),
	})
}

// checkAuthority reports a change of the store lease's authority to the controller, and ends the term when the
// store lease permits nothing any more.
func (term *term) checkAuthority(ctx context.Context) {
	authority := term.driver.options.Authority()
	if authority == term.authority {
		return
	}
	term.authority = authority
	term.step(ctx, signaler.AuthorityChanged{
		Authority: authority,
	})
	if authority == signaler.AuthorityNone {
		term.end("the instance's store lease no longer permits any operation")
	}
}

// applySettings passes the latest configuration and worker list to the controller.
func (term *term) applySettings(ctx context.Context) {
	config, workers, listed := term.driver.settings()
	term.step(ctx, signaler.ConfigChanged{
		Config: config,
	})
	if listed {
		term.step(ctx, signaler.ListedWorkersChanged{
			Workers: workers,
		})
	}
}

// handleRequest answers a query, or passes the event of a request to the controller.
func (term *term) handleRequest(ctx context.Context, request request) {
	// The process may have been paused since the last tick, so the store lease may have expired.
	term.checkAuthority(ctx)
	if term.endReason != "" {
		request.answers <- answer{
			problem: term.driver.noOwnerProblem(),
		}
		return
	}
	if request.query != nil {
		request.answers <- request.query(term.controller)
		return
	}
	term.lastRequestID++
	term.pendingAnswers[term.lastRequestID] = request.answers
	event := request.newEvent(term.lastRequestID)
	if _, ok := event.(signaler.Cancel); ok && term.queue.Unavailable(term.driver.options.Now()) {
		term.sendAnswer(term.lastRequestID, answer{
			problem: descriptor.NewProblem(descriptor.CodeUnavailable, retryAfter,
				"the journal of shard %s is unavailable; the job was not cancelled", term.driver.options.Shard),
		})
		return
	}
	term.step(ctx, event)
}

// sendAnswer sends the answer to the caller of a request. It ignores further answers to the same request.
func (term *term) sendAnswer(requestID signaler.RequestID, answer answer) {
	answers, ok := term.pendingAnswers[requestID]
	if !ok {
		return
	}
	delete(term.pendingAnswers, requestID)
	answers <- answer
}

func (term *term) answerWithAction(requestID signaler.RequestID, action signaler.Action) {
	term.sendAnswer(requestID, answer{
		action: action,
	})
}

// failPendingRequests answers the remaining callers. The outcome of their requests is uncertain, because their
// records may be durable.
func (term *term) failPendingRequests() {
	for requestID := range term.pendingAnswers {
		term.sendAnswer(requestID, answer{
			problem: term.driver.uncertainProblem(),
		})
	}
}

// step passes an event to the controller and carries out the resulting actions.
func (term *term) step(ctx context.Context, event signaler.Event) {
	events := []signaler.Event{event}
	for len(events) > 0 && term.endReason == "" {
		begin := time.Now()
		actions := term.controller.Step(term.driver.options.Now(), events[0])
		term.driver.metrics.stepLatency.RecordDuration(time.Since(begin))
		events = events[1:]
		for _, action := range actions {
			if followUp := term.perform(ctx, action); followUp != nil {
				events = append(events, followUp)
			}
		}
	}
}

// perform carries out one action. It returns an event that follows immediately, or nil.
func (term *term) perform(ctx context.Context, action signaler.Action) signaler.Event {
	switch action := action.(type) {
	case signaler.Append:
		if action.Droppable && term.queue.Unavailable(term.driver.options.Now()) {
			return signaler.Refused{
				Token: action.Token,
			}
		}
		term.queue.Add(action)
		term.scheduleFlush()
	case signaler.Sync:
		term.goroutines.Add(1)
		go term.syncWorker(ctx, action)
	case signaler.AnswerBind:
		// The answer to a Bind, which binds an idempotency key to a job.
		term.answerWithAction(action.Request, action)
	case signaler.AnswerAccept:
		term.answerWithAction(action.Request, action)
	case signaler.AnswerCancel:
		term.answerWithAction(action.Request, action)
	case signaler.Decided:
		term.logDecision(ctx, action)
	case signaler.Halt:
		term.end(action.Reason)
	}
	return nil
}

// logDecision logs a decision about a job. A straggling run is logged as an event of its own, too.
func (term *term) logDecision(ctx context.Context, action signaler.Decided) {
	job := slog.String("Job", string(action.Job))
	text := slog.String("Text", action.Decision.Text)
	term.driver.log(ctx, logger.EventJobDecided, job, slog.String("Code", action.Decision.Code), text)
	if action.Decision.Code == signaler.CodeStraggling {
		term.driver.log(ctx, logger.EventJobStraggling, job, text)
	}
}

// syncWorker sends a message to a worker and passes the result to the event loop.
func (term *term) syncWorker(ctx context.Context, action signaler.Sync) {
	defer term.goroutines.Done()
	var event signaler.Event
	select {
	case term.driver.syncSemaphore <- struct{}{}:
		event = term.driver.syncer.Sync(ctx, action)
		<-term.driver.syncSemaphore
	case <-term.closed:
		return
	}
	select {
	case term.workerEvents <- event:
	case <-term.closed:
	}
}
