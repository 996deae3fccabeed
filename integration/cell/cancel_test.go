package cell_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pomelomoor/internal/cell/withdrawer"
	"pomelomoor/platform/standin"
)

const (
	// floodCallers is the number of callers that cancel unknown jobs, floodDuration how long.
	floodCallers  = 16
	floodDuration = 4 * time.Second
	// floodWritesPerSecond is what the withdrawals of the callers without a key may take of the 400 writes a second in the
	// settings, and floodBurst what each instance stores at once.
	floodWritesPerSecond = 40
	floodBurst           = 20
)

// cancelShapes are bodies of submissions: one task, a gang, a step that lasts, a job that starts later, and occurrences.
func cancelShapes() []map[string]any {
	work := standin.Work{
		Milliseconds: 100,
		MilliCPU:     200,
	}
	lasting := job(2, work, false)
	lasting["steps"].([]map[string]any)[0]["perpetual"] = true
	steps := job(2, work, false)
	steps["steps"] = append(steps["steps"].([]map[string]any), map[string]any{
		"count":      2,
		"cpu":        work.MilliCPU,
		"memMb":      16,
		"estimateMs": work.Milliseconds,
		"after":      []int{0},
	})
	later := job(1, work, false)
	later["startAtMs"] = time.Now().Add(3 * time.Second).UnixMilli()
	repeated := job(1, work, false)
	repeated["startAtMs"] = time.Now().Add(time.Second).UnixMilli()
	repeated["repeatCount"] = 20
	repeated["intervalMs"] = 500
	return []map[string]any{job(1, work, false), job(3, work, true), steps, lasting, later, repeated}
}

// leave submits a job for a caller that leaves before it has an answer.
func (cell *cell) leave(instance int, path string, body any) {
	ctx, cancel := context.WithTimeout(cell.t.Context(), leavePatience)
	defer cancel()
	if answer := cell.callUntil(ctx, http.MethodPost, instance, path, body); answer.status != 0 {
		cell.t.Fatalf("submission of %s: status %d (%s), want no answer", path, answer.status, answer.body)
	}
}

// cancelUnknown cancels a job until that is acknowledged, and fails the test unless there is no such job.
func (cell *cell) cancelUnknown(instance int, path string) {
	cell.t.Helper()
	cell.await(settleTimeout, "the cancellation of "+path+" to be acknowledged", func() bool {
		status, _ := cell.call(http.MethodDelete, instance, path, nil)
		if status == http.StatusOK {
			cell.t.Fatalf("%s is known", path)
		}
		return status == http.StatusGone
	})
}

// checkWithdrawn checks that a job has not run, and that each instance says that there is none and takes none under its ID.
func (cell *cell) checkWithdrawn(path string, body any) {
	cell.t.Helper()
	for _, instance := range cell.instances {
		if status, state := cell.stateWithKey("", instance.index, path); status != http.StatusGone {
			cell.t.Errorf("%s at instance %d: status %d, state %s, want status %d", path, instance.index, status, state, http.StatusGone)
		}
		answer := cell.callWith(http.MethodPost, instance.index, path, body)
		if answer.status != http.StatusServiceUnavailable || answer.header.Get("Retry-After") == "" {
			cell.t.Errorf("%s at instance %d: submission after the cancellation: status %d (%s)", path, instance.index, answer.status, answer.body)
		}
	}
	if cell.site.RunRecorder.Started(strings.Split(path, "/")[2]) {
		cell.t.Errorf("%s was started after its cancellation was acknowledged", path)
	}
}

// TestCancelBeforeLateSubmission guards against a job of any shape that runs after its caller was told that there is no such
// job: the caller left before its submission was answered and cancelled the job at another instance, and the store executed
// the submission seconds later, under the next leader.
func TestCancelBeforeLateSubmission(t *testing.T) {
	cell := newCell(t, 3, 2, plainQueue)
	shapes := cancelShapes()
	path := func(shape int) string {
		return fmt.Sprintf("/plain/%015xd", shape)
	}
	cell.site.Store.SetFault(standin.DelayWrites(1))
	var callers sync.WaitGroup
	for shape, body := range shapes {
		callers.Go(func() {
			cell.leave(shape%3, path(shape), body)
		})
	}
	callers.Wait()
	cell.site.Store.SetFault(nil)
	for shape := range shapes {
		cell.cancelUnknown((shape+1)%3, path(shape))
	}
	for _, instance := range cell.instances {
		// One of them leads.
		instance.kill(syscall.SIGKILL)
		instance.start()
		instance.awaitReady()
	}
	time.Sleep(standin.MaxLateDelay + time.Second)
	for shape, body := range shapes {
		cell.checkWithdrawn(path(shape), body)
	}
	cell.checkViolations()
}

