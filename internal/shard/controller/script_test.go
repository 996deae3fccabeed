package controller

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/gateway/executor"
	"pomelomoor/internal/shard/recordpb"
	"pomelomoor/internal/shard/signaler"
	"pomelomoor/internal/work/descriptor"
)

var update = flag.Bool("update", false, "write the actions of the scripts instead of comparing them")

// wantFile is the name of the file in a script that holds the expected actions.
const wantFile = "want"

// script runs the events of a data file against one owner and logs the owner's actions. Between events the
// time advances in steps, and in each step the owner writes and exchanges messages. The events are:
//
//	submit NAME JOB [COUNT]   submits one job, or COUNT jobs with numbers appended to NAME
//	cancel PREFIX             cancels the jobs whose names begin with PREFIX
//	config FILE               applies a configuration
//	finish NAME OUTCOME       ends the runs of a job
//	use NAME BYTES            sets the memory use of a job's runs, which throttling does not change
//	always WORKER OUTCOME     ends all runs on a worker in every step from now on; "none" turns this off
//	lose WORKER               disconnects a worker and removes it from the list of instances
//	step DURATION             sets the length of a step
//	end                       does nothing, so that the time advances to it
type script struct {
	*simulation
	t          *testing.T
	files      map[string][]byte
	names      map[descriptor.JobID]string
	jobIDs     []descriptor.JobID
	always     map[descriptor.WorkerID]executor.Outcome
	stepLength time.Duration
	revision   uint64
	got        strings.Builder
}

func newScript(t *testing.T, archive *txtar.Archive) *script {
	script := &script{
		t:          t,
		files:      map[string][]byte{},
		names:      map[descriptor.JobID]string{},
		always:     map[descriptor.WorkerID]executor.Outcome{},
		stepLength: time.Second,
	}
	for _, file := range archive.Files {
		script.files[file.Name] = file.Data
	}
	script.simulation = newSimulation(t, 4)
	script.usesDeclared, script.memoryUse = true, map[descriptor.JobID]int64{}
	script.onAction = script.logAction
	return script
}

func (script *script) runEvents(events string) {
	lines := bufio.NewScanner(strings.NewReader(events))
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		at, err := time.ParseDuration(fields[0])
		if err != nil {
			script.t.Fatal(err)
		}
		for script.now.Sub(simulationStart) < at {
			script.runStep()
		}
		script.runEvent(fields[1], append(fields[2:], "", "", ""))
	}
}

// runStep advances the time by one step.
func (script *script) runStep() {
	script.advance(script.stepLength)
	owner := script.owner()
	for len(owner.pendingAppends)+len(owner.pendingSyncs) > 0 {
		script.write(len(owner.pendingAppends))
		script.deliver(owner, 0, 0)
	}
	for _, worker := range script.workers {
		if outcome := script.always[worker.id]; outcome != "" {
			for _, id := range sortedKeys(worker.running) {
				script.finishRun(worker, id, outcome)
			}
		}
	}
	script.checkFates()
}

func (script *script) runEvent(event string, args []string) {
	switch event {
	case "submit":
		script.submitAll(args[0], args[1], args[2])
	case "cancel":
		for _, id := range script.jobIDs {
			if strings.HasPrefix(script.names[id], args[0]) {
				script.request++
				script.step(script.owner(), signaler.Cancel{
					Request: script.request,
					ID:      id,
				})
			}
		}
	case "config":
		script.configure(args[0])
	case "finish":
		for _, worker := range script.workers {
			for _, id := range sortedKeys(worker.running) {
				if script.names[id.Job] == args[0] {
					script.finishRun(worker, id, executor.Outcome(args[1]))
				}
			}
		}
	case "use":
		memory, err := strconv.ParseInt(args[1], 10, 64)
		if err != nil {
			script.t.Fatal(err)
		}
		for id, name := range script.names {
			if name == args[0] {
				script.memoryUse[id] = memory
			}
		}
	case "always":
		script.always[descriptor.WorkerID(args[0])] = executor.Outcome(strings.TrimPrefix(args[1], "none"))
	case "lose":
		worker := script.workerByID(descriptor.WorkerID(args[0]))
		worker.disconnected, worker.unlisted = true, true
		script.step(script.owner(), script.listWorkers())
	case "step":
		length, err := time.ParseDuration(args[0])
		if err != nil {
			script.t.Fatal(err)
		}
		script.stepLength = length
	case "end":
	default:
		script.t.Fatalf("unknown event %q", event)
	}
}

