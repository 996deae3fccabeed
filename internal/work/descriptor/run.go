package descriptor

import (
	"fmt"
	"time"
)

// RunID identifies an attempt to run a task.
type RunID struct {
	Job     JobID
	Task    int
	Attempt int
}

// String returns the form JOB/TASK/ATTEMPT.
func (runID RunID) String() string {
	return fmt.Sprintf("%s/%d/%d", runID.Job, runID.Task, runID.Attempt)
}

// WorkerID is the platform's identifier of a worker.
type WorkerID string

// ShardID identifies a shard. It has the form SITE-INDEX.
type ShardID string

// Place is the location of an instance.
type Place struct {
	Region string
	Site   string
	Rack   string
}

// Usage is the measured resource usage of a task.
type Usage struct {
	Resources
	// At is the time of the measurement, which is earlier than the report.
	At time.Time
}
