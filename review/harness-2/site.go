package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName = "desk"
	host        = "site.example"
)

// options describe a small deployment.
type options struct {
	instances int
	runners   int
	// cpu is the capacity of a runner in thousandths of a core.
	cpu         int64
	maxAttempts int
	// routes are the queues; the first one is used unless another is named.
	routes []route
	// otherKind is the number of runners of kind "b"; the others are of kind "a".
	otherKind int
	// memoryMb is the memory of an instance.
	memoryMb int
}

// route is a queue.
type route struct {
	name     string
	priority int
	slack    float64
	// hint is the policy of the queue's advice service; nil without one.
	hint map[string]any
}

// prefix is the prefix of the paths of the queue.
func (route *route) prefix() string {
	return "/" + route.name + "/"
}

// site is a small deployment: the stand-ins of the platform, and the instances as processes.
type site struct {
	options   options
	directory string
	program   string
	judge     *judge
	store     *store
	runners   []*runner
	instances []*instance
	address   string
	basePort  int
	client    *http.Client
	closers   []func()
	// turns holds a lock for each machine that asks for advice.
	turns sync.Map
}

type instance struct {
	site     *site
	index    int
	settings string
	mutex    sync.Mutex
	command  *exec.Cmd
	done     chan struct{}
	ended    bool
}

func (site *site) ip(index int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid/200%100, 1+pid%200, 10+index)
}

