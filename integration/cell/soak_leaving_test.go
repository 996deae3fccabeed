package cell_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"pomelomoor/internal/cell/persister"
	"pomelomoor/internal/cell/watcher"
	"pomelomoor/internal/cell/withdrawer"
	"pomelomoor/platform/standin"
)

const (
	// firstLeavingSeed is the first of the seeds with callers that leave before their job is answered and cancel it, and with
	// a store that executes writes late.
	firstLeavingSeed = 801
	// leaveInterval is the time from one such caller to the next, and leavePatience how long it waits.
	leaveInterval = 80 * time.Millisecond
	leavePatience = 600 * time.Millisecond
	// cancelInterval is the time between two attempts to cancel a job.
	cancelInterval = 200 * time.Millisecond
	// cancelTime is cancel_ms of the users' sites, and contactTime contactMs.
	cancelTime  = 3 * time.Second
	contactTime = 4 * time.Second
)

// lateFaults are injected beside faults from firstLeavingSeed on. The fault is there twice so that most seeds have it.
var lateFaults = []fault{
	{"writes executed late", onStore(standin.DelayWrites(3))},
	{"writes executed late", onStore(standin.DelayWrites(3))},
}

// leftJob is the end of a job for a caller that left.
type leftJob struct {
	// status is the answer to the last attempt to cancel it, at the time at.
	status int
	at     time.Time
}

// submitAndLeave submits jobs for callers that do not wait long for the answer. A caller that left does not know whether its
// job was accepted, so it cancels it until that is acknowledged or the traffic ends.
func (soak *soak) submitAndLeave(stop <-chan struct{}) {
	ticker := time.NewTicker(leaveInterval)
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		job := &soakJob{
			path:      fmt.Sprintf("/plain/1ea%013x", number),
			cancelled: true,
			left:      &leftJob{},
		}
		soak.assign(job, number)
		soak.mutex.Lock()
		soak.jobs = append(soak.jobs, job)
		soak.mutex.Unlock()
		group.Go(func() {
			soak.leave(job, number, stop)
		})
	}
}

func (soak *soak) leave(entry *soakJob, first int, stop <-chan struct{}) {
	work := standin.Work{
		Milliseconds: 300,
		MilliCPU:     100,
	}
	ctx, cancel := context.WithTimeout(context.Background(), leavePatience)
	answer := soak.cell.callUntil(ctx, http.MethodPost, first%len(soak.cell.instances), entry.path, job(1, work, false), authorizations(entry.key)...)
	cancel()
	soak.mutex.Lock()
	entry.accepted = answer.status == http.StatusOK
	entry.uncertain = true
	soak.mutex.Unlock()
	for attempt := 1; ; attempt++ {
		answer := soak.cell.callWithKey(entry.key, http.MethodDelete, (first+attempt)%len(soak.cell.instances), entry.path, nil)
		entry.left.status, entry.left.at = answer.status, time.Now()
		if entry.left.acknowledged() {
			return
		}
		select {
		case <-stop:
			return
		default:
			watcher.Sleep(context.Background(), cancelInterval)
		}
	}
}

func (leftJob *leftJob) acknowledged() bool {
	return leftJob.status == http.StatusOK || leftJob.status == http.StatusGone
}

// checkLeftJobs checks that no task of a job is started after its caller was told that there is no such job, and that none is
// started later than cancelTime after another acknowledgement, and contactTime after the last fault. No cancellation may stay
// in the inbox.
func (soak *soak) checkLeftJobs(faultsEnded time.Time) {
	unknown, left, acknowledged := 0, 0, 0
	for _, job := range soak.jobs {
		if job.left == nil {
			continue
		}
		left++
		if !job.left.acknowledged() {
			continue
		}
		acknowledged++
		last := soak.cell.site.RunRecorder.LastStart(strings.Split(job.path, "/")[2])
		if job.left.status == http.StatusGone {
			unknown++
			if !last.IsZero() {
				soak.t.Errorf("%s was started %s after its caller was told that there is no such job", job.path, last.Sub(job.left.at))
			}
			continue
		}
		if last.After(job.left.at.Add(cancelTime)) && last.After(faultsEnded.Add(contactTime)) {
			soak.t.Errorf("%s was started %s after its cancellation was acknowledged", job.path, last.Sub(job.left.at))
		}
	}
	if soak.leaving {
		soak.cell.await(settleTimeout, "the cancellations to leave the inbox", func() bool {
			return len(soak.cell.site.Store.Keys(persister.CancelPrefix)) == 0
		})
		soak.t.Logf("%d callers left, %d cancellations acknowledged, %d of them of unknown jobs; %d withdrawals stored", left, acknowledged, unknown,
			len(soak.cell.site.Store.Keys(withdrawer.Prefix)))
	}
}
