package scheduler

import (
	"testing"
	"time"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/work/descriptor"
)

// TestRestoreRefused guards against a record that does not fit its job: it ended the process of each leader in turn.
// A job that is set aside must not run again from its start.
func TestRestoreRefused(t *testing.T) {
	description := &describer.Job{
		ID:    "a",
		Queue: "q",
		Steps: []describer.Step{{
			Count: 2,
		}},
	}
	for _, record := range []string{
		`{"State":2,"Occurrences":[{"Steps":[{"Done":[2]}]}]}`,
		`{"State":2,"Occurrences":[{"Steps":[{"Done":[-1]}]}]}`,
		`{"State":2,"Occurrences":[{"Steps":[{"Tasks":[{"Index":7,"Run":1,"Worker":"w"}]}]}]}`,
		`{"State":2,"Occurrences":[{"Steps":[]}]}`,
		`{"State":`,
	} {
		script := newScript(t)
		script.queue("q", nil)
		if err := script.scheduler.Restore(script.now, "a", description, []byte(record)); err == nil {
			t.Errorf("%s was restored", record)
		}
		script.scheduler.SetAside("a")
		script.scheduler.Add(script.now, description)
		if state := script.scheduler.State("a"); state != describer.JobUnknown {
			t.Errorf("%s: job is %s, want it to be set aside", record, state)
		}
		if dirty := script.scheduler.Dirty(); len(dirty) > 0 {
			t.Errorf("%s: record would be written", record)
		}
	}
}

// TestSetAsideAfterRestore guards against capacity, waiting tasks and a removed record of a job whose restoration was
// interrupted.
func TestSetAsideAfterRestore(t *testing.T) {
	script := newScript(t)
	for _, words := range [][]string{
		{"queue", "q"}, {"worker", "w1", "cpu=1"}, {"poll", "w1"}, {"job", "a", "q", "count=2"}, {"pass"}, {"store"},
	} {
		script.run(words)
	}
	script.scheduler.SetAside("a")
	if used := script.scheduler.workers["w1"].used; used != (descriptor.Resources{}) || len(script.scheduler.waiting) > 0 {
		t.Errorf("%+v is in use and %d steps wait", used, len(script.scheduler.waiting))
	}
	if dirty := script.scheduler.Dirty(); len(dirty) > 0 {
		t.Errorf("records of %v would be removed", dirty)
	}
}

// TestContainedStep guards against a fault in the placement of one step that keeps all later ones from being placed.
func TestContainedStep(t *testing.T) {
	script := newScript(t)
	for _, words := range [][]string{
		{"queue", "q"}, {"worker", "w1", "cpu=4"}, {"poll", "w1"}, {"job", "a", "q"}, {"job", "b", "q"},
	} {
		script.run(words)
	}
	for step := range script.scheduler.waiting {
		if step.job.ID == "a" {
			step.tasks = []*task{nil}
		}
	}
	script.scheduler.Pass(script.now)
	effects := script.scheduler.TakeEffects()
	setAside := 0
	for _, event := range effects.Events {
		if event.Kind == EventStepSetAside && event.Job == "a" {
			setAside++
		}
	}
	if setAside != 1 || len(script.scheduler.workers["w1"].runs) != 1 {
		t.Errorf("%d steps set aside and %d runs placed, want 1 of each", setAside, len(script.scheduler.workers["w1"].runs))
	}
	script.now = script.now.Add(time.Second)
	script.scheduler.Tick(script.now)
	script.scheduler.Pass(script.now)
	if events := script.scheduler.TakeEffects().Events; len(events) > 0 {
		t.Errorf("later pass: %+v", events)
	}
}
