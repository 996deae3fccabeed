// Package cell_test runs the instances of a cell as processes against a fake platform, injects faults from outside,
// and checks what workers and callers observed.
package cell_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"pomelomoor/internal/trial/interrupter"
	"pomelomoor/internal/trial/spawner"
	"pomelomoor/platform/standin"
)

// program is the program under test, built once.
var program string

func TestMain(m *testing.M) {
	logrus.SetOutput(io.Discard)
	directory, err := os.MkdirTemp("", "pomelomoor-cell-")
	if err == nil {
		program = filepath.Join(directory, "pomelomoor")
		err = spawner.Build(context.Background(), directory, "pomelomoor/cmd/pomelomoor")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	// A directory that cannot be removed is left to the cleanup of temporary files.
	_ = os.RemoveAll(directory)
	os.Exit(code)
}

const (
	// startTimeout allows for a busy machine.
	startTimeout = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	// settleTimeout is how long accepted jobs may take after all faults are over: leases of up to 6 s that an earlier
	// leader may have renewed for 8 s, and the run time itself, on a busy machine.
	settleTimeout = 60 * time.Second
)

// cell is a fake platform with the instances of one cell.
type cell struct {
	t         *testing.T
	site      *standin.Site
	instances []*instance
	// links holds the proxy in front of each worker, by worker ID.
	links  map[string]*interrupter.Link
	client *http.Client
}

// instance is one instance of the cell. Its process can be restarted.
type instance struct {
	cell     *cell
	index    int
	settings string
	log      string
	// store is the proxy in front of gate, which leads to the store.
	store *interrupter.Link
	gate  *standin.Gate

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// expected means that the test itself ends the process.
	expected bool
}

// cellCapacity is the capacity of each worker in thousandths of a core.
const cellCapacity = 4000

// newCell starts a fake platform and the instances, and waits until they are ready.
func newCell(t *testing.T, instances, workers int, queues ...standin.Queue) *cell {
	t.Helper()
	return newTenantCell(t, instances, workers, nil, queues...)
}

// newTenantCell starts a cell whose callers need the keys of tenants, unless that is nil.
func newTenantCell(t *testing.T, instances, workers int, tenants []standin.Tenant, queues ...standin.Queue) *cell {
	t.Helper()
	cell := &cell{
		t:     t,
		links: map[string]*interrupter.Link{},
		client: &http.Client{
			Timeout: 3 * time.Second,
		},
	}
	startProxy := func(name string, address netip.AddrPort) (netip.AddrPort, error) {
		link, stop, err := interrupter.NewLink(name, address)
		if err != nil {
			return address, err
		}
		t.Cleanup(stop)
		cell.links[name] = link
		return link.Address(), nil
	}
	site, stop, err := standin.NewSite(workers, cellCapacity, startProxy)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	cell.site = site
	if tenants != nil {
		site.SetTenants(tenants...)
	}
	if err := site.Configure(queues...); err != nil {
		t.Fatal(err)
	}
	for index := range instances {
		gate, gateAddress, err := site.NewGate()
		if err != nil {
			t.Fatal(err)
		}
		link, stop, err := interrupter.NewLink(fmt.Sprintf("store-%d", index), gateAddress)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(stop)
		directory := t.TempDir()
		instance := &instance{
			cell:     cell,
			index:    index,
			settings: filepath.Join(directory, "node.toml"),
			log:      filepath.Join(directory, "log"),
			store:    link,
			gate:     gate,
		}
		if err := os.WriteFile(instance.settings, site.Settings(index, link.Address()), 0o600); err != nil {
			t.Fatal(err)
		}
		cell.instances = append(cell.instances, instance)
		instance.start()
		t.Cleanup(instance.finish)
	}
	for _, instance := range cell.instances {
		instance.awaitReady()
	}
	return cell
}

func (instance *instance) start() {
	instance.mutex.Lock()
	defer instance.mutex.Unlock()
	log, err := os.OpenFile(instance.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		instance.cell.t.Fatal(err)
	}
	defer func() {
		// The process has its own copy of the descriptor.
		_ = log.Close()
	}()
	command := exec.Command(program, "node", "--log-level=DEBUG")
	command.Env = append(os.Environ(), standin.SettingsEnv(instance.settings))
	command.Stdout = log
	command.Stderr = log
	if err := command.Start(); err != nil {
		instance.cell.t.Fatal(err)
	}
	ended := make(chan struct{})
	instance.command = command
	instance.ended = ended
	instance.expected = false
	go func() {
		err := command.Wait()
		instance.mutex.Lock()
		defer instance.mutex.Unlock()
		if !instance.expected {
			instance.cell.t.Errorf("instance %d exited unexpectedly: %v", instance.index, err)
		}
		close(ended)
	}()
}

func (instance *instance) signal(signal syscall.Signal, ends bool) {
	instance.mutex.Lock()
	defer instance.mutex.Unlock()
	instance.expected = instance.expected || ends
	// Signalling a process that has ended fails, which is not an error here.
	_ = instance.command.Process.Signal(signal)
}

// kill ends the process with a signal and waits until it has exited.
func (instance *instance) kill(signal syscall.Signal) {
	instance.signal(signal, true)
	<-instance.ended
}

// finish ends the process. If the test failed, it copies the log to the directory in POMELOMOOR_SOAK_LOGS.
func (instance *instance) finish() {
	instance.signal(syscall.SIGCONT, false)
	instance.kill(syscall.SIGKILL)
	directory := os.Getenv("POMELOMOOR_SOAK_LOGS")
	if !instance.cell.t.Failed() || directory == "" {
		return
	}
	log, err := os.ReadFile(instance.log)
	if err == nil {
		name := fmt.Sprintf("%s-%d.log", filepath.Base(instance.cell.t.Name()), instance.index)
		err = os.WriteFile(filepath.Join(directory, name), log, 0o600)
	}
	if err != nil {
		instance.cell.t.Log(err)
	}
}

func (instance *instance) awaitReady() {
	instance.cell.t.Helper()
	instance.cell.await(startTimeout, fmt.Sprintf("instance %d to be ready", instance.index), func() bool {
		response, err := instance.cell.client.Get("http://" + instance.cell.site.Ready(instance.index).String() + "/-/ready")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// awaitListening waits until the process answers readiness probes, whether it is ready or not.
func (instance *instance) awaitListening() {
	instance.cell.t.Helper()
	instance.cell.await(startTimeout, fmt.Sprintf("instance %d to listen", instance.index), func() bool {
		response, err := instance.cell.client.Get("http://" + instance.cell.site.Ready(instance.index).String() + "/-/ready")
		if err == nil {
			response.Body.Close()
		}
		return err == nil
	})
}

// await polls until condition holds and fails the test after timeout.
func (cell *cell) await(timeout time.Duration, what string, condition func() bool) {
	cell.t.Helper()
	deadline := time.Now().Add(timeout)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		if time.Now().After(deadline) {
			cell.t.Fatalf("waited %s for %s", timeout, what)
		}
		<-ticker.C
	}
}

// call makes a call to an instance as a caller does. It returns the status, or 0 without a response, and the body.
func (cell *cell) call(method string, instance int, path string, body any) (int, []byte) {
	answer := cell.callWith(method, instance, path, body)
	return answer.status, answer.body
}

// callWithKey makes a call with a key. An empty key is left out.
func (cell *cell) callWithKey(key, method string, instance int, path string, body any) answer {
	return cell.callWith(method, instance, path, body, authorizations(key)...)
}

// authorizations returns the Authorization headers of a call with a key; none for an empty key.
func authorizations(key string) []string {
	if key == "" {
		return nil
	}
	return []string{"Bearer " + key}
}

// answer is a response to a caller. Its status is 0 without one.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// callWith makes a call with Authorization headers.
func (cell *cell) callWith(method string, instance int, path string, body any, authorizations ...string) answer {
	return cell.callUntil(context.Background(), method, instance, path, body, authorizations...)
}

// callUntil makes a call with Authorization headers whose caller leaves when ctx is done.
func (cell *cell) callUntil(ctx context.Context, method string, instance int, path string, body any, authorizations ...string) answer {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			cell.t.Error(err)
			return answer{}
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+cell.site.Front(instance).String()+path, bytes.NewReader(encoded))
	if err != nil {
		cell.t.Error(err)
		return answer{}
	}
	request.Host = standin.Host
	for _, authorization := range authorizations {
		request.Header.Add("Authorization", authorization)
	}
	response, err := cell.client.Do(request)
	if err != nil {
		return answer{}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	return answer{
		status: response.StatusCode,
		header: response.Header,
		body:   content,
	}
}

// job returns the body of a submission with one step.
func job(count int, work standin.Work, gang bool) map[string]any {
	spec, err := json.Marshal(work)
	if err != nil {
		panic(err)
	}
	return map[string]any{
		"spec": string(spec),
		"steps": []map[string]any{{
			"count":      count,
			"cpu":        work.MilliCPU,
			"memMb":      16,
			"estimateMs": work.Milliseconds,
			"gang":       gang,
		}},
	}
}

// stateWithKey queries an instance for the state of a job. The state is empty without a response.
func (cell *cell) stateWithKey(key string, instance int, path string) (status int, state string) {
	answer := cell.callWithKey(key, http.MethodGet, instance, path, nil)
	var response struct {
		State string
	}
	if answer.status == http.StatusOK && json.Unmarshal(answer.body, &response) != nil {
		return 0, ""
	}
	return answer.status, response.State
}

// awaitState waits until every instance reports the state want.
func (cell *cell) awaitState(path, want string) {
	cell.t.Helper()
	cell.awaitStateWithKey("", path, want)
}

func (cell *cell) awaitStateWithKey(key, path, want string) {
	cell.t.Helper()
	cell.await(settleTimeout, path+" to be "+want, func() bool {
		for index := range cell.instances {
			if _, state := cell.stateWithKey(key, index, path); state != want {
				return false
			}
		}
		return true
	})
}

func (cell *cell) checkViolations() {
	cell.t.Helper()
	for _, violation := range cell.site.RunRecorder.Violations() {
		cell.t.Error(violation)
	}
}

var plainQueue = standin.Queue{
	Name:        "plain",
	Prefix:      "/plain/",
	MaxAttempts: 3,
}

var advisedQueue = standin.Queue{
	Name:        "advised",
	Prefix:      "/advised/",
	MaxAttempts: 3,
	Advice:      true,
}

// TestHTTPCalls guards against wrong responses to callers when several instances serve them: to repeated
// submissions, unknown jobs and queues, invalid bodies, cancellations, failures and counts.
func TestHTTPCalls(t *testing.T) {
	cell := newCell(t, 3, 4, plainQueue, advisedQueue)
	work := standin.Work{
		Milliseconds: 50,
		MilliCPU:     500,
	}
	calls := []struct {
		name   string
		method string
		path   string
		body   any
		want   int
	}{
		{"submission", http.MethodPost, "/plain/00000000000000a1", job(3, work, false), 200},
		{"submission again", http.MethodPost, "/plain/00000000000000a1", job(3, work, false), 200},
		{"submission of a gang", http.MethodPost, "/advised/00000000000000a2", job(4, work, true), 200},
		{"unknown queue", http.MethodPost, "/other/00000000000000a3", job(1, work, false), 404},
		{"invalid body", http.MethodPost, "/plain/00000000000000a4", "text", 400},
		{"invalid ID", http.MethodPost, "/plain/a5", job(1, work, false), 400},
		{"unknown job", http.MethodGet, "/plain/00000000000000a6", nil, 410},
		{"cancellation of an unknown job", http.MethodDelete, "/plain/00000000000000a6", nil, 410},
		{"count of a queue", http.MethodGet, "/plain/", nil, 200},
		{"count of an unknown queue", http.MethodGet, "/other/", nil, 404},
	}
	for index, call := range calls {
		if status, body := cell.call(call.method, index%3, call.path, call.body); status != call.want {
			t.Errorf("%s: status %d (%s), want %d", call.name, status, body, call.want)
		}
	}
	cell.awaitState("/plain/00000000000000a1", "completed")
	cell.awaitState("/advised/00000000000000a2", "completed")
	// The end of one member of a gang stands for all. Those of the stand-in end one by one, each at its own time.
	cell.await(settleTimeout, "7 tasks to be done", func() bool {
		return cell.site.RunRecorder.Done() >= 7
	})
	if done := cell.site.RunRecorder.Done(); done != 7 {
		t.Errorf("%d tasks are done, want 7", done)
	}
	failing := standin.Work{
		Milliseconds: 20,
		MilliCPU:     500,
		FailRuns:     100,
	}
	cell.call(http.MethodPost, 1, "/plain/00000000000000b1", job(1, failing, false))
	cell.awaitState("/plain/00000000000000b1", "failed")
	long := standin.Work{
		Milliseconds: 60_000,
		MilliCPU:     500,
	}
	cell.call(http.MethodPost, 2, "/plain/00000000000000b2", job(2, long, false))
	if status, _ := cell.call(http.MethodDelete, 0, "/plain/00000000000000b2", nil); status != http.StatusOK {
		t.Errorf("cancellation: status %d, want 200", status)
	}
	cell.awaitState("/plain/00000000000000b2", "cancelled")
	cell.checkViolations()
}

// TestLossOfAllInstances guards against accepted jobs that are lost or executed twice when all instances are killed at
// once while the jobs run.
func TestLossOfAllInstances(t *testing.T) {
	cell := newCell(t, 3, 4, plainQueue)
	work := standin.Work{
		Milliseconds: 300,
		MilliCPU:     1000,
	}
	var paths []string
	for index := range 12 {
		path := fmt.Sprintf("/plain/%016x", index)
		if status, _ := cell.call(http.MethodPost, index%3, path, job(3, work, false)); status != http.StatusOK {
			t.Fatalf("submission: status %d", status)
		}
		paths = append(paths, path)
	}
	cell.await(startTimeout, "runs to start", func() bool {
		return cell.site.RunRecorder.Starts() > 10
	})
	for _, instance := range cell.instances {
		instance.signal(syscall.SIGKILL, true)
	}
	for _, instance := range cell.instances {
		<-instance.ended
		instance.start()
	}
	for _, path := range paths {
		cell.awaitState(path, "completed")
	}
	cell.checkViolations()
}
