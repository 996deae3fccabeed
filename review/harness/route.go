package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// finishTime is finish_s of the small sites and lostTime the 3 s of the rule LOST.
	finishTime = 14 * time.Second
	lostTime   = 3 * time.Second
)

// playRoute removes the route of a queue whose jobs are at work, and kills the process that leads.
func playRoute(record *record) []string {
	const jobs, steps = 4, 6
	kept, dropped := route{name: "kept", maxAttempts: 3}, route{name: "dropped", maxAttempts: 3}
	cell := newCell(directory, record, 3, [][]string{{"a", "r1-1"}, {"a", "r1-2"}, {"b", "r1-3"}}, kept, dropped)
	time.Sleep(time.Second)
	var chain []step
	for index := range steps {
		next := step{Count: 2, CPU: 4000, MemMb: 512, EstimateMs: 4000}
		if index > 0 {
			next.After = []int{index - 1}
		}
		chain = append(chain, next)
	}
	var ids []string
	for job := range jobs {
		id := fmt.Sprintf("8d21c07fb4e6%04x", 0x1a00+job)
		ids = append(ids, id)
		cell.submit(dropped, id, work{Ms: 4000}, chain...)
	}
	handedIn := time.Now()
	record.say("%d jobs of %d steps are accepted, the last job of the traffic", jobs, steps)
	time.Sleep(2 * time.Second)
	cell.configure(kept)
	record.say("the store has acknowledged a configuration without the queue's route")
	time.Sleep(4 * time.Second)
	if trouble {
		cell.killLeader(time.Second)
	}
	time.Sleep(time.Until(handedIn.Add(finishTime)))
	// From here on the jobs have to be at work: all 3 runners are sound and empty but for them.
	idleSince := map[string]time.Time{}
	var breaks []string
	reported := map[string]bool{}
	for end := time.Now().Add(16 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, id := range ids {
			done := 0
			for _, ended := range record.endsOf(id + ".") {
				if ended.how == "done" {
					done++
				}
			}
			switch {
			case done >= 2*steps || record.running(id+".") > 0:
				delete(idleSince, id)
			case idleSince[id].IsZero():
				idleSince[id] = time.Now()
			case time.Since(idleSince[id]) > lostTime && !reported[id]:
				reported[id] = true
				breaks = append(breaks, fmt.Sprintf("job %s has had nothing running for 3 s after %d of its %d tasks, with all runners free", id, done, 2*steps))
			}
		}
	}
	for _, id := range ids {
		var ends []string
		for _, ended := range record.endsOf(id + ".") {
			ends = append(ends, strings.TrimPrefix(ended.task, id+".")+" "+ended.how)
		}
		record.say("job %s: %s", id, strings.Join(ends, ", "))
	}
	return breaks
}
