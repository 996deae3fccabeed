package main

import "time"

// takeoverCase loses a worker for good and kills the leader 4 s later, which starts again. The cell is mostly free.
func takeoverCase(record *record, trouble bool) verdict {
	const (
		service = "offcut-sorter"
		tasks   = 4
		gap     = 4 * time.Second
	)
	cell, err := newCell(record, nil, 1, 4)
	if err != nil {
		record.tell("%v", err)
		return couldNot
	}
	defer cell.close()
	cell.configure(3, []string{service}, queue{name: "gate-watch", prefix: "/watch/", service: service, attempts: 3, slack: 2, sloMs: 1000})
	for range 7 {
		if _, err := cell.addWorker(service, 16000, "a", "r1-1"); err != nil {
			record.tell("%v", err)
			return couldNot
		}
	}
	if err := cell.start(); err != nil {
		record.tell("%v", err)
		return couldNot
	}
	lasting := jobID(1)
	if status := cell.submit("/watch/"+lasting, lastingJob(tasks, 1000)); status != 200 {
		record.tell("the job that lasts was not accepted: %d", status)
		return couldNot
	}
	if !waitFor(10*time.Second, func() bool { return cell.runningTasks(lasting) == tasks }) {
		record.tell("only %d of %d tasks that last run", cell.runningTasks(lasting), tasks)
		return couldNot
	}
	time.Sleep(8 * time.Second)
	lost := cell.busiest(lasting)
	lostTasks := lost.tasksOf(lasting)
	if !trouble {
		return held
	}
	record.tell("%s is lost for good, with %d tasks that last", lost.id, len(lostTasks))
	lost.lose()
	lostAt := time.Now()
	time.Sleep(gap)
	leader := cell.store.leader()
	for _, instance := range cell.instances {
		if instance.name() != leader {
			continue
		}
		record.tell("the leader %s is killed, and starts again", leader)
		instance.kill()
		time.Sleep(restartDelay)
		if err := instance.start(); err != nil {
			record.tell("%v", err)
			return couldNot
		}
	}
	// The 4 s before the 3 s in which a task is missing have to be calm.
	latest := max(lastingGrace, time.Since(lostAt)+contact) + lastingSpan
	time.Sleep(15 * time.Second)
	late := 0
	for _, task := range lostTasks {
		known := cell.seen(task)
		away := time.Since(lostAt)
		if again := known.startedAfter(lostAt); !again.IsZero() {
			away = again.Sub(lostAt)
		}
		if away > latest {
			late++
		}
		record.tell("%s ran again after %.1f s", task, away.Seconds())
	}
	record.tell("%d of %d tasks ran again later than %.1f s after their last run", late, len(lostTasks), latest.Seconds())
	if late > 0 {
		return broken
	}
	return held
}
