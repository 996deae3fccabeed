package sampler

import (
	"context"
	"net/http"
	"time"

	"pomelomoor/internal/client/caller"
	"pomelomoor/internal/entry/assembler"
	"pomelomoor/internal/measure/profiler"
)

// Request sends one request after the other through an entry instance in this process. The processor time
// includes the caller and the runner.
func Request(meter profiler.Meter) error {
	cell := &Cell{}
	defer cell.Close()
	if err := cell.openWithRunners(); err != nil {
		return err
	}
	entry, cleanup, err := assembler.New(assembler.Options{
		Settings: cell.settings(),
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
	return requestInTurn(ctx, meter, &caller.Client{
		Servers: []string{entry.HTTPAddress().String()},
		HTTP: &http.Client{
			Transport: &http.Transport{},
		},
	})
}

func requestInTurn(ctx context.Context, meter profiler.Meter, client *caller.Client) error {
	const serviceTime = "1us"
	// The list reaches the instance within two polls.
	for ask(ctx, client, serviceTime) != nil {
		if err := caller.Sleep(ctx, time.Second); err != nil {
			return err
		}
	}
	before, rounds := profiler.Own(), 0.0
	for meter.Loop() {
		if err := ask(ctx, client, serviceTime); err != nil {
			return err
		}
		rounds++
	}
	processor := profiler.Own() - before
	meter.ReportMetric(float64(processor.Microseconds())/rounds, "cpu-us")
	return nil
}
