package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployment, as the settings of the instances tell them.
const (
	heartbeat     = 1500 * time.Millisecond
	maxHold       = 10 * time.Second
	stopTime      = 100 * time.Millisecond
	maxListedEnds = 500
	maxHoldWait   = 2 * time.Second
	startupTime   = 200 * time.Millisecond
)

var quiet = log.New(io.Discard, "", 0)

// runner is a stand-in for one runner. It keeps what the page of the protocol says of it.
type runner struct {
	id, zone, rack string
	store          *store
	judge          *judge
	address        string

	mutex    sync.Mutex
	server   *http.Server
	up       bool
	dark     bool
	kind     string
	cpu      int64
	memMb    int64
	born     time.Time
	seq      int64
	fence    int64
	lease    time.Duration
	runs     map[string]*taskRun
	refused  map[string]int
	ends     [][]any
	lastEnd  int64
	changed  chan struct{}
	stopBeat context.CancelFunc
}

type taskRun struct {
	task     string
	number   int
	spec     taskSpec
	started  time.Time
	stopping time.Time
}

func newRunner(id, zone, rack, kind string, cpu int64, store *store, judge *judge) *runner {
	return &runner{id: id, zone: zone, rack: rack, kind: kind, cpu: cpu, memMb: 32768, store: store, judge: judge, changed: make(chan struct{})}
}

// start starts a new incarnation, at the address of the former one if there was any, and registers it.
func (runner *runner) start() error {
	address := runner.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	var listener net.Listener
	var err error
	for range 100 {
		if listener, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	runner.mutex.Lock()
	runner.address = listener.Addr().String()
	runner.up, runner.dark = true, false
	runner.born = time.Now()
	runner.seq, runner.fence, runner.lease, runner.lastEnd = 0, 0, 0, 0
	runner.runs, runner.refused, runner.ends = map[string]*taskRun{}, map[string]int{}, nil
	runner.server = &http.Server{Handler: runner, ErrorLog: quiet}
	runner.stopBeat = cancel
	server := runner.server
	runner.judge.note("runner %s starts, born %d, kind %s, capacity %d", runner.id, runner.born.UnixMilli(), runner.kind, runner.cpu)
	runner.mutex.Unlock()
	go func() { _ = server.Serve(listener) }()
	go runner.beat(ctx)
	go runner.tick(ctx)
	return nil
}

// crash ends the process at once: its connections are reset and nothing of it is left. With dark nothing answers any more
// at its address, and connections stay open.
func (runner *runner) crash(dark bool) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.judge.note("runner %s crashes (dark: %v) with %d runs", runner.id, dark, len(runner.runs))
	for _, run := range runner.runs {
		runner.judge.ended(runner, run, "crash")
	}
	runner.runs = map[string]*taskRun{}
	runner.up = false
	runner.dark = dark
	runner.stopBeat()
	if !dark {
		_ = runner.server.Close()
	}
	runner.wake()
	go runner.expire(runner.born)
}

// expire removes the entry of an incarnation that has crashed after three intervals of silence.
func (runner *runner) expire(born time.Time) {
	time.Sleep(3 * heartbeat)
	runner.mutex.Lock()
	gone := !runner.up && runner.born.Equal(born)
	runner.mutex.Unlock()
	if gone {
		runner.judge.note("the entry of runner %s expires", runner.id)
		runner.store.drop("servers/" + runner.id)
	}
}

func (runner *runner) wake() {
	close(runner.changed)
	runner.changed = make(chan struct{})
}

func (runner *runner) clock() time.Duration {
	return time.Since(runner.born)
}

// beat writes the entry of the runner.
func (runner *runner) beat(ctx context.Context) {
	for ctx.Err() == nil {
		runner.register()
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

func (runner *runner) register() {
	runner.mutex.Lock()
	runner.seq++
	entry, _ := json.Marshal(map[string]any{
		"service": serviceName, "address": runner.address, "zone": runner.zone, "version": "v1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "capacity": map[string]int64{"cpu": runner.cpu, "memMb": runner.memMb, "gpu": 0},
		"labels": []string{runner.kind, runner.rack}, "clockMs": runner.clock().Milliseconds(), "seq": runner.seq, "born": runner.born.UnixMilli(),
	})
	runner.mutex.Unlock()
	runner.store.put("servers/"+runner.id, entry)
}

// tick ends what is due.
func (runner *runner) tick(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(2 * time.Millisecond)
		runner.mutex.Lock()
		if ctx.Err() == nil {
			runner.endDue()
		}
		runner.mutex.Unlock()
	}
}

func (runner *runner) endDue() {
	now := time.Now()
	lapsed := runner.clock() > runner.lease
	for _, run := range runner.runs {
		switch {
		case lapsed:
			runner.end(run, "lapsed")
		case !run.stopping.IsZero() && now.After(run.stopping):
			runner.end(run, "stopped")
		case run.spec.Perpetual:
			_, _, index, _ := splitTask(run.task)
			if after := time.Duration(run.spec.FailMs+run.spec.FailGapMs*int64(index)) * time.Millisecond; run.number == 1 && after > 0 && now.Sub(run.started) >= after {
				runner.end(run, "failed")
			}
		case now.Sub(run.started) >= time.Duration(run.spec.Ms)*time.Millisecond:
			if run.spec.Fails {
				runner.end(run, "failed")
			} else {
				runner.end(run, "done")
			}
		}
	}
}

func (runner *runner) end(run *taskRun, how string) {
	delete(runner.runs, run.task)
	runner.refused[run.task] = max(runner.refused[run.task], run.number)
	runner.lastEnd++
	runner.ends = append(runner.ends, []any{runner.lastEnd, run.task, run.number, how, ""})
	runner.judge.ended(runner, run, how)
	runner.wake()
}

type orderBody struct {
	Task       string  `json:"task"`
	Run        int     `json:"run"`
	Spec       string  `json:"spec"`
	DeadlineMs float64 `json:"deadlineMs"`
	FenceToken int64   `json:"fenceToken"`
	Checkpoint string  `json:"checkpoint"`
	LastSeen   int64   `json:"lastSeen"`
	WaitMs     int64   `json:"waitMs"`
}

func (runner *runner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	var order orderBody
	if json.NewDecoder(request.Body).Decode(&order) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	runner.mutex.Lock()
	dark, up, born := runner.dark, runner.up, runner.born
	runner.mutex.Unlock()
	if dark {
		select {}
	}
	if !up {
		panic(http.ErrAbortHandler)
	}
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != runner.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	call := strings.TrimPrefix(request.URL.Path, "/-/")
	deadline := time.Now().Add(min(time.Duration(order.WaitMs)*time.Millisecond, maxHoldWait))
	for {
		runner.mutex.Lock()
		if runner.dark || !runner.up || !runner.born.Equal(born) {
			dark := runner.dark
			runner.mutex.Unlock()
			if dark {
				select {}
			}
			panic(http.ErrAbortHandler)
		}
		status, body := runner.handle(call, order)
		changed := runner.changed
		runner.mutex.Unlock()
		ended, isHold := body["finished"].([][]any)
		if !isHold || len(ended) > 0 || !time.Now().Before(deadline) {
			writeJSON(writer, status, body)
			return
		}
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		case <-request.Context().Done():
			return
		}
	}
}

