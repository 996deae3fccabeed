package retrier

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pomelomoor/internal/work/descriptor"
)

// Guards against a second run of non-idempotent work, the fate NotRun for a request that may have run,
// and retries beyond the attempt limit, the deadline or the budgets.
func TestDecide(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	rapid.Check(t, func(t *rapid.T) {
		var retrier Retrier
		paid, earned := map[string]float64{}, map[string]float64{}
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			request := &Request{
				Caller:      fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "caller")),
				Idempotent:  rapid.Bool().Draw(t, "idempotent"),
				MaxAttempts: rapid.IntRange(0, 4).Draw(t, "attempts"),
				Deadline:    start.Add(3 * time.Second),
			}
			runAttempts(t, &retrier, request, start, paid, earned)
		}
		total := 0.0
		for caller, sum := range paid {
			total += sum
			if sum > MaxCallerTokens+earned[caller]+1e-6 {
				t.Fatalf("caller %s spent %v tokens and earned %v", caller, sum, earned[caller])
			}
		}
		if total > MaxTokens+earned["0"]+earned["1"]+1e-6 {
			t.Fatalf("callers spent %v tokens", total)
		}
	})
}

// runAttempts reports random outcomes until the decision is final. It adds the caller's tokens to paid
// and earned.
func runAttempts(t *rapid.T, retrier *Retrier, request *Request, start time.Time, paid, earned map[string]float64) {
	outcomes := []Outcome{
		Responded{
			Status: 200,
		},
		Responded{
			Status: 502,
		},
		NotRun{},
		Uncertain{},
	}
	ran, uncertain := false, false
	for attempt := 1; ; attempt++ {
		now := start.Add(time.Duration(rapid.IntRange(0, attempt).Draw(t, "now")) * time.Second)
		outcome := rapid.SampledFrom(outcomes).Draw(t, "outcome")
		cost := TokensPerRetry
		switch outcome := outcome.(type) {
		case Responded:
			ran = true
			if outcome.Status < 500 {
				earned[request.Caller] += TokensPerSuccess
			}
		case Uncertain:
			uncertain = true
		case NotRun:
			cost = TokensPerRefusal
		}
		decision := retrier.Decide(now, request, outcome)
		if !decision.Retry {
			checkDecision(t, decision, outcome, ran, uncertain)
			return
		}
		if !request.Idempotent && (ran || uncertain) {
			t.Fatalf("non-idempotent request was retried after %#v", outcome)
		}
		if attempt >= request.MaxAttempts || !now.Before(request.Deadline) {
			t.Fatalf("request was retried after attempt %d, beyond its limit or deadline", attempt)
		}
		paid[request.Caller] += cost
	}
}

func checkDecision(t *rapid.T, decision Decision, outcome Outcome, ran, uncertain bool) {
	responded, isResponse := outcome.(Responded)
	success := isResponse && responded.Status < 500
	if (decision.Problem == nil) != success {
		t.Fatalf("problem is %v after %#v", decision.Problem, outcome)
	}
	want := "NotRun"
	switch {
	case success:
		want = "Done"
	case uncertain:
		want = "Unknown"
	case ran:
		want = "Failed"
	}
	if got := descriptor.NewFateRecord(decision.Fate).Fate; got != want {
		t.Fatalf("fate is %s, want %s", got, want)
	}
}

// Guards against many callers that together exceed the budget over all callers, and against a table of
// callers that grows without bound.
func TestTotalBudget(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var retrier Retrier
	retries := 0
	for i := range 2 * maxCallers {
		request := &Request{
			Caller:      fmt.Sprint(i),
			Idempotent:  true,
			MaxAttempts: 2,
			Deadline:    start.Add(time.Second),
		}
		if retrier.Decide(start, request, Uncertain{}).Retry {
			retries++
		}
	}
	if retries != MaxTokens/TokensPerRetry {
		t.Fatalf("%d retries without a success, want %v", retries, MaxTokens/TokensPerRetry)
	}
	if len(retrier.spentByCaller) > maxCallers {
		t.Fatalf("%d callers are stored", len(retrier.spentByCaller))
	}
}
