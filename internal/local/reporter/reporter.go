// Package reporter judges a local run by what workers, runners and callers saw. It never uses
// the scheduler's own statements about itself, apart from the fates that callers were told.
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

// The store's rates, calls per second.
const (
	storeWrites = 300
	storeReads  = 2000
)

// History is what was seen during a run.
type History struct {
	Scenario *planner.Scenario
	// Callers is what the callers saw.
	Callers submitter.Result
	// Runs is what the workers saw, until Taken.
	Runs       []worker.Record
	Capacities map[descriptor.WorkerID]descriptor.Resources
	// Requests is what the runners saw.
	Requests []runner.Record
	Taken    time.Time
	// Traffic is what passed during the run, and Span how long that took.
	Traffic launcher.Traffic
	Span    time.Duration
	// Failures tells which entry instances failed.
	Failures map[string]string
}

// Counts are the counts of a run. Accepted is the sum of the six after it.
type Counts struct {
	// Accepted counts acknowledged jobs, and requests that were not refused for certain.
	Accepted int
	// Done, NotRun, Failed and Unknown are fates as callers were told them.
	Done   int
	NotRun int
	Failed int
	// Cancelled counts jobs that a caller cancelled before they were done.
	Cancelled int
	// Unknown includes submissions that may have been accepted.
	Unknown int
	// Lost counts accepted items without a fate, or with one that the histories contradict.
	Lost int
	// Refused counts jobs that were not accepted.
	Refused int
	// RunTwice counts tasks with overlapping runs, and tasks and requests that may run once only
	// and were started more often.
	RunTwice int
	// Overcommitted counts the moments when declared sizes began to exceed a worker's capacity.
	Overcommitted int
	// WrongAnswer counts answers that are not the complete ones to the own request.
	WrongAnswer int
	// KeyDiffers counts second submissions that got another ID.
	KeyDiffers int
	// StrayJobs counts jobs that workers ran although no caller was told of them.
	StrayJobs int
	// EntriesFailed counts entry instances that ended by themselves or did not stop as planned.
	EntriesFailed int
}

// Report is the result of a run.
type Report struct {
	Name string
	Counts
	Measures
	Lines    []Line
	Failures map[string]string `json:",omitempty"`
}

// Line is the result of one line of the scenario. Waits are waiting times of jobs, or latencies
// of requests.
type Line struct {
	Name        string
	Count       int
	Fates       map[string]int
	MedianWait  descriptor.Duration
	P99Wait     descriptor.Duration
	LongestWait descriptor.Duration
	// Deadlines counts jobs and requests with a deadline, and Missed those that were not done in time.
	Deadlines int
	Missed    int
	// InTime is the share that was done in time.
	InTime float64
	// Codes counts the problems that callers were told.
	Codes map[descriptor.Code]int `json:",omitempty"`
}

// New returns the report on a run.
func New(history *History) Report {
	examiner := newExaminer(history)
	for index := range history.Callers.Jobs {
		examiner.examineJob(&history.Callers.Jobs[index])
	}
	for index := range history.Callers.Calls {
		examiner.examineCall(&history.Callers.Calls[index])
	}
	examiner.examineRuns()
	examiner.examineWorkers()
	examiner.report.Measures = measure(history, examiner)
	examiner.report.EntriesFailed = len(history.Failures)
	return examiner.finish()
}

// OK reports whether every accepted item has a known fate and no invariant was violated.
func (report *Report) OK() bool {
	violations := report.Unknown + report.Lost + report.RunTwice + report.Overcommitted +
		report.WrongAnswer + report.KeyDiffers + report.StrayJobs + report.EntriesFailed
	return violations == 0
}
