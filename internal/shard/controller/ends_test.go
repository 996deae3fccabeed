package controller

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pomelomoor/internal/shard/signaler"
	"pomelomoor/internal/work/descriptor"
)

const (
	endsStep  = 10 * time.Millisecond
	endsTick  = 50 * time.Millisecond
	endsAwait = 30 * time.Second
)

// ends lets runs end at drawn times and measures how the owner learns of it.
type ends struct {
	*world
	// length returns how long a run lasts.
	length  func() time.Duration
	started map[descriptor.RunID]time.Time
	until   map[descriptor.RunID]time.Time
	ended   map[descriptor.RunID]time.Time
	// delays are the times from the end of each run to its acknowledgement.
	delays   []time.Duration
	messages int
}

func newEnds(t rapid.TB, workers int, length func() time.Duration) *ends {
	ends := &ends{
		world:   newWorld(t, workers),
		length:  length,
		started: map[descriptor.RunID]time.Time{},
		until:   map[descriptor.RunID]time.Time{},
		ended:   map[descriptor.RunID]time.Time{},
	}
	ends.honest = true
	ends.pass(time.Second)
	ends.messages = 0
	return ends
}

func (ends *ends) submitTask(declared time.Duration) {
	ends.submit(descriptor.Job{
		Name:    "lookup",
		Caller:  "yard",
		Team:    "assay",
		Kind:    descriptor.KindBatch,
		RunTime: descriptor.Duration{Duration: declared},
		Task: descriptor.Resources{
			MilliCPU: 500,
		},
		Idempotent: true,
	})
}

// pass lets time pass in steps. The owner's timer and journal have the resolution of the driver.
func (ends *ends) pass(duration time.Duration) {
	owner := ends.owner()
	for range duration / endsStep {
		ends.now = ends.now.Add(endsStep)
		for _, machine := range ends.workers {
			ends.endRuns(machine)
		}
		if ends.now.Sub(epochBegin)%endsTick == 0 {
			ends.write(len(owner.queue))
			ends.step(owner, signaler.Tick{})
		}
		for range len(owner.network) {
			ends.messages++
			ends.deliver(owner, 0, 0)
		}
		for _, machine := range ends.workers {
			ends.collect(machine)
		}
	}
}

func (ends *ends) endRuns(machine *machine) {
	ends.lapse(machine)
	for _, id := range sortedKeys(machine.running) {
		if _, ok := ends.until[id]; !ok {
			ends.started[id] = ends.now
			ends.until[id] = ends.now.Add(ends.length())
		}
		if !ends.now.Before(ends.until[id]) {
			ends.finish(machine, id, "Done")
			result := machine.finished[id]
			result.Started = ends.started[id]
			machine.finished[id] = result
			ends.ended[id] = ends.now
		}
	}
}

func (ends *ends) collect(machine *machine) {
	for id, at := range ends.ended {
		if machine.forgotten[id] {
			ends.delays = append(ends.delays, ends.now.Sub(at))
			delete(ends.ended, id)
		}
	}
}

// Guards against the end of a run that is learned only at the next regular message.
func TestEndOfRun(t *testing.T) {
	ends := newEnds(t, 1, func() time.Duration { return 700 * time.Millisecond })
	ends.submitTask(700 * time.Millisecond)
	ends.pass(endsAwait)
	if len(ends.delays) != 1 || ends.delays[0] > 300*time.Millisecond {
		t.Errorf("acknowledged after %v", ends.delays)
	}
}

// Guards against a run that outlasts its estimate and causes more than one message of its own.
func TestLateEndOfRun(t *testing.T) {
	count := func(tasks int) int {
		ends := newEnds(t, 1, func() time.Duration { return 20 * time.Second })
		for range tasks {
			ends.submitTask(700 * time.Millisecond)
		}
		ends.pass(endsAwait)
		return ends.messages
	}
	idle := count(0)
	for _, tasks := range []int{1, 4} {
		// A start, an end and an acknowledgement are news.
		if messages := count(tasks); messages > idle+4*tasks {
			t.Errorf("%d tasks: %d messages, %d without any", tasks, messages, idle)
		}
	}
}

// BenchmarkEnds measures the simulated time from the end of a run to its acknowledgement, and the
// messages for a task. Runs last about the declared second, or a straggler in twenty ten times that.
func BenchmarkEnds(b *testing.B) {
	for _, gap := range []time.Duration{100 * time.Millisecond, time.Second} {
		b.Run(gap.String(), func(b *testing.B) {
			for range b.N {
				random := rand.New(rand.NewPCG(1, 2))
				ends := newEnds(b, 8, func() time.Duration {
					if random.IntN(20) == 0 {
						return 10 * time.Second
					}
					return time.Duration((0.7 + 0.6*random.Float64()) * float64(time.Second))
				})
				const tasks = 500
				for range tasks {
					ends.submitTask(time.Second)
					ends.pass(gap)
				}
				ends.pass(endsAwait)
				slices.Sort(ends.delays)
				b.ReportMetric(float64(ends.delays[len(ends.delays)/2].Milliseconds()), "median-ms")
				b.ReportMetric(float64(ends.delays[len(ends.delays)*99/100].Milliseconds()), "p99-ms")
				b.ReportMetric(float64(ends.messages)/tasks, "messages/task")
				b.ReportMetric(float64(len(ends.delays)), "ends")
			}
		})
	}
}
