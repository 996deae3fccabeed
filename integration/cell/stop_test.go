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
	// balancerNoticeDelay is how long callers still open connections after a planned stop began. The balancer probes
	// each second and takes an instance out of service after two failed probes.
	balancerNoticeDelay = 2 * time.Second
	// slowStoreDelay makes calls in progress outlast the time for which a stopping instance accepts new ones.
	slowStoreDelay = 900 * time.Millisecond
)

// TestPlannedStop guards against calls that a stopping instance aborts: callers keep calling, on open and on new
// connections, until the balancer has noticed the stop, and their last calls wait for a slow store.
func TestPlannedStop(t *testing.T) {
	cell := newCell(t, 2, 2, plainQueue)
	work := standin.Work{
		Milliseconds: 20,
		MilliCPU:     100,
	}
	balancerNoticed := make(chan struct{})
	var callers sync.WaitGroup
	for caller := range 8 {
		callers.Go(func() {
			for call := 0; ; call++ {
				select {
				case <-balancerNoticed:
					return
				default:
				}
				path := fmt.Sprintf("/plain/%08x%08x", caller, call)
				if status, _ := cell.call(http.MethodPost, 0, path, job(1, work, false)); status == 0 {
					t.Errorf("call %d of caller %d got no complete response", call, caller)
					return
				}
			}
		})
	}
	cell.await(startTimeout, "runs to start", func() bool {
		return cell.site.RunRecorder.Starts() > 20
	})
	cell.instances[0].signal(syscall.SIGTERM, true)
	time.AfterFunc(balancerNoticeDelay, func() {
		close(balancerNoticed)
	})
	for _, instance := range cell.instances {
		instance.store.Slow(slowStoreDelay)
	}
	callers.Wait()
	<-cell.instances[0].ended
	cell.checkViolations()
}
