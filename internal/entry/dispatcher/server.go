package dispatcher

import (
	"context"
	"encoding/json"
	"time"

	"pomelomoor/internal/entry/presenter"
	"pomelomoor/internal/member/peerpb"
	"pomelomoor/internal/work/descriptor"
)

// ServeSubmit answers a peer that took in a job whose registrar shard is owned here.
func (dispatcher *Dispatcher) ServeSubmit(ctx context.Context, request *peerpb.SubmitRequest) *peerpb.SubmitReply {
	var job descriptor.Job
	if err := json.Unmarshal(request.GetDescription(), &job); err != nil {
		return &peerpb.SubmitReply{
			Problem: toProblem(descriptor.NewProblem(descriptor.CodeInvalid, 0, "%v", err)),
		}
	}
	owner, ok := dispatcher.options.Local(descriptor.ShardID(request.GetRegistrar()))
	if !ok {
		return &peerpb.SubmitReply{
			Problem: toProblem(notOwner(request.GetRegistrar())),
		}
	}
	targets := make([]descriptor.ShardID, 0, len(request.GetTargets()))
	for _, target := range request.GetTargets() {
		targets = append(targets, descriptor.ShardID(target))
	}
	id, existed, err := dispatcher.register(ctx, owner, &job, request.GetDescription(), targets)
	return &peerpb.SubmitReply{
		Job:     string(id),
		Existed: existed,
		Problem: toProblem(err),
	}
}

func notOwner(shard string) error {
	return descriptor.NewProblem(descriptor.CodeNoOwner, retryAfter, "shard %s has moved", shard)
}

// ServeAccept answers a registrar that hands a job to a shard owned here.
func (dispatcher *Dispatcher) ServeAccept(ctx context.Context, request *peerpb.AcceptRequest) *peerpb.AcceptReply {
	var job descriptor.Job
	if err := json.Unmarshal(request.GetDescription(), &job); err != nil {
		return &peerpb.AcceptReply{
			Problem: toProblem(descriptor.NewProblem(descriptor.CodeInvalid, 0, "%v", err)),
		}
	}
	owner, ok := dispatcher.options.Local(descriptor.ShardID(request.GetShard()))
	if !ok {
		return &peerpb.AcceptReply{
			Problem: toProblem(notOwner(request.GetShard())),
		}
	}
	var err error
	if request.GetProbe() {
		err = owner.Probe(ctx, job)
	} else {
		err = owner.Accept(ctx, descriptor.JobID(request.GetJob()), job)
	}
	return &peerpb.AcceptReply{
		Problem: toProblem(err),
	}
}

// ServeQuery answers a question about a job of a shard owned here.
func (dispatcher *Dispatcher) ServeQuery(ctx context.Context, request *peerpb.QueryRequest) *peerpb.QueryReply {
	return dispatcher.serveQuestion(request, func(owner Owner) (descriptor.JobStatus, error) {
		if wait := request.GetWaitMillis(); wait > 0 {
			// A peer that asks for longer asks again.
			wait = min(wait, presenter.MaxJobWait.Milliseconds())
			return dispatcher.awaitLocal(ctx, owner, descriptor.JobID(request.GetJob()), time.Duration(wait)*time.Millisecond)
		}
		return owner.Status(ctx, descriptor.JobID(request.GetJob()), request.GetExplain())
	})
}

// ServeCancel cancels a job of a shard owned here.
func (dispatcher *Dispatcher) ServeCancel(ctx context.Context, request *peerpb.QueryRequest) *peerpb.QueryReply {
	return dispatcher.serveQuestion(request, func(owner Owner) (descriptor.JobStatus, error) {
		return owner.Cancel(ctx, descriptor.JobID(request.GetJob()))
	})
}

func (dispatcher *Dispatcher) serveQuestion(request *peerpb.QueryRequest,
	question func(Owner) (descriptor.JobStatus, error),
) *peerpb.QueryReply {
	shard, _ := dispatcher.ShardOf(descriptor.JobID(request.GetJob()))
	owner, ok := dispatcher.options.Local(shard)
	if !ok {
		return &peerpb.QueryReply{
			Problem: toProblem(notOwner(string(shard))),
		}
	}
	result, err := question(owner)
	if err != nil {
		return &peerpb.QueryReply{
			Problem: toProblem(err),
		}
	}
	document, err := json.Marshal(result)
	return &peerpb.QueryReply{
		Document: document,
		Problem:  toProblem(err),
	}
}
