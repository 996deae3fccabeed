package main

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"testing"
)

// commandVariable is an environment variable that makes the test binary run as the command.
const commandVariable = "STANDIN_TEST_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(commandVariable) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// process is a running stand-in process.
type process struct {
	*testing.T
	command *exec.Cmd
	address string
}

func start(t *testing.T, arguments ...string) *process {
	t.Helper()
	command := exec.Command(os.Args[0], arguments...)
	command.Env = append(os.Environ(), commandVariable+"=1")
	command.Stderr = os.Stderr
	output, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = command.Process.Kill()
	})
	var line started
	text, _ := bufio.NewReader(output).ReadBytes('\n')
	if err := json.Unmarshal(text, &line); err != nil || line.Standin != arguments[0] || line.Address.Port() == 0 {
		t.Fatalf("%s printed %q", arguments[0], text)
	}
	return &process{
		T:       t,
		command: command,
		address: line.Address.String(),
	}
}

func (process *process) get(path string) string {
	process.Helper()
	response, err := http.Get("http://" + process.address + path)
	if err != nil {
		process.Fatal(err)
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return string(body)
}

func (process *process) terminate() {
	process.Helper()
	_ = process.command.Process.Signal(syscall.SIGTERM)
	if err := process.command.Wait(); err != nil {
		process.Errorf("%v ended with %v", process.command.Args, err)
	}
}

// TestCommands guards against stand-ins that do not print their address, do not register on the instance list,
// or do not deregister and exit with code 0 on SIGTERM.
func TestCommands(t *testing.T) {
	store := start(t, "store")
	worker := start(t, "worker", "--id=worker-1", "--list="+store.address, "--labels=Disk=Fast;Pilot=Yes")
	runner := start(t, "runner", "--id=runner-1", "--service=lookup", "--list="+store.address, "--linger=10ms")
	balancer := start(t, "balancer", "--backend="+runner.address, "--backend="+worker.address)
	for {
		var instances []struct {
			ID string
		}
		_ = json.Unmarshal([]byte(store.get("/v1/instances")), &instances)
		if len(instances) == 2 {
			break
		}
	}
	for _, process := range []*process{worker, runner} {
		if history := process.get("/v1/history"); history != "null" && history != "[]" {
			t.Errorf("history %s, want it empty", history)
		}
	}
	balancer.terminate()
	worker.terminate()
	runner.terminate()
	if list := store.get("/v1/instances"); list != "[]" {
		t.Errorf("instance list after the planned stop: %s, want it empty", list)
	}
	store.terminate()
}
