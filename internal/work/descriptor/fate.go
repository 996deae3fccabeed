package descriptor

import "time"

// Fate is what became of a task, job or request. It is one of Pending, Running, Done, NotRun,
// Failed and Unknown.
type Fate interface {
	isFate()
}

// Pending means that the work was accepted and has not started.
type Pending struct {
	// Reason tells what the work waits for.
	Reason string
}

// Running means that at least one task has started.
type Running struct {
	Since time.Time
}

// Done means that the work ran to its end exactly as asked.
type Done struct {
	At time.Time
}

// NotRun means that the work provably did not run and will not.
type NotRun struct {
	Reason string
}

// Failed means that the work ran and ended with an error.
type Failed struct {
	At     time.Time
	Reason string
}

// Unknown means that the work may have run. It turns into another fate when its worker reports.
type Unknown struct {
	Reason string
}

func (Pending) isFate() {}
func (Running) isFate() {}
func (Done) isFate()    {}
func (NotRun) isFate()  {}
func (Failed) isFate()  {}
func (Unknown) isFate() {}

// FateRecord is the document form of a Fate.
type FateRecord struct {
	// Fate is the type's name: Pending, Running, Done, NotRun, Failed or Unknown.
	Fate   string
	At     time.Time `json:",omitzero"`
	Reason string    `json:",omitempty"`
}

// Final reports whether the fate never changes again.
func (record FateRecord) Final() bool {
	switch record.Fate {
	case "Done", "NotRun", "Failed":
		return true
	default:
		return false
	}
}

// Record returns the document form of fate. A nil fate counts as Pending.
func Record(fate Fate) FateRecord {
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
