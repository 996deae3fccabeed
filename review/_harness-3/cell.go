package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host is the host name of all queues.
const host = "yard.example"

// queue is a route of the configuration.
type queue struct {
	name     string
	prefix   string
	service  string
	priority int
	attempts int
	slack    float64
	sloMs    int
	// advice is nil if any worker of the service may run the queue's jobs.
	advice *adviceTimes
}

// adviceTimes are the times of the advice service for a queue.
type adviceTimes struct {
	decisionMs, perWorkerMs, validityMs float64
}

// cell is a small deployment: the platform's stand-ins in this process, and the instances as processes of their own.
type cell struct {
	record    *record
	store     *store
	directory string
	program   string
	workerIP  string
	base      int
	memoryMb  int
	advisers  []*adviser
	// ticketed means that all queues have a hint, so that each start needs a ticket.
	ticketed  bool
	instances []*instance

	mutex   sync.Mutex
	workers []*worker
	gangs   map[string][]*run
	// history tells what became of each task.
	history map[string]*history
	// used is what the runs on the workers of each service take up, in thousandths of a core.
	used map[string]int64
}

// history is what the workers saw of one task.
type history struct {
	// running counts the runs at present, and runs those so far.
	running int
	runs    int
	// ends counts the ends by their kind.
	ends map[string]int
	// starts are the times at which the runs started.
	starts []time.Time
}

// instance is one process of the system.
type instance struct {
	cell     *cell
	index    int
	settings string
	mutex    sync.Mutex
	command  *exec.Cmd
	ended    chan struct{}
	// kills counts how often the process was killed since it was over its memory, and peakMb is the most that it used.
	kills  int
	peakMb int
	// stop means that the process is not to be started again.
	stop bool
}

const readyTimeout = 20 * time.Second

// newCell starts the stand-ins. Nothing of the system runs yet.
func newCell(record *record, advice *adviceTimes, allowed float64, instances int) (*cell, error) {
	directory, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	cell := &cell{
		record:    record,
		store:     newStore(record, time.Now().UnixNano()),
		directory: directory,
		program:   "target/pomelomoor",
		workerIP:  fmt.Sprintf("127.%d.%d.9", 1+pid/200%200, 1+pid%200),
		memoryMb:  284,
		ticketed:  advice != nil,
		gangs:     map[string][]*run{},
		history:   map[string]*history{},
		used:      map[string]int64{},
	}
	cleanUp = cell.close
	storeAddress, storePort, err := cell.listen(cell.store)
	if err != nil {
		return nil, err
	}
	cell.base = storePort
	if cell.base > 64000 {
		cell.base -= 4000
	}
	for index := range instances {
		adviser := &adviser{
			cell:    cell,
			allowed: allowed,
		}
		if advice != nil {
			adviser.decision = time.Duration(advice.decisionMs * float64(time.Millisecond))
			adviser.perWorker = time.Duration(advice.perWorkerMs * float64(time.Millisecond))
			adviser.validity = time.Duration(advice.validityMs * float64(time.Millisecond))
		}
		cell.advisers = append(cell.advisers, adviser)
		adviceAddress, _, err := cell.listen(adviser)
		if err != nil {
			return nil, err
		}
		instance := &instance{
			cell:     cell,
			index:    index,
			settings: filepath.Join(directory, fmt.Sprintf("node-%d.toml", index)),
		}
		cell.instances = append(cell.instances, instance)
		if err := os.WriteFile(instance.settings, []byte(cell.settings(index, storeAddress, adviceAddress)), 0o600); err != nil {
			return nil, err
		}
	}
	return cell, nil
}

func (cell *cell) listen(handler http.Handler) (address string, port int, err error) {
	listener, err := net.Listen("tcp", cell.workerIP+":0")
	if err != nil {
		return "", 0, err
	}
	go func() {
		_ = http.Serve(listener, handler)
	}()
	return listener.Addr().String(), listener.Addr().(*net.TCPAddr).Port, nil
}

func (cell *cell) ip(index int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/200%200, 1+pid%200, 10+index)
}

func (cell *cell) zone(index int) string {
	return []string{"oberland-hof", "donautal-lager", "frankenhoehe-waage"}[index%3]
}

