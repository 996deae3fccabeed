// Package submitter sends the configuration, jobs and requests of a local run over the public API, as
// operators and callers would, and records the responses.
package submitter

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"pomelomoor/internal/client/caller"
	"pomelomoor/internal/gateway/sender"
	"pomelomoor/internal/local/planner"
	"pomelomoor/internal/work/descriptor"
)

// Limits on concurrent calls and on connections.
const (
	maxRequests    = 4096
	maxSubmissions = 256
	maxPolls       = 64
	// maxAwaits is an eighth of the calls that an entry instance admits, which is its limit for calls that
	// wait for a job. One of eight entry instances can therefore take all of them.
	maxAwaits = 512
	// clientsPerSite is the number of connection pools at each site. A single pool mostly reuses its most
	// recent connection, which would send most calls to one entry instance.
	clientsPerSite = 16
	maxConns       = 256
)

const (
	callTimeout      = 10 * time.Second
	applyTimeout     = 5 * time.Second
	progressInterval = time.Second
	// retryDelay is added to the delays of the client between its own attempts.
	retryDelay = 500 * time.Millisecond
)

// Options configures Run.
type Options struct {
	Scenario *planner.Scenario
	Schedule planner.Schedule
	// Servers holds the base URL that the callers of each site use.
	Servers []string
	// Progress receives a line every second; nil discards them.
	Progress io.Writer
}

// JobResult is what the API told the caller of one job. SecondID and SecondRefusal are the response to the
// second submission of a job that is submitted twice.
type JobResult struct {
	Line           int
	Kind           descriptor.Kind
	Tasks          int
	Idempotent     bool
	Deadline       time.Time
	Sent           time.Time
	Acknowledged   time.Time
	Accepted       bool
	ID             descriptor.JobID
	Refusal        descriptor.Code
	SecondID       descriptor.JobID
	SecondRefusal  descriptor.Code
	Cancelled      bool
	CancelAccepted bool
	Fate           descriptor.FateRecord
}

// RequestResult is what the API told the caller of one request.
type RequestResult struct {
	Line        int
	At          time.Duration
	Key         string
	ServiceTime time.Duration
	// Latency is measured from the scheduled time, so that it includes any delay in sending.
	Latency time.Duration
	// Fate is Done, NotRun, Failed or Unknown.
	Fate string
	Code descriptor.Code
	// WrongAnswer means that the response is incomplete or belongs to another request.
	WrongAnswer bool
}

// Result holds what the API told all callers.
type Result struct {
	// Began is the time that the offsets of the schedule count from.
	Began time.Time
	Ended time.Time
	// Applied is how long the configuration took to be in force at all instances.
	Applied  time.Duration
	Jobs     []JobResult
	Requests []RequestResult
}

// Submitter sends the jobs and requests of one schedule.
type Submitter struct {
	options Options
	// clients holds clientsPerSite clients for each site.
	clients  [][]*caller.Client
	began    time.Time
	requests []RequestResult
	counts   progressCounts

	mutex sync.Mutex
	jobs  []*job
}

// progressCounts holds the counters that the progress lines print.
type progressCounts struct {
	accepted atomic.Int64
	final    atomic.Int64
	sent     atomic.Int64
	answered atomic.Int64
}

