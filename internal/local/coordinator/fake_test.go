package coordinator_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/client/caller"
	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/entry/handler"
	"pomelomoor/internal/entry/presenter"
	"pomelomoor/internal/gateway/executor"
	"pomelomoor/internal/gateway/lister"
	"pomelomoor/internal/gateway/requester"
	"pomelomoor/internal/gateway/sender"
	"pomelomoor/internal/local/launcher"
	"pomelomoor/internal/node/loader"
	"pomelomoor/internal/work/descriptor"
)

const syncInterval = 20 * time.Millisecond

// cell is the state shared by all fake instances.
type cell struct {
	// misbehaves makes the instances ignore job keys, run tasks twice and swap responses.
	misbehaves bool

	mutex            sync.Mutex
	chosen           int
	revision         uint64
	config           parser.Config
	keys             map[string]descriptor.JobID
	jobs             map[descriptor.JobID]*job
	previousResponse []byte
}

type job struct {
	cancel context.CancelFunc
	ended  chan struct{}
	status descriptor.JobStatus
}

// instance is a minimal fake of an entry instance.
type instance struct {
	cell      *cell
	settings  loader.Settings
	http      net.Listener
	peer      net.Listener
	lister    *lister.Client
	executor  executor.Executor
	requester requester.Requester
	ctx       context.Context
	group     sync.WaitGroup
	drain     chan struct{}
}

func (cell *cell) build(settings loader.Settings, dial sender.DialFunc, _ *slog.Logger) (launcher.Instance, func(), error) {
	list, closeList, err := lister.New([]netip.AddrPort{settings.List}, lister.Options{
		Dial: dial,
	})
	if err != nil {
		return nil, nil, err
	}
	executor, closeExecutor := executor.New(executor.Options{
		Dial: dial,
	})
	requester, closeRequester := requester.New(requester.Options{
		Dial: dial,
	})
	ctx, cancel := context.WithCancel(context.Background())
	instance := &instance{
		cell:      cell,
		settings:  settings,
		lister:    list,
		executor:  executor,
		requester: requester,
		ctx:       ctx,
		drain:     make(chan struct{}),
	}
	for _, listener := range []*net.Listener{&instance.http, &instance.peer} {
		if *listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			cancel()
			return nil, nil, err
		}
	}
	return instance, func() {
		cancel()
		instance.group.Wait()
		closeList()
		closeExecutor()
		closeRequester()
		_ = instance.peer.Close()
	}, nil
}

func (instance *instance) ID() string { return instance.settings.ID }

func (instance *instance) HTTPAddress() netip.AddrPort {
	return netip.MustParseAddrPort(instance.http.Addr().String())
}

func (instance *instance) PeerAddress() netip.AddrPort {
	return netip.MustParseAddrPort(instance.peer.Addr().String())
}

