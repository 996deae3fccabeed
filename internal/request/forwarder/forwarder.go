// Package forwarder executes interactive requests at an entry instance: it queues them, sends them to
// runners or to a peer with free slots, retries them if that is safe, and returns their fate. The
// packages queuer, router and retrier make the decisions.
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

// unavailableRetryAfter is the retry delay for requests that this instance cannot accept now. The
// balancer checks readiness every second, so a retry then reaches an instance that is ready.
const unavailableRetryAfter = time.Second

// forwardGrace is how long to wait for a peer's response after the deadline. The peer itself waits
// requester.ResponseGrace for the response of its runner.
const forwardGrace = 2 * requester.ResponseGrace

// ErrNotRun is returned by a Forward, possibly wrapped, if the request provably did not reach the
// peer.
var ErrNotRun = errors.New("forward: request was not run")

// Forward sends a request to the peer with the ID peer. Any error other than ErrNotRun means that the
// request may have run.
type Forward func(ctx context.Context, peer string, request *peerpb.ForwardRequest) (*peerpb.ForwardReply, error)

// Request is one interactive request.
type Request struct {
	// ID is unique in the cell. If it is empty, a new one is generated.
	ID      string
	Service string
	Caller  string
	Labels  descriptor.Labels
	// Deadline may be zero, in which case the configured timeout applies.
	Deadline   time.Time
	Idempotent bool
	Body       []byte
}

// Result is the result of a request.
type Result struct {
	// ID identifies the request to the caller and in the logs.
	ID   string
	Fate descriptor.Fate
	// Status is the HTTP status of the runner's response to the last attempt, or 0 if there was none.
	Status int
	// Body is the body of the runner's response if the fate is Done.
	Body []byte
	// Problem is set if the fate is not Done.
	Problem *descriptor.Problem
}

// Peer is another live entry instance with the number of free slots that it reported per service.
type Peer struct {
	ID     string
	Region string
	Free   map[string]int
}

// Options are the settings and dependencies of a Forwarder. Self, Region and Requester are required.
type Options struct {
	// Self is the ID of this entry instance and Region its region.
	Self, Region string
	Requester    requester.Requester
	// Forward may be nil, in which case no request is forwarded.
	Forward Forward
	Scope   tally.Scope
	Logger  *slog.Logger
	Tracer  trace.Tracer
	// MaxWaitingPerLane is the maximum number of waiting requests in each lane of a service; 0 means
	// queuer.DefaultLimit.
	MaxWaitingPerLane int
}

// Forwarder executes the interactive requests of one entry instance.
type Forwarder struct {
	options Options
	config  atomic.Pointer[parser.Compiled]

	mu             sync.Mutex
	services       map[string]*service
	listReceived   bool
	members        []string
	retrier        retrier.Retrier
	draining       bool
	activeRequests int
	// idle is closed once the Forwarder is draining and no request is active.
	idle chan struct{}
}

// New returns a Forwarder without runners and a function that stops its timers.
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
		service.disarmTimer()
	}
}

// SetConfig sets the configuration for requests that arrive from now on.
func (forwarder *Forwarder) SetConfig(config *parser.Compiled) {
	forwarder.config.Store(config)
}

// SetInstances updates the runners from the platform's instance list. This instance sends requests only
// to runners of its own region. A service whose runners are all in other regions is still served,
// because its requests can be forwarded to peers there. A list whose Instances is nil is unchanged and
// has no effect.
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
	forwarder.listReceived = true
	for name := range runners {
		if forwarder.services[name] == nil {
			forwarder.services[name] = forwarder.newService(name)
		}
	}
	for name, service := range forwarder.services {
		own, listed := runners[name]
		service.router.SetRunners(now, own)
		service.dispatch(now)
		if !listed && service.queueLength() == 0 && service.router.Idle() {
			service.disarmTimer()
			delete(forwarder.services, name)
		}
	}
}

// SetPeers sets the live entry instances of this region, which share its runners, and the peers of all
// regions with their free slots.
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

