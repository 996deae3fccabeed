package main

import (
	"fmt"
	"time"
)

// playCrashes crashes one runner of seven again and again. It is the only one that a job may run on.
func playCrashes(record *record) []string {
	const crashes = 5
	queue := route{name: "batch", maxAttempts: 3}
	var labels [][]string
	for index := range 6 {
		labels = append(labels, []string{"a", fmt.Sprintf("r1-%d", 1+index/2)})
	}
	labels = append(labels, []string{"b", "r1-4"})
	cell := newCell(directory, record, 3, labels, queue)
	time.Sleep(time.Second)
	const id = "a7d3310f6b2c9e58"
	cell.submit(queue, id, work{Ms: 30000, SaveMs: 500}, step{Count: 1, CPU: 4000, MemMb: 1024, EstimateMs: 30000, Checkpoint: true, Requires: "b"})
	begin := time.Now()
	record.say("a job is accepted that needs a runner of kind b; its task takes 30 s and saves its progress")
	flaky := cell.runners[6]
	for crash := range crashes {
		time.Sleep(time.Until(begin.Add(time.Duration(4+7*crash) * time.Second)))
		if !trouble {
			continue
		}
		flaky.crash()
		record.say("runner %s crashes", flaky.id)
		time.Sleep(2 * time.Second)
		flaky.boot()
	}
	for time.Since(begin) < 80*time.Second {
		time.Sleep(time.Second)
		status, state := cell.state(queue, id)
		if state != "failed" && state != "completed" {
			continue
		}
		record.say("the job is shown as %s (%d)", state, status)
		ends := map[string]int{}
		for _, end := range record.endsOf(id + ".") {
			ends[end.how]++
		}
		record.say("its runs ended: %v", ends)
		if state == "failed" && ends["failed"] == 0 {
			return []string{fmt.Sprintf("job %s is shown as failed, and none of its runs has ended failed", id)}
		}
		return nil
	}
	return []string{"the job is not done after 80 s"}
}
