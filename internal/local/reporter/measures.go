package reporter

import (
	"cmp"
	"slices"
	"time"

	"pomelomoor/internal/gateway/storer"
	"pomelomoor/internal/local/launcher"
	"pomelomoor/internal/work/descriptor"
)

// Measures holds the performance figures of a run.
type Measures struct {
	// Span is the time span that the figures per second refer to.
	Span descriptor.Duration
	// ConfigInForce is how long the configuration took to be in force at all instances.
	ConfigInForce descriptor.Duration
	// Packing is the mean fraction of the processor capacity of busy workers that their runs declare.
	Packing float64
	// StoreCalls is the calls per second to the store and the instance list, by kind.
	StoreCalls      map[string]float64
	StoreWriteShare float64
	StoreReadShare  float64
	// BytesBetweenRegions counts both directions.
	BytesBetweenRegions          uint64
	BytesBetweenRegionsPerSecond float64
	// RegionBytes splits BytesBetweenRegions by the role of the endpoint that entry instances called.
	RegionBytes map[launcher.Role]uint64
	// EntryBytesPerSecond is the mean over the entry instances, in both directions, by the role of the
	// endpoint. It excludes the API calls of callers.
	EntryBytesPerSecond map[launcher.Role]float64
	// HeadOfLine is the 99th percentile of the latency of short requests beyond their service time.
	// It grows when short requests wait behind long ones (head-of-line blocking).
	HeadOfLine descriptor.Duration
	// InTime is the fraction of requests answered in time, and CrestInTime the same at the crest, which is the
	// period between CrestFrom and CrestTo in which the CrestFactor of a line of the scenario multiplies its rate.
	InTime      float64
	CrestInTime float64
}

func computeMeasures(history *History, analyzer *analyzer) Measures {
	measures := Measures{
		Packing:     meanPacking(history),
		StoreCalls:  make(map[string]float64),
		RegionBytes: history.Traffic.BetweenRegions,
		HeadOfLine:  percentile(analyzer.headOfLine, 99),
		InTime:      analyzer.inTime.value(),
		CrestInTime: analyzer.crestInTime.value(),
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
	measures.StoreWriteShare = writes / storeWritesPerSecond
	measures.StoreReadShare = reads / storeReadsPerSecond
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

// usageChange is a change of the resources declared on a worker, at the start or the end of a run.
type usageChange struct {
	at    time.Time
	delta descriptor.Resources
	start bool
}

// usageChanges returns the changes of each worker sorted by time. At equal times, ends precede starts.
func (history *History) usageChanges() map[descriptor.WorkerID][]usageChange {
	changes := make(map[descriptor.WorkerID][]usageChange)
	for index := range history.Runs {
		run := &history.Runs[index]
		end := run.Ended
		if end.IsZero() {
			end = history.CollectedAt
		}
		changes[run.Worker] = append(changes[run.Worker], usageChange{
			at:    run.Started,
			delta: run.Declared,
			start: true,
		}, usageChange{
			at:    end,
			delta: run.Declared.Scale(-1),
		})
	}
	for _, workerChanges := range changes {
		slices.SortStableFunc(workerChanges, func(left, right usageChange) int {
			return cmp.Or(left.at.Compare(right.at), compareBool(left.start, right.start))
		})
	}
	return changes
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

// analyzeWorkers counts the starts after which the declared resources on a worker exceed its capacity.
func (analyzer *analyzer) analyzeWorkers() {
	for id, changes := range analyzer.history.usageChanges() {
		var declared descriptor.Resources
		for _, change := range changes {
			declared = declared.Add(change.delta)
			if change.start && !declared.Fits(analyzer.history.Capacities[id]) {
				analyzer.report.Overcommitted++
			}
		}
	}
}

// meanPacking returns the processor time declared by runs, divided by the processor time that the workers
// offered while they were busy.
func meanPacking(history *History) float64 {
	var used, available float64
	for id, changes := range history.usageChanges() {
		var declared descriptor.Resources
		var since time.Time
		for _, change := range changes {
			if declared != (descriptor.Resources{}) {
				seconds := change.at.Sub(since).Seconds()
				used += seconds * float64(declared.MilliCPU)
				available += seconds * float64(history.Capacities[id].MilliCPU)
			}
			declared = declared.Add(change.delta)
			since = change.at
		}
	}
	if available == 0 {
		return 0
	}
	return used / available
}
