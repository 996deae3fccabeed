package keeper_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/gateway/lister"
	"pomelomoor/internal/gateway/storer"
	"pomelomoor/internal/standin/keeper"
	"pomelomoor/internal/work/descriptor"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func start(t *testing.T) (*keeper.Keeper, *storer.Client) {
	t.Helper()
	started, stop, err := keeper.Start(keeper.Options{
		Address: loopback,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	client, closeIdle, err := storer.New([]netip.AddrPort{started.Address()}, storer.Options{
		Timeout: 10 * time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closeIdle)
	return started, client
}

// TestCompareAndSwap guards against two writers that both believe they wrote the same version,
// and against versions that start again after a delete.
func TestCompareAndSwap(t *testing.T) {
	_, client := start(t)
	ctx := t.Context()
	var group sync.WaitGroup
	results := make([]error, 16)
	for index := range results {
		group.Go(func() {
			_, results[index] = client.Put(ctx, "key", []byte{byte(index)}, 0, 0)
		})
	}
	group.Wait()
	winners := 0
	for _, err := range results {
		switch {
		case err == nil:
			winners++
		case !errors.Is(err, storer.ErrConflict):
			t.Errorf("a losing write: %v", err)
		}
	}
	entry, err := client.Get(ctx, "key")
	if winners != 1 || err != nil || results[entry.Value[0]] != nil {
		t.Fatalf("%d winners, stored %v, %v", winners, entry, err)
	}
	if err := client.Delete(ctx, "key", entry.Version); err != nil {
		t.Fatal(err)
	}
	version, err := client.Put(ctx, "key", nil, 0, 0)
	if err != nil || version <= entry.Version {
		t.Errorf("created again: version %d after %d, %v", version, entry.Version, err)
	}
	if _, err := client.Put(ctx, "key", make([]byte, storer.MaxValueBytes+1), version, 0); !errors.Is(err, storer.ErrTooLarge) {
		t.Errorf("oversized value: %v", err)
	}
	if _, err := client.Put(ctx, "key", make([]byte, storer.MaxValueBytes), version, 0); err != nil {
		t.Errorf("value of the largest size: %v", err)
	}
}

// TestErrors guards against a lost answer that looks like a refused write, and the reverse.
func TestErrors(t *testing.T) {
	started, client := start(t)
	ctx := t.Context()
	started.SetFaults(keeper.Faults{
		LoseAnswers: 1,
	})
	if _, err := client.Put(ctx, "key", []byte("value"), 0, 0); !errors.Is(err, storer.ErrUncertain) {
		t.Errorf("lost answer: %v", err)
	}
	entry, err := client.Get(ctx, "key")
	if err != nil || string(entry.Value) != "value" {
		t.Errorf("the write whose answer was lost: %v, %v", entry, err)
	}
	watched := make(chan error)
	go func() {
		_, err := client.Watch(ctx, "key", entry.Version)
		watched <- err
	}()
	started.SetFaults(keeper.Faults{
		Down: true,
	})
	if err := <-watched; !errors.Is(err, storer.ErrUnavailable) {
		t.Errorf("watch on a store that goes down: %v", err)
	}
	if _, err := client.Put(ctx, "other", nil, 0, 0); !errors.Is(err, storer.ErrUnavailable) {
		t.Errorf("write on a store that is down: %v", err)
	}
	started.SetFaults(keeper.Faults{
		Slow: descriptor.Duration{
			Duration: time.Hour,
		},
	})
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	if _, err := client.Put(short, "other", nil, 0, 0); !errors.Is(err, storer.ErrUncertain) {
		t.Errorf("write on a store that does not answer in time: %v", err)
	}
	counts := started.Counts()
	if counts.Calls["Put"] != 3 || counts.Calls["Watch"] != 1 || counts.BytesReceived == 0 || client.Counts().Put != 3 {
		t.Errorf("counts %+v, client %+v", counts, client.Counts())
	}
}

// TestFailover guards against writes that are refused, or sent twice, when one address is dead.
func TestFailover(t *testing.T) {
	started, _ := start(t)
	dead, stop, err := keeper.Start(keeper.Options{
		Address: loopback,
	})
	if err != nil {
		t.Fatal(err)
	}
	stop()
	addresses := []netip.AddrPort{dead.Address(), started.Address()}
	client, closeIdle, err := storer.New(addresses, storer.Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer closeIdle()
	if _, err := client.Put(t.Context(), "key", nil, 0, 0); err != nil {
		t.Errorf("second address: %v", err)
	}
	only, closeIdle, err := storer.New(addresses[:1], storer.Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer closeIdle()
	if _, err := only.Put(t.Context(), "key", nil, 0, 0); !errors.Is(err, storer.ErrUnavailable) {
		t.Errorf("refused connection: %v", err)
	}
}

// caller calls a keeper without a network, so that synctest can control the time.
func caller(t *testing.T, keeper *keeper.Keeper) func(kind storer.Operation, call storer.Request) storer.Response {
	handler := keeper.Handler()
	return func(kind storer.Operation, call storer.Request) storer.Response {
		t.Helper()
		body, _ := json.Marshal(call)
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, storer.Path+string(kind), bytes.NewReader(body)))
		var answer storer.Response
		if err := json.Unmarshal(recorder.Body.Bytes(), &answer); err != nil {
			t.Fatal(err)
		}
		return answer
	}
}

// TestLease guards against an owner key that outlives its lease, during an outage too,
// and one that vanishes although it is renewed.
func TestLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kept := keeper.New(keeper.Options{})
		call := caller(t, kept)
		lease := call(storer.OperationGrant, storer.Request{
			TTL: 4 * time.Second,
		}).Lease
		version := call(storer.OperationPut, storer.Request{
			Key:   "owner",
			Lease: lease,
		}).Version
		renewal := storer.Request{
			Lease: lease,
		}
		watch := storer.Request{
			Key:     "owner",
			Version: version,
		}
		for range 9 {
			<-time.After(3 * time.Second)
			if answer := call(storer.OperationRenew, renewal); answer.Error != "" {
				t.Fatalf("renewal in time: %s", answer.Error)
			}
		}
		began := time.Now()
		if answer := call(storer.OperationWatch, watch); answer.Version != 0 || time.Since(began) != 4*time.Second {
			t.Errorf("watch ended with %+v after %v", answer, time.Since(began))
		}
		if answer := call(storer.OperationRenew, renewal); answer.Error != "LeaseExpired" {
			t.Errorf("renewal of an expired lease: %+v", answer)
		}
		if answer := call(storer.OperationPut, storer.Request{Key: "owner", Lease: lease}); answer.Error != "LeaseExpired" {
			t.Errorf("write under an expired lease: %+v", answer)
		}
		began = time.Now()
		if answer := call(storer.OperationWatch, storer.Request{Key: "owner"}); answer.Version != 0 || time.Since(began) != 25*time.Second {
			t.Errorf("idle watch ended with %+v after %v", answer, time.Since(began))
		}
	})
}

