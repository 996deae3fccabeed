package prober

import (
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/gateway/executor"
	"pomelomoor/internal/measure/profiler"
	"pomelomoor/internal/standin/worker"
	"pomelomoor/internal/work/descriptor"
)

// syncSize is the number of tasks of a worker, which reports either all of them or only changes.
type syncSize struct {
	tasks   int
	changes bool
}

// Factors returns the number of tasks. The kind of report is the name of the factor.
func (syncSize syncSize) Factors() profiler.Factors {
	name := "Whole/"
	if syncSize.changes {
		name = "Changes/"
	}
	return profiler.Factors{
		{
			Name:  name,
			Value: syncSize.tasks,
		},
	}
}

// Sync measures lease renewals of running tasks over one persistent connection. The CPU time is the sum of both
// ends.
func Sync() []profiler.Trial {
	var sizes []syncSize
	for _, tasks := range []int{0, 6, 12, 24, 48, 96} {
		sizes = append(sizes, syncSize{
			tasks: tasks,
		})
	}
	for _, tasks := range []int{0, 24, 96} {
		sizes = append(sizes, syncSize{
			tasks:   tasks,
			changes: true,
		})
	}
	return profiler.Sweep(measureSync, sizes...)
}

// startWorker starts a worker, which stops when the measurement ends.
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
		return nil, errors.Wrap(err, "prober: start worker")
	}
	meter.Cleanup(stop)
	return started, nil
}

// startRequest returns a message that starts tasks.
func startRequest(tasks int) executor.SyncRequest {
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

func measureSync(meter profiler.Meter, syncSize syncSize) error {
	started, err := startWorker(meter)
	if err != nil {
		return err
	}
	client, closeIdle := executor.New(executor.Options{})
	defer closeIdle()
	request := startRequest(syncSize.tasks)
	response, err := client.Sync(meter.Context(), started.Address(), request)
	if err != nil {
		return err
	}
	request.Start, request.Changes = nil, syncSize.changes
	receivedBefore, sentBefore := started.Bytes()
	before, rounds := profiler.CPUTime(), 0.0
	for meter.Loop() {
		request.Ticket = response.Ticket
		if response, err = client.Sync(meter.Context(), started.Address(), request); err != nil {
			return err
		}
		rounds++
	}
	cpuTime := profiler.CPUTime() - before
	receivedAfter, sentAfter := started.Bytes()
	meter.ReportMetric(float64(receivedAfter-receivedBefore)/rounds, "request-B")
	meter.ReportMetric(float64(sentAfter-sentBefore)/rounds, "reply-B")
	meter.ReportMetric(float64(cpuTime.Microseconds())/rounds, "cpu-us")
	return nil
}
