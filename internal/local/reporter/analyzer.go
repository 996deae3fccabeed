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

// Classes of items, which are jobs and requests. Each item is in exactly one class. The class is the fate that the
// caller was told, unless a class without a fate of the same name applies: Cancelled, Lost or Refused.
const (
	// classDone, classNotRun and classFailed hold the items with that fate.
	classDone   = "Done"
	classNotRun = "NotRun"
	classFailed = "Failed"
	// classCancelled holds the jobs that a caller cancelled before they were done, and cancelled services.
	classCancelled = "Cancelled"
	// classUnknown holds the items with that fate, and the jobs that are not known to be accepted or refused.
	classUnknown = "Unknown"
	// classLost holds the items without a final fate, and those whose fate Done or NotRun contradicts the records
	// of the workers or runners.
	classLost = "Lost"
	// classRefused holds the jobs that were not accepted.
	classRefused = "Refused"
)

// taskID identifies a task across all its runs.
type taskID struct {
	job  descriptor.JobID
	task int
}

// analyzer compares the records of a history and fills the report. The items of a scenario come from its lines, and
// each line of the scenario has a line in the report.
type analyzer struct {
	history  *History
	report   Report
	runs     map[taskID][]worker.Record
	requests map[string][]runner.Record
	// firstStarts holds the earliest start of a run of each job.
	firstStarts map[descriptor.JobID]time.Time
	// knownJobs holds the jobs whose ID a caller was told. The value is true for idempotent jobs, whose
	// tasks may run again.
	knownJobs map[descriptor.JobID]bool
	// waits holds a histogram for each line of the report: for jobs, the time from the acknowledgement to the first
	// start, and for requests that were done, the whole latency.
	waits []*hdrhistogram.Histogram
	// headOfLine holds the latency of short requests beyond their service time. It grows when short requests wait
	// behind long ones (head-of-line blocking).
	headOfLine *hdrhistogram.Histogram
	// crestInTime counts only the requests at the crest of their line, which is the period from CrestFrom to CrestTo
	// in which CrestFactor multiplies the rate. inTime counts all requests.
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

func newAnalyzer(history *History) *analyzer {
	analyzer := &analyzer{
		history:     history,
		runs:        make(map[taskID][]worker.Record),
		requests:    make(map[string][]runner.Record),
		firstStarts: make(map[descriptor.JobID]time.Time),
		knownJobs:   make(map[descriptor.JobID]bool),
		headOfLine:  hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits),
	}
	analyzer.report.Name = history.Scenario.Name
	analyzer.report.Failures = history.Failures
	for _, scenarioLine := range history.Scenario.Jobs {
		analyzer.addLine(scenarioLine.Job.Name)
	}
	for _, scenarioLine := range history.Scenario.Requests {
		analyzer.addLine(scenarioLine.Name)
	}
	for _, record := range history.Runs {
		id := taskID{
			job:  record.Run.Job,
			task: record.Run.Task,
		}
		analyzer.runs[id] = append(analyzer.runs[id], record)
		first, started := analyzer.firstStarts[id.job]
		if !started || record.Started.Before(first) {
			analyzer.firstStarts[id.job] = record.Started
		}
	}
	for _, record := range history.Requests {
		analyzer.requests[record.Key] = append(analyzer.requests[record.Key], record)
	}
	return analyzer
}

func (analyzer *analyzer) addLine(name string) {
	analyzer.report.Lines = append(analyzer.report.Lines, Line{
		Name:  name,
		Fates: make(map[string]int),
		Codes: make(map[descriptor.Code]int),
	})
	analyzer.waits = append(analyzer.waits, hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits))
}

func (analyzer *analyzer) analyzeJob(job *submitter.JobResult) {
	reportLine := &analyzer.report.Lines[job.Line]
	reportLine.Count++
	for _, id := range []descriptor.JobID{job.ID, job.SecondID} {
		if id != "" {
			analyzer.knownJobs[id] = job.Idempotent
		}
	}
	if job.SecondID != "" && job.ID != "" && job.SecondID != job.ID {
		analyzer.report.KeyDiffers++
	}
	for _, code := range []descriptor.Code{job.Refusal, job.SecondRefusal} {
		if code != "" {
			reportLine.Codes[code]++
		}
	}
	class := analyzer.jobClass(job)
	analyzer.countItem(reportLine, class)
	if first, started := analyzer.firstStarts[job.ID]; started && job.Accepted {
		recordDuration(analyzer.waits[job.Line], first.Sub(job.Acknowledged))
	}
	if job.Deadline.IsZero() || !job.Accepted || class == classCancelled {
		return
	}
	reportLine.Deadlines++
	if !analyzer.completedBy(job, job.Deadline) {
		reportLine.Missed++
	}
}

