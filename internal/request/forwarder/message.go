package forwarder

import (
	"strings"
	"time"

	"pomelomoor/internal/member/peerpb"
	"pomelomoor/internal/request/retrier"
	"pomelomoor/internal/work/descriptor"
)

// rootID returns the ID of the request that an attempt or a forward belongs to.
func rootID(id string) string {
	root, _, _ := strings.Cut(id, ".")
	return root
}

// decodeReply translates a peer's reply. A fate of no known kind proves nothing.
func decodeReply(reply *peerpb.ForwardReply) answer {
	problem := decodeProblem(reply.GetProblem())
	result := answer{
		status: int(reply.GetStatus()),
		body:   reply.GetBody(),
	}
	switch reply.GetFate() {
	case descriptor.Record(descriptor.Done{}).Fate:
		result.outcome = retrier.Answered{
			Status: result.status,
		}
	case descriptor.Record(descriptor.Failed{}).Fate:
		result.outcome = retrier.Answered{
			Status: max(result.status, 500),
		}
	case descriptor.Record(descriptor.NotRun{}).Fate:
		if reply.GetProblem() == nil {
			problem = descriptor.NewProblem(descriptor.CodeUnavailable, drainRetryAfter, "%s", problem.Message)
		}
		result.outcome = retrier.NotRun{
			Problem: problem,
		}
	default:
		result.outcome = retrier.Uncertain{
			Reason: problem.Message,
		}
	}
	return result
}

func encodeProblem(problem *descriptor.Problem) *peerpb.Problem {
	if problem == nil {
		return nil
	}
	return &peerpb.Problem{
		Code:             string(problem.Code),
		Message:          problem.Message,
		RetryAfterMillis: problem.RetryAfter.Milliseconds(),
	}
}

func decodeProblem(problem *peerpb.Problem) *descriptor.Problem {
	if problem == nil {
		return descriptor.NewProblem(descriptor.CodeUncertain, 0, "peer gave no reason")
	}
	retryAfter := time.Duration(problem.GetRetryAfterMillis()) * time.Millisecond
	return descriptor.NewProblem(descriptor.Code(problem.GetCode()), retryAfter, "%s", problem.GetMessage())
}
