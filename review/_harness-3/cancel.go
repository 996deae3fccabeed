package main

import (
	"net/http"
	"time"
)

// cancelBound is cancel_ms: later than that after the cancelling of a job was acknowledged nothing of it may start.
const cancelBound = 3 * time.Second

// contact is contactMs, after which the store counts as stable again.
const contact = 4 * time.Second

// cancelCase has clients that leave before their deadline, and cancel the job that they have not heard of, while the store
// loses the answers of a share of the writes and does these late.
func cancelCase(record *record, trouble bool) verdict {
	const (
		service = "offcut-sorter"
		// clients hand in a job each; those whose number is 0 or 1 modulo 5 leave, a share of 0.4.
		clients = 100
		// lostShare is the share of the writes that are done late, and window how long the store does so.
		lostShare = 0.35
		window    = 4 * time.Second
		minLate   = time.Second
		maxLate   = 6 * time.Second
		// patience is when these leave, half of the objective of melt-lot-assay.
		patience = 600 * time.Millisecond
		taskRun  = 4200 * time.Millisecond
	)
	cell, err := newCell(record, nil, 1, 3)
	if err != nil {
		record.tell("%v", err)
		return couldNot
	}
	defer cell.close()
	cell.configure(3, []string{service}, queue{name: "assay", prefix: "/assay/", service: service, priority: 1, attempts: 4, slack: 2.2, sloMs: 1200})
	for range 6 {
		if _, err := cell.addWorker(service, 64000, "a", "r1-1"); err != nil {
			record.tell("%v", err)
			return couldNot
		}
	}
	if err := cell.start(); err != nil {
		record.tell("%v", err)
		return couldNot
	}
	// Three steps, one after the other.
	body := job{
		Spec: work{Steps: []stepWork{{Milliseconds: int(taskRun.Milliseconds())}, {Milliseconds: int(taskRun.Milliseconds())}, {Milliseconds: int(taskRun.Milliseconds())}}}.spec(),
		Steps: []step{
			{Count: 2, CPU: 1000, MemMb: 64, EstimateMs: taskRun.Milliseconds()},
			{Count: 2, CPU: 1000, MemMb: 64, EstimateMs: taskRun.Milliseconds(), After: []int{0}},
			{Count: 2, CPU: 1000, MemMb: 64, EstimateMs: taskRun.Milliseconds(), After: []int{1}},
		},
	}
	if trouble {
		record.tell("for %s the store does %.0f %% of the writes 1 to 6 s late and does not answer them", window, 100*lostShare)
		cell.store.loseWrites(lostShare, minLate, maxLate)
	}
	type cancelled struct {
		id       string
		accepted bool
		status   int
		at       time.Time
	}
	results := make(chan cancelled, clients)
	for number := range clients {
		go func() {
			id := jobID(number + 1)
			instance := number % len(cell.instances)
			if number%5 > 1 {
				cell.submit("/assay/"+id, body)
				results <- cancelled{}
				return
			}
			status, _ := cell.call(http.MethodPost, instance, "/assay/"+id, body, patience)
			record.add("POST %s at instance %d by a client that leaves: %d", id, instance, status)
			result := cancelled{
				id: id,
			}
			for attempt := range 10 {
				instance := (number + attempt) % len(cell.instances)
				result.status, _ = cell.call(http.MethodDelete, instance, "/assay/"+id, nil, callTimeout)
				result.at = time.Now()
				record.add("DELETE %s at instance %d: %d", id, instance, result.status)
				if result.status == http.StatusOK || result.status == http.StatusGone {
					break
				}
				time.Sleep(200 * time.Millisecond)
			}
			results <- result
		}()
		time.Sleep(window / clients)
	}
	cell.store.loseWrites(0, 0, 0)
	record.tell("the store loses no more writes")
	var all []cancelled
	for range clients {
		if result := <-results; result.id != "" {
			all = append(all, result)
		}
	}
	time.Sleep(maxLate + 4*taskRun)
	lastLate := cell.store.lastLateWrite()
	// inTouch is from when the store counts as stable, contactMs after the last write that was done late.
	inTouch := lastLate.Add(contact)
	late, started, unknown := 0, 0, 0
	for _, result := range all {
		if result.status != http.StatusOK && result.status != http.StatusGone {
			unknown++
			continue
		}
		latest := time.Time{}
		starts := 0
		for _, task := range []string{".0.0.0", ".0.0.1", ".0.1.0", ".0.1.1", ".0.2.0", ".0.2.1"} {
			if known := cell.seen(result.id + task); known.runs > 0 {
				starts += known.runs
				if last := known.lastStart(); last.After(latest) {
					latest = last
				}
			}
		}
		if starts > 0 {
			started++
		}
		if after := latest.Sub(result.at); starts > 0 && after > cancelBound && latest.After(inTouch) {
			late++
			record.tell("%s: DELETE was answered %d, and %d runs were started, the last of them %.1f s later; state %s", result.id, result.status, starts, after.Seconds(), cell.state("/assay/"+result.id))
		}
	}
	record.tell("%d cancelled jobs, the cancelling of %d not acknowledged; %d ran all the same, %d of them with starts later than 3 s after the acknowledgement and later than 4 s after the store's last late write; the store did %d writes late",
		len(all), unknown, started, late, cell.store.lateWrites)
	switch {
	case late > 0:
		return broken
	case unknown > len(all)/4:
		return couldNot
	default:
		return held
	}
}