// TestCancelBeforePausedSubmission guards against a job that runs after its caller was told that there is no such job, since
// the instance that has its submission stood still meanwhile.
func TestCancelBeforePausedSubmission(t *testing.T) {
	cell := newCell(t, 3, 2, plainQueue)
	body := cancelShapes()[0]
	const path = "/plain/00000000000000d2"
	cell.instances[0].signal(syscall.SIGSTOP, false)
	cell.leave(0, path, body)
	cell.cancelUnknown(1, path)
	cell.instances[0].signal(syscall.SIGCONT, false)
	cell.instances[0].awaitReady()
	time.Sleep(2 * time.Second)
	cell.checkWithdrawn(path, body)
	cell.checkViolations()
}

// TestCancelBeforeSlowBody guards against a job that runs after its caller was told that there is no such job, since the body
// of its submission came slowly.
func TestCancelBeforeSlowBody(t *testing.T) {
	cell := newCell(t, 2, 2, plainQueue)
	const path = "/plain/00000000000000d3"
	body := `{"spec":"{}","steps":[{"count":1,"cpu":200,"memMb":16,"estimateMs":100}]}`
	conn, err := net.Dial("tcp", cell.site.Front(0).String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		// The instance closes it too.
		_ = conn.Close()
	}()
	send := func(text string) {
		if _, err := io.WriteString(conn, text); err != nil {
			t.Error(err)
		}
	}
	send(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Deadline-Ms: 60000\r\nContent-Length: %d\r\n\r\n%s", path, standin.Host, len(body), body[:20]))
	time.Sleep(300 * time.Millisecond)
	cell.cancelUnknown(1, path)
	send(body[20:])
	answer := make([]byte, len("HTTP/1.1 503"))
	if _, err := io.ReadFull(conn, answer); err != nil || string(answer) != "HTTP/1.1 503" {
		t.Errorf("submission after the cancellation: %s, error %v, want status 503", answer, err)
	}
	cell.checkWithdrawn(path, cancelShapes()[0])
	cell.checkViolations()
}

// TestFloodOfCancellations guards against cancellations of unknown jobs that take the room of the store or of a process, or
// the place of ordinary calls.
func TestFloodOfCancellations(t *testing.T) {
	cell := newCell(t, 3, 2, plainQueue)
	start := time.Now()
	var callers sync.WaitGroup
	for caller := range floodCallers {
		callers.Go(func() {
			for number := 0; time.Since(start) < floodDuration; number++ {
				path := fmt.Sprintf("/plain/%08x%08x", caller+1, number)
				answer := cell.callWith(http.MethodDelete, number%len(cell.instances), path, nil)
				limited := answer.status == http.StatusTooManyRequests && answer.header.Get("Retry-After") != ""
				if !limited && answer.status != http.StatusGone && answer.status != http.StatusServiceUnavailable && answer.status != 0 {
					t.Errorf("cancellation: status %d (%s)", answer.status, answer.body)
				}
			}
		})
	}
	time.Sleep(floodDuration / 2)
	const path = "/plain/00000000000000d4"
	cell.await(settleTimeout, "a job to be accepted", func() bool {
		status, _ := cell.call(http.MethodPost, 1, path, cancelShapes()[0])
		return status == http.StatusOK
	})
	callers.Wait()
	seconds := int(time.Since(start)/time.Second) + 1
	stored := len(cell.site.Store.Keys(withdrawer.Prefix))
	t.Logf("%d withdrawals stored in %d s", stored, seconds)
	if limit := len(cell.instances)*floodBurst + floodWritesPerSecond*seconds; stored == 0 || stored > limit {
		t.Errorf("%d withdrawals are stored, want between 1 and %d", stored, limit)
	}
	cell.awaitState(path, "completed")
	cell.checkViolations()
}
