package driver

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/thejerf/suture/v4"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/gateway/executor"
	"pomelomoor/internal/gateway/lister"
	"pomelomoor/internal/gateway/storer"
	"pomelomoor/internal/shard/controller"
	"pomelomoor/internal/shard/signaler"
	"pomelomoor/internal/work/descriptor"
)

var _ suture.Service = (*Driver)(nil)

// memoryStore is a store that can be down or lose the answers of writes.
type memoryStore struct {
	mutex   sync.Mutex
	entries map[string]storer.Entry
	writes  uint64
	down    bool
	lose    bool
}

func (store *memoryStore) set(down, lose bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.down, store.lose = down, lose
}

func (store *memoryStore) Get(_ context.Context, key string) (storer.Entry, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	entry, ok := store.entries[key]
	switch {
	case store.down:
		return entry, storer.ErrUnavailable
	case !ok:
		return entry, storer.ErrNotFound
	}
	return entry, nil
}

func (store *memoryStore) Put(_ context.Context, key string, value []byte, expect storer.Version, _ storer.LeaseID) (storer.Version, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.down {
		return 0, storer.ErrUnavailable
	}
	if store.entries[key].Version != expect {
		return 0, storer.ErrConflict
	}
	store.writes++
	store.entries[key] = storer.Entry{
		Key:     key,
		Value:   value,
		Version: storer.Version(store.writes),
	}
	if store.lose {
		store.down = true
		return 0, storer.ErrUncertain
	}
	return storer.Version(store.writes), nil
}

func (store *memoryStore) Delete(_ context.Context, key string, _ storer.Version) error {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	delete(store.entries, key)
	return nil
}

func (store *memoryStore) Watch(context.Context, string, storer.Version) (storer.Entry, error) {
	return storer.Entry{}, storer.ErrUnavailable
}

func (store *memoryStore) Grant(context.Context, time.Duration) (storer.LeaseID, error) {
	return 1, nil
}
func (store *memoryStore) Renew(context.Context, storer.LeaseID) error  { return nil }
func (store *memoryStore) Revoke(context.Context, storer.LeaseID) error { return nil }

// memoryWorker runs batches in no time and services until they are stopped.
type memoryWorker struct {
	mutex    sync.Mutex
	epoch    uint64
	ticket   int
	running  map[descriptor.RunID]executor.Start
	finished map[descriptor.RunID]executor.RunResult
	// seen receives a copy of every message, as long as somebody listens.
	seen chan executor.SyncRequest
}

func (worker *memoryWorker) Sync(_ context.Context, _ netip.AddrPort, request executor.SyncRequest) (executor.SyncReply, error) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	select {
	case worker.seen <- request:
	default:
	}
	if request.Epoch < worker.epoch {
		return executor.SyncReply{}, executor.ErrFenced
	}
	worker.epoch = request.Epoch
	for _, id := range request.Acknowledge {
		delete(worker.finished, id)
	}
	for _, id := range request.Stop {
		worker.end(id, executor.OutcomeStopped)
	}
	for _, start := range request.Start {
		worker.running[start.Run] = start
		if start.Kind != descriptor.KindService {
			worker.end(start.Run, executor.OutcomeDone)
		}
	}
	worker.ticket++
	reply := executor.SyncReply{
		Worker:      "w0",
		Incarnation: "one",
		Ticket:      fmt.Sprint(worker.ticket),
		Capacity: descriptor.Resources{
			MilliCPU: 4000,
		},
	}
	for id := range worker.running {
		reply.Running = append(reply.Running, executor.RunReport{
			Run:     id,
			Started: time.Now(),
		})
	}
	for _, result := range worker.finished {
		reply.Finished = append(reply.Finished, result)
	}
	return reply, nil
}

func (worker *memoryWorker) end(id descriptor.RunID, outcome executor.Outcome) {
	if _, ok := worker.running[id]; !ok {
		return
	}
	delete(worker.running, id)
	worker.finished[id] = executor.RunResult{
		Run:     id,
		Outcome: outcome,
		Started: time.Now(),
		Ended:   time.Now(),
	}
}

// bench is a driver with its surroundings.
type bench struct {
	*Driver
	t         testing.TB
	store     *memoryStore
	worker    *memoryWorker
	authority atomic.Int64
	log       *slog.Logger
}

