package main

import (
	"fmt"
	"sync"
	"time"
)

// Gangs that can never be done keep the runners that they may use from jobs that wait for longer, in a cell that is idle.
func init() {
	scenarios["starve"] = scenario{
		options: options{instances: 4, runners: 12, cpu: 16000, maxAttempts: 4, memoryMb: 284, routes: []route{
			{name: "batch", priority: 2, slack: 4, hint: adviceHint()},
			{name: "merge", priority: 1, slack: 2.2, hint: adviceHint()},
		}},
		play: playStarve,
	}
}

const (
	// One in twenty of the jobs of one queue, over 3 s, can never be done, as on the users' sites.
	starvePoisonTime = 3 * time.Second
	starvePoisonGap  = 25 * time.Millisecond
	starvePoisonOne  = 20
	starveTraffic    = 10 * time.Second
	starveWork       = 24 * time.Second
	// The gangs that can never be done are as wide, as large and as long as those of the users' sites at most: two of their
	// tasks fit a runner, and there are 12 runners.
	starveWidth = 30
	starveCPU   = 7600
	starveLong  = 50 * time.Second
)

func playStarve(site *site, trouble bool) error {
	batch, merge := &site.options.routes[0], &site.options.routes[1]
	accepted := map[string]bool{}
	var mutex sync.Mutex
	var jobs sync.WaitGroup
	submit := func(route *route, id string, doable bool, steps []taskSpec) {
		jobs.Go(func() {
			if site.submitTo(route, id, steps) && doable {
				mutex.Lock()
				defer mutex.Unlock()
				accepted[id] = true
			}
		})
	}
	number := 0
	for begun := time.Now(); time.Since(begun) < starvePoisonTime; time.Sleep(starvePoisonGap) {
		number++
		if trouble && number%starvePoisonOne == 0 {
			submit(merge, jobID(number), false, []taskSpec{{Count: starveWidth, CPU: starveCPU, MemMb: 1024, Estimate: starveLong.Milliseconds(), Gang: true, Ms: starveLong.Milliseconds()}})
			continue
		}
		submit(merge, jobID(number), true, []taskSpec{{Count: 2, CPU: 500, MemMb: 256, Estimate: 300, Ms: 300}})
	}
	for begun := time.Now(); time.Since(begun) < starveTraffic; time.Sleep(time.Second) {
		number++
		submit(batch, jobID(number), true, []taskSpec{{Count: 2, CPU: 1000, MemMb: 256, Estimate: starveWork.Milliseconds(), Ms: starveWork.Milliseconds()}})
	}
	jobs.Wait()
	unfinished := site.unfinished(accepted)
	site.judge.note("%d of %d accepted jobs that can be done have nothing running", len(unfinished), len(accepted))
	if len(accepted) == 0 {
		return fmt.Errorf("nothing was accepted")
	}
	if len(unfinished) > 0 {
		site.judge.breaks("LOST: %d of %d accepted jobs that can be done are not completed %v after the end of the traffic, and have had nothing running for 3 s before and after that, with capacity for them twice over and under half in use: %v",
			len(unfinished), len(accepted), finishTime, unfinished)
	}
	return nil
}