func (analyzer *analyzer) jobClass(job *submitter.JobResult) string {
	_, started := analyzer.firstStarts[job.ID]
	service := job.Kind == descriptor.KindService
	fate := job.Fate.Fate
	switch {
	case !job.Accepted && job.Refusal == descriptor.CodeUncertain:
		return classUnknown
	case !job.Accepted:
		return classRefused
	case fate == classDone && !analyzer.completed(job):
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
func (analyzer *analyzer) completed(job *submitter.JobResult) bool {
	if job.Kind == descriptor.KindService {
		// A service runs until it is cancelled, so it is done if it was cancelled after a start.
		_, started := analyzer.firstStarts[job.ID]
		return started && job.Cancelled
	}
	return analyzer.completedBy(job, analyzer.history.CollectedAt)
}

// completedBy reports whether each task of the job had a run that succeeded by the deadline.
func (analyzer *analyzer) completedBy(job *submitter.JobResult, deadline time.Time) bool {
	for task := range job.Tasks {
		runs := analyzer.runs[taskID{
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

// countItem adds an item to the counts of its class, in total and in its line of the report, where the field Fates
// holds the counts by class.
func (analyzer *analyzer) countItem(reportLine *Line, class string) {
	counts := &analyzer.report.Counts
	reportLine.Fates[class]++
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

func (analyzer *analyzer) analyzeRequest(request *submitter.RequestResult) {
	index := len(analyzer.history.Scenario.Jobs) + request.Line
	scenarioLine := &analyzer.history.Scenario.Requests[request.Line]
	reportLine := &analyzer.report.Lines[index]
	reportLine.Count++
	if request.Code != "" {
		reportLine.Codes[request.Code]++
	}
	if request.WrongAnswer {
		analyzer.report.WrongAnswer++
	}
	if len(analyzer.requests[request.Key]) > 1 && !scenarioLine.Idempotent {
		analyzer.report.RunTwice++
	}
	class := analyzer.requestClass(request)
	analyzer.countItem(reportLine, class)
	inTime := class == classDone && !request.WrongAnswer && (scenarioLine.Timeout.Duration == 0 || request.Latency <= scenarioLine.Timeout.Duration)
	reportLine.Deadlines++
	if !inTime {
		reportLine.Missed++
	}
	analyzer.inTime.add(inTime)
	if scenarioLine.CrestFactor > 0 && request.At >= scenarioLine.CrestFrom.Duration && request.At < scenarioLine.CrestTo.Duration {
		analyzer.crestInTime.add(inTime)
	}
	if class != classDone {
		return
	}
	recordDuration(analyzer.waits[index], request.Latency)
	if request.ServiceTime <= 2*shortestServiceTime(analyzer.history.Scenario) {
		recordDuration(analyzer.headOfLine, request.Latency-request.ServiceTime)
	}
}

func (analyzer *analyzer) requestClass(request *submitter.RequestResult) string {
	runs := analyzer.requests[request.Key]
	completed := slices.ContainsFunc(runs, func(record runner.Record) bool {
		return record.Completed
	})
	switch {
	case request.Fate == classDone && !completed:
		return classLost
	case request.Fate == classNotRun && len(runs) > 0:
		return classLost
	case request.Fate == classDone, request.Fate == classNotRun, request.Fate == classFailed, request.Fate == classUnknown:
		return request.Fate
	default:
		return classLost
	}
}

// shortestServiceTime returns the shortest service time of the scenario's lines of requests. Requests that
// take at most twice as long count as short.
func shortestServiceTime(scenario *planner.Scenario) time.Duration {
	var shortest time.Duration
	for _, scenarioLine := range scenario.Requests {
		if shortest == 0 || scenarioLine.ServiceTime.Duration < shortest {
			shortest = scenarioLine.ServiceTime.Duration
		}
	}
	return shortest
}

// analyzeRuns counts the tasks that ran twice and the jobs that no caller was told of.
func (analyzer *analyzer) analyzeRuns() {
	stray := make(map[descriptor.JobID]bool)
	for id, runs := range analyzer.runs {
		idempotent, known := analyzer.knownJobs[id.job]
		if !known {
			stray[id.job] = true
		}
		if analyzer.hasOverlap(runs) || known && !idempotent && len(runs) > 1 {
			analyzer.report.RunTwice++
		}
	}
	analyzer.report.StrayJobs = len(stray)
}

// hasOverlap reports whether two of the runs were in progress at the same time.
func (analyzer *analyzer) hasOverlap(runs []worker.Record) bool {
	slices.SortFunc(runs, func(left, right worker.Record) int {
		return left.Started.Compare(right.Started)
	})
	var latestEnd time.Time
	for index, run := range runs {
		if index > 0 && run.Started.Before(latestEnd) {
			return true
		}
		if end := analyzer.runEnd(&run); end.After(latestEnd) {
			latestEnd = end
		}
	}
	return false
}

func (analyzer *analyzer) runEnd(run *worker.Record) time.Time {
	if run.Ended.IsZero() {
		return analyzer.history.CollectedAt
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
func (analyzer *analyzer) finish() Report {
	for index := range analyzer.report.Lines {
		reportLine := &analyzer.report.Lines[index]
		waits := analyzer.waits[index]
		reportLine.MedianWait = percentile(waits, 50)
		reportLine.P99Wait = percentile(waits, 99)
		reportLine.LongestWait = percentile(waits, 100)
		reportLine.InTime = 1 - float64(reportLine.Missed)/float64(cmp.Or(reportLine.Deadlines, 1))
	}
	return analyzer.report
}
