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

// term is one ownership of the shard. Its fields belong to the event loop, but for the channels.
type term struct {
	driver  *Driver
	journal *journaler.Journal
	machine *controller.Controller
	records []*recordpb.Record

	calls   chan call
	events  chan signaler.Event
	flushed chan flushResult
	// snapshotted carries the result of a snapshot.
	snapshotted chan error
	changed     chan struct{}
	// closed ends the waits of callers and of calls to workers.
	closed chan struct{}
	work   sync.WaitGroup

	authority signaler.Authority
	// elsewhere is what the controller was told last.
	elsewhere *signaler.UseElsewhere
	waiters   map[signaler.Request]chan answer
	request   signaler.Request
	queue     batcher.Queue
	timer     *time.Timer
	loadedAt  time.Time
	// over is why the term ends; empty while it goes on.
	over string
}

func newTerm(driver *Driver, journal *journaler.Journal, records []*recordpb.Record) *term {
	return &term{
		driver:      driver,
		journal:     journal,
		machine:     controller.New(driver.options.Shard),
		records:     records,
		calls:       make(chan call),
		events:      make(chan signaler.Event),
		flushed:     make(chan flushResult, 1),
		snapshotted: make(chan error, 1),
		changed:     make(chan struct{}, 1),
		closed:      make(chan struct{}),
		waiters:     map[signaler.Request]chan answer{},
		timer:       time.NewTimer(time.Hour),
	}
}

// run is the event loop. It returns why the term ended.
func (term *term) run(ctx context.Context) string {
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer term.work.Wait()
	defer cancel()
	defer close(term.closed)
	defer term.timer.Stop()
	term.checkAuthority(workCtx)
	term.applySettings(workCtx)
	term.step(workCtx, signaler.Loaded{
		Epoch:   term.journal.Epoch(),
		Records: term.records,
	})
	term.records = nil
	term.publish()
	term.driver.term.Store(term)
	defer term.driver.term.Store(nil)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for term.over == "" {
		term.next(ctx, workCtx, ticker.C)
	}
	term.abandon()
	return term.over
}

// next handles one happening.
func (term *term) next(ctx, workCtx context.Context, ticks <-chan time.Time) {
	select {
	case <-ctx.Done():
		term.handOver(workCtx)
	case <-ticks:
		term.tick(workCtx)
	case <-term.changed:
		term.applySettings(workCtx)
	case call := <-term.calls:
		term.take(workCtx, call)
	case event := <-term.events:
		term.step(workCtx, event)
	case result := <-term.flushed:
		term.settleFlush(workCtx, result)
	case err := <-term.snapshotted:
		term.settleSnapshot(workCtx, err)
	case <-term.timer.C:
		term.flush(workCtx)
	}
}

func (term *term) end(reason string) {
	if term.over == "" {
		term.over = reason
	}
}

func (term *term) tick(ctx context.Context) {
	term.checkAuthority(ctx)
	if elsewhere := term.driver.elsewhere.Load(); elsewhere != term.elsewhere {
		term.elsewhere = elsewhere
		term.step(ctx, *elsewhere)
	}
	term.step(ctx, signaler.Tick{})
	term.flush(ctx)
	if now := term.driver.options.Now(); now.Sub(term.loadedAt) >= loadInterval {
		term.publish()
	}
}

// loadInterval is half of the interval at which instances exchange their views.
const loadInterval = 500 * time.Millisecond

func (term *term) publish() {
	term.loadedAt = term.driver.options.Now()
	term.driver.load.Store(&Load{
		Shard: term.driver.options.Shard,
		Epoch: term.journal.Epoch(),
		Load:  term.machine.Load(),
	})
}

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
		term.end("the instance does not own the shard any more")
	}
}

func (term *term) applySettings(ctx context.Context) {
	config, workers, listed := term.driver.settings()
	term.step(ctx, signaler.ConfigChanged{
		Config: config,
	})
	if listed {
		term.step(ctx, signaler.InstancesChanged{
			Workers: workers,
		})
	}
}

// take starts a call of the API.
func (term *term) take(ctx context.Context, call call) {
	// The process may have been paused since the last tick.
	term.checkAuthority(ctx)
	if term.over != "" {
		call.reply <- answer{
			problem: term.driver.notOwned(),
		}
		return
	}
	if call.query != nil {
		call.reply <- call.query(term.machine)
		return
	}
	term.request++
	term.waiters[term.request] = call.reply
	event := call.event(term.request)
	if _, ok := event.(signaler.Cancel); ok && term.queue.Down(term.driver.options.Now()) {
		term.answer(term.request, answer{
			problem: descriptor.NewProblem(descriptor.CodeUnavailable, retryAfter,
				"the journal of shard %s is unavailable; the job was not cancelled", term.driver.options.Shard),
		})
		return
	}
	term.step(ctx, event)
}

func (term *term) answer(request signaler.Request, answer answer) {
	reply, ok := term.waiters[request]
	if !ok {
		return
	}
	delete(term.waiters, request)
	reply <- answer
}

func (term *term) respond(request signaler.Request, action signaler.Action) {
	term.answer(request, answer{
		action: action,
	})
}

// abandon answers the callers that still wait. Their records may be durable.
func (term *term) abandon() {
	for request := range term.waiters {
		term.answer(request, answer{
			problem: term.driver.uncertain(),
		})
	}
}

// step lets the controller handle an event and carries out its actions.
func (term *term) step(ctx context.Context, event signaler.Event) {
	pending := []signaler.Event{event}
	for len(pending) > 0 && term.over == "" {
		begin := time.Now()
		actions := term.machine.Step(term.driver.options.Now(), pending[0])
		term.driver.metrics.step.RecordDuration(time.Since(begin))
		pending = pending[1:]
		for _, action := range actions {
			if further := term.perform(ctx, action); further != nil {
				pending = append(pending, further)
			}
		}
	}
}

// perform carries out one action and returns an event that it leads to at once, or nil.
func (term *term) perform(ctx context.Context, action signaler.Action) signaler.Event {
	switch action := action.(type) {
	case signaler.Append:
		if action.Droppable && term.queue.Down(term.driver.options.Now()) {
			return signaler.Refused{
				Token: action.Token,
			}
		}
		term.queue.Add(action)
		term.schedule()
	case signaler.Sync:
		term.work.Add(1)
		go term.sync(ctx, action)
	case signaler.AnswerBind:
		term.respond(action.Request, action)
	case signaler.AnswerAccept:
		term.respond(action.Request, action)
	case signaler.AnswerCancel:
		term.respond(action.Request, action)
	case signaler.Explain:
		term.explain(ctx, action)
	case signaler.Halt:
		term.end(action.Reason)
	}
	return nil
}

func (term *term) explain(ctx context.Context, action signaler.Explain) {
	job := slog.String("Job", string(action.Job))
	text := slog.String("Text", action.Decision.Text)
	term.driver.log(ctx, logger.EventJobDecided, job, slog.String("Code", action.Decision.Code), text)
	if action.Decision.Code == signaler.CodeStraggling {
		term.driver.log(ctx, logger.EventJobStraggling, job, text)
	}
}

// sync sends a message to a worker and brings its answer to the event loop.
func (term *term) sync(ctx context.Context, action signaler.Sync) {
	defer term.work.Done()
	var event signaler.Event
	select {
	case term.driver.syncs <- struct{}{}:
		event = term.driver.caller.Call(ctx, action)
		<-term.driver.syncs
	case <-term.closed:
		return
	}
	select {
	case term.events <- event:
	case <-term.closed:
	}
}
