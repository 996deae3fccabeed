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

// wanted is the section of a script that holds the expected actions.
const wanted = "want"

// script runs the events of a data file against one owner and notes its actions. Between the events,
// time passes in steps in which the owner writes and exchanges messages. The events are:
//
//	submit NAME JOB [COUNT]   accepts one job, or COUNT jobs with numbers after their names
//	cancel PREFIX             cancels the jobs whose names begin so
//	config FILE               puts a configuration in force
//	finish NAME OUTCOME       ends the runs of a job
//	use NAME BYTES            changes the memory that the runs of a job use, whatever they are told
//	always WORKER OUTCOME     ends all runs on a worker in each step; "none" ends that
//	lose WORKER               cuts a worker off and takes it off the list
//	step DURATION             changes the length of a step
//	end                       does nothing
type script struct {
	*world
	t        *testing.T
	files    map[string][]byte
	names    map[descriptor.JobID]string
	order    []descriptor.JobID
	always   map[descriptor.WorkerID]executor.Outcome
	length   time.Duration
	revision uint64
	got      strings.Builder
}

func newScript(t *testing.T, archive *txtar.Archive) *script {
	script := &script{
		t:      t,
		files:  map[string][]byte{},
		names:  map[descriptor.JobID]string{},
		always: map[descriptor.WorkerID]executor.Outcome{},
		length: time.Second,
	}
	for _, file := range archive.Files {
		script.files[file.Name] = file.Data
	}
	script.world = newWorld(t, 4)
	script.honest, script.uses = true, map[descriptor.JobID]int64{}
	script.observe = script.note
	return script
}

func (script *script) run(events string) {
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
		for script.now.Sub(epochBegin) < at {
			script.pass()
		}
		script.do(fields[1], append(fields[2:], "", "", ""))
	}
}

// pass lets one step pass.
func (script *script) pass() {
	script.advance(script.length)
	owner := script.owner()
	for len(owner.queue)+len(owner.network) > 0 {
		script.write(len(owner.queue))
		script.deliver(owner, 0, 0)
	}
	for _, machine := range script.workers {
		if outcome := script.always[machine.id]; outcome != "" {
			for _, id := range sortedKeys(machine.running) {
				script.finish(machine, id, outcome)
			}
		}
	}
	script.check()
}

func (script *script) do(event string, args []string) {
	switch event {
	case "submit":
		script.submitAll(args[0], args[1], args[2])
	case "cancel":
		for _, id := range script.order {
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
		for _, machine := range script.workers {
			for _, id := range sortedKeys(machine.running) {
				if script.names[id.Job] == args[0] {
					script.finish(machine, id, executor.Outcome(args[1]))
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
				script.uses[id] = memory
			}
		}
	case "always":
		script.always[descriptor.WorkerID(args[0])] = executor.Outcome(strings.TrimPrefix(args[1], "none"))
	case "lose":
		machine := script.machine(descriptor.WorkerID(args[0]))
		machine.cut, machine.unlisted = true, true
		script.step(script.owner(), script.list())
	case "step":
		length, err := time.ParseDuration(args[0])
		if err != nil {
			script.t.Fatal(err)
		}
		script.length = length
	case "end":
	default:
		script.t.Fatalf("event %q is not known", event)
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
		script.order = append(script.order, id)
	}
}

// note writes an action down, as far as it matters to jobs.
func (script *script) note(action signaler.Action) {
	switch action := action.(type) {
	case signaler.Append:
		for _, record := range action.Records {
			script.noteRecord(record)
		}
	case signaler.Sync:
		for _, start := range action.Request.Start {
			script.say("%s: start %s", action.Worker, script.runName(start.Run))
		}
		for _, run := range action.Request.Throttle {
			script.say("%s: throttle %s", action.Worker, script.runName(run))
		}
		for _, run := range action.Request.Checkpoint {
			script.say("%s: checkpoint %s", action.Worker, script.runName(run))
		}
		for _, run := range action.Request.Stop {
			script.say("%s: stop %s", action.Worker, script.runName(run))
		}
	case signaler.AnswerAccept:
		if action.Problem != nil {
			script.say("refuse: %v", action.Problem)
		}
	}
}

func (script *script) noteRecord(record *recordpb.Record) {
	switch change := record.Change.(type) {
	case *recordpb.Record_JobCancelled:
		script.say("record: cancelled %s", script.name(change.JobCancelled.Job))
	case *recordpb.Record_RunEnded:
		ended := change.RunEnded
		script.say("record: %s/%d#%d %s", script.name(ended.Job), ended.Task, ended.Attempt, ended.Outcome)
	case *recordpb.Record_JobEnded:
		script.say("record: %s is %s %s", script.name(change.JobEnded.Job), change.JobEnded.Fate, change.JobEnded.Reason)
	case *recordpb.Record_JobForgotten:
		script.say("record: forgotten %s", script.name(change.JobForgotten.Job))
		// The expected actions tell whether it was time.
		script.accepted = slices.DeleteFunc(script.accepted, func(id descriptor.JobID) bool {
			return string(id) == change.JobForgotten.Job
		})
	}
}

func (script *script) say(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	script.got.WriteString(strings.TrimSpace(fmt.Sprintf("%s %s", script.now.Sub(epochBegin), line)) + "\n")
}

func (script *script) name(id string) string {
	return script.names[descriptor.JobID(id)]
}

func (script *script) runName(id descriptor.RunID) string {
	return fmt.Sprintf("%s/%d#%d", script.name(string(id.Job)), id.Task, id.Attempt)
}

// Guards against changes of what an owner does in the situations of the data files, each of which says
// what would go wrong.
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txtar"), func(t *testing.T) {
			archive, err := txtar.ParseFile(path)
			if err != nil {
				t.Fatal(err)
			}
			script := newScript(t, archive)
			script.run(string(archive.Comment))
			got := script.got.String()
			if *update {
				archive.Files = slices.DeleteFunc(archive.Files, func(file txtar.File) bool {
					return file.Name == wanted
				})
				archive.Files = append(archive.Files, txtar.File{
					Name: wanted,
					Data: []byte(got),
				})
				if err := os.WriteFile(path, txtar.Format(archive), 0o600); err != nil {
					t.Fatal(err)
				}
				return
			}
			if want := string(script.file(wanted)); got != want {
				t.Errorf("the actions are\n%s\nwant\n%s", got, want)
			}
		})
	}
}
