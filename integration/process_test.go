package integration_test

import (
	"encoding/json"
	"errors"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

const (
	// startLimit has room for a busy machine.
	startLimit = 30 * time.Second
	pollPause  = 20 * time.Millisecond
	killSignal = syscall.SIGKILL
	// logTail is how much of a process's log a failed test shows.
	logTail = 6 << 10
)

// process is a program that a test started. It ends with the test at the latest.
type process struct {
	t       testing.TB
	name    string
	command *exec.Cmd
	log     string
	ended   chan struct{}
	state   error
}

// startProcess runs a program and reads the line that it prints when it listens into banner.
func startProcess(t testing.TB, name string, banner any, path string, arguments ...string) *process {
	t.Helper()
	process := &process{
		t:       t,
		name:    name,
		command: exec.Command(path, arguments...),
		log:     filepath.Join(t.TempDir(), name+".log"),
		ended:   make(chan struct{}),
	}
	log, err := os.Create(process.log)
	if err != nil {
		t.Fatal(err)
	}
	process.command.Stderr = log
	output, err := process.command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	// Children do not outlive a test program that panics.
	process.command.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := process.command.Start(); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	t.Cleanup(func() {
		process.kill()
		_ = log.Close()
		if t.Failed() {
			t.Logf("%s: last log lines:\n%s", name, process.tail())
		}
	})
	ready := make(chan error, 1)
	go func() {
		ready <- json.NewDecoder(output).Decode(banner)
		_, _ = io.Copy(io.Discard, output)
		process.state = process.command.Wait()
		close(process.ended)
	}()
	select {
	case err = <-ready:
	case <-time.After(startLimit):
		err = errors.New("it printed no address in time")
	}
	if err != nil {
		t.Fatalf("%s: %v\n%s", name, err, process.tail())
	}
	return process
}

func (process *process) tail() string {
	text, _ := os.ReadFile(process.log)
	return string(text[max(0, len(text)-logTail):])
}

func (process *process) signal(signal syscall.Signal) {
	select {
	case <-process.ended:
	default:
		_ = process.command.Process.Signal(signal)
	}
}

// kill ends the process at once and returns when it is gone.
func (process *process) kill() {
	process.signal(syscall.SIGKILL)
	<-process.ended
}

func (process *process) pause() {
	process.signal(syscall.SIGSTOP)
}

func (process *process) resume() {
	process.signal(syscall.SIGCONT)
}

// terminate asks for a planned stop.
func (process *process) terminate() {
	process.signal(syscall.SIGTERM)
}

// awaitEnd waits until the process has ended by itself, with exit code 0.
func (process *process) awaitEnd(limit time.Duration) {
	process.t.Helper()
	select {
	case <-process.ended:
		if process.state != nil {
			process.t.Errorf("%s: %v", process.name, process.state)
		}
	case <-time.After(limit):
		process.t.Fatalf("%s did not end within %s", process.name, limit)
	}
}

// await polls until condition returns nil and fails the test after limit.
func await(t testing.TB, limit time.Duration, what string, condition func() error) {
	t.Helper()
	begun := time.Now()
	ticker := time.NewTicker(pollPause)
	defer ticker.Stop()
	for {
		err := condition()
		if err == nil {
			return
		}
		if time.Since(begun) > limit {
			t.Fatalf("%s: not within %s: %v", what, limit, err)
		}
		<-ticker.C
	}
}
