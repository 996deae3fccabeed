package caller

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/entry/presenter"
	"pomelomoor/internal/node/tracer"
	"pomelomoor/internal/work/descriptor"
)

// Submit has a job accepted. Created is false when the job's key was known already.
// A job without a key is sent again only when it was provably not accepted.
func (client *Client) Submit(ctx context.Context, job descriptor.Job) (status descriptor.JobStatus, created bool, err error) {
	body, err := json.Marshal(job)
	if err != nil {
		return status, false, descriptor.NewProblem(descriptor.CodeInvalid, 0, "%s", err)
	}
	repetition := afterProof
	if job.Key != "" {
		repetition = always
	}
	status, result, err := document[descriptor.JobStatus](ctx, client, call{
		method:     http.MethodPost,
		path:       "/v1/jobs",
		body:       body,
		repetition: repetition,
	})
	return status, result.status == http.StatusCreated, err
}

// Status returns the state of a job, with its trail when explain is set.
func (client *Client) Status(ctx context.Context, id descriptor.JobID, explain bool) (descriptor.JobStatus, error) {
	path := "/v1/jobs/" + url.PathEscape(string(id))
	if explain {
		path += "/explain"
	}
	status, _, err := document[descriptor.JobStatus](ctx, client, get(path))
	return status, err
}

// Await returns the state of a job when its fate is final or after wait, at most presenter.MaxJobWait.
func (client *Client) Await(ctx context.Context, id descriptor.JobID, wait time.Duration) (descriptor.JobStatus, error) {
	wait = min(wait, presenter.MaxJobWait)
	query := url.Values{}
	query.Set("Wait", wait.String())
	waiting := get("/v1/jobs/" + url.PathEscape(string(id)) + "?" + query.Encode())
	waiting.extra = wait
	status, _, err := document[descriptor.JobStatus](ctx, client, waiting)
	return status, err
}

func get(path string) call {
	return call{
		method:     http.MethodGet,
		path:       path,
		repetition: always,
		reads:      true,
	}
}

// Cancel asks for the end of a job.
func (client *Client) Cancel(ctx context.Context, id descriptor.JobID) (descriptor.JobStatus, error) {
	status, _, err := document[descriptor.JobStatus](ctx, client, call{
		method:     http.MethodDelete,
		path:       "/v1/jobs/" + url.PathEscape(string(id)),
		repetition: always,
	})
	return status, err
}

// Request carries out an interactive request and returns the upstream's answer with the request ID.
// Request.ID is not used. The request is repeated after an uncertain outcome only when it is idempotent,
// and never after its deadline. The answer is awaited for a short time past the deadline.
func (client *Client) Request(ctx context.Context, request presenter.Request) (presenter.Response, string, error) {
	header := http.Header{}
	header.Set(presenter.HeaderCaller, request.Caller)
	repetition := afterProof
	if request.Idempotent {
		header.Set(presenter.HeaderIdempotent, "true")
		repetition = always
	}
	pairs := make([]string, 0, len(request.Labels))
	for _, key := range slices.Sorted(maps.Keys(request.Labels)) {
		pairs = append(pairs, key+"="+request.Labels[key])
	}
	if len(pairs) > 0 {
		header.Set(presenter.HeaderLabels, strings.Join(pairs, ","))
	}
	result, err := client.do(ctx, call{
		method:     http.MethodPost,
		path:       "/v1/requests/" + url.PathEscape(request.Service),
		header:     header,
		body:       request.Body,
		repetition: repetition,
		deadline:   request.Deadline,
	})
	if err != nil {
		return presenter.Response{}, "", err
	}
	response := presenter.Response{
		Status: result.status,
		Body:   result.body,
		Fate:   descriptor.Done{},
	}
	if result.header.Get(presenter.HeaderFate) != "Done" {
		response.Fate = descriptor.Failed{
			Reason: "the upstream reported a failure",
		}
	}
	return response, result.header.Get(presenter.HeaderRequest), nil
}

// Config returns the configuration in force.
func (client *Client) Config(ctx context.Context) (presenter.ConfigDocument, error) {
	config, _, err := document[presenter.ConfigDocument](ctx, client, get("/v1/config"))
	return config, err
}

// Apply replaces the configuration of revision base. It is not repeated after an uncertain outcome,
// because the repetition would be in conflict with the call itself.
func (client *Client) Apply(
	ctx context.Context, base uint64, config parser.Config, wait time.Duration,
) (presenter.ApplyResult, error) {
	query := url.Values{}
	query.Set("Base", strconv.FormatUint(base, 10))
	query.Set("Wait", wait.String())
	body, err := json.Marshal(config)
	if err != nil {
		return presenter.ApplyResult{}, descriptor.NewProblem(descriptor.CodeInvalid, 0, "%s", err)
	}
	applied, _, err := document[presenter.ApplyResult](ctx, client, call{
		method: http.MethodPut,
		path:   "/v1/config?" + query.Encode(),
		body:   body,
		extra:  wait,
	})
	return applied, err
}

// Diff compares config with the configuration in force.
func (client *Client) Diff(ctx context.Context, config parser.Config) (presenter.ConfigDiff, error) {
	body, err := json.Marshal(config)
	if err != nil {
		return presenter.ConfigDiff{}, descriptor.NewProblem(descriptor.CodeInvalid, 0, "%s", err)
	}
	difference, _, err := document[presenter.ConfigDiff](ctx, client, call{
		method:     http.MethodPost,
		path:       "/v1/config/diff",
		body:       body,
		repetition: always,
		reads:      true,
	})
	return difference, err
}

// Instances lists the entry instances.
func (client *Client) Instances(ctx context.Context) ([]presenter.Instance, error) {
	list, _, err := document[presenter.InstancesDocument](ctx, client, get("/v1/instances"))
	return list.Instances, err
}

// Drain begins the planned stop of the instance that answers, so Servers should have one entry.
// It is never repeated: a repetition through a balancer would drain another instance.
func (client *Client) Drain(ctx context.Context) (presenter.StateDocument, error) {
	single := *client
	single.Attempts = 1
	state, _, err := document[presenter.StateDocument](ctx, &single, call{
		method: http.MethodPost,
		path:   "/v1/drain",
	})
	return state, err
}

// Ready returns nil when the answering instance takes calls.
func (client *Client) Ready(ctx context.Context) error {
	_, _, err := document[presenter.StateDocument](ctx, client, get("/v1/ready"))
	return err
}

// Metrics returns the metrics of the answering instance as text.
func (client *Client) Metrics(ctx context.Context) (string, error) {
	result, err := client.do(ctx, get("/v1/metrics"))
	return string(result.body), err
}

// Traces returns the spans that the answering instance kept of a trace.
func (client *Client) Traces(ctx context.Context, trace string) ([]tracer.Span, error) {
	query := url.Values{}
	query.Set("Trace", trace)
	spans, _, err := document[struct {
		Spans []tracer.Span
	}](ctx, client, get("/v1/traces?"+query.Encode()))
	return spans.Spans, err
}
