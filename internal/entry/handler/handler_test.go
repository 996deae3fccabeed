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
	"pomelomoor/internal/node/loader"
	"pomelomoor/internal/node/meter"
	"pomelomoor/internal/node/tracer"
	"pomelomoor/internal/work/descriptor"
)

// backend fails all calls with err, or succeeds.
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

func (backend *backend) Apply(_ context.Context, base uint64, config parser.Config, _ time.Duration) (presenter.Applied, error) {
	if base != 7 {
		return presenter.Applied{}, &presenter.Conflict{
			Problem:  *descriptor.NewProblem(descriptor.CodeConflict, 0, "revision 7 is in force"),
			Base:     base,
			Current:  presenter.ConfigDocument{Revision: 7},
			Proposed: config,
		}
	}
	return presenter.Applied{Revision: 8}, backend.err
}

func (backend *backend) Diff(context.Context, parser.Config) (presenter.Difference, error) {
	return presenter.Difference{Revision: 7}, backend.err
}

func (backend *backend) Instances(context.Context) ([]presenter.Instance, error) {
	return []presenter.Instance{{ID: "a"}}, backend.err
}

func (backend *backend) Ready() error                { return backend.err }
func (backend *backend) Live() error                 { return backend.err }
func (backend *backend) Drain(context.Context) error { return backend.err }

// serve starts the API with small limits and returns its address.
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

