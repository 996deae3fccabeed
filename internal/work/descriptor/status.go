package descriptor

import "time"

// JobStatus is what callers are told about a job.
type JobStatus struct {
	ID   JobID
	Job  Job
	Fate FateRecord
	// Accepted is when the job became durable.
	Accepted time.Time
	Tasks    []TaskStatus
	// Trail explains the decisions about the job, oldest first. It is filled on request only.
	Trail []Decision `json:",omitempty"`
}

// TaskStatus is what callers are told about one task.
type TaskStatus struct {
	Task    int
	Attempt int
	Fate    FateRecord
	// Worker is where the current or last run is.
	Worker WorkerID `json:",omitempty"`
}

// Decision is one step in the trail of a job.
type Decision struct {
	At time.Time
	// Code is the stable name of the kind of decision, such as Placed.
	Code string
	// Text says what was decided and why, in words an operator can act on.
	Text string
}
