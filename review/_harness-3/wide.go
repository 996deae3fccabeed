package main

import "time"

// wideCase hands in one job whose tasks all fit at once. Its record is larger than a value of the store may be.
func wideCase(record *record, trouble bool) verdict {
	const (
		service = "offcut-sorter"
		workers = 8
		taskRun = 4200 * time.Millisecond
	)
	width := 400
	if trouble {
		width = 12000
	}
	cell, err := newCell(record, nil, 1, 3)
	if err != nil {
		record.tell("%v", err)
		return couldNot
	}
	defer cell.close()
	cell.configure(3, []string{service}, queue{name: "assay", prefix: "/assay/", service: service, priority: 1, attempts: 4, slack: 2.2, sloMs: 1200})
	for range workers {
		if _, err := cell.addWorker(service, 64000, "a", "r1-1"); err != nil {
			record.tell("%v", err)
			return couldNot
		}
	}
	if err := cell.start(); err != nil {
		record.tell("%v", err)
		return couldNot
	}
	id := jobID(1)
	body := batchJob(width, 20, taskRun, false)
	body.Steps[0].MemMb = 1
	if status := cell.submit("/assay/"+id, body); status != 200 {
		record.tell("the job was not accepted: %d", status)
		return held
	}
	sent := time.Now()
	record.tell("a job of %d tasks was accepted; nothing else comes", width)
	for time.Since(sent) < 60*time.Second && cell.runs(id) == 0 {
		time.Sleep(50 * time.Millisecond)
	}
	waited := time.Since(sent)
	record.tell("nothing of the job ran for %.1f s; its state: %s; refused writes of its record: %d", waited.Seconds(), cell.state("/assay/"+id), cell.store.refusals("record/"+id))
	if waited > finish+standstill {
		return broken
	}
	return held
}
