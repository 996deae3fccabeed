// Package caller is the HTTP client of the public API. It repeats a call only where that cannot
// make work run twice, and turns every failure into a descriptor.Problem.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/entry/presenter"
	"pomelomoor/internal/node/tracer"
	"pomelomoor/internal/work/descriptor"
)

// Defaults of a Client.
const (
	DefaultAttempts = 4
	DefaultTimeout  = 30 * time.Second
)

// Bounds of the wait between attempts. A server that asks for a longer wait ends the attempts,
// because the person or program behind the client decides about that better.
const (
	minWait = 100 * time.Millisecond
	maxWait = 10 * time.Second
)

// answerGrace is how long an answer is awaited past the deadline of a request. An entry instance tells
// the fate up to half a second after the deadline, and a busy network or client adds to that.
const answerGrace = time.Second

// maxAnswer bounds the memory of one answer. The largest documents are configurations in a conflict.
const maxAnswer = 8 << 20

// plain follows no redirects, because the API has none and a followed one would be a repetition.
var plain = &http.Client{
	CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	},
}

// Client calls the public API. Only Servers is required.
type Client struct {
	// Servers lists base URLs such as http://127.0.0.1:8080, or addresses without a scheme.
	// Attempts of one call go through them in turn.
	Servers []string
	// HTTP is the client to use; nil means one that follows no redirects.
	HTTP *http.Client
	// Attempts bounds the attempts of one call.
	Attempts int
	// Timeout bounds one call with all its attempts. The answer to a request with a deadline is awaited
	// a little longer, because it tells whether the request ran.
	Timeout time.Duration
	// Wait waits between attempts; nil means a timer. Tests replace it.
	Wait func(ctx context.Context, wait time.Duration) error
}

// repetition tells when a call may be repeated.
type repetition int

const (
	// afterProof repeats a call only when it provably had no effect.
	afterProof repetition = iota
	// always repeats a call also when its outcome is uncertain.
	always
)

// call is one call of the API.
type call struct {
	method     string
	path       string
	header     http.Header
	body       []byte
	repetition repetition
	// extra is added to the client's time limit.
	extra time.Duration
	// deadline is told to the server as the time that is left, because clocks may differ.
	deadline time.Time
	// reads means that the call has no effect, so that an attempt without an outcome does not matter.
	reads bool
}

// late reports whether the deadline will have passed after wait.
func (call *call) late(wait time.Duration) bool {
	return !call.deadline.IsZero() && !time.Now().Add(wait).Before(call.deadline)
}

// bound returns a context that ends when the answer to call is given up.
func (call *call) bound(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	end := time.Now().Add(timeout + call.extra)
	if call.deadline.IsZero() {
		return context.WithDeadline(ctx, end)
	}
	if call.deadline.After(end) {
		call.deadline = end
	}
	return context.WithDeadline(ctx, call.deadline.Add(answerGrace))
}

