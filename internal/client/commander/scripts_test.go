package commander

import (
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/entry/handler"
	"pomelomoor/internal/entry/presenter"
	"pomelomoor/internal/node/loader"
	"pomelomoor/internal/work/descriptor"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"pomelomoor": func() {
			program := &Program{
				Stdin:   os.Stdin,
				Stdout:  os.Stdout,
				Stderr:  os.Stderr,
				Version: "v0-test",
				Entry: func(_ context.Context, settings loader.Settings, _ *slog.Logger) error {
					fmt.Println("entry at", settings.Site)
					return nil
				},
				Local: func(_ context.Context, options LocalOptions) error {
					_, err := fmt.Fprintf(options.Report, "local %s with %d bytes\n", options.File, len(options.Document))
					return err
				},
			}
			os.Exit(program.Run(context.Background(), os.Args[1:]))
		},
	})
}

// backend is a fake of the services behind the API handler. The name of a job determines its fate.
type backend struct {
	mutex    sync.Mutex
	jobs     map[descriptor.JobID]descriptor.JobStatus
	revision uint64
	config   parser.Config
}

func (backend *backend) Submit(_ context.Context, job descriptor.Job) (descriptor.JobStatus, bool, error) {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	if job.Key == "" {
		return descriptor.JobStatus{}, false, descriptor.NewProblem(descriptor.CodeInternal, 0, "no key")
	}
	if job.Name == "Huge" {
		return descriptor.JobStatus{}, false, descriptor.NewProblem(descriptor.CodeImpossible, 0, "larger than the largest worker")
	}
	if job.Name == "Later" {
		return descriptor.JobStatus{}, false, descriptor.NewProblem(descriptor.CodeUnavailable, time.Minute, "the store is down")
	}
	status := descriptor.JobStatus{
		ID:  descriptor.JobID("a-0." + job.Name),
		Job: job,
		Tasks: []descriptor.TaskStatus{{
			Fate:   descriptor.NewFateRecord(descriptor.Running{Since: time.Unix(0, 0)}),
			Worker: "w1",
		}},
	}
	_, existed := backend.jobs[status.ID]
	backend.jobs[status.ID] = status
	return status, !existed, nil
}

// Status reports the name of a job as its fate, so a job has ended at the first query.
func (backend *backend) Status(_ context.Context, id descriptor.JobID, explain bool) (descriptor.JobStatus, error) {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	status, ok := backend.jobs[id]
	if !ok {
		return status, descriptor.NewProblem(descriptor.CodeNotFound, 0, "no job %s", id)
	}
	status.Fate = descriptor.FateRecord{
		Fate:   status.Job.Name,
		Reason: "so\x1b[31m\nit ended",
	}
	if explain {
		status.Trail = []descriptor.Decision{{
			Code: "Placed",
			Text: "w1 had free capacity",
		}}
	}
	return status, nil
}

// Await fails without a positive wait, as an instance would refuse it.
func (backend *backend) Await(ctx context.Context, id descriptor.JobID, wait time.Duration) (descriptor.JobStatus, error) {
	if wait <= 0 {
		return descriptor.JobStatus{}, descriptor.NewProblem(descriptor.CodeInternal, 0, "no wait")
	}
	return backend.Status(ctx, id, false)
}

func (backend *backend) Cancel(ctx context.Context, id descriptor.JobID) (descriptor.JobStatus, error) {
	return backend.Status(ctx, id, false)
}

func (backend *backend) Handle(context.Context, presenter.Request) (presenter.Response, error) {
	return presenter.Response{}, nil
}

func (backend *backend) Current(context.Context) (presenter.ConfigDocument, error) {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	return presenter.ConfigDocument{
		Revision: backend.revision,
		Document: backend.config,
	}, nil
}

func (backend *backend) Apply(ctx context.Context, base uint64, config parser.Config, _ time.Duration) (presenter.ApplyResult, error) {
	current, _ := backend.Current(ctx)
	if base != current.Revision {
		difference, _ := backend.Diff(ctx, config)
		return presenter.ApplyResult{}, &presenter.Conflict{
			Problem:  *descriptor.NewProblem(descriptor.CodeConflict, 0, "conflict"),
			Base:     base,
			Current:  current,
			Proposed: config,
			Changes:  difference.Changes,
		}
	}
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	backend.revision++
	backend.config = config
	return presenter.ApplyResult{
		Revision: backend.revision,
		Waiting:  []string{"e2"},
	}, nil
}

func (backend *backend) Diff(ctx context.Context, config parser.Config) (presenter.ConfigDiff, error) {
	current, _ := backend.Current(ctx)
	difference := presenter.ConfigDiff{
		Revision: current.Revision,
	}
	if from, to := len(current.Document.Teams), len(config.Teams); from != to {
		difference.Changes = []presenter.Change{{
			Path: "Teams",
			From: fmt.Sprint(from),
			To:   fmt.Sprint(to),
		}}
	}
	return difference, nil
}

func (backend *backend) Instances(context.Context) ([]presenter.Instance, error) {
	return []presenter.Instance{{
		ID:    "e1",
		Site:  "oberland-hof",
		State: "Live",
		Shards: []presenter.Shard{{
			ID: "oberland-hof-0",
			Capacity: descriptor.Resources{
				MilliCPU:    64500,
				MemoryBytes: 3 << 29,
			},
		}},
	}}, nil
}

func (backend *backend) Ready() error                { return nil }
func (backend *backend) Live() error                 { return nil }
func (backend *backend) Drain(context.Context) error { return nil }

// TestScripts guards against unintended changes of the commands' output and exit codes.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			backend := &backend{
				jobs: map[descriptor.JobID]descriptor.JobStatus{},
			}
			server := httptest.NewServer((&handler.Handler{
				Jobs:      backend,
				Requests:  backend,
				Configs:   backend,
				Instances: backend,
				Readiness: backend,
			}).Routes())
			env.Defer(server.Close)
			env.Setenv("POMELOMOOR_SERVER", server.URL)
			// Without this, a program built with the race detector sleeps for a second before it exits.
			env.Setenv("GORACE", "atexit_sleep_ms=0")
			return nil
		},
		Cmds: map[string]func(script *testscript.TestScript, negated bool, arguments []string){
			"exits": exits,
		},
	})
}

// exits CODE COMMAND... runs a command and fails unless it exits with CODE.
func exits(script *testscript.TestScript, _ bool, arguments []string) {
	err := script.Exec(arguments[1], arguments[2:]...)
	got := 0
	if err != nil {
		if _, scanErr := fmt.Sscanf(err.Error(), "exit status %d", &got); scanErr != nil {
			script.Fatalf("%v", err)
		}
	}
	if fmt.Sprint(got) != arguments[0] {
		script.Fatalf("exit code %d, want %s", got, arguments[0])
	}
}
