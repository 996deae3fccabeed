package integration_test

import (
	"path/filepath"
	"testing"
	"time"

	"pomelomoor/internal/trial/spawner"
)

const (
	// startTimeout allows for a busy machine.
	startTimeout = 30 * time.Second
	pollInterval = 20 * time.Millisecond
)

// process is a program that a test started. It is killed at the end of the test.
type process struct {
	*spawner.Process

	t    testing.TB
	name string
}

// startProcess starts a program and decodes the line that it prints once it listens into banner.
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

// awaitExit waits until the process exits by itself, with exit code 0.
func (process *process) awaitExit(timeout time.Duration) {
	process.t.Helper()
	select {
	case <-process.Ended():
		if process.State() != nil {
			process.t.Errorf("%s: %v", process.name, process.State())
		}
	case <-time.After(timeout):
		process.t.Fatalf("%s did not end within %s", process.name, timeout)
	}
}

// await polls until condition returns nil, and fails the test after timeout.
func await(t testing.TB, timeout time.Duration, what string, condition func() error) {
	t.Helper()
	start := time.Now()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		err := condition()
		if err == nil {
			return
		}
		if time.Since(start) > timeout {
			t.Fatalf("waited for %s: timeout after %s: %v", what, timeout, err)
		}
		<-ticker.C
	}
}
