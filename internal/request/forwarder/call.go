package forwarder

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/gateway/requester"
	"pomelomoor/internal/member/peerpb"
	"pomelomoor/internal/node/logger"
	"pomelomoor/internal/request/retrier"
	"pomelomoor/internal/request/router"
	"pomelomoor/internal/work/descriptor"
)

// call is the state of one request in progress. Only the goroutine of its caller uses it.
type call struct {
	id          string
	request     Request
	lane        parser.Lane
	urgency     descriptor.Urgency
	maxAttempts int
	mayForward  bool
	// onlyFree refuses a forwarded call unless a slot is free, because the forwarding instance has a
	// queue for it.
	onlyFree bool

	service    *service
	retryState retrier.Request
	// idCount numbers the attempts and forwards for their IDs.
	idCount int
	// avoid is the runner of the last attempt.
	avoid string
}

// attemptResult is the outcome of one attempt with the runner's status and body.
type attemptResult struct {
	outcome retrier.Outcome
	status  int
	body    []byte
}

func (call *call) nextID() string {
	call.idCount++
	return fmt.Sprintf("%s.%d", call.id, call.idCount)
}

func (call *call) expired() bool {
	return !time.Now().Before(call.request.Deadline)
}

// notRunResult returns the result of a call that is refused before its first attempt.
func (call *call) notRunResult(problem *descriptor.Problem) Result {
	return Result{
		ID: call.id,
		Fate: descriptor.NotRun{
			Reason: problem.Message,
		},
		Problem: problem,
	}
}

// runAttempts makes attempts until the fate is final.
func (forwarder *Forwarder) runAttempts(ctx context.Context, call *call) Result {
	waitCtx, cancel := context.WithDeadline(ctx, call.request.Deadline)
	defer cancel()
	for {
		slot, peer, problem := call.service.acquire(waitCtx, call)
		if problem != nil {
			return call.finalResult(call.retryState.Abandon(time.Now(), problem), attemptResult{})
		}
		var attemptResult attemptResult
		if peer != "" {
			call.mayForward = false
			attemptResult = forwarder.forward(ctx, call, peer)
			if refused, ok := attemptResult.outcome.(retrier.NotRun); ok && waitCtx.Err() == nil {
				// The peer's report was out of date. The request can still wait in the local queue.
				call.service.metrics.Count("forward_refused", "code", string(refused.Problem.Code))
				continue
			}
		} else {
			call.avoid = slot.Runner
			attemptResult = forwarder.attempt(ctx, call, slot)
		}
		decision := forwarder.decide(waitCtx, call, attemptResult.outcome)
		if !decision.Retry {
			return call.finalResult(decision, attemptResult)
		}
		call.service.metrics.Count("retried", "lane", string(call.lane))
	}
}

func (forwarder *Forwarder) decide(ctx context.Context, call *call, outcome retrier.Outcome) retrier.Decision {
	now := time.Now()
	if ctx.Err() != nil {
		// The caller no longer waits, so no retry is allowed.
		call.retryState.Deadline = now
	}
	forwarder.mu.Lock()
	defer forwarder.mu.Unlock()
	return forwarder.retrier.Decide(now, &call.retryState, outcome)
}

func (call *call) finalResult(decision retrier.Decision, attemptResult attemptResult) Result {
	result := Result{
		ID:      call.id,
		Fate:    decision.Fate,
		Problem: decision.Problem,
		Status:  attemptResult.status,
	}
	if _, done := decision.Fate.(descriptor.Done); done {
		result.Body = attemptResult.body
	}
	return result
}

// attempt sends the request to the runner of slot and releases the slot.
func (forwarder *Forwarder) attempt(ctx context.Context, call *call, slot router.Slot) attemptResult {
	ctx, span := forwarder.options.Tracer.Start(ctx, "runner",
		trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("Runner", slot.Runner)),
	)
	defer span.End()
	ctx, cancel := context.WithDeadline(ctx, call.request.Deadline.Add(requester.ResponseGrace))
	defer cancel()
	started := time.Now()
	health := router.OutcomeFailure
	// Deferred, so that a panic does not leak the slot.
	defer func() {
		took := time.Since(started)
		if health == router.OutcomeTimeout {
			// The grace period after the deadline is not part of the service time.
			took = min(took, call.request.Deadline.Sub(started))
		}
		call.service.release(ctx, slot, health, took)
	}()
	id := call.nextID()
	span.SetAttributes(attribute.String("Attempt", id))
	response, err := forwarder.send(ctx, call, slot, id)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		health = call.classifyError(ctx, err)
		return attemptResult{
			outcome: retrier.FromError(err),
		}
	}
	switch {
	case response.Status < 500:
		health = router.OutcomeSuccess
	case call.expired():
		// The runner aborted the request at its deadline, which is not a fault of the runner.
		health = router.OutcomeTimeout
	}
	return attemptResult{
		outcome: retrier.Responded{
			Status: response.Status,
		},
		status: response.Status,
		body:   response.Body,
	}
}

