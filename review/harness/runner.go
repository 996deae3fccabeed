package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	runnerCPU       = 64000
	runnerMemMb     = 262144
	stopTime        = 50 * time.Millisecond
	restoreTime     = 250 * time.Millisecond
	maxFinishedRows = 500
	serviceName     = "sorter"
)

// work is the spec of the jobs in these cases. It tells the runners what the tasks do.
type work struct {
	// Ms is the run time of the first task of a step, and SpreadMs what each further task takes more.
	Ms       int
	SpreadMs float64 `json:",omitempty"`
	// SaveMs is the interval of checkpoints; 0 means none.
	SaveMs int `json:",omitempty"`
	// Fails means that each run fails at its end.
	Fails bool `json:",omitempty"`
	// FailOnceMs is when the first run of each task fails; 0 means never.
	FailOnceMs int `json:",omitempty"`
	// Lasts means that the tasks have no end.
	Lasts bool `json:",omitempty"`
}

// liveRun is a run on a runner.
type liveRun struct {
	number   int
	work     work
	start    time.Time
	resumed  time.Duration
	total    time.Duration
	stopping bool
}

// worked returns how much of its work the run has done.
func (run *liveRun) worked() time.Duration {
	elapsed := time.Since(run.start)
	if run.resumed > 0 {
		elapsed = max(elapsed-restoreTime, 0)
	}
	return min(run.resumed+elapsed, run.total)
}

// checkpoint returns the last checkpoint of the run. Its first eight digits are the milliseconds of work that it holds.
func (run *liveRun) checkpoint(task string) string {
	if run.work.SaveMs == 0 {
		return ""
	}
	saved := run.worked().Milliseconds() / int64(run.work.SaveMs) * int64(run.work.SaveMs)
	if saved == 0 {
		return ""
	}
	return fmt.Sprintf("%08x%.8s", saved, task)
}

// runner is a stand-in for one runner. It keeps its machine and address over its lives.
type runner struct {
	id     string
	labels []string
	store  *store
	record *record

	mutex    sync.Mutex
	address  string
	server   *http.Server
	up       bool
	started  time.Time
	born     int64
	fence    int64
	lease    time.Duration
	runs     map[string]*liveRun
	ended    map[string]int
	finished [][]any
	lastEnd  int64
	wake     chan struct{}
}

func newRunner(id string, labels []string, store *store, record *record) *runner {
	created := &runner{id: id, labels: labels, store: store, record: record, address: "127.0.0.1:0"}
	created.boot()
	go func() {
		for {
			time.Sleep(5 * time.Millisecond)
			created.mutex.Lock()
			if created.up {
				created.advance()
			}
			created.mutex.Unlock()
		}
	}()
	return created
}

// boot begins a new life of the runner.
func (runner *runner) boot() {
	listener, err := net.Listen("tcp", runner.address)
	if err != nil {
		fail("runner %s: %v", runner.id, err)
	}
	runner.mutex.Lock()
	runner.address = listener.Addr().String()
	runner.up = true
	runner.started = time.Now()
	runner.born = max(time.Now().UnixMilli(), runner.born+1)
	runner.fence, runner.lease, runner.lastEnd = 0, 0, 0
	runner.runs, runner.ended, runner.finished = map[string]*liveRun{}, map[string]int{}, nil
	runner.wake = make(chan struct{})
	runner.server = &http.Server{Handler: http.HandlerFunc(runner.handle)}
	server := runner.server
	entry, _ := json.Marshal(map[string]any{
		"service": serviceName, "address": runner.address, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "seq": 1, "born": runner.born, "labels": runner.labels,
		"capacity": map[string]int{"cpu": runnerCPU, "memMb": runnerMemMb, "gpu": 0},
	})
	runner.mutex.Unlock()
	go func() {
		_ = server.Serve(listener)
	}()
	runner.record.add("runner %s begins a life at %s", runner.id, runner.address)
	go func() {
		// A runner's write takes as long as any other call to the store.
		time.Sleep(runner.store.delay())
		runner.store.put("servers/"+runner.id, entry)
	}()
}

// crash ends the life of the runner at once. Its connections are reset.
func (runner *runner) crash() {
	runner.mutex.Lock()
	runner.up = false
	for task, run := range runner.runs {
		runner.record.ended(runner.id, task, run.number, "lost with its runner", 0)
	}
	runner.runs = map[string]*liveRun{}
	server := runner.server
	close(runner.wake)
	runner.wake = make(chan struct{})
	runner.mutex.Unlock()
	runner.record.add("runner %s crashes", runner.id)
	runner.record.crashed(runner.id)
	_ = server.Close()
}

func (runner *runner) clock() time.Duration {
	return time.Since(runner.started)
}

// advance ends what is over. The caller holds the mutex.
func (runner *runner) advance() {
	lapsed := runner.clock() > runner.lease
	var tasks []string
	for task := range runner.runs {
		tasks = append(tasks, task)
	}
	sort.Strings(tasks)
	for _, task := range tasks {
		run := runner.runs[task]
		switch {
		case lapsed:
			runner.end(task, "lapsed")
		case run.stopping:
		case run.work.FailOnceMs > 0 && run.number == 1 && time.Since(run.start) >= time.Duration(run.work.FailOnceMs)*time.Millisecond:
			runner.end(task, "failed")
		case run.work.Lasts || run.worked() < run.total:
		case run.work.Fails:
			runner.end(task, "failed")
		default:
			runner.end(task, "done")
		}
	}
}

