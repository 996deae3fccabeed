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

// memoryStore is an in-memory store that can be unavailable or lose the answer to a write.
type memoryStore struct {
	mutex       sync.Mutex
	entries     map[string]storer.Entry
	writes      uint64
	down        bool
	loseAnswers bool
}

func (memoryStore *memoryStore) setFaults(down, loseAnswers bool) {
	memoryStore.mutex.Lock()
	defer memoryStore.mutex.Unlock()
	memoryStore.down, memoryStore.loseAnswers = down, loseAnswers
}

func (memoryStore *memoryStore) Get(_ context.Context, key string) (storer.Entry, error) {
	memoryStore.mutex.Lock()
	defer memoryStore.mutex.Unlock()
	entry, ok := memoryStore.entries[key]
	switch {
	case memoryStore.down:
		return entry, storer.ErrUnavailable
	case !ok:
		return entry, storer.ErrNotFound
	}
	return entry, nil
}

func (memoryStore *memoryStore) Put(_ context.Context, key string, value []byte, expect storer.Version, _ storer.LeaseID) (storer.Version, error) {
	memoryStore.mutex.Lock()
	defer memoryStore.mutex.Unlock()
	if memoryStore.down {
		return 0, storer.ErrUnavailable
	}
	if memoryStore.entries[key].Version != expect {
		return 0, storer.ErrConflict
	}
	memoryStore.writes++
	memoryStore.entries[key] = storer.Entry{
		Key:     key,
		Value:   value,
		Version: storer.Version(memoryStore.writes),
	}
	if memoryStore.loseAnswers {
		memoryStore.down = true
		return 0, storer.ErrUncertain
	}
	return storer.Version(memoryStore.writes), nil
}

func (memoryStore *memoryStore) Delete(_ context.Context, key string, _ storer.Version) error {
	memoryStore.mutex.Lock()
	defer memoryStore.mutex.Unlock()
	delete(memoryStore.entries, key)
	return nil
}

func (memoryStore *memoryStore) Watch(context.Context, string, storer.Version) (storer.Entry, error) {
	return storer.Entry{}, storer.ErrUnavailable
}

func (memoryStore *memoryStore) Grant(context.Context, time.Duration) (storer.LeaseID, error) {
	return 1, nil
}
func (memoryStore *memoryStore) Renew(context.Context, storer.LeaseID) error  { return nil }
func (memoryStore *memoryStore) Revoke(context.Context, storer.LeaseID) error { return nil }

// memoryWorker completes batch tasks immediately and runs services until they are stopped.
type memoryWorker struct {
	mutex       sync.Mutex
	epoch       uint64
	reportToken int
	running     map[descriptor.RunID]executor.Start
	finished    map[descriptor.RunID]executor.RunResult
	// messages receives a copy of each message if a test is receiving at that moment.
	messages chan executor.SyncRequest
}

func (memoryWorker *memoryWorker) Sync(_ context.Context, _ netip.AddrPort, request executor.SyncRequest) (executor.SyncReply, error) {
	memoryWorker.mutex.Lock()
	defer memoryWorker.mutex.Unlock()
	select {
	case memoryWorker.messages <- request:
	default:
	}
	if request.Epoch < memoryWorker.epoch {
		return executor.SyncReply{}, executor.ErrFenced
	}
	memoryWorker.epoch = request.Epoch
	for _, id := range request.Acknowledge {
		delete(memoryWorker.finished, id)
	}
	for _, id := range request.Stop {
		memoryWorker.end(id, executor.OutcomeStopped)
	}
	for _, start := range request.Start {
		memoryWorker.running[start.Run] = start
		if start.Kind != descriptor.KindService {
			memoryWorker.end(start.Run, executor.OutcomeDone)
		}
	}
	memoryWorker.reportToken++
	reply := executor.SyncReply{
		Worker:      "w0",
		Incarnation: "one",
		Ticket:      fmt.Sprint(memoryWorker.reportToken),
		Capacity: descriptor.Resources{
			MilliCPU: 4000,
		},
	}
	for id := range memoryWorker.running {
		reply.Running = append(reply.Running, executor.RunReport{
			Run:     id,
			Started: time.Now(),
		})
	}
	for _, result := range memoryWorker.finished {
		reply.Finished = append(reply.Finished, result)
	}
	return reply, nil
}

