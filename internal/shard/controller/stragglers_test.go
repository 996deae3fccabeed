package controller

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/gateway/executor"
	"pomelomoor/internal/shard/signaler"
	"pomelomoor/internal/work/descriptor"
)

// waits loads 8 slots to 85 % for an hour with work of 10 s, 5 % of which takes 20 times as long, and
// returns the sorted waits of the short work. It fails the test if a job is not done in the end.
func waits(t *testing.T, movable bool) []time.Duration {
	task := descriptor.Resources{
		MilliCPU: 1000,
	}
	plant := newPlant(t, &parser.Compiled{}, 2, task.Scale(4))
	random := rand.New(rand.NewPCG(3, 4))
	submitted := map[descriptor.JobID]time.Time{}
	jobs := 0
	begin := time.Now()
	const rate = 0.85 * 8 / (0.95*10 + 0.05*200)
	for next := begin; time.Since(begin) < time.Hour; {
		for !next.After(time.Now()) {
			length := 10
			if random.IntN(20) == 0 {
				length *= 20
			}
			id := plant.submit(descriptor.Job{
				Name:   "assay",
				Caller: "yard",
				Kind:   descriptor.KindBatch,
				Task:   task,
				RunTime: descriptor.Duration{
					Duration: 10 * time.Second,
				},
				Idempotent:     true,
				Checkpointable: movable,
				Payload:        fmt.Sprintf(`{"RunTime":"%ds"}`, length),
			})
			jobs++
			if length == 10 {
				submitted[id] = time.Now()
			}
			next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		}
		<-time.After(250 * time.Millisecond)
		plant.step(signaler.Tick{})
	}
	plant.run(time.Hour)
	var waits []time.Duration
	done := 0
	for _, worker := range plant.workers {
		for _, record := range worker.History() {
			if record.Outcome == executor.OutcomeDone {
				done++
			}
			if at, ok := submitted[record.Run.Job]; ok && record.Run.Attempt == 1 {
				waits = append(waits, record.Started.Sub(at))
			}
		}
	}
	if done != jobs {
		t.Errorf("%d of %d jobs are done", done, jobs)
	}
	slices.Sort(waits)
	return waits
}

// Guards against a few runs that last far longer than expected and hold up all short work.
func TestStragglersGiveWay(t *testing.T) {
	p99 := func(movable bool) (wait time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			waits := waits(t, movable)
			wait = waits[len(waits)*99/100]
			t.Logf("movable %v: %d short jobs wait %s at the median and %s at the 99th percentile", movable, len(waits), waits[len(waits)/2], wait)
		})
		return wait
	}
	before, after := p99(false), p99(true)
	if after > before/4 {
		t.Errorf("the 99th percentile of the waits is %s, and %s without moving stragglers", after, before)
	}
}
