package descriptor

import "time"

// JobStatus is the status of a job that the public API returns.
type JobStatus struct {
	ID   JobID
	Job  Job
	Fate FateRecord
	// Accepted is the time at which the job was stored durably.
	Accepted time.Time
	Tasks    []TaskStatus
	// Trail lists the scheduling decisions about the job, oldest first. It is set only on request.
	Trail []Decision `json:",omitempty"`
}

// TaskStatus is the status of a task within a JobStatus.
type TaskStatus struct {
	Task    int
	Attempt int
	Fate    FateRecord
	// Worker is the worker of the current or last run.
	Worker WorkerID `json:",omitempty"`
}

// Decision is an entry in the Trail of a JobStatus.
type Decision struct {
	At time.Time
	// Code is the name of the kind of decision, such as Placed. Codes do not change between versions.
	Code string
	// Text describes the decision and its reason for an operator.
	Text string
}
