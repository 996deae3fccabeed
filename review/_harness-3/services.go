package main

import (
	"time"
)

// servicesCase sends large jobs to one service at once, as a burst, and one small job to another service whose workers are
// all idle. The second one has to be run.
func servicesCase(record *record, trouble bool) verdict {
	const (
		cores   = 16
		yard    = "offcut-sorter"
		billing = "billing-desk"
		// largeJobs come in burstTime, as many as 2.3 times 1.59 a second make. Each is as wide and as long as the largest
		// of the site's file.
		largeJobs = 14
		burstTime = 4 * time.Second
		largeRun  = 45 * time.Second
		width     = 32
	)
	advice := &adviceTimes{
		decisionMs:  53,
		perWorkerMs: 0.75,
		validityMs:  2500,
	}
	cell, err := newCell(record, advice, 0.7, 4)
	if err != nil {
		record.tell("%v", err)
		return couldNot
	}
	defer cell.close()
	cell.configure(3, []string{yard, billing},
		queue{name: "assay", prefix: "/assay/", service: yard, priority: 1, attempts: 4, slack: 4, sloMs: 1200, advice: advice},
		queue{name: "credit", prefix: "/credit/", service: billing, priority: 2, attempts: 4, slack: 4, sloMs: 600000, advice: advice})
	for range 8 {
		if _, err := cell.addWorker(yard, cores*1000, "a", "r1-1"); err != nil {
			record.tell("%v", err)
			return couldNot
		}
	}
	for range 4 {
		if _, err := cell.addWorker(billing, cores*1000, "b", "r1-2"); err != nil {
			record.tell("%v", err)
			return couldNot
		}
	}
	if err := cell.start(); err != nil {
		record.tell("%v", err)
		return couldNot
	}
	if trouble {
		for number := range largeJobs {
			if status := cell.submit("/assay/"+jobID(100+number), batchJob(width, 1000, largeRun, false)); status != 200 {
				record.tell("a large job was not accepted: %d", status)
				return couldNot
			}
			time.Sleep(burstTime / largeJobs)
		}
	}
	small := jobID(1)
	if status := cell.submit("/credit/"+small, batchJob(2, 1000, 1900*time.Millisecond, false)); status != 200 {
		record.tell("the small job was not accepted: %d", status)
		return couldNot
	}
	sent := time.Now()
	record.tell("the last job was sent; nothing else comes")
	standing := cell.watch(billing, sent, 50*time.Second, []waitingJob{{id: small, tasks: 2, need: 2000}})
	record.tell("%d runs of the small job were started within 50 s; its state: %s", cell.runs(small), cell.state("/credit/"+small))
	if len(standing) > 0 {
		record.tell("it had nothing running for 3 s on end, with capacity for it twice over and under half of its service in use")
		return broken
	}
	return held
}
