package presenter

import (
	"encoding/json"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"
)

// FuzzParseJob guards against panics and against jobs that change when they are encoded and parsed again.
func FuzzParseJob(f *testing.F) {
	f.Add([]byte(`{"Name": "a", "Caller": "b", "Team": "c", "Kind": "Batch", "Task": {"MilliCPU": 1}, "Labels": {"A": "b"},
		"RunTime": "1m", "Deadline": "2026-12-04T00:00:00Z", "Where": "Rack in (a,b)", "Payload": "\u0000"}`))
	f.Add([]byte(`{"Kind": null, "Tasks": 1e9, "Labels": [], "Deadline": "9999-99-99", "Where": "((", "Task": {"MilliCPU": -1}}`))
	f.Fuzz(func(t *testing.T, document []byte) {
		job, err := ParseJob(document)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(job)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := ParseJob(encoded)
		if err != nil {
			t.Fatalf("%s: %v", encoded, err)
		}
		reencoded, _ := json.Marshal(decoded)
		if string(reencoded) != string(encoded) {
			t.Errorf("got %s, want %s", reencoded, encoded)
		}
	})
}

// FuzzParseHeader guards against panics and against values that are accepted although they exceed their limits.
func FuzzParseHeader(f *testing.F) {
	f.Add("lookup", "foreman", "800ms", "2026-12-04T00:00:00Z", "true", "Kind=Lookup, Yard=a")
	f.Add("", "a b", "-1s", "tomorrow", "maybe", "=,A=,A=b,A=c")
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	f.Fuzz(func(t *testing.T, service, caller, timeout, deadline, idempotent, labels string) {
		request := Request{
			Service: service,
		}
		header := http.Header{}
		header.Set(HeaderCaller, caller)
		header.Set(HeaderTimeout, timeout)
		header.Set(HeaderDeadline, deadline)
		header.Set(HeaderIdempotent, idempotent)
		if labels != "" {
			header.Set(HeaderLabels, labels)
		}
		if request.ParseHeader(header, now) != nil {
			return
		}
		if request.Deadline.After(now.Add(MaxTimeout)) || request.Caller == "" || len(request.Labels) > strings.Count(labels, "=") {
			t.Errorf("accepted %+v", request)
		}
		if request.Idempotent && !reflect.DeepEqual(header[HeaderIdempotent], []string{idempotent}) {
			t.Errorf("idempotent without a header that says so: %q", idempotent)
		}
	})
}
