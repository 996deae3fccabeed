package orderer_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"pomelomoor/internal/measure/sequencer"
	"pomelomoor/internal/placement/orderer"
	"pomelomoor/internal/work/descriptor"
)

// BenchmarkDeadlines compares the missed deadlines of the Orderer with those of first-come-first-served
// and plain earliest-deadline-first on the same work.
func BenchmarkDeadlines(b *testing.B) {
	for _, scenario := range sequencer.Scenarios {
		b.Run(scenario.Name, func(b *testing.B) {
			const count = 20_000
			var misses [3]int
			for seed := range b.N {
				batches := sequencer.Generate(scenario, uint64(seed), count)
				for i, policy := range []sequencer.Policy{
					sequencer.OrdererPolicy(scenario),
					sequencer.EDF(),
					sequencer.FCFS(),
				} {
					missed, _ := sequencer.Simulate(batches, policy)
					misses[i] += missed
				}
			}
			for i, name := range []string{"missed-%", "EDF-missed-%", "FCFS-missed-%"} {
				b.ReportMetric(100*float64(misses[i])/float64(count*b.N), name)
			}
			b.ReportMetric(float64(misses[0])/float64(cmp.Or(misses[2], 1)), "of-FCFS")
		})
	}
}

// BenchmarkQueue measures single operations with many waiting jobs.
func BenchmarkQueue(b *testing.B) {
	fill := func(jobs int) (*orderer.Orderer, []orderer.Entry) {
		queue := &orderer.Orderer{}
		var entries []orderer.Entry
		for _, generated := range sequencer.Generate(sequencer.Scenarios[3], 1, jobs) {
			entries = append(entries, generated.Entry)
			queue.Add(generated.Entry, 0)
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
				queue.Walk(epoch, func(orderer.Candidate) orderer.Decision { return orderer.Skip })
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
