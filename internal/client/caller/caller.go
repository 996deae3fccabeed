// Package caller is the HTTP client of the public API. It retries a call only where a retry cannot
// execute work twice, and returns every failure as a descriptor.Problem.
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

// Bounds of the wait between attempts. If a server asks for a wait longer than maxBackoff, the call
// fails instead of waiting, and the user of the client decides whether to try again.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 10 * time.Second
)

// responseGrace is how long the client waits for a response past the deadline of a request. An entry
// instance reports the fate up to half a second after the deadline, and a loaded network or client adds
// to that.
const responseGrace = time.Second

// maxResponseBytes limits the size of a response body. The largest documents are conflicts, which contain
// configurations.
const maxResponseBytes = 8 << 20

// noRedirectClient does not follow redirects: the API sends none, and following one would send the request
// a second time.
var noRedirectClient = &http.Client{
	CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	},
}

// Client calls the public API. Only Servers is required.
type Client struct {
	// Servers lists base URLs such as http://127.0.0.1:8080, or addresses without a scheme.
	// The attempts of a call use them in turn, starting at a random one.
	Servers []string
	// HTTP is the client to use; nil means one that does not follow redirects.
	HTTP *http.Client
	// Attempts is the maximum number of attempts of one call; 0 means DefaultAttempts.
	Attempts int
	// Timeout limits the duration of one call including all attempts; 0 means DefaultTimeout. The response
	// to a request with a deadline may arrive up to responseGrace later, because it reports whether the
	// request ran.
	Timeout time.Duration
	// Sleep waits between attempts; nil means the function Sleep. Tests replace it.
	Sleep func(ctx context.Context, wait time.Duration) error
}

// retryPolicy states after which failures a call may be retried.
type retryPolicy int

const (
	// retryIfNotExecuted retries a call only if the failed attempt provably had no effect.
	retryIfNotExecuted retryPolicy = iota
	// retryIfUncertain also retries a call if it is uncertain whether the failed attempt had an effect.
	retryIfUncertain
)

// call is one API call with its retry policy and time limits.
type call struct {
	method string
	path   string
	header http.Header
	body   []byte
	retry  retryPolicy
	// extraTimeout is added to the client's timeout. It is the time for which the call asks the server to wait
	// before it responds.
	extraTimeout time.Duration
	// deadline is sent to the server as the remaining time, because clocks may differ.
	deadline time.Time
	// readOnly means that the call has no effect, so an attempt that got no response does not make the
	// outcome uncertain.
	readOnly bool
}

// deadlineWithin reports whether the call has a deadline that passes within wait.
func (call *call) deadlineWithin(wait time.Duration) bool {
	return !call.deadline.IsZero() && !time.Now().Add(wait).Before(call.deadline)
}

// withDeadline returns a context that ends when the client stops waiting for a response. It shortens the
// call's deadline to the timeout.
func (call *call) withDeadline(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	end := time.Now().Add(timeout + call.extraTimeout)
	if call.deadline.IsZero() {
		return context.WithDeadline(ctx, end)
	}
	if call.deadline.After(end) {
		call.deadline = end
	}
	return context.WithDeadline(ctx, call.deadline.Add(responseGrace))
}