func (runner *runner) handle(call string, order orderBody) (int, map[string]any) {
	runner.endDue()
	clock := runner.clock()
	body := map[string]any{"clockMs": clock.Milliseconds(), "born": runner.born.UnixMilli()}
	reject := func(reason string) (int, map[string]any) {
		body["reason"] = reason
		if call == "run-start" {
			runner.judge.note("start %s run %d on %s refused: %s", order.Task, order.Run, runner.id, reason)
		}
		return http.StatusConflict, body
	}
	if order.FenceToken < runner.fence {
		return reject("fence")
	}
	runner.fence = order.FenceToken
	deadline := time.Duration(order.DeadlineMs * float64(time.Millisecond))
	hold := func() {
		runner.lease = max(runner.lease, min(deadline, clock+maxHold))
	}
	switch call {
	case "run-start":
		present := runner.runs[order.Task]
		switch {
		case present != nil && present.number == order.Run:
			hold()
			return http.StatusOK, body
		case order.Run <= runner.refused[order.Task] || present != nil && order.Run < present.number:
			hold()
			return reject("old")
		case deadline < clock:
			return reject("late")
		}
		spec, known := runner.judge.spec(order.Task)
		if !known {
			runner.judge.unasked(runner, order)
			return http.StatusBadRequest, body
		}
		if order.Spec != "work of "+strings.Split(order.Task, ".")[0] {
			runner.judge.breaks("UNASKED: %s is told to start %s run %d with another spec", runner.id, order.Task, order.Run)
		}
		hold()
		run := &taskRun{task: order.Task, number: order.Run, spec: spec, started: time.Now()}
		runner.runs[order.Task] = run
		runner.judge.started(runner, run)
		return http.StatusOK, body
	case "run-stop":
		runner.refused[order.Task] = max(runner.refused[order.Task], order.Run)
		if run := runner.runs[order.Task]; run != nil && run.number <= order.Run && run.stopping.IsZero() {
			run.stopping = time.Now().Add(stopTime)
		}
		return http.StatusOK, body
	case "hold":
		hold()
		kept := runner.ends[:0:0]
		for _, row := range runner.ends {
			if row[0].(int64) > order.LastSeen {
				kept = append(kept, row)
			}
		}
		runner.ends = kept
		running := [][]any{}
		for _, run := range runner.runs {
			percent := 100
			if !run.spec.Perpetual {
				percent = int(100 * time.Since(run.started) / (time.Duration(run.spec.Ms+1) * time.Millisecond))
			} else if time.Since(run.started) < startupTime {
				percent = 0
			}
			running = append(running, []any{run.task, run.number, "", percent, run.spec.CPU})
		}
		body["running"] = running
		body["finished"] = append([][]any{}, runner.ends[:min(len(runner.ends), maxListedEnds)]...)
		return http.StatusOK, body
	default:
		return http.StatusNotFound, body
	}
}

// used returns what the runs of the runner take up. The caller holds the mutex.
func (runner *runner) used() int64 {
	var sum int64
	for _, run := range runner.runs {
		sum += run.spec.CPU
	}
	return sum
}

// splitTask returns the job, the step and the index of a task named ID.K.STEP.INDEX.
func splitTask(task string) (job string, step, index int, err error) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return "", 0, 0, fmt.Errorf("task %q", task)
	}
	step, stepErr := strconv.Atoi(parts[2])
	index, indexErr := strconv.Atoi(parts[3])
	if stepErr != nil || indexErr != nil {
		return "", 0, 0, fmt.Errorf("task %q", task)
	}
	return parts[0], step, index, nil
}
