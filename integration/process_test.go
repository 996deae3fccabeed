package integration_test

import (
	"path/filepath"
	"testing"
	"time"

	"pomelomoor/internal/trial/spawner"
)

const (
	// startLimit has room for a busy machine.
	startLimit = 30 * time.Second
	pollPause  = 20 * time.Millisecond
)

// process is a program that a test started. It ends with the test at the latest.
type process struct {
	*spawner.Process

	t    testing.TB
	name string
}

// startProcess runs a program and reads the line that it prints when it listens into banner.
func startProcess(t testing.TB, name string, banner any, path string, arguments ...string) *process {
	t.Helper()
	started, kill, err := spawner.Start(filepath.Join(t.TempDir(), name+".log"), banner, path, arguments...)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	t.Cleanup(func() {
		kill()
		if t.Failed() {
			t.Logf("%s: last log lines:\n%s", name, started.Tail())
		}
	})
	return &process{
		Process: started,
		t:       t,
		name:    name,
	}
}

// awaitEnd waits until the process has ended by itself, with exit code 0.
func (process *process) awaitEnd(limit time.Duration) {
	process.t.Helper()
	select {
	case <-process.Ended():
		if process.State() != nil {
			process.t.Errorf("%s: %v", process.name, process.State())
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
