package cell_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"pomelomoor/platform/standin"
)

const (
	// manyEndsJobs and manyEndsTasks make 1,200 tasks. A worker lists 500 ends at a time.
	manyEndsJobs  = 30
	manyEndsTasks = 40
	// manyEndsTime is the run time of the first job's tasks, and manyEndsSpread how much longer those of each further job
	// run.
	manyEndsTime   = 4 * time.Second
	manyEndsSpread = 50 * time.Millisecond
	// outageDuration is how long the store refuses calls.
	outageDuration = 3 * time.Second
)

// TestMoreEndsThanListed guards against tasks that are run again after they have ended done, since their ends were not on
// the first page of a worker's list (review/1): many small tasks end on one worker while the leader is killed, or while the
// store refuses all calls, so that no end can be acknowledged.
func TestMoreEndsThanListed(t *testing.T) {
	faults := []struct {
		name   string
		inject func(cell *cell)
	}{
		{
			name: "leader killed",
			inject: func(cell *cell) {
				leader := cell.leader()
				leader.kill(syscall.SIGKILL)
				time.Sleep(time.Second)
				leader.start()
			},
		},
		{
			name: "store away",
			inject: func(cell *cell) {
				cell.site.Store.SetFault(func(string) standin.Fault {
					return standin.FaultRefused
				})
				time.Sleep(outageDuration)
				cell.site.Store.SetFault(nil)
			},
		},
		{
			name: "store away and leader killed",
			inject: func(cell *cell) {
				leader := cell.leader()
				cell.site.Store.SetFault(func(string) standin.Fault {
					return standin.FaultRefused
				})
				time.Sleep(outageDuration / 2)
				leader.kill(syscall.SIGKILL)
				time.Sleep(outageDuration / 2)
				leader.start()
				cell.site.Store.SetFault(nil)
			},
		},
	}
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			cell := newCell(t, 3, 1, plainQueue)
			paths := cell.submitManyEnds()
			cell.await(startTimeout, "the first task to end", func() bool {
				return cell.site.RunRecorder.Done() > 0
			})
			fault.inject(cell)
			for _, path := range paths {
				cell.awaitState(path, "completed")
			}
			if cell.logged("EndsTruncated") == 0 {
				t.Error("no list of ends was truncated")
			}
			cell.checkViolations()
			if done := cell.site.RunRecorder.DoneRuns(); done != manyEndsJobs*manyEndsTasks {
				t.Errorf("%d runs ended done for %d tasks", done, manyEndsJobs*manyEndsTasks)
			}
		})
	}
}

// submitManyEnds submits jobs whose tasks all fit on one worker and end soon after each other. It returns their paths.
func (cell *cell) submitManyEnds() []string {
	cell.t.Helper()
	var paths []string
	for index := range manyEndsJobs {
		path := fmt.Sprintf("/plain/%016x", index+1)
		work := standin.Work{
			Milliseconds: int((manyEndsTime + time.Duration(index)*manyEndsSpread).Milliseconds()),
			MilliCPU:     cellCapacity / (manyEndsJobs * manyEndsTasks),
		}
		if status, _ := cell.call(http.MethodPost, index%len(cell.instances), path, job(manyEndsTasks, work, false)); status != http.StatusOK {
			cell.t.Fatalf("submission: status %d", status)
		}
		paths = append(paths, path)
	}
	return paths
}

// eachLogLine calls handle with the name and the fencing token of each event that instance has logged.
func (instance *instance) eachLogLine(handle func(name string, fence int64)) {
	instance.cell.t.Helper()
	log, err := os.ReadFile(instance.log)
	if err != nil {
		instance.cell.t.Fatal(err)
	}
	for line := range bytes.Lines(log) {
		var event struct {
			Name  string
			Fence int64
		}
		// The last line may be incomplete.
		if json.Unmarshal(line, &event) == nil {
			handle(event.Name, event.Fence)
		}
	}
}

// leader returns the instance whose term began last.
func (cell *cell) leader() *instance {
	cell.t.Helper()
	var leader *instance
	newest := int64(0)
	for _, instance := range cell.instances {
		instance.eachLogLine(func(name string, fence int64) {
			if name == "CellTermBegan" && fence > newest {
				leader, newest = instance, fence
			}
		})
	}
	if leader == nil {
		cell.t.Fatal("no instance leads")
	}
	return leader
}

// logged returns how often the instances have logged an event.
func (cell *cell) logged(event string) int {
	count := 0
	for _, instance := range cell.instances {
		instance.eachLogLine(func(name string, _ int64) {
			if name == event {
				count++
			}
		})
	}
	return count
}
