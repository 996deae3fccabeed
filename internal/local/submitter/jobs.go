package submitter

import (
	"context"
	"slices"
	"sync"
	"time"

	"pomelomoor/internal/client/caller"
	"pomelomoor/internal/entry/presenter"
	"pomelomoor/internal/local/planner"
	"pomelomoor/internal/work/descriptor"
)

const (
	trackInterval   = 50 * time.Millisecond
	minPollInterval = 300 * time.Millisecond
	maxPollInterval = 2 * time.Second
	// awaitTimeout bounds a single call that waits for a job to end.
	awaitTimeout = 10 * time.Second
	// serviceEndReserve is how long before the end of the run the services are cancelled at the latest,
	// even if other jobs are still running.
	serviceEndReserve = 6 * time.Second
)

// job is the state of one submission. Submitter.mutex guards it.
type job struct {
	site       int
	submission planner.Submission
	result     JobResult
	// submissionEnded is set once the submission is answered or abandoned.
	submissionEnded bool
	cancelAt        time.Time
	// pollAt is when the fate is requested next. pollInterval grows with each status call.
	pollAt       time.Time
	pollInterval time.Duration
	// callInFlight is set during a status or cancel call, and awaitInFlight during a call that waits for
	// the job to end.
	callInFlight  bool
	awaitInFlight bool
}

func (submitter *Submitter) prepareJobs() {
	for index, submission := range submitter.options.Schedule.Submissions {
		if submission.Deadline > 0 {
			submission.Job.Deadline = submitter.began.Add(submission.At + submission.Deadline)
		}
		submitter.jobs = append(submitter.jobs, &job{
			site:       index,
			submission: submission,
			result: JobResult{
				Line:       submission.Line,
				Kind:       submission.Job.Kind,
				Tasks:      submission.Job.TaskCount(),
				Idempotent: submission.Job.Idempotent,
				Deadline:   submission.Job.Deadline,
				Refusal:    descriptor.CodeUnavailable,
			},
		})
	}
}

// submitJobs submits the jobs of the schedule and returns when all submissions are answered or abandoned.
func (submitter *Submitter) submitJobs(ctx context.Context) {
	slots := make(chan struct{}, maxSubmissions)
	var group sync.WaitGroup
	defer group.Wait()
	for index, job := range submitter.jobs {
		if !submitter.waitUntil(ctx, job.submission.At) {
			submitter.endSubmission(job)
			continue
		}
		slots <- struct{}{}
		group.Go(func() {
			submitter.submitJob(ctx, job, index%2 == 0)
			submitter.endSubmission(job)
			<-slots
		})
	}
}

// submitJob submits a job, and a second time if the schedule says so: concurrently with the first, or
// after the first is answered.
func (submitter *Submitter) submitJob(ctx context.Context, job *job, concurrent bool) {
	var group sync.WaitGroup
	if job.submission.Twice && concurrent {
		group.Go(func() {
			submitter.submitSecond(ctx, job)
		})
	}
	submitter.submitFirst(ctx, job)
	group.Wait()
	if job.submission.Twice && !concurrent {
		submitter.submitSecond(ctx, job)
	}
	submitter.mutex.Lock()
	defer submitter.mutex.Unlock()
	if !job.result.Accepted && job.result.SecondID != "" {
		// The second response proves that the job was accepted, whatever the first response was.
		job.result.ID = job.result.SecondID
		submitter.recordAccepted(job)
	}
}

func (submitter *Submitter) submitFirst(ctx context.Context, job *job) {
	sent := time.Now()
	id, code := submitter.submit(ctx, job, job.site)
	submitter.mutex.Lock()
	defer submitter.mutex.Unlock()
	job.result.Sent, job.result.ID, job.result.Refusal = sent, id, code
	if id != "" {
		submitter.recordAccepted(job)
	}
}

// recordAccepted records the acknowledgement of a job and schedules its first status request and its
// cancellation. The caller must hold the mutex.
func (submitter *Submitter) recordAccepted(job *job) {
	submitter.counts.accepted.Add(1)
	job.result.Accepted, job.result.Acknowledged = true, time.Now()
	job.pollInterval = minPollInterval
	job.pollAt = job.result.Acknowledged.Add(max(minPollInterval, job.submission.Job.RunTime.Duration))
	if job.submission.CancelAfter > 0 {
		job.cancelAt = job.result.Acknowledged.Add(job.submission.CancelAfter)
	}
}

func (submitter *Submitter) submitSecond(ctx context.Context, job *job) {
	id, code := submitter.submit(ctx, job, job.site+1)
	submitter.mutex.Lock()
	defer submitter.mutex.Unlock()
	job.result.SecondID, job.result.SecondRefusal = id, code
}

// submit returns the job's ID, or the code of the refusal. It retries temporary and uncertain refusals
// until ctx ends.
func (submitter *Submitter) submit(ctx context.Context, job *job, site int) (descriptor.JobID, descriptor.Code) {
	client := submitter.client(site, job.submission.Job.Caller)
	uncertain := false
	for {
		status, _, err := client.Submit(ctx, job.submission.Job)
		if err == nil {
			return status.ID, ""
		}
		code := errorCode(err)
		uncertain = uncertain || code == descriptor.CodeUncertain
		if !presenter.Transient(code) && code != descriptor.CodeUncertain || caller.Sleep(ctx, retryDelay) != nil {
			if uncertain {
				// An earlier attempt with an uncertain outcome may have been accepted, even if a later one
				// was refused.
				return "", descriptor.CodeUncertain
			}
			return "", code
		}
	}
}

func (submitter *Submitter) endSubmission(job *job) {
	submitter.mutex.Lock()
	defer submitter.mutex.Unlock()
	job.submissionEnded = true
}

