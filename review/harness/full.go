package main

import (
	"fmt"
	"time"
)

// playFull fills the runners with gangs and loses the runner of a lasting task for good.
func playFull(record *record) []string {
	lasting, gangs := route{name: "lasting", maxAttempts: 3}, route{name: "gangs", maxAttempts: 4}
	var labels [][]string
	for index := range 7 {
		labels = append(labels, []string{"a", fmt.Sprintf("r1-%d", 1+index/2)})
	}
	cell := newCell(directory, record, 3, labels, lasting, gangs)
	time.Sleep(time.Second)
	const service = "c41f7a5502de9b10"
	cell.submit(lasting, service, work{Lasts: true}, step{Count: 1, CPU: 36000, MemMb: 1024, Perpetual: true})
	record.say("a job with one task that lasts is accepted")
	time.Sleep(time.Second)
	for job := range 6 {
		cell.submit(gangs, fmt.Sprintf("5a03c9e17b44%04x", job), work{Ms: 45000, Gang: 2}, step{Count: 2, CPU: 30000, MemMb: 8192, EstimateMs: 45000, Gang: true})
	}
	record.say("6 gangs of 2 tasks of 30 cores are accepted, which take 45 s")
	time.Sleep(4 * time.Second)
	starts := record.startsOf(service + ".")
	if len(starts) == 0 {
		fail("the lasting task was not started")
	}
	at := starts[len(starts)-1].runner
	var lost *runner
	for _, runner := range cell.runners {
		record.say("runner %s has %d runs of gangs", runner.id, record.runningOn(runner.id, "5a03c9e17b44"))
		if runner.id == at {
			lost = runner
		}
	}
	crash := time.Now()
	if trouble {
		lost.crash()
		record.say("runner %s, on which the lasting task is, is lost for good", lost.id)
		time.AfterFunc(4500*time.Millisecond, func() { cell.store.remove("servers/" + lost.id) })
	}
	time.Sleep(30 * time.Second)
	if !trouble {
		if record.running(service+".") == 0 {
			return []string{"the lasting task has no run"}
		}
		return nil
	}
	away := time.Since(crash)
	for _, start := range record.startsOf(service + ".") {
		if start.at.After(crash) {
			away = start.at.Sub(crash)
			break
		}
	}
	record.say("the lasting task was away for %.1f s at least", away.Seconds())
	if away > 6*time.Second+lostTime {
		return []string{fmt.Sprintf("the lasting task had no run for %.1f s, with 6 sound runners that could each run it", away.Seconds())}
	}
	return nil
}
