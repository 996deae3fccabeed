package main

import "time"

// crashesCase crashes the one worker that a job may use five times. Its task has not failed, and can be done afterwards.
func crashesCase(record *record, trouble bool) verdict {
	const (
		service = "offcut-sorter"
		crashes = 5
		// up is how long the worker works before it crashes again, and down how long it is away.
		up      = 4 * time.Second
		down    = 2 * time.Second
		taskRun = 8 * time.Second
	)
	cell, err := newCell(record, nil, 1, 3)
	if err != nil {
		record.tell("%v", err)
		return couldNot
	}
	defer cell.close()
	cell.configure(3, []string{service}, queue{name: "assay", prefix: "/assay/", service: service, priority: 1, attempts: 4, slack: 2.2, sloMs: 1200})
	var special *worker
	for number := range 7 {
		kind := "a"
		if number == 3 {
			kind = "b"
		}
		created, err := cell.addWorker(service, 64000, kind, "r1-1")
		if err != nil {
			record.tell("%v", err)
			return couldNot
		}
		if kind == "b" {
			special = created
		}
	}
	if err := cell.start(); err != nil {
		record.tell("%v", err)
		return couldNot
	}
	body := batchJob(1, 4000, taskRun, false)
	body.Steps[0].Requires = "b"
	id := jobID(1)
	if status := cell.submit("/assay/"+id, body); status != 200 {
		record.tell("the job was not accepted: %d", status)
		return couldNot
	}
	task := id + ".0.0.0"
	if !waitFor(5*time.Second, func() bool { return cell.seen(task).running > 0 }) {
		record.tell("the job does not run")
		return couldNot
	}
	for number := range crashes {
		if !trouble {
			break
		}
		if !waitFor(12*time.Second, func() bool { return cell.seen(task).running > 0 }) {
			record.tell("the task was not started again after crash %d; state %s", number, cell.state("/assay/"+id))
			break
		}
		time.Sleep(up)
		record.tell("%s crashes, run %d of the task is lost", special.id, cell.seen(task).runs)
		special.lose()
		time.Sleep(down)
		if err := special.serve(); err != nil {
			record.tell("%v", err)
			return couldNot
		}
	}
	time.Sleep(taskRun + 12*time.Second)
	known := cell.seen(task)
	state := cell.state("/assay/" + id)
	record.tell("%d runs of the task, ends: %v; the state of the job is %q", known.runs, known.ends, state)
	switch {
	case state == "failed" && known.ends["failed"] == 0:
		return broken
	case state == "completed":
		return held
	default:
		return couldNot
	}
}
