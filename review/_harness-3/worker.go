package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	maxHold   = 6 * time.Second
	// stopTime is how long a stop takes; the bound is stopTimeoutMs = 400.
	stopTime    = 100 * time.Millisecond
	startUp     = 200 * time.Millisecond
	gangTimeout = 3 * time.Second
	maxEnds     = 500
	maxPollWait = 2 * time.Second
	lapseCheck  = 5 * time.Millisecond
)

// work is what the spec of a job tells the workers: how long the tasks of each step run. A step that lasts has 0, and later
// steps are like the last one.
type work struct {
	Steps []stepWork
}

type stepWork struct {
	Milliseconds int
	// CPU is what a task takes up, in thousandths of a core.
	CPU int64 `json:",omitempty"`
	// Gang is the number of tasks of a gang, which work only together.
	Gang int `json:",omitempty"`
}

func (work work) spec() string {
	encoded, _ := json.Marshal(work)
	return string(encoded)
}

// run is one run of a task on a worker.
type run struct {
	task   string
	number int
	step   stepWork
	start  time.Time
	// workFrom is when a gang had all its members, zero before; broken means that another member has ended. The mutex of
	// the cell guards both, and gone.
	workFrom time.Time
	broken   bool
	// stopAt is when the run ends after a stop order; zero without one.
	stopAt time.Time
	gone   bool
}

// worker is one runner.
type worker struct {
	id       string
	service  string
	address  string
	capacity int64
	memory   int64
	labels   []string
	cell     *cell
	server   *http.Server

	mutex    sync.Mutex
	started  time.Time
	born     int64
	seq      int64
	fence    int64
	lease    time.Duration
	runs     map[string]*run
	over     map[string]int
	ends     [][]any
	lastEnd  int64
	lost     bool
	draining bool
}

func (worker *worker) clock() time.Duration {
	return 100*time.Second + time.Since(worker.started)
}

// serve starts the worker's process at its address, or at a free port if it has none yet.
func (worker *worker) serve() error {
	address := worker.address
	if address == "" {
		address = worker.cell.workerIP + ":0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	worker.mutex.Lock()
	worker.address = listener.Addr().String()
	worker.started = time.Now()
	worker.born = max(time.Now().UnixMilli(), worker.born+1)
	worker.seq = 0
	worker.fence, worker.lease = 0, 0
	worker.runs = map[string]*run{}
	worker.over = map[string]int{}
	worker.ends, worker.lastEnd = nil, 0
	worker.lost = false
	worker.server = &http.Server{
		Handler: worker,
	}
	server := worker.server
	worker.mutex.Unlock()
	go func() {
		_ = server.Serve(listener)
	}()
	go worker.beat(server)
	return nil
}

// beat writes the worker's entry, and ends what has to end, until the process is gone.
func (worker *worker) beat(server *http.Server) {
	next := time.Now()
	for {
		worker.mutex.Lock()
		if worker.lost || worker.server != server {
			worker.mutex.Unlock()
			return
		}
		worker.endDue()
		var entry []byte
		if time.Now().After(next) {
			next = time.Now().Add(heartbeat)
			entry = worker.entry()
		}
		worker.mutex.Unlock()
		if entry != nil {
			worker.cell.store.put("servers/"+worker.id, entry)
		}
		time.Sleep(lapseCheck)
	}
}

func (worker *worker) entry() []byte {
	worker.seq++
	state := "ready"
	if worker.draining {
		state = "draining"
	}
	entry, _ := json.Marshal(map[string]any{
		"service":         worker.service,
		"address":         worker.address,
		"zone":            worker.cell.zone(0),
		"version":         "v1",
		"slots":           8,
		"state":           state,
		"coldRemainingMs": 0,
		"seq":             worker.seq,
		"capacity":        map[string]int64{"cpu": worker.capacity, "memMb": worker.memory, "gpu": 0},
		"labels":          worker.labels,
		"clockMs":         worker.clock().Milliseconds(),
		"born":            worker.born,
	})
	return entry
}

// lose ends the process at once. Its entry is removed after three heartbeats.
func (worker *worker) lose() {
	worker.mutex.Lock()
	worker.lost = true
	for _, run := range worker.runs {
		worker.cell.runEnded(worker, run, "lost with its worker")
	}
	worker.runs = map[string]*run{}
	server := worker.server
	born := worker.born
	worker.mutex.Unlock()
	_ = server.Close()
	go func() {
		time.Sleep(3 * heartbeat)
		worker.mutex.Lock()
		back := worker.born != born
		worker.mutex.Unlock()
		if !back {
			worker.cell.store.drop("servers/" + worker.id)
		}
	}()
}

// endDue ends the runs whose work or lease is over.
func (worker *worker) endDue() {
	now := time.Now()
	if worker.clock() > worker.lease {
		for _, run := range worker.runs {
			worker.end(run, "lapsed")
		}
		return
	}
	for _, run := range worker.runs {
		from, broken := worker.cell.worksFrom(run)
		switch {
		case broken:
			worker.end(run, "broken")
		case !run.stopAt.IsZero() && now.After(run.stopAt):
			worker.end(run, "stopped")
		case from.IsZero():
			if now.Sub(run.start) > gangTimeout {
				worker.end(run, "alone")
			}
		case run.step.Milliseconds > 0 && now.Sub(from) > time.Duration(run.step.Milliseconds)*time.Millisecond:
			worker.end(run, "done")
		}
	}
}

func (worker *worker) end(run *run, how string) {
	delete(worker.runs, run.task)
	worker.over[run.task] = max(worker.over[run.task], run.number)
	worker.lastEnd++
	worker.ends = append(worker.ends, []any{worker.lastEnd, run.task, run.number, how, ""})
	worker.cell.runEnded(worker, run, how)
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	FenceToken int64  `json:"fenceToken"`
	LastSeen   int64  `json:"lastSeen"`
	WaitMs     int64  `json:"waitMs"`
	Ticket     string `json:"ticket"`
}

// ServeHTTP handles the orders to the worker.
func (worker *worker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	document, err := io.ReadAll(request.Body)
	var order order
	if err != nil || json.Unmarshal(document, &order) != nil || order.WaitMs > maxPollWait.Milliseconds() {
		answer(writer, http.StatusBadRequest, nil)
		return
	}
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != worker.id {
		answer(writer, http.StatusMisdirectedRequest, nil)
		return
	}
	call := strings.TrimPrefix(request.URL.Path, "/-/")
	until := time.Now().Add(time.Duration(order.WaitMs) * time.Millisecond)
	for {
		status, body, wait := worker.handle(call, order)
		if !wait || time.Now().After(until) {
			answer(writer, status, body)
			return
		}
		select {
		case <-request.Context().Done():
			return
		case <-time.After(lapseCheck):
		}
	}
}

func (worker *worker) handle(call string, order order) (status int, body map[string]any, wait bool) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	if worker.lost {
		// The process is gone, which closes its connections without an answer.
		panic(http.ErrAbortHandler)
	}
	worker.endDue()
	body = map[string]any{
		"clockMs": worker.clock().Milliseconds(),
		"born":    worker.born,
	}
	if order.FenceToken < worker.fence {
		body["reason"] = "fence"
		return http.StatusConflict, body, false
	}
	worker.fence = order.FenceToken
	deadline := time.Duration(order.DeadlineMs) * time.Millisecond
	worker.lease = max(worker.lease, min(deadline, worker.clock()+maxHold))
	switch call {
	case "run-start":
		status = worker.start(order, deadline, body)
		return status, body, false
	case "run-stop":
		worker.over[order.Task] = max(worker.over[order.Task], order.Run)
		if run := worker.runs[order.Task]; run != nil && run.number <= order.Run && run.stopAt.IsZero() {
			run.stopAt = time.Now().Add(stopTime)
		}
		return http.StatusOK, body, false
	case "hold":
		for len(worker.ends) > 0 && worker.ends[0][0].(int64) <= order.LastSeen {
			worker.ends = worker.ends[1:]
		}
		running := [][]any{}
		for _, run := range worker.runs {
			from, _ := worker.cell.worksFrom(run)
			running = append(running, []any{run.task, run.number, "", run.percent(from), 0})
		}
		body["running"] = running
		body["finished"] = append([][]any{}, worker.ends[:min(len(worker.ends), maxEnds)]...)
		return http.StatusOK, body, len(worker.ends) == 0
	default:
		return http.StatusNotFound, body, false
	}
}

