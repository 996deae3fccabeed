// Package sequencer simulates batch jobs with deadlines on identical slots under several scheduling policies.
package sequencer

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"pomelomoor/internal/placement/orderer"
	"pomelomoor/internal/work/descriptor"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Job is a simulated batch job with one task.
type Job struct {
	Entry orderer.Entry
	// runTime is the actual run time. Entry.Estimate differs from it.
	runTime time.Duration
}

// Scenario describes a simulated workload.
type Scenario struct {
	Name string
	// load is the mean utilization of the slots, and Teams the number of teams.
	load  float64
	Teams int
	// estimateSigma is the standard deviation of ln(estimate / run time).
	estimateSigma float64
	// The time from arrival to deadline exceeds the run time by up to fixedSlack plus slackFactor times the
	// run time. Both parts are drawn uniformly and independently.
	slackFactor float64
	fixedSlack  time.Duration
	// burstFactor multiplies the mean arrival rate during one tenth of the time.
	burstFactor float64
}

const (
	// Slots is the number of slots.
	Slots       = 100
	meanRunTime = 100 * time.Second
)

// Generate draws count jobs. Equal seeds give equal jobs.
func Generate(scenario Scenario, seed uint64, count int) []Job {
	random := rand.New(rand.NewPCG(seed, 2))
	meanInterval := meanRunTime.Seconds() / (scenario.load * Slots)
	jobs := make([]Job, 0, count)
	elapsed := 0.0
	for i := range count {
		// Between bursts the arrival rate is lower, so that its mean stays the same.
		rate := 1.0
		if scenario.burstFactor > 1 {
			rate = (1 - scenario.burstFactor/10) / 0.9
			if math.Mod(elapsed, 1000) < 100 {
				rate = scenario.burstFactor
			}
		}
		elapsed += random.ExpFloat64() * meanInterval / rate
		// Run times are log-normal with mean meanRunTime.
		runTime := time.Duration(float64(meanRunTime) * math.Exp(random.NormFloat64()-0.5))
		slack := scenario.fixedSlack.Seconds()*random.Float64() + scenario.slackFactor*random.Float64()*runTime.Seconds()
		arrival := startTime.Add(time.Duration(elapsed * float64(time.Second)))
		jobs = append(jobs, Job{
			runTime: runTime,
			Entry: orderer.Entry{
				Job:      descriptor.JobID(fmt.Sprint(i)),
				Team:     fmt.Sprint("team", random.IntN(scenario.Teams)),
				Arrival:  arrival,
				Deadline: arrival.Add(runTime + time.Duration(slack*float64(time.Second))),
				Estimate: time.Duration(float64(runTime) * math.Exp(scenario.estimateSigma*random.NormFloat64())),
				Need: descriptor.Resources{
					MilliCPU: 1000,
				},
			},
		})
	}
	return jobs
}

// Policy decides in which order waiting jobs start. Only this package implements it.
type Policy interface {
	add(index int, job Job)
	pop(now time.Time) (index int, ok bool)
	finish(job Job)
}

// keyPolicy starts jobs in the order of a time: their arrival or their deadline.
type keyPolicy struct {
	key   func(orderer.Entry) time.Time
	queue timeHeap
}

func (keyPolicy *keyPolicy) add(index int, job Job) {
	heap.Push(&keyPolicy.queue, timedIndex{
		at:    keyPolicy.key(job.Entry),
		index: index,
	})
}

func (keyPolicy *keyPolicy) pop(time.Time) (int, bool) {
	if len(keyPolicy.queue) == 0 {
		return 0, false
	}
	return heap.Pop(&keyPolicy.queue).(timedIndex).index, true
}

func (keyPolicy *keyPolicy) finish(Job) {}

// ordererPolicy starts jobs in the order of orderer.Orderer.
type ordererPolicy struct {
	orderer.Orderer
	indexes map[descriptor.JobID]int
}

func (ordererPolicy *ordererPolicy) add(index int, job Job) {
	ordererPolicy.indexes[job.Entry.Job] = index
	ordererPolicy.Add(job.Entry, 0)
}

func (ordererPolicy *ordererPolicy) pop(now time.Time) (int, bool) {
	candidate, ok := ordererPolicy.Pop(now)
	return ordererPolicy.indexes[candidate.Job], ok
}

