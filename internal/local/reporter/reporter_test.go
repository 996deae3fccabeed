package reporter_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/gateway/executor"
	"pomelomoor/internal/local/launcher"
	"pomelomoor/internal/local/planner"
	"pomelomoor/internal/local/reporter"
	"pomelomoor/internal/local/submitter"
	"pomelomoor/internal/standin/runner"
	"pomelomoor/internal/standin/worker"
	"pomelomoor/internal/work/descriptor"
)

var began = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return began.Add(time.Duration(seconds * float64(time.Second)))
}

func run(job descriptor.JobID, task, attempt int, id descriptor.WorkerID, from, to float64) worker.Record {
	return worker.Record{
		Run: descriptor.RunID{
			Job:     job,
			Task:    task,
			Attempt: attempt,
		},
		Worker: id,
		Declared: descriptor.Resources{
			MilliCPU: 1000,
		},
		Started: at(from),
		Ended:   at(to),
		Outcome: executor.OutcomeDone,
	}
}

// validHistory returns a history without a violation. Job a and request x are idempotent; job b, service s
// and request y are not. Worker w is full from 2 s to 3 s.
func validHistory() *reporter.History {
	scenario := &planner.Scenario{
		Jobs:     make([]planner.JobLine, 1),
		Requests: make([]planner.RequestLine, 2),
	}
	scenario.Requests[0].Idempotent = true
	for i := range scenario.Requests {
		scenario.Requests[i].ServiceTime.Duration = 10 * time.Millisecond
		scenario.Requests[i].Timeout.Duration = time.Second
		scenario.Requests[i].CrestFactor = 2
		scenario.Requests[i].CrestTo.Duration = time.Second
	}
	job := func(id descriptor.JobID, kind descriptor.Kind, tasks int, idempotent bool) submitter.JobResult {
		return submitter.JobResult{
			Kind:         kind,
			Tasks:        tasks,
			Idempotent:   idempotent,
			Deadline:     at(5),
			Acknowledged: at(1),
			Accepted:     true,
			ID:           id,
			SecondID:     id,
			Fate: descriptor.FateRecord{
				Fate: "Done",
			},
		}
	}
	service := job("s", descriptor.KindService, 1, false)
	service.Cancelled = true
	stopped := run("s", 0, 1, "v", 2, 8)
	stopped.Outcome = executor.OutcomeStopped
	return &reporter.History{
		Scenario: scenario,
		Callers: submitter.Result{
			Jobs: []submitter.JobResult{
				job("a", descriptor.KindBatch, 2, true),
				job("b", descriptor.KindBatch, 1, false),
				service,
			},
			Requests: []submitter.RequestResult{
				{Line: 0, Key: "x", Fate: "Done", Latency: 30 * time.Millisecond, ServiceTime: 10 * time.Millisecond},
				{Line: 1, Key: "y", Fate: "Done", Latency: 20 * time.Millisecond, ServiceTime: 10 * time.Millisecond},
			},
		},
		Runs: []worker.Record{
			run("a", 0, 1, "w", 2, 3),
			run("a", 1, 1, "w", 2, 3),
			run("b", 0, 1, "w", 3, 4),
			stopped,
		},
		Capacities: map[descriptor.WorkerID]descriptor.Resources{
			"v": {MilliCPU: 4000},
			"w": {MilliCPU: 2000},
		},
		Requests: []runner.Record{
			{Key: "x", Idempotent: true, Started: at(1), Ended: at(2), Completed: true},
			{Key: "y", Started: at(1), Ended: at(2), Completed: true},
		},
		CollectedAt: at(10),
		Span:        10 * time.Second,
	}
}