// newSite starts the deployment and waits until its instances are ready.
func newSite(program, record, directory string, options options) (*site, error) {
	judge, err := newJudge(record)
	if err != nil {
		return nil, err
	}
	site := &site{options: options, directory: directory, program: program, judge: judge, store: newStore(), client: &http.Client{
		Timeout:   3500 * time.Millisecond,
		Transport: &http.Transport{MaxIdleConnsPerHost: 64},
	}}
	server, address, err := serve(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/-/advise" {
			site.advise(writer, request)
			return
		}
		site.store.ServeHTTP(writer, request)
	}))
	if err != nil {
		return site, err
	}
	site.closers = append(site.closers, func() { _ = server.Close() })
	site.address = address
	site.configure()
	for index := range options.runners {
		kind := "a"
		if index >= options.runners-options.otherKind {
			kind = "b"
		}
		runner := newRunner(fmt.Sprintf("i-%04x", 0x5a10+index), fmt.Sprintf("zone-%d", index%3), fmt.Sprintf("r1-%d", index/8), kind, options.cpu, site.store, judge)
		site.runners = append(site.runners, runner)
		if err := runner.start(); err != nil {
			return site, err
		}
	}
	if site.basePort, err = freePort(); err != nil {
		return site, err
	}
	for index := range options.instances {
		instance := &instance{site: site, index: index, settings: filepath.Join(directory, fmt.Sprintf("node-%d.toml", index))}
		if err := os.WriteFile(instance.settings, []byte(site.settings(index)), 0o600); err != nil {
			return site, err
		}
		site.instances = append(site.instances, instance)
		if err := instance.start(); err != nil {
			return site, err
		}
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, instance := range site.instances {
		for !instance.ready() {
			if time.Now().After(deadline) {
				return site, fmt.Errorf("instance %d is not ready", instance.index)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	// The leader has read the state of the cell once it answers counts.
	for {
		status, _ := site.call(0, http.MethodGet, site.options.routes[0].prefix(), nil)
		if status == http.StatusOK {
			break
		}
		if time.Now().After(deadline) {
			return site, fmt.Errorf("no leader")
		}
		time.Sleep(50 * time.Millisecond)
	}
	judge.note("%d instances and %d runners are up", options.instances, options.runners)
	return site, nil
}

func freePort() (int, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = listener.Close() }()
	port := listener.Addr().(*net.TCPAddr).Port
	if port > 65000 {
		port -= 2000
	}
	return port, nil
}

// configure writes the configuration.
func (site *site) configure() {
	if len(site.options.routes) == 0 {
		site.options.routes = []route{{name: "jobs", priority: 1, slack: 2.2}}
	}
	routes := []any{}
	for _, route := range site.options.routes {
		entry := map[string]any{
			"name": "r-" + route.name, "host": host, "prefix": route.prefix(), "routeType": "unsafe", "timeoutMs": 3000, "sloMs": 1200,
			"priority": route.priority, "service": serviceName, "maxAttempts": site.options.maxAttempts, "slackFactor": route.slack,
		}
		if route.hint != nil {
			entry["hint"] = route.hint
		}
		routes = append(routes, entry)
	}
	document, _ := json.Marshal(map[string]any{
		"version": 7,
		"routes":  routes,
		"services": []any{map[string]any{
			"name": serviceName, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": false, "standby": false,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	site.store.put("op/config", document)
}

// settings returns the settings file of an instance. Its values are those of the users' site inkoni-fleet.
func (site *site) settings(index int) string {
	ip := site.ip(index)
	port := site.basePort
	var text strings.Builder
	fmt.Fprintf(&text, "nodeName = \"front-%d\"\nrole = \"node\"\nmachineClass = \"front\"\nserves = [\"front\"]\nip = %q\nzone = \"zone-%d\"\nregion = \"region-%d\"\n", index, ip, index%3, index%3)
	fmt.Fprintf(&text, "portRange = [%d,%d]\nseeds = []\nbootstrap = true\ncountsAsLoss = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1500\n", port+3, port+12)
	fmt.Fprintf(&text, "policies = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\",\"advice\",\"upkeep\",\"sharing\"]\ncontrolMode = \"rpc\"\nhint = %q\n", site.address)
	text.WriteString("[zones]\nzone-0 = \"region-0\"\nzone-1 = \"region-1\"\nzone-2 = \"region-2\"\n")
	fmt.Fprintf(&text, "[listen]\nfront = \"%s:%d\"\nready = \"%s:%d\"\n", ip, port, ip, port+1)
	fmt.Fprintf(&text, "[limits]\ncpuShare = 0.4\ncores = 1\nmemoryMb = %d\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n", site.options.memoryMb)
	text.WriteString("[faultTolerance]\nmachines = 2\nzones = 0\nregions = 0\n")
	text.WriteString("[bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 4000\nackMs = 5000\ncatchUpS = 4\ndrainMs = 3000\ngraceS = 6\nlossSlackMs = 200\nconfigApplyMs = 3000\nrollbackSlackMs = 250\nmaxStretchMs = 6000\nrecoveryS = 12\nmaxHoldMs = 10000\nstopTimeoutMs = 400\ngangTimeoutMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nremoteFactor = 2\ncheckpointIntervalS = 0.5\nrestoreMs = 100\nnoticeMs = 5500\nmigrateS = 1.5\nmaintenanceS = 2\nenforceFencing = false\nleaseMs = 3000\nthawSlackMs = 300\npaceMs = 100\nimpactMs = 4000\n")
	fmt.Fprintf(&text, "[platform]\naddress = %q\nform = \"kv\"\nwritesPerS = %d\nreadsPerS = %d\nretentionS = 20\nmaxValueBytes = %d\nminTtlMs = 1000\n", site.address, storeWritesPerS, storeReadsPerS, maxValueBytes)
	return text.String()
}

func (instance *instance) start() error {
	instance.mutex.Lock()
	defer instance.mutex.Unlock()
	logFile, err := os.OpenFile(filepath.Join(instance.site.directory, fmt.Sprintf("node-%d.log", instance.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }()
	command := exec.Command(instance.site.program, "node")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "POMELOMOOR_SETTINGS=" + instance.settings}
	command.Stdout, command.Stderr = logFile, logFile
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	instance.command, instance.done, instance.ended = command, done, false
	go func() {
		err := command.Wait()
		instance.mutex.Lock()
		instance.ended = true
		instance.mutex.Unlock()
		instance.site.judge.note("instance %d has ended: %v", instance.index, err)
		close(done)
	}()
	return nil
}

// signal sends a signal to the process of the instance.
func (instance *instance) signal(signal syscall.Signal) {
	instance.mutex.Lock()
	defer instance.mutex.Unlock()
	if !instance.ended {
		instance.site.judge.note("instance %d gets %v", instance.index, signal)
		_ = instance.command.Process.Signal(signal)
	}
}

// ready reports whether the instance answers the platform's probe.
func (instance *instance) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/-/ready", instance.site.ip(instance.index), instance.site.basePort+1))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends all processes.
func (site *site) close() {
	for _, instance := range site.instances {
		instance.mutex.Lock()
		command, done, ended := instance.command, instance.done, instance.ended
		instance.mutex.Unlock()
		if command != nil && !ended {
			_ = command.Process.Kill()
			<-done
		}
	}
	for _, closer := range site.closers {
		closer()
	}
}

// call makes one call of a client to an instance. A status of 0 means that there was no answer.
func (site *site) call(index int, method, path string, document []byte) (int, map[string]any) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", site.ip(index), site.basePort, path), bytes.NewReader(document))
	if err != nil {
		return 0, nil
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", "3000")
	response, err := site.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	var answer map[string]any
	_ = json.Unmarshal(content, &answer)
	return response.StatusCode, answer
}

// submit hands a job in, with the retries of a client, and reports whether it was accepted.
func (site *site) submit(id string, steps []taskSpec) bool {
	return site.submitTo(&site.options.routes[0], id, steps)
}

func (site *site) submitTo(route *route, id string, steps []taskSpec) bool {
	site.judge.add(id, steps, route.hint != nil)
	document := body("work of "+id, steps)
	for try := range 5 {
		index := (int(id[len(id)-1]) + try) % len(site.instances)
		status, _ := site.call(index, http.MethodPost, route.prefix()+id, document)
		site.judge.note("POST %s (%d steps, %d tasks) to instance %d: %d", id, len(steps), steps[0].Count, index, status)
		if status/100 == 2 {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// state asks for the state of a job until there is an answer.
func (site *site) state(id string) string {
	for try := range 5 {
		index := (int(id[len(id)-1]) + try) % len(site.instances)
		status, answer := site.call(index, http.MethodGet, site.options.routes[0].prefix()+id, nil)
		if status == http.StatusOK {
			state, _ := answer["state"].(string)
			return state
		}
		if status == http.StatusGone {
			return "410"
		}
		time.Sleep(200 * time.Millisecond)
	}
	return "no answer"
}

// jobID returns the ID of the job with a number.
func jobID(number int) string {
	return fmt.Sprintf("%08x%08x", uint32(number*2654435761+77), uint32(number))
}

// advise is a stand-in for the advice service. It allows each step half of the runners, and handles one call at a time for
// each calling machine.
func (site *site) advise(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(request.Body).Decode(&body) != nil || len(body.Workers) > 100 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	caller, _, _ := net.SplitHostPort(request.RemoteAddr)
	turn, _ := site.turns.LoadOrStore(caller, &sync.Mutex{})
	turn.(*sync.Mutex).Lock()
	defer turn.(*sync.Mutex).Unlock()
	time.Sleep(time.Duration((adviceBaseMs + adviceWorkerMs*float64(len(body.Workers))) * float64(time.Millisecond)))
	allowed := [][]string{}
	for _, worker := range body.Workers {
		if allows(body.Step, worker) {
			allowed = append(allowed, []string{worker, body.Step + "/" + worker})
		}
	}
	writeJSON(writer, http.StatusOK, map[string]any{"allowed": allowed})
}

const (
	adviceBaseMs   = 8.1
	adviceWorkerMs = 0.12
	adviceValidMs  = 2000
)

func adviceHint() map[string]any {
	return map[string]any{"decisionMs": adviceBaseMs, "perWorkerMs": adviceWorkerMs, "validityMs": adviceValidMs}
}

// settleTime is how long a job may have nothing running while there is capacity for it.
const settleTime = 3 * time.Second

// unfinished is called at the end of the traffic. It returns the jobs among accepted that finishTime later are not completed,
// and have nothing running from settleTime before that to settleTime after it although all the while there is capacity for
// them twice over and under half of the service's capacity is in use. So the rule is broken whichever of the two spans is meant.
func (site *site) unfinished(accepted map[string]bool) []string {
	open := map[string]bool{}
	for id := range accepted {
		open[id] = true
	}
	time.Sleep(finishTime - settleTime)
	site.watchIdle(open)
	site.dropCompleted(open, true)
	site.watchIdle(open)
	site.dropCompleted(open, false)
	var jobs []string
	for id := range open {
		jobs = append(jobs, id)
	}
	sort.Strings(jobs)
	return jobs
}

// dropCompleted asks for the state of each job and removes those that are completed.
func (site *site) dropCompleted(open map[string]bool, note bool) {
	var mutex sync.Mutex
	var group sync.WaitGroup
	completed := map[string]bool{}
	for id := range open {
		group.Go(func() {
			state := site.state(id)
			if note && state != "completed" {
				site.judge.note("GET %s: %s", id, state)
			}
			mutex.Lock()
			defer mutex.Unlock()
			completed[id] = state == "completed"
		})
	}
	group.Wait()
	for id, done := range completed {
		if done {
			delete(open, id)
		}
	}
}

// watchIdle watches the runners for settleTime and removes the jobs that have anything running, or for which there is no
// capacity twice over, and all jobs if half of the capacity is in use.
func (site *site) watchIdle(open map[string]bool) {
	for begun := time.Now(); time.Since(begun) < settleTime; time.Sleep(20 * time.Millisecond) {
		var used, capacity int64
		free := map[*runner]taskSpec{}
		for _, runner := range site.runners {
			runner.mutex.Lock()
			room := taskSpec{CPU: runner.cpu, MemMb: runner.memMb}
			for task, run := range runner.runs {
				job, _, _, _ := splitTask(task)
				delete(open, job)
				room.CPU -= run.spec.CPU
				room.MemMb -= run.spec.MemMb
			}
			if runner.up {
				used += runner.cpu - room.CPU
				capacity += runner.cpu
				free[runner] = room
			}
			runner.mutex.Unlock()
		}
		if 2*used >= capacity {
			clear(open)
		}
		for id := range open {
			if !site.fitsTwice(id, free) {
				delete(open, id)
			}
		}
	}
}

// fitsTwice reports whether the first step of a job fits twice over into what the runners that may run it have free.
func (site *site) fitsTwice(id string, free map[*runner]taskSpec) bool {
	site.judge.mutex.Lock()
	step, hinted := site.judge.jobs[id][0], site.judge.hinted[id]
	site.judge.mutex.Unlock()
	var slots int64
	for runner, room := range free {
		if step.Requires != "" && step.Requires != runner.kind && step.Requires != runner.rack || hinted && !allows(id+".0.0", runner.id) {
			continue
		}
		here := min(room.CPU/max(step.CPU, 1), room.MemMb/max(step.MemMb, 1))
		if step.MaxPerServer > 0 {
			here = min(here, int64(step.MaxPerServer))
		}
		slots += max(here, 0)
	}
	return slots >= 2*int64(step.Count)
}

// allows reports whether the policy of a queue with advice lets a runner run a step.
func allows(step, runner string) bool {
	return crc32.ChecksumIEEE([]byte(step+"/"+runner))%2 == 0
}
