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
	followEvery = 50 * time.Millisecond
	firstPoll   = 300 * time.Millisecond
	longestPoll = 2 * time.Second
	// longestWait bounds a call that waits for the end of a job.
	longestWait = 10 * time.Second
	// serviceTail is left for the end of the services, when other jobs keep the run waiting.
	serviceTail = 6 * time.Second
)

// job is a submission under way. The mutex of the Submitter guards it.
type job struct {
	site int
	plan planner.Submission
	seen Job
	// settled means that the submission was answered or given up.
	settled  bool
	cancelAt time.Time
	// pollAt is when the fate is asked for next, interval after the last time.
	pollAt   time.Time
	interval time.Duration
	// busy means that a short call about the job is in progress, and waiting that one is that ends with
	// the job.
	busy    bool
	waiting bool
}

func (submitter *Submitter) prepareJobs() {
	for index, plan := range submitter.options.Schedule.Submissions {
		if plan.Deadline > 0 {
			plan.Job.Deadline = submitter.began.Add(plan.At + plan.Deadline)
		}
		submitter.jobs = append(submitter.jobs, &job{
			site: index,
			plan: plan,
			seen: Job{
				Line:       plan.Line,
				Kind:       plan.Job.Kind,
				Tasks:      plan.Job.TaskCount(),
				Idempotent: plan.Job.Idempotent,
				Deadline:   plan.Job.Deadline,
				Refusal:    descriptor.CodeUnavailable,
			},
		})
	}
}

// submitJobs returns when all submissions of the schedule are answered or given up.
func (submitter *Submitter) submitJobs(ctx context.Context) {
	slots := make(chan struct{}, maxSubmissions)
	var group sync.WaitGroup
	defer group.Wait()
	for index, job := range submitter.jobs {
		if !submitter.waitUntil(ctx, job.plan.At) {
			submitter.settle(job)
			continue
		}
		slots <- struct{}{}
		group.Go(func() {
			submitter.submitBoth(ctx, job, index%2 == 0)
			submitter.settle(job)
			<-slots
		})
	}
}

// submitBoth submits a job, and again where the plan says so: with both at the same time, or the
// second one after the answer to the first.
func (submitter *Submitter) submitBoth(ctx context.Context, job *job, together bool) {
	var group sync.WaitGroup
	if job.plan.Twice && together {
		group.Go(func() {
			submitter.submitAgain(ctx, job)
		})
	}
	submitter.submitFirst(ctx, job)
	group.Wait()
	if job.plan.Twice && !together {
		submitter.submitAgain(ctx, job)
	}
	submitter.mutex.Lock()
	defer submitter.mutex.Unlock()
	if !job.seen.Accepted && job.seen.SecondID != "" {
		// The caller knows now that the job was accepted, whatever the first answer was.
		job.seen.ID = job.seen.SecondID
		submitter.accept(job)
	}
}

func (submitter *Submitter) submitFirst(ctx context.Context, job *job) {
	sent := time.Now()
	id, code := submitter.submit(ctx, job, job.site)
	submitter.mutex.Lock()
	defer submitter.mutex.Unlock()
	job.seen.Sent, job.seen.ID, job.seen.Refusal = sent, id, code
	if id != "" {
		submitter.accept(job)
	}
}

// accept notes the acknowledgement of a job. The caller holds the mutex.
func (submitter *Submitter) accept(job *job) {
	submitter.counts.accepted.Add(1)
	job.seen.Accepted, job.seen.Acknowledged = true, time.Now()
	job.interval = firstPoll
	job.pollAt = job.seen.Acknowledged.Add(max(firstPoll, job.plan.Job.RunTime.Duration))
	if job.plan.CancelAfter > 0 {
		job.cancelAt = job.seen.Acknowledged.Add(job.plan.CancelAfter)
	}
}

func (submitter *Submitter) submitAgain(ctx context.Context, job *job) {
	id, code := submitter.submit(ctx, job, job.site+1)
	submitter.mutex.Lock()
	defer submitter.mutex.Unlock()
	job.seen.SecondID, job.seen.SecondRefusal = id, code
}

// submit returns the job's ID, or the code of the refusal. It goes on while a refusal can pass.
func (submitter *Submitter) submit(ctx context.Context, job *job, site int) (descriptor.JobID, descriptor.Code) {
	client := submitter.client(site, job.plan.Job.Caller)
	uncertain := false
	for {
		status, _, err := client.Submit(ctx, job.plan.Job)
		if err == nil {
			return status.ID, ""
		}
		code := codeOf(err)
		uncertain = uncertain || code == descriptor.CodeUncertain
		if !presenter.Transient(code) && code != descriptor.CodeUncertain || caller.Sleep(ctx, resubmitAfter) != nil {
			if uncertain {
				// A refusal of a later attempt tells nothing about an earlier one.
				return "", descriptor.CodeUncertain
			}
			return "", code
		}
	}
}

