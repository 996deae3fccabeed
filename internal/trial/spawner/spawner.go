// Package spawner runs the project's programs as child processes for tests and measurements. Production code starts no
// processes.
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
	// startTimeout allows for a busy machine.
	startTimeout = 30 * time.Second
	// maxTailBytes is the maximum number of bytes that Tail returns.
	maxTailBytes = 6 << 10
)

// ErrSpawn is wrapped by all errors that Build and Start return.
var ErrSpawn = errors.New("spawner")

// Process is a running program. The kernel kills it when its parent ends.
type Process struct {
	command *exec.Cmd
	log     *os.File
	ended   chan struct{}
	state   error
}

// Build compiles programs, given by their import paths, into outputDirectory.
func Build(ctx context.Context, outputDirectory string, programs ...string) error {
	for _, program := range programs {
		file := filepath.Join(outputDirectory, path.Base(program))
		output, err := exec.CommandContext(ctx, "go", "build", "-o", file, program).CombinedOutput()
		if err != nil {
			return errors.Wrapf(ErrSpawn, "build %s: %v\n%s", program, err, output)
		}
	}
	return nil
}

// Start runs a program, writes its standard error to logFile, and decodes the JSON document that the program prints
// once it listens into banner. The returned function kills the process.
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
	case <-time.After(startTimeout):
		return errors.New("no address on standard output before the start timeout")
	}
}

// ID returns the process ID.
func (process *Process) ID() int {
	return process.command.Process.Pid
}

// Ended returns a channel that is closed when the process has exited.
func (process *Process) Ended() <-chan struct{} {
	return process.ended
}

// State returns the error with which the process exited, or nil for exit code 0. It is valid once Ended is closed.
func (process *Process) State() error {
	return process.state
}

// LogFile returns the path of the process's log file.
func (process *Process) LogFile() string {
	return process.log.Name()
}

// Tail returns the end of the process's log file.
func (process *Process) Tail() string {
	text, err := os.ReadFile(process.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-maxTailBytes):])
}

// Signal sends a signal if the process is still running.
func (process *Process) Signal(signal syscall.Signal) error {
	select {
	case <-process.ended:
		return nil
	default:
	}
	if err := process.command.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return errors.Wrapf(ErrSpawn, "signal %s to process %d: %v", signal, process.ID(), err)
	}
	return nil
}

// Kill sends SIGKILL and waits until the process has exited.
func (process *Process) Kill() {
	// A process that can't be signalled is one that has exited.
	_ = process.Signal(syscall.SIGKILL)
	<-process.ended
}

// Pause suspends the process until Resume is called.
func (process *Process) Pause() error {
	return process.Signal(syscall.SIGSTOP)
}

// Resume continues a paused process.
func (process *Process) Resume() error {
	return process.Signal(syscall.SIGCONT)
}

// Terminate requests a graceful shutdown.
func (process *Process) Terminate() error {
	return process.Signal(syscall.SIGTERM)
}
