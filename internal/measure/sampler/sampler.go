// Package sampler measures what a process of the system costs: it starts entry instances as real processes
// and reads their processor time and memory from the system.
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

// ticksPerSecond is the unit of processor times in /proc, which Linux fixes for all programs.
const ticksPerSecond = 100

// Sample is what a process used so far.
type Sample struct {
	At time.Time
	// Processor is the time of all threads, in the program and in the system.
	Processor time.Duration
	// ResidentBytes is the memory at this moment.
	ResidentBytes int64
}

// Read returns the sample of a process.
func Read(pid int) (Sample, error) {
	directory := filepath.Join("/proc", strconv.Itoa(pid))
	stat, err := os.ReadFile(filepath.Join(directory, "stat"))
	if err != nil {
		return Sample{}, errors.Wrap(err, "sampler")
	}
	// The name in parentheses may contain spaces.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const user, system = 11, 12
	if len(fields) <= system {
		return Sample{}, errors.Errorf("sampler: process %d: stat has %d fields", pid, len(fields))
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
		Processor:     time.Duration(ticks) * time.Second / ticksPerSecond,
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

// Process is an entry instance that runs as a process of its own.
type Process struct {
	command *exec.Cmd
	// HTTP and Peer are its addresses.
	HTTP netip.AddrPort
	Peer netip.AddrPort
}

// Start runs an entry instance of a built program with settings, whose file goes to a directory. The
// returned function ends the process.
func Start(program, directory string, settings loader.Settings) (*Process, func(), error) {
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
		return nil, nil, errors.Wrap(err, "sampler: first line of the entry instance")
	}
	return process, stop, nil
}

// Sample returns what the process used so far.
func (process *Process) Sample() (Sample, error) {
	return Read(process.command.Process.Pid)
}
