package cell_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"pomelomoor/platform/standin"
)

// Keys of the tests. Their texts are found nowhere else.
const (
	northKey   = "planted-north-5f1c0e"
	southKey   = "planted-south-93ab77"
	addedKey   = "planted-added-d2e846"
	unknownKey = "planted-unknown-b01734"
)

var publicQueue = standin.Queue{
	Name:        "public",
	Prefix:      "/public/",
	MaxAttempts: 3,
	Public:      true,
}

// northAndSouth returns two tenants with one key each.
func northAndSouth() []standin.Tenant {
	return []standin.Tenant{
		{
			Name: "north",
			Keys: []string{northKey},
		},
		{
			Name:   "south",
			Keys:   []string{southKey},
			Weight: 2,
		},
	}
}

// longKey returns a key of 10,000 bytes.
func longKey() string {
	return strings.Repeat(unknownKey, 10_000)[:10_000]
}

// checkNoKeys guards against a key that a log, the metrics or an entry of the store other than the configuration holds.
func (cell *cell) checkNoKeys() {
	cell.t.Helper()
	check := func(place string, content []byte) {
		if bytes.Contains(content, []byte("planted-")) {
			cell.t.Errorf("%s holds a key", place)
		}
	}
	for _, instance := range cell.instances {
		log, err := os.ReadFile(instance.log)
		if err != nil {
			cell.t.Fatal(err)
		}
		if len(log) == 0 {
			cell.t.Errorf("instance %d has logged nothing", instance.index)
		}
		check(instance.log, log)
		check("the metrics", instance.metrics())
	}
	for key, value := range cell.site.Store.Written() {
		if key == "op/config" {
			continue
		}
		check(key, append([]byte(key), value...))
	}
}

// metrics returns the metrics of an instance once it has reported some.
func (instance *instance) metrics() (metrics []byte) {
	instance.cell.t.Helper()
	instance.cell.await(startTimeout, fmt.Sprintf("metrics of instance %d", instance.index), func() bool {
		response, err := instance.cell.client.Get("http://" + instance.cell.site.Metrics(instance.index).String() + "/metrics")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		metrics, err = io.ReadAll(response.Body)
		return err == nil && len(metrics) > 0
	})
	return metrics
}

// TestKeys guards against calls without a valid key that are served, against a key that a log or an entry of the store
// holds, and against a public queue that asks for one.
func TestKeys(t *testing.T) {
	cell := newTenantCell(t, 3, 2, northAndSouth(), plainQueue, publicQueue)
	cell.awaitServed(publicQueue)
	work := standin.Work{
		Milliseconds: 20,
		MilliCPU:     500,
	}
	headers := []struct {
		name           string
		authorizations []string
		valid          bool
	}{
		{"key", []string{"Bearer " + northKey}, true},
		{"key, scheme in lower case", []string{"bearer " + northKey}, true},
		{"no key", nil, false},
		{"unknown key", []string{"Bearer " + unknownKey}, false},
		{"empty key", []string{"Bearer "}, false},
		{"other scheme", []string{"Basic " + northKey}, false},
		{"no scheme", []string{northKey}, false},
		{"two headers", []string{"Bearer " + northKey, "Bearer " + southKey}, false},
		{"one header twice", []string{"Bearer " + northKey, "Bearer " + northKey}, false},
		{"key of 10,000 bytes", []string{"Bearer " + longKey()}, false},
		{"beginning of a key", []string{"Bearer " + northKey[:len(northKey)-1]}, false},
	}
	calls := []struct {
		method, path string
		body         any
		want         int
	}{
		{http.MethodPost, "/plain/00000000000000a1", job(1, work, false), http.StatusOK},
		{http.MethodGet, "/plain/00000000000000a1", nil, http.StatusOK},
		{http.MethodGet, "/plain/", nil, http.StatusOK},
		{http.MethodDelete, "/plain/00000000000000a1", nil, http.StatusOK},
		{http.MethodPost, "/plain/", "no job", http.StatusBadRequest},
		{http.MethodGet, "/none/", nil, http.StatusNotFound},
	}
	for index, header := range headers {
		for _, call := range calls {
			want := call.want
			if !header.valid && want != http.StatusNotFound {
				want = http.StatusUnauthorized
			}
			answer := cell.callWith(call.method, index%3, call.path, call.body, header.authorizations...)
			if answer.status != want {
				t.Errorf("%s: %s %s: status %d (%s), want %d", header.name, call.method, call.path, answer.status, answer.body, want)
			}
			challenge := answer.header.Get("WWW-Authenticate")
			if (challenge == "Bearer") != (want == http.StatusUnauthorized) {
				t.Errorf("%s: %s %s: WWW-Authenticate %q", header.name, call.method, call.path, challenge)
			}
		}
		answer := cell.callWith(http.MethodPost, index%3, "/public/00000000000000b1", job(1, work, false), header.authorizations...)
		if answer.status != http.StatusOK {
			t.Errorf("%s: status %d at a public queue", header.name, answer.status)
		}
	}
	cell.awaitState("/public/00000000000000b1", "completed")
	cell.checkNoKeys()
	cell.checkViolations()
}

