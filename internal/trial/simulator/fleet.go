// Package simulator plays jobs on a scheduler whose workers exist only in memory, in virtual time. It shows what tasks
// that crash their workers, crashes without a cause, changes of the leader and changes of capacity cost the other jobs.
package simulator

import (
	"encoding/json"
	"os"
	"time"

	"github.com/go-faster/errors"
)

// Fleet describes workers, the jobs that are submitted, and what disturbs them.
type Fleet struct {
	// Guards names the failure that the fleet guards against.
	Guards string
	Seed   uint64
	// Duration is how long jobs are submitted. They get restDuration more to end.
	Duration Span
	Workers  int
	Cores    int
	// Restart is how long a worker that crashed is away. It returns with a new ID, or with its own if SameID is set.
	Restart Span
	SameID  bool
	// CrashInterval is the time between crashes of single workers that no task causes. 0 means none.
	CrashInterval Span
	// ResizeInterval is the time between changes of the capacity of single workers, which shrinks by half or grows
	// back. 0 means none.
	ResizeInterval Span
	// StoreInterval is the time between two writes of records. 0 means that they are written at once.
	StoreInterval Span
	// NewLeaders are the times at which another leader takes over.
	NewLeaders []Span
	Classes    []Class
}

// Class is one kind of job.
type Class struct {
	Name string
	// Rate is the mean number of jobs a second.
	Rate float64
	// Width is the number of tasks, each of which needs Cores for Work on average.
	Width   int
	Cores   int
	Work    Span
	Gang    bool
	Lasting bool
	// The first task of a share Deadly of the jobs submitted from DeadlyFrom to DeadlyUntil crashes its worker
	// CrashAfter after its start.
	Deadly                  float64
	DeadlyFrom, DeadlyUntil Span
	CrashAfter              Span
}

// Span is a duration that is written as text, such as "3.2s".
type Span time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (span *Span) UnmarshalText(text []byte) error {
	duration, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrap(err, "parse span")
	}
	*span = Span(duration)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (span Span) MarshalText() ([]byte, error) {
	return []byte(time.Duration(span).String()), nil
}

// Load reads the fleet in a JSON file.
func Load(file string) (*Fleet, error) {
	document, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read fleet")
	}
	fleet := &Fleet{}
	if err := json.Unmarshal(document, fleet); err != nil {
		return nil, errors.Wrapf(err, "parse fleet %s", file)
	}
	if fleet.Workers < 1 || fleet.Cores < 1 || fleet.Duration <= 0 || len(fleet.Classes) == 0 {
		return nil, errors.Errorf("fleet %s has no workers, no cores, no duration or no classes", file)
	}
	for _, class := range fleet.Classes {
		if class.Width < 1 || class.Cores < 1 || class.Work <= 0 || class.Rate < 0 || class.Deadly < 0 || class.Deadly > 1 {
			return nil, errors.Errorf("fleet %s: class %q has an impossible width, need, time, rate or share", file, class.Name)
		}
	}
	return fleet, nil
}