// TestInstanceList guards against a list that shows changes before or long after its lag,
// keeps dead instances, or is sent again unchanged.
func TestInstanceList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		handler := keeper.New(keeper.Options{
			Faults: keeper.Faults{
				Lag: descriptor.Duration{
					Duration: 2 * time.Second,
				},
			},
		}).Handler()
		send := func(method, path, validator string, body any) *httptest.ResponseRecorder {
			document, _ := json.Marshal(body)
			request := httptest.NewRequest(method, path, bytes.NewReader(document))
			request.Header.Set("If-None-Match", validator)
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, request)
			return recorder
		}
		expect := func(validator, want string) string {
			t.Helper()
			answer := send(http.MethodGet, "/v1/instances", validator, nil)
			var instances []lister.Instance
			_ = json.Unmarshal(answer.Body.Bytes(), &instances)
			got := ""
			for _, instance := range instances {
				got += instance.ID + string(instance.State) + " "
			}
			if got != want {
				t.Errorf("at %v: list %q, want %q", time.Now(), got, want)
			}
			return answer.Header().Get("ETag")
		}
		announce := func(state lister.State) {
			send(http.MethodPut, "/v1/instances/a", "", lister.Instance{
				State: state,
			})
		}
		announce(lister.StateLive)
		validator := expect("", "")
		<-time.After(2 * time.Second)
		announce(lister.StateLeaving)
		validator = expect(validator, "aLive ")
		expect(validator, "")
		<-time.After(2 * time.Second)
		validator = expect(validator, "aLeaving ")
		<-time.After(4 * time.Second)
		expect(validator, "")
		expect("", "aLeaving ")
		<-time.After(time.Second)
		expect("", "")
	})
}
