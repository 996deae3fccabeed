package reporter

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pomelomoor/internal/gateway/executor"
	"pomelomoor/internal/local/planner"
	"pomelomoor/internal/local/submitter"
	"pomelomoor/internal/standin/runner"
	"pomelomoor/internal/standin/worker"
	"pomelomoor/internal/work/descriptor"
)

// Bounds of a histogram, in microseconds.
const (
	shortest = 1
	longest  = int64(2 * time.Minute / time.Microsecond)
	digits   = 3
)

// Classes of items besides the fates. Each accepted item is in exactly one.
const (
	classDone      = "Done"
	classNotRun    = "NotRun"
	classFailed    = "Failed"
	classCancelled = "Cancelled"
	classUnknown   = "Unknown"
	classLost      = "Lost"
	classRefused   = "Refused"
)

// taskID names a task over all its runs.
type taskID struct {
	job  descriptor.JobID
	task int
}

// examiner goes through a history.
type examiner struct {
	history  *History
	report   Report
	runs     map[taskID][]worker.Record
	requests map[string][]runner.Record
	// firsts holds the first start of each job.
	firsts map[descriptor.JobID]time.Time
	// known holds the jobs that callers were told of, and whether their tasks may run again.
	known map[descriptor.JobID]bool
	waits []*hdrhistogram.Histogram
	head  *hdrhistogram.Histogram
	crest share
	times share
}

// share is a part of a whole.
type share struct {
	part  int
	whole int
}

func (share *share) add(counts bool) {
	share.whole++
	if counts {
		share.part++
	}
}

func (share *share) value() float64 {
	if share.whole == 0 {
		return 1
	}
	return float64(share.part) / float64(share.whole)
}

func newExaminer(history *History) *examiner {
	examiner := &examiner{
		history:  history,
		runs:     make(map[taskID][]worker.Record),
		requests: make(map[string][]runner.Record),
		firsts:   make(map[descriptor.JobID]time.Time),
		known:    make(map[descriptor.JobID]bool),
		head:     hdrhistogram.New(shortest, longest, digits),
	}
	examiner.report.Name = history.Scenario.Name
	examiner.report.Failures = history.Failures
	for _, line := range history.Scenario.Jobs {
		examiner.addLine(line.Job.Name)
	}
	for _, line := range history.Scenario.Requests {
		examiner.addLine(line.Name)
	}
	for _, record := range history.Runs {
		id := taskID{
			job:  record.Run.Job,
			task: record.Run.Task,
		}
		examiner.runs[id] = append(examiner.runs[id], record)
		first, started := examiner.firsts[id.job]
		if !started || record.Started.Before(first) {
			examiner.firsts[id.job] = record.Started
		}
	}
	for _, record := range history.Requests {
		examiner.requests[record.Key] = append(examiner.requests[record.Key], record)
	}
	return examiner
}

func (examiner *examiner) addLine(name string) {
	examiner.report.Lines = append(examiner.report.Lines, Line{
		Name:  name,
		Fates: make(map[string]int),
		Codes: make(map[descriptor.Code]int),
	})
	examiner.waits = append(examiner.waits, hdrhistogram.New(shortest, longest, digits))
}

func (examiner *examiner) examineJob(job *submitter.Job) {
	line := &examiner.report.Lines[job.Line]
	line.Count++
	for _, id := range []descriptor.JobID{job.ID, job.SecondID} {
		if id != "" {
			examiner.known[id] = job.Idempotent
		}
	}
	if job.SecondID != "" && job.ID != "" && job.SecondID != job.ID {
		examiner.report.KeyDiffers++
	}
	for _, code := range []descriptor.Code{job.Refusal, job.SecondRefusal} {
		if code != "" {
			line.Codes[code]++
		}
	}
	class := examiner.classOfJob(job)
	examiner.classify(line, class)
	if first, started := examiner.firsts[job.ID]; started && job.Accepted {
		record(examiner.waits[job.Line], first.Sub(job.Acknowledged))
	}
	if job.Deadline.IsZero() || !job.Accepted || class == classCancelled {
		return
	}
	line.Deadlines++
	if !examiner.doneBy(job, job.Deadline) {
		line.Missed++
	}
}

func (examiner *examiner) classOfJob(job *submitter.Job) string {
	_, started := examiner.firsts[job.ID]
	service := job.Kind == descriptor.KindService
	fate := job.Fate.Fate
	switch {
	case !job.Accepted && job.Refusal == descriptor.CodeUncertain:
		return classUnknown
	case !job.Accepted:
		return classRefused
	case fate == classDone && !examiner.done(job):
		return classLost
	case fate == classNotRun && started:
		return classLost
	case job.Cancelled && fate == classDone && service:
		return classCancelled
	case job.Cancelled && (fate == classNotRun || fate == classFailed):
		return classCancelled
	case fate == classDone, fate == classNotRun, fate == classFailed, fate == classUnknown:
		return fate
	default:
		return classLost
	}
}

// done reports whether the workers' histories allow the fate Done.
func (examiner *examiner) done(job *submitter.Job) bool {
	if job.Kind == descriptor.KindService {
		// A service has no end of its own, so that its cancellation after a start is its fate Done.
		_, started := examiner.firsts[job.ID]
		return started && job.Cancelled
	}
	return examiner.doneBy(job, examiner.history.Taken)
}

