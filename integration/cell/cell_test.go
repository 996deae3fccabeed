// Package cell_test runs instances of a cell as processes against an imitated platform, injects faults
// from outside, and judges what workers and callers saw.
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
	// What is left in the directory for temporary files does no harm.
	_ = os.RemoveAll(directory)
	os.Exit(code)
}

const (
	// startLimit has room for a busy machine.
	startLimit = 30 * time.Second
	pollPause  = 20 * time.Millisecond
	// settleLimit is how long accepted work may take after all faults are over: leases of up to 6 s that
	// an earlier leader may have renewed for 8 s, and the work itself, on a busy machine.
	settleLimit = 60 * time.Second
)

// cell is a platform with instances.
type cell struct {
	t     *testing.T
	site  *standin.Site
	nodes []*node
	// links are the proxies before the workers, by worker.
	links  map[string]*interrupter.Link
	client *http.Client
}

// node is one instance, whose process may be started again.
type node struct {
	cell     *cell
	index    int
	settings string
	log      string
	store    *interrupter.Link

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// expected means that the test ended the process.
	expected bool
}

// newCell starts a platform and instances.
func newCell(t *testing.T, nodes, workers int, queues ...standin.Queue) *cell {
	t.Helper()
	cell := &cell{
		t:     t,
		links: map[string]*interrupter.Link{},
		client: &http.Client{
			Timeout: 3 * time.Second,
		},
	}
	between := func(name string, address netip.AddrPort) (netip.AddrPort, error) {
		link, stop, err := interrupter.NewLink(name, address)
		if err != nil {
			return address, err
		}
		t.Cleanup(stop)
		cell.links[name] = link
		return link.Address(), nil
	}
	site, stop, err := standin.NewSite(workers, 4000, between)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	cell.site = site
	if err := site.Configure(queues...); err != nil {
		t.Fatal(err)
	}
	for index := range nodes {
		link, stop, err := interrupter.NewLink(fmt.Sprintf("store-%d", index), site.StoreAddress)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(stop)
		directory := t.TempDir()
		node := &node{
			cell:     cell,
			index:    index,
			settings: filepath.Join(directory, "node.toml"),
			log:      filepath.Join(directory, "log"),
			store:    link,
		}
		if err := os.WriteFile(node.settings, site.Settings(index, link.Address()), 0o600); err != nil {
			t.Fatal(err)
		}
		cell.nodes = append(cell.nodes, node)
		node.start()
		t.Cleanup(node.finish)
	}
	for _, node := range cell.nodes {
		node.awaitReady()
	}
	return cell
}

func (node *node) start() {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	log, err := os.OpenFile(node.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		node.cell.t.Fatal(err)
	}
	defer func() {
		// The process has a descriptor of its own.
		_ = log.Close()
	}()
	command := exec.Command(program, "node", "--log-level=DEBUG")
	command.Env = append(os.Environ(), standin.Environment(node.settings))
	command.Stdout = log
	command.Stderr = log
	if err := command.Start(); err != nil {
		node.cell.t.Fatal(err)
	}
	ended := make(chan struct{})
	node.command = command
	node.ended = ended
	node.expected = false
	go func() {
		err := command.Wait()
		node.mutex.Lock()
		defer node.mutex.Unlock()
		if !node.expected {
			node.cell.t.Errorf("instance %d ended by itself: %v", node.index, err)
		}
		close(ended)
	}()
}

func (node *node) signal(signal syscall.Signal, ends bool) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.expected = node.expected || ends
	// A process that has ended takes no signal.
	_ = node.command.Process.Signal(signal)
}

// kill ends the process and waits for its end.
func (node *node) kill(signal syscall.Signal) {
	node.signal(signal, true)
	<-node.ended
}

// finish ends the process with the test and shows its log if the test failed.
func (node *node) finish() {
	node.signal(syscall.SIGCONT, false)
	node.kill(syscall.SIGKILL)
	directory := os.Getenv("POMELOMOOR_SOAK_LOGS")
	if !node.cell.t.Failed() || directory == "" {
		return
	}
	log, err := os.ReadFile(node.log)
	if err == nil {
		name := fmt.Sprintf("%s-%d.log", filepath.Base(node.cell.t.Name()), node.index)
		err = os.WriteFile(filepath.Join(directory, name), log, 0o600)
	}
	if err != nil {
		node.cell.t.Log(err)
	}
}

