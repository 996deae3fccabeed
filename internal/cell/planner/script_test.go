package planner

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/work/descriptor"
)

// TestScripts plays the files of testdata. Each names in its first lines the failure that it guards
// against. A line is a command with arguments; want lines check what the planner decided since the last
// check of the same kind.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			document, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			script := newScript(t)
			for number, line := range strings.Split(string(document), "\n") {
				line, _, _ = strings.Cut(line, "#")
				if words := strings.Fields(line); len(words) > 0 {
					script.line = fmt.Sprintf("%s:%d", file, number+1)
					script.run(words)
				}
			}
		})
	}
}

// scriptStart is the time at which all scripts start.
var scriptStart = time.Unix(1_000_000, 0)

type script struct {
	t       *testing.T
	line    string
	now     time.Time
	config  *describer.Config
	planner *Planner
	jobs    map[describer.JobID]*describer.Job
	records map[describer.JobID][]byte
	starts  map[string]Start
	stops   map[string]Stop
	// checked are the stops that a check has seen.
	checked map[string]bool
	advice  []AdviceRequest
	looks   []describer.WorkerID
	ends    map[string]int64
}

func newScript(t *testing.T) *script {
	script := &script{
		t:       t,
		now:     scriptStart,
		config:  &describer.Config{},
		jobs:    map[describer.JobID]*describer.Job{},
		records: map[describer.JobID][]byte{},
		ends:    map[string]int64{},
	}
	script.restart()
	return script
}

// restart begins a new term without jobs and workers.
func (script *script) restart() {
	script.planner = New(Options{
		LongestLease:    6 * time.Second,
		StatusRetention: 120 * time.Second,
		RemoteFactor:    3,
		Takeover:        script.now,
		InheritedHold:   8 * time.Second,
	}, script.config)
	script.starts = map[string]Start{}
	script.stops = map[string]Stop{}
	script.checked = map[string]bool{}
	script.advice = nil
}

// options reads NAME VALUE pairs; a name without a value is a flag.
func (script *script) options(words []string) map[string]string {
	options := map[string]string{}
	for _, word := range words {
		name, value, _ := strings.Cut(word, "=")
		options[name] = value
	}
	return options
}

func (script *script) number(text string) int {
	number, err := strconv.Atoi(text)
	if err != nil {
		script.t.Fatalf("%s: %v", script.line, err)
	}
	return number
}

func (script *script) has(options map[string]string, name string) bool {
	_, found := options[name]
	return found
}

func (script *script) count(options map[string]string, name string, otherwise int) int {
	if text, found := options[name]; found {
		return script.number(text)
	}
	return otherwise
}

func (script *script) run(words []string) {
	command, words := words[0], words[1:]
	switch command {
	case "after":
		duration, err := time.ParseDuration(words[0])
		if err != nil {
			script.t.Fatalf("%s: %v", script.line, err)
		}
		script.now = script.now.Add(duration)
		script.planner.Tick(script.now)
	case "queue":
		script.queue(words[0], script.options(words[1:]))
	case "worker":
		script.worker(words[0], script.options(words[1:]))
	case "gone":
		script.planner.RemoveWorker(describer.WorkerID(words[0]))
	case "job":
		script.job(describer.JobID(words[0]), words[1], words[2:])
	case "cancel":
		script.planner.Cancel(script.now, describer.JobID(words[0]))
	case "pass":
		script.planner.Pass(script.now)
	case "store":
		script.store(words)
	case "look":
		script.look(words[0], words[1:])
	case "silent":
		script.planner.LookFailed(script.now, describer.WorkerID(words[0]), describer.ErrUncertain)
	case "started":
		script.started(words[0], words[1])
	case "stopped":
		script.planner.Stopped(script.now, script.stops[words[0]], nil)
	case "advised":
		script.advised(words)
	case "newleader":
		script.newLeader()
	case "want":
		script.want(words[0], words[1:])
	default:
		script.t.Fatalf("%s: unknown command %q", script.line, command)
	}
	script.collect()
}

