package main

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

// runEvent is the begin or the end of a run.
type runEvent struct {
	at     time.Time
	runner string
	born   int64
	task   string
	number int
}

// endedRun is an end that a runner has listed, or a run that was lost with its runner.
type endedRun struct {
	runEvent

	how  string
	rank int64
	// noted means that lastSeen has reached the end and the lease had not lapsed between the two.
	noted bool
	void  bool
}

// record holds what was sent, answered and run.
type record struct {
	mutex   sync.Mutex
	begin   time.Time
	file    *os.File
	starts  []runEvent
	ends    []endedRun
	live    map[string][]runEvent
	overlap []string
	crashes map[string]int
	fence   int64
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		fail("record: %v", err)
	}
	return &record{begin: time.Now(), file: file, live: map[string][]runEvent{}, crashes: map[string]int{}}
}

func (record *record) line(format string, args ...any) {
	fmt.Fprintf(record.file, "%9.3f  %s\n", time.Since(record.begin).Seconds(), fmt.Sprintf(format, args...))
}

// add writes a line to the record.
func (record *record) add(format string, args ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.line(format, args...)
}

// say writes a line to the record and to standard output.
func (record *record) say(format string, args ...any) {
	record.add(format, args...)
	fmt.Printf("%7.1f s  %s\n", time.Since(record.begin).Seconds(), fmt.Sprintf(format, args...))
}

func (record *record) began(runner string, born int64, task string, number int) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	event := runEvent{at: time.Now(), runner: runner, born: born, task: task, number: number}
	record.starts = append(record.starts, event)
	for _, other := range record.live[task] {
		record.overlap = append(record.overlap, fmt.Sprintf("run %d of %s begins on %s while run %d is at work on %s", number, task, runner, other.number, other.runner))
	}
	record.live[task] = append(record.live[task], event)
	record.line("start %s run %d on %s", task, number, runner)
}

func (record *record) ended(runner, task string, number int, how string, rank int64) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	var left []runEvent
	var ended runEvent
	for _, event := range record.live[task] {
		if event.runner == runner && event.number == number {
			ended = event
		} else {
			left = append(left, event)
		}
	}
	record.live[task] = left
	ended.at = time.Now()
	record.ends = append(record.ends, endedRun{runEvent: ended, how: how, rank: rank})
	record.line("end %s run %d on %s: %s, end %d of its life", task, number, runner, how, rank)
}

// noted takes note of the ends that lastSeen has reached.
func (record *record) noted(runner string, born, lastSeen int64) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	for index := range record.ends {
		end := &record.ends[index]
		if end.runner == runner && end.born == born && end.rank > 0 && end.rank <= lastSeen && !end.noted && !end.void {
			end.noted = true
		}
	}
}

// lapsed notes that the lease of a runner has lapsed, which voids the ends that were not taken note of before.
func (record *record) lapsed(runner string, born int64) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	for index := range record.ends {
		if end := &record.ends[index]; end.runner == runner && end.born == born && !end.noted {
			end.void = true
		}
	}
}

func (record *record) crashed(runner string) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.crashes[runner]++
}

// token notes the fencing token of an order.
func (record *record) token(fence int64) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.fence = max(record.fence, fence)
}

func (record *record) newestToken() int64 {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	return record.fence
}

// count returns how many runs have ended in a way.
func (record *record) count(how string) int {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	count := 0
	for _, end := range record.ends {
		if end.how == how {
			count++
		}
	}
	return count
}

// endsOf returns the ends of the tasks whose names begin with prefix.
func (record *record) endsOf(prefix string) []endedRun {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	var ends []endedRun
	for _, end := range record.ends {
		if strings.HasPrefix(end.task, prefix) {
			ends = append(ends, end)
		}
	}
	return ends
}

// running returns the number of runs at work of the tasks whose names begin with prefix.
func (record *record) running(prefix string) int {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	count := 0
	for task, runs := range record.live {
		if strings.HasPrefix(task, prefix) {
			count += len(runs)
		}
	}
	return count
}

// twice returns the breaks of the rule TWICE.
func (record *record) twice() []string {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	breaks := append([]string{}, record.overlap...)
	done := map[string]endedRun{}
	for _, end := range record.ends {
		if first, found := done[end.task]; end.how == "done" && end.noted && (!found || end.at.Before(first.at)) {
			done[end.task] = end
		}
	}
	for _, start := range record.starts {
		if end, found := done[start.task]; found && start.at.After(end.at) {
			breaks = append(breaks, fmt.Sprintf("run %d of %s began on %s %.3f s after run %d had ended done on %s, an end that was taken note of",
				start.number, start.task, start.runner, start.at.Sub(end.at).Seconds(), end.number, end.runner))
		}
	}
	sort.Strings(breaks)
	return breaks
}

// startsOf returns the starts of the tasks whose names begin with prefix.
func (record *record) startsOf(prefix string) []runEvent {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	var starts []runEvent
	for _, start := range record.starts {
		if strings.HasPrefix(start.task, prefix) {
			starts = append(starts, start)
		}
	}
	return starts
}
