// Package retrier decides whether an attempt at a request is followed by another one, and the
// final fate of the request. It is pure and not safe for concurrent use.
package retrier

import (
	"time"

	"pomelomoor/internal/work/descriptor"
)

// Budgets. A retry takes tokens of its caller and of all callers; a success earns a fraction of
// one, so that under lasting faults retries add at most a tenth to the load.
const (
	TokensPerSuccess = 0.1
	TokensPerRetry   = 1.0
	// TokensPerRefusal is lower, because a request that was not run took no time of a slot, and
	// while members change, refusals by full runners are usual.
	TokensPerRefusal = 0.1
	MaxCallerTokens  = 10.0
	MaxTokens        = 100.0
	// maxCallers bounds the memory for callers with spent tokens.
	maxCallers = 4096
	// retryAfter is what callers are told when the system itself may not try again.
	retryAfter = time.Second
)

// Outcome is the end of one attempt. It is one of Answered, NotRun and Uncertain.
type Outcome interface {
	isOutcome()
}

// Answered means that the upstream gave a complete answer to this attempt.
type Answered struct {
	// Status is the upstream's HTTP status.
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

func (Answered) isOutcome()  {}
func (NotRun) isOutcome()    {}
func (Uncertain) isOutcome() {}

// Request is what the attempts at one request have shown so far.
type Request struct {
	Caller     string
	Idempotent bool
	// MaxAttempts bounds the attempts; less than 1 counts as 1.
	MaxAttempts int
	Deadline    time.Time

	attempts int
	// uncertain and failed tell of earlier attempts. They forbid the fate NotRun.
	uncertain bool
	failed    bool
}

// Attempts returns how many attempts have ended.
func (request *Request) Attempts() int {
	return request.attempts
}

// Verdict is what follows an attempt. Without Retry, Fate is final for the request, and Problem is
// set where it is an error.
type Verdict struct {
	Retry   bool
	Fate    descriptor.Fate
	Problem *descriptor.Problem
}

// Retrier holds the retry budgets. The zero value has full ones.
type Retrier struct {
	spent   float64
	callers map[string]float64
	order   []string
}

// Decide records the outcome of an attempt and returns what follows.
func (retrier *Retrier) Decide(now time.Time, request *Request, outcome Outcome) Verdict {
	request.attempts++
	switch outcome := outcome.(type) {
	case Answered:
		if outcome.Status < 500 {
			retrier.earn(request.Caller)
			return Verdict{
				Fate: descriptor.Done{
					At: now,
				},
			}
		}
		request.failed = true
		if request.Idempotent && retrier.allow(now, request, TokensPerRetry) {
			return Verdict{
				Retry: true,
			}
		}
		return request.Abandon(now, descriptor.NewProblem(descriptor.CodeUpstream, 0, "upstream answered with status %d", outcome.Status))
	case NotRun:
		if request.mayRepeat() && retrier.allow(now, request, TokensPerRefusal) {
			return Verdict{
				Retry: true,
			}
		}
		return request.Abandon(now, outcome.Problem)
	case Uncertain:
		request.uncertain = true
		if request.Idempotent && retrier.allow(now, request, TokensPerRetry) {
			return Verdict{
				Retry: true,
			}
		}
		return request.Abandon(now, descriptor.NewProblem(descriptor.CodeUncertain, 0, "%s", outcome.Reason))
	default:
		return request.Abandon(now, descriptor.NewProblem(descriptor.CodeInternal, 0, "outcome of attempt is missing"))
	}
}

// mayRepeat reports whether another attempt cannot run the work a second time against its will.
func (request *Request) mayRepeat() bool {
	return request.Idempotent || !request.uncertain && !request.failed
}

// Abandon returns the final fate of a request that gets no further attempt, because of problem.
// The fate holds over all attempts: NotRun is claimed only if none may have run.
func (request *Request) Abandon(now time.Time, problem *descriptor.Problem) Verdict {
	if problem == nil {
		problem = descriptor.NewProblem(descriptor.CodeUnavailable, retryAfter, "request was not run")
	}
	verdict := Verdict{
		Problem: problem,
	}
	switch {
	case request.uncertain:
		verdict.Fate = descriptor.Unknown{
			Reason: problem.Message,
		}
		if problem.Code != descriptor.CodeUncertain {
			verdict.Problem = descriptor.NewProblem(descriptor.CodeUncertain, problem.RetryAfter.Duration,
				"an earlier attempt may have run; the last one ended with: %s", problem.Message)
		}
	case request.failed:
		verdict.Fate = descriptor.Failed{
			At:     now,
			Reason: problem.Message,
		}
		if problem.Code != descriptor.CodeUpstream {
			verdict.Problem = descriptor.NewProblem(descriptor.CodeUpstream, problem.RetryAfter.Duration,
				"an earlier attempt failed; the last one ended with: %s", problem.Message)
		}
	default:
		verdict.Fate = descriptor.NotRun{
			Reason: problem.Message,
		}
	}
	return verdict
}

// allow reports whether attempts, time and budgets permit another attempt, and pays for it.
func (retrier *Retrier) allow(now time.Time, request *Request, price float64) bool {
	if request.attempts >= request.MaxAttempts || !now.Before(request.Deadline) {
		return false
	}
	spent := retrier.callers[request.Caller]
	if spent+price > MaxCallerTokens || retrier.spent+price > MaxTokens {
		return false
	}
	retrier.spent += price
	retrier.set(request.Caller, spent+price)
	return true
}

func (retrier *Retrier) earn(caller string) {
	retrier.spent = max(retrier.spent-TokensPerSuccess, 0)
	if spent, ok := retrier.callers[caller]; ok {
		retrier.set(caller, max(spent-TokensPerSuccess, 0))
	}
}

// set keeps the tokens that a caller has spent. Callers with full budgets need no record; when
// there are too many others, the oldest record goes, and the budget over all callers still holds.
func (retrier *Retrier) set(caller string, spent float64) {
	if _, ok := retrier.callers[caller]; !ok {
		if retrier.callers == nil {
			retrier.callers = map[string]float64{}
		}
		if len(retrier.order) >= maxCallers {
			delete(retrier.callers, retrier.order[0])
			retrier.order = retrier.order[1:]
		}
		retrier.order = append(retrier.order, caller)
	}
	retrier.callers[caller] = spent
}
