// Package dispatcher is the part of a shard's state machine that places tasks, commands workers and
// compares their reports with what was intended.
//
// Nothing is started on a worker before its intent is durable, and a worker may forget a run only when
// the record of its end is.
package dispatcher

import (
	"maps"
	"slices"
	"time"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/shard/allocator"
	"pomelomoor/internal/shard/arbiter"
	"pomelomoor/internal/shard/recorder"
	"pomelomoor/internal/shard/recoverer"
	"pomelomoor/internal/shard/signaler"
	"pomelomoor/internal/work/descriptor"
)

// syncInterval is the time between two messages to a worker that has no commands.
const syncInterval = 2 * time.Second

// Dispatcher holds the live view of one shard in one term of its owner.
type Dispatcher struct {
	shard     descriptor.ShardID
	outbox    *signaler.Outbox
	durable   *recorder.State
	epoch     uint64
	loaded    bool
	authority signaler.Authority
	config    *parser.Compiled

	recoverer recoverer.Recoverer
	allocator allocator.Allocator
	jobs      map[descriptor.JobID]*arbiter.Job
	workers   map[descriptor.WorkerID]*worker
	listed    bool

	// crowd is set when something changed that may let waiting work start.
	crowd bool
	// woken lists workers that may be due for a message.
	woken   []*worker
	swept   time.Time
	cleaned time.Time
}

// New returns a dispatcher that writes to outbox and reads durable.
func New(shard descriptor.ShardID, outbox *signaler.Outbox, durable *recorder.State) *Dispatcher {
	return &Dispatcher{
		shard:   shard,
		outbox:  outbox,
		durable: durable,
		config:  &parser.Compiled{},
		jobs:    map[descriptor.JobID]*arbiter.Job{},
		workers: map[descriptor.WorkerID]*worker{},
	}
}

// Job returns the live view of a job, or nil.
func (dispatcher *Dispatcher) Job(id descriptor.JobID) *arbiter.Job {
	return dispatcher.jobs[id]
}

// Load returns the summary that other instances see.
func (dispatcher *Dispatcher) Load() allocator.Load {
	return dispatcher.allocator.Load()
}

// SetAuthority tells what the owner may do from now on.
func (dispatcher *Dispatcher) SetAuthority(authority signaler.Authority) {
	dispatcher.authority = authority
	dispatcher.crowd = true
}

// Configure gives the configuration in force.
func (dispatcher *Dispatcher) Configure(config *parser.Compiled) {
	dispatcher.allocator.Configure(dispatcher.config, config)
	dispatcher.config = config
	for _, id := range slices.Sorted(maps.Keys(dispatcher.jobs)) {
		dispatcher.treat(dispatcher.jobs[id])
	}
	dispatcher.crowd = true
}

// Place starts waiting work if something has changed since the last call.
func (dispatcher *Dispatcher) Place(now time.Time) {
	if !dispatcher.crowd || !dispatcher.loaded || dispatcher.authority != signaler.AuthorityAct {
		return
	}
	dispatcher.crowd = false
	dispatcher.place(now)
}

// NewJob returns the live view of a job, or the reason why it can never run, as far as the workers
// are known. The error is that of a malformed selector.
func (dispatcher *Dispatcher) NewJob(now time.Time, id descriptor.JobID, description *descriptor.Job) (job *arbiter.Job, impossible string, err error) {
	treatment := dispatcher.config.JobTreatment(description)
	work, err := allocator.NewWork(id, description, treatment, now)
	if err != nil {
		return nil, "", err
	}
	if dispatcher.complete() {
		if reason := dispatcher.allocator.Impossible(now, work); reason != "" {
			return nil, reason, nil
		}
	}
	return &arbiter.Job{
		ID:        id,
		Work:      work,
		Tasks:     make([]arbiter.Task, description.TaskCount()),
		Held:      treatment.Hold,
		Unchecked: !dispatcher.complete(),
	}, "", nil
}

// Add queues the tasks of an accepted job.
func (dispatcher *Dispatcher) Add(now time.Time, job *arbiter.Job) {
	dispatcher.jobs[job.ID] = job
	dispatcher.note(now, job, "Accepted", "accepted by shard %s", dispatcher.shard)
	dispatcher.treat(job)
	dispatcher.queueAll(job)
}

func (dispatcher *Dispatcher) note(now time.Time, job *arbiter.Job, code, format string, args ...any) {
	dispatcher.outbox.Explain(job.ID, job.Note(now, code, format, args...))
}
