package archiver

import (
	"time"

	"pomelomoor/internal/measure/profiler"
	"pomelomoor/internal/shard/controller"
	"pomelomoor/internal/shard/recorder"
	"pomelomoor/internal/shard/recordpb"
	"pomelomoor/internal/shard/signaler"
	"pomelomoor/internal/work/descriptor"
)

func intentRecords(count int) []*recordpb.Record {
	records := make([]*recordpb.Record, 0, count)
	for i := range count {
		records = append(records, recorder.RunIntended(descriptor.RunID{
			Job:     "north-a-0.1jv8k2m3-5f2d9c7a41b86e03",
			Task:    i,
			Attempt: 1,
		}, "north-a-worker-0042", "dq3x1gqk2m8w", time.Now()))
	}
	return records
}

// Append measures appends of batches of intents. The CPU time includes the stand-in of the store.
func Append() []profiler.Trial {
	return profiler.SweepCounts(measureAppend, 1, 4, 16, 64)
}

func measureAppend(meter profiler.Meter, count int) error {
	store, err := openStore(meter)
	if err != nil {
		return err
	}
	// The ring is too large to require a snapshot during the measurement.
	const largeRing = 1 << 20
	journal, _, err := openJournal(meter.Context(), store.client, largeRing)
	if err != nil {
		return err
	}
	records := intentRecords(count)
	before, rounds := store.usage(), 0.0
	for meter.Loop() {
		if _, err := journal.Append(meter.Context(), records); err != nil {
			return err
		}
		rounds++
	}
	used := store.usage().since(before)
	meter.ReportMetric(used.wireBytes()/rounds, "wire-B/append")
	meter.ReportMetric(used.cpuMicroseconds()/rounds, "cpu-us/append")
	meter.ReportMetric(float64(used.puts)/rounds, "writes/append")
	return nil
}

// Takeover measures opening a journal and loading a controller from it.
func Takeover() []profiler.Trial {
	const tasks = 3400
	return profiler.Sweep(measureTakeover,
		state{}.withTasks(850),
		state{}.withTasks(1700),
		state{}.withTasks(tasks),
		state{}.withTasks(6800),
		halfRetained.withTasks(tasks),
		fullyRetained.withTasks(tasks),
	)
}

func measureTakeover(meter profiler.Meter, state state) error {
	store, err := openStore(meter)
	if err != nil {
		return err
	}
	if err := state.prepareJournal(meter.Context(), store.client); err != nil {
		return err
	}
	before, rounds := store.usage(), 0.0
	var loadTime time.Duration
	for meter.Loop() {
		_, records, err := openJournal(meter.Context(), store.client, ringSize)
		if err != nil {
			return err
		}
		shardController, start := controller.New(shard), time.Now()
		shardController.Step(start, signaler.Loaded{
			Epoch:   1,
			Records: records,
		})
		loadTime += time.Since(start)
		rounds++
	}
	used := store.usage().since(before)
	meter.ReportMetric(float64(used.gets)/rounds, "reads")
	meter.ReportMetric(float64(used.puts)/rounds, "writes")
	meter.ReportMetric(float64(used.sent)/rounds/1000, "read-KB")
	meter.ReportMetric(used.cpuMicroseconds()/rounds/1000, "cpu-ms")
	meter.ReportMetric(float64(loadTime.Microseconds())/rounds/1000, "load-ms")
	return nil
}

// Snapshot measures snapshots of a shard of 140 workers with 3400 running tasks, ended jobs and keys. Before
// each one, as many tasks start as fill half of the ring with batches of 2 records.
func Snapshot() []profiler.Trial {
	const tasks = 3400
	return profiler.Sweep(measureSnapshot, state{}.withTasks(tasks), halfRetained.withTasks(tasks), fullyRetained.withTasks(tasks))
}

func measureSnapshot(meter profiler.Meter, state state) error {
	store, err := openStore(meter)
	if err != nil {
		return err
	}
	shard, journal, err := state.writeSnapshot(meter.Context(), store.client)
	if err != nil {
		return err
	}
	var used usage
	rounds := 0
	for meter.Loop() {
		for j := range 6 {
			shard.End(10)
			shard.Bind(job("more-bound-", rounds, j))
			shard.Submit(job("more-", rounds, j))
			shard.Advance(3 * time.Second)
		}
		records := shard.Controller.Snapshot()
		before := store.usage()
		if err := journal.Snapshot(meter.Context(), journal.Sequence(), records); err != nil {
			return err
		}
		used = used.plus(store.usage().since(before))
		rounds++
	}
	roundCount := float64(rounds)
	meter.ReportMetric(used.wireBytes()/roundCount/1000, "wire-KB")
	meter.ReportMetric(float64(used.puts+used.deletes)/roundCount, "writes")
	meter.ReportMetric(float64(used.gets)/roundCount, "reads")
	meter.ReportMetric(used.cpuMicroseconds()/roundCount/1000, "cpu-ms")
	return nil
}