// exchange sends head and body as they are and returns the answer.
func exchange(t *testing.T, address, text string) (*http.Response, map[string]any) {
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

func call(line, header, body string) string {
	return fmt.Sprintf("%s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n%s\r\n%s", line, len(body), header, body)
}

const (
	asJSON = "Content-Type: application/json\r\n"
	caller = "Pomelomoor-Caller: a\r\n"
	jobEnd = `, "Caller": "b", "Team": "c", "Kind": "Batch", "Task": {"MilliCPU": 1}}`
)

// TestCodes guards against changed codes, statuses and fates of the public API.
func TestCodes(t *testing.T) {
	fail := func(code descriptor.Code) error {
		return errors.Wrap(descriptor.NewProblem(code, 1500*time.Millisecond, "x"), "backend")
	}
	put := func(query, body string) string { return call("PUT /v1/config?"+query, asJSON, body) }
	run := func(header, body string) string { return call("POST /v1/requests/desk", header, body) }
	get := call("GET /v1/jobs/a-0.1", "", "")
	for _, test := range []struct {
		name, call string
		err        error
		status     int
		// want is the code and, for requests, the fate, or a piece of a success document.
		want string
	}{
		{"new job", call("POST /v1/jobs", asJSON, `{"Name": "new"`+jobEnd), nil, 201, "a-0.1"},
		{"known job", call("POST /v1/jobs", asJSON, `{"Name": "old"`+jobEnd), nil, 200, "a-0.1"},
		{"no type", call("POST /v1/jobs", "", `{}`), nil, 415, "WrongType"},
		{"charset", call("POST /v1/jobs", "Content-Type: application/json; charset=latin1\r\n", `{}`), nil, 415, "WrongType"},
		{"malformed", call("POST /v1/jobs", asJSON, `{"Name": `), nil, 400, "Invalid (document): is malformed JSON at line 1: unexpected end of JSON input"},
		{"kind", call("POST /v1/jobs", asJSON, `{"Name": "a", "Caller": "b", "Team": "c", "Kind": "Cron", "Task": {"MilliCPU": 1}}`), nil, 400, `Invalid Kind: "Cron" is none of Service, Batch, Gang`},
		{"unknown fields", call("POST /v1/jobs", asJSON, `{"name": "a", "Task": {"CPU": 1}}`), nil, 400, "Invalid name: is not known; Task.CPU: is not known"},
		{"selector", call("POST /v1/jobs", asJSON, `{"Where": "a==", "Name": "a"`+jobEnd), nil, 400, "Invalid Where"},
		{"long job", call("POST /v1/jobs", asJSON+"X: y\r\n", `{"Payload": "`+strings.Repeat("x", presenter.MaxJobDocument)+`"}`), nil, 413, "TooLarge"},
		{"key", call("POST /v1/jobs", asJSON, `{"Name": "a"`+jobEnd), fail(descriptor.CodeKeyConflict), 409, "KeyConflict"},
		{"impossible", call("POST /v1/jobs", asJSON, `{"Name": "a"`+jobEnd), fail(descriptor.CodeImpossible), 422, "Impossible"},
		{"no job", get, fail(descriptor.CodeNotFound), 404, "NotFound"},
		{"bad ID", call("GET /v1/jobs/%2e%2e", "", ""), nil, 404, "NotFound"},
		{"no path", call("GET /v2/", "", ""), nil, 404, "NotFound"},
		{"method", call("PATCH /v1/jobs", "", ""), nil, 405, "Invalid"},
		{"wait for job", call("GET /v1/jobs/a-0.1?Wait=30s", "", ""), nil, 200, "Task:30"},
		{"no wait for job", call("GET /v1/jobs/a-0.1?Wait=0s", "", ""), nil, 200, "a-0.1"},
		{"long wait for job", call("GET /v1/jobs/a-0.1?Wait=31s", "", ""), nil, 400, "Invalid"},
		{"wait for bad ID", call("GET /v1/jobs/%2e%2e?Wait=1s", "", ""), nil, 404, "NotFound"},
		{"failed wait for job", call("GET /v1/jobs/a-0.1?Wait=1s", "", ""), fail(descriptor.CodeUnavailable), 503, "Unavailable"},
		{"explain", call("GET /v1/jobs/a-0.1/explain", "", ""), nil, 200, "a-0.1"},
		{"cancel", call("DELETE /v1/jobs/a-0.1", "", ""), fail(descriptor.CodeUncertain), 500, "Uncertain"},
		{"foreign error", get, errors.New("secret"), 500, "Internal"},
		{"ended call", get, context.DeadlineExceeded, 500, "Uncertain"},
		{"headers", call("GET /v1/jobs/a", strings.Repeat("A: b\r\n", 16), ""), nil, 431, "TooLarge"},
		{"header size", call("GET /v1/jobs/a", "A: "+strings.Repeat("b", 2000)+"\r\n", ""), nil, 431, "TooLarge"},
		{"no caller", run(asJSON, "{}"), nil, 400, "Invalid NotRun Pomelomoor-Caller: must be 1 to 128 letters"},
		{"bad headers", run(asJSON+caller+"Pomelomoor-Timeout: 1h\r\nPomelomoor-Idempotent: x\r\nPomelomoor-Labels: A=b,A=c\r\n", "{}"), nil, 400, "Invalid NotRun Pomelomoor-Timeout: must be"},
		{"request type", run(caller, "{}"), nil, 415, "WrongType NotRun"},
		{"long body", run(asJSON+caller, strings.Repeat(" ", 1001)), nil, 413, "TooLarge NotRun"},
		{"chunked body", "POST /v1/requests/desk HTTP/1.1\r\nHost: a\r\n" + asJSON + caller + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n" + strings.Repeat(" ", 1001) + "\r\n0\r\n\r\n", nil, 413, "TooLarge NotRun"},
		{"bad chunk", "POST /v1/requests/desk HTTP/1.1\r\nHost: a\r\n" + asJSON + caller + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", nil, 400, "Invalid NotRun"},
		{"request", run(asJSON+caller, `{"Bike":1}`), nil, 418, "map[Bike:1] Done"},
		{"overloaded", run(asJSON+caller, "{}"), fail(descriptor.CodeOverloaded), 429, "Overloaded NotRun"},
		{"unavailable", run(asJSON+caller, "{}"), fail(descriptor.CodeUnavailable), 503, "Unavailable NotRun"},
		{"draining", run(asJSON+caller, "{}"), fail(descriptor.CodeDraining), 503, "Draining NotRun"},
		{"late", run(asJSON+caller, "{}"), fail(descriptor.CodeDeadline), 504, "DeadlineExceeded NotRun"},
		{"upstream", run(asJSON+caller, "{}"), fail(descriptor.CodeUpstream), 502, "UpstreamFailed Failed"},
		{"uncertain", run(asJSON+caller, "{}"), fail(descriptor.CodeUncertain), 500, "Uncertain Unknown"},
		{"panic", call("POST /v1/requests/panic", caller, ""), nil, 500, "Internal Unknown"},
		{"config", call("GET /v1/config", "", ""), nil, 200, "7"},
		{"no base", put("Wait=1s", "{}"), nil, 400, "Invalid"},
		{"wait", put("Base=7&Wait=1h", "{}"), nil, 400, "Invalid"},
		{"config faults", put("Base=7", `{"Teams": [{}]}`), nil, 400, "Invalid Teams[0].Name: is missing"},
		{"conflict", put("Base=6", `{"Teams": [{"Name": "a"}]}`), nil, 409, "Conflict"},
		{"apply", put("Base=7&Wait=1s", "{}"), nil, 200, "8"},
		{"diff", call("POST /v1/config/diff", asJSON, "{}"), nil, 200, "7"},
		{"instances", call("GET /v1/instances", "", ""), nil, 200, "a"},
		{"drain", call("POST /v1/drain", "", ""), nil, 202, "Draining"},
		{"ready", call("GET /v1/ready", "", ""), nil, 200, "Ready"},
		{"not ready", call("GET /v1/ready", "", ""), errors.New("no peers"), 503, "Unavailable"},
		{"live", call("GET /v1/live", "", ""), nil, 200, "Live"},
	} {
		t.Run(test.name, func(t *testing.T) {
			address := serve(t, &backend{err: test.err}, nil)
			response, document := exchange(t, address, test.call)
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
				t.Errorf("a side is missing in %v", document)
			}
		})
	}
}

// TestSlowSender guards against senders that hold a call open, and against calls in progress that
// are ended by the time limit of a body that had long been received.
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
	steady := make(chan string)
	go func() {
		response, _ := exchange(t, address, call("POST /v1/requests/desk", asJSON+caller, "{}"))
		steady <- response.Header.Get(presenter.HeaderFate)
	}()
	<-entered
	// The slow call begins after the steady one, so its end shows that the limit has passed for both.
	slow := strings.TrimSuffix(call("POST /v1/requests/desk", asJSON+caller, "{} "), " ")
	response, document := exchange(t, address, slow)
	if response.StatusCode != http.StatusRequestTimeout || document["Code"] != "DeadlineExceeded" {
		t.Errorf("got %d %v", response.StatusCode, document)
	}
	close(release)
	if fate := <-steady; fate != "Done" {
		t.Errorf("the steady call ended with %s", fate)
	}
}

// TestGates guards against unbounded calls and bodies, and against operators locked out by an overload.
func TestGates(t *testing.T) {
	entered, release := make(chan struct{}, 2), make(chan struct{})
	address := serve(t, &backend{
		handle: func(context.Context) presenter.Response {
			entered <- struct{}{}
			<-release
			return presenter.Response{Status: 200, Body: []byte("{}"), Fate: descriptor.Done{}}
		},
	}, func(handler *Handler) {
		handler.Limits.Calls = 2
		handler.Limits.BufferBytes = bodyStep
	})
	results := make(chan int)
	wait := call("GET /v1/jobs/a-0.1?Wait=30s", "", "")
	for _, text := range []string{call("POST /v1/requests/desk", caller, ""), call("POST /v1/requests/desk", caller, ""), wait} {
		go func() {
			response, _ := exchange(t, address, text)
			results <- response.StatusCode
		}()
		<-entered
	}
	if response, document := exchange(t, address, wait); document["Code"] != "Overloaded" {
		t.Errorf("second wait: %d %v", response.StatusCode, document)
	}
	if response, document := exchange(t, address, call("GET /v1/jobs/a-0.1", "", "")); response.StatusCode != http.StatusOK {
		t.Errorf("status while others wait: %d %v", response.StatusCode, document)
	}
	if response, document := exchange(t, address, call("POST /v1/requests/desk", caller, "")); document["Code"] != "Overloaded" {
		t.Errorf("third call: %d %v", response.StatusCode, document)
	}
	if response, document := exchange(t, address, call("PUT /v1/config?Base=7", asJSON, "{}")); response.StatusCode != http.StatusOK {
		t.Errorf("apply during an overload: %d %v", response.StatusCode, document)
	}
	close(release)
	for range 3 {
		if status := <-results; status != 200 {
			t.Errorf("admitted call got %d", status)
		}
	}
	long := `{"Payload": "` + strings.Repeat("x", bodyStep) + `"}`
	if _, document := exchange(t, address, call("POST /v1/jobs", asJSON, long)); document["Code"] != "Overloaded" {
		t.Errorf("body larger than the budget: %v", document)
	}
	if response, _ := exchange(t, address, call("POST /v1/jobs", asJSON, `{"Name": "new"`+jobEnd)); response.StatusCode != http.StatusCreated {
		t.Errorf("budget was not given back: %d", response.StatusCode)
	}
}

// TestObserve guards against calls that leave no span in the caller's trace or no metric,
// and against probes that fill the ring of spans.
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
	if answer := get("/v1/config"); answer.Header().Get(presenter.HeaderTrace) != trace {
		t.Errorf("got %v", answer.Header())
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
