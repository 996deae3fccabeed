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

func intents(count int) []*recordpb.Record {
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

// Append writes batches of intents. The processor time includes the stand-in of the store.
func Append() []profiler.Trial {
	return profiler.SweepCounts(appendRecords, 1, 4, 16, 64)
}

func appendRecords(meter profiler.Meter, count int) error {
	store, err := open(meter)
	if err != nil {
		return err
	}
	// No snapshot is due in as many appends.
	const largeRing = 1 << 20
	journal, _, err := openJournal(meter.Context(), store.client, largeRing)
	if err != nil {
		return err
	}
	records := intents(count)
	before, rounds := store.used(), 0.0
	for meter.Loop() {
		if _, err := journal.Append(meter.Context(), records); err != nil {
			return err
		}
		rounds++
	}
	used := store.used().since(before)
	meter.ReportMetric(used.wireBytes()/rounds, "wire-B/append")
	meter.ReportMetric(used.microseconds()/rounds, "cpu-us/append")
	meter.ReportMetric(float64(used.puts)/rounds, "writes/append")
	return nil
}

// Takeover opens a journal and loads a controller from it.
func Takeover() []profiler.Trial {
	const tasks = 3400
	return profiler.Sweep(takeOver,
		state{}.with(850),
		state{}.with(1700),
		state{}.with(tasks),
		state{}.with(6800),
		halfKept.with(tasks),
		wholeKept.with(tasks),
	)
}

func takeOver(meter profiler.Meter, state state) error {
	store, err := open(meter)
	if err != nil {
		return err
	}
	if err := state.leave(meter.Context(), store.client); err != nil {
		return err
	}
	before, rounds := store.used(), 0.0
	var load time.Duration
	for meter.Loop() {
		_, records, err := openJournal(meter.Context(), store.client, ringSize)
		if err != nil {
			return err
		}
		machine, begin := controller.New(shard), time.Now()
		machine.Step(begin, signaler.Loaded{
			Epoch:   1,
			Records: records,
		})
		load += time.Since(begin)
		rounds++
	}
	used := store.used().since(before)
	meter.ReportMetric(float64(used.gets)/rounds, "reads")
	meter.ReportMetric(float64(used.puts)/rounds, "writes")
	meter.ReportMetric(float64(used.sent)/rounds/1000, "read-KB")
	meter.ReportMetric(used.microseconds()/rounds/1000, "cpu-ms")
	meter.ReportMetric(float64(load.Microseconds())/rounds/1000, "load-ms")
	return nil
}

// Snapshot writes the second snapshot of a shard of 140 workers with 3400 running tasks, ended jobs and
// keys, after as many starts as fill half of the ring at 2 records a batch.
func Snapshot() []profiler.Trial {
	const tasks = 3400
	return profiler.Sweep(snapshot, state{}.with(tasks), halfKept.with(tasks), wholeKept.with(tasks))
}

func snapshot(meter profiler.Meter, state state) error {
	store, err := open(meter)
	if err != nil {
		return err
	}
	shard, journal, err := state.write(meter.Context(), store.client)
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
		before := store.used()
		if err := journal.Snapshot(meter.Context(), journal.Sequence(), records); err != nil {
			return err
		}
		used = used.plus(store.used().since(before))
		rounds++
	}
	each := float64(rounds)
	meter.ReportMetric(used.wireBytes()/each/1000, "wire-KB")
	meter.ReportMetric(float64(used.puts+used.deletes)/each, "writes")
	meter.ReportMetric(float64(used.gets)/each, "reads")
	meter.ReportMetric(used.microseconds()/each/1000, "cpu-ms")
	return nil
}
