package main

import (
	"fmt"
	"sync"
	"time"
)

// A job that always fails closes the few runners that have a label to all other jobs that require it.
func init() {
	scenarios["label"] = scenario{
		options: options{instances: 4, runners: 8, otherKind: 2, cpu: 16000, maxAttempts: 4, memoryMb: 284},
		play:    playLabel,
	}
}

const (
	labelTraffic = 10 * time.Second
	labelGap     = 70 * time.Millisecond
	// In the last 3 s of the traffic one job in twenty can never be done, as on the users' sites.
	labelPoisonTime = 3 * time.Second
	labelPoisonOne  = 20
	labelWidth      = 12
)

func playLabel(site *site, trouble bool) error {
	accepted := map[string]bool{}
	var mutex sync.Mutex
	var jobs sync.WaitGroup
	number := 0
	for begun := time.Now(); time.Since(begun) < labelTraffic; time.Sleep(labelGap) {
		number++
		id := jobID(number)
		poison := trouble && time.Since(begun) > labelTraffic-labelPoisonTime && number%labelPoisonOne == 0
		jobs.Go(func() {
			if poison {
				site.submit(id, []taskSpec{{Count: labelWidth, CPU: 1400, MemMb: 256, Estimate: 300, Ms: 300, Requires: "b", Fails: true}})
				return
			}
			if site.submit(id, []taskSpec{{Count: 2, CPU: 1400, MemMb: 256, Estimate: 300, Ms: 300, Requires: "b"}}) {
				mutex.Lock()
				defer mutex.Unlock()
				accepted[id] = true
			}
		})
	}
	jobs.Wait()
	unfinished := site.unfinished(accepted)
	site.judge.note("%d of %d accepted jobs that can be done have nothing running", len(unfinished), len(accepted))
	if len(accepted) == 0 {
		return fmt.Errorf("nothing was accepted")
	}
	if len(unfinished) > 0 {
		site.judge.breaks("LOST: %d of %d accepted jobs that can be done are not completed %v after the end of the traffic, and have had nothing running for 3 s before and after that, with capacity for them twice over and under half in use",
			len(unfinished), len(accepted), finishTime)
	}
	return nil
}