func newBench(t testing.TB) *bench {
	return &bench{
		t: t,
		store: &memoryStore{
			entries: map[string]storer.Entry{},
		},
		worker: &memoryWorker{
			running:  map[descriptor.RunID]executor.Start{},
			finished: map[descriptor.RunID]executor.RunResult{},
			seen:     make(chan executor.SyncRequest),
		},
	}
}

// serve runs a driver until the returned function is called.
func (bench *bench) serve() (stop func()) {
	bench.authority.Store(int64(signaler.AuthorityAct))
	driver, clean, err := New(Options{
		Shard:    "hof-0",
		Owner:    "a",
		Store:    bench.store,
		Executor: bench.worker,
		Authority: func() signaler.Authority {
			return signaler.Authority(bench.authority.Load())
		},
		RingSize: 40,
		Logger:   bench.log,
	})
	if err != nil {
		bench.t.Fatal(err)
	}
	driver.SetConfig(&parser.Compiled{})
	driver.SetInstances(lister.List{
		Instances: []lister.Instance{{
			ID:      "w0",
			Role:    lister.RoleWorker,
			State:   lister.StateLive,
			Address: netip.MustParseAddrPort("127.0.0.1:1"),
			Place: descriptor.Place{
				Site: "hof",
			},
		}},
	})
	bench.Driver = driver
	ctx, cancel := context.WithCancel(bench.t.Context())
	ended := make(chan error)
	go func() {
		ended <- driver.Serve(ctx)
	}()
	return func() {
		cancel()
		<-ended
		clean()
	}
}

func batch(key string) descriptor.Job {
	return descriptor.Job{
		Name:   "assay",
		Caller: "yard",
		Team:   "assay",
		Key:    key,
		Kind:   descriptor.KindBatch,
		Task: descriptor.Resources{
			MilliCPU: 1000,
		},
	}
}

// retry repeats call while the shard says that nothing was accepted or that the outcome is open.
func (bench *bench) retry(call func(ctx context.Context) error) {
	bench.t.Helper()
	for {
		ctx, cancel := context.WithTimeout(bench.t.Context(), time.Second)
		err := call(ctx)
		cancel()
		var problem *descriptor.Problem
		if errors.As(err, &problem) {
			switch problem.Code {
			case descriptor.CodeNoOwner, descriptor.CodeUnavailable, descriptor.CodeUncertain:
				continue
			}
		}
		if err != nil {
			bench.t.Fatal(err)
		}
		return
	}
}

func (bench *bench) run(job descriptor.Job) descriptor.JobID {
	bench.t.Helper()
	var id descriptor.JobID
	bench.retry(func(ctx context.Context) error {
		var err error
		id, _, _, err = bench.Submit(ctx, job, []descriptor.ShardID{"hof-0"})
		return err
	})
	bench.retry(func(ctx context.Context) error {
		return bench.Accept(ctx, id, job)
	})
	return id
}

// await repeats the query until the job has one of the fates.
func (bench *bench) await(id descriptor.JobID, fate string) descriptor.JobStatus {
	bench.t.Helper()
	for {
		var status descriptor.JobStatus
		bench.retry(func(ctx context.Context) error {
			var err error
			status, err = bench.Status(ctx, id, true)
			return err
		})
		if status.Fate.Fate == fate {
			return status
		}
		// The state changes with the messages to the worker only.
		<-bench.worker.seen
	}
}

func code(err error) descriptor.Code {
	var problem *descriptor.Problem
	if errors.As(err, &problem) {
		return problem.Code
	}
	return ""
}

