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
	stepInterval = 10 * time.Millisecond
	tickInterval = 50 * time.Millisecond
	finalWait    = 30 * time.Second
)

// endLatency simulates runs of given lengths and measures how long the owner takes to acknowledge their
// ends, and how many messages it sends.
type endLatency struct {
	*simulation
	// runLength returns the length of the next run.
	runLength      func() time.Duration
	started        map[descriptor.RunID]time.Time
	endTimes       map[descriptor.RunID]time.Time
	unacknowledged map[descriptor.RunID]time.Time
	// delays holds the time from the end of each run to its acknowledgement.
	delays   []time.Duration
	messages int
}

func newEndLatency(t rapid.TB, workers int, runLength func() time.Duration) *endLatency {
	endLatency := &endLatency{
		simulation:     newSimulation(t, workers),
		runLength:      runLength,
		started:        map[descriptor.RunID]time.Time{},
		endTimes:       map[descriptor.RunID]time.Time{},
		unacknowledged: map[descriptor.RunID]time.Time{},
	}
	endLatency.usesDeclared = true
	endLatency.simulate(time.Second)
	endLatency.messages = 0
	return endLatency
}

func (endLatency *endLatency) submitTask(declared time.Duration) {
	endLatency.submit(descriptor.Job{
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

// simulate advances the time in steps. The owner's ticks and journal writes have the interval that they
// have in the driver.
func (endLatency *endLatency) simulate(duration time.Duration) {
	owner := endLatency.owner()
	for range duration / stepInterval {
		endLatency.now = endLatency.now.Add(stepInterval)
		for _, worker := range endLatency.workers {
			endLatency.endRuns(worker)
		}
		if endLatency.now.Sub(simulationStart)%tickInterval == 0 {
			endLatency.write(len(owner.pendingAppends))
			endLatency.step(owner, signaler.Tick{})
		}
		for range len(owner.pendingSyncs) {
			endLatency.messages++
			endLatency.deliver(owner, 0, 0)
		}
		for _, worker := range endLatency.workers {
			endLatency.recordDelays(worker)
		}
	}
}

func (endLatency *endLatency) endRuns(worker *fakeWorker) {
	endLatency.expireLease(worker)
	for _, id := range sortedKeys(worker.running) {
		if _, ok := endLatency.endTimes[id]; !ok {
			endLatency.started[id] = endLatency.now
			endLatency.endTimes[id] = endLatency.now.Add(endLatency.runLength())
		}
		if !endLatency.now.Before(endLatency.endTimes[id]) {
			endLatency.finishRun(worker, id, "Done")
			result := worker.finished[id]
			result.Started = endLatency.started[id]
			worker.finished[id] = result
			endLatency.unacknowledged[id] = endLatency.now
		}
	}
}

func (endLatency *endLatency) recordDelays(worker *fakeWorker) {
	for id, endedAt := range endLatency.unacknowledged {
		if worker.acknowledged[id] {
			endLatency.delays = append(endLatency.delays, endLatency.now.Sub(endedAt))
			delete(endLatency.unacknowledged, id)
		}
	}
}

// Guards against learning of the end of a run only from the next regular poll of its worker.
func TestEndOfRun(t *testing.T) {
	endLatency := newEndLatency(t, 1, func() time.Duration { return 700 * time.Millisecond })
	endLatency.submitTask(700 * time.Millisecond)
	endLatency.simulate(finalWait)
	if len(endLatency.delays) != 1 || endLatency.delays[0] > 300*time.Millisecond {
		t.Errorf("acknowledged after %v, want one run within 300ms", endLatency.delays)
	}
}

// Guards against a run that outlasts its estimate and causes more than one end poll.
func TestLateEndOfRun(t *testing.T) {
	count := func(tasks int) int {
		endLatency := newEndLatency(t, 1, func() time.Duration { return 20 * time.Second })
		for range tasks {
			endLatency.submitTask(700 * time.Millisecond)
		}
		endLatency.simulate(finalWait)
		return endLatency.messages
	}
	idle := count(0)
	for _, tasks := range []int{1, 4} {
		// Each task also takes three messages for its start, its end and the acknowledgement.
		if messages := count(tasks); messages > idle+4*tasks {
			t.Errorf("%d tasks: %d messages, %d without tasks", tasks, messages, idle)
		}
	}
}

// BenchmarkEnds measures the simulated time from the end of a run to its acknowledgement, and the number
// of messages for each task. Runs last about the declared second, except for one in twenty, which lasts ten
// seconds.
func BenchmarkEnds(b *testing.B) {
	for _, gap := range []time.Duration{100 * time.Millisecond, time.Second} {
		b.Run(gap.String(), func(b *testing.B) {
			for range b.N {
				random := rand.New(rand.NewPCG(1, 2))
				endLatency := newEndLatency(b, 8, func() time.Duration {
					if random.IntN(20) == 0 {
						return 10 * time.Second
					}
					return time.Duration((0.7 + 0.6*random.Float64()) * float64(time.Second))
				})
				const tasks = 500
				for range tasks {
					endLatency.submitTask(time.Second)
					endLatency.simulate(gap)
				}
				endLatency.simulate(finalWait)
				slices.Sort(endLatency.delays)
				b.ReportMetric(float64(endLatency.delays[len(endLatency.delays)/2].Milliseconds()), "median-ms")
				b.ReportMetric(float64(endLatency.delays[len(endLatency.delays)*99/100].Milliseconds()), "p99-ms")
				b.ReportMetric(float64(endLatency.messages)/tasks, "messages/task")
				b.ReportMetric(float64(len(endLatency.delays)), "ends")
			}
		})
	}
}
