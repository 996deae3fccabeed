package relayer

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/describer"
)

type fakeStore struct {
	describer.Store

	err   error
	calls int
}

func (fakeStore *fakeStore) Commit(context.Context, describer.Change) (describer.Revision, error) {
	fakeStore.calls++
	return 1, fakeStore.err
}

type fakePeer struct {
	errs  []error
	calls int
}

func (fakePeer *fakePeer) Read(context.Context, netip.AddrPort, string) (describer.Item, error) {
	return describer.Item{}, describer.ErrNoEffect
}

func (fakePeer *fakePeer) Commit(context.Context, netip.AddrPort, describer.Change) (describer.Revision, error) {
	err := fakePeer.errs[fakePeer.calls]
	fakePeer.calls++
	return 1, err
}

// TestCommit guards against a change that is reported as not made although it may have been made, and against an
// instance that rejects calls although other instances reach the store.
func TestCommit(t *testing.T) {
	conflict := &describer.ConflictError{}
	tests := []struct {
		name        string
		directErr   error
		unreachable bool
		peerErrs    []error
		want        error
		// calls are the numbers of direct calls and of calls at peers.
		calls [2]int
	}{
		{"direct", nil, false, nil, nil, [2]int{1, 0}},
		{"conflict", conflict, false, nil, conflict, [2]int{1, 0}},
		{"refused, relayed", describer.ErrNoEffect, false, []error{nil}, nil, [2]int{1, 1}},
		{"unreachable, relayed at once", nil, true, []error{nil}, nil, [2]int{0, 1}},
		{"unreachable, second peer", nil, true, []error{describer.ErrNoEffect, nil}, nil, [2]int{0, 2}},
		{"unreachable for all", nil, true, []error{describer.ErrNoEffect, describer.ErrNoEffect}, describer.ErrNoEffect, [2]int{0, 2}},
		{"uncertain at a peer", nil, true, []error{describer.ErrUncertain, describer.ErrNoEffect}, describer.ErrUncertain, [2]int{0, 2}},
		{"uncertain at first", describer.ErrUncertain, false, []error{describer.ErrNoEffect, describer.ErrNoEffect}, describer.ErrUncertain, [2]int{1, 2}},
	}
	for _, test := range tests {
		store := &fakeStore{
			err: test.directErr,
		}
		peers := &fakePeer{
			errs: test.peerErrs,
		}
		relayer := &Relayer{
			Direct: store,
			Peer:   peers,
			Peers: func() []netip.AddrPort {
				return make([]netip.AddrPort, len(test.peerErrs))
			},
		}
		if !test.unreachable {
			relayer.RecordOutcome(nil)
		}
		_, err := relayer.Commit(context.Background(), describer.Change{})
		if !errors.Is(err, test.want) {
			t.Errorf("%s: error %v, want %v", test.name, err, test.want)
		}
		if got := [2]int{store.calls, peers.calls}; got != test.calls {
			t.Errorf("%s: calls %v, want %v", test.name, got, test.calls)
		}
	}
}

// TestReachabilityChange guards against reporting the store as unreachable when its first answer after an outage is an error
// of its own, such as a missing key.
func TestReachabilityChange(t *testing.T) {
	var reported []error
	relayer := &Relayer{
		OnReachabilityChange: func(err error) {
			reported = append(reported, err)
		},
	}
	relayer.RecordOutcome(describer.ErrNoEffect)
	relayer.RecordOutcome(describer.ErrUncertain)
	relayer.RecordOutcome(describer.ErrNotFound)
	relayer.RecordOutcome(nil)
	if len(reported) != 2 || !errors.Is(reported[0], describer.ErrNoEffect) || reported[1] != nil {
		t.Errorf("reported %v, want one outage and one recovery", reported)
	}
}

// readPeer answers reads by the port of the address.
type readPeer struct {
	Peer

	errs map[uint16]error
}

func (readPeer readPeer) Read(ctx context.Context, address netip.AddrPort, key string) (describer.Item, error) {
	err, answers := readPeer.errs[address.Port()]
	if !answers {
		<-ctx.Done()
		return describer.Item{}, describer.ErrUncertain
	}
	return describer.Item{
		Key:      key,
		Revision: 7,
	}, err
}

// TestRelayedRead guards against a leader that takes the store for down for all while a part of the cell may reach it
// and have another leader: leases must not be renewed then.
func TestRelayedRead(t *testing.T) {
	for _, test := range []struct {
		name string
		// groups are the ports of the other instances by data centre; those without an entry in errs do not answer.
		groups map[string][]uint16
		errs   map[uint16]error
		want   error
	}{
		{
			name:   "one reads the key",
			groups: map[string][]uint16{"a": {1}, "b": {2, 3}},
			errs:   map[uint16]error{1: describer.ErrNoEffect, 2: describer.ErrNoEffect, 3: nil},
		},
		{
			name:   "the key is gone",
			groups: map[string][]uint16{"a": {1}, "b": {2}},
			errs:   map[uint16]error{1: describer.ErrNoEffect, 2: describer.ErrNotFound},
			want:   describer.ErrNotFound,
		},
		{
			name:   "no data centre reaches the store",
			groups: map[string][]uint16{"a": {1}, "b": {2, 3}},
			errs:   map[uint16]error{1: describer.ErrNoEffect, 2: describer.ErrNoEffect},
			want:   describer.ErrNoEffect,
		},
		{
			name:   "a data centre does not answer",
			groups: map[string][]uint16{"a": {1}, "b": {2, 3}},
			errs:   map[uint16]error{1: describer.ErrNoEffect},
			want:   describer.ErrUncertain,
		},
		{
			name:   "an answer was lost",
			groups: map[string][]uint16{"a": {1}},
			errs:   map[uint16]error{1: describer.ErrUncertain},
			want:   describer.ErrUncertain,
		},
		{
			name: "alone",
			want: describer.ErrUncertain,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			relayer := &Relayer{
				Peer: readPeer{
					errs: test.errs,
				},
				PeersByDataCentre: func() map[string][]netip.AddrPort {
					addresses := map[string][]netip.AddrPort{}
					for dataCentre, ports := range test.groups {
						for _, port := range ports {
							addresses[dataCentre] = append(addresses[dataCentre], netip.AddrPortFrom(netip.IPv6Loopback(), port))
						}
					}
					return addresses
				},
			}
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				item, err := relayer.RelayedRead(ctx, "key")
				if !errors.Is(err, test.want) || err == nil && item.Revision != 7 {
					t.Errorf("item %+v, error %v, want %v", item, err, test.want)
				}
			})
		})
	}
}
