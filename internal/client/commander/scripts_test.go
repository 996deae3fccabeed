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

// cell is a fake of everything behind the API. The name of a job decides its fate.
type cell struct {
	mutex    sync.Mutex
	jobs     map[descriptor.JobID]descriptor.JobStatus
	revision uint64
	config   parser.Config
}

func (cell *cell) Submit(_ context.Context, job descriptor.Job) (descriptor.JobStatus, bool, error) {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
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
			Fate:   descriptor.Record(descriptor.Running{Since: time.Unix(0, 0)}),
			Worker: "w1",
		}},
	}
	_, existed := cell.jobs[status.ID]
	cell.jobs[status.ID] = status
	return status, !existed, nil
}

// Status gives a job its fate on the first query.
func (cell *cell) Status(_ context.Context, id descriptor.JobID, explain bool) (descriptor.JobStatus, error) {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	status, ok := cell.jobs[id]
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
			Text: "w1 had room",
		}}
	}
	return status, nil
}

// Await must be told a wait that an instance accepts.
func (cell *cell) Await(ctx context.Context, id descriptor.JobID, wait time.Duration) (descriptor.JobStatus, error) {
	if wait <= 0 {
		return descriptor.JobStatus{}, descriptor.NewProblem(descriptor.CodeInternal, 0, "no wait")
	}
	return cell.Status(ctx, id, false)
}

func (cell *cell) Cancel(ctx context.Context, id descriptor.JobID) (descriptor.JobStatus, error) {
	return cell.Status(ctx, id, false)
}

func (cell *cell) Handle(context.Context, presenter.Request) (presenter.Response, error) {
	return presenter.Response{}, nil
}

func (cell *cell) Current(context.Context) (presenter.ConfigDocument, error) {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	return presenter.ConfigDocument{
		Revision: cell.revision,
		Document: cell.config,
	}, nil
}

func (cell *cell) Apply(ctx context.Context, base uint64, config parser.Config, _ time.Duration) (presenter.ApplyResult, error) {
	current, _ := cell.Current(ctx)
	if base != current.Revision {
		difference, _ := cell.Diff(ctx, config)
		return presenter.ApplyResult{}, &presenter.Conflict{
			Problem:  *descriptor.NewProblem(descriptor.CodeConflict, 0, "conflict"),
			Base:     base,
			Current:  current,
			Proposed: config,
			Changes:  difference.Changes,
		}
	}
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	cell.revision++
	cell.config = config
	return presenter.ApplyResult{
		Revision: cell.revision,
		Waiting:  []string{"e2"},
	}, nil
}

func (cell *cell) Diff(ctx context.Context, config parser.Config) (presenter.ConfigDiff, error) {
	current, _ := cell.Current(ctx)
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

func (cell *cell) Instances(context.Context) ([]presenter.Instance, error) {
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

func (cell *cell) Ready() error                { return nil }
func (cell *cell) Live() error                 { return nil }
func (cell *cell) Drain(context.Context) error { return nil }

// TestScripts guards against changed output and exit codes of the commands.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			cell := &cell{
				jobs: map[descriptor.JobID]descriptor.JobStatus{},
			}
			server := httptest.NewServer((&handler.Handler{
				Jobs:      cell,
				Requests:  cell,
				Configs:   cell,
				Instances: cell,
				Readiness: cell,
			}).Routes())
			env.Defer(server.Close)
			env.Setenv("POMELOMOOR_SERVER", server.URL)
			// A program built with the race detector otherwise waits a second at its end.
			env.Setenv("GORACE", "atexit_sleep_ms=0")
			return nil
		},
		Cmds: map[string]func(script *testscript.TestScript, negated bool, arguments []string){
			"exits": exits,
		},
	})
}

// exits CODE COMMAND... runs a command and compares its exit code.
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
