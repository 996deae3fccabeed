package admitter

import (
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"slices"
	"testing"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/describer"
	"pomelomoor/internal/cell/persister"
	"pomelomoor/internal/cell/withdrawer"
	"pomelomoor/internal/work/descriptor"
)

var (
	northKey = describer.DigestKey("north key")
	southKey = describer.DigestKey("south key")
)

// newKeyConfig returns a configuration with two organisations, of which the first has a cap, and a public queue.
func newKeyConfig() *describer.Config {
	return &describer.Config{
		Queues: []describer.Queue{
			{
				Name:   "plain",
				Host:   "host",
				Prefix: "/plain/",
			},
			{
				Name:   "public",
				Host:   "host",
				Prefix: "/public/",
				Public: true,
			},
		},
		KeysRequired: true,
		Keys: map[describer.KeyDigest]string{
			northKey: "north",
			southKey: "south",
		},
		Organisations: []describer.Organisation{
			{
				Name:   "north",
				Weight: 1,
				Cap: descriptor.Resources{
					MilliCPU: 1000,
				},
			},
			{
				Name:   "south",
				Weight: 1,
			},
		},
	}
}

// outcomes are the errors that the cases of testdata/organisations.json name. Rejected stands for a RejectedError.
var outcomes = map[string]error{
	"UnknownKey": describer.ErrUnknownKey,
	"NoQueue":    describer.ErrNoQueue,
	"OtherJob":   describer.ErrOtherJob,
}

// organisationCases is the content of testdata/organisations.json.
type organisationCases struct {
	Routes []struct {
		Name, Path, Key, Organisation, Want              string
		Unconfirmed, FailClosed, Open, Condition, Public bool
	}
	Submissions []struct {
		Name, Organisation, StoredKey, Stored, Want string
		Tasks                                       int
		Gang                                        bool
	}
}

func readOrganisationCases(t *testing.T) (cases organisationCases) {
	t.Helper()
	document, err := os.ReadFile("testdata/organisations.json")
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(document, &cases); err != nil {
		t.Fatal(err)
	}
	return cases
}

// checkOutcome checks that err is the named outcome, and returns the rejection if it is one.
func checkOutcome(t *testing.T, name, want string, err error) *describer.RejectedError {
	t.Helper()
	var rejected *describer.RejectedError
	if isRejected := errors.As(err, &rejected); isRejected != (want == "Rejected") || !isRejected && !errors.Is(err, outcomes[want]) {
		t.Errorf("%s: error %v, want %q", name, err, want)
	}
	if rejected != nil && rejected.RetryAfter <= 0 {
		t.Errorf("%s: rejected without a retry delay", name)
	}
	return rejected
}

// TestRouteWithKeys guards against calls without a valid key that pass, against a valid key that is refused, and against a
// key that is refused for good while it may have been added.
func TestRouteWithKeys(t *testing.T) {
	for _, test := range readOrganisationCases(t).Routes {
		config := newKeyConfig()
		if test.Open {
			config.KeysRequired = false
		}
		admitter := newAdmitter(&fakeStore{
			config:      config,
			unconfirmed: test.Unconfirmed,
		}, true)
		admitter.options.FailClosed = func() bool {
			return test.FailClosed
		}
		call := describer.Call{
			Host: "host",
			Path: test.Path,
		}
		if test.Key != "" {
			call.Key, call.HasKey = describer.DigestKey(test.Key), true
		}
		route, err := admitter.Route(context.Background(), call)
		_ = checkOutcome(t, test.Name, test.Want, err)
		if route.Public != test.Public {
			t.Errorf("%s: public %v", test.Name, route.Public)
		}
		if route.Organisation != test.Organisation || (route.Condition != nil) != test.Condition {
			t.Errorf("%s: organisation %q, condition %v", test.Name, route.Organisation, route.Condition)
		}
	}
}

