package main

import (
	"fmt"
	"time"
)

const (
	// finish is finish_s, the time after the end of the traffic from which a job must not stand still, and standstill how
	// long it may have nothing running from then on.
	finish     = 14 * time.Second
	standstill = 3 * time.Second
)

// waitingJob is an accepted job of one step whose turn has come, with what all its tasks need in thousandths of a core.
type waitingJob struct {
	id    string
	tasks int
	need  int64
}

// watch applies the rule LOST to jobs from finish after the end of the traffic on, until a time after that end: it returns
// the jobs that had nothing running for standstill on end while their service had room for them twice over, beside what
// runs, and under half of its capacity was in use.
func (cell *cell) watch(service string, trafficEnd time.Time, watched time.Duration, jobs []waitingJob) []waitingJob {
	time.Sleep(time.Until(trafficEnd.Add(finish)))
	since := map[string]time.Time{}
	found := map[string]bool{}
	most := int64(0)
	capacity := int64(0)
	for time.Since(trafficEnd) < watched {
		now := time.Now()
		capacity = cell.capacity(service)
		cell.mutex.Lock()
		used := cell.used[service]
		most = max(most, used)
		for _, job := range jobs {
			running, done := 0, 0
			for index := range job.tasks {
				if known := cell.history[fmt.Sprintf("%s.0.0.%d", job.id, index)]; known != nil {
					running += known.running
					done += min(known.ends["done"], 1)
				}
			}
			idle := running == 0 && done < job.tasks && 2*used < capacity && capacity-used >= 2*job.need
			switch {
			case !idle:
				delete(since, job.id)
			case since[job.id].IsZero():
				since[job.id] = now
			case now.Sub(since[job.id]) >= standstill:
				found[job.id] = true
			}
		}
		cell.mutex.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
	cell.record.tell("from %.0f s after the end of the traffic on, at most %.1f of the %.1f cores of %s were in use", finish.Seconds(), float64(most)/1000, float64(capacity)/1000, service)
	var standing []waitingJob
	for _, job := range jobs {
		if found[job.id] {
			standing = append(standing, job)
		}
	}
	return standing
}

// capacity returns that of the workers of a service that are up.
func (cell *cell) capacity(service string) int64 {
	sum := int64(0)
	for _, worker := range cell.workers {
		worker.mutex.Lock()
		if worker.service == service && !worker.lost {
			sum += worker.capacity
		}
		worker.mutex.Unlock()
	}
	return sum
}
