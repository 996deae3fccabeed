// Package forwarder takes interactive requests through an entry instance: it queues them, sends
// them to runners or to a peer with free slots, retries where that is safe, and tells the true
// fate. The decisions are those of queuer, router and retrier.
package forwarder

import (
	"context"
	"crypto/rand"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/gateway/lister"
	"pomelomoor/internal/gateway/requester"
	"pomelomoor/internal/member/peerpb"
	"pomelomoor/internal/request/retrier"
	"pomelomoor/internal/request/router"
	"pomelomoor/internal/work/descriptor"
)

// drainRetryAfter lets a caller of a stopping instance come back through the balancer, which
// checks readiness each second.
const drainRetryAfter = time.Second

// forwardGrace is how long the reply of a peer is awaited past the deadline. The peer itself awaits
// the answer of its runner for requester.AnswerGrace.
const forwardGrace = 2 * requester.AnswerGrace

// ErrNotRun is what a Forward returns, wrapped or not, when the request provably did not reach
// the peer.
var ErrNotRun = errors.New("forward: request was not run")

// Forward sends a request to a peer by the peer's ID. All errors but ErrNotRun mean that the
// request may have run.
type Forward func(ctx context.Context, peer string, request *peerpb.ForwardRequest) (*peerpb.ForwardReply, error)

// Request is one interactive request.
type Request struct {
	// ID is unique in the cell; empty means a new one.
	ID      string
	Service string
	Caller  string
	Labels  descriptor.Labels
	// Deadline may be zero; the operators' timeout then counts.
	Deadline   time.Time
	Idempotent bool
	Body       []byte
}

// Result is the end of a request.
type Result struct {
	// ID is that of the request, for the caller and the logs.
	ID   string
	Fate descriptor.Fate
	// Status is that of the upstream's answer to the last attempt, or 0 without one.
	Status int
	// Body is the upstream's answer when the fate is Done.
	Body []byte
	// Problem is set when the fate is not Done.
	Problem *descriptor.Problem
}

// Peer is another live entry instance with the slots that it reported free, by service.
type Peer struct {
	ID     string
	Region string
	Free   map[string]int
}

// Options are the settings and connections of a Forwarder. Self, Region and Requester are
// required.
type Options struct {
	// Self is the ID of this entry instance and Region its region.
	Self, Region string
	Requester    requester.Requester
	// Forward may be nil; nothing is forwarded then.
	Forward Forward
	Scope   tally.Scope
	Logger  *slog.Logger
	Tracer  trace.Tracer
	// QueueLimit bounds the waiting requests of each lane and service; 0 means the default.
	QueueLimit int
}

// Forwarder is the way of interactive requests through one entry instance.
type Forwarder struct {
	options Options
	config  atomic.Pointer[parser.Compiled]

	mu       sync.Mutex
	services map[string]*service
	listed   bool
	members  []string
	retrier  retrier.Retrier
	draining bool
	active   int
	idle     chan struct{}
}

// New returns a Forwarder that knows no runners yet, and a function that stops its timers.
func New(options Options) (*Forwarder, func()) {
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	if options.Tracer == nil {
		options.Tracer = noop.NewTracerProvider().Tracer("")
	}
	forwarder := &Forwarder{
		options:  options,
		services: map[string]*service{},
		idle:     make(chan struct{}),
	}
	forwarder.config.Store(&parser.Compiled{})
	return forwarder, forwarder.stop
}

func (forwarder *Forwarder) stop() {
	forwarder.mu.Lock()
	defer forwarder.mu.Unlock()
	for _, service := range forwarder.services {
		service.disarm()
	}
}

// SetConfig puts the operators' configuration in force for requests that arrive from now on.
func (forwarder *Forwarder) SetConfig(config *parser.Compiled) {
	forwarder.config.Store(config)
}

