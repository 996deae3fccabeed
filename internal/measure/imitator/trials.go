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
	teamCount = 28
	// shardWorkers is the number of workers of a shard that has a tenth of the target size.
	shardWorkers = 140
	// settlingTime is long enough for a shard to start submitted tasks or to process ended runs.
	settlingTime = 3 * time.Second
)

// Teams returns as many teams as at the target size, each with the capacity of one worker as its quota.
func Teams() []parser.Team {
	var configs []parser.Team
	for team := range teamCount {
		configs = append(configs, parser.Team{
			Name:  fmt.Sprintf("team-%02d", team),
			Quota: Capacity,
		})
	}
	return configs
}

// Job returns a batch job whose tasks are all the same.
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

// teamJob returns a job of one of the teams, chosen round-robin by index.
func teamJob(index, tasks int) descriptor.Job {
	job := Job(fmt.Sprintf("6f1d2c3b-4a59-4788-9e7f-%012d", index), tasks, time.Hour)
	job.Team = fmt.Sprintf("team-%02d", index%teamCount)
	job.Payload = `{"RunTime":"1h"}`
	return job
}

// newShard returns a shard with as many teams as at the target size.
func newShard(workers int) (*Imitator, error) {
	compiled, err := parser.Compile(1, parser.Config{
		Teams: Teams(),
	})
	if err != nil {
		return nil, errors.Wrap(err, "imitator")
	}
	return New(workers, compiled), nil
}

// startTasks starts the given number of tasks, in jobs of ten tasks as at the target size.
func (imitator *Imitator) startTasks(tasks int) error {
	const tasksPerJob = 10
	for submitted := 0; submitted < tasks; submitted += tasksPerJob {
		imitator.Submit(teamJob(submitted/tasksPerJob, min(tasksPerJob, tasks-submitted)))
	}
	imitator.Advance(settlingTime)
	return imitator.expectRunning(tasks)
}

// expectRunning returns an error unless the given number of tasks is running.
func (imitator *Imitator) expectRunning(tasks int) error {
	if imitator.Running != tasks {
		return errors.Errorf("imitator: %d of %d tasks are running", imitator.Running, tasks)
	}
	return nil
}

// retainedBytes returns the heap size of the controller. It releases the controller to measure it.
func (imitator *Imitator) retainedBytes() float64 {
	heap := func() uint64 {
		runtime.GC()
		runtime.GC()
		return memStats().HeapAlloc
	}
	before := heap()
	imitator.Controller = nil
	imitator.events = imitator.events[:0]
	clear(imitator.events[:cap(imitator.events)])
	return float64(before - heap())
}

func memStats() runtime.MemStats {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats
}

// measureSeconds advances the clock by a second in each round, after calling beforeSecond, and reports the cost
// per second. It returns the number of rounds.
func (imitator *Imitator) measureSeconds(meter profiler.Meter, beforeSecond func()) float64 {
	runtime.GC()
	before := memStats().TotalAlloc
	imitator.StepTime, imitator.Syncs = 0, 0
	seconds := 0.0
	for meter.Loop() {
		beforeSecond()
		imitator.Advance(time.Second)
		seconds++
	}
	allocated := memStats().TotalAlloc - before
	meter.ReportMetric(float64(imitator.StepTime.Microseconds())/seconds, "step-us/s")
	meter.ReportMetric(float64(allocated)/seconds/1000, "allocated-KB/s")
	meter.ReportMetric(float64(imitator.Syncs)/seconds, "syncs/s")
	meter.ReportMetric(0, profiler.RoundTimeUnit)
	return seconds
}

// measureIdle reports the cost per second without requests.
func (imitator *Imitator) measureIdle(meter profiler.Meter) {
	imitator.measureSeconds(meter, func() {})
}

// reportState reports the cost and the size of a snapshot, and the heap size of the controller.
func (imitator *Imitator) reportState(meter profiler.Meter) {
	before := memStats().TotalAlloc
	begin := time.Now()
	records := imitator.Controller.Snapshot()
	took := time.Since(begin)
	allocated := memStats().TotalAlloc - before
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
	meter.ReportMetric(imitator.retainedBytes()/1000, "retained-KB")
}