// response is an HTTP response whose body was read completely.
type response struct {
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

// do sends call, retrying it as its policy allows, and returns the first response that reports no problem.
func (client *Client) do(ctx context.Context, call call) (response, error) {
	if len(client.Servers) == 0 {
		return response{}, descriptor.NewProblem(descriptor.CodeInvalid, 0, "no server is given")
	}
	timeout := client.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := call.withDeadline(ctx, timeout)
	defer cancel()
	attempts := client.Attempts
	if attempts == 0 {
		attempts = DefaultAttempts
	}
	first := rand.IntN(len(client.Servers))
	var failures failures
	for attempt := 1; attempt <= attempts && !call.deadlineWithin(0); attempt++ {
		server := client.Servers[(first+attempt)%len(client.Servers)]
		response, err := client.attempt(ctx, server, call)
		if err == nil {
			return response, nil
		}
		failures.add(err)
		wait, retry := backoff(err, call.retry, attempt)
		if !retry || attempt == attempts || call.deadlineWithin(wait) || client.sleep(ctx, wait) != nil {
			break
		}
	}
	return response{}, failures.err(call)
}

// failures summarizes the failed attempts of one call.
type failures struct {
	last error
	// uncertain means that an attempt may have had an effect.
	uncertain bool
}

func (failures *failures) add(err error) {
	failures.last = err
	var problem *descriptor.Problem
	if errors.As(err, &problem) && problem.Code == descriptor.CodeUncertain {
		failures.uncertain = true
	}
}

// err returns the error of the whole call, which takes all attempts into account.
func (failures *failures) err(call call) error {
	if failures.last == nil {
		return descriptor.NewProblem(descriptor.CodeDeadline, 0, "the deadline passed before the request was sent")
	}
	var problem *descriptor.Problem
	if failures.uncertain && !call.readOnly && errors.As(failures.last, &problem) {
		if combined := presenter.CombineWithUncertain(problem); combined != problem {
			return combined
		}
	}
	return failures.last
}

func (client *Client) sleep(ctx context.Context, wait time.Duration) error {
	if client.Sleep != nil {
		return client.Sleep(ctx, wait)
	}
	return Sleep(ctx, wait)
}

// backoff returns how long to wait before the next attempt, and whether err allows another attempt.
func backoff(err error, policy retryPolicy, attempt int) (time.Duration, bool) {
	var problem *descriptor.Problem
	if !errors.As(err, &problem) {
		return 0, false
	}
	uncertain := problem.Code == descriptor.CodeUncertain && policy == retryIfUncertain
	if !uncertain && !presenter.Transient(problem.Code) || problem.RetryAfter.Duration > maxBackoff {
		return 0, false
	}
	// Half of the wait is random, so that clients that were refused at the same time do not retry at the
	// same time.
	wait := min(minBackoff<<min(attempt, 10), maxBackoff)
	return max(wait/2+rand.N(wait/2), problem.RetryAfter.Duration), true
}

// attempt sends call once.
func (client *Client) attempt(ctx context.Context, server string, call call) (response, error) {
	var connected atomic.Bool
	ctx, cancel := context.WithCancel(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			connected.Store(true)
		},
	}))
	defer cancel()
	if !call.deadline.IsZero() {
		// Past the deadline, only a request that has a connection can still get a response.
		timer := time.AfterFunc(time.Until(call.deadline), func() {
			if !connected.Load() {
				cancel()
			}
		})
		defer timer.Stop()
	}
	request, err := call.request(ctx, server)
	if err != nil {
		return response{}, descriptor.NewProblem(descriptor.CodeInvalid, 0, "%s", err)
	}
	httpClient := client.HTTP
	if httpClient == nil {
		httpClient = noRedirectClient
	}
	httpResponse, err := httpClient.Do(request)
	if err != nil {
		return response{}, transportProblem(call, connected.Load(), err)
	}
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes+1))
	if err != nil {
		return response{}, transportProblem(call, true, err)
	}
	if len(body) > maxResponseBytes {
		return response{}, descriptor.NewProblem(descriptor.CodeInternal, 0, "the response is larger than %d bytes", maxResponseBytes)
	}
	response := response{
		status: httpResponse.StatusCode,
		header: httpResponse.Header,
		body:   body,
	}
	return response, response.problem(call)
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
		// The deadline may already have passed here. A timeout of zero or less would be invalid, so the
		// smallest positive one is sent, and the server reports that the deadline passed.
		remaining := max(min(time.Until(call.deadline), presenter.MaxTimeout), time.Nanosecond)
		request.Header.Set(presenter.HeaderTimeout, remaining.String())
	}
	if call.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	tracer.Inject(ctx, request.Header)
	return request, nil
}

// transportProblem returns the problem of an attempt that got no complete response. Without a connection,
// nothing was sent, so the outcome is certain.
func transportProblem(call call, connected bool, err error) error {
	if !connected || call.readOnly {
		return descriptor.NewProblem(descriptor.CodeUnavailable, 0, "%s", err)
	}
	return descriptor.NewProblem(descriptor.CodeUncertain, 0, "no complete response received: %s", err)
}

// problem returns the error that the response reports, or nil.
func (response *response) problem(call call) error {
	code := descriptor.Code(response.header.Get(presenter.HeaderCode))
	switch {
	case code == descriptor.CodeConflict:
		return decodeProblem(response.body, &presenter.Conflict{})
	case code != "":
		return decodeProblem(response.body, &descriptor.Problem{})
	case response.header.Get(presenter.HeaderFate) != "":
		// The response of an upstream; its status may be any.
		return nil
	case response.status >= http.StatusOK && response.status < http.StatusMultipleChoices:
		return nil
	case call.readOnly:
		return descriptor.NewProblem(descriptor.CodeUnavailable, 0, "the response with status %d is not from an entry instance: check the server address and any proxy on the way", response.status)
	default:
		return descriptor.NewProblem(descriptor.CodeUncertain, 0, "the response with status %d is not from an entry instance: check the server address and any proxy on the way", response.status)
	}
}

// decodeProblem decodes a problem document into target and returns it as the error.
func decodeProblem(body []byte, target error) error {
	if err := json.Unmarshal(body, target); err != nil {
		return descriptor.NewProblem(descriptor.CodeInternal, 0, "cannot decode the server's error document")
	}
	return target
}

// callJSON sends call and decodes the JSON document in the response.
func callJSON[T any](ctx context.Context, client *Client, call call) (T, response, error) {
	var target T
	response, err := client.do(ctx, call)
	if err != nil {
		return target, response, err
	}
	if err := json.Unmarshal(response.body, &target); err != nil {
		return target, response, descriptor.NewProblem(descriptor.CodeInternal, 0, "cannot decode the response: %s", err)
	}
	return target, response, nil
}
