package describer

import (
	"strings"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/work/descriptor"
)

const (
	// maxTasks is the largest number of tasks of a job in all its occurrences. The state of a job is held in memory,
	// so one without a limit could end the process of every leader.
	maxTasks = 1 << 18
	// maxAmount is the largest amount of a resource, so that amounts can be added up.
	maxAmount = 1 << 60
	// maxDuration limits the times of a job to a century, so that sums of them do not overflow.
	maxDuration = 100 * 365 * 24 * time.Hour
	// maxIDLength is the length in bytes of the longest job ID; the platform's keys have at most 200.
	maxIDLength = 128
	// MaxSlackFactor limits the slack factor of a queue, so that the latency objective can be computed.
	MaxSlackFactor = 1 << 20
	// MaxWeight limits the weight of an organisation, so that shares can be computed.
	MaxWeight = 1 << 30
)

// CheckID returns an error if id cannot be that of a job. The names of tasks consist of IDs and dots.
func (id JobID) CheckID() error {
	if id == "" || len(id) > maxIDLength || strings.ContainsFunc(string(id), func(letter rune) bool {
		return letter <= ' ' || letter > '~' || letter == '.' || letter == '/'
	}) {
		return errors.Errorf("%.32q cannot be the ID of a job", string(id))
	}
	return nil
}

// Check returns an error if the steps of the job can never run, or are more than a leader can hold.
func (job *Job) Check() error {
	if len(job.Steps) == 0 {
		return errors.New("job has no steps")
	}
	if job.Times < 0 || !possibleDurations(job.Interval) {
		return errors.New("job has impossible due times")
	}
	if err := job.Policy.Check(); err != nil {
		return err
	}
	tasks := 0
	for index := range job.Steps {
		step := &job.Steps[index]
		if step.Count < 1 {
			return errors.Errorf("step %d has a task count below 1", index)
		}
		if tasks += step.Count; step.Count > maxTasks || tasks > maxTasks/max(job.Times, 1) {
			return errors.Errorf("job has more than %d tasks", maxTasks)
		}
		if !possibleAmounts(step.Needs) {
			return errors.Errorf("step %d needs an impossible amount of resources", index)
		}
		if !possibleDurations(step.Estimate, step.TailTarget) {
			return errors.Errorf("step %d has an impossible duration", index)
		}
		for _, dependency := range step.After {
			if dependency < 0 || dependency >= index {
				return errors.Errorf("step %d depends on step %d, which does not precede it", index, dependency)
			}
		}
	}
	return nil
}

// Check returns an error if no configuration can hold the policy. There may be none.
func (policy *Policy) Check() error {
	if policy == nil {
		return nil
	}
	durations := []time.Duration{policy.LatencyAllowance}
	if advice := policy.Advice; advice != nil {
		durations = append(durations, advice.Base, advice.PerWorker, advice.Validity)
	}
	if policy.SlackFactor < 0 || policy.SlackFactor > MaxSlackFactor || !possibleDurations(durations...) {
		return errors.New("policy of the queue is impossible")
	}
	return nil
}

func possibleAmounts(needs descriptor.Resources) bool {
	for _, amount := range []int64{needs.MilliCPU, needs.MemoryBytes, needs.Accelerators} {
		if amount < 0 || amount > maxAmount {
			return false
		}
	}
	return true
}

func possibleDurations(durations ...time.Duration) bool {
	for _, duration := range durations {
		if duration < -maxDuration || duration > maxDuration {
			return false
		}
	}
	return true
}
