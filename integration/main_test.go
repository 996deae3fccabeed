// Package integration_test runs the programs as processes, lets them fail, and judges the outcome
// by what workers and runners recorded and what callers were told.
package integration_test

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/sirupsen/logrus"
)

// The programs under test, built once.
var pomelomoor, standin string

func TestMain(m *testing.M) {
	os.Exit(runAll(m))
}

func runAll(m *testing.M) int {
	// The proxies report every connection.
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
	for path, source := range map[string]string{
		pomelomoor: "pomelomoor/cmd/pomelomoor",
		standin:    "pomelomoor/cmd/standin",
	} {
		output, err := exec.Command("go", "build", "-o", path, source).CombinedOutput()
		if err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", source, err, output)
			return 1
		}
	}
	return m.Run()
}
