package sampler

import (
	"fmt"
	"testing"
	"time"

	"pomelomoor/internal/platform/executor"
	"pomelomoor/internal/standin/worker"
	"pomelomoor/internal/work/descriptor"
)

// BenchmarkSync renews the leases of running tasks over one kept connection. The processor time is of
// both sides.
func BenchmarkSync(b *testing.B) {
	for _, tasks := range []int{0, 6, 12, 24, 48, 96} {
		b.Run(fmt.Sprint("Whole/", tasks), func(b *testing.B) {
			benchmarkSync(b, tasks, false)
		})
	}
	for _, tasks := range []int{0, 24, 96} {
		b.Run(fmt.Sprint("Changes/", tasks), func(b *testing.B) {
			benchmarkSync(b, tasks, true)
		})
	}
}

func benchmarkSync(b *testing.B, tasks int, changes bool) {
	b.Helper()
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
		b.Fatal(err)
	}
	defer stop()
	client, closeIdle := executor.New(executor.Options{})
	defer closeIdle()
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
	reply, err := client.Sync(b.Context(), started.Address(), request)
	if err != nil {
		b.Fatal(err)
	}
	request.Start, request.Changes = nil, changes
	received, sent := started.Bytes()
	before := Own()
	b.ResetTimer()
	for range b.N {
		request.Ticket = reply.Ticket
		if reply, err = client.Sync(b.Context(), started.Address(), request); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	receivedNow, sentNow := started.Bytes()
	b.ReportMetric(float64(receivedNow-received)/float64(b.N), "request-B")
	b.ReportMetric(float64(sentNow-sent)/float64(b.N), "reply-B")
	b.ReportMetric(float64((Own()-before).Microseconds())/float64(b.N), "cpu-us")
}
