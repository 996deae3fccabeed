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

// TestUnsubmittedJob guards against a job that is planned although the store holds a cancellation that was answered before
// its submission, whether the leader finds that in a change of the inbox or loads it.
func TestUnsubmittedJob(t *testing.T) {
	const id = "5c0e7a21d94b36f8"
	job, err := json.Marshal(&describer.Job{
		ID:        id,
		Submitted: time.Now(),
		Steps: []describer.Step{{
			Count: 1,
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	cancellation, err := json.Marshal(persister.Cancellation{
		Unsubmitted: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	items := []describer.Item{{
		Key:   persister.CancelPrefix + id,
		Value: cancellation,
	}}
	receive := map[string]func(leader *Leader){
		"change": func(leader *Leader) {
			leader.handleInbox(t.Context(), items, false)
		},
		"load": func(leader *Leader) {
			leader.restore(time.Now(), leader.records, nil, items)
			leader.handleCancellations(time.Now(), items)
		},
	}
	for name, pass := range receive {
		observer := &unreadableObserver{}
		leader := New(Options{
			Observer: observer,
		}, elector.Term{})
		leader.scheduler = scheduler.New(scheduler.Options{}, &describer.Config{})
		leader.records = persister.New(nil, nil, describer.Expectation{})
		pass(leader)
		if !leader.Announce(job, "") {
			t.Fatalf("%s: announcement refused", name)
		}
		if status, _ := leader.State(id); status.State != describer.JobUnknown {
			t.Errorf("%s: job is %s", name, status.State)
		}
		record, _, final, err := leader.scheduler.Encode(id)
		if err != nil || !final {
			t.Fatalf("%s: record %s, final %v, error %v", name, record, final, err)
		}
		if stored, err := scheduler.ParseRecord(record); err != nil || !stored.Unsubmitted || stored.State != describer.JobCancelled {
			t.Errorf("%s: record %s, error %v", name, record, err)
		}
		if len(observer.keys) > 0 {
			t.Errorf("%s: unreadable entries %v", name, observer.keys)
		}
	}
}
