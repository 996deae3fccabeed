package retrier

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/gateway/requester"
	"pomelomoor/internal/member/peerpb"
	"pomelomoor/internal/work/descriptor"
)

// FromError converts an error of a runner. Only requester.ErrNotRun proves that the request was not
// run; any other error leaves it uncertain.
func FromError(err error) Outcome {
	if errors.Is(err, requester.ErrNotRun) {
		return NotRun{
			Problem: descriptor.NewProblem(descriptor.CodeUnavailable, retryAfter, "request was not run: %v", err),
		}
	}
	return Uncertain{
		Reason: fmt.Sprintf("request may have run: %v", err),
	}
}

// FromResponse converts a peer's response. An unknown fate leaves it uncertain whether the request was run.
func FromResponse(response *peerpb.ForwardReply) Outcome {
	problem := decodeProblem(response.GetProblem())
	switch response.GetFate() {
	case descriptor.NewFateRecord(descriptor.Done{}).Fate:
		return Responded{
			Status: int(response.GetStatus()),
		}
	case descriptor.NewFateRecord(descriptor.Failed{}).Fate:
		return Responded{
			Status: max(int(response.GetStatus()), 500),
		}
	case descriptor.NewFateRecord(descriptor.NotRun{}).Fate:
		if response.GetProblem() == nil {
			problem = descriptor.NewProblem(descriptor.CodeUnavailable, retryAfter, "%s", problem.Message)
		}
		return NotRun{
			Problem: problem,
		}
	default:
		return Uncertain{
			Reason: problem.Message,
		}
	}
}

func decodeProblem(problem *peerpb.Problem) *descriptor.Problem {
	if problem == nil {
		return descriptor.NewProblem(descriptor.CodeUncertain, 0, "peer gave no reason")
	}
	retryAfter := time.Duration(problem.GetRetryAfterMillis()) * time.Millisecond
	return descriptor.NewProblem(descriptor.Code(problem.GetCode()), retryAfter, "%s", problem.GetMessage())
}

// EncodeProblem converts problem to the message that FromResponse decodes.
func EncodeProblem(problem *descriptor.Problem) *peerpb.Problem {
	if problem == nil {
		return nil
	}
	return &peerpb.Problem{
		Code:             string(problem.Code),
		Message:          problem.Message,
		RetryAfterMillis: problem.RetryAfter.Milliseconds(),
	}
}
