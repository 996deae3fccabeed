package main

import (
	"fmt"
	"sync"
	"time"
)

// A runner that restarts under its ID may be of another kind and capacity. The new incarnation answers the leader before
// its entry has reached it.
func init() {
	scenarios["kind"] = scenario{
		options: options{instances: 4, runners: 8, cpu: 16000, maxAttempts: 4, memoryMb: 284},
		play:    playKind,
	}
}

const (
	kindTime     = 60 * time.Second
	kindCrashGap = 3 * time.Second
	kindDown     = time.Second
	kindSmallCPU = 2000
)

func playKind(site *site, trouble bool) error {
	site.judge.onStart = func(runner *runner, run *taskRun) {
		if run.spec.Requires != "" && run.spec.Requires != runner.kind && run.spec.Requires != runner.rack {
			site.judge.breaks("ROUTE: %s, which requires the label %q, starts on %s, whose labels are %q and %q, %d ms after its start",
				run.task, run.spec.Requires, runner.id, runner.kind, runner.rack, runner.clock().Milliseconds())
		}
		if used := runner.used(); used > runner.cpu {
			site.judge.breaks("LIMIT: the start of %s brings %s to %d of %d thousandths of a core, %d ms after its start",
				run.task, runner.id, used, runner.cpu, runner.clock().Milliseconds())
		}
	}
	var group sync.WaitGroup
	begun := time.Now()
	group.Go(func() {
		var jobs sync.WaitGroup
		for number := 0; time.Since(begun) < kindTime; number++ {
			jobs.Go(func() {
				site.submit(jobID(number), []taskSpec{{Count: 4, CPU: 3000, MemMb: 256, Estimate: 600, Requires: "a", Ms: 600}})
			})
			time.Sleep(100 * time.Millisecond)
		}
		jobs.Wait()
	})
	if trouble {
		group.Go(func() {
			for turn := 0; time.Since(begun) < kindTime-2*kindCrashGap; turn++ {
				time.Sleep(kindCrashGap)
				runner := site.runners[turn%4]
				runner.crash(false)
				time.Sleep(kindDown)
				runner.mutex.Lock()
				if turn/4%2 == 0 {
					runner.kind, runner.cpu = "b", kindSmallCPU
				} else {
					runner.kind, runner.cpu = "a", site.options.cpu
				}
				runner.mutex.Unlock()
				if err := runner.start(); err != nil {
					site.judge.note("runner %s does not start: %v", runner.id, err)
				}
			}
		})
	}
	group.Wait()
	time.Sleep(3 * time.Second)
	if site.judge.starts == 0 {
		return fmt.Errorf("nothing has started")
	}
	return nil
}
