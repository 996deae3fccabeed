package jobrouter

import (
	"context"
	"encoding/json"
	"time"

	"pomelomoor/internal/entry/presenter"
	"pomelomoor/internal/member/peerpb"
	"pomelomoor/internal/work/descriptor"
)

// ServeSubmit handles a submission from a peer whose registrar shard this instance owns.
func (jobRouter *JobRouter) ServeSubmit(ctx context.Context, request *peerpb.SubmitRequest) *peerpb.SubmitReply {
	var job descriptor.Job
	if err := json.Unmarshal(request.GetDescription(), &job); err != nil {
		return &peerpb.SubmitReply{
			Problem: encodeProblem(descriptor.NewProblem(descriptor.CodeInvalid, 0, "%v", err)),
		}
	}
	localShard, ok := jobRouter.options.Local(descriptor.ShardID(request.GetRegistrar()))
	if !ok {
		return &peerpb.SubmitReply{
			Problem: encodeProblem(notOwner(request.GetRegistrar())),
		}
	}
	targets := make([]descriptor.ShardID, 0, len(request.GetTargets()))
	for _, target := range request.GetTargets() {
		targets = append(targets, descriptor.ShardID(target))
	}
	id, existed, err := jobRouter.register(ctx, localShard, &job, request.GetDescription(), targets)
	return &peerpb.SubmitReply{
		Job:     string(id),
		Existed: existed,
		Problem: encodeProblem(err),
	}
}

func notOwner(shard string) error {
	return descriptor.NewProblem(descriptor.CodeNoOwner, retryAfter, "shard %s is not owned by the called instance", shard)
}

// ServeAccept stores or probes a job in a shard that this instance owns, on behalf of the owner of its
// registrar shard.
func (jobRouter *JobRouter) ServeAccept(ctx context.Context, request *peerpb.AcceptRequest) *peerpb.AcceptReply {
	var job descriptor.Job
	if err := json.Unmarshal(request.GetDescription(), &job); err != nil {
		return &peerpb.AcceptReply{
			Problem: encodeProblem(descriptor.NewProblem(descriptor.CodeInvalid, 0, "%v", err)),
		}
	}
	localShard, ok := jobRouter.options.Local(descriptor.ShardID(request.GetShard()))
	if !ok {
		return &peerpb.AcceptReply{
			Problem: encodeProblem(notOwner(request.GetShard())),
		}
	}
	var err error
	if request.GetProbe() {
		err = localShard.Probe(ctx, job)
	} else {
		err = localShard.Accept(ctx, descriptor.JobID(request.GetJob()), job)
	}
	return &peerpb.AcceptReply{
		Problem: encodeProblem(err),
	}
}

// ServeQuery returns the state of a job in a shard that this instance owns, if requested after a wait.
func (jobRouter *JobRouter) ServeQuery(ctx context.Context, request *peerpb.QueryRequest) *peerpb.QueryReply {
	return jobRouter.serveJobCall(request, func(localShard LocalShard) (descriptor.JobStatus, error) {
		if wait := request.GetWaitMillis(); wait > 0 {
			// A longer wait is cut short, and the caller can query again.
			wait = min(wait, presenter.MaxJobWait.Milliseconds())
			return jobRouter.awaitLocal(ctx, localShard, descriptor.JobID(request.GetJob()), time.Duration(wait)*time.Millisecond)
		}
		return localShard.Status(ctx, descriptor.JobID(request.GetJob()), request.GetExplain())
	})
}

// ServeCancel cancels a job in a shard that this instance owns.
func (jobRouter *JobRouter) ServeCancel(ctx context.Context, request *peerpb.QueryRequest) *peerpb.QueryReply {
	return jobRouter.serveJobCall(request, func(localShard LocalShard) (descriptor.JobStatus, error) {
		return localShard.Cancel(ctx, descriptor.JobID(request.GetJob()))
	})
}

func (jobRouter *JobRouter) serveJobCall(request *peerpb.QueryRequest,
	call func(LocalShard) (descriptor.JobStatus, error),
) *peerpb.QueryReply {
	shard, _ := jobRouter.ShardOf(descriptor.JobID(request.GetJob()))
	localShard, ok := jobRouter.options.Local(shard)
	if !ok {
		return &peerpb.QueryReply{
			Problem: encodeProblem(notOwner(string(shard))),
		}
	}
	result, err := call(localShard)
	if err != nil {
		return &peerpb.QueryReply{
			Problem: encodeProblem(err),
		}
	}
	document, err := json.Marshal(result)
	return &peerpb.QueryReply{
		Document: document,
		Problem:  encodeProblem(err),
	}
}
