package descriptor

import "time"

// Fate is the execution state of a task, job or request: Pending, Running, Done, NotRun, Failed or Unknown.
type Fate interface {
	isFate()
}

// Pending means that the work was accepted and has not started.
type Pending struct {
	// Reason says what the work is waiting for.
	Reason string
}

// Running means that at least one task has started.
type Running struct {
	Since time.Time
}

// Done means that the work ran to completion as requested.
type Done struct {
	At time.Time
}

// NotRun means that the work is known not to have run and will not run.
type NotRun struct {
	Reason string
}

// Failed means that the work ran and ended with an error.
type Failed struct {
	At     time.Time
	Reason string
}

// Unknown means that the work may or may not have run. Another fate replaces it when the worker reports.
type Unknown struct {
	Reason string
}

func (Pending) isFate() {}
func (Running) isFate() {}
func (Done) isFate()    {}
func (NotRun) isFate()  {}
func (Failed) isFate()  {}
func (Unknown) isFate() {}

// FateRecord is the JSON representation of a Fate.
type FateRecord struct {
	// Fate is the name of the Fate type: Pending, Running, Done, NotRun, Failed or Unknown.
	Fate   string
	At     time.Time `json:",omitzero"`
	Reason string    `json:",omitempty"`
}

// Final reports whether the fate can no longer change. Unknown is not final.
func (fateRecord FateRecord) Final() bool {
	switch fateRecord.Fate {
	case "Done", "NotRun", "Failed":
		return true
	default:
		return false
	}
}

// NewFateRecord converts fate to its JSON representation. A nil fate becomes Pending.
func NewFateRecord(fate Fate) FateRecord {
	switch fate := fate.(type) {
	case Running:
		return FateRecord{
			Fate: "Running",
			At:   fate.Since,
		}
	case Done:
		return FateRecord{
			Fate: "Done",
			At:   fate.At,
		}
	case NotRun:
		return FateRecord{
			Fate:   "NotRun",
			Reason: fate.Reason,
		}
	case Failed:
		return FateRecord{
			Fate:   "Failed",
			At:     fate.At,
			Reason: fate.Reason,
		}
	case Unknown:
		return FateRecord{
			Fate:   "Unknown",
			Reason: fate.Reason,
		}
	case Pending:
		return FateRecord{
			Fate:   "Pending",
			Reason: fate.Reason,
		}
	default:
		return FateRecord{
			Fate: "Pending",
		}
	}
}

// Final reports whether the fate can no longer change. Unknown is not final.
func Final(fate Fate) bool {
	switch fate.(type) {
	case Done, NotRun, Failed:
		return true
	default:
		return false
	}
}
