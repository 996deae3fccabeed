package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	maxHold      = 6 * time.Second
	hostName     = "site.example"
	callTimeout  = 3 * time.Second
	clientTries  = 5
	portsPerNode = 8
	programPath  = "target/pomelomoor"
	settingsName = "POMELOMOOR_SETTINGS"
)

// node is one process of the system.
type node struct {
	name     string
	ip       string
	port     int
	settings string
	log      *os.File

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// cell is a small deployment: the system's processes, a store and runners.
type cell struct {
	directory string
	record    *record
	store     *store
	nodes     []*node
	runners   []*runner
	client    *http.Client
	version   int
}

// current is the cell whose processes are ended when the program exits.
var current *cell

// route is a queue in the configuration.
type route struct {
	name        string
	maxAttempts int
}

func (route route) prefix() string {
	return "/" + route.name + "/"
}

// newCell starts a deployment with the given labels of its runners.
func newCell(directory string, record *record, nodes int, labels [][]string, routes ...route) *cell {
	created := &cell{
		directory: directory,
		record:    record,
		store:     newStore(),
		client:    &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	current = created
	created.configure(routes...)
	for index, names := range labels {
		created.runners = append(created.runners, newRunner(fmt.Sprintf("i-%010x", 0x7f3a91c200+index), names, created.store, record))
	}
	for index := range nodes {
		created.addNode(index)
	}
	for _, node := range created.nodes {
		node.boot(record)
	}
	for _, node := range created.nodes {
		created.await(20*time.Second, node.name+" to be ready", func() bool {
			response, err := created.client.Get(fmt.Sprintf("http://%s:%d/-/ready", node.ip, node.port+1))
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			return response.StatusCode == http.StatusOK
		})
	}
	created.await(20*time.Second, "a leader that calls the runners", func() bool {
		return record.newestToken() > 0
	})
	return created
}

// configure writes a configuration. The store's response is its acknowledgement.
func (cell *cell) configure(routes ...route) {
	cell.version += 3
	list := []map[string]any{}
	for _, route := range routes {
		list = append(list, map[string]any{
			"name": route.name, "host": hostName, "prefix": route.prefix(), "service": serviceName, "priority": 1,
			"maxAttempts": route.maxAttempts, "slackFactor": 4, "sloMs": 3000,
		})
	}
	document, _ := json.Marshal(map[string]any{
		"version": cell.version, "routes": list,
		"services": []map[string]any{{"name": serviceName, "enforcesCapacity": false}},
		"limits":   map[string]any{"maxBodyBytes": 1 << 18},
	})
	cell.store.put("op/config", document)
}

// addNode prepares the settings of a process. All use the same free ports on addresses of their own.
func (cell *cell) addNode(index int) {
	ip := fmt.Sprintf("127.%d.%d.%d", 60+os.Getpid()/250%150, 1+os.Getpid()%250, 10+index)
	port := 0
	for try := 0; port == 0; try++ {
		if try == 200 {
			fail("no free ports on %s", ip)
		}
		candidate := 21000 + (os.Getpid()*17+try*portsPerNode)%9000
		if portsFree(ip, candidate) {
			port = candidate
		}
	}
	created := &node{name: fmt.Sprintf("front-%d", index+1), ip: ip, port: port}
	created.settings = filepath.Join(cell.directory, created.name+".toml")
	text := fmt.Sprintf(`nodeName = %q
role = "node"
machineClass = "front"
serves = ["front"]
ip = %q
zone = "zone-%c"
region = "region-%c"
portRange = [%d,%d]
seeds = []
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
policies = ["base","drain","config","cost","recover","sched","platform"]
controlMode = "rpc"
[zones]
zone-a = "region-a"
zone-b = "region-b"
zone-c = "region-c"
[listen]
front = "%s:%d"
ready = "%s:%d"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
[bounds]
contactMs = 4000
ackMs = 5000
drainMs = 3000
graceS = 6
configApplyMs = 3000
maxHoldMs = %d
stopTimeoutMs = 400
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
remoteFactor = 3
checkpointIntervalS = 2
restoreMs = 250
[platform]
address = %q
form = "kv"
writesPerS = %d
readsPerS = %d
retentionS = 20
maxValueBytes = 1048576
minTtlMs = 1000
`, created.name, ip, 'a'+rune(index%3), 'a'+rune(index%3), port+2, port+portsPerNode-1, ip, port, ip, port+1,
		maxHold.Milliseconds(), cell.store.serve(created.name), writesPerS, readsPerS)
	if err := os.WriteFile(created.settings, []byte(text), 0o600); err != nil {
		fail("settings: %v", err)
	}
	log, err := os.Create(filepath.Join(cell.directory, created.name+".log"))
	if err != nil {
		fail("log: %v", err)
	}
	created.log = log
	cell.nodes = append(cell.nodes, created)
}

func portsFree(ip string, first int) bool {
	for port := first; port < first+portsPerNode; port++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// boot starts the process with the command of the deploy file.
func (node *node) boot(record *record) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	command := exec.Command(programPath, "node")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), settingsName + "=" + node.settings}
	command.Stdout, command.Stderr = node.log, node.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		fail("start %s: %v", node.name, err)
	}
	ended := make(chan struct{})
	node.command, node.ended = command, ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	record.add("process %s starts", node.name)
}

