package integration_test

import (
	"fmt"
	"testing"
	"time"

	"pomelomoor/internal/work/descriptor"
)

// Guards I1: a new owner that forgets the starts of the killed one would fill workers twice.
func TestWorkersAreNeverOverfilled(t *testing.T) {
	cell := newCell(t, options{
		Entries: 3,
		Workers: 3,
	})
	// The long tasks outlast both owners, so that each new one meets workers that are nearly full.
	long := cell.submit(batch("long", 3, cores(3), 10*time.Second))
	cell.awaitStarts(recoveryLimit, 3, long)
	ids := []descriptor.JobID{long}
	for i := range 18 {
		job := batch(fmt.Sprintf("assay-%d", i), 1+i%3, cores(1+int64(i%3)), time.Duration(200+100*(i%5))*time.Millisecond)
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
	checkCapacity(t, cell.history(), states)
	checkSingle(t, cell.history())
}
