package cell_test

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"pomelomoor/platform/standin"
)

const (
	// notice is how long callers go on to open connections after a planned stop began. Source: the balancer
	// probes each second and leaves an instance out after two misses.
	notice = 2 * time.Second
	// slowStore delays the calls in progress beyond the time in which a stopping instance takes new ones.
	slowStore = 900 * time.Millisecond
)

// TestPlannedStop guards against calls that a stopping instance cuts off: callers keep calling, on open and on
// new connections, until the balancer has noticed, and their last calls wait for a slow store meanwhile.
func TestPlannedStop(t *testing.T) {
	cell := newCell(t, 2, 2, plain)
	work := standin.Work{
		Milliseconds: 20,
		MilliCPU:     100,
	}
	noticed := make(chan struct{})
	var callers sync.WaitGroup
	for caller := range 8 {
		callers.Go(func() {
			for call := 0; ; call++ {
				select {
				case <-noticed:
					return
				default:
				}
				path := fmt.Sprintf("/plain/%08x%08x", caller, call)
				if status, _ := cell.call(http.MethodPost, 0, path, job(1, work, false)); status == 0 {
					t.Errorf("call %d of caller %d got no complete answer", call, caller)
					return
				}
			}
		})
	}
	cell.await(startLimit, "runs to start", func() bool {
		return cell.site.Witness.Starts() > 20
	})
	cell.nodes[0].signal(syscall.SIGTERM, true)
	time.AfterFunc(notice, func() {
		close(noticed)
	})
	for _, node := range cell.nodes {
		node.store.Slow(slowStore)
	}
	callers.Wait()
	<-cell.nodes[0].ended
	cell.checkWitness()
}
