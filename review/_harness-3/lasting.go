package main

import "time"

const (
	// lastingGrace and lastingSpan are the bounds of the rule: a task that lasts has to run again from 6 s after its last
	// run, and may be missing for less than 3 s from then on.
	lastingGrace = 6 * time.Second
	lastingSpan  = 3 * time.Second
)

// lastingCase loses one worker of seven for good while batch work fills the others. The tasks that last have to run again
// in time, however full the service is.
func lastingCase(record *record, trouble bool) verdict {
	return fullCell(record, trouble, false)
}

// gangCase is lastingCase with gangs that fill the other workers.
func gangCase(record *record, trouble bool) verdict {
	return fullCell(record, trouble, true)
}

func fullCell(record *record, trouble, gangs bool) verdict {
	const (
		workers = 7
		cores   = 16
		// tasks is the number of tasks that last; they fit on one worker.
		tasks   = cores
		longRun = 100 * time.Second
		service = "offcut-sorter"
	)
	cell, err := newCell(record, nil, 1, 3)
	if err != nil {
		record.tell("%v", err)
		return couldNot
	}
	defer cell.close()
	cell.configure(3, []string{service},
		queue{name: "gate-watch", prefix: "/watch/", service: service, attempts: 3, slack: 2, sloMs: 1000},
		queue{name: "assay", prefix: "/assay/", service: service, priority: 1, attempts: 4, slack: 2, sloMs: 2000})
	for range workers {
		if _, err := cell.addWorker(service, cores*1000, "a", "r1-1"); err != nil {
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
	// The others are filled, and more work waits.
	for number := range workers + 3 {
		id := jobID(100 + number)
		if status := cell.submit("/assay/"+id, batchJob(cores, 1000, longRun, gangs)); status != 200 {
			record.tell("a batch job was not accepted: %d", status)
			return couldNot
		}
	}
	time.Sleep(8 * time.Second)
	lost := cell.busiest(lasting)
	record.tell("%d tasks that last run, %d of them on %s", cell.runningTasks(lasting), lost.runsOf(lasting), lost.id)
	lostTasks := lost.tasksOf(lasting)
	if trouble {
		record.tell("%s is lost for good, with %d tasks that last", lost.id, len(lostTasks))
		lost.lose()
	}
	lostAt := time.Now()
	time.Sleep(40 * time.Second)
	late, never := 0, 0
	var longest time.Duration
	for _, task := range lostTasks {
		known := cell.seen(task)
		if !trouble {
			if known.runs > 1 {
				late++
			}
			continue
		}
		away := time.Since(lostAt)
		if again := known.startedAfter(lostAt); again.IsZero() {
			never++
		} else if away = again.Sub(lostAt); away > lastingGrace+lastingSpan {
			late++
		}
		longest = max(longest, away)
		record.tell("%s ran again after %.1f s", task, away.Seconds())
	}
	record.tell("of %d tasks %d ran again later than 9 s after their last run, and %d not within 40 s; the longest was away for %.1f s",
		len(lostTasks), late, never, longest.Seconds())
	if late+never > 0 {
		return broken
	}
	return held
}
