// Package archiver measures the store calls, the bytes and the CPU time that journals, configurations and the
// instance list cost. The stand-in of the store runs in this process.
package archiver

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/gateway/storer"
	"pomelomoor/internal/measure/imitator"
	"pomelomoor/internal/measure/profiler"
	"pomelomoor/internal/shard/journaler"
	"pomelomoor/internal/shard/recordpb"
	"pomelomoor/internal/standin/keeper"
	"pomelomoor/internal/work/descriptor"
)

const (
	shard = "north-a-0"
	// ringSize is the default of the settings of an instance.
	ringSize = 256
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// store is a stand-in of the store and a client of it.
type store struct {
	keeper *keeper.Keeper
	client *storer.Client
}

// openStore starts a store, which stops when the measurement ends.
func openStore(meter profiler.Meter) (*store, error) {
	started, stop, err := keeper.Start(keeper.Options{
		Address: loopback,
	})
	if err != nil {
		return nil, errors.Wrap(err, "archiver: start store")
	}
	meter.Cleanup(stop)
	client, err := dialStore(meter, started)
	return &store{
		keeper: started,
		client: client,
	}, err
}

func dialStore(meter profiler.Meter, started *keeper.Keeper) (*storer.Client, error) {
	client, closeIdle, err := storer.New([]netip.AddrPort{started.Address()}, storer.Options{})
	if err != nil {
		return nil, errors.Wrap(err, "archiver: connect to store")
	}
	meter.Cleanup(closeIdle)
	return client, nil
}

// usage is the usage of the store and the CPU time of this process.
type usage struct {
	sent     uint64
	received uint64
	gets     uint64
	puts     uint64
	deletes  uint64
	watches  uint64
	cpuTime  time.Duration
}

// usage returns the usage so far.
func (store *store) usage() usage {
	counts := store.keeper.Counts()
	return usage{
		sent:     counts.BytesSent,
		received: counts.BytesReceived,
		gets:     counts.Calls["Get"],
		puts:     counts.Calls["Put"],
		deletes:  counts.Calls["Delete"],
		watches:  counts.Calls["Watch"],
		cpuTime:  profiler.CPUTime(),
	}
}

// since returns the difference to an earlier usage.
func (usage usage) since(earlier usage) usage {
	usage.sent -= earlier.sent
	usage.received -= earlier.received
	usage.gets -= earlier.gets
	usage.puts -= earlier.puts
	usage.deletes -= earlier.deletes
	usage.watches -= earlier.watches
	usage.cpuTime -= earlier.cpuTime
	return usage
}

// plus returns the sum of two usages.
func (usage usage) plus(other usage) usage {
	usage.sent += other.sent
	usage.received += other.received
	usage.gets += other.gets
	usage.puts += other.puts
	usage.deletes += other.deletes
	usage.watches += other.watches
	usage.cpuTime += other.cpuTime
	return usage
}

// wireBytes returns the bytes in both directions.
func (usage usage) wireBytes() float64 {
	return float64(usage.sent + usage.received)
}

func (usage usage) cpuMicroseconds() float64 {
	return float64(usage.cpuTime.Microseconds())
}

// state is the size of the state of a shard.
type state struct {
	tasks int
	// ended is the number of retained ended jobs of ten tasks, and keys the number of retained keys of jobs in
	// other shards.
	ended int
	keys  int
}

// The retained state of a shard that has a tenth of the target size, and half of that state: jobs of one day
// and keys of thirty days.
var (
	halfRetained = state{
		ended: 1150,
		keys:  31_000,
	}
	fullyRetained = state{
		ended: 2300,
		keys:  62_000,
	}
)

// withTasks returns the state with the given number of running tasks.
func (state state) withTasks(tasks int) state {
	state.tasks = tasks
	return state
}

// Factors returns the numbers of tasks, ended jobs and keys. Keys depend on ended jobs, as their ratio is the
// same in all states.
func (state state) Factors() profiler.Factors {
	return profiler.Factors{
		profiler.NewFactor("Tasks", state.tasks),
		profiler.NewFactor("Ended", state.ended),
		{
			Name:      "Keys",
			Value:     state.keys,
			Dependent: true,
		},
	}
}

// job returns a job of ten tasks, each of which runs for an hour.
func job(key ...any) descriptor.Job {
	return imitator.Job(fmt.Sprint(key...), 10, time.Hour)
}

// build returns a shard of 140 workers in this state.
func (state state) build() (*imitator.Imitator, error) {
	shard := imitator.New(140, &parser.Compiled{})
	for i := range state.keys {
		shard.Bind(job("bound-", i))
	}
	shard.RunToCompletion(state.ended, 50, func(index int) descriptor.Job {
		return job("ended-", index)
	})
	for i := range state.tasks / 10 {
		shard.Submit(job("running-", i))
	}
	shard.Advance(3 * time.Second)
	if shard.Running != state.tasks {
		return nil, errors.Errorf("archiver: %d of %d tasks are running", shard.Running, state.tasks)
	}
	return shard, nil
}

// writeSnapshot builds the shard and writes its first snapshot to a new journal.
func (state state) writeSnapshot(ctx context.Context, client *storer.Client) (*imitator.Imitator, *journaler.Journal, error) {
	built, err := state.build()
	if err != nil {
		return nil, nil, err
	}
	journal, _, err := openJournal(ctx, client, ringSize)
	if err != nil {
		return nil, nil, err
	}
	return built, journal, journal.Snapshot(ctx, journal.Sequence(), built.Controller.Snapshot())
}

func openJournal(ctx context.Context, client *storer.Client, size uint64) (*journaler.Journal, []*recordpb.Record, error) {
	return journaler.Open(ctx, journaler.Options{
		Store:    client,
		Shard:    shard,
		RingSize: size,
	})
}

// prepareJournal writes a snapshot and then fills half of the ring, as just before the next snapshot.
func (state state) prepareJournal(ctx context.Context, client *storer.Client) error {
	_, journal, err := state.writeSnapshot(ctx, client)
	if err != nil {
		return err
	}
	for range ringSize / 2 {
		if _, err := journal.Append(ctx, fenceRecords(8)); err != nil {
			return err
		}
	}
	return nil
}

// fenceRecords returns records that do not change the state and have about the size of an intent.
func fenceRecords(count int) []*recordpb.Record {
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

// Kept returns trials that write a journal without running tasks to a store and then call measure, which takes
// the shard over from that store.
func Kept(measure func(meter profiler.Meter, store *keeper.Keeper) error) []profiler.Trial {
	return profiler.Sweep(func(meter profiler.Meter, state state) error {
		store, err := openStore(meter)
		if err != nil {
			return err
		}
		if err := state.prepareJournal(meter.Context(), store.client); err != nil {
			return err
		}
		return measure(meter, store.keeper)
	}, state{}, halfRetained, fullyRetained)
}
