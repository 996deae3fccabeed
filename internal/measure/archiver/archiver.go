// Package archiver measures what journals, configurations and the instance list cost in calls and bytes
// of the store, whose stand-in runs in this process.
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
	// ringSize is that of an instance's default settings.
	ringSize = 256
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// store is a stand-in of the store with a client.
type store struct {
	keeper *keeper.Keeper
	client *storer.Client
}

// open starts a store, which ends with the measurement.
func open(meter profiler.Meter) (*store, error) {
	started, stop, err := keeper.Start(keeper.Options{
		Address: loopback,
	})
	if err != nil {
		return nil, errors.Wrap(err, "archiver: store")
	}
	meter.Cleanup(stop)
	client, err := dial(meter, started)
	return &store{
		keeper: started,
		client: client,
	}, err
}

func dial(meter profiler.Meter, started *keeper.Keeper) (*storer.Client, error) {
	client, closeIdle, err := storer.New([]netip.AddrPort{started.Address()}, storer.Options{})
	if err != nil {
		return nil, errors.Wrap(err, "archiver: store")
	}
	meter.Cleanup(closeIdle)
	return client, nil
}

// usage is what was used of the store and of this process's time.
type usage struct {
	sent      uint64
	received  uint64
	gets      uint64
	puts      uint64
	deletes   uint64
	watches   uint64
	processor time.Duration
}

// used returns the usage so far.
func (store *store) used() usage {
	counts := store.keeper.Counts()
	return usage{
		sent:      counts.BytesSent,
		received:  counts.BytesReceived,
		gets:      counts.Calls["Get"],
		puts:      counts.Calls["Put"],
		deletes:   counts.Calls["Delete"],
		watches:   counts.Calls["Watch"],
		processor: profiler.Own(),
	}
}

// since returns the usage after an earlier one.
func (usage usage) since(earlier usage) usage {
	usage.sent -= earlier.sent
	usage.received -= earlier.received
	usage.gets -= earlier.gets
	usage.puts -= earlier.puts
	usage.deletes -= earlier.deletes
	usage.watches -= earlier.watches
	usage.processor -= earlier.processor
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
	usage.processor += other.processor
	return usage
}

// wireBytes are those in both directions.
func (usage usage) wireBytes() float64 {
	return float64(usage.sent + usage.received)
}

func (usage usage) microseconds() float64 {
	return float64(usage.processor.Microseconds())
}

// state is that of a shard.
type state struct {
	tasks int
	// ended and keys are the ended jobs of ten tasks and the keys of jobs elsewhere that are kept.
	ended int
	keys  int
}

// The kept state of a shard with half and all of a tenth of the target size: jobs of a day and keys of
// thirty days.
var (
	halfKept = state{
		ended: 1150,
		keys:  31_000,
	}
	wholeKept = state{
		ended: 2300,
		keys:  62_000,
	}
)

// with returns the state with running tasks.
func (state state) with(tasks int) state {
	state.tasks = tasks
	return state
}

// Factors returns the numbers of tasks, ended jobs and keys. All states have as many keys for each ended job.
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

// job returns a job of ten tasks of an hour.
func job(key ...any) descriptor.Job {
	return imitator.Job(fmt.Sprint(key...), 10, time.Hour)
}

// build returns a shard of 140 workers.
func (state state) build() (*imitator.Imitator, error) {
	shard := imitator.New(140, &parser.Compiled{})
	for i := range state.keys {
		shard.Bind(job("bound-", i))
	}
	shard.RunToEnd(state.ended, 50, func(index int) descriptor.Job {
		return job("ended-", index)
	})
	for i := range state.tasks / 10 {
		shard.Submit(job("running-", i))
	}
	shard.Advance(3 * time.Second)
	if shard.Running != state.tasks {
		return nil, errors.Errorf("archiver: %d of %d tasks run", shard.Running, state.tasks)
	}
	return shard, nil
}

// write builds the shard and leaves a first snapshot of it in a new journal.
func (state state) write(ctx context.Context, client *storer.Client) (*imitator.Imitator, *journaler.Journal, error) {
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

// leave leaves a journal whose ring is half used, as just before a snapshot.
func (state state) leave(ctx context.Context, client *storer.Client) error {
	_, journal, err := state.write(ctx, client)
	if err != nil {
		return err
	}
	for range ringSize / 2 {
		if _, err := journal.Append(ctx, fences(8)); err != nil {
			return err
		}
	}
	return nil
}

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

// Kept returns trials that leave a journal without running tasks in a store and measure its takeover by
// other means.
func Kept(measure func(meter profiler.Meter, store *keeper.Keeper) error) []profiler.Trial {
	return profiler.Sweep(func(meter profiler.Meter, state state) error {
		store, err := open(meter)
		if err != nil {
			return err
		}
		if err := state.leave(meter.Context(), store.client); err != nil {
			return err
		}
		return measure(meter, store.keeper)
	}, state{}, halfKept, wholeKept)
}