func (instance *instance) Serve(ctx context.Context) error {
	api := &handler.Handler{
		Jobs:      instance,
		Requests:  instance,
		Configs:   instance,
		Instances: instance,
		Readiness: instance,
	}
	server := api.Server()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(ctx, func() {
		_ = server.Close()
	})
	instance.group.Go(func() {
		<-instance.drain
		cancel()
	})
	if err := server.Serve(instance.http); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (instance *instance) Drain(context.Context) error {
	close(instance.drain)
	return nil
}

func (instance *instance) Live() error { return nil }

func (instance *instance) Ready() error {
	_, err := instance.chooseInstance(lister.RoleWorker)
	return err
}

// chooseInstance returns the address of a listed instance of the role, round robin.
func (instance *instance) chooseInstance(role lister.Role) (netip.AddrPort, error) {
	list, err := instance.lister.List(instance.ctx, "")
	if err != nil {
		return netip.AddrPort{}, err
	}
	list.Instances = slices.DeleteFunc(list.Instances, func(row lister.Instance) bool {
		return row.Role != role
	})
	if len(list.Instances) == 0 {
		return netip.AddrPort{}, errors.New("no instance of the role is listed")
	}
	instance.cell.mutex.Lock()
	defer instance.cell.mutex.Unlock()
	instance.cell.chosen++
	return list.Instances[instance.cell.chosen%len(list.Instances)].Address, nil
}

func (instance *instance) Submit(_ context.Context, work descriptor.Job) (descriptor.JobStatus, bool, error) {
	if work.Task.MilliCPU > 4000 {
		return descriptor.JobStatus{}, false, descriptor.NewProblem(descriptor.CodeImpossible, 0, "too large")
	}
	cell := instance.cell
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	if id, known := cell.keys[work.Key]; known && !cell.misbehaves {
		return cell.jobs[id].status, false, nil
	}
	ctx, cancel := context.WithCancel(instance.ctx)
	id := descriptor.JobID(fmt.Sprintf("a-0.%d", len(cell.jobs)))
	created := &job{
		cancel: cancel,
		ended:  make(chan struct{}),
		status: descriptor.JobStatus{
			ID:   id,
			Job:  work,
			Fate: descriptor.NewFateRecord(descriptor.Pending{}),
		},
	}
	cell.keys[work.Key], cell.jobs[id] = id, created
	instance.group.Go(func() {
		instance.runJob(ctx, created)
	})
	return created.status, true, nil
}

func (instance *instance) Await(ctx context.Context, id descriptor.JobID, wait time.Duration) (descriptor.JobStatus, error) {
	instance.cell.mutex.Lock()
	awaited := instance.cell.jobs[id]
	instance.cell.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if awaited != nil {
		select {
		case <-awaited.ended:
		case <-ctx.Done():
		}
	}
	return instance.Status(ctx, id, false)
}

func (instance *instance) runJob(ctx context.Context, job *job) {
	defer close(job.ended)
	fates := make([]descriptor.Fate, job.status.Job.TaskCount())
	var group sync.WaitGroup
	for task := range fates {
		group.Go(func() {
			fates[task] = instance.runTask(ctx, &job.status, task)
		})
	}
	group.Wait()
	fate := fates[0]
	for _, other := range fates {
		if _, done := other.(descriptor.Done); !done {
			fate = other
		}
	}
	instance.cell.mutex.Lock()
	defer instance.cell.mutex.Unlock()
	job.status.Fate = descriptor.NewFateRecord(fate)
}

// runTask runs a task until an attempt succeeds or the task may not run again.
func (instance *instance) runTask(ctx context.Context, status *descriptor.JobStatus, task int) descriptor.Fate {
	for attempt := 1; ; attempt++ {
		outcome := instance.attempt(ctx, descriptor.RunID{
			Job:     status.ID,
			Task:    task,
			Attempt: attempt,
		}, &status.Job)
		service := status.Job.Kind == descriptor.KindService
		switch {
		case outcome == executor.OutcomeDone && (!instance.cell.misbehaves || attempt > 1), service && ctx.Err() != nil:
			return descriptor.Done{}
		case ctx.Err() != nil:
			return descriptor.Failed{}
		case outcome == executor.OutcomeRefused, outcome == "", status.Job.Idempotent, instance.cell.misbehaves:
		default:
			return descriptor.Failed{}
		}
	}
}

// attempt runs a task to its end on the next worker. It returns an empty outcome if the worker could
// not be reached.
func (instance *instance) attempt(ctx context.Context, run descriptor.RunID, work *descriptor.Job) executor.Outcome {
	worker, err := instance.chooseInstance(lister.RoleWorker)
	if err != nil {
		return executor.OutcomeFailed
	}
	request := executor.SyncRequest{
		Shard: "a-0",
		Epoch: 1,
		Lease: 15 * time.Second,
		Start: []executor.Start{
			{Run: run, Task: work.Task, Kind: work.Kind, Payload: work.Payload},
		},
	}
	for {
		response, err := instance.executor.Sync(instance.ctx, worker, request)
		if err != nil {
			return ""
		}
		index := slices.IndexFunc(response.Finished, func(result executor.RunResult) bool {
			return result.Run == run
		})
		if index >= 0 {
			return response.Finished[index].Outcome
		}
		if caller.Sleep(ctx, syncInterval) != nil {
			request.Stop = []descriptor.RunID{run}
		}
	}
}

func (instance *instance) Status(_ context.Context, id descriptor.JobID, _ bool) (descriptor.JobStatus, error) {
	instance.cell.mutex.Lock()
	defer instance.cell.mutex.Unlock()
	return instance.cell.jobs[id].status, nil
}

func (instance *instance) Cancel(ctx context.Context, id descriptor.JobID) (descriptor.JobStatus, error) {
	instance.cell.mutex.Lock()
	job := instance.cell.jobs[id]
	instance.cell.mutex.Unlock()
	job.cancel()
	<-job.ended
	return instance.Status(ctx, id, false)
}

func (instance *instance) Handle(ctx context.Context, request presenter.Request) (presenter.Response, error) {
	runner, err := instance.chooseInstance(lister.RoleRunner)
	if err != nil {
		return presenter.Response{}, descriptor.NewProblem(descriptor.CodeUnavailable, 0, "%s", err)
	}
	response, err := instance.requester.Send(ctx, runner, requester.Request{
		ID:         request.ID,
		Service:    request.Service,
		Caller:     request.Caller,
		Idempotent: request.Idempotent,
		Body:       request.Body,
	})
	if err != nil {
		return presenter.Response{}, err
	}
	cell := instance.cell
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	body := response.Body
	if cell.misbehaves && cell.previousResponse != nil {
		body = cell.previousResponse
	}
	cell.previousResponse = bytes.Clone(response.Body)
	return presenter.Response{
		Status: response.Status,
		Body:   body,
		Fate:   descriptor.Done{},
	}, nil
}

func (instance *instance) Current(context.Context) (presenter.ConfigDocument, error) {
	instance.cell.mutex.Lock()
	defer instance.cell.mutex.Unlock()
	return presenter.ConfigDocument{
		Revision: instance.cell.revision,
		Document: instance.cell.config,
	}, nil
}

func (instance *instance) Apply(_ context.Context, base uint64, config parser.Config, _ time.Duration) (presenter.ApplyResult, error) {
	instance.cell.mutex.Lock()
	defer instance.cell.mutex.Unlock()
	instance.cell.revision, instance.cell.config = base+1, config
	return presenter.ApplyResult{
		Revision: base + 1,
	}, nil
}

func (instance *instance) Diff(context.Context, parser.Config) (presenter.ConfigDiff, error) {
	return presenter.ConfigDiff{}, nil
}

func (instance *instance) Instances(context.Context) ([]presenter.Instance, error) {
	return nil, nil
}