func (ordererPolicy *ordererPolicy) finish(job Job) {
	ordererPolicy.Credit(job.Entry.Team, job.Entry.Need)
}

type timedIndex struct {
	at    time.Time
	index int
}

type timeHeap []timedIndex

func (timeHeap timeHeap) Len() int           { return len(timeHeap) }
func (timeHeap timeHeap) Less(i, j int) bool { return timeHeap[i].at.Before(timeHeap[j].at) }
func (timeHeap timeHeap) Swap(i, j int)      { timeHeap[i], timeHeap[j] = timeHeap[j], timeHeap[i] }
func (timeHeap *timeHeap) Push(item any)     { *timeHeap = append(*timeHeap, item.(timedIndex)) }
func (timeHeap *timeHeap) Pop() any {
	last := len(*timeHeap) - 1
	popped := (*timeHeap)[last]
	*timeHeap = (*timeHeap)[:last]
	return popped
}

// FCFS returns the first-come-first-served policy.
func FCFS() Policy {
	return &keyPolicy{
		key: func(entry orderer.Entry) time.Time {
			return entry.Arrival
		},
	}
}

// EDF returns the earliest-deadline-first policy, without quotas or estimates.
func EDF() Policy {
	return &keyPolicy{
		key: func(entry orderer.Entry) time.Time {
			return entry.Deadline
		},
	}
}

// OrdererPolicy returns the policy of orderer.Orderer, with an equal quota for each team of the scenario.
func OrdererPolicy(scenario Scenario) Policy {
	ordererPolicy := &ordererPolicy{
		indexes: map[descriptor.JobID]int{},
	}
	for team := range scenario.Teams {
		ordererPolicy.SetTeam(fmt.Sprint("team", team), descriptor.Resources{
			MilliCPU: 1000 * Slots / int64(scenario.Teams),
		})
	}
	return ordererPolicy
}

// Simulate runs the jobs on Slots identical slots. It returns the number of jobs that missed their deadlines,
// and the waits of all jobs in the order of their starts.
func Simulate(jobs []Job, policy Policy) (misses int, waits []time.Duration) {
	var running timeHeap
	nextArrival := 0
	free := Slots
	for nextArrival < len(jobs) || len(running) > 0 {
		var now time.Time
		if nextArrival < len(jobs) && (len(running) == 0 || jobs[nextArrival].Entry.Arrival.Before(running[0].at)) {
			now = jobs[nextArrival].Entry.Arrival
			policy.add(nextArrival, jobs[nextArrival])
			nextArrival++
		} else {
			finished := heap.Pop(&running).(timedIndex)
			now = finished.at
			policy.finish(jobs[finished.index])
			free++
			if now.After(jobs[finished.index].Entry.Deadline) {
				misses++
			}
		}
		for free > 0 {
			index, ok := policy.pop(now)
			if !ok {
				break
			}
			free--
			waits = append(waits, now.Sub(jobs[index].Entry.Arrival))
			heap.Push(&running, timedIndex{
				at:    now.Add(jobs[index].runTime),
				index: index,
			})
		}
	}
	return misses, waits
}

// Scenarios lists the simulated workloads.
var Scenarios = []Scenario{
	{Name: "Exact", load: 0.95, Teams: 1, slackFactor: 2, fixedSlack: 2 * time.Minute},
	{Name: "Near", load: 0.95, Teams: 1, estimateSigma: 0.5, slackFactor: 2, fixedSlack: 2 * time.Minute},
	{Name: "Wrong", load: 0.95, Teams: 1, estimateSigma: 1, slackFactor: 2, fixedSlack: 2 * time.Minute},
	{Name: "Burst", load: 0.95, Teams: 1, estimateSigma: 0.5, slackFactor: 1, fixedSlack: 5 * time.Minute, burstFactor: 3},
	{Name: "Teams", load: 0.95, Teams: 7, estimateSigma: 0.5, slackFactor: 2, fixedSlack: 2 * time.Minute},
	{Name: "TeamsBurst", load: 0.95, Teams: 7, estimateSigma: 0.5, slackFactor: 1, fixedSlack: 5 * time.Minute, burstFactor: 3},
	{Name: "ManyTeams", load: 0.95, Teams: 28, estimateSigma: 0.5, slackFactor: 1, fixedSlack: 10 * time.Minute, burstFactor: 2},
}
