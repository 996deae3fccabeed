package main

import (
	"sync"
	"sync/atomic"
	"time"
)

// A lasting task has to run again within 9 s after its last run, however its runner was lost.
func init() {
	scenarios["lasting"] = scenario{
		options: options{instances: 4, runners: 8, cpu: 16000, maxAttempts: 4, memoryMb: 284},
		play:    playLasting,
	}
}

const (
	lastingWork   = 8 * time.Second
	lastingLosses = 4
	// lastingLimit is 6 s after the last run, and 3 s more without one.
	lastingLimit = 9 * time.Second
)

func playLasting(site *site, trouble bool) error {
	type change struct {
		runner *runner
		at     time.Time
	}
	starts := make(chan change, 64)
	site.judge.onStart = func(runner *runner, run *taskRun) {
		if run.spec.Perpetual {
			starts <- change{runner, time.Now()}
		}
	}
	var live atomic.Int64
	live.Store(int64(len(site.runners)))
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		var jobs sync.WaitGroup
		defer jobs.Wait()
		ticker := time.NewTicker(100 * time.Millisecond)
		defer ticker.Stop()
		for number := 0; ; number++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			jobs.Go(func() {
				site.submit(jobID(number), []taskSpec{{Count: int(live.Load()), CPU: 600, MemMb: 256, Estimate: 700, MaxPerServer: 1, Ms: 700}})
			})
		}
	})
	defer group.Wait()
	defer close(stop)
	if !site.submit(jobID(1<<20), []taskSpec{{Count: 1, CPU: 1500, MemMb: 256, Perpetual: true}}) {
		return nil
	}
	last := <-starts
	for range lastingLosses {
		time.Sleep(lastingWork)
		if !trouble {
			continue
		}
		lost := last.runner
		live.Add(-1)
		lost.crash(true)
		lostAt := time.Now()
		select {
		case last = <-starts:
			site.judge.note("the lasting task starts again %d ms after its runner was lost", time.Since(lostAt).Milliseconds())
		case <-time.After(20 * time.Second):
			site.judge.note("the lasting task does not start again within 20 s")
		}
		if took := time.Since(lostAt); took > lastingLimit {
			site.judge.breaks("LOST: the lasting task has not run for %d ms after its runner %s was lost", took.Milliseconds(), lost.id)
		}
	}
	return nil
}
