package leader

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/elector"
	"pomelomoor/internal/cell/persister"
	"pomelomoor/internal/cell/scheduler"
)

// unreadableObserver collects the keys of the entries that could not be read.
type unreadableObserver struct {
	discardObserver

	keys []string
}

func (unreadableObserver *unreadableObserver) EntryUnreadable(_, key string, _ error) {
	unreadableObserver.keys = append(unreadableObserver.keys, key)
}

// TestOddInbox guards against the failure that testdata/inbox.json describes. Beside each entry is a cancellation of a
// job that does not exist.
func TestOddInbox(t *testing.T) {
	content, err := os.ReadFile("testdata/inbox.json")
	if err != nil {
		t.Fatal(err)
	}
	var list struct {
		Guards string
		Jobs   []struct {
			Name     string
			Readable bool
			Key      string
			Job      json.RawMessage
		}
	}
	if err := json.Unmarshal(content, &list); err != nil {
		t.Fatal(err)
	}
	for _, entry := range list.Jobs {
		observer := &unreadableObserver{}
		leader := New(Options{
			Observer: observer,
		}, elector.Term{})
		leader.scheduler = scheduler.New(scheduler.Options{}, &describer.Config{})
		leader.records = persister.New(nil, nil, describer.Expectation{})
		items := []describer.Item{
			{
				Key:   entry.Key,
				Value: entry.Job,
			},
			{
				Key:   persister.CancelPrefix + "none",
				Value: []byte("odd"),
			},
		}
		leader.handleInbox(t.Context(), items, false)
		leader.restore(time.Now(), leader.records, nil, items)
		for _, id := range []describer.JobID{"a1", "a2", "a1.0", ""} {
			status, _ := leader.State(id)
			state := status.State
			if want := entry.Readable && id == "a1"; (state != describer.JobUnknown) != want {
				t.Errorf("%s: job %q is %s", entry.Name, id, state)
			}
		}
		if (len(observer.keys) == 0) != entry.Readable {
			t.Errorf("%s: unreadable entries %v", entry.Name, observer.keys)
		}
		announced := leader.Announce(entry.Job, "")
		if status, _ := leader.State("a1"); !announced || (status.State != describer.JobUnknown) != entry.Readable && entry.Name != "ID of another job" {
			t.Errorf("%s: announced job is %s", entry.Name, status.State)
		}
	}
}
