package orderer_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pomelomoor/internal/placement/orderer"
	"pomelomoor/internal/work/descriptor"
)

// batch is one simulated job with one task.
type batch struct {
	entry orderer.Entry
	// length is the true run time; the entry's estimate differs from it.
	length time.Duration
}

// scenario describes simulated work.
type scenario struct {
	name  string
	load  float64
	teams int
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
	slots      = 100
	meanLength = 100 * time.Second
)

func generate(scenario scenario, seed uint64, count int) []batch {
	random := rand.New(rand.NewPCG(seed, 2))
	gap := meanLength.Seconds() / (scenario.load * slots)
	batches := make([]batch, 0, count)
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
		batches = append(batches, batch{
			length: length,
			entry: orderer.Entry{
				Job:      descriptor.JobID(fmt.Sprint(i)),
				Team:     fmt.Sprint("team", random.IntN(scenario.teams)),
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

// policy is an order of waiting work.
type policy interface {
	add(index int, one batch)
	pop(now time.Time) (index int, ok bool)
	done(one batch)
}

// keyed is first-come-first-served or earliest-deadline-first.
type keyed struct {
	key   func(orderer.Entry) time.Time
	queue ends
}

func (keyed *keyed) add(index int, one batch) {
	heap.Push(&keyed.queue, end{
		at:    keyed.key(one.entry),
		index: index,
	})
}

func (keyed *keyed) pop(time.Time) (int, bool) {
	if len(keyed.queue) == 0 {
		return 0, false
	}
	return heap.Pop(&keyed.queue).(end).index, true
}

func (keyed *keyed) done(batch) {}

// ordered is the Orderer.
type ordered struct {
	orderer.Orderer
	indexes map[descriptor.JobID]int
}

func (ordered *ordered) add(index int, one batch) {
	ordered.indexes[one.entry.Job] = index
	ordered.Add(one.entry, 0)
}

func (ordered *ordered) pop(now time.Time) (int, bool) {
	candidate, ok := ordered.Pop(now)
	return ordered.indexes[candidate.Job], ok
}

func (ordered *ordered) done(one batch) {
	ordered.Credit(one.entry.Team, one.entry.Need)
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

// simulate runs the batches on equal slots and returns how many missed their deadlines.
func simulate(batches []batch, policy policy) (misses int) {
	var running ends
	arrived := 0
	free := slots
	for arrived < len(batches) || len(running) > 0 {
		var now time.Time
		if arrived < len(batches) && (len(running) == 0 || batches[arrived].entry.Arrival.Before(running[0].at)) {
			now = batches[arrived].entry.Arrival
			policy.add(arrived, batches[arrived])
			arrived++
		} else {
			ended := heap.Pop(&running).(end)
			now = ended.at
			policy.done(batches[ended.index])
			free++
			if now.After(batches[ended.index].entry.Deadline) {
				misses++
			}
		}
		for free > 0 {
			index, ok := policy.pop(now)
			if !ok {
				break
			}
			free--
			heap.Push(&running, end{
				at:    now.Add(batches[index].length),
				index: index,
			})
		}
	}
	return misses
}

var scenarios = []scenario{
	{name: "Exact", load: 0.95, teams: 1, slack: 2, slackBase: 2 * time.Minute},
	{name: "Near", load: 0.95, teams: 1, noise: 0.5, slack: 2, slackBase: 2 * time.Minute},
	{name: "Wrong", load: 0.95, teams: 1, noise: 1, slack: 2, slackBase: 2 * time.Minute},
	{name: "Burst", load: 0.95, teams: 1, noise: 0.5, slack: 1, slackBase: 5 * time.Minute, burst: 3},
	{name: "Teams", load: 0.95, teams: 7, noise: 0.5, slack: 2, slackBase: 2 * time.Minute},
	{name: "TeamsBurst", load: 0.95, teams: 7, noise: 0.5, slack: 1, slackBase: 5 * time.Minute, burst: 3},
	{name: "ManyTeams", load: 0.95, teams: 28, noise: 0.5, slack: 1, slackBase: 10 * time.Minute, burst: 2},
}

// BenchmarkDeadlines compares missed deadlines with first-come-first-served and plain
// earliest-deadline-first on the same work.
func BenchmarkDeadlines(b *testing.B) {
	for _, scenario := range scenarios {
		b.Run(scenario.name, func(b *testing.B) {
			const count = 20_000
			var misses [3]int
			for seed := range b.N {
				batches := generate(scenario, uint64(seed), count)
				ours := &ordered{
					indexes: map[descriptor.JobID]int{},
				}
				for team := range scenario.teams {
					ours.SetTeam(fmt.Sprint("team", team), descriptor.Resources{
						MilliCPU: 1000 * slots / int64(scenario.teams),
					})
				}
				for i, policy := range []policy{
					ours,
					&keyed{key: func(entry orderer.Entry) time.Time { return entry.Deadline }},
					&keyed{key: func(entry orderer.Entry) time.Time { return entry.Arrival }},
				} {
					misses[i] += simulate(batches, policy)
				}
			}
			for i, name := range []string{"missed-%", "EDF-missed-%", "FCFS-missed-%"} {
				b.ReportMetric(100*float64(misses[i])/float64(count*b.N), name)
			}
			b.ReportMetric(float64(misses[0])/float64(cmp.Or(misses[2], 1)), "of-FCFS")
		})
	}
}

// BenchmarkQueue measures the cost of single operations with many waiting jobs.
func BenchmarkQueue(b *testing.B) {
	fill := func(jobs int) (*orderer.Orderer, []orderer.Entry) {
		queue := &orderer.Orderer{}
		var entries []orderer.Entry
		for _, one := range generate(scenarios[3], 1, jobs) {
			entries = append(entries, one.entry)
			queue.Add(one.entry, 0)
		}
		return queue, entries
	}
	for _, jobs := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint("PopAdd/", jobs), func(b *testing.B) {
			queue, _ := fill(jobs)
			b.ResetTimer()
			for range b.N {
				candidate, _ := queue.Pop(epoch)
				queue.Credit(candidate.Team, candidate.Need)
				queue.Add(candidate.Entry, 0)
			}
		})
		b.Run(fmt.Sprint("WalkBlocked/", jobs), func(b *testing.B) {
			queue, _ := fill(jobs)
			b.ResetTimer()
			for range b.N {
				queue.Walk(epoch, func(orderer.Candidate) orderer.Verdict { return orderer.Skip })
			}
		})
		b.Run(fmt.Sprint("CancelAll/", jobs), func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				queue, entries := fill(jobs)
				ids := make([]descriptor.JobID, 0, jobs)
				for _, entry := range entries {
					ids = append(ids, entry.Job)
				}
				slices.Sort(ids)
				b.StartTimer()
				queue.Remove(ids...)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*jobs), "ns/job")
		})
	}
}