// settings returns the settings file of an instance, with the bounds of the small deployment of DEPLOY.md.
func (cell *cell) settings(index int, store, advice string) string {
	var text strings.Builder
	regions := []string{"oberland", "donautal", "frankenhoehe"}
	ip := cell.ip(index)
	fmt.Fprintf(&text, "nodeName = %q\nrole = \"node\"\nmachineClass = \"front\"\nserves = [\"front\"]\nip = %q\nzone = %q\nregion = %q\n", cell.instances[index].name(), ip, cell.zone(index), regions[index%3])
	fmt.Fprintf(&text, "portRange = [%d,%d]\nseeds = []\nbootstrap = true\ncountsAsLoss = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1500\n", cell.base+2, cell.base+17)
	fmt.Fprintf(&text, "policies = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\",\"advice\",\"upkeep\",\"sharing\"]\ncontrolMode = \"rpc\"\nhint = %q\n", advice)
	text.WriteString("[zones]\noberland-hof = \"oberland\"\ndonautal-lager = \"donautal\"\nfrankenhoehe-waage = \"frankenhoehe\"\n")
	fmt.Fprintf(&text, "[listen]\nfront = \"%s:%d\"\nready = \"%s:%d\"\n", ip, cell.base, ip, cell.base+1)
	fmt.Fprintf(&text, "[limits]\ncpuShare = 0.4\ncores = 1\nmemoryMb = %d\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n", cell.memoryMb)
	text.WriteString("[faultTolerance]\nmachines = 2\nzones = 0\nregions = 0\n[bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 4000\nackMs = 5000\ncatchUpS = 4\ndrainMs = 3000\ngraceS = 6\nlossSlackMs = 200\nconfigApplyMs = 3000\nrollbackSlackMs = 250\nmaxStretchMs = 6000\nrecoveryS = 12\nmaxHoldMs = 6000\nstopTimeoutMs = 400\ngangTimeoutMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nremoteFactor = 3\ncheckpointIntervalS = 2\nrestoreMs = 250\nnoticeMs = 5500\nmigrateS = 1.5\nmaintenanceS = 2\nenforceFencing = false\nleaseMs = 3000\nthawSlackMs = 300\npaceMs = 100\nimpactMs = 4000\n")
	fmt.Fprintf(&text, "[platform]\naddress = %q\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\nretentionS = 20\nmaxValueBytes = %d\nminTtlMs = 1000\n", store, maxValueBytes)
	return text.String()
}

// configure writes the operator's configuration.
func (cell *cell) configure(version int, services []string, queues ...queue) {
	routes := []map[string]any{}
	for _, queue := range queues {
		route := map[string]any{
			"name":        queue.name,
			"host":        host,
			"prefix":      queue.prefix,
			"service":     queue.service,
			"priority":    queue.priority,
			"maxAttempts": queue.attempts,
			"slackFactor": queue.slack,
			"sloMs":       queue.sloMs,
		}
		if queue.advice != nil {
			route["hint"] = map[string]float64{
				"decisionMs":  queue.advice.decisionMs,
				"perWorkerMs": queue.advice.perWorkerMs,
				"validityMs":  queue.advice.validityMs,
			}
		}
		routes = append(routes, route)
	}
	pools := []map[string]any{}
	for _, service := range services {
		pools = append(pools, map[string]any{
			"name":             service,
			"enforcesCapacity": false,
		})
	}
	document, _ := json.Marshal(map[string]any{
		"version":  version,
		"routes":   routes,
		"services": pools,
		"limits":   map[string]any{"maxBodyBytes": 262144},
	})
	cell.store.put("op/config", document)
}

// addWorker starts a worker. Eight of them share a rack.
func (cell *cell) addWorker(service string, capacity int64, kind, rack string) (*worker, error) {
	cell.mutex.Lock()
	created := &worker{
		id:       fmt.Sprintf("%s-%02d", service, len(cell.workers)),
		service:  service,
		capacity: capacity,
		memory:   262144,
		labels:   []string{kind, rack},
		cell:     cell,
	}
	cell.workers = append(cell.workers, created)
	cell.mutex.Unlock()
	return created, created.serve()
}

func (cell *cell) worker(id string) *worker {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	for _, worker := range cell.workers {
		if worker.id == id {
			return worker
		}
	}
	return nil
}

func (cell *cell) ticketValid(worker *worker, order order) bool {
	if !cell.ticketed {
		return true
	}
	return cell.advisers[0].valid(worker, order.Task[:strings.LastIndexByte(order.Task, '.')], order.Ticket)
}

// worksFrom returns when a run began to work, zero while members of its gang are missing, and whether a member has ended.
func (cell *cell) worksFrom(run *run) (from time.Time, broken bool) {
	if run.step.Gang == 0 {
		return run.start, false
	}
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	return run.workFrom, run.broken
}

// joinGang notes a new member, and lets the gang work once all its members are there.
func (cell *cell) joinGang(run *run) {
	key := gangKey(run)
	cell.gangs[key] = append(cell.gangs[key], run)
	present := 0
	for _, member := range cell.gangs[key] {
		if !member.gone {
			present++
		}
	}
	if present < run.step.Gang {
		return
	}
	for _, member := range cell.gangs[key] {
		member.workFrom = time.Now()
	}
}

