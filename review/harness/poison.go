package main

import (
	"fmt"
	"time"
)

// playPoison hands in jobs that can never be done beside a job whose task lasts.
func playPoison(record *record) []string {
	lasting, batch := route{name: "lasting", maxAttempts: 3}, route{name: "batch", maxAttempts: 4}
	labels := [][]string{{"a", "r1-1"}, {"a", "r1-2"}, {"b", "r1-3"}}
	cell := newCell(directory, record, 3, labels, lasting, batch)
	time.Sleep(time.Second)
	const service = "c41f7a5502de9b10"
	cell.submit(lasting, service, work{Lasts: true, FailOnceMs: 13000}, step{Count: 1, CPU: 4000, MemMb: 1024, Perpetual: true})
	begin := time.Now()
	record.say("a job with one task that lasts is accepted; the task fails by itself after 13 s")
	// 6 jobs a second of 4 tasks each. For 3 s one in 20 is poison, which is one job.
	poisoned := false
	for job := 0; time.Since(begin) < 30*time.Second; job++ {
		id := fmt.Sprintf("1e90b3d7a6c2%04x", job)
		spec, width := work{Ms: 1900}, 4
		if trouble && !poisoned && time.Since(begin) > 8*time.Second {
			poisoned = true
			spec, width = work{Ms: 300, Fails: true}, 20
			record.say("job %s is poison: its %d tasks fail after 0.3 s", id, width)
		}
		go cell.submit(batch, id, spec, step{Count: width, CPU: 400, MemMb: 256, EstimateMs: spec.Ms})
		time.Sleep(time.Until(begin.Add(time.Duration(job+1) * time.Second / 6)))
	}
	// The times at which the lasting task was not at work.
	var breaks []string
	for _, end := range record.endsOf(service + ".") {
		down := end.at
		record.say("the lasting task ended %s %.1f s after its job was handed in", end.how, end.at.Sub(begin).Seconds())
		var back time.Time
		for _, start := range record.startsOf(service + ".") {
			if start.at.After(end.at) {
				back = start.at
				break
			}
		}
		away := time.Since(down)
		if !back.IsZero() {
			away = back.Sub(down)
		}
		later := 0
		for _, start := range record.startsOf("1e90b3d7a6c2") {
			if start.at.After(end.at) && start.at.Before(end.at.Add(9*time.Second)) {
				later++
			}
		}
		record.say("%d other runs began in the 9 s after that", later)
		record.say("it was away for %.1f s", away.Seconds())
		if away > 6*time.Second+lostTime {
			breaks = append(breaks, fmt.Sprintf("the lasting task had no run for %.1f s, with all 3 runners sound and not full", away.Seconds()))
		}
	}
	return breaks
}
