package worker_test

import (
	"net/netip"
	"testing"
	"time"

	"pomelomoor/internal/gateway/executor"
	"pomelomoor/internal/standin/worker"
)

// BenchmarkSync renews the lease of 24 runs, the number per worker in the target deployment.
func BenchmarkSync(b *testing.B) {
	started, stop, err := worker.Start(worker.Options{
		ID:       "worker-1",
		Address:  netip.MustParseAddrPort("127.0.0.1:0"),
		Capacity: capacity.Scale(24),
	})
	if err != nil {
		b.Fatal(err)
	}
	defer stop()
	client, closeIdle := executor.New(executor.Options{})
	defer closeIdle()
	request := executor.SyncRequest{
		Shard: "site-0",
		Epoch: 1,
		Lease: time.Hour,
	}
	for task := range 24 {
		request.Start = append(request.Start, batchStart(task, 1, `{"RunTime":"1h","Use":{"MilliCPU":1}}`)...)
	}
	response, err := client.Sync(b.Context(), started.Address(), request)
	if err != nil || len(response.Running) != 24 {
		b.Fatalf("start of 24 runs: %+v, %v", response, err)
	}
	request.Start = nil
	received, sent := started.Bytes()
	before := received + sent
	for b.Loop() {
		request.Ticket = response.Ticket
		if response, err = client.Sync(b.Context(), started.Address(), request); err != nil || response.Stale {
			b.Fatalf("renewal: %+v, %v", response, err)
		}
	}
	received, sent = started.Bytes()
	b.ReportMetric(float64(received+sent-before)/float64(b.N), "wire-B/op")
}
