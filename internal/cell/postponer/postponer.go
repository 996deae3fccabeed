// Package postponer decides when a caller should try again whose call was rejected while the store does not answer.
package postponer

import (
	"math"
	"time"

	"pomelomoor/internal/cell/describer"
)

const (
	// minRetryAfter is the shortest retry delay. HTTP tells whole seconds.
	minRetryAfter = time.Second
	// maxRetryAfter limits the retry delay: a store that was silent for long may be back at any time.
	maxRetryAfter = 10 * time.Second
	// spread is the share of the retry delay over which callers that were rejected at the same time are spread.
	spread = 0.5
	// maxChain limits the run time of a chain of steps, so that its product with a slack factor does not overflow.
	maxChain = 365 * 24 * time.Hour
)

// RetryAfter returns the retry delay of a call that was rejected after a silence of the store. An outage that has lasted for
// some time is expected to last as long again. The delay is not longer than limit: a caller that comes back later would be
// too late in any case, and may be served if the outage ends before. The number random, from 0 up to 1, spreads callers.
func RetryAfter(silence, limit time.Duration, random float64) time.Duration {
	expected := min(max(silence, minRetryAfter), maxRetryAfter).Seconds()
	seconds := expected * (1 + spread*random)
	seconds = min(math.Round(seconds), math.Floor(limit.Seconds()), maxRetryAfter.Seconds())
	return max(time.Duration(seconds)*time.Second, minRetryAfter)
}

// Objective returns the time within which the caller of a job wants it to be done.
func Objective(job *describer.Job, policy *describer.Policy) time.Duration {
	// A step depends on earlier ones only.
	ends := make([]time.Duration, len(job.Steps))
	var longest time.Duration
	for index := range job.Steps {
		step := &job.Steps[index]
		var start time.Duration
		for _, earlier := range step.After {
			if earlier >= 0 && earlier < index {
				start = max(start, ends[earlier])
			}
		}
		ends[index] = min(start+max(min(step.Estimate, maxChain), 0), maxChain)
		longest = max(longest, ends[index])
	}
	chain := time.Duration(min(policy.SlackFactor*float64(longest), float64(maxChain)))
	return chain + min(policy.LatencyAllowance, maxChain)
}
