package scheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/work/descriptor"
)

// TestCandidates compares the places that candidates finds for the tasks of a step with those that are chosen one by one,
// each with a look at all workers. It guards against a gang or a step that is placed otherwise than task by task, against
// more tasks on a worker than it holds, and against a gang that is given up although it fits.
func TestCandidates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		scheduler := New(Options{
			RemoteFactor: 3,
		}, &describer.Config{})
		job := &describer.Job{
			ID: "aa",
			Steps: []describer.Step{{
				Count: rapid.IntRange(1, 12).Draw(t, "Count"),
				Gang:  rapid.Bool().Draw(t, "Gang"),
				Needs: descriptor.Resources{
					MilliCPU:     rapid.Int64Range(0, 9).Draw(t, "MilliCPU"),
					MemoryBytes:  rapid.Int64Range(0, 9).Draw(t, "MemoryBytes"),
					Accelerators: rapid.Int64Range(0, 1).Draw(t, "Accelerators"),
				},
				MaxPerWorker: rapid.IntRange(0, 3).Draw(t, "MaxPerWorker"),
				NearRack:     rapid.SampledFrom([]string{"", "r1"}).Draw(t, "NearRack"),
			}},
		}
		scheduler.Add(now, job)
		added := scheduler.jobs["aa"]
		step := added.occurrences[0].steps[0]
		if rapid.Bool().Draw(t, "Advice") {
			added.policy.Advice = &describer.AdvicePolicy{}
			step.advice.tickets = map[describer.WorkerID]ticket{}
		}
		for index := range rapid.IntRange(0, 8).Draw(t, "Workers") {
			id := describer.WorkerID(fmt.Sprint("w", index))
			scheduler.SetWorker(now, &describer.Worker{
				ID:          id,
				Incarnation: time.Unix(1, 0),
				Rack:        rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "Rack"),
				Capacity: descriptor.Resources{
					MilliCPU:     rapid.Int64Range(1, 20).Draw(t, "CPU"),
					MemoryBytes:  rapid.Int64Range(1, 20).Draw(t, "Memory"),
					Accelerators: rapid.Int64Range(0, 2).Draw(t, "Devices"),
				},
			})
			worker := scheduler.workers[id]
			worker.answered = true
			worker.health.trial = rapid.Bool().Draw(t, "Trial")
			for range rapid.IntRange(0, 1).Draw(t, "Slow") * 100 {
				worker.health.speed.ObserveSole(1.3)
			}
			if step.advice.tickets != nil && rapid.Bool().Draw(t, "Ticket") {
				step.advice.tickets[id] = ticket{
					text:    "t",
					expires: now.Add(time.Second),
				}
			}
		}
		scheduler.rankWorkers(now)
		rack := rapid.SampledFrom([]string{"", "r1"}).Draw(t, "OnRack")

		assigned := map[*worker]int{}
		var want []*worker
		for _, task := range step.tasks {
			worker, _ := scheduler.chooseWorker(now, task, assigned, rack)
			if worker == nil {
				break
			}
			assigned[worker]++
			want = append(want, worker)
		}
		found := scheduler.candidates(now, step, rack)
		if fits := len(want) == step.Count; step.Gang && fits != (found.slots >= step.Count) {
			t.Fatalf("%d places for a gang of %d; one by one it fits: %v", found.slots, step.Count, fits)
		}
		if step.Gang && len(want) < step.Count {
			return
		}
		for index, worker := range want {
			if got := found.take(); got == nil || got.worker != worker {
				t.Fatalf("task %d: got %+v, want %s", index, got, worker.id)
			}
		}
		if got := found.take(); len(want) < step.Count && got != nil {
			t.Fatalf("a place on %s that does not exist one by one", got.worker.id)
		}
	})
}
