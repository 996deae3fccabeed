package main

import "time"

// rackCase hands in a gang that is faster on one rack, in a service of which less than half is in use. Each rack has too
// little room for it, since tasks that last run there, and would have enough if it were empty.
func rackCase(record *record, trouble bool) verdict {
	const (
		service  = "offcut-sorter"
		racks    = 3
		workers  = 8
		cores    = 16
		lasting  = racks * workers * 6
		members  = 88
		taskRun  = 45 * time.Second
		watching = 40 * time.Second
	)
	cell, err := newCell(record, nil, 1, 3)
	if err != nil {
		record.tell("%v", err)
		return couldNot
	}
	defer cell.close()
	cell.configure(3, []string{service},
		queue{name: "gate-watch", prefix: "/watch/", service: service, attempts: 3, slack: 2, sloMs: 1000},
		queue{name: "assay", prefix: "/assay/", service: service, priority: 1, attempts: 4, slack: 4, sloMs: 1200})
	for number := range racks * workers {
		if _, err := cell.addWorker(service, cores*1000, "a", []string{"r1-1", "r1-2", "r1-3"}[number/workers]); err != nil {
			record.tell("%v", err)
			return couldNot
		}
	}
	if err := cell.start(); err != nil {
		record.tell("%v", err)
		return couldNot
	}
	watch := jobID(1)
	if status := cell.submit("/watch/"+watch, lastingJob(lasting, 1000)); status != 200 {
		record.tell("the job that lasts was not accepted: %d", status)
		return couldNot
	}
	if !waitFor(15*time.Second, func() bool { return cell.runningTasks(watch) == lasting }) {
		record.tell("only %d of %d tasks that last run", cell.runningTasks(watch), lasting)
		return couldNot
	}
	for _, worker := range cell.workers {
		record.add("%s on %s has %d tasks that last", worker.id, worker.labels[1], worker.runsOf(watch))
	}
	body := batchJob(members, 1000, taskRun, true)
	body.Steps[0].SameRack = trouble
	id := jobID(2)
	if status := cell.submit("/assay/"+id, body); status != 200 {
		record.tell("the gang was not accepted: %d", status)
		return couldNot
	}
	sent := time.Now()
	for time.Since(sent) < 120*time.Second-time.Since(record.start)-10*time.Second && cell.runs(id) == 0 {
		time.Sleep(20 * time.Millisecond)
	}
	record.tell("%d of %d cores are in use by tasks that last; the gang of %d cores had nothing running for %.1f s", lasting, racks*workers*cores, members, time.Since(sent).Seconds())
	if time.Since(sent) > finish+standstill {
		return broken
	}
	return held
}