// classifyError returns the outcome that an error of an attempt has for the health of the runner.
func (call *call) classifyError(ctx context.Context, err error) router.Outcome {
	if call.expired() {
		return router.ClassifyError(err, context.DeadlineExceeded)
	}
	return router.ClassifyError(err, ctx.Err())
}

// send sends the attempt and returns the runner's response. A response to another attempt is an error.
func (forwarder *Forwarder) send(ctx context.Context, call *call, slot router.Slot, id string) (requester.Response, error) {
	response, err := forwarder.options.Requester.Send(ctx, slot.Address, requester.Request{
		ID:         id,
		Service:    call.request.Service,
		Caller:     call.request.Caller,
		Deadline:   call.request.Deadline,
		Idempotent: call.request.Idempotent,
		Body:       call.request.Body,
	})
	if err == nil && response.ID != id {
		err = errors.Wrapf(requester.ErrMismatch, "response has request ID %q", response.ID)
	}
	if errors.Is(err, requester.ErrMismatch) {
		logger.Log(ctx, forwarder.options.Logger, logger.EventAnswerMismatched,
			slog.String("Runner", slot.Runner), slog.String("Request", call.request.ID), slog.String("Attempt", id), logger.Error(err))
	}
	return response, err
}

// forward sends the request to a peer and returns the peer's response.
func (forwarder *Forwarder) forward(ctx context.Context, call *call, peer string) attemptResult {
	ctx, span := forwarder.options.Tracer.Start(ctx, "peer",
		trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("Peer", peer)),
	)
	defer span.End()
	ctx, cancel := context.WithDeadline(ctx, call.request.Deadline.Add(forwardGrace))
	defer cancel()
	refused := true
	defer func() {
		forwarder.mu.Lock()
		defer forwarder.mu.Unlock()
		call.service.peers.Release(peer, refused)
	}()
	id := call.nextID()
	span.SetAttributes(attribute.String("Attempt", id))
	response, err := forwarder.options.Forward(ctx, peer, call.forwardRequest(id))
	if err == nil && response.GetId() != id {
		err = errors.Errorf("response has request ID %q", response.GetId())
	}
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		logger.Log(ctx, forwarder.options.Logger, logger.EventForwardFailed,
			slog.String("Peer", peer), slog.String("Request", call.request.ID), slog.String("Attempt", id), logger.Error(err))
		outcome := retrier.Outcome(retrier.Uncertain{
			Reason: fmt.Sprintf("peer may have run the request: %v", err),
		})
		if errors.Is(err, ErrNotRun) {
			outcome = retrier.NotRun{
				Problem: descriptor.NewProblem(descriptor.CodeUnavailable, unavailableRetryAfter, "peer could not be reached: %v", err),
			}
		}
		return attemptResult{
			outcome: outcome,
		}
	}
	outcome := retrier.FromResponse(response)
	_, refused = outcome.(retrier.NotRun)
	return attemptResult{
		outcome: outcome,
		status:  int(response.GetStatus()),
		body:    response.GetBody(),
	}
}

func (call *call) forwardRequest(id string) *peerpb.ForwardRequest {
	return &peerpb.ForwardRequest{
		Id:                 id,
		Service:            call.request.Service,
		Caller:             call.request.Caller,
		Lane:               string(call.lane),
		DeadlineUnixMillis: call.request.Deadline.UnixMilli(),
		Idempotent:         call.request.Idempotent,
		Body:               call.request.Body,
		Urgency:            string(call.urgency),
	}
}

// rootID returns the request ID that the ID of an attempt or a forward begins with.
func rootID(id string) string {
	root, _, _ := strings.Cut(id, ".")
	return root
}
