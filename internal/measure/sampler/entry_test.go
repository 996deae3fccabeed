package sampler

import (
	"context"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"pomelomoor/internal/client/caller"
	"pomelomoor/internal/entry/presenter"
)

// window is how long a process is observed.
const window = 20 * time.Second

func build(b *testing.B) string {
	b.Helper()
	program := filepath.Join(b.TempDir(), "pomelomoor")
	output, err := exec.CommandContext(b.Context(), "go", "build", "-o", program, "pomelomoor/cmd/pomelomoor").CombinedOutput()
	if err != nil {
		b.Fatalf("%v: %s", err, output)
	}
	return program
}

// observe reports what the first process and all connections to workers use a second.
func observe(b *testing.B, cell *Cell) {
	b.Helper()
	sample := func() (Sample, uint64, map[string]uint64) {
		sample, err := cell.Processes[0].Sample()
		if err != nil {
			b.Fatal(err)
		}
		return sample, cell.Traffic(), cell.Keeper.Counts().Calls
	}
	before, workers, calls := sample()
	if err := caller.Sleep(b.Context(), window); err != nil {
		b.Fatal(err)
	}
	after, workersNow, callsNow := sample()
	seconds := after.At.Sub(before.At).Seconds()
	b.ReportMetric(100*(after.Processor-before.Processor).Seconds()/seconds, "core-%")
	b.ReportMetric(float64(after.ResidentBytes)/1e6, "resident-MB")
	b.ReportMetric(float64(workersNow-workers)/seconds, "worker-B/s")
	for _, kind := range []string{"Get", "Put", "Renew", "Unchanged"} {
		b.ReportMetric(float64(callsNow[kind]-calls[kind])/seconds, kind+"/s")
	}
	b.ReportMetric(0, "ns/op")
}

// BenchmarkEntry observes an entry instance as a process of its own, with one shard of workers. Run it
// with -benchtime 1x.
func BenchmarkEntry(b *testing.B) {
	program := build(b)
	for _, load := range []struct {
		workers int
		tasks   int
		starts  int
	}{
		{},
		{workers: 35, tasks: 24},
		{workers: 70, tasks: 24},
		{workers: 140, tasks: 24},
		{workers: 280, tasks: 24},
		{workers: 140},
		{workers: 140, tasks: 12},
		{workers: 140, tasks: 24, starts: 15},
		{workers: 140, tasks: 24, starts: 30},
	} {
		b.Run(fmt.Sprintf("Workers%d/Tasks%d/Starts%d", load.workers, load.tasks, load.starts), func(b *testing.B) {
			cell := &Cell{
				Program:   program,
				Directory: b.TempDir(),
			}
			defer cell.Close()
			if err := cell.Open(load.workers); err != nil {
				b.Fatal(err)
			}
			if _, err := cell.StartEntry(); err != nil {
				b.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
			defer cancel()
			if err := cell.Fill(ctx, load.workers*load.tasks); err != nil {
				b.Fatal(err)
			}
			// The first messages to all workers are over after two intervals.
			const settling = 4 * time.Second
			if err := caller.Sleep(ctx, settling); err != nil {
				b.Fatal(err)
			}
			go submit(ctx, cell, load.starts)
			observe(b, cell)
		})
	}
}

// submit has tasks start at a rate until ctx ends, ten for each job as at the target size.
func submit(ctx context.Context, cell *Cell, starts int) {
	if starts == 0 {
		return
	}
	const perJob = 10
	client := cell.Client()
	ticker := time.NewTicker(time.Second * perJob / time.Duration(starts))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, _, err := client.Submit(ctx, Job(fmt.Sprint("start-", i), perJob, 2*time.Second)); err != nil {
			return
		}
	}
}

// BenchmarkRequests observes an entry instance that forwards interactive requests of 5 ms to 50 runners.
func BenchmarkRequests(b *testing.B) {
	program := build(b)
	for _, rate := range []int{50, 100, 200, 400} {
		b.Run(fmt.Sprint(rate), func(b *testing.B) {
			cell := &Cell{
				Program:   program,
				Directory: b.TempDir(),
			}
			defer cell.Close()
			if err := cell.Open(0); err != nil {
				b.Fatal(err)
			}
			if err := cell.OpenRunners(50); err != nil {
				b.Fatal(err)
			}
			if _, err := cell.StartEntry(); err != nil {
				b.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
			defer cancel()
			var done, refused atomic.Int64
			go request(ctx, cell, rate, &done, &refused)
			// The list reaches the instance within two polls.
			const settling = 5 * time.Second
			if err := caller.Sleep(ctx, settling); err != nil {
				b.Fatal(err)
			}
			done.Store(0)
			refused.Store(0)
			observe(b, cell)
			b.ReportMetric(float64(done.Load())/window.Seconds(), "done/s")
			b.ReportMetric(float64(refused.Load())/window.Seconds(), "refused/s")
		})
	}
}

// request sends requests at a rate until ctx ends.
func request(ctx context.Context, cell *Cell, rate int, done, refused *atomic.Int64) {
	client := cell.Client()
	client.Attempts = 1
	// One connection for each request in progress at most.
	transport := &http.Transport{
		MaxIdleConnsPerHost: 64,
	}
	defer transport.CloseIdleConnections()
	client.HTTP = &http.Client{
		Transport: transport,
	}
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		go func() {
			_, _, err := client.Request(ctx, presenter.Request{
				Service:    Service,
				Caller:     "kiosk",
				Deadline:   time.Now().Add(time.Second),
				Idempotent: true,
				Body:       []byte(`{"ServiceTime":"5ms"}`),
			})
			if err != nil {
				refused.Add(1)
				return
			}
			done.Add(1)
		}()
	}
}

// BenchmarkRegion observes one of several idle entry instances of a region with ten shards without
// workers.
func BenchmarkRegion(b *testing.B) {
	program := build(b)
	for _, instances := range []int{4, 8, 16, 32} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			cell := &Cell{
				Program:   program,
				Directory: b.TempDir(),
				Shards:    10,
			}
			defer cell.Close()
			if err := cell.Open(0); err != nil {
				b.Fatal(err)
			}
			for range instances {
				if _, err := cell.StartEntry(); err != nil {
					b.Fatal(err)
				}
			}
			const settling = 10 * time.Second
			if err := caller.Sleep(b.Context(), settling); err != nil {
				b.Fatal(err)
			}
			observe(b, cell)
		})
	}
}

// BenchmarkKept observes an entry instance that has taken over a shard with ended jobs and keys and no
// workers.
func BenchmarkKept(b *testing.B) {
	program := build(b)
	for _, state := range []state{
		{},
		{ended: 1150, keys: 31_000},
		{ended: 2300, keys: 62_000},
	} {
		b.Run(state.String(), func(b *testing.B) {
			cell := &Cell{
				Program:   program,
				Directory: b.TempDir(),
			}
			defer cell.Close()
			if err := cell.Open(0); err != nil {
				b.Fatal(err)
			}
			writeState(b, dialStore(b, cell.Keeper), state)
			if _, err := cell.StartEntry(); err != nil {
				b.Fatal(err)
			}
			const settling = 15 * time.Second
			if err := caller.Sleep(b.Context(), settling); err != nil {
				b.Fatal(err)
			}
			observe(b, cell)
		})
	}
}
