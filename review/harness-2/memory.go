package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Jobs of legal size come that are larger than usual. The platform kills a process that exceeds its memory.
func init() {
	scenarios["memory"] = scenario{
		options: options{instances: 4, runners: 48, cpu: 16000, maxAttempts: 4, memoryMb: 284},
		play:    playMemory,
	}
}

const (
	memoryJobs    = 20
	memoryTasks   = 100_000
	memoryTraffic = 45 * time.Second
	restartDelay  = time.Second
)

// resident returns the resident memory of a process in bytes.
func resident(pid int) int64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(content) {
		if fields := strings.Fields(string(line)); len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// guardMemory kills and restarts processes that exceed their memory, as the platform does, until stop is closed.
func (site *site) guardMemory(stop chan struct{}, exceeded func(instance *instance)) {
	limit := int64(site.options.memoryMb) << 20
	peak := map[int]int64{}
	defer func() {
		for index, bytes := range peak {
			site.judge.note("instance %d has used %d MB at most", index, bytes>>20)
		}
	}()
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		for _, instance := range site.instances {
			instance.mutex.Lock()
			command, done, ended := instance.command, instance.done, instance.ended
			instance.mutex.Unlock()
			if ended {
				continue
			}
			used := resident(command.Process.Pid)
			peak[instance.index] = max(peak[instance.index], used)
			if used > limit {
				site.judge.note("instance %d uses %d MB of %d MB and is killed", instance.index, used>>20, site.options.memoryMb)
				exceeded(instance)
				instance.signal(syscall.SIGKILL)
				<-done
				go func() {
					time.Sleep(restartDelay)
					if err := instance.start(); err != nil {
						site.judge.note("instance %d does not start: %v", instance.index, err)
					}
				}()
			}
		}
	}
}

func playMemory(site *site, trouble bool) error {
	kills := map[int]int{}
	stop := make(chan struct{})
	var guard sync.WaitGroup
	guard.Go(func() {
		site.guardMemory(stop, func(instance *instance) { kills[instance.index]++ })
	})
	begun := time.Now()
	var jobs sync.WaitGroup
	accepted := map[string]bool{}
	var mutex sync.Mutex
	for number := 0; time.Since(begun) < memoryTraffic; number++ {
		number := number
		if trouble && number%5 == 3 && number/5 < memoryJobs {
			jobs.Go(func() {
				site.submit(jobID(1<<20+number), []taskSpec{{Count: memoryTasks, CPU: 4000, MemMb: 1024, Estimate: 1000, Ms: 1000}})
			})
		}
		jobs.Go(func() {
			id := jobID(number)
			if site.submit(id, []taskSpec{{Count: 4, CPU: 1000, MemMb: 256, Estimate: 500, Ms: 500}}) {
				mutex.Lock()
				defer mutex.Unlock()
				accepted[id] = true
			}
		})
		time.Sleep(200 * time.Millisecond)
	}
	jobs.Wait()
	unfinished := site.unfinished(accepted)
	close(stop)
	guard.Wait()
	thrice := 0
	for _, count := range kills {
		if count >= 3 {
			thrice++
		}
	}
	site.judge.note("kills by instance: %v; %d of %d accepted ordinary jobs are not completed", kills, len(unfinished), len(accepted))
	if thrice >= 2 {
		site.judge.breaks("Fault: %d of %d processes exceed their memory three times or more", thrice, len(site.instances))
	}
	if len(unfinished) > 0 {
		site.judge.breaks("LOST: %d of %d accepted ordinary jobs are not completed %v after the end of the traffic, and have had nothing running for 3 s before and after that, with capacity for them twice over and under half in use",
			len(unfinished), len(accepted), finishTime)
	}
	return nil
}
