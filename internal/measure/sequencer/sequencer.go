// Package sequencer simulates batches with deadlines on equal slots under several orders of waiting work.
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

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Batch is one simulated job with one task.
type Batch struct {
	Entry orderer.Entry
	// length is the true run time; its Entry's estimate differs from it.
	length time.Duration
}

// Scenario describes simulated work.
type Scenario struct {
	Name  string
	load  float64
	Teams int
	// noise is the spread of the logarithm of estimate over length.
	noise float64
	// slack is the range of the time to the deadline beyond the length, in multiples of the length,
	// plus slackBase.
	slack     float64
	slackBase time.Duration
	// burst is the factor of the arrival rate in one tenth of the time.
	burst float64
}

const (
	// Slots is the number of slots.
	Slots      = 100
	meanLength = 100 * time.Second
)

// Generate draws batches. Equal seeds give equal batches.
func Generate(scenario Scenario, seed uint64, count int) []Batch {
	random := rand.New(rand.NewPCG(seed, 2))
	gap := meanLength.Seconds() / (scenario.load * Slots)
	batches := make([]Batch, 0, count)
	at := 0.0
	for i := range count {
		// The arrival rate swings so that its mean stays the same.
		rate := 1.0
		if scenario.burst > 1 {
			rate = (1 - scenario.burst/10) / 0.9
			if math.Mod(at, 1000) < 100 {
				rate = scenario.burst
			}
		}
		at += random.ExpFloat64() * gap / rate
		// Lengths are log-normal with the given mean.
		length := time.Duration(float64(meanLength) * math.Exp(random.NormFloat64()-0.5))
		slack := scenario.slackBase.Seconds()*random.Float64() + scenario.slack*random.Float64()*length.Seconds()
		arrival := epoch.Add(time.Duration(at * float64(time.Second)))
		batches = append(batches, Batch{
			length: length,
			Entry: orderer.Entry{
				Job:      descriptor.JobID(fmt.Sprint(i)),
				Team:     fmt.Sprint("team", random.IntN(scenario.Teams)),
				Arrival:  arrival,
				Deadline: arrival.Add(length + time.Duration(slack*float64(time.Second))),
				Estimate: time.Duration(float64(length) * math.Exp(scenario.noise*random.NormFloat64())),
				Need: descriptor.Resources{
					MilliCPU: 1000,
				},
			},
		})
	}
	return batches
}

// Policy is an order of waiting work.
type Policy interface {
	add(index int, one Batch)
	pop(now time.Time) (index int, ok bool)
	done(one Batch)
}

// keyed is first-come-first-served or earliest-deadline-first.
type keyed struct {
	key   func(orderer.Entry) time.Time
	queue ends
}

func (keyed *keyed) add(index int, one Batch) {
	heap.Push(&keyed.queue, end{
		at:    keyed.key(one.Entry),
		index: index,
	})
}

func (keyed *keyed) pop(time.Time) (int, bool) {
	if len(keyed.queue) == 0 {
		return 0, false
	}
	return heap.Pop(&keyed.queue).(end).index, true
}

func (keyed *keyed) done(Batch) {}

// ordered is the Orderer.
type ordered struct {
	orderer.Orderer
	indexes map[descriptor.JobID]int
}

func (ordered *ordered) add(index int, one Batch) {
	ordered.indexes[one.Entry.Job] = index
	ordered.Add(one.Entry, 0)
}

func (ordered *ordered) pop(now time.Time) (int, bool) {
	candidate, ok := ordered.Pop(now)
	return ordered.indexes[candidate.Job], ok
}

func (ordered *ordered) done(one Batch) {
	ordered.Credit(one.Entry.Team, one.Entry.Need)
}

type end struct {
	at    time.Time
	index int
}

type ends []end

func (ends ends) Len() int           { return len(ends) }
func (ends ends) Less(i, j int) bool { return ends[i].at.Before(ends[j].at) }
func (ends ends) Swap(i, j int)      { ends[i], ends[j] = ends[j], ends[i] }
func (ends *ends) Push(item any)     { *ends = append(*ends, item.(end)) }
func (ends *ends) Pop() any {
	last := len(*ends) - 1
	popped := (*ends)[last]
	*ends = (*ends)[:last]
	return popped
}

// FCFS is first-come-first-served.
func FCFS() Policy {
	return &keyed{
		key: func(entry orderer.Entry) time.Time {
			return entry.Arrival
		},
	}
}

// EDF is plain earliest-deadline-first.
func EDF() Policy {
	return &keyed{
		key: func(entry orderer.Entry) time.Time {
			return entry.Deadline
		},
	}
}

// Ordered is the Orderer with equal quotas of the scenario's teams.
func Ordered(scenario Scenario) Policy {
	ordered := &ordered{
		indexes: map[descriptor.JobID]int{},
	}
	for team := range scenario.Teams {
		ordered.SetTeam(fmt.Sprint("team", team), descriptor.Resources{
			MilliCPU: 1000 * Slots / int64(scenario.Teams),
		})
	}
	return ordered
}

// Simulate runs the batches on equal slots. It returns how many missed their deadlines, and all waits.
func Simulate(batches []Batch, policy Policy) (misses int, waits []time.Duration) {
	var running ends
	arrived := 0
	free := Slots
	for arrived < len(batches) || len(running) > 0 {
		var now time.Time
		if arrived < len(batches) && (len(running) == 0 || batches[arrived].Entry.Arrival.Before(running[0].at)) {
			now = batches[arrived].Entry.Arrival
			policy.add(arrived, batches[arrived])
			arrived++
		} else {
			ended := heap.Pop(&running).(end)
			now = ended.at
			policy.done(batches[ended.index])
			free++
			if now.After(batches[ended.index].Entry.Deadline) {
				misses++
			}
		}
		for free > 0 {
			index, ok := policy.pop(now)
			if !ok {
				break
			}
			free--
			waits = append(waits, now.Sub(batches[index].Entry.Arrival))
			heap.Push(&running, end{
				at:    now.Add(batches[index].length),
				index: index,
			})
		}
	}
	return misses, waits
}

// Scenarios lists the simulated work.
var Scenarios = []Scenario{
	{Name: "Exact", load: 0.95, Teams: 1, slack: 2, slackBase: 2 * time.Minute},
	{Name: "Near", load: 0.95, Teams: 1, noise: 0.5, slack: 2, slackBase: 2 * time.Minute},
	{Name: "Wrong", load: 0.95, Teams: 1, noise: 1, slack: 2, slackBase: 2 * time.Minute},
	{Name: "Burst", load: 0.95, Teams: 1, noise: 0.5, slack: 1, slackBase: 5 * time.Minute, burst: 3},
	{Name: "Teams", load: 0.95, Teams: 7, noise: 0.5, slack: 2, slackBase: 2 * time.Minute},
	{Name: "TeamsBurst", load: 0.95, Teams: 7, noise: 0.5, slack: 1, slackBase: 5 * time.Minute, burst: 3},
	{Name: "ManyTeams", load: 0.95, Teams: 28, noise: 0.5, slack: 1, slackBase: 10 * time.Minute, burst: 2},
}