// percent returns the progress of a run that works since from.
func (run *run) percent(from time.Time) int {
	switch {
	case run.step.Milliseconds == 0:
		if time.Since(run.start) > startUp {
			return 100
		}
		return 0
	case from.IsZero():
		return 0
	default:
		return min(int(100*time.Since(from).Milliseconds()/int64(run.step.Milliseconds)), 99)
	}
}

func (worker *worker) start(order order, deadline time.Duration, body map[string]any) int {
	running := worker.runs[order.Task]
	switch {
	case running != nil && running.number == order.Run:
		return http.StatusOK
	case running != nil || order.Run <= worker.over[order.Task]:
		body["reason"] = "old"
		return http.StatusConflict
	case worker.clock() > deadline:
		body["reason"] = "late"
		return http.StatusConflict
	}
	parts := strings.Split(order.Task, ".")
	var work work
	if len(parts) != 4 || json.Unmarshal([]byte(order.Spec), &work) != nil {
		return http.StatusBadRequest
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil || len(work.Steps) == 0 {
		return http.StatusBadRequest
	}
	if !worker.cell.ticketValid(worker, order) {
		body["reason"] = "ticket"
		return http.StatusConflict
	}
	created := &run{
		task:   order.Task,
		number: order.Run,
		step:   work.Steps[min(step, len(work.Steps)-1)],
		start:  time.Now(),
	}
	worker.runs[order.Task] = created
	worker.cell.runStarted(worker, created)
	return http.StatusOK
}

// gangKey is the name of one run of a gang.
func gangKey(run *run) string {
	return fmt.Sprintf("%s/%d", run.task[:strings.LastIndexByte(run.task, '.')], run.number)
}

// tasksOf returns the tasks of a job that run on the worker, those of all jobs if job is empty.
func (worker *worker) tasksOf(job string) []string {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	var tasks []string
	for task := range worker.runs {
		if job == "" || strings.HasPrefix(task, job+".") {
			tasks = append(tasks, task)
		}
	}
	slices.Sort(tasks)
	return tasks
}

func (worker *worker) runsOf(job string) int {
	return len(worker.tasksOf(job))
}
