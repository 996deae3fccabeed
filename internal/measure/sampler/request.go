package sampler

import (
	"context"
	"net/http"
	"time"

	"pomelomoor/internal/client/caller"
	"pomelomoor/internal/entry/assembler"
	"pomelomoor/internal/measure/profiler"
)

// Request sends requests one after another through an entry instance in this process. The CPU time includes
// the client and the runners.
func Request(meter profiler.Meter) error {
	testbed := &Testbed{}
	defer testbed.Close()
	if err := testbed.startStoreAndRunners(); err != nil {
		return err
	}
	entry, cleanup, err := assembler.New(assembler.Options{
		Settings: testbed.settings(),
	})
	if err != nil {
		return err
	}
	defer cleanup()
	ctx, cancel := context.WithCancel(meter.Context())
	served := make(chan error, 1)
	go func() { served <- entry.Serve(ctx) }()
	defer func() {
		cancel()
		<-served
	}()
	return requestSequentially(ctx, meter, &caller.Client{
		Servers: []string{entry.HTTPAddress().String()},
		HTTP: &http.Client{
			Transport: &http.Transport{},
		},
	})
}

func requestSequentially(ctx context.Context, meter profiler.Meter, client *caller.Client) error {
	const serviceTime = "1us"
	// The instance learns of the runners within two polls of the instance list.
	for sendRequest(ctx, client, serviceTime) != nil {
		if err := caller.Sleep(ctx, time.Second); err != nil {
			return err
		}
	}
	before, rounds := profiler.CPUTime(), 0.0
	for meter.Loop() {
		if err := sendRequest(ctx, client, serviceTime); err != nil {
			return err
		}
		rounds++
	}
	cpuTime := profiler.CPUTime() - before
	meter.ReportMetric(float64(cpuTime.Microseconds())/rounds, "cpu-us")
	return nil
}