// doneBy reports whether each task of the job had a run that ended well by then.
func (examiner *examiner) doneBy(job *submitter.Job, deadline time.Time) bool {
	for task := range job.Tasks {
		runs := examiner.runs[taskID{
			job:  job.ID,
			task: task,
		}]
		if !slices.ContainsFunc(runs, func(record worker.Record) bool {
			return record.Outcome == executor.OutcomeDone && !record.Ended.After(deadline)
		}) {
			return false
		}
	}
	return true
}

// classify counts an item.
func (examiner *examiner) classify(line *Line, class string) {
	counts := &examiner.report.Counts
	line.Fates[class]++
	switch class {
	case classDone:
		counts.Done++
	case classNotRun:
		counts.NotRun++
	case classFailed:
		counts.Failed++
	case classCancelled:
		counts.Cancelled++
	case classUnknown:
		counts.Unknown++
	case classLost:
		counts.Lost++
	case classRefused:
		counts.Refused++
		return
	}
	counts.Accepted++
}

func (examiner *examiner) examineCall(call *submitter.Call) {
	index := len(examiner.history.Scenario.Jobs) + call.Line
	plan := &examiner.history.Scenario.Requests[call.Line]
	line := &examiner.report.Lines[index]
	line.Count++
	if call.Code != "" {
		line.Codes[call.Code]++
	}
	if call.Wrong {
		examiner.report.WrongAnswer++
	}
	if len(examiner.requests[call.Key]) > 1 && !plan.Idempotent {
		examiner.report.RunTwice++
	}
	class := examiner.classOfCall(call)
	examiner.classify(line, class)
	inTime := class == classDone && !call.Wrong && (plan.Timeout.Duration == 0 || call.Latency <= plan.Timeout.Duration)
	line.Deadlines++
	if !inTime {
		line.Missed++
	}
	examiner.times.add(inTime)
	if plan.CrestFactor > 0 && call.At >= plan.CrestFrom.Duration && call.At < plan.CrestTo.Duration {
		examiner.crest.add(inTime)
	}
	if class != classDone {
		return
	}
	record(examiner.waits[index], call.Latency)
	if call.ServiceTime <= 2*shortestService(examiner.history.Scenario) {
		record(examiner.head, call.Latency-call.ServiceTime)
	}
}

func (examiner *examiner) classOfCall(call *submitter.Call) string {
	runs := examiner.requests[call.Key]
	completed := slices.ContainsFunc(runs, func(record runner.Record) bool {
		return record.Completed
	})
	switch {
	case call.Fate == classDone && !completed:
		return classLost
	case call.Fate == classNotRun && len(runs) > 0:
		return classLost
	case call.Fate == classDone, call.Fate == classNotRun, call.Fate == classFailed, call.Fate == classUnknown:
		return call.Fate
	default:
		return classLost
	}
}

// shortestService tells short requests from long ones: they take at most twice as long.
func shortestService(scenario *planner.Scenario) time.Duration {
	var least time.Duration
	for _, line := range scenario.Requests {
		if least == 0 || line.ServiceTime.Duration < least {
			least = line.ServiceTime.Duration
		}
	}
	return least
}

// examineRuns looks for tasks that ran twice and for jobs that nobody knows.
func (examiner *examiner) examineRuns() {
	stray := make(map[descriptor.JobID]bool)
	for id, runs := range examiner.runs {
		idempotent, known := examiner.known[id.job]
		if !known {
			stray[id.job] = true
		}
		if examiner.overlap(runs) || known && !idempotent && len(runs) > 1 {
			examiner.report.RunTwice++
		}
	}
	examiner.report.StrayJobs = len(stray)
}

// overlap reports whether two of the runs were in progress at the same time.
func (examiner *examiner) overlap(runs []worker.Record) bool {
	slices.SortFunc(runs, func(left, right worker.Record) int {
		return left.Started.Compare(right.Started)
	})
	var latest time.Time
	for index, run := range runs {
		if index > 0 && run.Started.Before(latest) {
			return true
		}
		if end := examiner.endOf(&run); end.After(latest) {
			latest = end
		}
	}
	return false
}

func (examiner *examiner) endOf(run *worker.Record) time.Time {
	if run.Ended.IsZero() {
		return examiner.history.Taken
	}
	return run.Ended
}

func record(histogram *hdrhistogram.Histogram, duration time.Duration) {
	value := min(max(duration.Microseconds(), shortest), longest)
	_ = histogram.RecordValue(value)
}

func quantile(histogram *hdrhistogram.Histogram, percent float64) descriptor.Duration {
	return descriptor.Duration{
		Duration: time.Duration(histogram.ValueAtQuantile(percent)) * time.Microsecond,
	}
}

// finish fills the lines' waits and shares.
func (examiner *examiner) finish() Report {
	for index := range examiner.report.Lines {
		line := &examiner.report.Lines[index]
		waits := examiner.waits[index]
		line.MedianWait = quantile(waits, 50)
		line.P99Wait = quantile(waits, 99)
		line.LongestWait = quantile(waits, 100)
		line.InTime = 1 - float64(line.Missed)/float64(cmp.Or(line.Deadlines, 1))
	}
	return examiner.report
}
