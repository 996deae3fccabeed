package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// restartDelay is the delay after which the platform starts a process again.
const restartDelay = 1500 * time.Millisecond

// guard is the platform's watch over the memory of a process: one over its limit is killed, and started again after a
// short delay.
func (instance *instance) guard(limitMb int) {
	for {
		time.Sleep(20 * time.Millisecond)
		instance.mutex.Lock()
		command, ended, stopped := instance.command, instance.ended, instance.stop
		instance.mutex.Unlock()
		if stopped {
			return
		}
		used := residentMb(command.Process.Pid)
		instance.mutex.Lock()
		instance.peakMb = max(instance.peakMb, used)
		instance.mutex.Unlock()
		if used <= limitMb {
			continue
		}
		instance.cell.record.tell("instance %d uses %d MB, more than its %d MB, and is killed", instance.index, used, limitMb)
		_ = command.Process.Kill()
		<-ended
		time.Sleep(restartDelay)
		instance.mutex.Lock()
		instance.kills++
		stopped = instance.stop
		instance.mutex.Unlock()
		if stopped {
			return
		}
		if err := instance.start(); err != nil {
			instance.cell.record.tell("%v", err)
			return
		}
	}
}

// residentMb returns the memory that a process uses, without that of its program file; 0 if it has ended.
func residentMb(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(status), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kilobytes, _ := strconv.Atoi(fields[1])
			return kilobytes >> 10
		}
	}
	return 0
}

// memoryCase hands in jobs with bodies of the largest legal size at once, and then ordinary ones. No process may go over its
// memory, and the ordinary jobs have to be run.
func memoryCase(record *record, trouble bool) verdict {
	const (
		service = "offcut-sorter"
		// largeJobs have maxSteps steps each, which makes a body of 253 KB; the configuration allows 262144 bytes.
		largeJobs = 40
		maxSteps  = 11000
		fewSteps  = 10
		ordinary  = 20
		taskRun   = 1900 * time.Millisecond
		watching  = 60 * time.Second
	)
	cell, err := newCell(record, nil, 1, 4)
	if err != nil {
		record.tell("%v", err)
		return couldNot
	}
	defer cell.close()
	cell.configure(3, []string{service},
		queue{name: "assay", prefix: "/assay/", service: service, priority: 1, attempts: 4, slack: 2.2, sloMs: 1200},
		queue{name: "credit", prefix: "/credit/", service: service, priority: 2, attempts: 2, slack: 4, sloMs: 3000})
	for range 8 {
		if _, err := cell.addWorker(service, 64000, "a", "r1-1"); err != nil {
			record.tell("%v", err)
			return couldNot
		}
	}
	if err := cell.start(); err != nil {
		record.tell("%v", err)
		return couldNot
	}
	for _, instance := range cell.instances {
		go instance.guard(cell.memoryMb)
	}
	steps := fewSteps
	if trouble {
		steps = maxSteps
	}
	large := manySteps(steps, taskRun)
	statuses := make(chan int, largeJobs)
	for number := range largeJobs {
		go func() {
			statuses <- cell.submit("/assay/"+jobID(100+number), large)
		}()
	}
	acceptedLarge := 0
	for range largeJobs {
		if <-statuses == http.StatusOK {
			acceptedLarge++
		}
	}
	record.tell("%d of %d jobs of %d steps accepted, each with a body of %d bytes", acceptedLarge, largeJobs, steps, len(large))
	var accepted []waitingJob
	for number := range ordinary {
		id := jobID(1 + number)
		if cell.submit("/credit/"+id, batchJob(2, 1000, taskRun, false)) == http.StatusOK {
			accepted = append(accepted, waitingJob{id: id, tasks: 2, need: 2000})
		}
	}
	record.tell("%d of %d ordinary jobs accepted; nothing else comes", len(accepted), ordinary)
	if len(accepted) == 0 {
		return couldNot
	}
	standing := cell.watch(service, time.Now(), watching, accepted)
	notRun := 0
	for _, job := range accepted {
		runs := cell.runs(job.id)
		record.add("job %s: %d runs, state %s", job.id, runs, cell.state("/credit/"+job.id))
		if runs == 0 {
			notRun++
		}
	}
	overloaded := 0
	for _, instance := range cell.instances {
		instance.mutex.Lock()
		record.tell("instance %d was killed %d times for its memory, of which it used %d MB at most", instance.index, instance.kills, instance.peakMb)
		if instance.kills >= 3 {
			overloaded++
		}
		instance.mutex.Unlock()
	}
	record.tell("%d of the %d ordinary jobs that were accepted had no run within %.0f s; %d of %d instances were killed three times or more",
		notRun, len(accepted), watching.Seconds(), overloaded, len(cell.instances))
	if len(standing) > 0 {
		record.tell("%d of them had nothing running for 3 s on end, with capacity for them twice over and under half of the service in use", len(standing))
		return broken
	}
	return held
}

// manySteps returns the body of a job with that many steps of one task.
func manySteps(steps int, taskRun time.Duration) json.RawMessage {
	var text strings.Builder
	spec, _ := json.Marshal(work{
		Steps: []stepWork{{
			Milliseconds: int(taskRun.Milliseconds()),
			CPU:          100,
		}},
	}.spec())
	fmt.Fprintf(&text, `{"spec":%s,"steps":[`, spec)
	for number := range steps {
		if number > 0 {
			text.WriteByte(',')
		}
		text.WriteString(`{"count":1,"cpu":100}`)
	}
	text.WriteString("]}")
	return json.RawMessage(text.String())
}
