package imitator

import (
	"fmt"
	"runtime"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/measure/profiler"
	"pomelomoor/internal/work/descriptor"
)

const (
	teams = 28
	// siteWorkers is the number of workers of a shard at a tenth of the target size.
	siteWorkers = 140
	// settling lets a shard start or end what was asked for.
	settling = 3 * time.Second
)

// Teams returns the teams of the target size, each with the quota of one worker.
func Teams() []parser.Team {
	var configured []parser.Team
	for team := range teams {
		configured = append(configured, parser.Team{
			Name:  fmt.Sprintf("team-%02d", team),
			Quota: Capacity,
		})
	}
	return configured
}

// Job returns a job of equal tasks.
func Job(key string, tasks int, runTime time.Duration) descriptor.Job {
	return descriptor.Job{
		Name:   "melt-lot-assay",
		Caller: "foreman",
		Team:   "assay",
		Key:    key,
		Kind:   descriptor.KindBatch,
		Labels: descriptor.Labels{
			"Work": "Assay",
		},
		Tasks: tasks,
		Task: descriptor.Resources{
			MilliCPU:    1000,
			MemoryBytes: 1 << 30,
		},
		RunTime: descriptor.Duration{
			Duration: runTime,
		},
		Idempotent: true,
		Payload:    fmt.Sprintf(`{"RunTime":%q}`, runTime),
	}
}

// teamJob returns a job of one of the teams in turn.
func teamJob(index, tasks int) descriptor.Job {
	job := Job(fmt.Sprintf("6f1d2c3b-4a59-4788-9e7f-%012d", index), tasks, time.Hour)
	job.Team = fmt.Sprintf("team-%02d", index%teams)
	job.Payload = `{"RunTime":"1h"}`
	return job
}

// shardOf returns a shard of workers with the teams of the target size.
func shardOf(workers int) (*Imitator, error) {
	compiled, err := parser.Compile(1, parser.Config{
		Teams: Teams(),
	})
	if err != nil {
		return nil, errors.Wrap(err, "imitator")
	}
	return New(workers, compiled), nil
}

// fill lets jobs of ten tasks start, as many for each job as at the target size.
func (imitator *Imitator) fill(tasks int) error {
	const perJob = 10
	for begun := 0; begun < tasks; begun += perJob {
		imitator.Submit(teamJob(begun/perJob, min(perJob, tasks-begun)))
	}
	imitator.Advance(settling)
	return imitator.expect(tasks)
}

// expect returns an error unless a number of tasks run.
func (imitator *Imitator) expect(tasks int) error {
	if imitator.Running != tasks {
		return errors.Errorf("imitator: %d of %d tasks run", imitator.Running, tasks)
	}
	return nil
}

// retained returns the memory of the controller, by letting go of it.
func (imitator *Imitator) retained() float64 {
	heap := func() uint64 {
		runtime.GC()
		runtime.GC()
		return memory().HeapAlloc
	}
	before := heap()
	imitator.Controller = nil
	imitator.events = imitator.events[:0]
	clear(imitator.events[:cap(imitator.events)])
	return float64(before - heap())
}

func memory() runtime.MemStats {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats
}

// pass lets a second pass in each round and reports its cost. It returns the number of rounds.
func (imitator *Imitator) pass(meter profiler.Meter, each func()) float64 {
	runtime.GC()
	before := memory().TotalAlloc
	imitator.Steps, imitator.Syncs = 0, 0
	seconds := 0.0
	for meter.Loop() {
		each()
		imitator.Advance(time.Second)
		seconds++
	}
	allocated := memory().TotalAlloc - before
	meter.ReportMetric(float64(imitator.Steps.Microseconds())/seconds, "step-us/s")
	meter.ReportMetric(float64(allocated)/seconds/1000, "allocated-KB/s")
	meter.ReportMetric(float64(imitator.Syncs)/seconds, "syncs/s")
	meter.ReportMetric(0, profiler.HiddenUnit)
	return seconds
}

// idle lets seconds pass without requests.
func (imitator *Imitator) idle(meter profiler.Meter) {
	imitator.pass(meter, func() {})
}

// reportState reports the size of a snapshot and the controller's memory.
func (imitator *Imitator) reportState(meter profiler.Meter) {
	before := memory().TotalAlloc
	begin := time.Now()
	records := imitator.Controller.Snapshot()
	took := time.Since(begin)
	allocated := memory().TotalAlloc - before
	size := 0
	for _, record := range records {
		size += proto.Size(record)
	}
	meter.ReportMetric(float64(size)/1000, "snapshot-KB")
	meter.ReportMetric(float64(len(records)), "snapshot-records")
	meter.ReportMetric(float64(took.Microseconds())/1000, "snapshot-ms")
	meter.ReportMetric(float64(allocated)/1000, "snapshot-allocated-KB")
	clear(records)
	imitator.reportRetained(meter)
}