func (node *node) awaitReady() {
	node.cell.t.Helper()
	node.cell.await(startLimit, fmt.Sprintf("instance %d to be ready", node.index), func() bool {
		response, err := node.cell.client.Get("http://" + node.cell.site.Ready(node.index).String() + "/-/ready")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// awaitListening waits until the process answers the balancer at all.
func (node *node) awaitListening() {
	node.cell.t.Helper()
	node.cell.await(startLimit, fmt.Sprintf("instance %d to listen", node.index), func() bool {
		response, err := node.cell.client.Get("http://" + node.cell.site.Ready(node.index).String() + "/-/ready")
		if err == nil {
			response.Body.Close()
		}
		return err == nil
	})
}

// await polls until condition holds and fails the test after limit.
func (cell *cell) await(limit time.Duration, what string, condition func() bool) {
	cell.t.Helper()
	deadline := time.Now().Add(limit)
	ticker := time.NewTicker(pollPause)
	defer ticker.Stop()
	for !condition() {
		if time.Now().After(deadline) {
			cell.t.Fatalf("waited %s for %s", limit, what)
		}
		<-ticker.C
	}
}

// call makes a caller's call and returns the status, 0 without an answer, and the body.
func (cell *cell) call(method string, instance int, path string, body any) (int, []byte) {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			cell.t.Error(err)
			return 0, nil
		}
	}
	request, err := http.NewRequest(method, "http://"+cell.site.Front(instance).String()+path, bytes.NewReader(encoded))
	if err != nil {
		cell.t.Error(err)
		return 0, nil
	}
	request.Host = standin.Host
	response, err := cell.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// job is the body of a submission of one step.
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

// state asks any instance for the state of a job; empty without an answer.
func (cell *cell) state(instance int, path string) (status int, state string) {
	status, body := cell.call(http.MethodGet, instance, path, nil)
	var answer struct {
		State string
	}
	if status == http.StatusOK && json.Unmarshal(body, &answer) != nil {
		return 0, ""
	}
	return status, answer.State
}

// awaitState waits until every instance that answers tells state.
func (cell *cell) awaitState(path, want string) {
	cell.t.Helper()
	cell.await(settleLimit, path+" to be "+want, func() bool {
		for index := range cell.nodes {
			if _, state := cell.state(index, path); state != want {
				return false
			}
		}
		return true
	})
}

func (cell *cell) checkWitness() {
	cell.t.Helper()
	for _, broken := range cell.site.Witness.Broken() {
		cell.t.Error(broken)
	}
}

var plain = standin.Queue{
	Name:         "plain",
	Prefix:       "/plain/",
	MostAttempts: 3,
}

var advised = standin.Queue{
	Name:         "advised",
	Prefix:       "/advised/",
	MostAttempts: 3,
	Advice:       true,
}

// TestCallsOfTheProtocol guards against callers' calls that the processes together answer wrongly: repeated
// submissions, unknown jobs and queues, faulty bodies, cancellations, failures and counts.
func TestCallsOfTheProtocol(t *testing.T) {
	cell := newCell(t, 3, 4, plain, advised)
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
		{"faulty body", http.MethodPost, "/plain/00000000000000a4", "text", 400},
		{"faulty ID", http.MethodPost, "/plain/a5", job(1, work, false), 400},
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
	if done := cell.site.Witness.Done(); done != 7 {
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
	cell.checkWitness()
}

// TestLossOfAllInstances guards against accepted work that is lost, or done twice, when all processes are
// killed at once while it runs.
func TestLossOfAllInstances(t *testing.T) {
	cell := newCell(t, 3, 4, plain)
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
	cell.await(startLimit, "runs to start", func() bool {
		return cell.site.Witness.Starts() > 10
	})
	for _, node := range cell.nodes {
		node.signal(syscall.SIGKILL, true)
	}
	for _, node := range cell.nodes {
		<-node.ended
		node.start()
	}
	for _, path := range paths {
		cell.awaitState(path, "completed")
	}
	cell.checkWitness()
}