// ownedJobs are jobs of north in each form that the store has of a job: waiting, recorded and ended.
var ownedJobs = map[string]string{
	persister.JobPrefix + "waiting":    `{"Organisation":"north"}`,
	persister.JobPrefix + "running":    `{"Organisation":"north"}`,
	persister.RecordPrefix + "running": `{"State":2}`,
	persister.RecordPrefix + "ended":   `{"State":3,"Organisation":"north"}`,
	persister.JobPrefix + "former":     `{}`,
}

// routeOf returns the route of a call with a key of organisation, or if it is empty of a call to a public queue.
func routeOf(organisation string) describer.Route {
	return describer.Route{
		Queue: &describer.Queue{
			Name: "plain",
		},
		Organisation: organisation,
		Public:       organisation == "",
	}
}

// TestOtherOrganisationsJobs guards against callers, with another organisation's key or at a public queue, who learn the state
// of an organisation's job or cancel it, and against owners who do not. A job that was accepted before there were keys is open to all.
func TestOtherOrganisationsJobs(t *testing.T) {
	for _, id := range []describer.JobID{"waiting", "running", "ended", "former", "none"} {
		for _, organisation := range []string{"north", "south", ""} {
			store := &fakeStore{
				values: ownedJobs,
			}
			admitter := newAdmitter(store, true)
			hidden := id == "none" || organisation != "north" && id != "former"
			_, err := admitter.State(context.Background(), routeOf(organisation), id)
			if errors.Is(err, describer.ErrNoJob) != hidden || !hidden && err != nil {
				t.Errorf("state of %s for %q: %v", id, organisation, err)
			}
			err = admitter.Cancel(context.Background(), routeOf(organisation), id)
			if errors.Is(err, describer.ErrNoJob) != hidden || !hidden && err != nil {
				t.Errorf("cancellation of %s for %q: %v", id, organisation, err)
			}
			switch {
			case id == "none":
				checkWithdrawal(t, store, id, organisation)
			case hidden && store.commits > 0:
				t.Errorf("cancellation of %s for %q was stored", id, organisation)
			}
		}
	}
}

// checkWithdrawal checks that the one change of store is the withdrawal of an unknown job by organisation, and that it takes
// no effect on a job that there is.
func checkWithdrawal(t *testing.T, store *fakeStore, id describer.JobID, organisation string) {
	t.Helper()
	change := store.change
	if store.commits != 1 || len(change.Writes) != 1 || len(change.Remove) > 0 {
		t.Fatalf("cancellation of %s for %q: %d changes, the last one %+v", id, organisation, store.commits, change)
	}
	if got, want := change.Writes[0].Key, withdrawer.Key(id, organisation); got != want {
		t.Errorf("cancellation of %s for %q is stored under %s, want %s", id, organisation, got, want)
	}
	for _, prefix := range []string{persister.JobPrefix, persister.RecordPrefix} {
		if !slices.Contains(change.Expect, describer.Expectation{
			Key: prefix + string(id),
		}) {
			t.Errorf("cancellation of %s for %q does not expect that nothing is under %s", id, organisation, prefix)
		}
	}
}

// endingStore is a store in which a job of north ends after its record was read first.
type endingStore struct {
	fakeStore

	reads int
}

func (endingStore *endingStore) Read(ctx context.Context, key string) (describer.Item, error) {
	endingStore.reads++
	if endingStore.reads == 2 {
		endingStore.values = map[string]string{
			persister.RecordPrefix + "a": `{"State":3,"Organisation":"north"}`,
		}
	}
	return endingStore.fakeStore.Read(ctx, key)
}

