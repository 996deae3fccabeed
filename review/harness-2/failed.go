package main

import (
	"time"
)

// A job whose runners crash under it by themselves is not to be shown as failed: only ends listed as failed count as
// attempts, and it has none.
func init() {
	scenarios["failed"] = scenario{
		options: options{instances: 4, runners: 8, cpu: 16000, maxAttempts: 4, memoryMb: 284},
		play:    playFailed,
	}
}

const (
	failedCrashes = 5
	failedAfter   = 2 * time.Second
	failedDown    = 4500 * time.Millisecond
	failedWork    = 25 * time.Second
)

func playFailed(site *site, trouble bool) error {
	id := jobID(1)
	starts := make(chan *runner, 64)
	site.judge.onStart = func(runner *runner, run *taskRun) {
		starts <- runner
	}
	if !site.submit(id, []taskSpec{{Count: 1, CPU: 4000, MemMb: 256, Estimate: failedWork.Milliseconds(), Ms: failedWork.Milliseconds()}}) {
		return nil
	}
	crashes := 0
	deadline := time.Now().Add(100 * time.Second)
	for time.Now().Before(deadline) {
		select {
		case runner := <-starts:
			if trouble && crashes < failedCrashes {
				crashes++
				go func() {
					time.Sleep(failedAfter)
					runner.crash(false)
					time.Sleep(failedDown)
					if err := runner.start(); err != nil {
						site.judge.note("runner %s does not start: %v", runner.id, err)
					}
				}()
			}
		case <-time.After(time.Second):
		}
		state := site.state(id)
		site.judge.note("GET %s: %s", id, state)
		if state == "failed" && site.judge.ends["failed"] == 0 {
			site.judge.breaks("LOST: %s is shown as failed without an end failed, after %d runners have crashed under it", id, crashes)
			return nil
		}
		if state == "completed" {
			return nil
		}
	}
	site.judge.breaks("LOST: %s does not end", id)
	return nil
}
