package sampler

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/client/caller"
	"pomelomoor/internal/entry/presenter"
	"pomelomoor/internal/measure/archiver"
	"pomelomoor/internal/measure/imitator"
	"pomelomoor/internal/measure/profiler"
	"pomelomoor/internal/standin/keeper"
	"pomelomoor/internal/trial/spawner"
)

// observationTime is how long a process is observed.
const observationTime = 20 * time.Second

// Build builds cmd/pomelomoor into a directory and returns the path of the program.
func Build(ctx context.Context, directory string) (string, error) {
	program := filepath.Join(directory, "pomelomoor")
	if err := spawner.Build(ctx, directory, "pomelomoor/cmd/pomelomoor"); err != nil {
		return "", errors.Wrap(err, "sampler")
	}
	return program, nil
}

// resourceUsage is the usage so far of a testbed: a sample of the first process, the bytes on all
// connections to workers, and the calls to the store by kind.
type resourceUsage struct {
	sample      Sample
	workerBytes uint64
	storeCalls  map[string]uint64
}

func (testbed *Testbed) usage() (resourceUsage, error) {
	sample, err := testbed.Processes[0].Sample()
	return resourceUsage{
		sample:      sample,
		workerBytes: testbed.WorkerBytes(),
		storeCalls:  testbed.Store.Counts().Calls,
	}, err
}

// observe reports the CPU and memory usage of the first process, the bytes per second on all connections to
// workers, and the calls per second to the store.
func (testbed *Testbed) observe(meter profiler.Meter) error {
	before, err := testbed.usage()
	if err != nil {
		return err
	}
	if err := caller.Sleep(meter.Context(), observationTime); err != nil {
		return err
	}
	after, err := testbed.usage()
	if err != nil {
		return err
	}
	seconds := after.sample.At.Sub(before.sample.At).Seconds()
	cpuTime := after.sample.CPUTime - before.sample.CPUTime
	meter.ReportMetric(100*cpuTime.Seconds()/seconds, "core-%")
	meter.ReportMetric(float64(after.sample.ResidentBytes)/1e6, "resident-MB")
	meter.ReportMetric(float64(after.workerBytes-before.workerBytes)/seconds, "worker-B/s")
	for _, kind := range []string{"Get", "Put", "Renew", "Unchanged"} {
		meter.ReportMetric(float64(after.storeCalls[kind]-before.storeCalls[kind])/seconds, kind+"/s")
	}
	meter.ReportMetric(0, profiler.RoundTimeUnit)
	return nil
}

// load is the load on one entry instance that owns one shard.
type load struct {
	workers int
	// tasks is the number of running tasks of each worker.
	tasks int
	// starts is the number of task starts per second.
	starts int
}

// Factors returns the numbers of workers, of tasks per worker, and of starts per second.
func (load load) Factors() profiler.Factors {
	return profiler.Factors{
		profiler.NewFactor("Workers", load.workers),
		profiler.NewFactor("Tasks", load.tasks),
		profiler.NewFactor("Starts", load.starts),
	}
}

// Entry measures an entry instance that owns one shard with workers.
func Entry(program string) []profiler.Trial {
	loads := []load{
		{},
	}
	for _, workers := range []int{35, 70, 140, 280} {
		loads = append(loads, load{
			workers: workers,
			tasks:   24,
		})
	}
	for _, tasks := range []int{0, 12} {
		loads = append(loads, load{
			workers: 140,
			tasks:   tasks,
		})
	}
	for _, starts := range []int{15, 30} {
		loads = append(loads, load{
			workers: 140,
			tasks:   24,
			starts:  starts,
		})
	}
	return profiler.Sweep(func(meter profiler.Meter, load load) error {
		return load.observe(meter, program)
	}, loads...)
}

func (load load) observe(meter profiler.Meter, program string) error {
	testbed := &Testbed{
		Program:   program,
		Directory: meter.TempDir(),
	}
	defer testbed.Close()
	if err := testbed.Open(load.workers); err != nil {
		return err
	}
	if _, err := testbed.StartEntry(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(meter.Context(), time.Minute)
	defer cancel()
	if err := testbed.StartTasks(ctx, load.workers*load.tasks); err != nil {
		return err
	}
	// The first messages to all workers are complete after two sync intervals.
	const settlingTime = 4 * time.Second
	if err := caller.Sleep(ctx, settlingTime); err != nil {
		return err
	}
	go testbed.submitJobs(ctx, load.starts)
	return testbed.observe(meter)
}

// submitJobs submits jobs until ctx is cancelled, so that the given number of tasks starts per second. Each
// job has ten tasks, as at the target size.
func (testbed *Testbed) submitJobs(ctx context.Context, starts int) {
	if starts == 0 {
		return
	}
	const tasksPerJob = 10
	client := testbed.Client()
	ticker := time.NewTicker(time.Second * tasksPerJob / time.Duration(starts))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, _, err := client.Submit(ctx, imitator.Job(fmt.Sprint("start-", i), tasksPerJob, 2*time.Second)); err != nil {
			return
		}
	}
}

