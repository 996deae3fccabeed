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

// shortJobWaits loads 8 slots to 85 % for an hour with jobs of 10 s, of which 5 % take 20 times as long. It
// returns the sorted waiting times of the short jobs, and fails the test if any job is not done in the end.
func shortJobWaits(t *testing.T, checkpointable bool) []time.Duration {
	task := descriptor.Resources{
		MilliCPU: 1000,
	}
	cluster := newCluster(t, &parser.Compiled{}, 2, task.Scale(4))
	random := rand.New(rand.NewPCG(3, 4))
	submitted := map[descriptor.JobID]time.Time{}
	jobs := 0
	begin := time.Now()
	const rate = 0.85 * 8 / (0.95*10 + 0.05*200)
	for next := begin; time.Since(begin) < time.Hour; {
		for !next.After(time.Now()) {
			seconds := 10
			if random.IntN(20) == 0 {
				seconds *= 20
			}
			id := cluster.submit(descriptor.Job{
				Name:   "assay",
				Caller: "yard",
				Kind:   descriptor.KindBatch,
				Task:   task,
				RunTime: descriptor.Duration{
					Duration: 10 * time.Second,
				},
				Idempotent:     true,
				Checkpointable: checkpointable,
				Payload:        fmt.Sprintf(`{"RunTime":"%ds"}`, seconds),
			})
			jobs++
			if seconds == 10 {
				submitted[id] = time.Now()
			}
			next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		}
		<-time.After(250 * time.Millisecond)
		cluster.step(signaler.Tick{})
	}
	cluster.runUntilDone(time.Hour)
	var waits []time.Duration
	done := 0
	for _, worker := range cluster.workers {
		for _, record := range worker.History() {
			if record.Outcome == executor.OutcomeDone {
				done++
			}
			if submittedAt, ok := submitted[record.Run.Job]; ok && record.Run.Attempt == 1 {
				waits = append(waits, record.Started.Sub(submittedAt))
			}
		}
	}
	if done != jobs {
		t.Errorf("%d of %d jobs are done", done, jobs)
	}
	slices.Sort(waits)
	return waits
}

// Guards against short jobs that wait behind a few runs that last far longer than expected.
func TestStragglersGiveWay(t *testing.T) {
	p99 := func(checkpointable bool) (wait time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			waits := shortJobWaits(t, checkpointable)
			wait = waits[len(waits)*99/100]
			t.Logf("checkpointable %v: %d short jobs wait %s at the median and %s at the 99th percentile", checkpointable, len(waits), waits[len(waits)/2], wait)
		})
		return wait
	}
	before, after := p99(false), p99(true)
	if after > before/4 {
		t.Errorf("the 99th percentile of the waits is %s, want at most a quarter of the %s without checkpoints", after, before)
	}
}
