package coordinator_test

import (
	"bytes"
	"context"
	"regexp"
	"runtime"
	"testing"

	"pomelomoor/internal/local/coordinator"
	"pomelomoor/internal/local/launcher"
	"pomelomoor/internal/local/planner"
	"pomelomoor/internal/local/reporter"
	"pomelomoor/internal/work/descriptor"
)

const scenarioDocument = `{
	"Name": "small",
	"Seed": 3,
	"Duration": "3s",
	"Settle": "20s",
	"Sites": [{"Region": "north", "Site": "north-a"}, {"Region": "south", "Site": "south-a"}],
	"Latency": {"Site": "1ms", "Region": "10ms", "Client": "1ms"},
	"Entries": 2,
	"Workers": {"Count": 4, "Capacity": {"MilliCPU": 4000, "MemoryBytes": 1000}, "Faulty": 1},
	"Runners": {"Service": "lookup", "Count": 4},
	"Config": {"Teams": [{"Name": "a", "Quota": {"MilliCPU": 1000}}]},
	"Jobs": [
		{"Count": 2, "Job": {"Name": "service", "Caller": "x", "Team": "a", "Kind": "Service", "Task": {"MilliCPU": 100}, "Idempotent": true},
			"Real": {"RunTime": "1h"}},
		{"Count": 20, "Over": "2s", "Callers": 3, "Twice": true, "DeadlineAfter": "20s",
			"Job": {"Name": "batch", "Caller": "x", "Team": "a", "Kind": "Batch", "Tasks": 2, "Task": {"MilliCPU": 100}, "Idempotent": true},
			"Real": {"RunTime": "100ms"}},
		{"Count": 4, "Over": "1s", "CancelAfter": "300ms", "CancelCount": 4,
			"Job": {"Name": "long", "Caller": "x", "Team": "a", "Kind": "Batch", "Task": {"MilliCPU": 100}, "Idempotent": true},
			"Real": {"RunTime": "1m"}},
		{"Count": 1, "Impossible": true,
			"Job": {"Name": "large", "Caller": "x", "Team": "a", "Kind": "Batch", "Task": {"MilliCPU": 5000}}}
	],
	"Requests": [
		{"Name": "short", "For": "2s", "Rate": 50, "Caller": "y", "Callers": 10, "ServiceTime": "10ms", "AnswerBytes": 100}
	]
}`

func runSmall(t *testing.T, cell *cell) reporter.Report {
	t.Helper()
	cell.keys = make(map[string]descriptor.JobID)
	cell.jobs = make(map[descriptor.JobID]*job)
	scenario, err := planner.Parse([]byte(scenarioDocument))
	if err != nil {
		t.Fatal(err)
	}
	var progress bytes.Buffer
	report, err := coordinator.Run(context.Background(), coordinator.Options{
		Scenario: scenario,
		Build:    cell.build,
		Progress: &progress,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%s", progress.String())
	awaitGoroutines()
	return report
}

// awaitGoroutines waits until no goroutine of the run is left. A leaked one makes the test time out.
func awaitGoroutines() {
	running := regexp.MustCompile(`pomelomoor/internal/(standin|local/(launcher|submitter|reporter))`)
	for {
		stacks := make([]byte, 1<<20)
		if !running.Match(stacks[:runtime.Stack(stacks, true)]) {
			return
		}
		runtime.Gosched()
	}
}

// TestRun guards against a run that loses or miscounts outcomes, or that leaks goroutines.
func TestRun(t *testing.T) {
	report := runSmall(t, &cell{})
	if !report.OK() {
		t.Errorf("counts %+v", report.Counts)
	}
	if got := report.Counts; got.Done != got.Accepted-6 || got.Cancelled != 6 || got.Refused != 1 {
		t.Errorf("counts %+v", got)
	}
	batch, short := report.Lines[1], report.Lines[4]
	if batch.Fates["Done"] != 20 || batch.Missed != 0 || batch.Deadlines != 20 {
		t.Errorf("batch %+v", batch)
	}
	if short.Count == 0 || short.Fates["Done"] != short.Count || report.Lines[3].Codes[descriptor.CodeImpossible] != 1 {
		t.Errorf("short %+v, large %+v", short, report.Lines[3])
	}
	// The latency is at least the client's round trip of 2 ms plus the service time of 10 ms.
	if short.MedianWait.Milliseconds() < 12 || report.Packing == 0 || report.StoreCalls["Announce"] == 0 {
		t.Errorf("latency %s, measures %+v", short.MedianWait, report.Measures)
	}
	if report.RegionBytes[launcher.RoleWorker] == 0 || report.EntryBytesPerSecond[launcher.RoleRunner] == 0 {
		t.Errorf("bytes %+v", report.Measures)
	}
}

// TestViolations guards against a report that relies on the scheduler's own claims. The fake instances
// report success although they ignore job keys, run tasks twice and swap responses.
func TestViolations(t *testing.T) {
	report := runSmall(t, &cell{
		misbehaves: true,
	})
	if report.OK() || report.KeyDiffers == 0 || report.WrongAnswer == 0 {
		t.Errorf("counts %+v", report.Counts)
	}
}
