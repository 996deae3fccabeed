package main

import (
	"fmt"
	"time"
)

// playEnds lets many small tasks end on one runner while the process that leads is killed. The next leader finds more
// ends than the 500 that a runner lists at a time.
func playEnds(record *record) []string {
	const jobs, width = 20, 40
	queue := route{name: "batch", maxAttempts: 2}
	cell := newCell(directory, record, 3, [][]string{{"a", "r1-1"}, {"a", "r1-2"}, {"b", "r1-3"}}, queue)
	time.Sleep(time.Second)
	ids := make([]string, jobs)
	for job := range jobs {
		ids[job] = fmt.Sprintf("5c0e7a21d94b%04x", 0x3600+job)
		// A task takes 4.0 to 5.0 s and 0.08 cores.
		cell.submit(queue, ids[job], work{Ms: 4000 + job*2, SpreadMs: 25}, step{Count: width, CPU: 80, MemMb: 64, EstimateMs: 4800})
	}
	record.say("%d jobs of %d tasks are accepted", jobs, width)
	cell.await(20*time.Second, "the first tasks to end", func() bool {
		return record.count("done") > 0
	})
	if trouble {
		cell.killLeader(time.Second)
	}
	cell.await(60*time.Second, "all jobs to be completed", func() bool {
		time.Sleep(500 * time.Millisecond)
		for _, id := range ids {
			if _, state := cell.state(queue, id); state != "completed" {
				return false
			}
		}
		return true
	})
	time.Sleep(time.Second)
	record.say("all jobs are shown as completed; %d runs ended done", record.count("done"))
	return record.twice()
}
