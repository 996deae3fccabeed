// Package submitter plays the schedule of a local run over the public API, as its operators and
// callers would, and records what they saw.
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

// Bounds of what is in progress at a time.
const (
	maxRequests    = 4096
	maxSubmissions = 256
	maxPolls       = 64
	// maxWaits is an eighth of what an entry instance takes, so that one of eight can have them all.
	maxWaits = 512
	// clientsPerSite is the number of connection pools at each site. One pool would reuse its latest
	// connection most, and so send most calls to one entry instance.
	clientsPerSite = 16
	maxConns       = 256
)

const (
	callTimeout   = 10 * time.Second
	applyWait     = 5 * time.Second
	progressEvery = time.Second
	// resubmitAfter is added to the waits of the client between its attempts.
	resubmitAfter = 500 * time.Millisecond
)

// Options describe a run.
type Options struct {
	Scenario *planner.Scenario
	Schedule planner.Schedule
	// Servers holds the base URL for the callers of each site.
	Servers []string
	// Progress gets a line every second; nil discards them.
	Progress io.Writer
}

// Job is what the caller of a job saw.
type Job struct {
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

// Call is what the caller of a request saw.
type Call struct {
	Line        int
	At          time.Duration
	Key         string
	ServiceTime time.Duration
	// Latency is counted from the time in the schedule, so that a late sender hides nothing.
	Latency time.Duration
	// Fate is Done, NotRun, Failed or Unknown.
	Fate string
	Code descriptor.Code
	// Wrong means that the answer is not the one to the own request.
	Wrong bool
}

// Result is what all callers saw.
type Result struct {
	// Began is the zero of the schedule.
	Began time.Time
	Ended time.Time
	// Applied is how long it took until the configuration was in force everywhere.
	Applied time.Duration
	Jobs    []Job
	Calls   []Call
}

// Submitter plays one schedule.
type Submitter struct {
	options Options
	// clients holds clientsPerSite clients for each site.
	clients [][]*caller.Client
	began   time.Time
	calls   []Call
	counts  counts

	mutex sync.Mutex
	jobs  []*job
}

// counts are for the progress lines.
type counts struct {
	accepted atomic.Int64
	final    atomic.Int64
	sent     atomic.Int64
	answered atomic.Int64
}

// Play applies the configuration, plays the schedule and waits until all fates are final or ctx
// ends. Its error means that nothing could be played.
func Play(ctx context.Context, options Options) (Result, error) {
	if options.Progress == nil {
		options.Progress = io.Discard
	}
	submitter := &Submitter{
		options: options,
	}
	defer submitter.connect()()
	applied, err := submitter.apply(ctx)
	if err != nil {
		return Result{}, err
	}
	submitter.began = time.Now()
	submitter.calls = make([]Call, len(options.Schedule.Calls))
	submitter.prepareJobs()
	ending, stop := context.WithCancel(ctx)
	var reports, group sync.WaitGroup
	reports.Go(func() {
		submitter.reportProgress(ending)
	})
	group.Go(func() {
		submitter.sendRequests(ctx)
	})
	group.Go(func() {
		submitter.submitJobs(ctx)
	})
	group.Go(func() {
		submitter.follow(ctx)
	})
	group.Wait()
	stop()
	reports.Wait()
	result := Result{
		Began:   submitter.began,
		Ended:   time.Now(),
		Applied: applied,
		Calls:   submitter.calls,
	}
	for _, job := range submitter.jobs {
		result.Jobs = append(result.Jobs, job.seen)
	}
	return result, nil
}

// connect makes the clients and returns a function that closes their connections.
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

// client returns the one that the caller uses at the site.
func (submitter *Submitter) client(site int, name string) *caller.Client {
	clients := submitter.clients[site%len(submitter.clients)]
	return clients[xxhash.Sum64String(name)%uint64(len(clients))]
}

// apply returns how long the configuration took to be in force everywhere.
func (submitter *Submitter) apply(ctx context.Context) (time.Duration, error) {
	began := time.Now()
	client := submitter.client(0, "operator")
	for {
		err := submitter.applyOnce(ctx, client)
		if err == nil {
			return time.Since(began), nil
		}
		if caller.Sleep(ctx, resubmitAfter) != nil {
			return 0, errors.Wrap(err, "apply configuration")
		}
	}
}

func (submitter *Submitter) applyOnce(ctx context.Context, client *caller.Client) error {
	current, err := client.Config(ctx)
	if err != nil {
		return err
	}
	applied, err := client.Apply(ctx, current.Revision, submitter.options.Scenario.Config, applyWait)
	if err != nil {
		return err
	}
	if len(applied.Waiting) > 0 {
		return errors.Errorf("revision %d is not in force at %v", applied.Revision, applied.Waiting)
	}
	return nil
}

// waitUntil waits for a time of the schedule. It reports false when ctx ended before.
func (submitter *Submitter) waitUntil(ctx context.Context, at time.Duration) bool {
	wait := time.Until(submitter.began.Add(at))
	if wait <= 0 {
		return ctx.Err() == nil
	}
	return caller.Sleep(ctx, wait) == nil
}

// codeOf returns the code of an error of the client.
func codeOf(err error) descriptor.Code {
	var problem *descriptor.Problem
	if errors.As(err, &problem) {
		return problem.Code
	}
	return descriptor.CodeUncertain
}

func (submitter *Submitter) reportProgress(ctx context.Context) {
	for caller.Sleep(ctx, progressEvery) == nil {
		_, _ = fmt.Fprintf(submitter.options.Progress, "%3.0f s: %d of %d jobs accepted, %d with a final fate; %d of %d requests sent, %d answered\n",
			time.Since(submitter.began).Seconds(),
			submitter.counts.accepted.Load(), len(submitter.options.Schedule.Submissions), submitter.counts.final.Load(),
			submitter.counts.sent.Load(), len(submitter.calls), submitter.counts.answered.Load(),
		)
	}
}
