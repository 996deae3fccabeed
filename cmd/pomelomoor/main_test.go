package main

import (
	"bufio"
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"pomelomoor/internal/client/caller"
	"pomelomoor/internal/entry/presenter"
	"pomelomoor/internal/gateway/lister"
	"pomelomoor/internal/trial/spawner"
	"pomelomoor/internal/work/descriptor"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"pomelomoor": func() {
			os.Exit(run())
		},
	})
}

// TestOperations guards against steps in docs/OPERATIONS.md, and in the pages about jobs and selectors, that
// do not work. It runs the steps with real processes on the loopback interface.
func TestOperations(t *testing.T) {
	programs := t.TempDir()
	if err := spawner.Build(t.Context(), programs, "pomelomoor/cmd/standin"); err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", programs+string(os.PathListSeparator)+env.Getenv("PATH"))
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"start":      start,
			"end":        end,
			"expand":     expand,
			"eventually": eventually,
			"documented": documented,
		},
	})
}

// process is a program that runs in the background.
type process struct {
	*exec.Cmd

	exited chan error
}

var processes = map[string]*process{}

// start NAME PROGRAM ARGS starts a program and sets the variable NAME to the address on its first line of
// output.
func start(ts *testscript.TestScript, _ bool, args []string) {
	path, err := exec.LookPath(args[1])
	if found := findInPath(ts.Getenv("PATH"), args[1]); found != "" {
		path, err = found, nil
	}
	ts.Check(err)
	command := exec.CommandContext(context.Background(), path, args[2:]...)
	command.Dir = ts.Getenv("WORK")
	command.Env = append(os.Environ(), "TESTSCRIPT_COMMAND="+args[1])
	output, err := command.StdoutPipe()
	ts.Check(err)
	ts.Check(command.Start())
	started := &process{
		Cmd:    command,
		exited: make(chan error, 1),
	}
	processes[args[0]] = started
	reader := bufio.NewReader(output)
	line, err := reader.ReadBytes('\n')
	ts.Check(err)
	go func() {
		started.exited <- command.Wait()
	}()
	ts.Defer(func() {
		_ = command.Process.Kill()
	})
	var addresses struct {
		Address, HTTP, Instance string
		Peer                    netip.AddrPort
	}
	ts.Check(json.Unmarshal(line, &addresses))
	ts.Setenv(args[0], addresses.Address+addresses.HTTP)
	if addresses.Instance != "" {
		announce(ts, addresses.Instance, addresses.Peer)
	}
}

// announce sends heartbeats for an entry instance to the instance list, as the platform does.
func announce(ts *testscript.TestScript, id string, peer netip.AddrPort) {
	client, closeIdle, err := lister.New([]netip.AddrPort{netip.MustParseAddrPort(ts.Getenv("store"))}, lister.Options{})
	ts.Check(err)
	_, stopAnnouncing := lister.StartAnnouncing(client, lister.Instance{
		ID:      id,
		Role:    lister.RoleEntry,
		State:   lister.StateLive,
		Address: peer,
		Place: descriptor.Place{
			Region: "kigali",
			Site:   "kigali-a",
		},
	}, 0)
	ts.Defer(func() {
		stopAnnouncing()
		closeIdle()
	})
}

func findInPath(path, program string) string {
	for _, directory := range filepath.SplitList(path) {
		found := filepath.Join(directory, program)
		if _, err := os.Stat(found); err == nil {
			return found
		}
	}
	return ""
}

// end NAME [drained] sends SIGTERM to a process, as the platform does, and fails unless the process exits with
// code 0. With "drained" it sends no signal and only waits for the exit.
func end(ts *testscript.TestScript, _ bool, args []string) {
	stopped := processes[args[0]]
	if len(args) == 1 {
		ts.Check(stopped.Process.Signal(syscall.SIGTERM))
	}
	ts.Check(<-stopped.exited)
}

// expand FILE... replaces variables such as $NAME in files.
func expand(ts *testscript.TestScript, _ bool, args []string) {
	for _, file := range args {
		text := os.Expand(ts.ReadFile(file), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(file), []byte(text), 0o644))
	}
}

// eventually TEXT PROGRAM ARGS repeats a command until it succeeds and its output contains TEXT. It fails after
// a minute.
func eventually(ts *testscript.TestScript, _ bool, args []string) {
	for end := time.Now().Add(time.Minute); time.Now().Before(end); {
		if ts.Exec(args[1], args[2:]...) == nil && strings.Contains(ts.ReadFile("stdout"), args[0]) {
			return
		}
	}
	ts.Fatalf("no output contained %q within a minute", args[0])
}

// documented ADDRESS sends a request to an instance and fails unless docs/metrics.md lists all of its metrics.
func documented(ts *testscript.TestScript, _ bool, args []string) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "metrics.md"))
	ts.Check(err)
	client := caller.Client{
		Servers: args,
	}
	_, _, err = client.Request(context.Background(), presenter.Request{
		Service: "lending-desk",
		Caller:  "kiosk",
		Body:    []byte("{}"),
	})
	ts.Check(err)
	for end := time.Now().Add(time.Minute); ; {
		metrics, err := client.Metrics(context.Background())
		ts.Check(err)
		for line := range strings.Lines(metrics) {
			name := strings.FieldsFunc(line, func(char rune) bool { return char == '{' || char == ' ' })[0]
			if !strings.Contains(string(page), "\n| `"+name+"` | ") {
				ts.Fatalf("metric %s is not documented", name)
			}
		}
		switch {
		case strings.Contains(metrics, "request.ended"):
			return
		case time.Now().After(end):
			ts.Fatalf("the metrics did not count the request within a minute")
		}
	}
}
