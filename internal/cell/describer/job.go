// Package describer holds the types of a cell of workers that share one scheduler: jobs with steps,
// queues, workers, orders to workers, and the store that keeps what must last.
package describer

import (
	"net/netip"
	"time"

	"pomelomoor/internal/work/descriptor"
)

// JobID is the caller's name of a job.
type JobID string

// Step is a part of a job: a number of equal tasks.
type Step struct {
	Count int
	// Needs is what each task occupies on its worker.
	Needs descriptor.Resources
	// Estimate is the caller's rough estimate of the run time of a task.
	Estimate time.Duration `json:",omitempty"`
	// After are the indices of earlier steps whose tasks must all be done first.
	After []int `json:",omitempty"`
	// Checkpoints means that a run can resume from a checkpoint of an earlier one.
	Checkpoints bool `json:",omitempty"`
	// Gang means that the tasks work only while all of them are present.
	Gang bool `json:",omitempty"`
	// OneRack means that the tasks work at full speed only on one rack.
	OneRack bool `json:",omitempty"`
	// Speculative means that copies of a task may run at the same time.
	Speculative bool `json:",omitempty"`
	// Perpetual means that the tasks run until the job is cancelled.
	Perpetual bool `json:",omitempty"`
	// Label is a label that the worker must have; empty for any.
	Label string `json:",omitempty"`
	// NearRack is the rack on which the tasks work at full speed; empty for any.
	NearRack string `json:",omitempty"`
	// MostPerWorker limits the tasks of the step on one worker; 0 for no limit.
	MostPerWorker int `json:",omitempty"`
	// Image names what the tasks run; tasks of one image behave alike.
	Image string `json:",omitempty"`
	// TailTarget is the bound of the response times that a perpetual task's users see.
	TailTarget time.Duration `json:",omitempty"`
	// Filler means that the tasks use only the processor time that others on the worker leave.
	Filler bool `json:",omitempty"`
	// MostAway limits how many perpetual tasks may be away at once by the scheduler's own orders.
	MostAway int `json:",omitempty"`
}

// Occupied returns what a task of the step takes from its worker's capacity.
func (step *Step) Occupied() descriptor.Resources {
	occupied := step.Needs
	if step.Filler {
		occupied.MilliCPU = 0
	}
	return occupied
}

// Job is what a caller submitted.
type Job struct {
	ID JobID
	// Queue is the name of the queue that took the job.
	Queue string
	// Payload is handed to the workers as it is.
	Payload string
	Steps   []Step
	// Submitted is when an instance took the job.
	Submitted time.Time
	// Times is how often the steps run on a schedule; 0 means once, at once.
	Times int `json:",omitempty"`
	// First is when the first of the scheduled occurrences is due.
	First time.Time `json:",omitzero"`
	// Interval is the time between the due times of two occurrences.
	Interval time.Duration `json:",omitempty"`
}

// Occurrences returns how often the steps of the job run.
func (job *Job) Occurrences() int {
	return max(job.Times, 1)
}

// Due returns when occurrence may start.
func (job *Job) Due(occurrence int) time.Time {
	if job.Times == 0 {
		return job.Submitted
	}
	return job.First.Add(time.Duration(occurrence) * job.Interval)
}

// JobState is what callers are told of a job.
type JobState int

// The states of a job.
const (
	JobUnknown JobState = iota
	JobQueued
	JobRunning
	JobCompleted
	JobFailed
	JobCancelled
)

// String returns the name of jobState.
func (jobState JobState) String() string {
	names := [...]string{"Unknown", "Queued", "Running", "Completed", "Failed", "Cancelled"}
	if jobState < 0 || int(jobState) >= len(names) {
		return "Invalid"
	}
	return names[jobState]
}

// Final tells whether a job in jobState never changes again.
func (jobState JobState) Final() bool {
	return jobState >= JobCompleted
}

// AdvicePolicy describes the advice service that knows which workers may run the steps of a queue.
type AdvicePolicy struct {
	// Base is the time of one call, to which PerWorker is added for each worker that it names.
	Base      time.Duration
	PerWorker time.Duration
	// Validity is how long a ticket is accepted by its worker.
	Validity time.Duration
}

// Queue is one queue of the operators' configuration.
type Queue struct {
	Name string
	// Host and Prefix select the queue for a call.
	Host    string
	Prefix  string
	Service string
	// Priority orders queues; 0 comes first.
	Priority int
	// MostAttempts is how often a task may fail before its job has failed.
	MostAttempts int
	// SlackFactor and Objective give a job's latency objective: the factor times the run time of its
	// longest chain of tasks, and Objective more.
	SlackFactor float64
	Objective   time.Duration
	// Advice is nil unless the advice service decides on the workers of the queue.
	Advice *AdvicePolicy
}

// Config is the operators' configuration.
type Config struct {
	Version int64
	Queues  []Queue
	// Guarded are the services whose workers reject what exceeds their capacity.
	Guarded map[string]bool
	// Standby are the pools whose machines are off.
	Standby map[string]bool
	// MostBody is the largest accepted body of a call, in bytes.
	MostBody int64
}

// Queue returns the queue named name, or nil.
func (config *Config) Queue(name string) *Queue {
	if config == nil {
		return nil
	}
	for index := range config.Queues {
		if config.Queues[index].Name == name {
			return &config.Queues[index]
		}
	}
	return nil
}

// Match returns the queue of the longest prefix that fits, and the rest of the path; or nil.
func (config *Config) Match(host, path string) (queue *Queue, rest string) {
	if config == nil {
		return nil, ""
	}
	for index := range config.Queues {
		candidate := &config.Queues[index]
		if candidate.Host != host || len(path) < len(candidate.Prefix) || path[:len(candidate.Prefix)] != candidate.Prefix {
			continue
		}
		if queue == nil || len(candidate.Prefix) > len(queue.Prefix) {
			queue = candidate
		}
	}
	if queue == nil {
		return nil, ""
	}
	return queue, path[len(queue.Prefix):]
}

// WorkerID names one registration of a worker.
type WorkerID string

// Worker is what a worker tells about itself in the platform's registry.
type Worker struct {
	ID         WorkerID
	Service    string
	Address    netip.AddrPort
	DataCentre string
	// Born identifies the incarnation: the time at which the worker started.
	Born time.Time
	// Draining means that the worker leaves, Remaining that it stays for at least so long.
	Draining  bool
	Remaining time.Duration
	// Cold is how much longer the worker stays slow after its start.
	Cold     time.Duration
	Capacity descriptor.Resources
	// Kind and Rack are the labels of the worker.
	Kind string
	Rack string
	// Clock is the worker's own clock when it wrote the entry.
	Clock time.Duration
}
