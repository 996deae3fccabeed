package main

import (
	"fmt"
	"sync"
	"time"
)

// A job whose tasks all fit at once is accepted, and none of them starts.
func init() {
	scenarios["wide"] = scenario{
		options: options{instances: 4, runners: 48, cpu: 16000, maxAttempts: 4, memoryMb: 284},
		play:    playWide,
	}
}

const (
	wideTasks   = 16000
	wideTraffic = 20 * time.Second
	// finishTime is how long after the end of the traffic jobs are asked for.
	finishTime = 14 * time.Second
)

func playWide(site *site, trouble bool) error {
	wide := jobID(1 << 20)
	var mutex sync.Mutex
	running, started := 0, 0
	var lastRunning time.Time
	site.judge.onStart = func(_ *runner, run *taskRun) {
		if job, _, _, _ := splitTask(run.task); job == wide {
			mutex.Lock()
			defer mutex.Unlock()
			running++
			started++
		}
	}
	site.judge.onEnd = func(_ *runner, run *taskRun, _ string) {
		if job, _, _, _ := splitTask(run.task); job == wide {
			mutex.Lock()
			defer mutex.Unlock()
			if running--; running == 0 {
				lastRunning = time.Now()
			}
		}
	}
	begun := time.Now()
	if trouble {
		lastRunning = time.Now()
		if !site.submit(wide, []taskSpec{{Count: wideTasks, CPU: 20, MemMb: 30, Estimate: 1000, Ms: 1000}}) {
			return nil
		}
	}
	var jobs sync.WaitGroup
	number := 0
	for ; time.Since(begun) < wideTraffic; number++ {
		number := number
		jobs.Go(func() {
			site.submit(jobID(number), []taskSpec{{Count: 4, CPU: 1000, MemMb: 256, Estimate: 500, Ms: 500}})
		})
		time.Sleep(100 * time.Millisecond)
	}
	jobs.Wait()
	time.Sleep(finishTime)
	for other := range number {
		if state := site.state(jobID(other)); state != "completed" {
			site.judge.breaks("LOST: %s is %s %v after the end of the traffic", jobID(other), state, finishTime)
		}
	}
	if !trouble {
		return nil
	}
	state := site.state(wide)
	mutex.Lock()
	defer mutex.Unlock()
	site.judge.note("%s: %s, %d tasks have started, %d run; the store has refused %d values that were too large", wide, state, started, running, site.store.tooLarge)
	if state != "completed" && running == 0 && time.Since(lastRunning) > 3*time.Second {
		site.judge.breaks("LOST: %s was accepted, is %s and has had nothing running for %d s, with %d cores free; %d of its %d tasks have started",
			wide, state, int(time.Since(lastRunning).Seconds()), len(site.runners)*int(site.options.cpu)/1000, started, wideTasks)
	}
	if started == 0 && state == "completed" {
		return fmt.Errorf("completed without a start")
	}
	return nil
}