func (script *script) collect() {
	effects := script.planner.Take()
	for _, start := range effects.Starts {
		script.starts[start.Order.Task.String()] = start
	}
	for _, stop := range effects.Stops {
		script.stops[stop.Order.Task.String()] = stop
	}
	script.advice = append(script.advice, effects.Advice...)
	script.looks = append(script.looks, effects.Looks...)
}

func (script *script) queue(name string, options map[string]string) {
	queue := describer.Queue{
		Name:         name,
		Service:      "service",
		MostAttempts: script.count(options, "attempts", 3),
		SlackFactor:  2,
		Objective:    time.Duration(script.count(options, "objective", 1000)) * time.Millisecond,
	}
	if script.has(options, "advice") {
		queue.Advice = &describer.AdvicePolicy{
			Base:      10 * time.Millisecond,
			PerWorker: time.Millisecond,
			Validity:  2500 * time.Millisecond,
		}
	}
	script.config = &describer.Config{
		Version: script.config.Version + 1,
		Queues:  append(slices.Clone(script.config.Queues), queue),
	}
	script.planner.SetConfig(script.config)
}

func (script *script) worker(id string, options map[string]string) {
	script.planner.SetWorker(script.now, &describer.Worker{
		ID:       describer.WorkerID(id),
		Service:  "service",
		Born:     time.UnixMilli(int64(script.count(options, "born", 1))),
		Draining: script.has(options, "draining"),
		Capacity: descriptor.Resources{
			MilliCPU:    int64(script.count(options, "cpu", 4)) * 1000,
			MemoryBytes: 1 << 40,
		},
		Kind: options["kind"],
		Rack: options["rack"],
	})
}

func (script *script) job(id describer.JobID, queue string, words []string) {
	job := &describer.Job{
		ID:        id,
		Queue:     queue,
		Submitted: script.now,
	}
	if len(words) == 0 {
		words = []string{"count=1"}
	}
	for _, word := range words {
		options := script.options(strings.Split(word, ","))
		step := describer.Step{
			Count:         script.count(options, "count", 1),
			Estimate:      time.Duration(script.count(options, "estimate", 1000)) * time.Millisecond,
			Gang:          script.has(options, "gang"),
			OneRack:       script.has(options, "onerack"),
			Perpetual:     script.has(options, "perpetual"),
			Checkpoints:   script.has(options, "checkpoints"),
			Label:         options["label"],
			MostPerWorker: script.count(options, "most", 0),
		}
		step.Needs.MilliCPU = int64(script.count(options, "cpu", 1)) * 1000
		if script.has(options, "after") {
			step.After = []int{script.number(options["after"])}
		}
		job.Steps = append(job.Steps, step)
		if script.has(options, "times") {
			job.Times = script.number(options["times"])
			job.First = script.now.Add(time.Second)
			job.Interval = time.Second
		}
	}
	script.jobs[id] = job
	script.planner.Add(script.now, job)
}

// store makes the records of jobs durable, or of all.
func (script *script) store(words []string) {
	for _, id := range script.planner.Dirty() {
		if len(words) > 0 && !slices.Contains(words, string(id)) {
			continue
		}
		record, generation, _, err := script.planner.Encode(id)
		if err != nil {
			script.t.Fatalf("%s: %v", script.line, err)
		}
		script.records[id] = record
		script.planner.Durable(script.now, id, generation)
	}
}

// newLeader begins a term from the stored records.
func (script *script) newLeader() {
	script.restart()
	for _, id := range sortedKeys(script.jobs) {
		if err := script.planner.Restore(script.now, id, script.jobs[id], script.records[id]); err != nil {
			script.t.Fatalf("%s: %v", script.line, err)
		}
	}
}

