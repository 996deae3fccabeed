// Package integration_test runs the programs as processes, injects faults, and compares what callers were told with
// what workers and runners recorded.
package integration_test

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/sirupsen/logrus"

	"pomelomoor/internal/trial/spawner"
)

// Paths of the programs under test, which TestMain builds.
var pomelomoor, standin string

func TestMain(m *testing.M) {
	os.Exit(runAll(m))
}

func runAll(m *testing.M) int {
	// The fault-injecting proxies log every connection.
	logrus.SetOutput(io.Discard)
	directory, err := os.MkdirTemp("", "pomelomoor-integration-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() {
		_ = os.RemoveAll(directory)
	}()
	pomelomoor = filepath.Join(directory, "pomelomoor")
	standin = filepath.Join(directory, "standin")
	if err := spawner.Build(context.Background(), directory, "pomelomoor/cmd/pomelomoor", "pomelomoor/cmd/standin"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}
