// Package describer defines the data types and interfaces of a cell, a set of workers with one scheduler:
// jobs and their steps, queues, workers, orders to workers, and the store for durable state.
package describer

import (
	"net/netip"
	"time"

	"pomelomoor/internal/work/descriptor"
)

// JobID is the identifier that the caller chose for a job.
type JobID string

// Step is a part of a job that consists of Count identical tasks.
type Step struct {
	Count int
	// Needs are the resources that each task requires on its worker.
	Needs descriptor.Resources
	// Estimate is the caller's rough estimate of a task's run time.
	Estimate time.Duration `json:",omitempty"`
	// After are the indices of the earlier steps that must be complete before this step starts.
	After []int `json:",omitempty"`
	// Checkpoints means that a run can resume from a checkpoint of an earlier run of the task.
	Checkpoints bool `json:",omitempty"`
	// Gang means that the tasks make progress only while all of them are running.
	Gang bool `json:",omitempty"`
	// OneRack means that the tasks run at full speed only if they share a rack.
	OneRack bool `json:",omitempty"`
	// Speculative means that copies of a task may run at the same time.
	Speculative bool `json:",omitempty"`
	// Perpetual means that the tasks run until the job is cancelled.
	Perpetual bool `json:",omitempty"`
	// Label is a label that the worker must have. Empty allows any worker.
	Label string `json:",omitempty"`
	// NearRack is the rack on which the tasks run at full speed. Empty means any rack.
	NearRack string `json:",omitempty"`
	// MaxPerWorker limits the number of tasks of the step on one worker. 0 means no limit.
	MaxPerWorker int `json:"MostPerWorker,omitempty"`
	// Image is the name of the program that the tasks run. Tasks with the same image behave alike.
	Image string `json:",omitempty"`
	// TailTarget is the upper bound for the tail latency of the requests that a perpetual task serves.
	TailTarget time.Duration `json:",omitempty"`
	// Filler means that the tasks use only CPU time that other tasks on the worker leave idle.
	Filler bool `json:",omitempty"`
	// MaxUnavailable limits how many perpetual tasks of the step the scheduler may keep down at once by its own
	// orders.
	MaxUnavailable int `json:"MostAway,omitempty"`
}

// Occupied returns the resources that a task of the step takes from its worker's capacity.
func (step *Step) Occupied() descriptor.Resources {
	occupied := step.Needs
	if step.Filler {
		occupied.MilliCPU = 0
	}
	return occupied
}

// Job is a job as submitted by a caller.
type Job struct {
	ID JobID
	// Queue is the name of the queue that the job was submitted to.
	Queue string
	// Payload is passed to the workers unchanged.
	Payload string
	Steps   []Step
	// Submitted is when an instance received the job.
	Submitted time.Time
	// Times is the number of scheduled occurrences. 0 means one immediate occurrence.
	Times int `json:",omitempty"`
	// First is when the first scheduled occurrence is due.
	First time.Time `json:",omitzero"`
	// Interval is the time between the due times of consecutive occurrences.
	Interval time.Duration `json:",omitempty"`
	// Policy is the policy of the queue when the job was accepted. Jobs of earlier versions have none.
	Policy *Policy `json:",omitempty"`
	// Organisation is the name of the organisation whose key the submission carried; empty if it needed none.
	Organisation string `json:",omitempty"`
}

// Occurrences returns how many times the steps of the job run.
func (job *Job) Occurrences() int {
	return max(job.Times, 1)
}

// Due returns the earliest start time of an occurrence.
func (job *Job) Due(occurrence int) time.Time {
	if job.Times == 0 {
		return job.Submitted
	}
	return job.First.Add(time.Duration(occurrence) * job.Interval)
}

// JobState is the state of a job as reported to callers.
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

// Final reports whether jobState is terminal.
func (jobState JobState) Final() bool {
	return jobState >= JobCompleted
}

