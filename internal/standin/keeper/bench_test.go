package keeper_test

import (
	"fmt"
	"net/netip"
	"testing"

	"pomelomoor/internal/gateway/lister"
	"pomelomoor/internal/gateway/storer"
	"pomelomoor/internal/standin/keeper"
)

func startBenchmark(b *testing.B) (*keeper.Keeper, []netip.AddrPort) {
	b.Helper()
	started, stop, err := keeper.Start(keeper.Options{
		Address: loopback,
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(stop)
	return started, []netip.AddrPort{started.Address()}
}

func reportBytes(b *testing.B, started *keeper.Keeper, before keeper.Counts) {
	counts := started.Counts()
	total := counts.BytesReceived + counts.BytesSent - before.BytesReceived - before.BytesSent
	b.ReportMetric(float64(total)/float64(b.N), "wire-B/op")
}

// BenchmarkPut writes values of 4 KiB, as large as a journal batch, one after the other.
func BenchmarkPut(b *testing.B) {
	started, addresses := startBenchmark(b)
	client, closeIdle, err := storer.New(addresses, storer.Options{})
	if err != nil {
		b.Fatal(err)
	}
	defer closeIdle()
	var version storer.Version
	value := make([]byte, 4<<10)
	before := started.Counts()
	for b.Loop() {
		if version, err = client.Put(b.Context(), "key", value, version, 0); err != nil {
			b.Fatal(err)
		}
	}
	reportBytes(b, started, before)
}

// BenchmarkListUnchanged polls an unchanged list of 1,400 instances with its validator.
func BenchmarkListUnchanged(b *testing.B) {
	started, addresses := startBenchmark(b)
	client, closeIdle, err := lister.New(addresses, lister.Options{})
	if err != nil {
		b.Fatal(err)
	}
	defer closeIdle()
	for index := range 1400 {
		err := client.Announce(b.Context(), lister.Instance{
			ID: fmt.Sprint("worker-", index),
		})
		if err != nil {
			b.Fatal(err)
		}
	}
	list, err := client.List(b.Context(), "")
	if err != nil {
		b.Fatal(err)
	}
	before := started.Counts()
	for b.Loop() {
		if _, err := client.List(b.Context(), list.ETag); err != nil {
			b.Fatal(err)
		}
	}
	reportBytes(b, started, before)
}
