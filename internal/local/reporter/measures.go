package reporter

import (
	"cmp"
	"slices"
	"time"

	"pomelomoor/internal/gateway/storer"
	"pomelomoor/internal/local/launcher"
	"pomelomoor/internal/work/descriptor"
)

// Measures are the figures of a run.
type Measures struct {
	// Span is the time that the figures per second refer to.
	Span descriptor.Duration
	// ConfigInForce is how long the configuration took to be in force everywhere.
	ConfigInForce descriptor.Duration
	// Packing is the mean share of processor time declared on busy workers.
	Packing float64
	// StoreCalls is calls per second by kind; the instance list's are among them.
	StoreCalls      map[string]float64
	StoreWriteShare float64
	StoreReadShare  float64
	// BytesBetweenRegions counts both directions.
	BytesBetweenRegions          uint64
	BytesBetweenRegionsPerSecond float64
	// RegionBytes splits it by what the entry instances called.
	RegionBytes map[launcher.Role]uint64
	// EntryBytesPerSecond is the mean of an entry instance, in both directions, by what was called.
	// Calls of callers are not in it.
	EntryBytesPerSecond map[launcher.Role]float64
	// HeadOfLine is the p99 of what short requests took beyond their service time.
	HeadOfLine descriptor.Duration
	// InTime is the share of requests answered in time, CrestInTime that at the crest.
	InTime      float64
	CrestInTime float64
}

func measure(history *History, examiner *examiner) Measures {
	measures := Measures{
		Packing:     packing(history),
		StoreCalls:  make(map[string]float64),
		RegionBytes: history.Traffic.BetweenRegions,
		HeadOfLine:  quantile(examiner.head, 99),
		InTime:      examiner.times.value(),
		CrestInTime: examiner.crest.value(),
	}
	measures.Span.Duration = history.Span.Round(time.Millisecond)
	measures.ConfigInForce.Duration = history.Callers.Applied.Round(time.Millisecond)
	seconds := history.Span.Seconds()
	if seconds <= 0 {
		return measures
	}
	var reads, writes float64
	for kind, count := range history.Traffic.StoreCalls {
		rate := float64(count) / seconds
		measures.StoreCalls[kind] = rate
		switch storer.Operation(kind) {
		case storer.OperationGet, storer.OperationWatch:
			reads += rate
		case storer.OperationPut, storer.OperationDelete, storer.OperationGrant, storer.OperationRenew, storer.OperationRevoke:
			writes += rate
		}
	}
	measures.StoreWriteShare = writes / storeWrites
	measures.StoreReadShare = reads / storeReads
	for _, bytes := range history.Traffic.BetweenRegions {
		measures.BytesBetweenRegions += bytes
	}
	measures.BytesBetweenRegionsPerSecond = float64(measures.BytesBetweenRegions) / seconds
	measures.EntryBytesPerSecond = make(map[launcher.Role]float64)
	for _, roles := range history.Traffic.Entries {
		for role, bytes := range roles {
			measures.EntryBytesPerSecond[role] += float64(bytes) / seconds / float64(len(history.Traffic.Entries))
		}
	}
	return measures
}

// step is a change of what is declared on a worker.
type step struct {
	at     time.Time
	change descriptor.Resources
	start  bool
}

// steps returns the changes of each worker in their order. An end at the moment of a start comes first.
func (history *History) steps() map[descriptor.WorkerID][]step {
	steps := make(map[descriptor.WorkerID][]step)
	for index := range history.Runs {
		run := &history.Runs[index]
		end := run.Ended
		if end.IsZero() {
			end = history.Taken
		}
		steps[run.Worker] = append(steps[run.Worker], step{
			at:     run.Started,
			change: run.Declared,
			start:  true,
		}, step{
			at:     end,
			change: run.Declared.Scale(-1),
		})
	}
	for _, worker := range steps {
		slices.SortStableFunc(worker, func(left, right step) int {
			return cmp.Or(left.at.Compare(right.at), compareBool(left.start, right.start))
		})
	}
	return steps
}

func compareBool(left, right bool) int {
	switch {
	case left == right:
		return 0
	case right:
		return -1
	default:
		return 1
	}
}

// examineWorkers counts the starts after which a worker holds more than its capacity.
func (examiner *examiner) examineWorkers() {
	for id, steps := range examiner.history.steps() {
		var declared descriptor.Resources
		for _, step := range steps {
			declared = declared.Add(step.change)
			if step.start && !declared.Fits(examiner.history.Capacities[id]) {
				examiner.report.Overcommitted++
			}
		}
	}
}

// packing weighs each worker by the time that it was busy.
func packing(history *History) float64 {
	var used, offered float64
	for id, steps := range history.steps() {
		var declared descriptor.Resources
		var since time.Time
		for _, step := range steps {
			if declared != (descriptor.Resources{}) {
				seconds := step.at.Sub(since).Seconds()
				used += seconds * float64(declared.MilliCPU)
				offered += seconds * float64(history.Capacities[id].MilliCPU)
			}
			declared = declared.Add(step.change)
			since = step.at
		}
	}
	if offered == 0 {
		return 0
	}
	return used / offered
}