func (script *script) configure(file string) {
	config, err := parser.Parse(script.file(file))
	if err != nil {
		script.t.Fatal(err)
	}
	script.revision++
	compiled, err := parser.Compile(script.revision, config)
	if err != nil {
		script.t.Fatal(err)
	}
	script.step(script.owner(), signaler.ConfigChanged{
		Config: compiled,
	})
}

func (script *script) file(name string) []byte {
	content, ok := script.files[name]
	if !ok {
		script.t.Fatalf("there is no file %q", name)
	}
	return content
}

func (script *script) submitAll(name, file, count string) {
	names := []string{name}
	if total, err := strconv.Atoi(count); err == nil {
		names = nil
		for i := range total {
			names = append(names, fmt.Sprint(name, i))
		}
	}
	for _, name := range names {
		var job descriptor.Job
		if err := json.Unmarshal(script.file(file), &job); err != nil {
			script.t.Fatal(err)
		}
		id := script.submit(job)
		script.names[id] = name
		script.jobIDs = append(script.jobIDs, id)
	}
}

// logAction logs an action if it concerns jobs or runs.
func (script *script) logAction(action signaler.Action) {
	switch action := action.(type) {
	case signaler.Append:
		for _, record := range action.Records {
			script.logRecord(record)
		}
	case signaler.Sync:
		for _, start := range action.Request.Start {
			script.logf("%s: start %s", action.Worker, script.runName(start.Run))
		}
		for _, run := range action.Request.Throttle {
			script.logf("%s: throttle %s", action.Worker, script.runName(run))
		}
		for _, run := range action.Request.Checkpoint {
			script.logf("%s: checkpoint %s", action.Worker, script.runName(run))
		}
		for _, run := range action.Request.Stop {
			script.logf("%s: stop %s", action.Worker, script.runName(run))
		}
	case signaler.AnswerAccept:
		if action.Problem != nil {
			script.logf("refuse: %v", action.Problem)
		}
	}
}

func (script *script) logRecord(record *recordpb.Record) {
	switch change := record.Change.(type) {
	case *recordpb.Record_JobCancelled:
		script.logf("record: cancelled %s", script.name(change.JobCancelled.Job))
	case *recordpb.Record_RunEnded:
		ended := change.RunEnded
		script.logf("record: %s/%d#%d %s", script.name(ended.Job), ended.Task, ended.Attempt, ended.Outcome)
	case *recordpb.Record_JobEnded:
		script.logf("record: %s is %s %s", script.name(change.JobEnded.Job), change.JobEnded.Fate, change.JobEnded.Reason)
	case *recordpb.Record_JobForgotten:
		script.logf("record: forgotten %s", script.name(change.JobForgotten.Job))
		// checkFates must not look for the job any more. Whether it was forgotten at the right time shows in
		// the expected actions.
		script.accepted = slices.DeleteFunc(script.accepted, func(id descriptor.JobID) bool {
			return string(id) == change.JobForgotten.Job
		})
	}
}

func (script *script) logf(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	script.got.WriteString(strings.TrimSpace(fmt.Sprintf("%s %s", script.now.Sub(simulationStart), line)) + "\n")
}

func (script *script) name(id string) string {
	return script.names[descriptor.JobID(id)]
}

func (script *script) runName(id descriptor.RunID) string {
	return fmt.Sprintf("%s/%d#%d", script.name(string(id.Job)), id.Task, id.Attempt)
}

// Guards against unintended changes in the actions of an owner. Each data file describes the failure that
// it guards against.
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no scripts found: %v", err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txtar"), func(t *testing.T) {
			archive, err := txtar.ParseFile(path)
			if err != nil {
				t.Fatal(err)
			}
			script := newScript(t, archive)
			script.runEvents(string(archive.Comment))
			got := script.got.String()
			if *update {
				archive.Files = slices.DeleteFunc(archive.Files, func(file txtar.File) bool {
					return file.Name == wantFile
				})
				archive.Files = append(archive.Files, txtar.File{
					Name: wantFile,
					Data: []byte(got),
				})
				if err := os.WriteFile(path, txtar.Format(archive), 0o600); err != nil {
					t.Fatal(err)
				}
				return
			}
			if want := string(script.file(wantFile)); got != want {
				t.Errorf("got actions\n%s\nwant\n%s", got, want)
			}
		})
	}
}
