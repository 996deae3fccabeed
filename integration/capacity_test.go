package integration_test

import (
	"fmt"
	"testing"
	"time"

	"pomelomoor/internal/work/descriptor"
)

// Guards against a new owner that does not know the runs started by its predecessor and exceeds the workers'
// capacity (I1).
func TestWorkerCapacityIsNeverExceeded(t *testing.T) {
	cell := newCell(t, options{
		Entries: 3,
		Workers: 3,
	})
	// The longJob tasks run longer than both owners, so that each new owner finds nearly full workers.
	longJob := cell.submit(batch("long", 3, coresWithMemory(3), 10*time.Second))
	cell.awaitStarts(recoveryTimeout, 3, longJob)
	ids := []descriptor.JobID{longJob}
	for i := range 18 {
		job := batch(fmt.Sprintf("assay-%d", i), 1+i%3, coresWithMemory(1+int64(i%3)), time.Duration(200+100*(i%5))*time.Millisecond)
		ids = append(ids, cell.submit(job))
	}
	for range 2 {
		epoch := cell.epoch()
		cell.awaitOwner().kill()
		cell.awaitOwnerAbove(epoch)
		if len(cell.live()) == 1 {
			cell.startEntry().awaitReady()
		}
	}
	states := cell.awaitFates(time.Minute, ids, "Done")
	checkCapacity(t, cell.runRecords(), states)
	checkNoOverlap(t, cell.runRecords())
}
