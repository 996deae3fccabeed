package leader

import (
	"testing"
	"time"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/elector"
	"pomelomoor/internal/cell/persister"
	"pomelomoor/internal/cell/scheduler"
)

// containedObserver counts the panics that were contained.
type containedObserver struct {
	discardObserver

	contained int
}

func (containedObserver *containedObserver) Contained(string, any) {
	containedObserver.contained++
}

// TestContain guards against a panic in the handling of one answer that ends the process, or that leaves the mutex
// locked so that the leader does nothing more.
func TestContain(t *testing.T) {
	observer := &containedObserver{}
	leader := New(Options{
		Observer: observer,
	}, elector.Term{})
	leader.scheduler = scheduler.New(scheduler.Options{}, &describer.Config{})
	leader.records = persister.New(nil, nil, describer.Expectation{})
	handled := false
	leader.update("first", func(time.Time) {
		panic("fault")
	})
	leader.update("second", func(time.Time) {
		handled = true
	})
	if observer.contained != 1 || !handled {
		t.Errorf("%d panics contained, second item handled: %v", observer.contained, handled)
	}
	leader.restoreJob(time.Now(), "a", &describer.Job{
		ID:    "a",
		Steps: []describer.Step{{Count: 1}},
	}, "inbox/job/a", []byte(`{"State":2,"Occurrences":[{"Steps":[{"Done":[7]}]}]}`))
	leader.add(time.Now(), &describer.Job{
		ID: "a",
	})
	if status, _ := leader.State("a"); status.State != describer.JobUnknown {
		t.Errorf("job with a bad record is %s, want it to be set aside", status.State)
	}
}
