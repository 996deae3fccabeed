package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// A lasting task whose runner is lost shortly before the leader changes has to run again within 9 s as well.
func init() {
	scenarios["takeover"] = scenario{
		options: options{instances: 4, runners: 8, cpu: 16000, maxAttempts: 4, memoryMb: 284},
		play:    playTakeover,
	}
}

const (
	takeoverWarmUp = 25 * time.Second
	takeoverKill   = 900 * time.Millisecond
	takeoverDown   = 900 * time.Millisecond
)

func playTakeover(site *site, trouble bool) error {
	starts := make(chan *runner, 64)
	site.judge.onStart = func(runner *runner, run *taskRun) {
		if run.spec.Perpetual {
			starts <- runner
		}
	}
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
				site.submit(jobID(number), []taskSpec{{Count: 7, CPU: 600, MemMb: 256, Estimate: 700, MaxPerServer: 1, Ms: 700}})
			})
		}
	})
	defer group.Wait()
	defer close(stop)
	if !site.submit(jobID(1<<20), []taskSpec{{Count: 1, CPU: 1500, MemMb: 256, Perpetual: true}}) {
		return fmt.Errorf("the lasting job was not accepted")
	}
	lost := <-starts
	time.Sleep(takeoverWarmUp)
	leader := site.leader()
	if leader == nil {
		return fmt.Errorf("no instance leads")
	}
	if !trouble {
		time.Sleep(2 * lastingLimit)
		return nil
	}
	lost.crash(true)
	lostAt := time.Now()
	time.Sleep(takeoverKill)
	leader.signal(syscall.SIGKILL)
	<-leader.done
	time.Sleep(takeoverDown)
	if err := leader.start(); err != nil {
		return err
	}
	select {
	case <-starts:
	case <-time.After(30 * time.Second):
	}
	took := time.Since(lostAt)
	site.judge.note("the lasting task starts again %d ms after its runner was lost", took.Milliseconds())
	if took > lastingLimit {
		site.judge.breaks("LOST: the lasting task has not run for %d ms after its runner %s was lost", took.Milliseconds(), lost.id)
	}
	return nil
}
