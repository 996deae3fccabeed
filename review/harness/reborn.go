package main

import (
	"fmt"
	"time"
)

// playReborn restarts each runner in turn under its id while the store is slow.
func playReborn(record *record) []string {
	const runners, crashes, roundTime, downTime = 8, 2, 8 * time.Second, 100 * time.Millisecond
	queue := route{name: "batch", maxAttempts: 3}
	var labels [][]string
	for index := range runners {
		labels = append(labels, []string{"a", fmt.Sprintf("r1-%d", index)})
	}
	cell := newCell(directory, record, 3, labels, queue)
	time.Sleep(time.Second)
	begin := time.Now()
	stop := make(chan struct{})
	ended := make(chan int)
	go func() {
		job := 0
		for ; ; job++ {
			select {
			case <-stop:
				ended <- job
				return
			case <-time.After(time.Until(begin.Add(time.Duration(job) * 400 * time.Millisecond))):
			}
			round := min(int(time.Since(begin)/roundTime), runners-1)
			id := fmt.Sprintf("62d4f10e98ab%04x", job)
			go cell.submit(queue, id, work{Ms: 100, SpreadMs: 200}, step{Count: 10, CPU: 400, MemMb: 256, EstimateMs: 1000, Requires: labels[round][1]})
		}
	}()
	record.say("clients hand in 5 jobs in 2 s of 10 tasks of 0.1 to 1.9 s; for 8 s each, they need the rack of one of the 8 runners")
	for round, runner := range cell.runners {
		slowAt := begin.Add(time.Duration(round)*roundTime + 3*time.Second)
		time.Sleep(time.Until(slowAt))
		cell.store.setSlow(60)
		record.say("the store takes 60 times as long to answer, for 4.5 s")
		// The crashes come at any point of the interval of 0.4 s between two jobs.
		time.Sleep(time.Duration(round) * 50 * time.Millisecond)
		for range crashes {
			time.Sleep(1300 * time.Millisecond)
			if trouble {
				runner.crash()
				time.Sleep(downTime)
				runner.boot()
				record.say("runner %s has crashed and is back after %s", runner.id, downTime)
			}
		}
		time.Sleep(time.Until(slowAt.Add(4500 * time.Millisecond)))
		cell.store.setSlow(1)
	}
	close(stop)
	jobs := <-ended
	time.Sleep(8 * time.Second)
	record.say("%d jobs were handed in; %d runs ended done", jobs, record.count("done"))
	return record.twice()
}
