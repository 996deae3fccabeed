package main

import (
	"fmt"
	"time"
)

// playCrashes crashes one runner of eight again and again. It is the only one that a lasting task may run on.
func playCrashes(record *record) []string {
	const crashes = 5
	queue := route{name: "lasting", maxAttempts: 3}
	var labels [][]string
	for index := range 7 {
		labels = append(labels, []string{"a", fmt.Sprintf("r1-%d", 1+index/2)})
	}
	labels = append(labels, []string{"b", "r1-4"})
	cell := newCell(directory, record, 3, labels, queue)
	time.Sleep(time.Second)
	const id = "a7d3310f6b2c9e58"
	cell.submit(queue, id, work{Lasts: true}, step{Count: 1, CPU: 4000, MemMb: 1024, Requires: "b", Perpetual: true})
	begin := time.Now()
	record.say("a job is accepted whose task lasts and needs a runner of kind b")
	flaky := cell.runners[7]
	for crash := range crashes {
		time.Sleep(time.Until(begin.Add(time.Duration(4+7*crash) * time.Second)))
		if !trouble {
			continue
		}
		flaky.crash()
		record.say("runner %s crashes", flaky.id)
		time.Sleep(2 * time.Second)
		flaky.boot()
		record.say("runner %s is back, %d runs of the task so far", flaky.id, len(record.startsOf(id+".")))
	}
	time.Sleep(20 * time.Second)
	var breaks []string
	status, state := cell.state(queue, id)
	ends := map[string]int{}
	for _, end := range record.endsOf(id + ".") {
		ends[end.how]++
	}
	record.say("20 s after the last crash the job is shown as %q (%d); its runs ended: %v; %d at work", state, status, ends, record.running(id+"."))
	if state == "failed" || state == "cancelled" {
		breaks = append(breaks, fmt.Sprintf("job %s is shown as %s; nobody has cancelled it, and %d of its runs have ended failed", id, state, ends["failed"]))
	}
	if record.running(id+".") == 0 {
		breaks = append(breaks, "its task is not at work, with its runner sound and empty for 18 s")
	}
	return breaks
}