// Run applies the configuration, sends the schedule and waits until all fates are final or ctx ends.
// It returns an error only if the configuration could not be applied, in which case nothing was sent.
func Run(ctx context.Context, options Options) (Result, error) {
	if options.Progress == nil {
		options.Progress = io.Discard
	}
	submitter := &Submitter{
		options: options,
	}
	defer submitter.connect()()
	applied, err := submitter.applyConfig(ctx)
	if err != nil {
		return Result{}, err
	}
	submitter.began = time.Now()
	submitter.requests = make([]RequestResult, len(options.Schedule.Requests))
	submitter.prepareJobs()
	progressCtx, stop := context.WithCancel(ctx)
	var progressGroup, group sync.WaitGroup
	progressGroup.Go(func() {
		submitter.reportProgress(progressCtx)
	})
	group.Go(func() {
		submitter.sendRequests(ctx)
	})
	group.Go(func() {
		submitter.submitJobs(ctx)
	})
	group.Go(func() {
		submitter.trackJobs(ctx)
	})
	group.Wait()
	stop()
	progressGroup.Wait()
	result := Result{
		Began:    submitter.began,
		Ended:    time.Now(),
		Applied:  applied,
		Requests: submitter.requests,
	}
	for _, job := range submitter.jobs {
		result.Jobs = append(result.Jobs, job.result)
	}
	return result, nil
}

// connect creates the clients and returns a function that closes their idle connections.
func (submitter *Submitter) connect() func() {
	var pools []*http.Client
	for _, server := range submitter.options.Servers {
		var clients []*caller.Client
		for range clientsPerSite {
			pool := sender.NewClient(sender.ClientOptions{
				MaxConns: maxConns,
			})
			pools = append(pools, pool)
			clients = append(clients, &caller.Client{
				Servers: []string{server},
				HTTP:    pool,
				Timeout: callTimeout,
			})
		}
		submitter.clients = append(submitter.clients, clients)
	}
	return func() {
		for _, pool := range pools {
			pool.CloseIdleConnections()
		}
	}
}

// client returns the client for a caller at a site. A caller always gets the same one.
func (submitter *Submitter) client(site int, name string) *caller.Client {
	clients := submitter.clients[site%len(submitter.clients)]
	return clients[xxhash.Sum64String(name)%uint64(len(clients))]
}

// applyConfig retries until the configuration is in force at all instances, and returns how long that
// took.
func (submitter *Submitter) applyConfig(ctx context.Context) (time.Duration, error) {
	began := time.Now()
	client := submitter.client(0, "operator")
	for {
		err := submitter.tryApplyConfig(ctx, client)
		if err == nil {
			return time.Since(began), nil
		}
		if caller.Sleep(ctx, retryDelay) != nil {
			return 0, errors.Wrap(err, "apply configuration")
		}
	}
}

func (submitter *Submitter) tryApplyConfig(ctx context.Context, client *caller.Client) error {
	current, err := client.Config(ctx)
	if err != nil {
		return err
	}
	applied, err := client.Apply(ctx, current.Revision, submitter.options.Scenario.Config, applyTimeout)
	if err != nil {
		return err
	}
	if len(applied.Waiting) > 0 {
		return errors.Errorf("revision %d is not in force at %v", applied.Revision, applied.Waiting)
	}
	return nil
}

// waitUntil sleeps until an offset of the schedule. It returns false if ctx ends first.
func (submitter *Submitter) waitUntil(ctx context.Context, at time.Duration) bool {
	wait := time.Until(submitter.began.Add(at))
	if wait <= 0 {
		return ctx.Err() == nil
	}
	return caller.Sleep(ctx, wait) == nil
}

// errorCode returns the code of a client error, or CodeUncertain if it carries none.
func errorCode(err error) descriptor.Code {
	var problem *descriptor.Problem
	if errors.As(err, &problem) {
		return problem.Code
	}
	return descriptor.CodeUncertain
}

func (submitter *Submitter) reportProgress(ctx context.Context) {
	for caller.Sleep(ctx, progressInterval) == nil {
		_, _ = fmt.Fprintf(submitter.options.Progress, "%3.0f s: %d of %d jobs accepted, %d with a final fate; %d of %d requests sent, %d answered\n",
			time.Since(submitter.began).Seconds(),
			submitter.counts.accepted.Load(), len(submitter.options.Schedule.Submissions), submitter.counts.final.Load(),
			submitter.counts.sent.Load(), len(submitter.requests), submitter.counts.answered.Load(),
		)
	}
}
