// Package spawner runs programs of the project as processes for tests and measurements. The system
// itself starts no processes.
package spawner

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path"
	"path/filepath"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	// startLimit has room for a busy machine.
	startLimit = 30 * time.Second
	// tailBytes is how much of a log Tail returns.
	tailBytes = 6 << 10
)

// ErrSpawn is wrapped by all errors of this package.
var ErrSpawn = errors.New("spawner")

// Process is a running program. It does not outlive the process that started it.
type Process struct {
	command *exec.Cmd
	log     *os.File
	ended   chan struct{}
	state   error
}

// Build builds programs, named by their import paths, into a directory.
func Build(ctx context.Context, directory string, programs ...string) error {
	for _, program := range programs {
		file := filepath.Join(directory, path.Base(program))
		output, err := exec.CommandContext(ctx, "go", "build", "-o", file, program).CombinedOutput()
		if err != nil {
			return errors.Wrapf(ErrSpawn, "build %s: %v\n%s", program, err, output)
		}
	}
	return nil
}

// Start runs a program whose standard error goes to logFile, and decodes the JSON document that it
// prints when it listens into banner. The returned function kills it.
func Start(logFile string, banner any, program string, arguments ...string) (*Process, func(), error) {
	log, err := os.Create(logFile)
	if err != nil {
		return nil, nil, errors.Wrap(ErrSpawn, err.Error())
	}
	process := &Process{
		command: exec.CommandContext(context.Background(), program, arguments...),
		log:     log,
		ended:   make(chan struct{}),
	}
	process.command.Stderr = log
	process.command.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	output, err := process.command.StdoutPipe()
	if err == nil {
		err = process.command.Start()
	}
	if err != nil {
		_ = log.Close()
		return nil, nil, errors.Wrap(ErrSpawn, err.Error())
	}
	if err := process.awaitBanner(output, banner); err != nil {
		process.Kill()
		return nil, nil, errors.Wrapf(ErrSpawn, "%s: %v\n%s", program, err, process.Tail())
	}
	return process, process.Kill, nil
}

func (process *Process) awaitBanner(output io.Reader, banner any) error {
	decoded := make(chan error, 1)
	go func() {
		decoded <- json.NewDecoder(output).Decode(banner)
		_, _ = io.Copy(io.Discard, output)
		process.state = process.command.Wait()
		_ = process.log.Close()
		close(process.ended)
	}()
	select {
	case err := <-decoded:
		return err
	case <-time.After(startLimit):
		return errors.New("it printed no address in time")
	}
}

// ID returns the process ID.
func (process *Process) ID() int {
	return process.command.Process.Pid
}

// Ended is closed when the process has ended.
func (process *Process) Ended() <-chan struct{} {
	return process.ended
}

// State returns how the process ended: nil for exit code 0. Call it only after Ended was closed.
func (process *Process) State() error {
	return process.state
}

// Tail returns the end of the process's log.
func (process *Process) Tail() string {
	text, err := os.ReadFile(process.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-tailBytes):])
}

// Signal sends a signal unless the process has ended.
func (process *Process) Signal(signal syscall.Signal) {
	select {
	case <-process.ended:
	default:
		_ = process.command.Process.Signal(signal)
	}
}

// Kill ends the process at once and returns when it is gone.
func (process *Process) Kill() {
	process.Signal(syscall.SIGKILL)
	<-process.ended
}

// Pause stops the process until Resume.
func (process *Process) Pause() {
	process.Signal(syscall.SIGSTOP)
}

// Resume lets a paused process go on.
func (process *Process) Resume() {
	process.Signal(syscall.SIGCONT)
}

// Terminate asks for a planned stop.
func (process *Process) Terminate() {
	process.Signal(syscall.SIGTERM)
}
