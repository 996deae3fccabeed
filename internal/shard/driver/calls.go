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

// call is a request of the API on its way to the event loop.
type call struct {
	// event builds the event of a request that is answered by an action.
	event func(request signaler.Request) signaler.Event
	// query is answered at once.
	query func(machine *controller.Controller) answer
	reply chan answer
}

type answer struct {
	action  signaler.Action
	status  descriptor.JobStatus
	problem *descriptor.Problem
}

// Submit binds the job's idempotency key to a job ID and one of the target shards, best first. The
// shard is the registrar of the key. The job still has to be accepted by the target shard.
func (driver *Driver) Submit(ctx context.Context, job descriptor.Job, targets []descriptor.ShardID) (descriptor.JobID, descriptor.ShardID, bool, error) {
	action, err := driver.command(ctx, "shard.submit", func(request signaler.Request) signaler.Event {
		return signaler.Bind{
			Request: request,
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

// Accept makes a job durable in this shard. It may be repeated.
func (driver *Driver) Accept(ctx context.Context, id descriptor.JobID, job descriptor.Job) error {
	_, err := driver.command(ctx, "shard.accept", func(request signaler.Request) signaler.Event {
		return signaler.Accept{
			Request: request,
			ID:      id,
			Job:     job,
		}
	})
	return err
}

// Status returns what is known about a job of this shard, with its trail if explain is set.
func (driver *Driver) Status(ctx context.Context, id descriptor.JobID, explain bool) (descriptor.JobStatus, error) {
	return driver.query(ctx, "shard.status", func(machine *controller.Controller) (descriptor.JobStatus, *descriptor.Problem) {
		return machine.Status(id, explain)
	})
}

// query asks the controller something that changes nothing.
func (driver *Driver) query(ctx context.Context, name string,
	question func(*controller.Controller) (descriptor.JobStatus, *descriptor.Problem),
) (descriptor.JobStatus, error) {
	ctx, span := driver.start(ctx, name)
	defer span.End()
	answered := driver.ask(ctx, call{
		query: func(machine *controller.Controller) answer {
			status, problem := question(machine)
			return answer{
				status:  status,
				problem: problem,
			}
		},
	})
	if answered.problem != nil {
		return descriptor.JobStatus{}, failed(span, answered.problem)
	}
	return answered.status, nil
}

// Cancel cancels a job and returns its state once the cancellation is durable.
func (driver *Driver) Cancel(ctx context.Context, id descriptor.JobID) (descriptor.JobStatus, error) {
	action, err := driver.command(ctx, "shard.cancel", func(request signaler.Request) signaler.Event {
		return signaler.Cancel{
			Request: request,
			ID:      id,
		}
	})
	if err != nil {
		return descriptor.JobStatus{}, err
	}
	cancelled, _ := action.(signaler.AnswerCancel)
	return cancelled.Status, nil
}

// command hands an event to the controller and returns the action that answers it.
func (driver *Driver) command(ctx context.Context, name string,
	event func(request signaler.Request) signaler.Event,
) (signaler.Action, error) {
	ctx, span := driver.start(ctx, name)
	defer span.End()
	answer := driver.ask(ctx, call{
		event: event,
	})
	if answer.problem == nil {
		answer.problem = problemOf(answer.action)
	}
	if answer.problem != nil {
		return nil, failed(span, answer.problem)
	}
	return answer.action, nil
}

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

func (driver *Driver) start(ctx context.Context, name string) (context.Context, trace.Span) {
	return driver.tracer.Start(ctx, name, trace.WithAttributes(attribute.String("shard", string(driver.options.Shard))))
}

func failed(span trace.Span, problem *descriptor.Problem) error {
	span.SetStatus(codes.Error, string(problem.Code))
	return problem
}

// ask hands a call to the event loop and waits for its answer. A call that the loop did not take has
// had no effect; one that it took may have had one.
func (driver *Driver) ask(ctx context.Context, call call) answer {
	term := driver.term.Load()
	if term == nil {
		return answer{
			problem: driver.notOwned(),
		}
	}
	call.reply = make(chan answer, 1)
	select {
	case term.calls <- call:
	case <-term.closed:
		return answer{
			problem: driver.notOwned(),
		}
	case <-ctx.Done():
		return answer{
			problem: descriptor.NewProblem(descriptor.CodeOverloaded, retryAfter, "shard %s is too busy", driver.options.Shard),
		}
	}
	select {
	case answer := <-call.reply:
		return answer
	case <-ctx.Done():
		return answer{
			problem: driver.uncertain(),
		}
	}
}

func (driver *Driver) notOwned() *descriptor.Problem {
	return descriptor.NewProblem(descriptor.CodeNoOwner, retryAfter,
		"shard %s has no owner on this instance at present", driver.options.Shard)
}

func (driver *Driver) uncertain() *descriptor.Problem {
	return descriptor.NewProblem(descriptor.CodeUncertain, retryAfter,
		"shard %s may have taken the request; ask again with the same key", driver.options.Shard)
}
