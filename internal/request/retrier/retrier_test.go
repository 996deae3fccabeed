package retrier

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pomelomoor/internal/work/descriptor"
)

// Guards against a second run of non-idempotent work, a NotRun without proof, and retries beyond
// the attempts, the deadline or the budgets.
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
			try(t, &retrier, request, start, paid, earned)
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

// try makes attempts with random outcomes until one is final. It adds up the tokens of the caller.
func try(t *rapid.T, retrier *Retrier, request *Request, start time.Time, paid, earned map[string]float64) {
	outcomes := []Outcome{
		Answered{
			Status: 200,
		},
		Answered{
			Status: 502,
		},
		NotRun{},
		Uncertain{},
	}
	ran, uncertain := false, false
	for attempt := 1; ; attempt++ {
		now := start.Add(time.Duration(rapid.IntRange(0, attempt).Draw(t, "now")) * time.Second)
		outcome := rapid.SampledFrom(outcomes).Draw(t, "outcome")
		price := TokensPerRetry
		switch outcome := outcome.(type) {
		case Answered:
			ran = true
			if outcome.Status < 500 {
				earned[request.Caller] += TokensPerSuccess
			}
		case Uncertain:
			uncertain = true
		case NotRun:
			price = TokensPerRefusal
		}
		verdict := retrier.Decide(now, request, outcome)
		if !verdict.Retry {
			checkEnd(t, verdict, outcome, ran, uncertain)
			return
		}
		if !request.Idempotent && (ran || uncertain) {
			t.Fatalf("non-idempotent request is retried after %#v", outcome)
		}
		if attempt >= request.MaxAttempts || !now.Before(request.Deadline) {
			t.Fatalf("attempt %d is followed by another one", attempt)
		}
		paid[request.Caller] += price
	}
}

func checkEnd(t *rapid.T, verdict Verdict, outcome Outcome, ran, uncertain bool) {
	answered, isAnswer := outcome.(Answered)
	success := isAnswer && answered.Status < 500
	if (verdict.Problem == nil) != success {
		t.Fatalf("problem is %v after %#v", verdict.Problem, outcome)
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
	if got := descriptor.Record(verdict.Fate).Fate; got != want {
		t.Fatalf("fate is %s, want %s", got, want)
	}
}

// Guards against a budget over all callers that many callers together can exceed.
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
	if len(retrier.callers) > maxCallers {
		t.Fatalf("%d callers are kept", len(retrier.callers))
	}
}