// FreeSlots returns the number of slots that peers may use per service. A service with waiting
// requests has none.
func (forwarder *Forwarder) FreeSlots() map[string]int {
	now := time.Now()
	free := map[string]int{}
	forwarder.mu.Lock()
	defer forwarder.mu.Unlock()
	if forwarder.draining {
		return free
	}
	for name, service := range forwarder.services {
		if service.queueLength() == 0 {
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
		if forwarder.activeRequests == 0 {
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

// beginRequest counts a request as active until endRequest is called, or refuses it.
func (forwarder *Forwarder) beginRequest(name string) (*service, *descriptor.Problem) {
	forwarder.mu.Lock()
	defer forwarder.mu.Unlock()
	service := forwarder.services[name]
	switch {
	case forwarder.draining:
		return nil, descriptor.NewProblem(descriptor.CodeDraining, unavailableRetryAfter, "instance %s is draining", forwarder.options.Self)
	case service == nil && !forwarder.listReceived:
		return nil, descriptor.NewProblem(descriptor.CodeUnavailable, unavailableRetryAfter, "the instance list has not been read yet")
	case service == nil:
		return nil, descriptor.NewProblem(descriptor.CodeNotFound, 0, "no runner of service %q is listed", name)
	}
	forwarder.activeRequests++
	return service, nil
}

func (forwarder *Forwarder) endRequest() {
	forwarder.mu.Lock()
	defer forwarder.mu.Unlock()
	forwarder.activeRequests--
	if forwarder.draining && forwarder.activeRequests == 0 {
		close(forwarder.idle)
	}
}

// Do executes request and returns its final result. It ends the wait for a slot at the deadline or when
// ctx ends, but waits for a started attempt until the Requester or Forward returns. An attempt's context
// ends with ctx or shortly after the deadline, because a runner that works until the deadline reports the
// fate only then.
func (forwarder *Forwarder) Do(ctx context.Context, request Request) Result {
	labels := descriptor.Labels{}
	for key, value := range request.Labels {
		labels[key] = value
	}
	labels["Service"] = request.Service
	labels["Caller"] = request.Caller
	effectivePolicy := forwarder.config.Load().EffectiveRequestPolicy(labels)
	if request.Deadline.IsZero() {
		request.Deadline = time.Now().Add(effectivePolicy.Timeout)
	}
	if request.ID == "" {
		// A random ID is unique across all instances.
		request.ID = rand.Text()
	}
	return forwarder.run(ctx, &call{
		id:          request.ID,
		request:     request,
		lane:        effectivePolicy.Lane,
		urgency:     effectivePolicy.Urgency,
		maxAttempts: effectivePolicy.MaxAttempts,
		mayForward:  forwarder.options.Forward != nil,
	})
}

// ServeForward executes a request that a peer forwarded, if a slot is free. It makes a single attempt
// and does not forward the request again. The peer decides about retries.
func (forwarder *Forwarder) ServeForward(ctx context.Context, request *peerpb.ForwardRequest) *peerpb.ForwardReply {
	lane := parser.LaneShort
	if request.GetLane() == string(parser.LaneLong) {
		lane = parser.LaneLong
	}
	result := forwarder.run(ctx, &call{
		// A new ID, so that a repeated forward cannot get the response to an earlier one.
		id: rand.Text(),
		request: Request{
			ID:         rootID(request.GetId()),
			Service:    request.GetService(),
			Caller:     request.GetCaller(),
			Deadline:   time.UnixMilli(request.GetDeadlineUnixMillis()),
			Idempotent: request.GetIdempotent(),
			Body:       request.GetBody(),
		},
		lane:        lane,
		urgency:     descriptor.Urgency(request.GetUrgency()),
		maxAttempts: 1,
		onlyFree:    true,
	})
	return &peerpb.ForwardReply{
		Fate:    descriptor.NewFateRecord(result.Fate).Fate,
		Status:  uint32(result.Status),
		Body:    result.Body,
		Id:      request.GetId(),
		Problem: retrier.EncodeProblem(result.Problem),
	}
}

// run executes one call in a trace span.
func (forwarder *Forwarder) run(ctx context.Context, call *call) Result {
	ctx, span := forwarder.options.Tracer.Start(ctx, "request", trace.WithAttributes(
		attribute.String("Service", call.request.Service),
		attribute.String("Caller", call.request.Caller),
		attribute.String("Request", call.request.ID),
	))
	defer span.End()
	result := forwarder.runAdmitted(ctx, call)
	span.SetAttributes(attribute.String("Fate", descriptor.NewFateRecord(result.Fate).Fate))
	if result.Problem != nil {
		span.SetAttributes(attribute.String("Code", string(result.Problem.Code)))
	}
	return result
}

// runAdmitted refuses the call if its body is too large or beginRequest refuses it. Otherwise it counts
// the call as active, limits its deadline to that of ctx and executes it.
func (forwarder *Forwarder) runAdmitted(ctx context.Context, call *call) Result {
	if len(call.request.Body) > requester.MaxBodyBytes {
		return call.notRunResult(descriptor.NewProblem(descriptor.CodeTooLarge, 0, "body is larger than %d bytes", requester.MaxBodyBytes))
	}
	service, problem := forwarder.beginRequest(call.request.Service)
	if problem != nil {
		return call.notRunResult(problem)
	}
	defer forwarder.endRequest()
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(call.request.Deadline) {
		call.request.Deadline = deadline
	}
	call.service = service
	call.retryState = retrier.Request{
		Caller:      call.request.Caller,
		Idempotent:  call.request.Idempotent,
		MaxAttempts: call.maxAttempts,
		Deadline:    call.request.Deadline,
	}
	started := time.Now()
	result := forwarder.runAttempts(ctx, call)
	service.metrics.Ended(result.Fate, time.Since(started))
	return result
}
