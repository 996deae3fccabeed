package leader

import (
	"encoding/json"
	"testing"
	"time"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/elector"
	"pomelomoor/internal/cell/persister"
	"pomelomoor/internal/cell/scheduler"
)

// TestLateAnnouncement guards against a second run of a whole job: an instance that stood still announces it when it has
// ended and its record has expired. A job that is in the inbox is planned, however late.
func TestLateAnnouncement(t *testing.T) {
	const id = "5c0e7a21d94b36f8"
	for age, planned := range map[time.Duration]bool{
		0:                       true,
		maxAnnouncementAge / 2:  true,
		maxAnnouncementAge + 1:  false,
		10 * maxAnnouncementAge: false,
		-2 * maxAnnouncementAge: true,
	} {
		job, err := json.Marshal(&describer.Job{
			ID:        id,
			Submitted: time.Now().Add(-age),
			Steps: []describer.Step{{
				Count: 1,
			}},
		})
		if err != nil {
			t.Fatal(err)
		}
		leader := New(Options{
			Observer: discardObserver{},
		}, elector.Term{})
		leader.scheduler = scheduler.New(scheduler.Options{}, &describer.Config{})
		leader.records = persister.New(nil, nil, describer.Expectation{})
		leader.Announce(job, "")
		if status, _ := leader.State(id); (status.State != describer.JobUnknown) != planned {
			t.Errorf("announced %s after its submission, the job is %s", age, status.State)
		}
		leader.handleInbox(t.Context(), []describer.Item{{
			Key:   persister.JobPrefix + id,
			Value: job,
		}}, false)
		if status, _ := leader.State(id); status.State == describer.JobUnknown {
			t.Errorf("in the inbox %s after its submission, the job is %s", age, status.State)
		}
	}
}