// TestCounts guards against violations that are missed, counted in the wrong field or reported falsely.
// Each case makes one change to a valid history.
func TestCounts(t *testing.T) {
	tests := []struct {
		name   string
		modify func(history *reporter.History, want *reporter.Counts)
		ok     bool
	}{
		{"valid", func(*reporter.History, *reporter.Counts) {}, true},
		{"job without a fate", func(history *reporter.History, want *reporter.Counts) {
			history.Callers.Jobs[0].Fate.Fate = "Running"
			want.Done, want.Lost = 3, 1
		}, false},
		{"done without the run of a task", func(history *reporter.History, want *reporter.Counts) {
			history.Runs = history.Runs[1:]
			want.Done, want.Lost = 3, 1
		}, false},
		{"done although a run failed", func(history *reporter.History, want *reporter.Counts) {
			history.Runs[2].Outcome = executor.OutcomeFailed
			want.Done, want.Lost = 3, 1
		}, false},
		{"done although a run is in progress", func(history *reporter.History, want *reporter.Counts) {
			history.Runs[2].Ended, history.Runs[2].Outcome = time.Time{}, ""
			want.Done, want.Lost = 3, 1
		}, false},
		{"not run although it started", func(history *reporter.History, want *reporter.Counts) {
			history.Callers.Jobs[1].Fate.Fate = "NotRun"
			history.Callers.Jobs[1].Cancelled = true
			want.Done, want.Lost = 3, 1
		}, false},
		{"not run", func(history *reporter.History, want *reporter.Counts) {
			history.Callers.Jobs[0].Fate.Fate = "NotRun"
			history.Runs = history.Runs[2:]
			want.Done, want.NotRun = 3, 1
		}, true},
		{"cancelled before done", func(history *reporter.History, want *reporter.Counts) {
			history.Callers.Jobs[1].Fate.Fate = "Failed"
			history.Callers.Jobs[1].Cancelled = true
			want.Done, want.Cancelled = 3, 2
		}, true},
		{"failed", func(history *reporter.History, want *reporter.Counts) {
			history.Callers.Jobs[1].Fate.Fate = "Failed"
			want.Done, want.Failed = 3, 1
		}, true},
		{"unknown", func(history *reporter.History, want *reporter.Counts) {
			history.Callers.Jobs[1].Fate.Fate = "Unknown"
			want.Done, want.Unknown = 3, 1
		}, false},
		{"service done without a start", func(history *reporter.History, want *reporter.Counts) {
			history.Runs = history.Runs[:3]
			want.Cancelled, want.Lost = 0, 1
		}, false},
		{"refused", func(history *reporter.History, want *reporter.Counts) {
			history.Callers.Jobs = append(history.Callers.Jobs, submitter.JobResult{Refusal: descriptor.CodeImpossible})
			want.Refused = 1
		}, true},
		{"submission with an uncertain outcome", func(history *reporter.History, want *reporter.Counts) {
			history.Callers.Jobs = append(history.Callers.Jobs, submitter.JobResult{Refusal: descriptor.CodeUncertain})
			want.Accepted, want.Unknown = 6, 1
		}, false},
		{"ran although refused", func(history *reporter.History, want *reporter.Counts) {
			history.Runs = append(history.Runs, run("z", 0, 1, "v", 1, 2), run("z", 1, 1, "v", 1, 2))
			want.StrayJobs = 1
		}, false},
		{"overlapping runs on two workers", func(history *reporter.History, want *reporter.Counts) {
			history.Runs = append(history.Runs, run("a", 0, 2, "v", 2.5, 3.5), run("a", 0, 3, "v", 3, 4))
			want.RunTwice = 1
		}, false},
		{"overlap with an unfinished run", func(history *reporter.History, want *reporter.Counts) {
			history.Runs = append(history.Runs, run("a", 0, 2, "v", 4, 9), run("a", 0, 3, "v", 6, 7))
			history.Runs[4].Ended = time.Time{}
			want.RunTwice = 1
		}, false},
		{"idempotent task run again after its end", func(history *reporter.History, _ *reporter.Counts) {
			history.Runs = append(history.Runs, run("a", 0, 2, "v", 3, 4))
		}, true},
		{"task run again although not idempotent", func(history *reporter.History, want *reporter.Counts) {
			history.Runs = append(history.Runs, run("b", 0, 2, "v", 5, 6))
			want.RunTwice = 1
		}, false},
		{"over capacity", func(history *reporter.History, want *reporter.Counts) {
			history.Runs[2].Started = at(2.9)
			want.Overcommitted = 1
		}, false},
		{"second submission is another job", func(history *reporter.History, want *reporter.Counts) {
			history.Callers.Jobs[0].SecondID = "c"
			want.KeyDiffers = 1
		}, false},
		{"response to another request", func(history *reporter.History, want *reporter.Counts) {
			history.Callers.Requests[0].WrongAnswer = true
			want.WrongAnswer = 1
		}, false},
		{"request ran twice", func(history *reporter.History, want *reporter.Counts) {
			history.Requests = append(history.Requests, history.Requests...)
			want.RunTwice = 1
		}, false},
		{"request done without a run", func(history *reporter.History, want *reporter.Counts) {
			history.Requests[0].Completed = false
			want.Done, want.Lost = 3, 1
		}, false},
		{"request not run although it started", func(history *reporter.History, want *reporter.Counts) {
			history.Callers.Requests[0].Fate = "NotRun"
			want.Done, want.Lost = 3, 1
		}, false},
		{"instance failed", func(history *reporter.History, want *reporter.Counts) {
			history.Failures = map[string]string{"e": "stopped serving before it was asked to"}
			want.EntriesFailed = 1
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			history := validHistory()
			want := reporter.Counts{
				Accepted:  5,
				Done:      4,
				Cancelled: 1,
			}
			test.modify(history, &want)
			report := reporter.New(history)
			if report.Counts != want {
				t.Errorf("got  %+v\nwant %+v", report.Counts, want)
			}
			if report.OK() != test.ok {
				t.Errorf("OK is %v", report.OK())
			}
		})
	}
}

