// Package reporter checks a local run against the records of workers, runners and callers. It uses no
// statement of the scheduler about itself, apart from the fates that callers were told.
package reporter

import (
	"time"

	"pomelomoor/internal/local/launcher"
	"pomelomoor/internal/local/planner"
	"pomelomoor/internal/local/submitter"
	"pomelomoor/internal/standin/runner"
	"pomelomoor/internal/standin/worker"
	"pomelomoor/internal/work/descriptor"
)

// Rate limits of the store, in calls per second.
const (
	storeWritesPerSecond = 300
	storeReadsPerSecond  = 2000
)

// History holds the records of a run.
type History struct {
	Scenario *planner.Scenario
	// Callers holds the records of the callers.
	Callers submitter.Result
	// Runs holds the records of the workers until CollectedAt.
	Runs       []worker.Record
	Capacities map[descriptor.WorkerID]descriptor.Resources
	// Requests holds the records of the runners.
	Requests    []runner.Record
	CollectedAt time.Time
	// Traffic counts the calls and bytes of the run, over the time Span.
	Traffic launcher.Traffic
	Span    time.Duration
	// Failures holds the reason of each entry instance that failed, by its ID.
	Failures map[string]string
}

// Counts holds the outcomes and violations of a run. Accepted is the sum of the next six fields.
type Counts struct {
	// Accepted counts jobs and requests, apart from the jobs in Refused.
	Accepted int
	// Done, NotRun, Failed and Unknown count the fates that callers were told.
	Done   int
	NotRun int
	Failed int
	// Cancelled counts jobs that a caller cancelled before they were done, and cancelled services.
	Cancelled int
	// Unknown includes submissions without a certain outcome, which may have been accepted.
	Unknown int
	// Lost counts accepted items without a final fate, or with one that the records contradict.
	Lost int
	// Refused counts jobs that were not accepted.
	Refused int
	// RunTwice counts tasks with overlapping runs, and tasks and requests that are not idempotent but
	// were started more than once.
	RunTwice int
	// Overcommitted counts the starts after which the declared sizes exceed a worker's capacity.
	Overcommitted int
	// WrongAnswer counts responses that are incomplete or belong to another request.
	WrongAnswer int
	// KeyDiffers counts second submissions under the same key that got another job ID.
	KeyDiffers int
	// StrayJobs counts jobs that workers ran although no caller was told their ID.
	StrayJobs int
	// EntriesFailed counts entry instances that stopped before they were asked to or failed to drain.
	EntriesFailed int
}

// Report is the result of a run.
type Report struct {
	Name string
	Counts
	Measures
	Lines []Line
	// Teams are those of the configuration.
	Teams    []Team            `json:",omitempty"`
	Failures map[string]string `json:",omitempty"`
}

// Line is the result of one line of a scenario, which is an element of Scenario.Jobs or Scenario.Requests. The waits
// are the times from the acknowledgement of a job to its first start, or the whole latencies of requests.
type Line struct {
	Name  string
	Count int
	// Fates counts the jobs or requests by class, such as Done, Cancelled or Lost.
	Fates       map[string]int
	MedianWait  descriptor.Duration
	P99Wait     descriptor.Duration
	LongestWait descriptor.Duration
	// Deadlines counts jobs with a deadline that were not cancelled, and all requests. Missed counts those
	// that were not done in time.
	Deadlines int
	Missed    int
	// InTime is the fraction of Deadlines that was done in time.
	InTime float64
	// Codes counts the error codes that callers received.
	Codes map[descriptor.Code]int `json:",omitempty"`
}

// New returns the report on a run.
func New(history *History) Report {
	analyzer := newAnalyzer(history)
	for index := range history.Callers.Jobs {
		analyzer.analyzeJob(&history.Callers.Jobs[index])
	}
	for index := range history.Callers.Requests {
		analyzer.analyzeRequest(&history.Callers.Requests[index])
	}
	analyzer.analyzeTeams()
	analyzer.analyzeRuns()
	analyzer.analyzeWorkers()
	analyzer.report.Measures = computeMeasures(history, analyzer)
	analyzer.report.EntriesFailed = len(history.Failures)
	return analyzer.finish()
}

// OK reports whether every accepted item has a known fate and no invariant was violated.
func (report *Report) OK() bool {
	violations := report.Unknown + report.Lost + report.RunTwice + report.Overcommitted +
		report.WrongAnswer + report.KeyDiffers + report.StrayJobs + report.EntriesFailed
	return violations == 0
}
