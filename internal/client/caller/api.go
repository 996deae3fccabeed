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

// Submit submits a job. Created is false when a job with the same key had already been accepted.
// A job without a key is sent again only when it was provably not accepted.
func (client *Client) Submit(ctx context.Context, job descriptor.Job) (status descriptor.JobStatus, created bool, err error) {
	body, err := json.Marshal(job)
	if err != nil {
		return status, false, descriptor.NewProblem(descriptor.CodeInvalid, 0, "%s", err)
	}
	retry := retryIfNotExecuted
	if job.Key != "" {
		retry = retryIfUncertain
	}
	status, response, err := callJSON[descriptor.JobStatus](ctx, client, call{
		method: http.MethodPost,
		path:   "/v1/jobs",
		body:   body,
		retry:  retry,
	})
	return status, response.status == http.StatusCreated, err
}

// Status returns the state of a job, including the trail of decisions if explain is true.
func (client *Client) Status(ctx context.Context, id descriptor.JobID, explain bool) (descriptor.JobStatus, error) {
	path := "/v1/jobs/" + url.PathEscape(string(id))
	if explain {
		path += "/explain"
	}
	status, _, err := callJSON[descriptor.JobStatus](ctx, client, getCall(path))
	return status, err
}

// Await waits until the fate of a job is final, but no longer than wait or presenter.MaxJobWait, and
// returns the job's state.
func (client *Client) Await(ctx context.Context, id descriptor.JobID, wait time.Duration) (descriptor.JobStatus, error) {
	wait = min(wait, presenter.MaxJobWait)
	query := url.Values{}
	query.Set("Wait", wait.String())
	longPoll := getCall("/v1/jobs/" + url.PathEscape(string(id)) + "?" + query.Encode())
	longPoll.extraTimeout = wait
	status, _, err := callJSON[descriptor.JobStatus](ctx, client, longPoll)
	return status, err
}

func getCall(path string) call {
	return call{
		method:   http.MethodGet,
		path:     path,
		retry:    retryIfUncertain,
		readOnly: true,
	}
}

// Cancel requests the cancellation of a job and returns its state.
func (client *Client) Cancel(ctx context.Context, id descriptor.JobID) (descriptor.JobStatus, error) {
	status, _, err := callJSON[descriptor.JobStatus](ctx, client, call{
		method: http.MethodDelete,
		path:   "/v1/jobs/" + url.PathEscape(string(id)),
		retry:  retryIfUncertain,
	})
	return status, err
}

// Request sends an interactive request and returns the upstream's response with the request ID.
// Request.ID is not used. The request is retried after an uncertain outcome only if it is idempotent,
// and never after its deadline. The response may arrive up to responseGrace past the deadline.
func (client *Client) Request(ctx context.Context, request presenter.Request) (presenter.Response, string, error) {
	header := http.Header{}
	header.Set(presenter.HeaderCaller, request.Caller)
	retry := retryIfNotExecuted
	if request.Idempotent {
		header.Set(presenter.HeaderIdempotent, "true")
		retry = retryIfUncertain
	}
	pairs := make([]string, 0, len(request.Labels))
	for _, key := range slices.Sorted(maps.Keys(request.Labels)) {
		pairs = append(pairs, key+"="+request.Labels[key])
	}
	if len(pairs) > 0 {
		header.Set(presenter.HeaderLabels, strings.Join(pairs, ","))
	}
	result, err := client.do(ctx, call{
		method:   http.MethodPost,
		path:     "/v1/requests/" + url.PathEscape(request.Service),
		header:   header,
		body:     request.Body,
		retry:    retry,
		deadline: request.Deadline,
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
	config, _, err := callJSON[presenter.ConfigDocument](ctx, client, getCall("/v1/config"))
	return config, err
}

// Apply replaces the configuration of revision base. It is not retried after an uncertain outcome,
// because a retry would conflict with the revision that the first attempt may have written.
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
	applied, _, err := callJSON[presenter.ApplyResult](ctx, client, call{
		method:       http.MethodPut,
		path:         "/v1/config?" + query.Encode(),
		body:         body,
		extraTimeout: wait,
	})
	return applied, err
}

// Diff compares config with the configuration in force.
func (client *Client) Diff(ctx context.Context, config parser.Config) (presenter.ConfigDiff, error) {
	body, err := json.Marshal(config)
	if err != nil {
		return presenter.ConfigDiff{}, descriptor.NewProblem(descriptor.CodeInvalid, 0, "%s", err)
	}
	difference, _, err := callJSON[presenter.ConfigDiff](ctx, client, call{
		method:   http.MethodPost,
		path:     "/v1/config/diff",
		body:     body,
		retry:    retryIfUncertain,
		readOnly: true,
	})
	return difference, err
}

// Instances lists the entry instances.
func (client *Client) Instances(ctx context.Context) ([]presenter.Instance, error) {
	list, _, err := callJSON[presenter.InstancesDocument](ctx, client, getCall("/v1/instances"))
	return list.Instances, err
}

// Drain starts the planned stop of the instance that receives the call, so Servers should have one entry.
// It is never retried: a retry through a balancer could drain another instance.
func (client *Client) Drain(ctx context.Context) (presenter.StateDocument, error) {
	single := *client
	single.Attempts = 1
	state, _, err := callJSON[presenter.StateDocument](ctx, &single, call{
		method: http.MethodPost,
		path:   "/v1/drain",
	})
	return state, err
}

// Ready returns nil if the instance that receives the call accepts requests.
func (client *Client) Ready(ctx context.Context) error {
	_, _, err := callJSON[presenter.StateDocument](ctx, client, getCall("/v1/ready"))
	return err
}

// Metrics returns the metrics of the instance that receives the call as text.
func (client *Client) Metrics(ctx context.Context) (string, error) {
	response, err := client.do(ctx, getCall("/v1/metrics"))
	return string(response.body), err
}

// Traces returns the spans of a trace that the instance that receives the call has stored.
func (client *Client) Traces(ctx context.Context, trace string) ([]tracer.Span, error) {
	query := url.Values{}
	query.Set("Trace", trace)
	spans, _, err := callJSON[struct {
		Spans []tracer.Span
	}](ctx, client, getCall("/v1/traces?"+query.Encode()))
	return spans.Spans, err
}
