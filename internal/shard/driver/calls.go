package driver

import (
	"context"
	"math/rand/v2"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"pomelomoor/internal/shard/controller"
	"pomelomoor/internal/shard/signaler"
	"pomelomoor/internal/work/descriptor"
)

// request is an API request for the event loop. Either newEvent or query is set.
type request struct {
	// newEvent builds the event for the state machine. An action of the state machine answers the request.
	newEvent func(requestID signaler.RequestID) signaler.Event
	// query reads the state of the controller and is answered immediately.
	query func(controller *controller.Controller) answer
	// answers receives the answer.
	answers chan answer
}

// answer is the result of a request. The action is set for events, the status for queries.
type answer struct {
	action  signaler.Action
	status  descriptor.JobStatus
	problem *descriptor.Problem
}

// Submit binds the job's idempotency key to a job ID and to one of the target shards, which are listed best
// first. This shard is the registrar of the key. The target shard still has to accept the job. Submit
// returns the ID, the target and whether the binding existed before.
func (driver *Driver) Submit(ctx context.Context, job descriptor.Job, targets []descriptor.ShardID) (descriptor.JobID, descriptor.ShardID, bool, error) {
	action, err := driver.runCommand(ctx, "shard.submit", func(requestID signaler.RequestID) signaler.Event {
		return signaler.Bind{
			Request: requestID,
			Job:     job,
			Targets: targets,
			Nonce:   rand.Uint64(),
		}
	})
	if err != nil {
		return "", "", false, err
	}
	bound, _ := action.(signaler.AnswerBind)
	return bound.ID, bound.Target, bound.Existed, nil
}

// Accept makes a job durable in this shard. It is idempotent.
func (driver *Driver) Accept(ctx context.Context, id descriptor.JobID, job descriptor.Job) error {
	_, err := driver.runCommand(ctx, "shard.accept", func(requestID signaler.RequestID) signaler.Event {
		return signaler.Accept{
			Request: requestID,
			ID:      id,
			Job:     job,
		}
	})
	return err
}

// Status returns the status of a job of this shard, including its decision trail if explain is set.
func (driver *Driver) Status(ctx context.Context, id descriptor.JobID, explain bool) (descriptor.JobStatus, error) {
	return driver.runQuery(ctx, "shard.status", func(controller *controller.Controller) (descriptor.JobStatus, *descriptor.Problem) {
		return controller.Status(id, explain)
	})
}

// runQuery runs a read-only query of the controller in the event loop.
func (driver *Driver) runQuery(ctx context.Context, spanName string,
	read func(*controller.Controller) (descriptor.JobStatus, *descriptor.Problem),
) (descriptor.JobStatus, error) {
	ctx, span := driver.startSpan(ctx, spanName)
	defer span.End()
	result := driver.sendRequest(ctx, request{
		query: func(controller *controller.Controller) answer {
			status, problem := read(controller)
			return answer{
				status:  status,
				problem: problem,
			}
		},
	})
	if result.problem != nil {
		return descriptor.JobStatus{}, failSpan(span, result.problem)
	}
	return result.status, nil
}

// Cancel cancels a job and returns its status once the cancellation is durable.
func (driver *Driver) Cancel(ctx context.Context, id descriptor.JobID) (descriptor.JobStatus, error) {
	action, err := driver.runCommand(ctx, "shard.cancel", func(requestID signaler.RequestID) signaler.Event {
		return signaler.Cancel{
			Request: requestID,
			ID:      id,
		}
	})
	if err != nil {
		return descriptor.JobStatus{}, err
	}
	cancelled, _ := action.(signaler.AnswerCancel)
	return cancelled.Status, nil
}

// runCommand passes an event to the controller and returns the action that answers it.
func (driver *Driver) runCommand(ctx context.Context, spanName string,
	newEvent func(requestID signaler.RequestID) signaler.Event,
) (signaler.Action, error) {
	ctx, span := driver.startSpan(ctx, spanName)
	defer span.End()
	answer := driver.sendRequest(ctx, request{
		newEvent: newEvent,
	})
	if answer.problem == nil {
		answer.problem = problemOf(answer.action)
	}
	if answer.problem != nil {
		return nil, failSpan(span, answer.problem)
	}
	return answer.action, nil
}

// problemOf returns the problem in an answering action, or nil.
func problemOf(action signaler.Action) *descriptor.Problem {
	switch action := action.(type) {
	case signaler.AnswerBind:
		return action.Problem
	case signaler.AnswerAccept:
		return action.Problem
	case signaler.AnswerCancel:
		return action.Problem
	default:
		return nil
	}
}

func (driver *Driver) startSpan(ctx context.Context, spanName string) (context.Context, trace.Span) {
	return driver.tracer.Start(ctx, spanName, trace.WithAttributes(attribute.String("shard", string(driver.options.Shard))))
}

// failSpan marks the span as failed and returns the problem as an error.
func failSpan(span trace.Span, problem *descriptor.Problem) error {
	span.SetStatus(codes.Error, string(problem.Code))
	return problem
}

// sendRequest passes a request to the event loop and waits for the answer. A request that the loop didn't
// receive had no effect. Once it has been received, it may take effect even if ctx ends before the answer.
func (driver *Driver) sendRequest(ctx context.Context, request request) answer {
	term := driver.term.Load()
	if term == nil {
		return answer{
			problem: driver.noOwnerProblem(),
		}
	}
	request.answers = make(chan answer, 1)
	select {
	case term.requests <- request:
	case <-term.closed:
		return answer{
			problem: driver.noOwnerProblem(),
		}
	case <-ctx.Done():
		return answer{
			problem: descriptor.NewProblem(descriptor.CodeOverloaded, retryAfter, "shard %s is overloaded; the request had no effect", driver.options.Shard),
		}
	}
	select {
	case answer := <-request.answers:
		return answer
	case <-ctx.Done():
		return answer{
			problem: driver.uncertainProblem(),
		}
	}
}

func (driver *Driver) noOwnerProblem() *descriptor.Problem {
	return descriptor.NewProblem(descriptor.CodeNoOwner, retryAfter,
		"shard %s is not owned by this instance at present", driver.options.Shard)
}

func (driver *Driver) uncertainProblem() *descriptor.Problem {
	return descriptor.NewProblem(descriptor.CodeUncertain, retryAfter,
		"shard %s may have carried out the request; ask again with the same key", driver.options.Shard)
}
