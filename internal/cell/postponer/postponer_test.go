package postponer

import (
	"fmt"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"pomelomoor/internal/cell/describer"
)

// TestDelays checks the lines of testdata/delays.txt. It guards against callers that are told to come back when it is too
// late for them, and against those of one outage that come back together.
func TestDelays(t *testing.T) {
	document, err := os.ReadFile("testdata/delays.txt")
	if err != nil {
		t.Fatal(err)
	}
	for number, line := range strings.Split(string(document), "\n") {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		var random float64
		if _, err := fmt.Sscan(words[2], &random); err != nil {
			t.Fatal(err)
		}
		if got := RetryAfter(duration(t, words[0]), duration(t, words[1]), random); got != duration(t, words[3]) {
			t.Errorf("line %d: retry after %s, want %s", number+1, got, words[3])
		}
	}
}

func duration(t *testing.T, text string) time.Duration {
	duration, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return duration
}

// TestObjective guards against objectives that leave a chain of steps out, and against overflow by odd jobs.
func TestObjective(t *testing.T) {
	job := &describer.Job{
		Steps: []describer.Step{
			{
				Estimate: time.Second,
			},
			{
				Estimate: 5 * time.Second,
			},
			{
				Estimate: 3 * time.Second,
				After:    []int{0, 7, -1, 2},
			},
		},
	}
	policy := &describer.Policy{
		SlackFactor:      2,
		LatencyAllowance: time.Second,
	}
	if got := Objective(job, policy); got != 11*time.Second {
		t.Errorf("objective is %s, want 11s", got)
	}
	job.Steps[2].After = []int{1}
	if got := Objective(job, policy); got != 17*time.Second {
		t.Errorf("objective of a chain is %s, want 17s", got)
	}
	job.Steps[0].Estimate = math.MaxInt64
	policy.SlackFactor = math.MaxFloat64
	policy.LatencyAllowance = math.MaxInt64
	if got := Objective(job, policy); got <= 0 {
		t.Errorf("objective of an odd job is %s", got)
	}
}