func (memoryWorker *memoryWorker) end(id descriptor.RunID, outcome executor.Outcome) {
	if _, ok := memoryWorker.running[id]; !ok {
		return
	}
	delete(memoryWorker.running, id)
	memoryWorker.finished[id] = executor.RunResult{
		Run:     id,
		Outcome: outcome,
		Started: time.Now(),
		Ended:   time.Now(),
	}
}

// harness runs a driver with an in-memory store, one worker and a controllable lease.
type harness struct {
	*Driver
	t         testing.TB
	store     *memoryStore
	worker    *memoryWorker
	authority atomic.Int64
	log       *slog.Logger
}

func newHarness(t testing.TB) *harness {
	return &harness{
		t: t,
		store: &memoryStore{
			entries: map[string]storer.Entry{},
		},
		worker: &memoryWorker{
			running:  map[descriptor.RunID]executor.Start{},
			finished: map[descriptor.RunID]executor.RunResult{},
			messages: make(chan executor.SyncRequest),
		},
	}
}

// serve runs a driver until the returned function is called.
func (harness *harness) serve() (stop func()) {
	harness.authority.Store(int64(signaler.AuthorityFull))
	driver, clean, err := New(Options{
		Shard:    "hof-0",
		Owner:    "a",
		Store:    harness.store,
		Executor: harness.worker,
		Authority: func() signaler.Authority {
			return signaler.Authority(harness.authority.Load())
		},
		RingSize: 40,
		Logger:   harness.log,
	})
	if err != nil {
		harness.t.Fatal(err)
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
	harness.Driver = driver
	ctx, cancel := context.WithCancel(harness.t.Context())
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

func batchJob(key string) descriptor.Job {
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

// retry repeats call while the shard has no owner, the journal is unavailable or the outcome is uncertain.
func (harness *harness) retry(call func(ctx context.Context) error) {
	harness.t.Helper()
	for {
		ctx, cancel := context.WithTimeout(harness.t.Context(), time.Second)
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
			harness.t.Fatal(err)
		}
		return
	}
}

// submitAndAccept submits a job and has it accepted by the shard.
func (harness *harness) submitAndAccept(job descriptor.Job) descriptor.JobID {
	harness.t.Helper()
	var id descriptor.JobID
	harness.retry(func(ctx context.Context) error {
		var err error
		id, _, _, err = harness.Submit(ctx, job, []descriptor.ShardID{"hof-0"})
		return err
	})
	harness.retry(func(ctx context.Context) error {
		return harness.Accept(ctx, id, job)
	})
	return id
}

// awaitFate queries the status until the job has the fate.
func (harness *harness) awaitFate(id descriptor.JobID, fate string) descriptor.JobStatus {
	harness.t.Helper()
	for {
		var status descriptor.JobStatus
		harness.retry(func(ctx context.Context) error {
			var err error
			status, err = harness.Status(ctx, id, true)
			return err
		})
		if status.Fate.Fate == fate {
			return status
		}
		// The fate can change only after another message to the worker.
		<-harness.worker.messages
	}
}

// problemCode returns the code of the problem in err, or an empty one.
func problemCode(err error) descriptor.Code {
	var problem *descriptor.Problem
	if errors.As(err, &problem) {
		return problem.Code
	}
	return ""
}

// Tests the life cycle of jobs across a handover: a job completes, its key finds it again, another
// description under the key is a conflict, and the next owner knows the job, takes over the running service
// and can cancel it.
func TestEndToEnd(t *testing.T) {
	harness := newHarness(t)
	stop := harness.serve()
	ctx := t.Context()
	job := batchJob("one")
	id := harness.submitAndAccept(job)
	if status := harness.awaitFate(id, "Done"); len(status.Trail) < 3 {
		t.Errorf("the trail has fewer than 3 decisions: %v", status.Trail)
	}
	again, target, existed, err := harness.Submit(ctx, job, []descriptor.ShardID{"other-0"})
	if err != nil || again != id || !existed || target != "hof-0" {
		t.Errorf("resubmitted key: got job %s in shard %s, existed %v, error %v", again, target, existed, err)
	}
	job.Team = "billing"
	if _, _, _, err := harness.Submit(ctx, job, []descriptor.ShardID{"hof-0"}); problemCode(err) != descriptor.CodeKeyConflict {
		t.Errorf("another description under the same key: got %v", err)
	}
	large := batchJob("large")
	large.Task.MilliCPU = 5000
	large.Key = ""
	largeID, _, _, err := harness.Submit(ctx, large, []descriptor.ShardID{"hof-0"})
	if err != nil {
		t.Fatal(err)
	}
	if err := harness.Accept(ctx, largeID, large); problemCode(err) != descriptor.CodeImpossible {
		t.Errorf("job larger than the worker: got %v", err)
	}
	service := batchJob("service")
	service.Kind = descriptor.KindService
	serviceID := harness.submitAndAccept(service)
	harness.awaitFate(serviceID, "Running")
	stop()
	if _, err := harness.Status(ctx, id, false); problemCode(err) != descriptor.CodeNoOwner {
		t.Errorf("status query after the handover: got %v", err)
	}

	defer harness.serve()()
	harness.awaitFate(id, "Done")
	harness.awaitFate(serviceID, "Running")
	harness.retry(func(ctx context.Context) error {
		_, err := harness.Cancel(ctx, serviceID)
		return err
	})
	harness.awaitFate(serviceID, "Done")
	for {
		if load, ok := harness.LoadSummary(); ok && load.Epoch == 2 && load.Capacity.MilliCPU == 4000 {
			break
		}
		<-harness.worker.messages
	}
}

// Guards against lost or repeated work when the store is unavailable or loses answers, and against commands
// to workers while the lease permits only renewals.
func TestStoreOutage(t *testing.T) {
	harness := newHarness(t)
	defer harness.serve()()
	first := harness.submitAndAccept(batchJob("one"))
	harness.awaitFate(first, "Done")

	harness.store.setFaults(false, true)
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	if _, _, _, err := harness.Submit(ctx, batchJob("two"), []descriptor.ShardID{"hof-0"}); problemCode(err) != descriptor.CodeUncertain {
		t.Errorf("submission whose write got no answer: got %v", err)
	}
	if _, _, _, err := harness.Submit(t.Context(), batchJob("three"), []descriptor.ShardID{"hof-0"}); problemCode(err) != descriptor.CodeUnavailable {
		t.Errorf("submission during an outage: got %v", err)
	}
	harness.authority.Store(int64(signaler.AuthorityRenewOnly))
	for range 3 {
		request := <-harness.worker.messages
		if len(request.Start)+len(request.Stop)+len(request.Acknowledge) > 0 {
			t.Errorf("command while only renewals are permitted: %+v", request)
		}
	}
	harness.store.setFaults(false, false)
	harness.authority.Store(int64(signaler.AuthorityFull))
	harness.awaitFate(harness.submitAndAccept(batchJob("two")), "Done")
	harness.awaitFate(harness.submitAndAccept(batchJob("three")), "Done")
	for i := range 12 {
		harness.submitAndAccept(batchJob(fmt.Sprintf("wrap-%d", i)))
	}
	harness.awaitFate(first, "Done")
}

// Guards against a term, especially one after a takeover, whose controller doesn't receive the usage of teams
// in other shards.
func TestOtherShardsUsage(t *testing.T) {
	harness := newHarness(t)
	for range 2 {
		stop := harness.serve()
		harness.SetOtherShardsUsage(map[string]descriptor.Resources{
			"assay": {
				MilliCPU: 1000,
			},
		})
		for applied := false; !applied && t.Context().Err() == nil; {
			harness.sendRequest(t.Context(), request{
				query: func(*controller.Controller) answer {
					applied = harness.term.Load().appliedOtherShardsUsage != nil
					return answer{}
				},
			})
		}
		stop()
	}
}

// Guards against a straggler that is not logged for operators, and against other decisions about jobs that
// are logged at the default level.
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
		term.perform(t.Context(), signaler.Decided{
			Job: "hof-0.1",
			Decision: descriptor.Decision{
				Code: code,
			},
		})
	}
	if got := log.String(); strings.Count(got, "\n") != 1 || !strings.Contains(got, "Name=JobStraggling") || !strings.Contains(got, "Job=hof-0.1") {
		t.Errorf("log is %q, want one JobStraggling event of the job", got)
	}
}