// leaveGang ends the other members, unless the gang is done.
func (cell *cell) leaveGang(run *run, how string) {
	for _, member := range cell.gangs[gangKey(run)] {
		if how != "done" {
			member.broken = true
		}
	}
}

func (cell *cell) taskHistory(task string) *history {
	known := cell.history[task]
	if known == nil {
		known = &history{
			ends: map[string]int{},
		}
		cell.history[task] = known
	}
	return known
}

func (cell *cell) runStarted(worker *worker, run *run) {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	known := cell.taskHistory(run.task)
	known.running++
	known.runs++
	known.starts = append(known.starts, run.start)
	cell.used[worker.service] += run.step.CPU
	if run.step.Gang > 0 {
		cell.joinGang(run)
	}
	cell.record.add("%s starts %s run %d", worker.id, run.task, run.number)
}

func (cell *cell) runEnded(worker *worker, run *run, how string) {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	run.gone = true
	if run.step.Gang > 0 {
		cell.leaveGang(run, how)
	}
	known := cell.taskHistory(run.task)
	known.running--
	known.ends[how]++
	cell.used[worker.service] -= run.step.CPU
	cell.record.add("%s ends %s run %d: %s", worker.id, run.task, run.number, how)
}

// seen returns a copy of what the workers saw of a task.
func (cell *cell) seen(task string) history {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	known := *cell.taskHistory(task)
	ends := map[string]int{}
	for how, count := range known.ends {
		ends[how] = count
	}
	known.ends = ends
	known.starts = append([]time.Time{}, known.starts...)
	return known
}

// startedAfter returns the first start later than a time, or the zero time.
func (history *history) startedAfter(earlier time.Time) time.Time {
	for _, start := range history.starts {
		if start.After(earlier) {
			return start
		}
	}
	return time.Time{}
}

// lastStart returns the time of the last start, or the zero time.
func (history *history) lastStart() time.Time {
	if len(history.starts) == 0 {
		return time.Time{}
	}
	return history.starts[len(history.starts)-1]
}

// runningTasks counts the tasks of a job that run.
func (cell *cell) runningTasks(job string) int {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	count := 0
	for task, known := range cell.history {
		if strings.HasPrefix(task, job+".") && known.running > 0 {
			count++
		}
	}
	return count
}

// start starts the instances and waits until they are ready.
func (cell *cell) start() error {
	for _, instance := range cell.instances {
		if err := instance.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(readyTimeout)
	for _, instance := range cell.instances {
		for !instance.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("instance %d is not ready after %s", instance.index, readyTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (instance *instance) name() string {
	return fmt.Sprintf("front-%s-%d", instance.cell.zone(instance.index), instance.index)
}

func (instance *instance) start() error {
	instance.mutex.Lock()
	defer instance.mutex.Unlock()
	log, err := os.OpenFile(filepath.Join(instance.cell.directory, fmt.Sprintf("log-%d", instance.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(instance.cell.program, "node")
	command.Env = []string{"POMELOMOOR_SETTINGS=" + instance.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = log, log
	// The process ends with this one, however that ends.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	instance.command, instance.ended = command, ended
	instance.cell.record.add("instance %d starts", instance.index)
	go func() {
		err := command.Wait()
		instance.cell.record.add("instance %d ends: %v", instance.index, err)
		close(ended)
	}()
	return nil
}

func (instance *instance) ready() bool {
	client := http.Client{
		Timeout: time.Second,
	}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/-/ready", instance.cell.ip(instance.index), instance.cell.base+1))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// kill ends the process and waits for its end.
func (instance *instance) kill() {
	instance.mutex.Lock()
	command, ended := instance.command, instance.ended
	instance.mutex.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	<-ended
}

// close ends everything that the case started.
func (cell *cell) close() {
	for _, instance := range cell.instances {
		instance.mutex.Lock()
		instance.stop = true
		instance.mutex.Unlock()
		instance.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(cell.directory)
	} else {
		fmt.Println(cell.directory)
	}
}

// busiest returns the worker with the most tasks of a job.
func (cell *cell) busiest(job string) *worker {
	var best *worker
	most := -1
	for _, worker := range cell.workers {
		if count := worker.runsOf(job); count > most {
			best, most = worker, count
		}
	}
	return best
}

// runs counts the runs of a job's tasks so far.
func (cell *cell) runs(job string) int {
	cell.mutex.Lock()
	defer cell.mutex.Unlock()
	count := 0
	for task, known := range cell.history {
		if strings.HasPrefix(task, job+".") {
			count += known.runs
		}
	}
	return count
}

// idle returns a worker of a rack that runs nothing, or nil.
func (cell *cell) idle(rack string) *worker {
	for _, worker := range cell.workers {
		if worker.labels[1] == rack && worker.runsOf("") == 0 {
			return worker
		}
	}
	return nil
}
