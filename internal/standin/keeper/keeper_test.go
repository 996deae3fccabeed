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

// TestCompareAndSwap guards against two concurrent writes that both succeed against the same version, and
// against versions that are reused after a delete.
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
			t.Errorf("write that lost the race: %v, want a conflict", err)
		}
	}
	entry, err := client.Get(ctx, "key")
	if winners != 1 || err != nil || results[entry.Value[0]] != nil {
		t.Fatalf("%d writes succeeded, want 1; stored %v, %v", winners, entry, err)
	}
	if err := client.Delete(ctx, "key", entry.Version); err != nil {
		t.Fatal(err)
	}
	version, err := client.Put(ctx, "key", nil, 0, 0)
	if err != nil || version <= entry.Version {
		t.Errorf("key created again: version %d, want more than %d; %v", version, entry.Version, err)
	}
	if _, err := client.Put(ctx, "key", make([]byte, storer.MaxValueBytes+1), version, 0); !errors.Is(err, storer.ErrTooLarge) {
		t.Errorf("value above the maximum size: %v", err)
	}
	if _, err := client.Put(ctx, "key", make([]byte, storer.MaxValueBytes), version, 0); err != nil {
		t.Errorf("value of the maximum size: %v", err)
	}
}

// TestErrors guards against a lost response that is reported as a refused write, and against a refused write
// that is reported as uncertain.
func TestErrors(t *testing.T) {
	started, client := start(t)
	ctx := t.Context()
	started.SetFaults(keeper.Faults{
		LoseAnswers: 1,
	})
	if _, err := client.Put(ctx, "key", []byte("value"), 0, 0); !errors.Is(err, storer.ErrUncertain) {
		t.Errorf("write whose response was lost: %v", err)
	}
	entry, err := client.Get(ctx, "key")
	if err != nil || string(entry.Value) != "value" {
		t.Errorf("value after the write whose response was lost: %v, %v", entry, err)
	}
	watchErrors := make(chan error)
	go func() {
		_, err := client.Watch(ctx, "key", entry.Version)
		watchErrors <- err
	}()
	started.SetFaults(keeper.Faults{
		Down: true,
	})
	if err := <-watchErrors; !errors.Is(err, storer.ErrUnavailable) {
		t.Errorf("watch while the store goes down: %v", err)
	}
	if _, err := client.Put(ctx, "other", nil, 0, 0); !errors.Is(err, storer.ErrUnavailable) {
		t.Errorf("write while the store is down: %v", err)
	}
	started.SetFaults(keeper.Faults{
		Slow: descriptor.Duration{
			Duration: time.Hour,
		},
	})
	shortCtx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	if _, err := client.Put(shortCtx, "other", nil, 0, 0); !errors.Is(err, storer.ErrUncertain) {
		t.Errorf("write with a timeout: %v", err)
	}
	counts := started.Counts()
	if counts.Calls["Put"] != 3 || counts.Calls["Watch"] != 1 || counts.BytesReceived == 0 || client.Counts().Put != 3 {
		t.Errorf("call counts: keeper %+v, client %+v", counts, client.Counts())
	}
}

// TestFailover guards against writes that fail, or are sent twice, because one of several addresses refuses
// connections. A second copy of the write would conflict with the first.
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
		t.Errorf("write with one reachable address: %v", err)
	}
	deadClient, closeIdle, err := storer.New(addresses[:1], storer.Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer closeIdle()
	if _, err := deadClient.Put(t.Context(), "key", nil, 0, 0); !errors.Is(err, storer.ErrUnavailable) {
		t.Errorf("write with no reachable address: %v", err)
	}
}

// newCaller returns a function that calls the keeper's handler without a network, as synctest requires.
func newCaller(t *testing.T, keeper *keeper.Keeper) func(kind storer.Operation, call storer.Request) storer.Response {
	handler := keeper.Handler()
	return func(kind storer.Operation, call storer.Request) storer.Response {
		t.Helper()
		body, _ := json.Marshal(call)
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, storer.Path+string(kind), bytes.NewReader(body)))
		var response storer.Response
		if err := json.Unmarshal(recorder.Body.Bytes(), &response); err != nil {
			t.Fatal(err)
		}
		return response
	}
}

// TestLease guards against a key that outlives its lease, and against one that is removed although its lease
// was renewed.
func TestLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := keeper.New(keeper.Options{})
		call := newCaller(t, store)
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
			if response := call(storer.OperationRenew, renewal); response.Error != "" {
				t.Fatalf("renewal before expiry: %s", response.Error)
			}
		}
		began := time.Now()
		if response := call(storer.OperationWatch, watch); response.Version != 0 || time.Since(began) != 4*time.Second {
			t.Errorf("watch of a key with a lease ended with %+v after %v, want its removal after 4 s", response, time.Since(began))
		}
		if response := call(storer.OperationRenew, renewal); response.Error != "LeaseExpired" {
			t.Errorf("renewal of an expired lease: %+v", response)
		}
		if response := call(storer.OperationPut, storer.Request{Key: "owner", Lease: lease}); response.Error != "LeaseExpired" {
			t.Errorf("write under an expired lease: %+v", response)
		}
		began = time.Now()
		if response := call(storer.OperationWatch, storer.Request{Key: "owner"}); response.Version != 0 || time.Since(began) != 25*time.Second {
			t.Errorf("watch without a change ended with %+v after %v, want 25 s", response, time.Since(began))
		}
	})
}

// TestInstanceList guards against changes that become visible before or long after the lag, instances that stay
// listed without heartbeats, and an unchanged list that is sent again.
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
		expectList := func(validator, want string) string {
			t.Helper()
			response := send(http.MethodGet, "/v1/instances", validator, nil)
			var instances []lister.Instance
			_ = json.Unmarshal(response.Body.Bytes(), &instances)
			got := ""
			for _, instance := range instances {
				got += instance.ID + string(instance.State) + " "
			}
			if got != want {
				t.Errorf("at %v: list %q, want %q", time.Now(), got, want)
			}
			return response.Header().Get("ETag")
		}
		announce := func(state lister.State) {
			send(http.MethodPut, "/v1/instances/a", "", lister.Instance{
				State: state,
			})
		}
		announce(lister.StateLive)
		validator := expectList("", "")
		<-time.After(2 * time.Second)
		announce(lister.StateLeaving)
		validator = expectList(validator, "aLive ")
		expectList(validator, "")
		<-time.After(2 * time.Second)
		validator = expectList(validator, "aLeaving ")
		<-time.After(4 * time.Second)
		expectList(validator, "")
		expectList("", "aLeaving ")
		<-time.After(time.Second)
		expectList("", "")
	})
}