// AdvicePolicy describes the advice service that decides which workers may run the steps of a queue.
type AdvicePolicy struct {
	// Base is the fixed time of a call. Each worker named in the call adds PerWorker.
	Base      time.Duration `json:",omitempty"`
	PerWorker time.Duration `json:",omitempty"`
	// Validity is how long a worker accepts a ticket.
	Validity time.Duration `json:",omitempty"`
}

// Policy is how the jobs of a queue are run.
type Policy struct {
	// Service is the service whose workers run the jobs.
	Service string `json:",omitempty"`
	// Priority orders the queues. 0 is the highest.
	Priority int `json:",omitempty"`
	// MaxAttempts is the number of failures of a task at which its job fails. 0 means no limit.
	MaxAttempts int `json:",omitempty"`
	// SlackFactor and LatencyAllowance define a job's latency objective: SlackFactor times the run time of its
	// longest chain of dependent tasks, plus LatencyAllowance.
	SlackFactor      float64       `json:",omitempty"`
	LatencyAllowance time.Duration `json:",omitempty"`
	// Advice is nil unless the advice service decides which workers may run the queue's jobs.
	Advice *AdvicePolicy `json:",omitempty"`
}

// Equal reports whether the policies are the same. Either may be nil.
func (policy *Policy) Equal(other *Policy) bool {
	if policy == nil || other == nil {
		return policy == other
	}
	left, right := *policy, *other
	left.Advice, right.Advice = nil, nil
	if left != right || (policy.Advice == nil) != (other.Advice == nil) {
		return false
	}
	return policy.Advice == nil || *policy.Advice == *other.Advice
}

// Queue is a queue in the operators' configuration.
type Queue struct {
	Policy

	Name string
	// Host and Prefix are the host name and path prefix of the calls that the queue serves.
	Host   string
	Prefix string
	// Public means that calls need no key.
	Public bool
}

// Config is the operators' configuration.
type Config struct {
	// Revision is the position of the configuration in the store. The newest is in force.
	Revision Revision
	Version  int64
	Queues   []Queue
	// EnforcesCapacity are the services whose workers reject tasks that exceed their capacity.
	EnforcesCapacity map[string]bool
	// StandbyServices are the services whose machines are switched off.
	StandbyServices map[string]bool
	// MaxBodyBytes is the largest accepted request body, in bytes.
	MaxBodyBytes int64
	// KeysRequired means that calls to queues that are not public need a key. Keys holds the name of the organisation of
	// each key.
	KeysRequired  bool
	Organisations []Organisation
	Keys          map[KeyDigest]string
}

// Queue returns the queue with the given name, or nil.
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

// Match returns the queue for host with the longest matching path prefix, and the rest of the path. It
// returns nil if no queue matches.
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

// WorkerID identifies a worker's entry in the registry.
type WorkerID string

// Worker is a worker's own description of itself in the platform's registry.
type Worker struct {
	ID         WorkerID
	Service    string
	Address    netip.AddrPort
	DataCentre string
	// Incarnation is the start time of the worker's process, which identifies its incarnation.
	Incarnation time.Time
	// Draining means that the worker is shutting down, DrainRemaining is the minimum time until it does.
	Draining       bool
	DrainRemaining time.Duration
	// ColdRemaining is how much longer the worker runs slowly because it started recently.
	ColdRemaining time.Duration
	Capacity      descriptor.Resources
	// Kind and Rack are the labels of the worker.
	Kind string
	Rack string
	// Clock is the reading of the worker's own clock when it wrote the entry.
	Clock time.Duration
}

// IsUnicast reports whether address can be that of one process: it has a port, and its IP address is neither
// unspecified nor that of a group.
func IsUnicast(address netip.AddrPort) bool {
	ip := address.Addr().Unmap()
	return address.IsValid() && address.Port() != 0 && !ip.IsUnspecified() && !ip.IsMulticast() &&
		ip != netip.AddrFrom4([4]byte{255, 255, 255, 255})
}
