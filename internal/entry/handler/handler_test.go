package handler

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/entry/presenter"
	"pomelomoor/internal/node/limiter"
	"pomelomoor/internal/node/loader"
	"pomelomoor/internal/node/meter"
	"pomelomoor/internal/node/tracer"
	"pomelomoor/internal/work/descriptor"
)

// backend implements the interfaces of Handler. All its methods return err. If handle is set, Handle returns its
// response and Await calls it.
type backend struct {
	err    error
	handle func(ctx context.Context) presenter.Response
}

func (backend *backend) Submit(_ context.Context, job descriptor.Job) (descriptor.JobStatus, bool, error) {
	return descriptor.JobStatus{ID: "a-0.1", Job: job}, job.Name == "new", backend.err
}

func (backend *backend) Status(_ context.Context, id descriptor.JobID, _ bool) (descriptor.JobStatus, error) {
	return descriptor.JobStatus{ID: id}, backend.err
}

func (backend *backend) Await(ctx context.Context, id descriptor.JobID, wait time.Duration) (descriptor.JobStatus, error) {
	if backend.handle != nil {
		backend.handle(ctx)
	}
	return descriptor.JobStatus{ID: id, Tasks: []descriptor.TaskStatus{{Task: int(wait.Seconds())}}}, backend.err
}

func (backend *backend) Cancel(_ context.Context, id descriptor.JobID) (descriptor.JobStatus, error) {
	return descriptor.JobStatus{ID: id}, backend.err
}

func (backend *backend) Handle(ctx context.Context, request presenter.Request) (presenter.Response, error) {
	if request.Service == "panic" {
		panic("bad state")
	}
	if backend.handle != nil {
		return backend.handle(ctx), backend.err
	}
	return presenter.Response{Status: http.StatusTeapot, Body: request.Body, Fate: descriptor.Done{}}, backend.err
}

func (backend *backend) Current(context.Context) (presenter.ConfigDocument, error) {
	return presenter.ConfigDocument{Revision: 7}, backend.err
}

func (backend *backend) Apply(_ context.Context, base uint64, config parser.Config, _ time.Duration) (presenter.ApplyResult, error) {
	if base != 7 {
		return presenter.ApplyResult{}, &presenter.Conflict{
			Problem:  *descriptor.NewProblem(descriptor.CodeConflict, 0, "revision 7 is in force"),
			Base:     base,
			Current:  presenter.ConfigDocument{Revision: 7},
			Proposed: config,
		}
	}
	return presenter.ApplyResult{Revision: 8}, backend.err
}

func (backend *backend) Diff(context.Context, parser.Config) (presenter.ConfigDiff, error) {
	return presenter.ConfigDiff{Revision: 7}, backend.err
}

func (backend *backend) Instances(context.Context) ([]presenter.Instance, error) {
	return []presenter.Instance{{ID: "a"}}, backend.err
}

func (backend *backend) Ready() error                { return backend.err }
func (backend *backend) Live() error                 { return backend.err }
func (backend *backend) Drain(context.Context) error { return backend.err }

// serve starts a server with small limits, which change may adjust, and returns its address.
func serve(t *testing.T, backend *backend, change func(*Handler)) string {
	t.Helper()
	handler := &Handler{
		Jobs:      backend,
		Requests:  backend,
		Configs:   backend,
		Instances: backend,
		Readiness: backend,
		Limits:    loader.Defaults().Limits,
		Timeouts:  loader.Defaults().Timeouts,
	}
	handler.Limits.BodyBytes = 1000
	handler.Limits.Headers = 16
	handler.Limits.HeaderBytes = 2000
	if change != nil {
		change(handler)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := handler.Server()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-done
	})
	return listener.Addr().String()
}

// roundTrip sends text over a new connection as it is, and returns the response and its JSON body.
func roundTrip(t *testing.T, address, text string) (*http.Response, map[string]any) {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		_ = connection.Close()
	}()
	if _, err := connection.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var document map[string]any
	if err := json.NewDecoder(response.Body).Decode(&document); err != nil {
		t.Errorf("status %d: %v", response.StatusCode, err)
	}
	return response, document
}