func (runner *runner) end(task, how string) {
	run := runner.runs[task]
	saved := run.checkpoint(task)
	if how == "done" {
		saved = ""
	}
	delete(runner.runs, task)
	runner.ended[task] = max(runner.ended[task], run.number)
	runner.lastEnd++
	runner.finished = append(runner.finished, []any{runner.lastEnd, task, run.number, how, saved})
	runner.record.ended(runner.id, task, run.number, how, runner.lastEnd)
	close(runner.wake)
	runner.wake = make(chan struct{})
}

// order is the body of a call to a runner.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	FenceToken int64  `json:"fenceToken"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   int64  `json:"lastSeen"`
	WaitMs     int64  `json:"waitMs"`
}

func (runner *runner) handle(writer http.ResponseWriter, request *http.Request) {
	var order order
	if json.NewDecoder(request.Body).Decode(&order) != nil {
		reply(writer, http.StatusBadRequest, nil)
		return
	}
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != runner.id {
		reply(writer, http.StatusMisdirectedRequest, nil)
		return
	}
	call := strings.TrimPrefix(request.URL.Path, "/-/")
	runner.mutex.Lock()
	if !runner.up {
		runner.mutex.Unlock()
		panic(http.ErrAbortHandler)
	}
	born := runner.born
	status, body := runner.serve(call, order)
	timer := time.NewTimer(time.Duration(min(order.WaitMs, 2000)) * time.Millisecond)
	defer timer.Stop()
	for waiting := call == "hold" && status == http.StatusOK; waiting && len(runner.finished) == 0; {
		wake := runner.wake
		runner.mutex.Unlock()
		select {
		case <-wake:
		case <-timer.C:
			waiting = false
		}
		runner.mutex.Lock()
		if !runner.up || runner.born != born {
			runner.mutex.Unlock()
			panic(http.ErrAbortHandler)
		}
		runner.forget(order.LastSeen)
		runner.lists(body)
	}
	runner.mutex.Unlock()
	reply(writer, status, body)
}

// serve handles one call. The caller holds the mutex.
func (runner *runner) serve(call string, order order) (int, map[string]any) {
	runner.advance()
	body := map[string]any{"clockMs": runner.clock().Milliseconds()}
	if order.FenceToken < runner.fence {
		body["reason"] = "fence"
		return http.StatusConflict, body
	}
	runner.fence = order.FenceToken
	runner.record.token(order.FenceToken)
	deadline := time.Duration(order.DeadlineMs) * time.Millisecond
	hold := func() {
		runner.lease = max(runner.lease, min(deadline, runner.clock()+maxHold))
	}
	switch call {
	case "run-start":
		return runner.start(order, deadline, hold, body)
	case "run-stop":
		runner.ended[order.Task] = max(runner.ended[order.Task], order.Run)
		if run := runner.runs[order.Task]; run != nil && run.number <= order.Run && !run.stopping {
			run.stopping = true
			time.AfterFunc(stopTime, func() {
				runner.mutex.Lock()
				defer runner.mutex.Unlock()
				if runner.runs[order.Task] == run {
					runner.end(order.Task, "stopped")
				}
			})
		}
		return http.StatusOK, body
	case "hold":
		if runner.clock() > runner.lease {
			runner.record.lapsed(runner.id, runner.born)
		}
		hold()
		runner.forget(order.LastSeen)
		runner.lists(body)
		return http.StatusOK, body
	default:
		return http.StatusNotFound, body
	}
}

func (runner *runner) start(order order, deadline time.Duration, hold func(), body map[string]any) (int, map[string]any) {
	running := runner.runs[order.Task]
	switch {
	case running != nil && running.number == order.Run:
		hold()
		return http.StatusOK, body
	case running != nil || order.Run <= runner.ended[order.Task]:
		hold()
		body["reason"] = "old"
		return http.StatusConflict, body
	case deadline < runner.clock():
		body["reason"] = "late"
		return http.StatusConflict, body
	}
	var spec work
	if json.Unmarshal([]byte(order.Spec), &spec) != nil {
		return http.StatusBadRequest, body
	}
	hold()
	parts := strings.Split(order.Task, ".")
	index, _ := strconv.Atoi(parts[len(parts)-1])
	run := &liveRun{
		number: order.Run,
		work:   spec,
		start:  time.Now(),
		total:  time.Duration(float64(spec.Ms)+float64(index)*spec.SpreadMs) * time.Millisecond,
	}
	if len(order.Checkpoint) >= 8 {
		saved, _ := strconv.ParseInt(order.Checkpoint[:8], 16, 64)
		run.resumed = time.Duration(saved) * time.Millisecond
	}
	runner.runs[order.Task] = run
	runner.record.began(runner.id, runner.born, order.Task, order.Run)
	return http.StatusOK, body
}

// forget forgets the ends up to lastSeen. It holds for as long as the call that carries it waits.
func (runner *runner) forget(lastSeen int64) {
	for len(runner.finished) > 0 && runner.finished[0][0].(int64) <= lastSeen {
		runner.finished = runner.finished[1:]
	}
	runner.record.noted(runner.id, runner.born, lastSeen)
}

// lists adds the lists of running and ended runs to a response.
func (runner *runner) lists(body map[string]any) {
	running := [][]any{}
	for task, run := range runner.runs {
		percent := int64(100)
		if !run.work.Lasts && run.total > 0 {
			percent = int64(100 * run.worked() / run.total)
		}
		running = append(running, []any{task, run.number, run.checkpoint(task), percent, 0})
	}
	body["clockMs"] = runner.clock().Milliseconds()
	body["born"] = runner.born
	body["running"] = running
	body["finished"] = append([][]any{}, runner.finished[:min(len(runner.finished), maxFinishedRows)]...)
}
