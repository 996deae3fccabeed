package prober

import (
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/gateway/executor"
	"pomelomoor/internal/measure/profiler"
	"pomelomoor/internal/standin/worker"
	"pomelomoor/internal/work/descriptor"
)

// renewal is a message to a worker with a number of tasks, which reports all of them or changes only.
type renewal struct {
	tasks   int
	changes bool
}

// Factors returns the number of tasks, named after the kind of report.
func (renewal renewal) Factors() profiler.Factors {
	name := "Whole/"
	if renewal.changes {
		name = "Changes/"
	}
	return profiler.Factors{
		{
			Name:  name,
			Value: renewal.tasks,
		},
	}
}

// Sync renews the leases of running tasks over one kept connection. The processor time is of both sides.
func Sync() []profiler.Trial {
	var renewals []renewal
	for _, tasks := range []int{0, 6, 12, 24, 48, 96} {
		renewals = append(renewals, renewal{
			tasks: tasks,
		})
	}
	for _, tasks := range []int{0, 24, 96} {
		renewals = append(renewals, renewal{
			tasks:   tasks,
			changes: true,
		})
	}
	return profiler.Sweep(renew, renewals...)
}

// startWorker starts a worker, which ends with the measurement.
func startWorker(meter profiler.Meter) (*worker.Worker, error) {
	started, stop, err := worker.Start(worker.Options{
		ID:      "north-a-worker-0042",
		Address: loopback,
		Place: descriptor.Place{
			Region: region,
			Site:   site,
			Rack:   "north-a-rack-005",
		},
		Labels: descriptor.Labels{
			"Disk":  "Fast",
			"Class": "Large",
		},
		Capacity: descriptor.Resources{
			MilliCPU:    128_000,
			MemoryBytes: 256 << 30,
		},
		UsageLag: time.Nanosecond,
	})
	if err != nil {
		return nil, errors.Wrap(err, "prober: worker")
	}
	meter.Cleanup(stop)
	return started, nil
}

// starts returns the message that starts tasks.
func starts(tasks int) executor.SyncRequest {
	request := executor.SyncRequest{
		Shard: "north-a-0",
		Epoch: 1,
		Lease: time.Hour,
	}
	for task := range tasks {
		request.Start = append(request.Start, executor.Start{
			Run: descriptor.RunID{
				Job:     "north-a-0.1jv8k2m3-5f2d9c7a41b86e03",
				Task:    task,
				Attempt: 1,
			},
			Task: descriptor.Resources{
				MilliCPU:    1000,
				MemoryBytes: 1 << 30,
			},
			Kind:    descriptor.KindBatch,
			Payload: `{"RunTime":"1h"}`,
		})
	}
	return request
}

func renew(meter profiler.Meter, renewal renewal) error {
	started, err := startWorker(meter)
	if err != nil {
		return err
	}
	client, closeIdle := executor.New(executor.Options{})
	defer closeIdle()
	request := starts(renewal.tasks)
	reply, err := client.Sync(meter.Context(), started.Address(), request)
	if err != nil {
		return err
	}
	request.Start, request.Changes = nil, renewal.changes
	received, sent := started.Bytes()
	before, rounds := profiler.Own(), 0.0
	for meter.Loop() {
		request.Ticket = reply.Ticket
		if reply, err = client.Sync(meter.Context(), started.Address(), request); err != nil {
			return err
		}
		rounds++
	}
	processor := profiler.Own() - before
	receivedNow, sentNow := started.Bytes()
	meter.ReportMetric(float64(receivedNow-received)/rounds, "request-B")
	meter.ReportMetric(float64(sentNow-sent)/rounds, "reply-B")
	meter.ReportMetric(float64(processor.Microseconds())/rounds, "cpu-us")
	return nil
}