func formatCall(line, header, body string) string {
	return fmt.Sprintf("%s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n%s\r\n%s", line, len(body), header, body)
}

const (
	contentTypeJSON = "Content-Type: application/json\r\n"
	callerHeader    = "Pomelomoor-Caller: a\r\n"
	jobFields       = `, "Caller": "b", "Team": "c", "Kind": "Batch", "Task": {"MilliCPU": 1}}`
)

// TestCodes guards against changes of the codes, statuses and fates in the public API.
func TestCodes(t *testing.T) {
	wrapProblem := func(code descriptor.Code) error {
		return errors.Wrap(descriptor.NewProblem(code, 1500*time.Millisecond, "x"), "backend")
	}
	putConfig := func(query, body string) string { return formatCall("PUT /v1/config?"+query, contentTypeJSON, body) }
	postRequest := func(header, body string) string { return formatCall("POST /v1/requests/desk", header, body) }
	get := formatCall("GET /v1/jobs/a-0.1", "", "")
	for _, test := range []struct {
		name, call string
		err        error
		status     int
		// want is a part of the expected result: the code, the fate for requests and the details of an error, or
		// the document of a success.
		want string
	}{
		{"new job", formatCall("POST /v1/jobs", contentTypeJSON, `{"Name": "new"`+jobFields), nil, 201, "a-0.1"},
		{"known job", formatCall("POST /v1/jobs", contentTypeJSON, `{"Name": "old"`+jobFields), nil, 200, "a-0.1"},
		{"no content type", formatCall("POST /v1/jobs", "", `{}`), nil, 415, "WrongType"},
		{"charset", formatCall("POST /v1/jobs", "Content-Type: application/json; charset=latin1\r\n", `{}`), nil, 415, "WrongType"},
		{"malformed", formatCall("POST /v1/jobs", contentTypeJSON, `{"Name": `), nil, 400, "Invalid (document): is malformed JSON at line 1: unexpected end of JSON input"},
		{"unknown kind", formatCall("POST /v1/jobs", contentTypeJSON, `{"Name": "a", "Caller": "b", "Team": "c", "Kind": "Cron", "Task": {"MilliCPU": 1}}`), nil, 400, `Invalid Kind: "Cron" is none of Service, Batch, Gang`},
		{"unknown fields", formatCall("POST /v1/jobs", contentTypeJSON, `{"name": "a", "Task": {"CPU": 1}}`), nil, 400, "Invalid name: is not known; Task.CPU: is not known"},
		{"malformed selector", formatCall("POST /v1/jobs", contentTypeJSON, `{"Where": "a==", "Name": "a"`+jobFields), nil, 400, "Invalid Where"},
		{"job too large", formatCall("POST /v1/jobs", contentTypeJSON+"X: y\r\n", `{"Payload": "`+strings.Repeat("x", presenter.MaxJobDocumentBytes)+`"}`), nil, 413, "TooLarge"},
		{"key conflict", formatCall("POST /v1/jobs", contentTypeJSON, `{"Name": "a"`+jobFields), wrapProblem(descriptor.CodeKeyConflict), 409, "KeyConflict"},
		{"impossible", formatCall("POST /v1/jobs", contentTypeJSON, `{"Name": "a"`+jobFields), wrapProblem(descriptor.CodeImpossible), 422, "Impossible"},
		{"unknown job", get, wrapProblem(descriptor.CodeNotFound), 404, "NotFound"},
		{"malformed job ID", formatCall("GET /v1/jobs/%2e%2e", "", ""), nil, 404, "NotFound"},
		{"unknown path", formatCall("GET /v2/", "", ""), nil, 404, "NotFound"},
		{"unsupported method", formatCall("PATCH /v1/jobs", "", ""), nil, 405, "Invalid"},
		{"wait for job", formatCall("GET /v1/jobs/a-0.1?Wait=30s", "", ""), nil, 200, "Task:30"},
		{"zero wait for job", formatCall("GET /v1/jobs/a-0.1?Wait=0s", "", ""), nil, 200, "a-0.1"},
		{"wait for job too long", formatCall("GET /v1/jobs/a-0.1?Wait=31s", "", ""), nil, 400, "Invalid"},
		{"wait for malformed job ID", formatCall("GET /v1/jobs/%2e%2e?Wait=1s", "", ""), nil, 404, "NotFound"},
		{"failed wait for job", formatCall("GET /v1/jobs/a-0.1?Wait=1s", "", ""), wrapProblem(descriptor.CodeUnavailable), 503, "Unavailable"},
		{"explain", formatCall("GET /v1/jobs/a-0.1/explain", "", ""), nil, 200, "a-0.1"},
		{"cancel", formatCall("DELETE /v1/jobs/a-0.1", "", ""), wrapProblem(descriptor.CodeUncertain), 500, "Uncertain"},
		{"internal error", get, errors.New("secret"), 500, "Internal"},
		{"deadline of the call exceeded", get, context.DeadlineExceeded, 500, "Uncertain"},
		{"too many headers", formatCall("GET /v1/jobs/a", strings.Repeat("A: b\r\n", 16), ""), nil, 431, "TooLarge"},
		{"header too large", formatCall("GET /v1/jobs/a", "A: "+strings.Repeat("b", 2000)+"\r\n", ""), nil, 431, "TooLarge"},
		{"no caller", postRequest(contentTypeJSON, "{}"), nil, 400, "Invalid NotRun Pomelomoor-Caller: must be 1 to 128 letters"},
		{"invalid headers", postRequest(contentTypeJSON+callerHeader+"Pomelomoor-Timeout: 1h\r\nPomelomoor-Idempotent: x\r\nPomelomoor-Labels: A=b,A=c\r\n", "{}"), nil, 400, "Invalid NotRun Pomelomoor-Timeout: must be"},
		{"request without content type", postRequest(callerHeader, "{}"), nil, 415, "WrongType NotRun"},
		{"body too large", postRequest(contentTypeJSON+callerHeader, strings.Repeat(" ", 1001)), nil, 413, "TooLarge NotRun"},
		{"chunked body too large", "POST /v1/requests/desk HTTP/1.1\r\nHost: a\r\n" + contentTypeJSON + callerHeader + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n" + strings.Repeat(" ", 1001) + "\r\n0\r\n\r\n", nil, 413, "TooLarge NotRun"},
		{"malformed chunk", "POST /v1/requests/desk HTTP/1.1\r\nHost: a\r\n" + contentTypeJSON + callerHeader + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", nil, 400, "Invalid NotRun"},
		{"request", postRequest(contentTypeJSON+callerHeader, `{"Bike":1}`), nil, 418, "map[Bike:1] Done"},
		{"overloaded", postRequest(contentTypeJSON+callerHeader, "{}"), wrapProblem(descriptor.CodeOverloaded), 429, "Overloaded NotRun"},
		{"unavailable", postRequest(contentTypeJSON+callerHeader, "{}"), wrapProblem(descriptor.CodeUnavailable), 503, "Unavailable NotRun"},
		{"draining", postRequest(contentTypeJSON+callerHeader, "{}"), wrapProblem(descriptor.CodeDraining), 503, "Draining NotRun"},
		{"deadline exceeded", postRequest(contentTypeJSON+callerHeader, "{}"), wrapProblem(descriptor.CodeDeadline), 504, "DeadlineExceeded NotRun"},
		{"upstream failed", postRequest(contentTypeJSON+callerHeader, "{}"), wrapProblem(descriptor.CodeUpstream), 502, "UpstreamFailed Failed"},
		{"uncertain", postRequest(contentTypeJSON+callerHeader, "{}"), wrapProblem(descriptor.CodeUncertain), 500, "Uncertain Unknown"},
		{"panic", formatCall("POST /v1/requests/panic", callerHeader, ""), nil, 500, "Internal Unknown"},
		{"config", formatCall("GET /v1/config", "", ""), nil, 200, "7"},
		{"missing base revision", putConfig("Wait=1s", "{}"), nil, 400, "Invalid"},
		{"wait for apply too long", putConfig("Base=7&Wait=1h", "{}"), nil, 400, "Invalid"},
		{"invalid config", putConfig("Base=7", `{"Teams": [{}]}`), nil, 400, "Invalid Teams[0].Name: is missing"},
		{"conflict", putConfig("Base=6", `{"Teams": [{"Name": "a"}]}`), nil, 409, "Conflict"},
		{"apply", putConfig("Base=7&Wait=1s", "{}"), nil, 200, "8"},
		{"diff", formatCall("POST /v1/config/diff", contentTypeJSON, "{}"), nil, 200, "7"},
		{"instances", formatCall("GET /v1/instances", "", ""), nil, 200, "a"},
		{"drain", formatCall("POST /v1/drain", "", ""), nil, 202, "Draining"},
		{"ready", formatCall("GET /v1/ready", "", ""), nil, 200, "Ready"},
		{"not ready", formatCall("GET /v1/ready", "", ""), errors.New("no peers"), 503, "Unavailable"},
		{"live", formatCall("GET /v1/live", "", ""), nil, 200, "Live"},
	} {
		t.Run(test.name, func(t *testing.T) {
			address := serve(t, &backend{err: test.err}, nil)
			response, document := roundTrip(t, address, test.call)
			got := fmt.Sprint(document)
			if code := response.Header.Get(presenter.HeaderCode); code != "" {
				got = code
				if document["Code"] != code || strings.Contains(fmt.Sprint(document), "secret") {
					t.Errorf("got document %v with code %s", document, code)
				}
			}
			got += " " + response.Header.Get(presenter.HeaderFate)
			if details, ok := document["Details"].([]any); ok {
				var texts []string
				for _, detail := range details {
					texts = append(texts, fmt.Sprint(detail))
				}
				got = strings.TrimSpace(got) + " " + strings.Join(texts, "; ")
			}
			if response.StatusCode != test.status || !strings.Contains(got, test.want) {
				t.Errorf("got %d %s, want %d %s", response.StatusCode, got, test.status, test.want)
			}
			if problem := (*descriptor.Problem)(nil); errors.As(test.err, &problem) && response.Header.Get("Retry-After") != "2" {
				t.Errorf("got Retry-After %q", response.Header.Get("Retry-After"))
			}
			if test.name == "conflict" && (document["Current"] == nil || !strings.Contains(fmt.Sprint(document["Proposed"]), "Name:a")) {
				t.Errorf("the current or the proposed configuration is missing in %v", document)
			}
		})
	}
}

// TestSlowSender guards against callers that keep a call open by sending the body slowly, and against the body
// timeout ending a call whose body was received in time.
func TestSlowSender(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	backend := &backend{
		handle: func(ctx context.Context) presenter.Response {
			close(entered)
			<-release
			if ctx.Err() != nil {
				return presenter.Response{Status: 200, Body: []byte("{}"), Fate: descriptor.Unknown{}}
			}
			return presenter.Response{Status: 200, Body: []byte("{}"), Fate: descriptor.Done{}}
		},
	}
	address := serve(t, backend, func(handler *Handler) {
		handler.Timeouts.Body.Duration = 50 * time.Millisecond
	})
	completeCall := make(chan string)
	go func() {
		response, _ := roundTrip(t, address, formatCall("POST /v1/requests/desk", contentTypeJSON+callerHeader, "{}"))
		completeCall <- response.Header.Get(presenter.HeaderFate)
	}()
	<-entered
	// The slow call starts after the complete one, so when it times out, the timeout has passed for both.
	slow := strings.TrimSuffix(formatCall("POST /v1/requests/desk", contentTypeJSON+callerHeader, "{} "), " ")
	response, document := roundTrip(t, address, slow)
	if response.StatusCode != http.StatusRequestTimeout || document["Code"] != "DeadlineExceeded" {
		t.Errorf("got %d %v", response.StatusCode, document)
	}
	close(release)
	if fate := <-completeCall; fate != "Done" {
		t.Errorf("the call with a complete body has fate %s", fate)
	}
}

// TestConcurrencyLimits guards against an unbounded number of calls or size of bodies, and against control calls
// that are rejected during an overload.
func TestConcurrencyLimits(t *testing.T) {
	entered, release := make(chan struct{}, 2), make(chan struct{})
	address := serve(t, &backend{
		handle: func(context.Context) presenter.Response {
			entered <- struct{}{}
			<-release
			return presenter.Response{Status: 200, Body: []byte("{}"), Fate: descriptor.Done{}}
		},
	}, func(handler *Handler) {
		handler.Limits.Calls = 2
		handler.Limits.BufferBytes = limiter.FirstBufferBytes
	})
	results := make(chan int)
	wait := formatCall("GET /v1/jobs/a-0.1?Wait=30s", "", "")
	for _, text := range []string{formatCall("POST /v1/requests/desk", callerHeader, ""), formatCall("POST /v1/requests/desk", callerHeader, ""), wait} {
		go func() {
			response, _ := roundTrip(t, address, text)
			results <- response.StatusCode
		}()
		<-entered
	}
	if response, document := roundTrip(t, address, wait); document["Code"] != "Overloaded" {
		t.Errorf("second long poll: %d %v", response.StatusCode, document)
	}
	if response, document := roundTrip(t, address, formatCall("GET /v1/jobs/a-0.1", "", "")); response.StatusCode != http.StatusOK {
		t.Errorf("status during a long poll: %d %v", response.StatusCode, document)
	}
	if response, document := roundTrip(t, address, formatCall("POST /v1/requests/desk", callerHeader, "")); document["Code"] != "Overloaded" {
		t.Errorf("third request: %d %v", response.StatusCode, document)
	}
	if response, document := roundTrip(t, address, formatCall("PUT /v1/config?Base=7", contentTypeJSON, "{}")); response.StatusCode != http.StatusOK {
		t.Errorf("apply during an overload: %d %v", response.StatusCode, document)
	}
	close(release)
	for range 3 {
		if status := <-results; status != 200 {
			t.Errorf("admitted call got %d", status)
		}
	}
	long := `{"Payload": "` + strings.Repeat("x", limiter.FirstBufferBytes) + `"}`
	if _, document := roundTrip(t, address, formatCall("POST /v1/jobs", contentTypeJSON, long)); document["Code"] != "Overloaded" {
		t.Errorf("body larger than the buffer limit: %v", document)
	}
	if response, _ := roundTrip(t, address, formatCall("POST /v1/jobs", contentTypeJSON, `{"Name": "new"`+jobFields)); response.StatusCode != http.StatusCreated {
		t.Errorf("buffer space was not released: %d", response.StatusCode)
	}
}

// TestObserve guards against calls without a span in the caller's trace or without metrics, and against spans of
// readiness probes, which would fill the span buffer.
func TestObserve(t *testing.T) {
	spans, _ := tracer.New("a", 10)
	metrics, stop := meter.New(0)
	backend := &backend{}
	routes := (&Handler{
		Configs:   backend,
		Readiness: backend,
		Metrics:   metrics,
		Traces:    spans,
		Tracer:    spans,
		Scope:     metrics.Scope,
	}).Routes()
	get := func(path string) *httptest.ResponseRecorder {
		request := httptest.NewRequest(http.MethodGet, path, nil)
		request.Header.Set("Traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
		recorder := httptest.NewRecorder()
		routes.ServeHTTP(recorder, request)
		return recorder
	}
	const trace = "0af7651916cd43dd8448eb211c80319c"
	if response := get("/v1/config"); response.Header().Get(presenter.HeaderTrace) != trace {
		t.Errorf("got %v", response.Header())
	}
	get("/v1/ready")
	got := get("/v1/traces?Trace=" + trace).Body.String()
	if strings.Count(got, `"Name"`) != 1 || !strings.Contains(got, `"Parent":"b7ad6b7169203331","Name":"GET /v1/config"`) {
		t.Errorf("got spans %s", got)
	}
	if err := stop(); err != nil {
		t.Fatal(err)
	}
	if got := get("/v1/metrics").Body.String(); !strings.Contains(got, `Calls{Route="/v1/config",Status="200"} 1`) {
		t.Errorf("got metrics\n%s", got)
	}
}
