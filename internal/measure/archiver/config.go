package archiver

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/go-faster/errors"

	"pomelomoor/internal/config/applier"
	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/gateway/lister"
	"pomelomoor/internal/measure/imitator"
	"pomelomoor/internal/measure/profiler"
	"pomelomoor/internal/work/descriptor"
)

func policyConfig(count int) parser.Config {
	config := parser.Config{
		Teams: imitator.Teams(),
	}
	for i := range count {
		config.Policies = append(config.Policies, parser.Policy{
			Name:     fmt.Sprintf("policy-%04d", i),
			Selector: fmt.Sprintf("Kind in (Batch,Gang),Work=Assay%d,!Pilot", i),
			Urgency:  descriptor.UrgencyHigh,
			Where:    "Disk=Fast",
		})
	}
	return config
}

// applySize is the number of policies of a configuration and of the instances that apply it.
type applySize struct {
	policies  int
	instances int
}

// Factors returns the numbers of policies and of instances.
func (applySize applySize) Factors() profiler.Factors {
	return profiler.Factors{
		profiler.NewFactor("Policies", applySize.policies),
		profiler.NewFactor("Instances", applySize.instances),
	}
}

// Apply measures storing a configuration and waiting until it is in force on all instances, each of which
// watches the store. The CPU time is that of all instances and of the stand-in of the store.
func Apply() []profiler.Trial {
	var sizes []applySize
	for _, count := range []int{20, 100, 400} {
		sizes = append(sizes, applySize{
			policies:  count,
			instances: 8,
		})
	}
	for _, count := range []int{16, 32, 64} {
		sizes = append(sizes, applySize{
			policies:  100,
			instances: count,
		})
	}
	return profiler.Sweep(measureApply, sizes...)
}

func measureApply(meter profiler.Meter, applySize applySize) error {
	store, err := openStore(meter)
	if err != nil {
		return err
	}
	subscribers, err := startSubscribers(meter, store, applySize)
	if err != nil {
		return err
	}
	if err := subscribers.apply(meter.Context()); err != nil {
		return err
	}
	before, rounds := store.usage(), 0.0
	for meter.Loop() {
		if err := subscribers.apply(meter.Context()); err != nil {
			return err
		}
		rounds++
	}
	used := store.usage().since(before)
	meter.ReportMetric(used.wireBytes()/rounds/1000, "wire-KB")
	meter.ReportMetric(used.cpuMicroseconds()/rounds/1000, "cpu-ms")
	meter.ReportMetric(float64(used.watches)/rounds, "watches")
	meter.ReportMetric(float64(used.gets)/rounds, "reads")
	return nil
}

// subscribers is a set of instances that watch a configuration.
type subscribers struct {
	writer    *applier.Applier
	instances int
	config    parser.Config
	revision  uint64
	inForce   chan uint64
}

// startSubscribers starts the instances. The last of them also stores new configurations.
func startSubscribers(meter profiler.Meter, store *store, applySize applySize) (*subscribers, error) {
	subscribers := &subscribers{
		instances: applySize.instances,
		config:    policyConfig(applySize.policies),
		inForce:   make(chan uint64, applySize.instances),
	}
	for range applySize.instances {
		client, err := dialStore(meter, store.keeper)
		if err != nil {
			return nil, err
		}
		subscribers.writer = &applier.Applier{
			Store: client,
			OnChange: func(compiled *parser.Compiled) {
				subscribers.inForce <- compiled.Revision
			},
		}
		watcher := subscribers.writer
		go func() { _ = watcher.Serve(meter.Context()) }()
	}
	return subscribers, nil
}

// apply stores the configuration as a new revision and waits until that revision is in force on all instances.
func (subscribers *subscribers) apply(ctx context.Context) error {
	next, err := subscribers.writer.Apply(ctx, subscribers.revision, subscribers.config)
	if err != nil {
		return err
	}
	subscribers.revision = next
	for applied := 0; applied < subscribers.instances; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case revision := <-subscribers.inForce:
			if revision == next {
				applied++
			}
		}
	}
	return nil
}

// List measures reads of the whole instance list, which each entry instance performs after every change.
func List() []profiler.Trial {
	return profiler.SweepCounts(measureList, 350, 700, 1400, 2800)
}

func measureList(meter profiler.Meter, instances int) error {
	store, err := openStore(meter)
	if err != nil {
		return err
	}
	client, closeIdle, err := lister.New([]netip.AddrPort{store.keeper.Address()}, lister.Options{})
	if err != nil {
		return errors.Wrap(err, "archiver: connect to the instance list")
	}
	defer closeIdle()
	if err := announceWorkers(meter.Context(), client, instances); err != nil {
		return err
	}
	before, rounds := store.usage(), 0.0
	for meter.Loop() {
		if _, err := client.List(meter.Context(), ""); err != nil {
			return err
		}
		rounds++
	}
	used := store.usage().since(before)
	meter.ReportMetric(float64(used.sent)/rounds/1000, "wire-KB")
	meter.ReportMetric(used.cpuMicroseconds()/rounds/1000, "cpu-ms")
	return nil
}

// announceWorkers adds workers to the instance list, eight per rack.
func announceWorkers(ctx context.Context, client *lister.Client, workers int) error {
	for i := range workers {
		err := client.Announce(ctx, lister.Instance{
			ID:      fmt.Sprintf("north-a-worker-%04d", i),
			Role:    lister.RoleWorker,
			State:   lister.StateLive,
			Address: loopback,
			Place: descriptor.Place{
				Region: "north",
				Site:   "north-a",
				Rack:   fmt.Sprintf("north-a-rack-%03d", i/8),
			},
		})
		if err != nil {
			return errors.Wrap(err, "archiver: announce worker")
		}
	}
	return nil
}
