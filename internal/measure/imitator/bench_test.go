package imitator

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/work/descriptor"
)

const teams = 28

func config(b *testing.B) *parser.Compiled {
	b.Helper()
	var config parser.Config
	for team := range teams {
		config.Teams = append(config.Teams, parser.Team{
			Name:  fmt.Sprintf("team-%02d", team),
			Quota: Capacity,
		})
	}
	compiled, err := parser.Compile(1, config)
	if err != nil {
		b.Fatal(err)
	}
	return compiled
}

func job(index, tasks int, size descriptor.Resources) descriptor.Job {
	return descriptor.Job{
		Name:   "melt-lot-assay",
		Caller: "foreman",
		Team:   fmt.Sprintf("team-%02d", index%teams),
		Key:    fmt.Sprintf("6f1d2c3b-4a59-4788-9e7f-%012d", index),
		Kind:   descriptor.KindBatch,
		Labels: descriptor.Labels{
			"Work": "Assay",
		},
		Tasks: tasks,
		Task:  size,
		RunTime: descriptor.Duration{
			Duration: time.Hour,
		},
		Idempotent: true,
		Payload:    `{"RunTime":"1h"}`,
	}
}

var small = descriptor.Resources{
	MilliCPU:    1000,
	MemoryBytes: 1 << 30,
}

// fill lets jobs of ten tasks start, as many for each job as at the target size.
func fill(b *testing.B, imitator *Imitator, tasks int) {
	b.Helper()
	const perJob = 10
	for begun := 0; begun < tasks; begun += perJob {
		imitator.Submit(job(begun/perJob, min(perJob, tasks-begun), small))
	}
	imitator.Advance(3 * time.Second)
	if imitator.Running != tasks {
		b.Fatalf("%d of %d tasks run", imitator.Running, tasks)
	}
}

// retained returns the memory of the controller, by letting go of it.
func retained(imitator *Imitator) float64 {
	heap := func() uint64 {
		runtime.GC()
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := heap()
	imitator.Controller = nil
	imitator.events = imitator.events[:0]
	clear(imitator.events[:cap(imitator.events)])
	return float64(before - heap())
}

// pass lets seconds pass b.N times and reports the cost of one second.
func pass(b *testing.B, imitator *Imitator, each func()) {
	b.Helper()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	imitator.Steps, imitator.Syncs = 0, 0
	b.ResetTimer()
	for range b.N {
		each()
		imitator.Advance(time.Second)
	}
	b.StopTimer()
	runtime.ReadMemStats(&after)
	seconds := float64(b.N)
	b.ReportMetric(float64(imitator.Steps.Microseconds())/seconds, "step-us/s")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/seconds/1000, "allocated-KB/s")
	b.ReportMetric(float64(imitator.Syncs)/seconds, "syncs/s")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkWorkers observes a shard whose workers run nothing.
func BenchmarkWorkers(b *testing.B) {
	for _, workers := range []int{35, 70, 140, 280} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			imitator := New(workers, config(b))
			pass(b, imitator, func() {})
			b.ReportMetric(retained(imitator)/1000, "retained-KB")
		})
	}
}

// BenchmarkTasks observes a shard of 140 workers with running tasks, and its snapshot.
func BenchmarkTasks(b *testing.B) {
	for _, tasks := range []int{0, 850, 1700, 3400, 6800} {
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			imitator := New(140, config(b))
			fill(b, imitator, tasks)
			pass(b, imitator, func() {})
			reportState(b, imitator)
		})
	}
}

// reportState reports the size of a snapshot and the controller's memory.
func reportState(b *testing.B, imitator *Imitator) {
	b.Helper()
	size := 0
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	begin := time.Now()
	records := imitator.Controller.Snapshot()
	took := time.Since(begin)
	runtime.ReadMemStats(&after)
	for _, record := range records {
		size += proto.Size(record)
	}
	b.ReportMetric(float64(size)/1000, "snapshot-KB")
	b.ReportMetric(float64(len(records)), "snapshot-records")
	b.ReportMetric(float64(took.Microseconds())/1000, "snapshot-ms")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/1000, "snapshot-allocated-KB")
	clear(records)
	b.ReportMetric(retained(imitator)/1000, "retained-KB")
}

// BenchmarkEnded observes a shard of 140 workers that keeps ended jobs of ten tasks for their retention.
func BenchmarkEnded(b *testing.B) {
	for _, jobs := range []int{0, 500, 1000, 2000, 4000} {
		b.Run(fmt.Sprint(jobs), func(b *testing.B) {
			imitator := New(140, config(b))
			for i := 0; i < jobs; i += 100 {
				for j := range 100 {
					imitator.Submit(job(i+j, 10, small))
				}
				imitator.Advance(3 * time.Second)
				imitator.End(imitator.Running)
				imitator.Advance(3 * time.Second)
			}
			if imitator.Started != 10*jobs || imitator.Running != 0 {
				b.Fatalf("%d tasks started, %d run", imitator.Started, imitator.Running)
			}
			pass(b, imitator, func() {})
			reportState(b, imitator)
		})
	}
}

// BenchmarkKeys observes a registrar of 140 workers that keeps the keys of jobs in other shards.
func BenchmarkKeys(b *testing.B) {
	for _, keys := range []int{0, 5000, 10_000, 20_000} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			imitator := New(140, config(b))
			for i := range keys {
				imitator.Bind(job(i, 10, small))
			}
			pass(b, imitator, func() {})
			reportState(b, imitator)
		})
	}
}

// BenchmarkStarts observes a shard of 140 workers and 3400 running tasks while tasks start and as many end.
func BenchmarkStarts(b *testing.B) {
	for _, starts := range []int{0, 10, 20, 40} {
		b.Run(fmt.Sprint(starts), func(b *testing.B) {
			imitator := New(140, config(b))
			fill(b, imitator, 3400)
			index := 1000
			imitator.Records, imitator.RecordBytes, imitator.Started = 0, 0, 0
			pass(b, imitator, func() {
				imitator.End(starts)
				for range starts / 10 {
					index++
					imitator.Submit(job(index, 10, small))
				}
			})
			b.ReportMetric(float64(imitator.Started)/float64(b.N), "starts/s")
			b.ReportMetric(float64(imitator.Records)/float64(b.N), "records/s")
			b.ReportMetric(float64(imitator.RecordBytes)/float64(b.N), "record-B/s")
		})
	}
}

// BenchmarkWaiting observes a full shard of 140 workers while jobs wait that no worker has room for.
func BenchmarkWaiting(b *testing.B) {
	for _, jobs := range []int{0, 250, 500, 1000, 2000} {
		b.Run(fmt.Sprint(jobs), func(b *testing.B) {
			imitator := New(140, config(b))
			large := Capacity
			large.MilliCPU = 40_000
			imitator.Submit(job(0, 140, large))
			imitator.Advance(3 * time.Second)
			for i := range jobs {
				imitator.Submit(job(i+1, 10, large))
			}
			imitator.Advance(time.Second)
			if imitator.Running != 140 {
				b.Fatalf("%d tasks run", imitator.Running)
			}
			pass(b, imitator, func() {})
			b.ReportMetric(retained(imitator)/1000, "retained-KB")
		})
	}
}
