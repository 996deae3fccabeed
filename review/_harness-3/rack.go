package main

import "time"

// rackCase loses one idle worker for good, and then hands in a gang that is faster on one rack. Without the loss one rack has
// room for it. After the loss none has, though each would have enough if it were empty, and all racks together have more
// than twice the room.
func rackCase(record *record, trouble bool) verdict {
	const (
		service        = "offcut-sorter"
		workersPerRack = 8
		cores          = 16
		members        = 80
		taskRun        = 45 * time.Second
		watching       = 50 * time.Second
	)
	racks := []string{"r1-1", "r1-2", "r1-3"}
	// lasting is the number of tasks of one core that last on each rack.
	lasting := []int{48, 64, 64}
	cell, err := newCell(record, nil, 1, 3)
	if err != nil {
		record.tell("%v", err)
		return couldNot
	}
	defer cell.close()
	cell.configure(3, []string{service},
		queue{name: "gate-watch", prefix: "/watch/", service: service, attempts: 3, slack: 2, sloMs: 1000},
		queue{name: "assay", prefix: "/assay/", service: service, priority: 1, attempts: 4, slack: 4, sloMs: 1200})
	for _, rack := range racks {
		for range workersPerRack {
			if _, err := cell.addWorker(service, cores*1000, "a", rack); err != nil {
				record.tell("%v", err)
				return couldNot
			}
		}
	}
	if err := cell.start(); err != nil {
		record.tell("%v", err)
		return couldNot
	}
	used := 0
	for number, rack := range racks {
		body := lastingJob(lasting[number], 1000)
		body.Steps[0].Requires = rack
		id := jobID(1 + number)
		if status := cell.submit("/watch/"+id, body); status != 200 {
			record.tell("a job that lasts was not accepted: %d", status)
			return couldNot
		}
		if !waitFor(15*time.Second, func() bool { return cell.runningTasks(id) == lasting[number] }) {
			record.tell("only %d of %d tasks that last run on rack %s", cell.runningTasks(id), lasting[number], rack)
			return couldNot
		}
		used += lasting[number]
	}
	up := len(cell.workers)
	if trouble {
		idle := cell.idle(racks[0])
		if idle == nil {
			record.tell("no worker is idle")
			return couldNot
		}
		record.tell("%s on rack %s, which runs nothing, is lost for good", idle.id, racks[0])
		idle.lose()
		up--
	}
	time.Sleep(8 * time.Second)
	body := batchJob(members, 1000, taskRun, true)
	body.Steps[0].SameRack = true
	id := jobID(10)
	if status := cell.submit("/assay/"+id, body); status != 200 {
		record.tell("the gang was not accepted: %d", status)
		return couldNot
	}
	sent := time.Now()
	standing := cell.watch(service, sent, watching, []waitingJob{{id: id, tasks: members, need: members * 1000}})
	record.tell("%d of %d cores were in use as the gang of %d cores came; %d runs of it were started within %.0f s; its state: %s",
		used, up*cores, members, cell.runs(id), watching.Seconds(), cell.state("/assay/"+id))
	if len(standing) > 0 {
		record.tell("it had nothing running for 3 s on end, with capacity for it twice over and under half of its service in use")
		return broken
	}
	return held
}
