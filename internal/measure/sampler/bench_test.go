package sampler_test

import (
	"testing"

	"pomelomoor/internal/measure/archiver"
	"pomelomoor/internal/measure/prober"
	"pomelomoor/internal/measure/profiler"
	"pomelomoor/internal/measure/sampler"
)

// benchProcess builds the program and runs trials of it. Run them with -benchtime 1x: a trial observes its
// process for a fixed time.
func benchProcess(b *testing.B, trials func(program string) []profiler.Trial) {
	b.Helper()
	program, err := sampler.Build(b.Context(), b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	profiler.Bench(b, trials(program))
}

func BenchmarkEntry(b *testing.B) { benchProcess(b, sampler.Entry) }

func BenchmarkRequests(b *testing.B) { benchProcess(b, sampler.Requests) }

func BenchmarkRegion(b *testing.B) { benchProcess(b, sampler.Region) }

func BenchmarkKept(b *testing.B) { benchProcess(b, sampler.Kept) }

func BenchmarkRequest(b *testing.B) {
	b.ReportAllocs()
	if err := sampler.Request(b); err != nil {
		b.Fatal(err)
	}
}

func BenchmarkExchange(b *testing.B) { profiler.Bench(b, prober.Exchange()) }

func BenchmarkView(b *testing.B) { profiler.Bench(b, prober.View()) }

func BenchmarkSync(b *testing.B) { profiler.Bench(b, prober.Sync()) }

func BenchmarkAppend(b *testing.B) { profiler.Bench(b, archiver.Append()) }

func BenchmarkTakeover(b *testing.B) { profiler.Bench(b, archiver.Takeover()) }

func BenchmarkSnapshot(b *testing.B) { profiler.Bench(b, archiver.Snapshot()) }

func BenchmarkApply(b *testing.B) { profiler.Bench(b, archiver.Apply()) }

func BenchmarkList(b *testing.B) { profiler.Bench(b, archiver.List()) }
