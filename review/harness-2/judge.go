package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// taskSpec is what a task of a step needs and does.
type taskSpec struct {
	Count     int    `json:"count"`
	CPU       int64  `json:"cpu"`
	MemMb     int64  `json:"memMb"`
	Estimate  int64  `json:"estimateMs"`
	Requires  string `json:"requires,omitempty"`
	Perpetual bool   `json:"perpetual,omitempty"`
	Gang      bool   `json:"gang,omitempty"`
	// MaxPerServer is the largest number of tasks of the step on a runner.
	MaxPerServer int `json:"maxPerServer,omitempty"`
	// Ms is the time that the task takes. FailMs, if set, is the time after which the first run of the first lasting task of the
	// step fails; those of the next ones fail FailGapMs later each. They are not sent.
	Ms        int64 `json:"-"`
	FailMs    int64 `json:"-"`
	FailGapMs int64 `json:"-"`
	// Fails means that each run ends as failed after Ms.
	Fails bool `json:"-"`
}

// judge records what was sent, answered and run, and the rules that were broken.
type judge struct {
	mutex sync.Mutex
	file  *os.File
	begun time.Time
	jobs  map[string][]taskSpec
	// hinted holds the jobs whose queue has an advice service.
	hinted map[string]bool
	// onStart, if set, is called with each start, with the mutex of the runner held.
	onStart func(runner *runner, run *taskRun)
	onEnd   func(runner *runner, run *taskRun, how string)
	// broken holds a line for each break of a rule.
	broken []string
	starts int
	ends   map[string]int
}

func newJudge(path string) (*judge, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &judge{file: file, begun: time.Now(), jobs: map[string][]taskSpec{}, hinted: map[string]bool{}, ends: map[string]int{}}, nil
}

// note writes a line to the record.
func (judge *judge) note(format string, args ...any) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	judge.write(fmt.Sprintf(format, args...))
}

func (judge *judge) write(line string) {
	_, _ = fmt.Fprintf(judge.file, "%9.3f %s\n", time.Since(judge.begun).Seconds(), line)
}

// breaks notes that a rule was broken.
func (judge *judge) breaks(format string, args ...any) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	line := fmt.Sprintf(format, args...)
	judge.broken = append(judge.broken, line)
	judge.write("BROKEN " + line)
}

func (judge *judge) add(id string, steps []taskSpec, hinted bool) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	judge.jobs[id] = steps
	judge.hinted[id] = hinted
}

func (judge *judge) spec(task string) (taskSpec, bool) {
	id, step, index, err := splitTask(task)
	if err != nil {
		return taskSpec{}, false
	}
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	steps := judge.jobs[id]
	if step >= len(steps) || index >= steps[step].Count {
		return taskSpec{}, false
	}
	return steps[step], true
}

func (judge *judge) unasked(runner *runner, order orderBody) {
	judge.breaks("UNASKED: %s is told to start %s run %d, which nobody sent", runner.id, order.Task, order.Run)
}

func (judge *judge) started(runner *runner, run *taskRun) {
	judge.mutex.Lock()
	judge.starts++
	judge.write(fmt.Sprintf("start %s run %d on %s born %d", run.task, run.number, runner.id, runner.born.UnixMilli()))
	judge.mutex.Unlock()
	if judge.onStart != nil {
		judge.onStart(runner, run)
	}
}

func (judge *judge) ended(runner *runner, run *taskRun, how string) {
	judge.mutex.Lock()
	judge.ends[how]++
	judge.write(fmt.Sprintf("end %s run %d on %s: %s", run.task, run.number, runner.id, how))
	judge.mutex.Unlock()
	if judge.onEnd != nil {
		judge.onEnd(runner, run, how)
	}
}

// body returns the body of a submission.
func body(spec string, steps []taskSpec) []byte {
	encoded, _ := json.Marshal(map[string]any{"spec": spec, "steps": steps})
	return encoded
}