// TestMeasures guards against measures that disagree with the history, and against a JSON report that has
// more than one line or lacks fields.
func TestMeasures(t *testing.T) {
	history := validHistory()
	history.Callers.Jobs[1].Deadline = at(3.5)
	history.Callers.Requests[1].Latency = 2 * time.Second
	history.Callers.Requests[1].At = 500 * time.Millisecond
	history.Traffic = launcher.Traffic{
		StoreCalls:     map[string]uint64{"Put": 200, "Renew": 100, "Get": 1000, "Watch": 1000, "List": 50},
		BetweenRegions: map[launcher.Role]uint64{launcher.RolePeer: 3000, launcher.RoleWorker: 1000},
		Entries: map[string]map[launcher.Role]uint64{
			"e": {launcher.RolePeer: 3000},
			"f": {launcher.RolePeer: 1000, launcher.RoleWorker: 500},
		},
	}
	report := reporter.New(history)
	want := reporter.Measures{
		Span: descriptor.Duration{
			Duration: 10 * time.Second,
		},
		// Worker w declares 2 of 2 cores for 1 s and 1 for 1 s; worker v declares 1 of 4 cores for 6 s.
		Packing:                      9.0 / 28,
		StoreCalls:                   map[string]float64{"Put": 20, "Renew": 10, "Get": 100, "Watch": 100, "List": 5},
		StoreWriteShare:              0.1,
		StoreReadShare:               0.1,
		BytesBetweenRegions:          4000,
		BytesBetweenRegionsPerSecond: 400,
		RegionBytes:                  history.Traffic.BetweenRegions,
		EntryBytesPerSecond:          map[launcher.Role]float64{launcher.RolePeer: 200, launcher.RoleWorker: 25},
		HeadOfLine:                   report.HeadOfLine,
		InTime:                       0.5,
		CrestInTime:                  0.5,
	}
	if !reflect.DeepEqual(report.Measures, want) {
		t.Errorf("got  %+v\nwant %+v", report.Measures, want)
	}
	if head := report.HeadOfLine.Round(10 * time.Millisecond); head != 1990*time.Millisecond {
		t.Errorf("head of line %s", head)
	}
	jobs := report.Lines[0]
	if jobs.Deadlines != 2 || jobs.Missed != 1 || jobs.InTime != 0.5 || jobs.P99Wait.Round(10*time.Millisecond) != 2*time.Second {
		t.Errorf("line %+v", jobs)
	}
	var text bytes.Buffer
	if err := report.WriteJSON(&text); err != nil {
		t.Fatal(err)
	}
	var fields map[string]any
	if err := json.Unmarshal(text.Bytes(), &fields); err != nil || strings.Count(text.String(), "\n") != 1 {
		t.Errorf("%v in %s", err, text.String())
	}
	for _, name := range []string{"Accepted", "Lost", "Packing", "StoreWriteShare", "CrestInTime"} {
		if fields[name] == nil {
			t.Errorf("no %s in %s", name, text.String())
		}
	}
}

// TestTeams guards against a team's row that counts the jobs or the runs of another one, or adds up runs that were not at the
// same time.
func TestTeams(t *testing.T) {
	history := validHistory()
	history.Scenario.Jobs = make([]planner.JobLine, 2)
	history.Scenario.Jobs[0].Job.Team = "north"
	history.Scenario.Jobs[1].Job.Team = "south"
	history.Callers.Jobs[1].Line = 1
	history.Scenario.Config.Teams = []parser.Team{
		{
			Name: "north",
			Quota: descriptor.Resources{
				MilliCPU: 3000,
			},
		},
		{
			Name: "south",
		},
		{
			Name: "idle",
		},
	}
	report := reporter.New(history)
	var got []string
	for index := range report.Teams {
		team := &report.Teams[index]
		got = append(got, fmt.Sprintf("%s %d %v %d of %d", team.Name, team.Jobs, team.Fates, team.MostUsed, team.Quota.MilliCPU))
	}
	// The two tasks of job a and the service run at the same time, job b after them.
	want := []string{
		"north 2 map[Cancelled:1 Done:1] 3000 of 3000",
		"south 1 map[Done:1] 1000 of 0",
		"idle 0 map[] 0 of 0",
	}
	if !slices.Equal(got, want) {
		t.Errorf("teams %q, want %q", got, want)
	}
	var table bytes.Buffer
	if err := report.WriteTable(&table); err != nil || !strings.Contains(table.String(), "MOST CORES") {
		t.Errorf("table %s, error %v", table.String(), err)
	}
}