// kill ends the process with SIGKILL.
func (node *node) kill() {
	node.mutex.Lock()
	command, ended := node.command, node.ended
	node.mutex.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	<-ended
}

// leader returns the process that wrote the fencing token that the runners have seen last.
func (cell *cell) leader() *node {
	name := cell.store.writer(cell.record.newestToken())
	for _, node := range cell.nodes {
		if node.name == name {
			return node
		}
	}
	fail("no process wrote the newest fencing token")
	return nil
}

// killLeader kills the process that leads, and starts it again after down.
func (cell *cell) killLeader(down time.Duration) {
	leader := cell.leader()
	leader.kill()
	cell.record.say("SIGKILL to %s, which gives the orders; it starts again after %s", leader.name, down)
	time.AfterFunc(down, func() {
		leader.boot(cell.record)
	})
}

func (cell *cell) stop() {
	for _, node := range cell.nodes {
		node.kill()
	}
}

// await polls until condition holds.
func (cell *cell) await(timeout time.Duration, what string, condition func() bool) {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			fail("waited %s for %s", timeout, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// call makes one call to a node as a client. The status is 0 without a response.
func (cell *cell) call(method string, node *node, path string, body any) (int, string) {
	var encoded []byte
	if body != nil {
		encoded, _ = json.Marshal(body)
	}
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", node.ip, node.port, path), bytes.NewReader(encoded))
	if err != nil {
		fail("call: %v", err)
	}
	request.Host = hostName
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	status, answer := 0, ""
	response, err := cell.client.Do(request)
	if err == nil {
		content, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if readErr == nil {
			status, answer = response.StatusCode, string(content)
		}
	}
	cell.record.add("client: %s %s at %s -> %d %s", method, path, node.name, status, answer)
	return status, answer
}

// step is a step of a job.
type step struct {
	Count      int    `json:"count"`
	CPU        int    `json:"cpu"`
	MemMb      int    `json:"memMb"`
	EstimateMs int    `json:"estimateMs"`
	After      []int  `json:"after,omitempty"`
	Checkpoint bool   `json:"checkpoints,omitempty"`
	Requires   string `json:"requires,omitempty"`
	Perpetual  bool   `json:"perpetual,omitempty"`
}

// submit hands a job in, as a client does: again at another node after no response, a 502 or a 504, and after the time
// that a refusal names.
func (cell *cell) submit(route route, id string, spec work, steps ...step) {
	text, _ := json.Marshal(spec)
	body := map[string]any{"spec": string(text), "steps": steps}
	for try := range clientTries {
		node := cell.nodes[(int(id[len(id)-1])+try)%len(cell.nodes)]
		switch status, _ := cell.call(http.MethodPost, node, route.prefix()+id, body); status {
		case http.StatusOK:
			return
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			time.Sleep(time.Second)
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
		default:
			fail("job %s was answered with %d", id, status)
		}
	}
	fail("job %s was not accepted", id)
}

// state asks for the state of a job, at each node in turn until one answers.
func (cell *cell) state(route route, id string) (int, string) {
	status := 0
	for index := range cell.nodes {
		var answer string
		status, answer = cell.call(http.MethodGet, cell.nodes[index], route.prefix()+id, nil)
		var decoded struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(answer), &decoded) == nil {
			return status, decoded.State
		}
		if status == http.StatusGone || status == http.StatusNotFound {
			return status, ""
		}
	}
	return status, ""
}