// trackJobs sends the scheduled cancellations and requests fates until all are final or ctx ends.
func (submitter *Submitter) trackJobs(ctx context.Context) {
	slots := make(chan struct{}, maxPolls)
	awaits := make(chan struct{}, maxAwaits)
	var group sync.WaitGroup
	defer group.Wait()
	unfinished := slices.Clone(submitter.jobs)
	for len(unfinished) > 0 && caller.Sleep(ctx, trackInterval) == nil {
		unfinished = slices.DeleteFunc(unfinished, submitter.finished)
		if submitter.shouldCancelServices(ctx, unfinished) {
			submitter.cancelServices(unfinished)
		}
		for _, job := range unfinished {
			if submitter.shouldAwait(job) {
				select {
				case awaits <- struct{}{}:
					submitter.setAwaitInFlight(job, true)
					group.Go(func() {
						submitter.await(ctx, job)
						<-awaits
					})
				default:
				}
			}
			action := submitter.nextAction(job)
			if action == nil {
				continue
			}
			slots <- struct{}{}
			group.Go(func() {
				action(ctx, job)
				<-slots
			})
		}
	}
}

func (submitter *Submitter) finished(job *job) bool {
	submitter.mutex.Lock()
	defer submitter.mutex.Unlock()
	if !job.submissionEnded || job.callInFlight {
		return false
	}
	if !job.result.Accepted {
		return true
	}
	final := job.result.Fate.Final()
	if final {
		submitter.counts.final.Add(1)
	}
	return final
}

// runsUntilCancelled reports whether the job is a service whose cancellation has not been accepted yet.
// Its fate is polled, because a call that waits for its end would always time out.
func (job *job) runsUntilCancelled() bool {
	return job.submission.Job.Kind == descriptor.KindService && !job.result.CancelAccepted
}

// shouldAwait reports whether to start a call that waits for the job to end.
func (submitter *Submitter) shouldAwait(job *job) bool {
	submitter.mutex.Lock()
	defer submitter.mutex.Unlock()
	return job.result.Accepted && !job.awaitInFlight && !job.callInFlight && !job.runsUntilCancelled() && !job.result.Fate.Final() &&
		!time.Now().Before(job.pollAt)
}

func (submitter *Submitter) setAwaitInFlight(job *job, inFlight bool) {
	submitter.mutex.Lock()
	defer submitter.mutex.Unlock()
	job.awaitInFlight = inFlight
}

// await requests the fate with a call that returns when the job ends or after awaitTimeout.
func (submitter *Submitter) await(ctx context.Context, job *job) {
	status, err := submitter.client(job.site, job.submission.Job.Caller).Await(ctx, job.result.ID, awaitTimeout)
	submitter.mutex.Lock()
	defer submitter.mutex.Unlock()
	job.awaitInFlight = false
	job.pollAt = time.Now().Add(minPollInterval)
	if err == nil && !job.result.Fate.Final() {
		job.result.Fate = status.Fate
	}
}

// shouldCancelServices reports whether to cancel the services: the schedule is over, and either only
// services are left or the run ends within serviceEndReserve.
func (submitter *Submitter) shouldCancelServices(ctx context.Context, unfinished []*job) bool {
	if time.Since(submitter.began) < submitter.options.Scenario.Duration.Duration {
		return false
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < serviceEndReserve {
		return true
	}
	return !slices.ContainsFunc(unfinished, func(job *job) bool {
		return job.submission.Job.Kind != descriptor.KindService
	})
}

func (submitter *Submitter) cancelServices(unfinished []*job) {
	submitter.mutex.Lock()
	defer submitter.mutex.Unlock()
	for _, job := range unfinished {
		if job.submission.Job.Kind == descriptor.KindService && job.cancelAt.IsZero() {
			job.cancelAt = time.Now()
		}
	}
}

// nextAction returns the call that is due for the job and marks it as in flight, or returns nil.
func (submitter *Submitter) nextAction(job *job) func(context.Context, *job) {
	submitter.mutex.Lock()
	defer submitter.mutex.Unlock()
	now := time.Now()
	if job.callInFlight || !job.result.Accepted {
		return nil
	}
	if !job.cancelAt.IsZero() && !now.Before(job.cancelAt) && !job.result.CancelAccepted {
		job.callInFlight = true
		return submitter.cancel
	}
	if now.Before(job.pollAt) || job.result.Fate.Final() || !job.runsUntilCancelled() {
		return nil
	}
	job.callInFlight = true
	return submitter.poll
}

func (submitter *Submitter) cancel(ctx context.Context, job *job) {
	status, err := submitter.client(job.site, job.submission.Job.Caller).Cancel(ctx, job.result.ID)
	submitter.mutex.Lock()
	defer submitter.mutex.Unlock()
	job.callInFlight = false
	job.result.Cancelled = true
	if err != nil {
		job.cancelAt = time.Now().Add(retryDelay)
		return
	}
	job.result.CancelAccepted = true
	job.result.Fate = status.Fate
	job.pollInterval = minPollInterval
	job.pollAt = time.Now().Add(minPollInterval)
}

func (submitter *Submitter) poll(ctx context.Context, job *job) {
	status, err := submitter.client(job.site, job.submission.Job.Caller).Status(ctx, job.result.ID, false)
	submitter.mutex.Lock()
	defer submitter.mutex.Unlock()
	job.callInFlight = false
	if err == nil {
		job.result.Fate = status.Fate
	}
	job.pollInterval = min(job.pollInterval*3/2, maxPollInterval)
	job.pollAt = time.Now().Add(job.pollInterval)
}
