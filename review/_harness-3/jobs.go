package main

import (
	"fmt"
	"time"
)

// step is a step of a submission.
type step struct {
	Count      int    `json:"count"`
	CPU        int64  `json:"cpu"`
	MemMb      int64  `json:"memMb"`
	EstimateMs int64  `json:"estimateMs,omitempty"`
	Gang       bool   `json:"gang,omitempty"`
	Perpetual  bool   `json:"perpetual,omitempty"`
	Requires   string `json:"requires,omitempty"`
	After      []int  `json:"after,omitempty"`
	SameRack   bool   `json:"sameRack,omitempty"`
}

// job is the body of a submission.
type job struct {
	Spec        string `json:"spec"`
	Steps       []step `json:"steps"`
	StartAtMs   int64  `json:"startAtMs,omitempty"`
	IntervalMs  int64  `json:"intervalMs,omitempty"`
	RepeatCount int    `json:"repeatCount,omitempty"`
}

// lastingJob is a job with tasks that last.
func lastingJob(count int, cpu int64) job {
	return job{
		Spec: work{Steps: []stepWork{{CPU: cpu}}}.spec(),
		Steps: []step{{
			Count:     count,
			CPU:       cpu,
			MemMb:     64,
			Perpetual: true,
		}},
	}
}

// batchJob is a job of one step whose tasks end.
func batchJob(count int, cpu int64, runTime time.Duration, gang bool) job {
	taskWork := stepWork{
		Milliseconds: int(runTime.Milliseconds()),
		CPU:          cpu,
	}
	if gang {
		taskWork.Gang = count
	}
	return job{
		Spec: work{Steps: []stepWork{taskWork}}.spec(),
		Steps: []step{{
			Count:      count,
			CPU:        cpu,
			MemMb:      64,
			EstimateMs: runTime.Milliseconds(),
			Gang:       gang,
		}},
	}
}

func jobID(number int) string {
	return fmt.Sprintf("%016x", 0xa11ce00000000000+uint64(number))
}

// waitFor waits until condition holds. It returns false after timeout.
func waitFor(timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}