// SetInstances takes the platform's list. Only runners of the own region are used. A list without
// Instances is an unchanged one and has no effect.
func (forwarder *Forwarder) SetInstances(list lister.List) {
	if list.Instances == nil {
		return
	}
	runners := map[string][]router.Runner{}
	for _, instance := range list.Instances {
		if instance.Role != lister.RoleRunner {
			continue
		}
		own := runners[instance.Service]
		if instance.Place.Region == forwarder.options.Region {
			own = append(own, router.Runner{
				ID:      instance.ID,
				Address: instance.Address,
				Leaving: instance.State != lister.StateLive,
			})
		}
		runners[instance.Service] = own
	}
	now := time.Now()
	forwarder.mu.Lock()
	defer forwarder.mu.Unlock()
	forwarder.listed = true
	for name := range runners {
		if forwarder.services[name] == nil {
			forwarder.services[name] = forwarder.newService(name)
		}
	}
	for name, service := range forwarder.services {
		own, listed := runners[name]
		service.router.SetRunners(now, own)
		service.dispatch(now)
		if !listed && service.waiting() == 0 && service.router.Idle() {
			service.disarm()
			delete(forwarder.services, name)
		}
	}
}

// SetPeers takes the live entry instances of the own region, which share its runners, and the
// peers of all regions with their free slots.
func (forwarder *Forwarder) SetPeers(members []string, peers []Peer) {
	now := time.Now()
	forwarder.mu.Lock()
	defer forwarder.mu.Unlock()
	forwarder.members = append([]string(nil), members...)
	for name, service := range forwarder.services {
		service.router.SetMembers(members)
		var reported []router.Peer
		for _, peer := range peers {
			if peer.ID == forwarder.options.Self || peer.Free[name] <= 0 {
				continue
			}
			reported = append(reported, router.Peer{
				ID:     peer.ID,
				Region: peer.Region,
				Free:   peer.Free[name],
			})
		}
		service.peers.Set(reported)
		service.dispatch(now)
	}
}

// FreeSlots returns the slots that peers may use, by service. A service with waiting requests has
// none.
func (forwarder *Forwarder) FreeSlots() map[string]int {
	now := time.Now()
	free := map[string]int{}
	forwarder.mu.Lock()
	defer forwarder.mu.Unlock()
	if forwarder.draining {
		return free
	}
	for name, service := range forwarder.services {
		if service.waiting() == 0 {
			_, free[name] = service.router.Slots(now, parser.LaneShort)
		}
	}
	return free
}

// Drain refuses new requests and waits until those in progress have ended or ctx is done.
func (forwarder *Forwarder) Drain(ctx context.Context) error {
	forwarder.mu.Lock()
	if !forwarder.draining {
		forwarder.draining = true
		if forwarder.active == 0 {
			close(forwarder.idle)
		}
	}
	forwarder.mu.Unlock()
	select {
	case <-forwarder.idle:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "drain requests")
	}
}

// enter counts a request as in progress until leave is called, or refuses it.
func (forwarder *Forwarder) enter(name string) (*service, *descriptor.Problem) {
	forwarder.mu.Lock()
	defer forwarder.mu.Unlock()
	service := forwarder.services[name]
	switch {
	case forwarder.draining:
		return nil, descriptor.NewProblem(descriptor.CodeDraining, drainRetryAfter, "instance %s is stopping", forwarder.options.Self)
	case service == nil && !forwarder.listed:
		return nil, descriptor.NewProblem(descriptor.CodeUnavailable, drainRetryAfter, "the instance list has not been read yet")
	case service == nil:
		return nil, descriptor.NewProblem(descriptor.CodeNotFound, 0, "no runner of service %q is listed", name)
	}
	forwarder.active++
	return service, nil
}

func (forwarder *Forwarder) leave() {
	forwarder.mu.Lock()
	defer forwarder.mu.Unlock()
	forwarder.active--
	if forwarder.draining && forwarder.active == 0 {
		close(forwarder.idle)
	}
}

