package simulator

import (
	"fmt"
	"net/netip"
	"time"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/work/descriptor"
)

// maxListedEnds is the number of ended runs that a worker lists at a time.
const maxListedEnds = 500

// worker is a simulated worker in one of its lives.
type worker struct {
	index int
	life  int
	cores int
	// runs is nil while the worker is away.
	runs  map[describer.TaskID]*run
	ended []describer.EndedRun
	// lastEnd is the number of the last end in this life.
	lastEnd int64
	backAt  time.Time
	// pollAt is when the worker answers the next poll, or while it is away when the next poll fails.
	pollAt time.Time
	sameID bool
}

// run is a run on a worker.
type run struct {
	number int
	cores  int
	from   time.Time
	until  time.Time
	deadly bool
}

func (worker *worker) id() describer.WorkerID {
	if worker.sameID {
		return describer.WorkerID(fmt.Sprintf("w%d", worker.index))
	}
	return describer.WorkerID(fmt.Sprintf("w%d.%d", worker.index, worker.life))
}

// away reports whether the worker has crashed and is not back.
func (worker *worker) away() bool {
	return worker.runs == nil
}

// appear begins the next life of the worker.
func (worker *worker) appear() {
	worker.life++
	worker.runs = map[describer.TaskID]*run{}
	worker.ended = nil
	worker.lastEnd = 0
}

func (worker *worker) incarnation() time.Time {
	return time.UnixMilli(int64(worker.life))
}

func (worker *worker) describe() *describer.Worker {
	return &describer.Worker{
		ID:          worker.id(),
		Service:     service,
		Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(worker.index+1)),
		Incarnation: worker.incarnation(),
		Capacity: descriptor.Resources{
			MilliCPU:    int64(worker.cores) * 1000,
			MemoryBytes: 1 << 40,
		},
	}
}

// used returns the cores that the runs need.
func (worker *worker) used() int {
	used := 0
	for _, run := range worker.runs {
		used += run.cores
	}
	return used
}

// end ends a run and lists it as ended from now on.
func (worker *worker) end(task describer.TaskID, outcome describer.Outcome, now time.Time) {
	worker.lastEnd++
	worker.ended = append(worker.ended, describer.EndedRun{
		Number:  worker.lastEnd,
		Task:    task,
		Run:     worker.runs[task].number,
		Outcome: outcome,
	})
	delete(worker.runs, task)
	worker.pollAt = now
}

// list returns the answer to a poll that acknowledges the ends up to the number acknowledged.
func (worker *worker) list(now time.Time, clock time.Duration, acknowledged int64) describer.PollAnswer {
	for len(worker.ended) > 0 && worker.ended[0].Number <= acknowledged {
		worker.ended = worker.ended[1:]
	}
	ended := worker.ended[:min(len(worker.ended), maxListedEnds)]
	answer := describer.PollAnswer{
		Clock:         clock,
		Incarnation:   worker.incarnation(),
		Ended:         ended,
		EndsTruncated: len(ended) == maxListedEnds,
	}
	for task, run := range worker.runs {
		answer.Running = append(answer.Running, describer.RunStatus{
			Task:    task,
			Run:     run.number,
			Percent: int(100 * now.Sub(run.from) / max(run.until.Sub(run.from), 1)),
		})
	}
	return answer
}
