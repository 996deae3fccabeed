package main

import (
	"fmt"
	"sync"
	"time"
)

// Lasting tasks that were lost with three runners each close their runners to all other work for 30 s.
func init() {
	scenarios["closed"] = scenario{
		options: options{instances: 4, runners: 8, cpu: 16000, maxAttempts: 4, memoryMb: 284},
		play:    playClosed,
	}
}

const (
	closedRounds = 3
	closedGap    = 1200 * time.Millisecond
	closedDown   = 500 * time.Millisecond
)

func playClosed(site *site, trouble bool) error {
	if !site.submit(jobID(1<<20), []taskSpec{{Count: len(site.runners), CPU: 500, MemMb: 256, Perpetual: true, MaxPerServer: 1}}) {
		return fmt.Errorf("the lasting job was not accepted")
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	accepted := map[string]bool{}
	var mutex sync.Mutex
	var traffic sync.WaitGroup
	traffic.Go(func() {
		var jobs sync.WaitGroup
		defer jobs.Wait()
		for number := 0; ; number++ {
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
			}
			id := jobID(number)
			jobs.Go(func() {
				if site.submit(id, []taskSpec{{Count: 2, CPU: 1000, MemMb: 256, Estimate: 500, Ms: 500}}) {
					mutex.Lock()
					defer mutex.Unlock()
					accepted[id] = true
				}
			})
		}
	})
	for range closedRounds {
		for _, runner := range site.runners {
			begun := time.Now()
			if trouble {
				runner.crash(false)
				time.Sleep(closedDown)
				if err := runner.start(); err != nil {
					return err
				}
			}
			time.Sleep(closedGap - time.Since(begun))
		}
	}
	close(stop)
	traffic.Wait()
	unfinished := site.unfinished(accepted)
	site.judge.note("%d of %d accepted jobs have nothing running", len(unfinished), len(accepted))
	if len(unfinished) > 0 {
		site.judge.breaks("LOST: %d of %d accepted jobs are not completed %v after the end of the traffic, and have had nothing running for 3 s before and after that, with capacity for them twice over and under half in use",
			len(unfinished), len(accepted), finishTime)
	}
	return nil
}