// TestKeyChange guards against keys that come into force or go out of force late, or on some instances only: the store turns
// one instance away, or its watch is silent, as a version adds one key and takes all those of an organisation away.
func TestKeyChange(t *testing.T) {
	cases := []struct {
		name   string
		inject func(instance *instance)
	}{
		{
			name:   "all in touch",
			inject: func(*instance) {},
		},
		{
			name: "one instance reaches the store through others",
			inject: func(instance *instance) {
				instance.gate.SetFault(onCalls(standin.FaultRefused, ""))
			},
		},
		{
			name: "one instance cut from the store",
			inject: func(instance *instance) {
				instance.store.Cut()
			},
		},
		{
			name: "watches of one instance silent",
			inject: func(instance *instance) {
				instance.gate.SetFault(onCalls(standin.FaultDropped, standin.CallWatch))
			},
		},
	}
	probes := []probe{
		{
			path: plainQueue.Prefix,
			key:  addedKey,
			want: http.StatusOK,
		},
		{
			path: plainQueue.Prefix,
			key:  northKey,
			want: http.StatusUnauthorized,
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			cell := newTenantCell(t, 3, 1, northAndSouth(), plainQueue, publicQueue)
			cell.awaitServed(publicQueue)
			for _, instance := range cell.instances {
				for key, want := range map[string]int{
					northKey: http.StatusOK,
					southKey: http.StatusOK,
					addedKey: http.StatusUnauthorized,
				} {
					if status := cell.callWithKey(key, http.MethodGet, instance.index, plainQueue.Prefix, nil).status; status != want {
						t.Errorf("instance %d: status %d before the change, want %d", instance.index, status, want)
					}
				}
			}
			test.inject(cell.follower())
			tenants := northAndSouth()
			tenants[0].Keys = nil
			tenants[1].Keys = append(tenants[1].Keys, addedKey)
			cell.site.SetTenants(tenants...)
			if err := cell.site.Configure(plainQueue, publicQueue); err != nil {
				t.Fatal(err)
			}
			acknowledged := time.Now()
			var callers sync.WaitGroup
			for _, instance := range cell.instances {
				callers.Go(func() {
					cell.checkConfig(instance.index, acknowledged, probes)
				})
			}
			callers.Wait()
			for _, instance := range cell.instances {
				if status := cell.callWithKey(southKey, http.MethodGet, instance.index, plainQueue.Prefix, nil).status; status != http.StatusOK {
					t.Errorf("instance %d: status %d for a key that stayed", instance.index, status)
				}
			}
			if logged := cell.logged("OrganisationChanged"); logged != len(tenants)*len(cell.instances) {
				t.Errorf("%d lines about changes of organisations, want one for each at each instance", logged)
			}
			cell.checkNoKeys()
		})
	}
}

// TestInvalidTenants guards against a version with a key of two tenants that takes the place of the one in force, and whose
// error tells the key.
func TestInvalidTenants(t *testing.T) {
	cell := newTenantCell(t, 2, 1, northAndSouth(), plainQueue, publicQueue)
	cell.awaitServed(publicQueue)
	tenants := northAndSouth()
	tenants[0].Keys = []string{southKey}
	cell.site.SetTenants(tenants...)
	if err := cell.site.Configure(plainQueue, publicQueue); err != nil {
		t.Fatal(err)
	}
	cell.await(configApplyTime, "the configuration to be refused", func() bool {
		return cell.logged("EntryUnreadable") > 0
	})
	for _, instance := range cell.instances {
		for _, key := range []string{northKey, southKey} {
			if status := cell.callWithKey(key, http.MethodGet, instance.index, plainQueue.Prefix, nil).status; status != http.StatusOK {
				t.Errorf("instance %d: status %d, want 200", instance.index, status)
			}
		}
	}
	cell.checkNoKeys()
}

// TestOtherOrganisationsJobs guards against callers, with another organisation's key or at a public queue, who learn the state
// of an organisation's job, cancel it or take its ID, while it runs and after it has ended.
func TestOtherOrganisationsJobs(t *testing.T) {
	cell := newTenantCell(t, 3, 2, northAndSouth(), plainQueue, publicQueue)
	cell.awaitServed(publicQueue)
	work := standin.Work{
		Milliseconds: 60_000,
		MilliCPU:     500,
	}
	const id = "00000000000000c1"
	if answer := cell.callWithKey(northKey, http.MethodPost, 0, "/plain/"+id, job(1, work, false)); answer.status != http.StatusOK {
		t.Fatalf("submission: status %d (%s)", answer.status, answer.body)
	}
	checkHidden := func(when string) {
		for _, instance := range cell.instances {
			for _, call := range []struct {
				method string
				want   int
			}{
				{http.MethodGet, http.StatusGone},
				{http.MethodDelete, http.StatusGone},
				{http.MethodPost, http.StatusConflict},
			} {
				var body any
				if call.method == http.MethodPost {
					body = job(1, work, false)
				}
				if answer := cell.callWithKey(southKey, call.method, instance.index, "/plain/"+id, body); answer.status != call.want {
					t.Errorf("%s of another organisation's job %s: status %d (%s), want %d", call.method, when, answer.status, answer.body, call.want)
				}
				if answer := cell.callWithKey("", call.method, instance.index, "/public/"+id, body); answer.status != call.want {
					t.Errorf("%s of an organisation's job at a public queue %s: status %d (%s), want %d", call.method, when, answer.status, answer.body, call.want)
				}
			}
		}
	}
	cell.awaitStateWithKey(northKey, "/plain/"+id, "running")
	checkHidden("that runs")
	cell.awaitStateWithKey(northKey, "/plain/"+id, "running")
	if answer := cell.callWithKey(northKey, http.MethodDelete, 1, "/plain/"+id, nil); answer.status != http.StatusOK {
		t.Errorf("cancellation: status %d", answer.status)
	}
	cell.awaitStateWithKey(northKey, "/plain/"+id, "cancelled")
	checkHidden("that has ended")
	if starts := cell.site.RunRecorder.Starts(); starts != 1 {
		t.Errorf("%d runs started, want 1", starts)
	}
	cell.checkNoKeys()
	cell.checkViolations()
}
