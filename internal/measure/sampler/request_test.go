package sampler

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"pomelomoor/internal/client/caller"
	"pomelomoor/internal/entry/assembler"
	"pomelomoor/internal/entry/presenter"
	"pomelomoor/internal/node/loader"
)

// BenchmarkRequest sends one request after the other through an entry instance in this process. The
// processor time and the allocations include the caller and the runner.
func BenchmarkRequest(b *testing.B) {
	cell := &Cell{}
	defer cell.Close()
	if err := cell.Open(0); err != nil {
		b.Fatal(err)
	}
	if err := cell.OpenRunners(50); err != nil {
		b.Fatal(err)
	}
	settings := loader.Defaults()
	settings.ID, settings.Region, settings.Site = "north-a-entry-00", region, site
	settings.HTTP, settings.Peer = loopback, loopback
	settings.Store = []netip.AddrPort{cell.Keeper.Address()}
	settings.List = cell.Keeper.Address()
	entry, cleanup, err := assembler.New(assembler.Options{
		Settings: settings,
	})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(b.Context())
	served := make(chan error, 1)
	go func() { served <- entry.Serve(ctx) }()
	defer func() {
		cancel()
		<-served
		cleanup()
	}()
	client := &caller.Client{
		Servers: []string{entry.HTTP().String()},
		HTTP: &http.Client{
			Transport: &http.Transport{},
		},
	}
	ask := func() error {
		_, _, err := client.Request(ctx, presenter.Request{
			Service:    Service,
			Caller:     "kiosk",
			Deadline:   time.Now().Add(time.Second),
			Idempotent: true,
			Body:       []byte(`{"ServiceTime":"1us"}`),
		})
		return err
	}
	// The list reaches the instance within two polls.
	for ask() != nil {
		if err := caller.Sleep(ctx, time.Second); err != nil {
			b.Fatal(err)
		}
	}
	before := Own()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if err := ask(); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	b.ReportMetric(float64((Own()-before).Microseconds())/float64(b.N), "cpu-us")
}
