// Package retrier decides after each attempt of a request whether to retry, and determines the final
// fate of the request. The current time is an argument. A Retrier is not safe for concurrent use.
package retrier

import (
	"time"

	"pomelomoor/internal/work/descriptor"
)

// Retry budgets. A retry spends tokens of its caller's budget and of the budget over all callers. A
// success restores a fraction of a token, so that under lasting faults retries add at most a tenth to
// the load.
const (
	TokensPerSuccess = 0.1
	TokensPerRetry   = 1.0
	// TokensPerRefusal is the cost of a retry after an attempt that was not run. It is lower, because
	// such an attempt occupied no slot, and refusals by full runners are common while members change.
	TokensPerRefusal = 0.1
	MaxCallerTokens  = 10.0
	MaxTokens        = 100.0
	// maxCallers is the maximum number of callers whose spent tokens are stored, which bounds memory.
	maxCallers = 4096
	// retryAfter is the retry delay sent to callers whose request is not retried here.
	retryAfter = time.Second
)

// Outcome is the result of one attempt: Responded, NotRun or Uncertain.
type Outcome interface {
	isOutcome()
}

// Responded means that the runner returned a complete response to the attempt.
type Responded struct {
	// Status is the runner's HTTP status.
	Status int
}

// NotRun means that the attempt provably was not run.
type NotRun struct {
	Problem *descriptor.Problem
}

// Uncertain means that the attempt may have run.
type Uncertain struct {
	Reason string
}

func (Responded) isOutcome() {}
func (NotRun) isOutcome()    {}
func (Uncertain) isOutcome() {}

// Request is the retry state of one request.
type Request struct {
	Caller     string
	Idempotent bool
	// MaxAttempts is the maximum number of attempts; values below 1 count as 1.
	MaxAttempts int
	Deadline    time.Time

	attempts int
	// uncertain and failed report whether any attempt ended as Uncertain or with a server error. Either
	// rules out the fate NotRun.
	uncertain bool
	failed    bool
}

// Attempts returns the number of attempts that have ended.
func (request *Request) Attempts() int {
	return request.attempts
}

// Decision tells how to proceed after an attempt. If Retry is false, Fate is the final fate of the
// request, and Problem is set if that fate is an error.
type Decision struct {
	Retry   bool
	Fate    descriptor.Fate
	Problem *descriptor.Problem
}

// Retrier tracks the retry budgets. The zero value has full budgets.
type Retrier struct {
	spent         float64
	spentByCaller map[string]float64
	callerOrder   []string
}

// Decide records the outcome of an attempt and returns how to proceed.
func (retrier *Retrier) Decide(now time.Time, request *Request, outcome Outcome) Decision {
	request.attempts++
	switch outcome := outcome.(type) {
	case Responded:
		if outcome.Status < 500 {
			retrier.refund(request.Caller)
			return Decision{
				Fate: descriptor.Done{
					At: now,
				},
			}
		}
		request.failed = true
		if request.Idempotent && retrier.allow(now, request, TokensPerRetry) {
			return Decision{
				Retry: true,
			}
		}
		return request.Abandon(now, descriptor.NewProblem(descriptor.CodeUpstream, 0, "upstream responded with status %d", outcome.Status))
	case NotRun:
		if request.mayRetry() && retrier.allow(now, request, TokensPerRefusal) {
			return Decision{
				Retry: true,
			}
		}
		return request.Abandon(now, outcome.Problem)
	case Uncertain:
		request.uncertain = true
		if request.Idempotent && retrier.allow(now, request, TokensPerRetry) {
			return Decision{
				Retry: true,
			}
		}
		return request.Abandon(now, descriptor.NewProblem(descriptor.CodeUncertain, 0, "%s", outcome.Reason))
	default:
		return request.Abandon(now, descriptor.NewProblem(descriptor.CodeInternal, 0, "outcome of attempt is missing"))
	}
}

// mayRetry reports whether another attempt is safe: the request is idempotent, or no earlier attempt
// may have run.
func (request *Request) mayRetry() bool {
	return request.Idempotent || !request.uncertain && !request.failed
}

// Abandon returns the final fate of a request that gets no further attempt because of problem. The
// fate covers all attempts: it is NotRun only if none of them may have run.
func (request *Request) Abandon(now time.Time, problem *descriptor.Problem) Decision {
	if problem == nil {
		problem = descriptor.NewProblem(descriptor.CodeUnavailable, retryAfter, "request was not run")
	}
	decision := Decision{
		Problem: problem,
	}
	switch {
	case request.uncertain:
		decision.Fate = descriptor.Unknown{
			Reason: problem.Message,
		}
		if problem.Code != descriptor.CodeUncertain {
			decision.Problem = descriptor.NewProblem(descriptor.CodeUncertain, problem.RetryAfter.Duration,
				"an earlier attempt may have run; the last one ended with: %s", problem.Message)
		}
	case request.failed:
		decision.Fate = descriptor.Failed{
			At:     now,
			Reason: problem.Message,
		}
		if problem.Code != descriptor.CodeUpstream {
			decision.Problem = descriptor.NewProblem(descriptor.CodeUpstream, problem.RetryAfter.Duration,
				"an earlier attempt failed; the last one ended with: %s", problem.Message)
		}
	default:
		decision.Fate = descriptor.NotRun{
			Reason: problem.Message,
		}
	}
	return decision
}

// allow reports whether the attempt limit, the deadline and the budgets permit another attempt. If so,
// it spends cost tokens.
func (retrier *Retrier) allow(now time.Time, request *Request, cost float64) bool {
	if request.attempts >= request.MaxAttempts || !now.Before(request.Deadline) {
		return false
	}
	spent := retrier.spentByCaller[request.Caller]
	if spent+cost > MaxCallerTokens || retrier.spent+cost > MaxTokens {
		return false
	}
	retrier.spent += cost
	retrier.setSpent(request.Caller, spent+cost)
	return true
}

func (retrier *Retrier) refund(caller string) {
	retrier.spent = max(retrier.spent-TokensPerSuccess, 0)
	if spent, ok := retrier.spentByCaller[caller]; ok {
		retrier.setSpent(caller, max(spent-TokensPerSuccess, 0))
	}
}

// setSpent stores the tokens that a caller has spent. Callers that never retried have no entry. Beyond
// maxCallers entries the oldest one is dropped; the budget over all callers still applies.
func (retrier *Retrier) setSpent(caller string, spent float64) {
	if _, ok := retrier.spentByCaller[caller]; !ok {
		if retrier.spentByCaller == nil {
			retrier.spentByCaller = map[string]float64{}
		}
		if len(retrier.callerOrder) >= maxCallers {
			delete(retrier.spentByCaller, retrier.callerOrder[0])
			retrier.callerOrder = retrier.callerOrder[1:]
		}
		retrier.callerOrder = append(retrier.callerOrder, caller)
	}
	retrier.spentByCaller[caller] = spent
}
