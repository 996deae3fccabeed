package main

import (
	"fmt"
	"sync"
	"time"
)

// A lasting step of which one task finds no place closes the runners of its other tasks to all other work.
func init() {
	scenarios["held"] = scenario{
		options: options{instances: 4, runners: 8, cpu: 16000, maxAttempts: 4, memoryMb: 284},
		play:    playHeld,
	}
}

const (
	heldWarmUp  = 3 * time.Second
	heldFailGap = time.Second
	heldFirst   = 6 * time.Second
	heldSettle  = 17 * time.Second
	heldTraffic = 10 * time.Second
)

func playHeld(site *site, trouble bool) error {
	lasting := jobID(1 << 20)
	if !site.submit(lasting, []taskSpec{{Count: len(site.runners), CPU: 500, MemMb: 256, Perpetual: true, MaxPerServer: 1, FailMs: heldFirst.Milliseconds(), FailGapMs: heldFailGap.Milliseconds()}}) {
		return fmt.Errorf("the lasting job was not accepted")
	}
	// The lasting tasks are at work. The first run of each fails once, 6 s to 13 s after its start, and is started again.
	time.Sleep(heldWarmUp)
	if trouble {
		site.runners[0].crash(true)
	}
	time.Sleep(heldSettle)
	accepted := map[string]bool{}
	var mutex sync.Mutex
	var jobs sync.WaitGroup
	number := 0
	for begun := time.Now(); time.Since(begun) < heldTraffic; time.Sleep(200 * time.Millisecond) {
		number++
		id := jobID(number)
		jobs.Go(func() {
			if site.submit(id, []taskSpec{{Count: 2, CPU: 1000, MemMb: 256, Estimate: 500, Ms: 500}}) {
				mutex.Lock()
				defer mutex.Unlock()
				accepted[id] = true
			}
		})
	}
	jobs.Wait()
	unfinished := site.unfinished(accepted)
	site.judge.note("%d of %d accepted jobs have nothing running", len(unfinished), len(accepted))
	if len(accepted) == 0 {
		return fmt.Errorf("nothing was accepted")
	}
	if len(unfinished) > 0 {
		site.judge.breaks("LOST: %d of %d accepted jobs are not completed %v after the end of the traffic, and have had nothing running for 3 s before and after that, with capacity for them twice over and under half in use",
			len(unfinished), len(accepted), finishTime)
	}
	return nil
}