// TestStateOfEndingJob guards against a job that counts as one without an owner, or as unknown, since it ended between the
// reads of its record and of its description.
func TestStateOfEndingJob(t *testing.T) {
	for _, record := range []string{"", `{"State":2}`} {
		for organisation, want := range map[string]error{
			"north": nil,
			"south": describer.ErrNoJob,
		} {
			store := &endingStore{
				fakeStore: fakeStore{
					values: map[string]string{
						persister.JobPrefix + "a": `{"Organisation":"north"}`,
					},
				},
			}
			if record != "" {
				store.values[persister.RecordPrefix+"a"] = record
			}
			admitter := newAdmitter(&store.fakeStore, true)
			admitter.options.Store = store
			state, err := admitter.State(context.Background(), routeOf(organisation), "a")
			if !errors.Is(err, want) || want == nil && state != describer.JobCompleted {
				t.Errorf("record %s, %s: state %s, error %v, want %v", record, organisation, state, err, want)
			}
		}
	}
}

// TestStateFromLeader guards against a leader's answer that is passed on to callers of another organisation.
func TestStateFromLeader(t *testing.T) {
	for organisation, want := range map[string]error{
		"north": nil,
		"south": describer.ErrNoJob,
		"":      describer.ErrNoJob,
	} {
		admitter := newAdmitter(&fakeStore{}, true)
		admitter.options.Leader = func() netip.AddrPort {
			return netip.MustParseAddrPort("10.0.0.1:1")
		}
		admitter.options.State = func(context.Context, netip.AddrPort, describer.JobID) (describer.JobStatus, error) {
			return describer.JobStatus{
				State:        describer.JobRunning,
				Organisation: "north",
			}, nil
		}
		if _, err := admitter.State(context.Background(), routeOf(organisation), "a"); !errors.Is(err, want) {
			t.Errorf("%s: error %v, want %v", organisation, err, want)
		}
	}
}

// TestSubmitWithOrganisation guards against a job that is stored without its organisation, against 200 for a submission with
// the ID of another organisation's job, and against a gang that is stored although its cap never leaves room for it.
func TestSubmitWithOrganisation(t *testing.T) {
	for _, test := range readOrganisationCases(t).Submissions {
		store := &fakeStore{
			config: newKeyConfig(),
		}
		if test.Stored != "" {
			store.commitErr = &describer.ConflictError{
				Items: []describer.Item{{
					Key:      test.StoredKey,
					Value:    []byte(test.Stored),
					Revision: 3,
				}},
			}
		}
		admitter := newAdmitter(store, true)
		admitter.options.CapOverage = func() float64 {
			return 0.1
		}
		job := &describer.Job{
			ID: "a",
			Steps: []describer.Step{{
				Count: test.Tasks,
				Gang:  test.Gang,
				Needs: descriptor.Resources{
					MilliCPU: 100,
				},
			}},
		}
		rejected := checkOutcome(t, test.Name, test.Want, admitter.Submit(context.Background(), routeOf(test.Organisation), job))
		if rejected != nil && (!rejected.Overload || store.commits > 0) {
			t.Errorf("%s: rejected with %+v after %d commits", test.Name, rejected, store.commits)
		}
		if rejected == nil && ownerOf(store.change.Writes[0].Value) != test.Organisation {
			t.Errorf("%s: stored as %s", test.Name, store.change.Writes[0].Value)
		}
	}
}

// TestConditionalCancellation guards against a cancellation with a key that may have been removed.
func TestConditionalCancellation(t *testing.T) {
	store := &fakeStore{
		values: ownedJobs,
	}
	route := routeOf("north")
	route.Condition = &describer.Expectation{
		Key:      configKey,
		Revision: 7,
	}
	if err := newAdmitter(store, true).Cancel(context.Background(), route, "waiting"); err != nil {
		t.Fatal(err)
	}
	if last := store.change.Expect[len(store.change.Expect)-1]; last != *route.Condition {
		t.Errorf("stored on the condition %v, want %v", last, *route.Condition)
	}
	store.commitErr = &describer.ConflictError{
		Items: []describer.Item{{
			Key:      persister.JobPrefix + "waiting",
			Revision: 1,
		}},
	}
	var rejected *describer.RejectedError
	if err := newAdmitter(store, true).Cancel(context.Background(), route, "waiting"); !errors.As(err, &rejected) {
		t.Errorf("cancellation by a replaced configuration: %v", err)
	}
}
