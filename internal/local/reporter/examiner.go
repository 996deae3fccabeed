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

// Range of the histograms in microseconds, and their precision in decimal digits.
const (
	minMicroseconds   = 1
	maxMicroseconds   = int64(2 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Classes of jobs and requests: the final fates, and the outcomes that have no fate of their own. Each item
// is in exactly one class.
const (
	classDone      = "Done"
	classNotRun    = "NotRun"
	classFailed    = "Failed"
	classCancelled = "Cancelled"
	classUnknown   = "Unknown"
	classLost      = "Lost"
	classRefused   = "Refused"
)

// taskID identifies a task across all its runs.
type taskID struct {
	job  descriptor.JobID
	task int
}

// examiner compares the records of a history and fills the report.
type examiner struct {
	history  *History
	report   Report
	runs     map[taskID][]worker.Record
	requests map[string][]runner.Record
	// firstStarts holds the earliest start of a run of each job.
	firstStarts map[descriptor.JobID]time.Time
	// knownJobs holds the jobs whose ID a caller was told. The value is true for idempotent jobs, whose
	// tasks may run again.
	knownJobs   map[descriptor.JobID]bool
	waits       []*hdrhistogram.Histogram
	headOfLine  *hdrhistogram.Histogram
	crestInTime ratio
	inTime      ratio
}

// ratio counts the items that meet a condition among all items.
type ratio struct {
	hits  int
	total int
}

func (ratio *ratio) add(hit bool) {
	ratio.total++
	if hit {
		ratio.hits++
	}
}

func (ratio *ratio) value() float64 {
	if ratio.total == 0 {
		return 1
	}
	return float64(ratio.hits) / float64(ratio.total)
}

func newExaminer(history *History) *examiner {
	examiner := &examiner{
		history:     history,
		runs:        make(map[taskID][]worker.Record),
		requests:    make(map[string][]runner.Record),
		firstStarts: make(map[descriptor.JobID]time.Time),
		knownJobs:   make(map[descriptor.JobID]bool),
		headOfLine:  hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits),
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
		first, started := examiner.firstStarts[id.job]
		if !started || record.Started.Before(first) {
			examiner.firstStarts[id.job] = record.Started
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
	examiner.waits = append(examiner.waits, hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits))
}

func (examiner *examiner) examineJob(job *submitter.JobResult) {
	line := &examiner.report.Lines[job.Line]
	line.Count++
	for _, id := range []descriptor.JobID{job.ID, job.SecondID} {
		if id != "" {
			examiner.knownJobs[id] = job.Idempotent
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
	class := examiner.jobClass(job)
	examiner.countItem(line, class)
	if first, started := examiner.firstStarts[job.ID]; started && job.Accepted {
		recordDuration(examiner.waits[job.Line], first.Sub(job.Acknowledged))
	}
	if job.Deadline.IsZero() || !job.Accepted || class == classCancelled {
		return
	}
	line.Deadlines++
	if !examiner.completedBy(job, job.Deadline) {
		line.Missed++
	}
}

func (examiner *examiner) jobClass(job *submitter.JobResult) string {
	_, started := examiner.firstStarts[job.ID]
	service := job.Kind == descriptor.KindService
	fate := job.Fate.Fate
	switch {
	case !job.Accepted && job.Refusal == descriptor.CodeUncertain:
		return classUnknown
	case !job.Accepted:
		return classRefused
	case fate == classDone && !examiner.completed(job):
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

// completed reports whether the workers' records are consistent with the fate Done.
func (examiner *examiner) completed(job *submitter.JobResult) bool {
	if job.Kind == descriptor.KindService {
		// A service runs until it is cancelled, so it is done if it was cancelled after a start.
		_, started := examiner.firstStarts[job.ID]
		return started && job.Cancelled
	}
	return examiner.completedBy(job, examiner.history.CollectedAt)
}

// completedBy reports whether each task of the job had a run that succeeded by the deadline.
func (examiner *examiner) completedBy(job *submitter.JobResult, deadline time.Time) bool {
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

// countItem adds an item to the counts of its class, in total and for its line.
func (examiner *examiner) countItem(line *Line, class string) {
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

func (examiner *examiner) examineCall(call *submitter.CallResult) {
	index := len(examiner.history.Scenario.Jobs) + call.Line
	requestLine := &examiner.history.Scenario.Requests[call.Line]
	line := &examiner.report.Lines[index]
	line.Count++
	if call.Code != "" {
		line.Codes[call.Code]++
	}
	if call.WrongAnswer {
		examiner.report.WrongAnswer++
	}
	if len(examiner.requests[call.Key]) > 1 && !requestLine.Idempotent {
		examiner.report.RunTwice++
	}
	class := examiner.callClass(call)
	examiner.countItem(line, class)
	inTime := class == classDone && !call.WrongAnswer && (requestLine.Timeout.Duration == 0 || call.Latency <= requestLine.Timeout.Duration)
	line.Deadlines++
	if !inTime {
		line.Missed++
	}
	examiner.inTime.add(inTime)
	if requestLine.CrestFactor > 0 && call.At >= requestLine.CrestFrom.Duration && call.At < requestLine.CrestTo.Duration {
		examiner.crestInTime.add(inTime)
	}
	if class != classDone {
		return
	}
	recordDuration(examiner.waits[index], call.Latency)
	if call.ServiceTime <= 2*shortestServiceTime(examiner.history.Scenario) {
		recordDuration(examiner.headOfLine, call.Latency-call.ServiceTime)
	}
}

func (examiner *examiner) callClass(call *submitter.CallResult) string {
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

// shortestServiceTime returns the shortest service time of the scenario's request lines. Requests that take
// at most twice as long count as short.
func shortestServiceTime(scenario *planner.Scenario) time.Duration {
	var least time.Duration
	for _, line := range scenario.Requests {
		if least == 0 || line.ServiceTime.Duration < least {
			least = line.ServiceTime.Duration
		}
	}
	return least
}

// examineRuns counts the tasks that ran twice and the jobs that no caller was told of.
func (examiner *examiner) examineRuns() {
	stray := make(map[descriptor.JobID]bool)
	for id, runs := range examiner.runs {
		idempotent, known := examiner.knownJobs[id.job]
		if !known {
			stray[id.job] = true
		}
		if examiner.hasOverlap(runs) || known && !idempotent && len(runs) > 1 {
			examiner.report.RunTwice++
		}
	}
	examiner.report.StrayJobs = len(stray)
}

// hasOverlap reports whether two of the runs were in progress at the same time.
func (examiner *examiner) hasOverlap(runs []worker.Record) bool {
	slices.SortFunc(runs, func(left, right worker.Record) int {
		return left.Started.Compare(right.Started)
	})
	var latestEnd time.Time
	for index, run := range runs {
		if index > 0 && run.Started.Before(latestEnd) {
			return true
		}
		if end := examiner.runEnd(&run); end.After(latestEnd) {
			latestEnd = end
		}
	}
	return false
}

func (examiner *examiner) runEnd(run *worker.Record) time.Time {
	if run.Ended.IsZero() {
		return examiner.history.CollectedAt
	}
	return run.Ended
}

func recordDuration(histogram *hdrhistogram.Histogram, duration time.Duration) {
	value := min(max(duration.Microseconds(), minMicroseconds), maxMicroseconds)
	_ = histogram.RecordValue(value)
}

func percentile(histogram *hdrhistogram.Histogram, percent float64) descriptor.Duration {
	return descriptor.Duration{
		Duration: time.Duration(histogram.ValueAtQuantile(percent)) * time.Microsecond,
	}
}

// finish computes the waits and the InTime fraction of each line and returns the report.
func (examiner *examiner) finish() Report {
	for index := range examiner.report.Lines {
		line := &examiner.report.Lines[index]
		waits := examiner.waits[index]
		line.MedianWait = percentile(waits, 50)
		line.P99Wait = percentile(waits, 99)
		line.LongestWait = percentile(waits, 100)
		line.InTime = 1 - float64(line.Missed)/float64(cmp.Or(line.Deadlines, 1))
	}
	return examiner.report
}
