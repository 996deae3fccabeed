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

// call is one request on its way. It belongs to the goroutine of its caller.
type call struct {
	id         string
	request    Request
	lane       parser.Lane
	urgency    descriptor.Urgency
	attempts   int
	mayForward bool
	// onlyFree refuses the call unless a slot is free, as its own instance has a queue for it.
	onlyFree bool

	service *service
	tries   retrier.Request
	// sent counts the attempts and forwards, for their IDs.
	sent int
	// avoid is the runner of the last attempt.
	avoid string
}

// answer is what an attempt brought back for this call.
type answer struct {
	outcome retrier.Outcome
	status  int
	body    []byte
}

func (call *call) nextID() string {
	call.sent++
	return fmt.Sprintf("%s.%d", call.id, call.sent)
}

func (call *call) expired() bool {
	return !time.Now().Before(call.request.Deadline)
}

// refused returns the result of a call that never was attempted.
func (call *call) refused(problem *descriptor.Problem) Result {
	return Result{
		ID: call.id,
		Fate: descriptor.NotRun{
			Reason: problem.Message,
		},
		Problem: problem,
	}
}

// pursue makes attempts until the fate is final.
func (forwarder *Forwarder) pursue(ctx context.Context, call *call) Result {
	waiting, cancel := context.WithDeadline(ctx, call.request.Deadline)
	defer cancel()
	for {
		slot, peer, problem := call.service.acquire(waiting, call)
		if problem != nil {
			return call.end(call.tries.Abandon(time.Now(), problem), answer{})
		}
		var answer answer
		if peer != "" {
			call.mayForward = false
			answer = forwarder.forward(ctx, call, peer)
			if refused, ok := answer.outcome.(retrier.NotRun); ok && waiting.Err() == nil {
				// The peer's report was out of date; the own queue is still open.
				call.service.metrics.Count("forward_refused", "code", string(refused.Problem.Code))
				continue
			}
		} else {
			call.avoid = slot.Runner
			answer = forwarder.attempt(ctx, call, slot)
		}
		verdict := forwarder.decide(waiting, call, answer.outcome)
		if !verdict.Retry {
			return call.end(verdict, answer)
		}
		call.service.metrics.Count("retried", "lane", string(call.lane))
	}
}

func (forwarder *Forwarder) decide(ctx context.Context, call *call, outcome retrier.Outcome) retrier.Verdict {
	now := time.Now()
	if ctx.Err() != nil {
		// Nobody waits for another attempt.
		call.tries.Deadline = now
	}
	forwarder.mu.Lock()
	defer forwarder.mu.Unlock()
	return forwarder.retrier.Decide(now, &call.tries, outcome)
}

func (call *call) end(verdict retrier.Verdict, answer answer) Result {
	result := Result{
		ID:      call.id,
		Fate:    verdict.Fate,
		Problem: verdict.Problem,
		Status:  answer.status,
	}
	if _, done := verdict.Fate.(descriptor.Done); done {
		result.Body = answer.body
	}
	return result
}

// attempt sends the request to the runner of slot and gives the slot back.
func (forwarder *Forwarder) attempt(ctx context.Context, call *call, slot router.Slot) answer {
	ctx, span := forwarder.options.Tracer.Start(ctx, "runner",
		trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("Runner", slot.Runner)),
	)
	defer span.End()
	ctx, cancel := context.WithDeadline(ctx, call.request.Deadline.Add(requester.AnswerGrace))
	defer cancel()
	started := time.Now()
	health := router.OutcomeFailure
	// Deferred, because a slot that a panic kept would be lost.
	defer func() {
		took := time.Since(started)
		if health == router.OutcomeTimeout {
			// The wait past the deadline says nothing about how long work takes.
			took = min(took, call.request.Deadline.Sub(started))
		}
		call.service.release(ctx, slot, health, took)
	}()
	id := call.nextID()
	span.SetAttributes(attribute.String("Attempt", id))
	response, err := forwarder.send(ctx, call, slot, id)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		health = call.judge(ctx, err)
		return answer{
			outcome: retrier.FromError(err),
		}
	}
	switch {
	case response.Status < 500:
		health = router.OutcomeSuccess
	case call.expired():
		// The runner gave the request up at its deadline, which is no fault of the runner.
		health = router.OutcomeTimeout
	}
	return answer{
		outcome: retrier.Answered{
			Status: response.Status,
		},
		status: response.Status,
		body:   response.Body,
	}
}

// judge returns what an error of an attempt tells about the runner.
func (call *call) judge(ctx context.Context, err error) router.Outcome {
	if call.expired() {
		return router.Judge(err, context.DeadlineExceeded)
	}
	return router.Judge(err, ctx.Err())
}

// send returns the runner's answer to the attempt. An answer to another attempt is an error.
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
		err = errors.Wrapf(requester.ErrMismatch, "answer carries %q", response.ID)
	}
	if errors.Is(err, requester.ErrMismatch) {
		logger.Log(ctx, forwarder.options.Logger, logger.EventAnswerMismatched,
			slog.String("Runner", slot.Runner), slog.String("Request", call.request.ID), slog.String("Attempt", id), logger.Error(err))
	}
	return response, err
}

// forward hands the request to a peer.
func (forwarder *Forwarder) forward(ctx context.Context, call *call, peer string) answer {
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
		call.service.peers.Return(peer, refused)
	}()
	id := call.nextID()
	span.SetAttributes(attribute.String("Attempt", id))
	reply, err := forwarder.options.Forward(ctx, peer, call.message(id))
	if err == nil && reply.GetId() != id {
		err = errors.Errorf("reply carries %q", reply.GetId())
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
				Problem: descriptor.NewProblem(descriptor.CodeUnavailable, drainRetryAfter, "peer was not reached: %v", err),
			}
		}
		return answer{
			outcome: outcome,
		}
	}
	outcome := retrier.FromReply(reply)
	_, refused = outcome.(retrier.NotRun)
	return answer{
		outcome: outcome,
		status:  int(reply.GetStatus()),
		body:    reply.GetBody(),
	}
}

func (call *call) message(id string) *peerpb.ForwardRequest {
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

// rootID returns the ID of the request that an attempt or a forward belongs to.
func rootID(id string) string {
	root, _, _ := strings.Cut(id, ".")
	return root
}