// Workers measures a shard whose workers are idle.
func Workers() []profiler.Trial {
	return profiler.SweepCounts(func(meter profiler.Meter, workers int) error {
		imitator, err := newShard(workers)
		if err != nil {
			return err
		}
		imitator.measureIdle(meter)
		imitator.reportRetained(meter)
		return nil
	}, 35, 70, 140, 280)
}

// stateTrials returns trials that measure a shard of 140 workers and its snapshot after a preparation.
func stateTrials(prepare func(imitator *Imitator, size int) error, sizes ...int) []profiler.Trial {
	return profiler.SweepCounts(func(meter profiler.Meter, size int) error {
		imitator, err := newShard(shardWorkers)
		if err != nil {
			return err
		}
		if err := prepare(imitator, size); err != nil {
			return err
		}
		imitator.measureIdle(meter)
		imitator.reportState(meter)
		return nil
	}, sizes...)
}

// Tasks measures a shard with running tasks.
func Tasks() []profiler.Trial {
	return stateTrials((*Imitator).startTasks, 0, 850, 1700, 3400, 6800)
}

// Ended measures a shard that retains ended jobs of ten tasks.
func Ended() []profiler.Trial {
	return stateTrials(func(imitator *Imitator, jobs int) error {
		imitator.RunToCompletion(jobs, 100, func(index int) descriptor.Job {
			return teamJob(index, 10)
		})
		if imitator.Started != 10*jobs {
			return errors.Errorf("imitator: unexpected number of started tasks: %d", imitator.Started)
		}
		return imitator.expectRunning(0)
	}, 0, 500, 1000, 2000, 4000)
}

// RunToCompletion submits jobs in batches and ends all runs of a batch before the next.
func (imitator *Imitator) RunToCompletion(jobs, batch int, job func(index int) descriptor.Job) {
	for i := 0; i < jobs; i += batch {
		for j := range batch {
			imitator.Submit(job(i + j))
		}
		imitator.Advance(settlingTime)
		imitator.End(imitator.Running)
		imitator.Advance(settlingTime)
	}
}

// Keys measures a registrar that retains the keys of jobs in other shards.
func Keys() []profiler.Trial {
	return stateTrials(func(imitator *Imitator, keys int) error {
		for i := range keys {
			imitator.Bind(teamJob(i, 10))
		}
		return nil
	}, 0, 5000, 10_000, 20_000)
}

// Starts measures a shard of 140 workers and 3400 running tasks while tasks start and equally many end.
func Starts() []profiler.Trial {
	return profiler.SweepCounts(func(meter profiler.Meter, starts int) error {
		imitator, err := newShard(shardWorkers)
		if err != nil {
			return err
		}
		if err := imitator.startTasks(3400); err != nil {
			return err
		}
		index := 1000
		imitator.Records, imitator.RecordBytes, imitator.Started = 0, 0, 0
		seconds := imitator.measureSeconds(meter, func() {
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

// Waiting measures a full shard of 140 workers with waiting jobs, whose tasks exceed the free capacity of every
// worker.
func Waiting() []profiler.Trial {
	return profiler.SweepCounts(func(meter profiler.Meter, jobs int) error {
		imitator, err := newShard(shardWorkers)
		if err != nil {
			return err
		}
		submit := func(index, tasks int) {
			job := teamJob(index, tasks)
			job.Task = Capacity
			job.Task.MilliCPU = 40_000
			imitator.Submit(job)
		}
		submit(0, shardWorkers)
		imitator.Advance(settlingTime)
		for i := range jobs {
			submit(i+1, 10)
		}
		imitator.Advance(time.Second)
		if err := imitator.expectRunning(shardWorkers); err != nil {
			return err
		}
		imitator.measureIdle(meter)
		imitator.reportRetained(meter)
		return nil
	}, 0, 250, 500, 1000, 2000)
}
