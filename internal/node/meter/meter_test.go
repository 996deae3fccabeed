package meter

import (
	"net/http/httptest"
	"testing"
	"time"
)

// TestPrint guards against values that are lost or counted twice and against buckets that are sorted by text
// instead of by bound.
func TestPrint(t *testing.T) {
	meter, stop := New(0)
	requests := meter.Scope.Tagged(map[string]string{"Lane": "Short", "Fate": "Done"})
	requests.Counter("Requests").Inc(2)
	requests.Counter("Requests").Inc(3)
	meter.Scope.SubScope("Slots").Gauge("Free").Update(2.5)
	for _, sample := range []time.Duration{time.Minute, 3 * time.Millisecond, 3 * time.Millisecond, time.Microsecond} {
		requests.Histogram("Wait", LatencyBuckets).RecordDuration(sample)
	}
	meter.Scope.Timer("Call").Record(500 * time.Millisecond)
	if err := stop(); err != nil {
		t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	meter.ServeHTTP(recorder, nil)
	want := `Call.Count 1
Call.Seconds 0.5
Requests{Fate="Done",Lane="Short"} 5
Slots.Free 2.5
Wait{Fate="Done",Lane="Short",UpTo="500µs"} 1
Wait{Fate="Done",Lane="Short",UpTo="4ms"} 2
Wait{Fate="Done",Lane="Short",UpTo="Inf"} 1
`
	if got := recorder.Body.String(); got != want {
		t.Errorf("got\n%swant\n%s", got, want)
	}
}
