// Package sampler measures the CPU time, memory and traffic of entry instances. It runs them as separate
// processes and reads their usage from /proc.
package sampler

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/node/loader"
)

// ticksPerSecond is USER_HZ, the unit of CPU times in /proc, which Linux fixes at 100 for user space.
const ticksPerSecond = 100

// Sample is the resource usage of a process at one moment.
type Sample struct {
	At time.Time
	// CPUTime is the CPU time of all threads so far, in user and kernel mode.
	CPUTime time.Duration
	// ResidentBytes is the resident memory.
	ResidentBytes int64
}

// Read returns a sample of the process with the given ID.
func Read(pid int) (Sample, error) {
	directory := filepath.Join("/proc", strconv.Itoa(pid))
	stat, err := os.ReadFile(filepath.Join(directory, "stat"))
	if err != nil {
		return Sample{}, errors.Wrap(err, "sampler")
	}
	// The fields follow the program name, which is in parentheses and may contain spaces.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const user, system = 11, 12
	if len(fields) <= system {
		return Sample{}, errors.Errorf("sampler: process %d: stat has only %d fields", pid, len(fields))
	}
	ticks := 0
	for _, field := range []string{fields[user], fields[system]} {
		count, err := strconv.Atoi(field)
		if err != nil {
			return Sample{}, errors.Wrap(err, "sampler")
		}
		ticks += count
	}
	resident, err := residentBytes(directory)
	return Sample{
		At:            time.Now(),
		CPUTime:       time.Duration(ticks) * time.Second / ticksPerSecond,
		ResidentBytes: resident,
	}, err
}

func residentBytes(directory string) (int64, error) {
	statm, err := os.ReadFile(filepath.Join(directory, "statm"))
	if err != nil {
		return 0, errors.Wrap(err, "sampler")
	}
	var total, resident int64
	if _, err := fmt.Sscan(string(statm), &total, &resident); err != nil {
		return 0, errors.Wrap(err, "sampler")
	}
	return resident * int64(os.Getpagesize()), nil
}

// Process is an entry instance that runs as a separate process.
type Process struct {
	command *exec.Cmd
	// HTTP and Peer are the addresses on which it listens.
	HTTP netip.AddrPort
	Peer netip.AddrPort
}

// StartProcess starts the program as an entry instance. It writes the settings to a file in the directory.
// The returned function kills the process.
func StartProcess(program, directory string, settings loader.Settings) (*Process, func(), error) {
	document, err := json.Marshal(settings)
	if err != nil {
		return nil, nil, errors.Wrap(err, "sampler")
	}
	file := filepath.Join(directory, settings.ID+".json")
	const mode = 0o600
	if err := os.WriteFile(file, document, mode); err != nil {
		return nil, nil, errors.Wrap(err, "sampler")
	}
	command := exec.CommandContext(context.Background(), program, "entry", "--settings", file, "--log-level", "ERROR")
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, nil, errors.Wrap(err, "sampler")
	}
	command.Stderr = os.Stderr
	if err := command.Start(); err != nil {
		return nil, nil, errors.Wrap(err, "sampler")
	}
	process := &Process{
		command: command,
	}
	stop := func() {
		_ = command.Process.Signal(syscall.SIGKILL)
		_ = command.Wait()
	}
	line, err := bufio.NewReader(output).ReadBytes('\n')
	if err == nil {
		err = json.Unmarshal(line, process)
	}
	if err != nil {
		stop()
		return nil, nil, errors.Wrap(err, "sampler: read the addresses of the entry instance")
	}
	return process, stop, nil
}

// Sample returns the current resource usage of the process.
func (process *Process) Sample() (Sample, error) {
	return Read(process.command.Process.Pid)
}