func (imitator *Imitator) reportRetained(meter profiler.Meter) {
	meter.ReportMetric(imitator.retained()/1000, "retained-KB")
}

// Workers observes a shard whose workers run nothing.
func Workers() []profiler.Trial {
	return profiler.SweepCounts(func(meter profiler.Meter, workers int) error {
		imitator, err := shardOf(workers)
		if err != nil {
			return err
		}
		imitator.idle(meter)
		imitator.reportRetained(meter)
		return nil
	}, 35, 70, 140, 280)
}

// stateTrials observe a shard of 140 workers after a preparation, and its snapshot.
func stateTrials(prepare func(imitator *Imitator, size int) error, sizes ...int) []profiler.Trial {
	return profiler.SweepCounts(func(meter profiler.Meter, size int) error {
		imitator, err := shardOf(siteWorkers)
		if err != nil {
			return err
		}
		if err := prepare(imitator, size); err != nil {
			return err
		}
		imitator.idle(meter)
		imitator.reportState(meter)
		return nil
	}, sizes...)
}

// Tasks observes a shard with running tasks.
func Tasks() []profiler.Trial {
	return stateTrials((*Imitator).fill, 0, 850, 1700, 3400, 6800)
}

// Ended observes a shard that keeps ended jobs of ten tasks for their retention.
func Ended() []profiler.Trial {
	return stateTrials(func(imitator *Imitator, jobs int) error {
		imitator.RunToEnd(jobs, 100, func(index int) descriptor.Job {
			return teamJob(index, 10)
		})
		if imitator.Started != 10*jobs {
			return errors.Errorf("imitator: %d tasks started", imitator.Started)
		}
		return imitator.expect(0)
	}, 0, 500, 1000, 2000, 4000)
}

// RunToEnd lets jobs start and end in batches.
func (imitator *Imitator) RunToEnd(jobs, batch int, job func(index int) descriptor.Job) {
	for i := 0; i < jobs; i += batch {
		for j := range batch {
			imitator.Submit(job(i + j))
		}
		imitator.Advance(settling)
		imitator.End(imitator.Running)
		imitator.Advance(settling)
	}
}

// Keys observes a registrar that keeps the keys of jobs in other shards.
func Keys() []profiler.Trial {
	return stateTrials(func(imitator *Imitator, keys int) error {
		for i := range keys {
			imitator.Bind(teamJob(i, 10))
		}
		return nil
	}, 0, 5000, 10_000, 20_000)
}

// Starts observes a shard of 140 workers and 3400 running tasks while tasks start and as many end.
func Starts() []profiler.Trial {
	return profiler.SweepCounts(func(meter profiler.Meter, starts int) error {
		imitator, err := shardOf(siteWorkers)
		if err != nil {
			return err
		}
		if err := imitator.fill(3400); err != nil {
			return err
		}
		index := 1000
		imitator.Records, imitator.RecordBytes, imitator.Started = 0, 0, 0
		seconds := imitator.pass(meter, func() {
			imitator.End(starts)
			for range starts / 10 {
				index++
				imitator.Submit(teamJob(index, 10))
			}
		})
		meter.ReportMetric(float64(imitator.Started)/seconds, "starts/s")
		meter.ReportMetric(float64(imitator.Records)/seconds, "records/s")
		meter.ReportMetric(float64(imitator.RecordBytes)/seconds, "record-B/s")
		return nil
	}, 0, 10, 20, 40)
}

// Waiting observes a full shard of 140 workers while jobs wait that no worker has room for.
func Waiting() []profiler.Trial {
	return profiler.SweepCounts(func(meter profiler.Meter, jobs int) error {
		imitator, err := shardOf(siteWorkers)
		if err != nil {
			return err
		}
		submit := func(index, tasks int) {
			job := teamJob(index, tasks)
			job.Task = Capacity
			job.Task.MilliCPU = 40_000
			imitator.Submit(job)
		}
		submit(0, siteWorkers)
		imitator.Advance(settling)
		for i := range jobs {
			submit(i+1, 10)
		}
		imitator.Advance(time.Second)
		if err := imitator.expect(siteWorkers); err != nil {
			return err
		}
		imitator.idle(meter)
		imitator.reportRetained(meter)
		return nil
	}, 0, 250, 500, 1000, 2000)
}