// Guards against the parts not working together: a job runs to its end, its key finds it again, another
// description is a conflict, and the next owner knows the job, adopts the service and can cancel it.
func TestEndToEnd(t *testing.T) {
	bench := newBench(t)
	stop := bench.serve()
	ctx := t.Context()
	job := batch("one")
	id := bench.run(job)
	if status := bench.await(id, "Done"); len(status.Trail) < 3 {
		t.Errorf("the trail is %v", status.Trail)
	}
	again, target, existed, err := bench.Submit(ctx, job, []descriptor.ShardID{"other-0"})
	if err != nil || again != id || !existed || target != "hof-0" {
		t.Errorf("the key leads to %s in %s, existed %v, %v", again, target, existed, err)
	}
	job.Team = "billing"
	if _, _, _, err := bench.Submit(ctx, job, []descriptor.ShardID{"hof-0"}); code(err) != descriptor.CodeKeyConflict {
		t.Errorf("another description: %v", err)
	}
	large := batch("large")
	large.Task.MilliCPU = 5000
	large.Key = ""
	largeID, _, _, err := bench.Submit(ctx, large, []descriptor.ShardID{"hof-0"})
	if err != nil {
		t.Fatal(err)
	}
	if err := bench.Accept(ctx, largeID, large); code(err) != descriptor.CodeImpossible {
		t.Errorf("a job larger than the worker: %v", err)
	}
	service := batch("service")
	service.Kind = descriptor.KindService
	serviceID := bench.run(service)
	bench.await(serviceID, "Running")
	stop()
	if _, err := bench.Status(ctx, id, false); code(err) != descriptor.CodeNoOwner {
		t.Errorf("a shard that was handed over answers %v", err)
	}

	defer bench.serve()()
	bench.await(id, "Done")
	bench.await(serviceID, "Running")
	bench.retry(func(ctx context.Context) error {
		_, err := bench.Cancel(ctx, serviceID)
		return err
	})
	bench.await(serviceID, "Done")
	for {
		if load, ok := bench.Load(); ok && load.Epoch == 2 && load.Capacity.MilliCPU == 4000 {
			break
		}
		<-bench.worker.seen
	}
}

// Guards against lost or repeated work when the store is down or loses answers, and against commands
// to workers while the lease allows renewals only.
func TestStoreOutage(t *testing.T) {
	bench := newBench(t)
	defer bench.serve()()
	first := bench.run(batch("one"))
	bench.await(first, "Done")

	bench.store.set(false, true)
	lost, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	if _, _, _, err := bench.Submit(lost, batch("two"), []descriptor.ShardID{"hof-0"}); code(err) != descriptor.CodeUncertain {
		t.Errorf("a submission whose write is not answered: %v", err)
	}
	if _, _, _, err := bench.Submit(t.Context(), batch("three"), []descriptor.ShardID{"hof-0"}); code(err) != descriptor.CodeUnavailable {
		t.Errorf("a submission during an outage: %v", err)
	}
	bench.authority.Store(int64(signaler.AuthorityRenew))
	for range 3 {
		request := <-bench.worker.seen
		if len(request.Start)+len(request.Stop)+len(request.Acknowledge) > 0 {
			t.Errorf("a command without a lease: %+v", request)
		}
	}
	bench.store.set(false, false)
	bench.authority.Store(int64(signaler.AuthorityAct))
	bench.await(bench.run(batch("two")), "Done")
	bench.await(bench.run(batch("three")), "Done")
	for i := range 12 {
		bench.run(batch(fmt.Sprintf("wrap-%d", i)))
	}
	bench.await(first, "Done")
}

// Guards against a term, above all one after a takeover, that is not told what teams use elsewhere.
func TestElsewhere(t *testing.T) {
	bench := newBench(t)
	for range 2 {
		stop := bench.serve()
		bench.SetElsewhere(map[string]descriptor.Resources{
			"assay": {
				MilliCPU: 1000,
			},
		})
		for told := false; !told && t.Context().Err() == nil; {
			bench.ask(t.Context(), call{
				query: func(*controller.Controller) answer {
					told = bench.term.Load().elsewhere != nil
					return answer{}
				},
			})
		}
		stop()
	}
}

// Guards against a straggler that operators are not told of, and against other decisions about jobs
// that fill the log.
func TestStragglerIsLogged(t *testing.T) {
	var log strings.Builder
	term := &term{
		driver: &Driver{
			options: Options{
				Shard:  "hof-0",
				Logger: slog.New(slog.NewTextHandler(&log, nil)),
			},
		},
	}
	for _, code := range []string{"Placed", signaler.CodeStraggling} {
		term.perform(t.Context(), signaler.Explain{
			Job: "hof-0.1",
			Decision: descriptor.Decision{
				Code: code,
			},
		})
	}
	if got := log.String(); strings.Count(got, "\n") != 1 || !strings.Contains(got, "Name=JobStraggling") || !strings.Contains(got, "Job=hof-0.1") {
		t.Errorf("the log holds %q, want one event JobStraggling of the job", got)
	}
}
