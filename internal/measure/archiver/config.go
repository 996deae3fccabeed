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

func policies(count int) parser.Config {
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

// audience is a number of policies and of instances that have them in force.
type audience struct {
	policies  int
	instances int
}

// Factors returns both numbers.
func (audience audience) Factors() profiler.Factors {
	return profiler.Factors{
		profiler.NewFactor("Policies", audience.policies),
		profiler.NewFactor("Instances", audience.instances),
	}
}

// Apply applies configurations and waits until all instances have them in force, each by its own watch.
// The processor time is of all of them and of the stand-in of the store.
func Apply() []profiler.Trial {
	var audiences []audience
	for _, count := range []int{20, 100, 400} {
		audiences = append(audiences, audience{
			policies:  count,
			instances: 8,
		})
	}
	for _, count := range []int{16, 32, 64} {
		audiences = append(audiences, audience{
			policies:  100,
			instances: count,
		})
	}
	return profiler.Sweep(apply, audiences...)
}

func apply(meter profiler.Meter, audience audience) error {
	store, err := open(meter)
	if err != nil {
		return err
	}
	group, err := join(meter, store, audience)
	if err != nil {
		return err
	}
	if err := group.apply(meter.Context()); err != nil {
		return err
	}
	before, rounds := store.used(), 0.0
	for meter.Loop() {
		if err := group.apply(meter.Context()); err != nil {
			return err
		}
		rounds++
	}
	used := store.used().since(before)
	meter.ReportMetric(used.wireBytes()/rounds/1000, "wire-KB")
	meter.ReportMetric(used.microseconds()/rounds/1000, "cpu-ms")
	meter.ReportMetric(float64(used.watches)/rounds, "watches")
	meter.ReportMetric(float64(used.gets)/rounds, "reads")
	return nil
}

// group is the holders of a configuration.
type group struct {
	author    *applier.Applier
	instances int
	config    parser.Config
	revision  uint64
	inForce   chan uint64
}

// join starts the holders of the configuration, the last of which applies changes.
func join(meter profiler.Meter, store *store, audience audience) (*group, error) {
	group := &group{
		instances: audience.instances,
		config:    policies(audience.policies),
		inForce:   make(chan uint64, audience.instances),
	}
	for range audience.instances {
		client, err := dial(meter, store.keeper)
		if err != nil {
			return nil, err
		}
		group.author = &applier.Applier{
			Store: client,
			OnChange: func(compiled *parser.Compiled) {
				group.inForce <- compiled.Revision
			},
		}
		holder := group.author
		go func() { _ = holder.Serve(meter.Context()) }()
	}
	return group, nil
}

// apply applies the configuration once more and waits until it is in force everywhere.
func (group *group) apply(ctx context.Context) error {
	next, err := group.author.Apply(ctx, group.revision, group.config)
	if err != nil {
		return err
	}
	group.revision = next
	for arrived := 0; arrived < group.instances; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case revision := <-group.inForce:
			if revision == next {
				arrived++
			}
		}
	}
	return nil
}

// List reads the whole list of instances, as each entry instance does after each change.
func List() []profiler.Trial {
	return profiler.SweepCounts(list, 350, 700, 1400, 2800)
}

func list(meter profiler.Meter, instances int) error {
	store, err := open(meter)
	if err != nil {
		return err
	}
	client, closeIdle, err := lister.New([]netip.AddrPort{store.keeper.Address()}, lister.Options{})
	if err != nil {
		return errors.Wrap(err, "archiver: list")
	}
	defer closeIdle()
	if err := announce(meter.Context(), client, instances); err != nil {
		return err
	}
	before, rounds := store.used(), 0.0
	for meter.Loop() {
		if _, err := client.List(meter.Context(), ""); err != nil {
			return err
		}
		rounds++
	}
	used := store.used().since(before)
	meter.ReportMetric(float64(used.sent)/rounds/1000, "wire-KB")
	meter.ReportMetric(used.microseconds()/rounds/1000, "cpu-ms")
	return nil
}

// announce announces workers, eight in each rack.
func announce(ctx context.Context, client *lister.Client, workers int) error {
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
			return errors.Wrap(err, "archiver: list")
		}
	}
	return nil
}