// Do runs request and returns its final fate. It returns when ctx ends or, as far as the Requester
// and Forward do, a short time after the deadline: an upstream that works until the deadline tells
// then what became of the request.
func (forwarder *Forwarder) Do(ctx context.Context, request Request) Result {
	labels := descriptor.Labels{}
	for key, value := range request.Labels {
		labels[key] = value
	}
	labels["Service"] = request.Service
	labels["Caller"] = request.Caller
	treatment := forwarder.config.Load().RequestTreatment(labels)
	if request.Deadline.IsZero() {
		request.Deadline = time.Now().Add(treatment.Timeout)
	}
	if request.ID == "" {
		// The ID is random, so that no other request of any instance has it.
		request.ID = rand.Text()
	}
	return forwarder.run(ctx, &call{
		id:         request.ID,
		request:    request,
		lane:       treatment.Lane,
		urgency:    treatment.Urgency,
		attempts:   treatment.MaxAttempts,
		mayForward: forwarder.options.Forward != nil,
	})
}

// ServeForward runs a request that a peer forwarded, if a slot is free. It makes a single attempt
// and does not forward again; the peer decides about retries.
func (forwarder *Forwarder) ServeForward(ctx context.Context, request *peerpb.ForwardRequest) *peerpb.ForwardReply {
	lane := parser.LaneShort
	if request.GetLane() == string(parser.LaneLong) {
		lane = parser.LaneLong
	}
	result := forwarder.run(ctx, &call{
		// The ID of the call is its own, so that a repeated forward cannot take another one's answer.
		id: rand.Text(),
		request: Request{
			ID:         rootID(request.GetId()),
			Service:    request.GetService(),
			Caller:     request.GetCaller(),
			Deadline:   time.UnixMilli(request.GetDeadlineUnixMillis()),
			Idempotent: request.GetIdempotent(),
			Body:       request.GetBody(),
		},
		lane:     lane,
		urgency:  descriptor.Urgency(request.GetUrgency()),
		attempts: 1,
		onlyFree: true,
	})
	return &peerpb.ForwardReply{
		Fate:    descriptor.Record(result.Fate).Fate,
		Status:  uint32(result.Status),
		Body:    result.Body,
		Id:      request.GetId(),
		Problem: retrier.EncodeProblem(result.Problem),
	}
}

// run counts, bounds and traces one call.
func (forwarder *Forwarder) run(ctx context.Context, call *call) Result {
	ctx, span := forwarder.options.Tracer.Start(ctx, "request", trace.WithAttributes(
		attribute.String("Service", call.request.Service),
		attribute.String("Caller", call.request.Caller),
		attribute.String("Request", call.request.ID),
	))
	defer span.End()
	result := forwarder.admit(ctx, call)
	span.SetAttributes(attribute.String("Fate", descriptor.Record(result.Fate).Fate))
	if result.Problem != nil {
		span.SetAttributes(attribute.String("Code", string(result.Problem.Code)))
	}
	return result
}

func (forwarder *Forwarder) admit(ctx context.Context, call *call) Result {
	if len(call.request.Body) > requester.MaxBody {
		return call.refused(descriptor.NewProblem(descriptor.CodeTooLarge, 0, "body is larger than %d bytes", requester.MaxBody))
	}
	service, problem := forwarder.enter(call.request.Service)
	if problem != nil {
		return call.refused(problem)
	}
	defer forwarder.leave()
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(call.request.Deadline) {
		call.request.Deadline = deadline
	}
	call.service = service
	call.tries = retrier.Request{
		Caller:      call.request.Caller,
		Idempotent:  call.request.Idempotent,
		MaxAttempts: call.attempts,
		Deadline:    call.request.Deadline,
	}
	started := time.Now()
	result := forwarder.pursue(ctx, call)
	service.metrics.Ended(result.Fate, time.Since(started))
	return result
}
