package sampler

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"pomelomoor/internal/config/applier"
	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/measure/imitator"
	"pomelomoor/internal/platform/storer"
	"pomelomoor/internal/shard/controller"
	"pomelomoor/internal/shard/journaler"
	"pomelomoor/internal/shard/recorder"
	"pomelomoor/internal/shard/recordpb"
	"pomelomoor/internal/shard/signaler"
	"pomelomoor/internal/standin/keeper"
	"pomelomoor/internal/work/descriptor"
)

// startStore returns a client of a stand-in of the store.
func startStore(b *testing.B) (*keeper.Keeper, *storer.Client) {
	b.Helper()
	started, stop, err := keeper.Start(keeper.Options{
		Address: loopback,
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(stop)
	return started, dialStore(b, started)
}

func dialStore(b *testing.B, started *keeper.Keeper) *storer.Client {
	b.Helper()
	client, closeIdle, err := storer.Dial([]netip.AddrPort{started.Address()}, storer.Options{})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(closeIdle)
	return client
}

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

// BenchmarkAppend writes batches of intents. The processor time includes the stand-in of the store.
func BenchmarkAppend(b *testing.B) {
	for _, count := range []int{1, 4, 16, 64} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			started, client := startStore(b)
			journal, _, err := journaler.Open(b.Context(), journaler.Options{
				Store:    client,
				Shard:    "north-a-0",
				RingSize: 1 << 20,
			})
			if err != nil {
				b.Fatal(err)
			}
			records := intents(count)
			counts, before := started.Counts(), Own()
			b.ResetTimer()
			for range b.N {
				if _, err := journal.Append(b.Context(), records); err != nil {
					b.Fatal(err)
				}
			}
			b.StopTimer()
			now := started.Counts()
			b.ReportMetric(float64(now.BytesReceived+now.BytesSent-counts.BytesReceived-counts.BytesSent)/float64(b.N), "wire-B/append")
			b.ReportMetric(float64((Own()-before).Microseconds())/float64(b.N), "cpu-us/append")
			b.ReportMetric(float64(now.Calls["Put"]-counts.Calls["Put"])/float64(b.N), "writes/append")
		})
	}
}

// state is that of a shard.
type state struct {
	tasks int
	// ended and keys are the ended jobs of ten tasks and the keys of jobs elsewhere that are kept.
	ended int
	keys  int
}

// state of a tenth of the target size: running tasks, jobs of a day and keys of thirty days.
var whole = state{
	tasks: 3400,
	ended: 2300,
	keys:  62_000,
}

func (state state) String() string {
	return fmt.Sprintf("Tasks%d/Ended%d/Keys%d", state.tasks, state.ended, state.keys)
}

// build returns a shard of 140 workers.
func (state state) build(b *testing.B) *imitator.Imitator {
	b.Helper()
	shard := imitator.New(140, &parser.Compiled{})
	for i := range state.keys {
		shard.Bind(Job(fmt.Sprint("bound-", i), 10, time.Hour))
	}
	for i := 0; i < state.ended; i += 50 {
		for j := range 50 {
			shard.Submit(Job(fmt.Sprint("ended-", i+j), 10, time.Hour))
		}
		shard.Advance(3 * time.Second)
		shard.End(shard.Running)
		shard.Advance(3 * time.Second)
	}
	for i := range state.tasks / 10 {
		shard.Submit(Job(fmt.Sprint("running-", i), 10, time.Hour))
	}
	shard.Advance(3 * time.Second)
	if shard.Running != state.tasks {
		b.Fatalf("%d of %d tasks run", shard.Running, state.tasks)
	}
	return shard
}

// writeState leaves a journal of running tasks whose ring is half used, as just before a snapshot.
func writeState(b *testing.B, client *storer.Client, state state) {
	b.Helper()
	shard := state.build(b)
	journal, _, err := journaler.Open(b.Context(), journaler.Options{
		Store:    client,
		Shard:    "north-a-0",
		RingSize: ringSize,
	})
	if err != nil {
		b.Fatal(err)
	}
	if err := journal.Snapshot(b.Context(), journal.Sequence(), shard.Controller.Snapshot()); err != nil {
		b.Fatal(err)
	}
	for range ringSize / 2 {
		if _, err := journal.Append(b.Context(), fences(8)); err != nil {
			b.Fatal(err)
		}
	}
}

// ringSize is that of an instance's default settings.
const ringSize = 256

// fences returns records that leave the state as it is, of the size of an intent.
func fences(count int) []*recordpb.Record {
	records := make([]*recordpb.Record, 0, count)
	for range count {
		records = append(records, &recordpb.Record{
			Change: &recordpb.Record_Fence{
				Fence: &recordpb.Fence{
					Owner: strings.Repeat("x", 80),
				},
			},
		})
	}
	return records
}

// BenchmarkTakeover opens a journal and loads a controller from it.
func BenchmarkTakeover(b *testing.B) {
	for _, state := range []state{
		{tasks: 850},
		{tasks: 1700},
		{tasks: 3400},
		{tasks: 6800},
		{tasks: 3400, ended: 1150, keys: 31_000},
		whole,
	} {
		b.Run(state.String(), func(b *testing.B) {
			started, client := startStore(b)
			writeState(b, client, state)
			before, counts := Own(), started.Counts()
			b.ResetTimer()
			var load time.Duration
			for range b.N {
				_, records, err := journaler.Open(b.Context(), journaler.Options{
					Store:    client,
					Shard:    "north-a-0",
					RingSize: ringSize,
				})
				if err != nil {
					b.Fatal(err)
				}
				machine, begin := controller.New("north-a-0"), time.Now()
				machine.Step(begin, signaler.Loaded{
					Epoch:   1,
					Records: records,
				})
				load += time.Since(begin)
			}
			b.StopTimer()
			now := started.Counts()
			each := float64(b.N)
			b.ReportMetric(float64(now.Calls["Get"]-counts.Calls["Get"])/each, "reads")
			b.ReportMetric(float64(now.Calls["Put"]-counts.Calls["Put"])/each, "writes")
			b.ReportMetric(float64(now.BytesSent-counts.BytesSent)/each/1000, "read-KB")
			b.ReportMetric(float64((Own()-before).Microseconds())/each/1000, "cpu-ms")
			b.ReportMetric(float64(load.Microseconds())/each/1000, "load-ms")
		})
	}
}