// Requests measures an entry instance that forwards interactive requests, each of which takes 5 ms, to 50
// runners.
func Requests(program string) []profiler.Trial {
	return profiler.SweepCounts(func(meter profiler.Meter, rate int) error {
		return observeRequests(meter, program, rate)
	}, 50, 100, 200, 400)
}

func observeRequests(meter profiler.Meter, program string, rate int) error {
	testbed := &Testbed{
		Program:   program,
		Directory: meter.TempDir(),
	}
	defer testbed.Close()
	if err := testbed.startStoreAndRunners(); err != nil {
		return err
	}
	if _, err := testbed.StartEntry(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(meter.Context(), time.Minute)
	defer cancel()
	var done, refused atomic.Int64
	go testbed.sendRequests(ctx, rate, &done, &refused)
	// The instance learns of the runners within two polls of the instance list.
	const settlingTime = 5 * time.Second
	if err := caller.Sleep(ctx, settlingTime); err != nil {
		return err
	}
	done.Store(0)
	refused.Store(0)
	if err := testbed.observe(meter); err != nil {
		return err
	}
	meter.ReportMetric(float64(done.Load())/observationTime.Seconds(), "done/s")
	meter.ReportMetric(float64(refused.Load())/observationTime.Seconds(), "refused/s")
	return nil
}

// startStoreAndRunners starts the store and 50 runners.
func (testbed *Testbed) startStoreAndRunners() error {
	if err := testbed.Open(0); err != nil {
		return err
	}
	return testbed.StartRunners(50)
}

// sendRequests sends the given number of requests per second until ctx is cancelled.
func (testbed *Testbed) sendRequests(ctx context.Context, rate int, done, refused *atomic.Int64) {
	client := testbed.Client()
	client.Attempts = 1
	// Large enough for one reusable connection per request in progress.
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
			if sendRequest(ctx, client, "5ms") != nil {
				refused.Add(1)
				return
			}
			done.Add(1)
		}()
	}
}

// sendRequest sends one request that occupies a runner for serviceTime.
func sendRequest(ctx context.Context, client *caller.Client, serviceTime string) error {
	_, _, err := client.Request(ctx, presenter.Request{
		Service:    RunnerService,
		Caller:     "kiosk",
		Deadline:   time.Now().Add(time.Second),
		Idempotent: true,
		Body:       fmt.Appendf(nil, `{"ServiceTime":%q}`, serviceTime),
	})
	return err
}

// Region measures one of several idle entry instances of a region with ten shards and no workers.
func Region(program string) []profiler.Trial {
	return profiler.SweepCounts(func(meter profiler.Meter, instances int) error {
		const settlingTime = 10 * time.Second
		testbed := &Testbed{
			Program:   program,
			Directory: meter.TempDir(),
			Shards:    10,
		}
		return testbed.observeIdleInstances(meter, instances, settlingTime)
	}, 4, 8, 16, 32)
}

// Kept measures an entry instance after it has taken over a shard that retains ended jobs and keys and has no
// workers.
func Kept(program string) []profiler.Trial {
	return archiver.Kept(func(meter profiler.Meter, store *keeper.Keeper) error {
		const settlingTime = 15 * time.Second
		testbed := &Testbed{
			Program:   program,
			Directory: meter.TempDir(),
			Store:     store,
		}
		return testbed.observeIdleInstances(meter, 1, settlingTime)
	})
}

// observeIdleInstances starts entry instances without workers, observes the first one after the settling
// time, and closes the testbed.
func (testbed *Testbed) observeIdleInstances(meter profiler.Meter, instances int, settlingTime time.Duration) error {
	defer testbed.Close()
	if err := testbed.Open(0); err != nil {
		return err
	}
	for range instances {
		if _, err := testbed.StartEntry(); err != nil {
			return err
		}
	}
	if err := caller.Sleep(meter.Context(), settlingTime); err != nil {
		return err
	}
	return testbed.observe(meter)
}
