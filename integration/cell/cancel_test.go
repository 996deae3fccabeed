package cell_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"pomelomoor/platform/standin"
)

// TestCancelBeforeLateSubmission guards against a job that runs after its caller was told that there is no such job: the
// caller left before its submission was answered and cancelled the job, and the store executed the submission seconds later.
func TestCancelBeforeLateSubmission(t *testing.T) {
	cell := newCell(t, 3, 2, plainQueue)
	const id = "00000000000000d1"
	work := standin.Work{
		Milliseconds: 100,
		MilliCPU:     500,
	}
	cell.site.Store.SetFault(standin.DelayWrites(1))
	ctx, cancel := context.WithTimeout(t.Context(), leavePatience)
	defer cancel()
	if answer := cell.callUntil(ctx, http.MethodPost, 0, "/plain/"+id, job(1, work, false)); answer.status != 0 {
		t.Fatalf("submission: status %d (%s), want no answer", answer.status, answer.body)
	}
	cell.site.Store.SetFault(nil)
	cell.await(settleTimeout, "the cancellation to be acknowledged", func() bool {
		status, _ := cell.call(http.MethodDelete, 1, "/plain/"+id, nil)
		return status == http.StatusGone
	})
	time.Sleep(standin.MaxLateDelay + time.Second)
	for _, instance := range cell.instances {
		if status, state := cell.stateWithKey("", instance.index, "/plain/"+id); status != http.StatusGone {
			t.Errorf("instance %d: status %d, state %s, want status %d", instance.index, status, state, http.StatusGone)
		}
		answer := cell.callWith(http.MethodPost, instance.index, "/plain/"+id, job(1, work, false))
		if answer.status != http.StatusServiceUnavailable || answer.header.Get("Retry-After") == "" {
			t.Errorf("instance %d: submission after the cancellation: status %d (%s)", instance.index, answer.status, answer.body)
		}
	}
	if cell.site.RunRecorder.Started(id) {
		t.Error("job was started after its cancellation was acknowledged")
	}
	cell.checkViolations()
}