func (submitter *Submitter) settle(job *job) {
	submitter.mutex.Lock()
	defer submitter.mutex.Unlock()
	job.settled = true
}

// follow cancels and asks for fates until all are final or ctx ends.
func (submitter *Submitter) follow(ctx context.Context) {
	slots := make(chan struct{}, maxPolls)
	waits := make(chan struct{}, maxWaits)
	var group sync.WaitGroup
	defer group.Wait()
	open := slices.Clone(submitter.jobs)
	for len(open) > 0 && caller.Sleep(ctx, followEvery) == nil {
		open = slices.DeleteFunc(open, submitter.finished)
		if submitter.servicesOnly(ctx, open) {
			submitter.endServices(open)
		}
		for _, job := range open {
			if submitter.mayWait(job) {
				select {
				case waits <- struct{}{}:
					submitter.setWaiting(job, true)
					group.Go(func() {
						submitter.await(ctx, job)
						<-waits
					})
				default:
				}
			}
			action := submitter.next(job)
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
	if !job.settled || job.busy {
		return false
	}
	if !job.seen.Accepted {
		return true
	}
	final := job.seen.Fate.Final()
	if final {
		submitter.counts.final.Add(1)
	}
	return final
}

// endless reports whether the job ends only by a cancellation that has not been accepted yet. It is
// asked for now and then, as a wait for its end would be in vain.
func (job *job) endless() bool {
	return job.plan.Job.Kind == descriptor.KindService && !job.seen.CancelAccepted
}

// mayWait reports whether a call should wait for the end of the job from now on.
func (submitter *Submitter) mayWait(job *job) bool {
	submitter.mutex.Lock()
	defer submitter.mutex.Unlock()
	return job.seen.Accepted && !job.waiting && !job.busy && !job.endless() && !job.seen.Fate.Final() &&
		!time.Now().Before(job.pollAt)
}

func (submitter *Submitter) setWaiting(job *job, waiting bool) {
	submitter.mutex.Lock()
	defer submitter.mutex.Unlock()
	job.waiting = waiting
}

// await asks for the fate with a call that lasts until the job ends or some seconds have passed.
func (submitter *Submitter) await(ctx context.Context, job *job) {
	status, err := submitter.client(job.site, job.plan.Job.Caller).Await(ctx, job.seen.ID, longestWait)
	submitter.mutex.Lock()
	defer submitter.mutex.Unlock()
	job.waiting = false
	job.pollAt = time.Now().Add(firstPoll)
	if err == nil && !job.seen.Fate.Final() {
		job.seen.Fate = status.Fate
	}
}

// servicesOnly reports whether it is time to end the services: the schedule is over, and no other
// job is open or the run must end soon.
func (submitter *Submitter) servicesOnly(ctx context.Context, open []*job) bool {
	if time.Since(submitter.began) < submitter.options.Scenario.Duration.Duration {
		return false
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < serviceTail {
		return true
	}
	return !slices.ContainsFunc(open, func(job *job) bool {
		return job.plan.Job.Kind != descriptor.KindService
	})
}

func (submitter *Submitter) endServices(open []*job) {
	submitter.mutex.Lock()
	defer submitter.mutex.Unlock()
	for _, job := range open {
		if job.plan.Job.Kind == descriptor.KindService && job.cancelAt.IsZero() {
			job.cancelAt = time.Now()
		}
	}
}

// next returns what is to be done about the job now, or nil.
func (submitter *Submitter) next(job *job) func(context.Context, *job) {
	submitter.mutex.Lock()
	defer submitter.mutex.Unlock()
	now := time.Now()
	if job.busy || !job.seen.Accepted {
		return nil
	}
	if !job.cancelAt.IsZero() && !now.Before(job.cancelAt) && !job.seen.CancelAccepted {
		job.busy = true
		return submitter.cancel
	}
	if now.Before(job.pollAt) || job.seen.Fate.Final() || !job.endless() {
		return nil
	}
	job.busy = true
	return submitter.poll
}

func (submitter *Submitter) cancel(ctx context.Context, job *job) {
	status, err := submitter.client(job.site, job.plan.Job.Caller).Cancel(ctx, job.seen.ID)
	submitter.mutex.Lock()
	defer submitter.mutex.Unlock()
	job.busy = false
	job.seen.Cancelled = true
	if err != nil {
		job.cancelAt = time.Now().Add(resubmitAfter)
		return
	}
	job.seen.CancelAccepted = true
	job.seen.Fate = status.Fate
	job.interval = firstPoll
	job.pollAt = time.Now().Add(firstPoll)
}

func (submitter *Submitter) poll(ctx context.Context, job *job) {
	status, err := submitter.client(job.site, job.plan.Job.Caller).Status(ctx, job.seen.ID, false)
	submitter.mutex.Lock()
	defer submitter.mutex.Unlock()
	job.busy = false
	if err == nil {
		job.seen.Fate = status.Fate
	}
	job.interval = min(job.interval*3/2, longestPoll)
	job.pollAt = time.Now().Add(job.interval)
}