// answer is a complete answer of an entry instance.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// Sleep waits for a duration or until ctx ends.
func Sleep(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// do carries out call with repetitions and returns an answer that is no problem.
func (client *Client) do(ctx context.Context, call call) (answer, error) {
	if len(client.Servers) == 0 {
		return answer{}, descriptor.NewProblem(descriptor.CodeInvalid, 0, "no server is given")
	}
	timeout := client.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := call.bound(ctx, timeout)
	defer cancel()
	attempts := client.Attempts
	if attempts == 0 {
		attempts = DefaultAttempts
	}
	first := rand.IntN(len(client.Servers))
	var outcome outcome
	for attempt := 1; attempt <= attempts && !call.late(0); attempt++ {
		server := client.Servers[(first+attempt)%len(client.Servers)]
		result, err := client.attempt(ctx, server, call)
		if err == nil {
			return result, nil
		}
		outcome.add(err)
		wait, again := pause(err, call.repetition, attempt)
		if !again || attempt == attempts || call.late(wait) || client.wait(ctx, wait) != nil {
			break
		}
	}
	return answer{}, outcome.settle(call)
}

// outcome is what the attempts of one call have shown.
type outcome struct {
	last error
	// uncertain means that an attempt may have had an effect.
	uncertain bool
}

func (outcome *outcome) add(err error) {
	outcome.last = err
	var problem *descriptor.Problem
	if errors.As(err, &problem) && problem.Code == descriptor.CodeUncertain {
		outcome.uncertain = true
	}
}

// settle returns the error of the call as a whole.
func (outcome *outcome) settle(call call) error {
	if outcome.last == nil {
		return descriptor.NewProblem(descriptor.CodeDeadline, 0, "the deadline passed before the request was sent")
	}
	var problem *descriptor.Problem
	if outcome.uncertain && !call.reads && errors.As(outcome.last, &problem) {
		if whole := presenter.CombineWithUncertain(problem); whole != problem {
			return whole
		}
	}
	return outcome.last
}

func (client *Client) wait(ctx context.Context, wait time.Duration) error {
	if client.Wait != nil {
		return client.Wait(ctx, wait)
	}
	return Sleep(ctx, wait)
}

// pause returns how long to wait before the next attempt, and whether there may be one.
func pause(err error, repetition repetition, attempt int) (time.Duration, bool) {
	var problem *descriptor.Problem
	if !errors.As(err, &problem) {
		return 0, false
	}
	uncertain := problem.Code == descriptor.CodeUncertain && repetition == always
	if !uncertain && !presenter.Transient(problem.Code) || problem.RetryAfter.Duration > maxWait {
		return 0, false
	}
	// Half of the wait is random, so that clients refused together do not return together.
	wait := min(minWait<<min(attempt, 10), maxWait)
	return max(wait/2+rand.N(wait/2), problem.RetryAfter.Duration), true
}

// attempt sends call once.
func (client *Client) attempt(ctx context.Context, server string, call call) (answer, error) {
	var connected atomic.Bool
	ctx, cancel := context.WithCancel(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			connected.Store(true)
		},
	}))
	defer cancel()
	if !call.deadline.IsZero() {
		// Only a request that was sent has an answer to await past the deadline.
		timer := time.AfterFunc(time.Until(call.deadline), func() {
			if !connected.Load() {
				cancel()
			}
		})
		defer timer.Stop()
	}
	request, err := call.request(ctx, server)
	if err != nil {
		return answer{}, descriptor.NewProblem(descriptor.CodeInvalid, 0, "%s", err)
	}
	agent := client.HTTP
	if agent == nil {
		agent = plain
	}
	response, err := agent.Do(request)
	if err != nil {
		return answer{}, broken(call, connected.Load(), err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return answer{}, broken(call, true, err)
	}
	if len(body) > maxAnswer {
		return answer{}, descriptor.NewProblem(descriptor.CodeInternal, 0, "the answer is larger than %d bytes", maxAnswer)
	}
	result := answer{
		status: response.StatusCode,
		header: response.Header,
		body:   body,
	}
	return result, result.problem(call)
}

// request returns the HTTP request of one attempt.
func (call *call) request(ctx context.Context, server string) (*http.Request, error) {
	if !strings.Contains(server, "://") {
		server = "http://" + server
	}
	request, err := http.NewRequestWithContext(ctx, call.method, strings.TrimSuffix(server, "/")+call.path, bytes.NewReader(call.body))
	if err != nil {
		return nil, err
	}
	for name, values := range call.header {
		request.Header[name] = values
	}
	if !call.deadline.IsZero() {
		// The deadline may pass at this moment; the server then refuses without a fault of the call.
		left := max(min(time.Until(call.deadline), presenter.MaxTimeout), time.Nanosecond)
		request.Header.Set(presenter.HeaderTimeout, left.String())
	}
	if call.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	tracer.Inject(ctx, request.Header)
	return request, nil
}

// broken returns the problem of a call without a complete answer. Without a connection nothing was sent.
func broken(call call, connected bool, err error) error {
	if !connected || call.reads {
		return descriptor.NewProblem(descriptor.CodeUnavailable, 0, "%s", err)
	}
	return descriptor.NewProblem(descriptor.CodeUncertain, 0, "the answer did not arrive: %s", err)
}

// problem returns the error that the answer reports, or nil.
func (answer *answer) problem(call call) error {
	code := descriptor.Code(answer.header.Get(presenter.HeaderCode))
	switch {
	case code == descriptor.CodeConflict:
		return decodeProblem(answer.body, &presenter.Conflict{})
	case code != "":
		return decodeProblem(answer.body, &descriptor.Problem{})
	case answer.header.Get(presenter.HeaderFate) != "":
		// An upstream's answer has the status that the upstream chose.
		return nil
	case answer.status >= http.StatusOK && answer.status < http.StatusMultipleChoices:
		return nil
	case call.reads:
		return descriptor.NewProblem(descriptor.CodeUnavailable, 0, "something between answered with status %d", answer.status)
	default:
		return descriptor.NewProblem(descriptor.CodeUncertain, 0, "something between answered with status %d", answer.status)
	}
}

// decodeProblem reads a problem document into the error target.
func decodeProblem(body []byte, target error) error {
	if err := json.Unmarshal(body, target); err != nil {
		return descriptor.NewProblem(descriptor.CodeInternal, 0, "the server's error is no JSON document")
	}
	return target
}

// document carries out call and reads the JSON document of its answer.
func document[T any](ctx context.Context, client *Client, call call) (T, answer, error) {
	var target T
	result, err := client.do(ctx, call)
	if err != nil {
		return target, result, err
	}
	if err := json.Unmarshal(result.body, &target); err != nil {
		return target, result, descriptor.NewProblem(descriptor.CodeInternal, 0, "the answer is no such document: %s", err)
	}
	return target, result, nil
}
