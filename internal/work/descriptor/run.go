package descriptor

import (
	"fmt"
	"time"
)

// RunID names one attempt to run one task.
type RunID struct {
	Job     JobID
	Task    int
	Attempt int
}

// String returns JOB/TASK/ATTEMPT.
func (runID RunID) String() string {
	return fmt.Sprintf("%s/%d/%d", runID.Job, runID.Task, runID.Attempt)
}

// WorkerID names a worker as the platform does.
type WorkerID string

// ShardID names a shard as SITE-INDEX.
type ShardID string

// Place tells where an instance stands.
type Place struct {
	Region string
	Site   string
	Rack   string
}

// Usage is what a task was measured to use.
type Usage struct {
	Resources
	// At is the time of the measurement, which lags behind the report.
	At time.Time
}
