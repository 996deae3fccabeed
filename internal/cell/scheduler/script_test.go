package scheduler

import (
	"encoding/json"
	"fmt"
	"net/netip"
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

// TestScripts runs the scripts in testdata. The first lines of each script describe the failure that it guards
// against. Each line is an instruction with arguments; "want" lines check the scheduler's decisions and state. Stops and
// polls are checked as of the last check of the same kind, starts until they are answered.
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

// scriptStart is the time at which every script starts.
var scriptStart = time.Unix(1_000_000, 0)

type script struct {
	t         *testing.T
	line      string
	now       time.Time
	config    *describer.Config
	scheduler *Scheduler
	jobs      map[describer.JobID]*describer.Job
	records   map[describer.JobID][]byte
	// policies holds the policies of the queues, of the removed ones too.
	policies map[string]*describer.Policy
	starts   map[string]Start
	stops    map[string]Stop
	// checked holds the stops that an earlier check has seen.
	checked map[string]bool
	advice  []AdviceRequest
	polls   []describer.WorkerID
	workers map[string]*scriptWorker
	// maxLease is the maximum lease of the workers.
	maxLease time.Duration
	// revision is the revision of the store.
	revision describer.Fence
	// underWay holds the polls that have no answer yet, by worker, and lastPolls the last that was sent.
	underWay  map[string][]scriptPoll
	lastPolls map[string]scriptPoll
	// sentStarts holds all starts, by task and run.
	sentStarts map[string]Start
}

// scriptWorker holds the ends that a worker lists.
type scriptWorker struct {
	incarnation time.Time
	lastEnd     int64
	ended       []describer.EndedRun
}

// restart makes the worker forget its ends, unless the incarnation is the one that it has.
func (worker *scriptWorker) restart(incarnation time.Time) {
	if !worker.incarnation.Equal(incarnation) {
		*worker = scriptWorker{
			incarnation: incarnation,
		}
	}
}

// forget makes the worker forget its ends up to number.
func (worker *scriptWorker) forget(number int64) {
	worker.ended = slices.DeleteFunc(worker.ended, func(end describer.EndedRun) bool {
		return end.Number <= number
	})
}

func newScript(t *testing.T) *script {
	script := &script{
		t:        t,
		now:      scriptStart,
		config:   &describer.Config{},
		jobs:     map[describer.JobID]*describer.Job{},
		records:  map[describer.JobID][]byte{},
		workers:  map[string]*scriptWorker{},
		policies: map[string]*describer.Policy{},

		maxLease:   6 * time.Second,
		underWay:   map[string][]scriptPoll{},
		lastPolls:  map[string]scriptPoll{},
		sentStarts: map[string]Start{},
	}
	script.restart()
	return script
}

// restart starts a new term without jobs and workers.
func (script *script) restart() {
	script.revision++
	script.scheduler = New(Options{
		Fence:            script.revision,
		MaxLease:         script.maxLease,
		StatusRetention:  120 * time.Second,
		RemoteFactor:     3,
		Takeover:         script.now,
		InheritedRenewal: 2 * time.Second,
		CapOverage:       0.1,
	}, script.config)
	script.starts = map[string]Start{}
	script.stops = map[string]Stop{}
	script.checked = map[string]bool{}
	script.advice = nil
}

// options parses NAME=VALUE words; a name without a value is a flag.
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

func (script *script) duration(text string) time.Duration {
	duration, err := time.ParseDuration(text)
	if err != nil {
		script.t.Fatalf("%s: %v", script.line, err)
	}
	return duration
}

func (script *script) has(options map[string]string, name string) bool {
	_, found := options[name]
	return found
}

func (script *script) count(options map[string]string, name string, fallback int) int {
	if text, found := options[name]; found {
		return script.number(text)
	}
	return fallback
}

func (script *script) run(words []string) {
	command, words := words[0], words[1:]
	switch command {
	case "after":
		script.now = script.now.Add(script.duration(words[0]))
		script.scheduler.Tick(script.now)
	case "queue":
		script.queue(words[0], script.options(words[1:]))
	case "unqueue":
		script.unqueue(words[0])
	case "organisation":
		script.organisation(words[0], script.options(words[1:]))
	case "earlier":
		script.earlier(describer.JobID(words[0]))
	case "worker":
		script.worker(words[0], script.options(words[1:]))
	case "unregister":
		script.scheduler.RemoveWorker(describer.WorkerID(words[0]))
	case "job":
		script.job(describer.JobID(words[0]), words[1], words[2:])
	case "cancel":
		script.scheduler.Cancel(script.now, describer.JobID(words[0]))
	case "pass":
		script.scheduler.Pass(script.now)
	case "store":
		script.store(words)
	case "poll":
		script.poll(words[0], words[1:])
	case "unconfirmed":
		// A poll of a leader that cannot be sure that it still leads gets no answer.
		script.scheduler.PollOrder(script.now, describer.WorkerID(words[0]), false)
		script.scheduler.PollFailed(script.now, describer.WorkerID(words[0]), describer.ErrUncertain)
	case "maxlease":
		script.maxLease = script.duration(words[0])
		script.restart()
	case "silent":
		script.scheduler.PollFailed(script.now, describer.WorkerID(words[0]), describer.ErrUncertain)
	case "started":
		script.started(words[0], words[1])
	case "stopped":
		script.scheduler.StopAnswered(script.now, script.stops[words[0]], nil)
	case "advised":
		script.advised(words)
	case "newleader":
		script.newLeader()
	case "want":
		script.want(words[0], words[1:])
	default:
		script.runOrder(command, words)
	}
	script.collect()
}

func (script *script) collect() {
	effects := script.scheduler.TakeEffects()
	if effects.RaiseFence {
		script.revision++
		script.scheduler.SetFence(script.revision)
	}
	for _, start := range effects.Starts {
		script.starts[start.Order.Task.String()] = start
		script.sentStarts[startName(start)] = start
	}
	for _, stop := range effects.Stops {
		script.stops[stop.Order.Task.String()] = stop
	}
	script.advice = append(script.advice, effects.Advice...)
	script.polls = append(script.polls, effects.Polls...)
}

func (script *script) queue(name string, options map[string]string) {
	queue := describer.Queue{
		Policy: describer.Policy{
			Service:          script.service(options),
			MaxAttempts:      script.count(options, "attempts", 3),
			SlackFactor:      2,
			Priority:         script.count(options, "priority", 0),
			LatencyAllowance: time.Duration(script.count(options, "allowance", 1000)) * time.Millisecond,
		},
		Name: name,
	}
	if script.has(options, "advice") {
		queue.Advice = &describer.AdvicePolicy{
			Base:      10 * time.Millisecond,
			PerWorker: time.Millisecond,
			Validity:  2500 * time.Millisecond,
		}
	}
	script.policies[name] = &queue.Policy
	script.setQueues(append(script.otherQueues(name), queue))
}

// unqueue removes a queue from the configuration.
func (script *script) unqueue(name string) {
	script.setQueues(script.otherQueues(name))
}

func (script *script) otherQueues(name string) []describer.Queue {
	return slices.DeleteFunc(slices.Clone(script.config.Queues), func(queue describer.Queue) bool {
		return queue.Name == name
	})
}

func (script *script) setQueues(queues []describer.Queue) {
	script.config = &describer.Config{
		Version:       script.config.Version + 1,
		Queues:        queues,
		Organisations: script.config.Organisations,
	}
	script.scheduler.SetConfig(script.config)
}

// organisation sets the cap of an organisation in cores and its weight.
func (script *script) organisation(name string, options map[string]string) {
	config := *script.config
	config.Version++
	config.Organisations = slices.DeleteFunc(slices.Clone(config.Organisations), func(organisation describer.Organisation) bool {
		return organisation.Name == name
	})
	config.Organisations = append(config.Organisations, describer.Organisation{
		Name:   name,
		Weight: float64(script.count(options, "weight", 1)),
		Cap: descriptor.Resources{
			MilliCPU: int64(script.count(options, "cap", 0)) * 1000,
		},
	})
	script.config = &config
	script.scheduler.SetConfig(script.config)
}

func (script *script) service(options map[string]string) string {
	if service, found := options["service"]; found {
		return service
	}
	return "service"
}

func (script *script) worker(id string, options map[string]string) {
	script.scheduler.SetWorker(script.now, &describer.Worker{
		ID:          describer.WorkerID(id),
		Service:     script.service(options),
		Address:     script.address(options),
		Incarnation: script.incarnation(options),
		Draining:    script.has(options, "draining"),
		Capacity: descriptor.Resources{
			MilliCPU:    int64(script.count(options, "cpu", 4)) * 1000,
			MemoryBytes: 1 << 40,
		},
		DataCentre: options["dc"],
		Kind:       options["kind"],
		Rack:       options["rack"],
	})
}

// incarnation returns the start of the incarnation that options name, or that of the first one.
func (script *script) incarnation(options map[string]string) time.Time {
	return time.UnixMilli(int64(script.count(options, "incarnation", 1)))
}

// address returns the address with the port that options name, or none.
func (script *script) address(options map[string]string) netip.AddrPort {
	if !script.has(options, "address") {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(script.number(options["address"])))
}

func (script *script) job(id describer.JobID, queue string, words []string) {
	job := &describer.Job{
		ID:        id,
		Queue:     queue,
		Submitted: script.now,
		Policy:    script.policies[queue],
	}
	if len(words) > 0 && words[0] == "without-policy" {
		// An instance of an earlier version has accepted the job.
		job.Policy = nil
		words = words[1:]
	}
	if len(words) > 0 && strings.HasPrefix(words[0], "org=") {
		job.Organisation = strings.TrimPrefix(words[0], "org=")
		words = words[1:]
	}
	if len(words) == 0 {
		words = []string{"count=1"}
	}
	for _, word := range words {
		options := script.options(strings.Split(word, ","))
		step := describer.Step{
			Count:        script.count(options, "count", 1),
			Estimate:     time.Duration(script.count(options, "estimate", 1000)) * time.Millisecond,
			Gang:         script.has(options, "gang"),
			OneRack:      script.has(options, "onerack"),
			Perpetual:    script.has(options, "perpetual"),
			Checkpoints:  script.has(options, "checkpoints"),
			Label:        options["label"],
			MaxPerWorker: script.count(options, "max", 0),
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
	script.scheduler.Add(script.now, job)
}

// store makes the records of the given jobs durable, or all records if words is empty.
func (script *script) store(words []string) {
	for _, id := range script.scheduler.Dirty() {
		if len(words) > 0 && !slices.Contains(words, string(id)) {
			continue
		}
		record, generation, _, err := script.scheduler.Encode(id)
		if err != nil {
			script.t.Fatalf("%s: %v", script.line, err)
		}
		script.records[id] = record
		script.scheduler.RecordStored(script.now, id, generation)
	}
}

// newLeader starts a term from the stored jobs and records.
func (script *script) newLeader() {
	script.restart()
	for _, id := range sortedKeys(script.jobs) {
		stored, err := json.Marshal(script.jobs[id])
		if err != nil {
			script.t.Fatalf("%s: %v", script.line, err)
		}
		job := &describer.Job{}
		if err := json.Unmarshal(stored, job); err != nil {
			script.t.Fatalf("%s: %v", script.line, err)
		}
		if err := script.scheduler.Restore(script.now, id, job, script.records[id]); err != nil {
			script.t.Fatalf("%s: %v", script.line, err)
		}
	}
}

// earlier leaves the record of a job as a leader of a version without policies in records would have written it.
func (script *script) earlier(id describer.JobID) {
	var record map[string]json.RawMessage
	err := json.Unmarshal(script.records[id], &record)
	if err == nil {
		delete(record, "Policy")
		script.records[id], err = json.Marshal(record)
	}
	if err != nil {
		script.t.Fatalf("%s: %v", script.line, err)
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

// poll simulates a worker's answer to a poll: TASK/RUN is a run in progress, TASK/RUN=OUTCOME one that has ended,
// incarnation=N sets the incarnation, clock=DURATION its clock, sent=DURATION says how long ago the poll was sent,
// underway that it is the oldest one that a send instruction has sent, and truncated that the worker may have more ends than it lists. Ends that no poll has acknowledged are listed again. A worker
// that has restarted is polled again with a newer fencing token, unless there is a word once.
func (script *script) poll(id string, words []string) {
	answer := describer.PollAnswer{
		Clock:       script.now.Sub(scriptStart),
		Incarnation: time.UnixMilli(1),
	}
	worker := script.workers[id]
	if worker == nil {
		worker = &scriptWorker{}
		script.workers[id] = worker
	}
	if text, found := script.options(words)["incarnation"]; found {
		answer.Incarnation = time.UnixMilli(int64(script.number(text)))
	}
	worker.restart(answer.Incarnation)
	var poll scriptPoll
	if slices.Contains(words, "underway") {
		poll = script.takePoll(id)
	} else {
		poll = script.sendPoll(id)
	}
	worker.forget(poll.Order.AcknowledgedEnd)
	sent := poll.sent
	polls := 2
	for _, word := range words {
		name, value, ended := strings.Cut(word, "=")
		if name == "incarnation" {
			continue
		}
		task, run, _ := strings.Cut(name, "/")
		switch name {
		case "truncated":
			answer.EndsTruncated = true
			continue
		case "clock":
			answer.Clock = script.duration(value)
			continue
		case "underway":
			continue
		case "once":
			polls = 1
			continue
		case "sent":
			sent = script.now.Add(-script.duration(value))
			continue
		}
		if !ended {
			answer.Running = append(answer.Running, describer.RunStatus{
				Task: script.task(task),
				Run:  script.number(run),
			})
			continue
		}
		worker.lastEnd++
		worker.ended = append(worker.ended, describer.EndedRun{
			Number:  worker.lastEnd,
			Task:    script.task(task),
			Run:     script.number(run),
			Outcome: script.outcome(value),
		})
	}
	answer.Ended = slices.Clone(worker.ended)
	for range polls {
		script.scheduler.PollAnswered(script.now, sent, poll.Poll, answer)
		script.collect()
		if script.scheduler.workers[describer.WorkerID(id)].answered {
			break
		}
		poll = script.sendPoll(id)
	}
}

func (script *script) outcome(name string) describer.Outcome {
	for outcome := describer.OutcomeDone; outcome <= describer.OutcomeGangTimeout; outcome++ {
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
		"refused":   describer.ErrNoEffect,
		"stale":     describer.ErrStaleRun,
		"ticket":    describer.ErrTicketRejected,
		"fenced":    describer.ErrFenced,
	}
	err, known := answers[answer]
	start, found := script.starts[task]
	if !known || !found {
		script.t.Fatalf("%s: no start of %s, or unknown answer %q", script.line, task, answer)
	}
	delete(script.starts, task)
	script.scheduler.StartAnswered(script.now, start, err)
}

// advised answers the oldest advice request: the named workers may run the step.
func (script *script) advised(words []string) {
	if len(script.advice) == 0 {
		script.t.Fatalf("%s: no open advice request", script.line)
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
	script.scheduler.AdviceAnswered(script.now, request.Step, request.Workers, answer, nil)
}