func sortedKeys(jobs map[describer.JobID]*describer.Job) []describer.JobID {
	var ids []describer.JobID
	for id := range jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (script *script) task(name string) describer.TaskID {
	id, err := describer.ParseTaskID(name)
	if err != nil {
		script.t.Fatalf("%s: %v", script.line, err)
	}
	return id
}

// look plays a worker's answer: TASK/RUN runs, and TASK/RUN=OUTCOME ended. born=N names the incarnation.
func (script *script) look(id string, words []string) {
	look := describer.Look{
		Clock: script.now.Sub(scriptStart),
		Born:  time.UnixMilli(1),
	}
	script.planner.LookOrder(script.now, describer.WorkerID(id))
	for _, word := range words {
		name, value, ended := strings.Cut(word, "=")
		if name == "born" {
			look.Born = time.UnixMilli(int64(script.number(value)))
			continue
		}
		task, run, _ := strings.Cut(name, "/")
		if !ended {
			look.Running = append(look.Running, describer.Running{
				Task: script.task(task),
				Run:  script.number(run),
			})
			continue
		}
		script.ends[id]++
		look.Ended = append(look.Ended, describer.End{
			Number:  script.ends[id],
			Task:    script.task(task),
			Run:     script.number(run),
			Outcome: script.outcome(value),
		})
	}
	script.planner.Looked(script.now, script.now, describer.WorkerID(id), look)
}

func (script *script) outcome(name string) describer.Outcome {
	for outcome := describer.OutcomeDone; outcome <= describer.OutcomeAlone; outcome++ {
		if outcome.String() == name {
			return outcome
		}
	}
	script.t.Fatalf("%s: unknown outcome %q", script.line, name)
	return describer.OutcomeUnknown
}

func (script *script) started(task, answer string) {
	answers := map[string]error{
		"ok":        nil,
		"uncertain": describer.ErrUncertain,
		"refused":   describer.ErrNotDone,
		"old":       describer.ErrOldRun,
		"ticket":    describer.ErrTicket,
	}
	err, known := answers[answer]
	start, found := script.starts[task]
	if !known || !found {
		script.t.Fatalf("%s: no start of %s, or unknown answer %q", script.line, task, answer)
	}
	delete(script.starts, task)
	script.planner.Started(script.now, start, err)
}

// advised answers the oldest question: the workers named may run the step.
func (script *script) advised(words []string) {
	if len(script.advice) == 0 {
		script.t.Fatalf("%s: no question is open", script.line)
	}
	request := script.advice[0]
	script.advice = script.advice[1:]
	answer := describer.Advice{
		Validity: 2500 * time.Millisecond,
	}
	for _, word := range words {
		answer.Tickets = append(answer.Tickets, describer.Ticket{
			Worker: describer.WorkerID(word),
			Ticket: "ticket-" + word,
		})
	}
	script.planner.Advised(script.now, request.Step, request.Workers, answer, nil)
}

func (script *script) want(kind string, words []string) {
	got := ""
	switch kind {
	case "starts":
		var lines []string
		for task, start := range script.starts {
			lines = append(lines, fmt.Sprintf("%s/%d@%s", task, start.Order.Run, start.Worker.ID))
		}
		got = sortedText(lines)
	case "stops":
		var lines []string
		for task, stop := range script.stops {
			line := fmt.Sprintf("%s/%d@%s", task, stop.Order.Run, stop.Worker.ID)
			if !script.checked[line] {
				lines = append(lines, line)
			}
			script.checked[line] = true
		}
		got = sortedText(lines)
	case "state":
		got = words[0] + " " + script.planner.State(describer.JobID(words[0])).String()
	case "pending":
		got = words[0] + " " + strconv.Itoa(script.planner.Pending(words[0]))
	case "seen":
		_, order, _ := script.planner.LookOrder(script.now, describer.WorkerID(words[0]))
		got = words[0] + " " + strconv.FormatInt(order.Seen, 10)
	case "looks":
		var lines []string
		for _, id := range script.looks {
			lines = append(lines, string(id))
		}
		got = sortedText(lines)
		script.looks = nil
	case "lookwait":
		_, order, _ := script.planner.LookOrder(script.now, describer.WorkerID(words[0]))
		got = words[0] + " " + order.Wait.String()
	case "questions":
		got = strconv.Itoa(len(script.advice))
	case "asked":
		got = strconv.Itoa(len(script.advice[0].Workers))
	default:
		script.t.Fatalf("%s: unknown check %q", script.line, kind)
	}
	if want := strings.Join(words, " "); got != want {
		script.t.Errorf("%s: %s: got %q, want %q", script.line, kind, got, want)
	}
}

func sortedText(lines []string) string {
	if len(lines) == 0 {
		return "none"
	}
	slices.Sort(lines)
	return strings.Join(lines, " ")
}