func policies(count int) parser.Config {
	var config parser.Config
	for i := range count {
		config.Policies = append(config.Policies, parser.Policy{
			Name:     fmt.Sprintf("policy-%04d", i),
			Selector: fmt.Sprintf("Kind in (Batch,Gang),Work=Assay%d,!Pilot", i),
			Urgency:  descriptor.UrgencyHigh,
			Where:    "Disk=Fast",
		})
	}
	const teams = 28
	for i := range teams {
		config.Teams = append(config.Teams, parser.Team{
			Name:  fmt.Sprintf("team-%02d", i),
			Quota: imitator.Capacity,
		})
	}
	return config
}

// BenchmarkApply applies configurations and waits until all instances have them in force, each by its
// own watch. The processor time is of all of them and of the stand-in of the store.
func BenchmarkApply(b *testing.B) {
	for _, size := range []struct {
		policies  int
		instances int
	}{
		{policies: 20, instances: 8},
		{policies: 100, instances: 8},
		{policies: 400, instances: 8},
		{policies: 100, instances: 16},
		{policies: 100, instances: 32},
		{policies: 100, instances: 64},
	} {
		b.Run(fmt.Sprintf("Policies%d/Instances%d", size.policies, size.instances), func(b *testing.B) {
			started, client := startStore(b)
			inForce := make(chan uint64, size.instances)
			var first *applier.Applier
			for range size.instances {
				instance := &applier.Applier{
					Store: dialStore(b, started),
					OnChange: func(compiled *parser.Compiled) {
						inForce <- compiled.Revision
					},
				}
				go func() { _ = instance.Serve(b.Context()) }()
				first = instance
			}
			_ = client
			config := policies(size.policies)
			revision := uint64(0)
			apply := func() {
				next, err := first.Apply(b.Context(), revision, config)
				if err != nil {
					b.Fatal(err)
				}
				revision = next
				for arrived := 0; arrived < size.instances; {
					if <-inForce == revision {
						arrived++
					}
				}
			}
			apply()
			before, counts := Own(), started.Counts()
			b.ResetTimer()
			for range b.N {
				apply()
			}
			b.StopTimer()
			now := started.Counts()
			each := float64(b.N)
			b.ReportMetric(float64(now.BytesSent+now.BytesReceived-counts.BytesSent-counts.BytesReceived)/each/1000, "wire-KB")
			b.ReportMetric(float64((Own()-before).Microseconds())/each/1000, "cpu-ms")
			b.ReportMetric(float64(now.Calls["Watch"]-counts.Calls["Watch"])/each, "watches")
			b.ReportMetric(float64(now.Calls["Get"]-counts.Calls["Get"])/each, "reads")
		})
	}
}

// BenchmarkSnapshot writes the second snapshot of a shard of 140 workers with 3400 running tasks, ended
// jobs and keys, after as many starts as fill half of the ring at 2 records a batch.
func BenchmarkSnapshot(b *testing.B) {
	for _, state := range []state{
		{tasks: 3400},
		{tasks: 3400, ended: 1150, keys: 31_000},
		whole,
	} {
		b.Run(state.String(), func(b *testing.B) {
			started, client := startStore(b)
			shard := state.build(b)
			journal, _, err := journaler.Open(b.Context(), journaler.Options{
				Store:    client,
				Shard:    "north-a-0",
				RingSize: ringSize,
			})
			if err != nil {
				b.Fatal(err)
			}
			if err := journal.Snapshot(b.Context(), journal.Sequence(), shard.Controller.Snapshot()); err != nil {
				b.Fatal(err)
			}
			b.ResetTimer()
			var bytes, puts, reads uint64
			var processor time.Duration
			for i := range b.N {
				for j := range 6 {
					shard.End(10)
					shard.Bind(Job(fmt.Sprint("more-bound-", i, j), 10, time.Hour))
					shard.Submit(Job(fmt.Sprint("more-", i, j), 10, time.Hour))
					shard.Advance(3 * time.Second)
				}
				records := shard.Controller.Snapshot()
				counts, before := started.Counts(), Own()
				if err := journal.Snapshot(b.Context(), journal.Sequence(), records); err != nil {
					b.Fatal(err)
				}
				now := started.Counts()
				bytes += now.BytesReceived + now.BytesSent - counts.BytesReceived - counts.BytesSent
				puts += now.Calls["Put"] + now.Calls["Delete"] - counts.Calls["Put"] - counts.Calls["Delete"]
				reads += now.Calls["Get"] - counts.Calls["Get"]
				processor += Own() - before
			}
			each := float64(b.N)
			b.ReportMetric(float64(bytes)/each/1000, "wire-KB")
			b.ReportMetric(float64(puts)/each, "writes")
			b.ReportMetric(float64(reads)/each, "reads")
			b.ReportMetric(float64(processor.Microseconds())/each/1000, "cpu-ms")
		})
	}
}
