package relayer

import (
	"context"
	"net/netip"
	"testing"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/describer"
)

type fakeStore struct {
	describer.Store

	err   error
	calls int
}

func (store *fakeStore) Commit(context.Context, describer.Change) (describer.Revision, error) {
	store.calls++
	return 1, store.err
}

type fakePeer struct {
	errs  []error
	calls int
}

func (peer *fakePeer) Read(context.Context, netip.AddrPort, string) (describer.Item, error) {
	return describer.Item{}, describer.ErrNotDone
}

func (peer *fakePeer) Commit(context.Context, netip.AddrPort, describer.Change) (describer.Revision, error) {
	err := peer.errs[peer.calls]
	peer.calls++
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
		{"refused, relayed", describer.ErrNotDone, false, []error{nil}, nil, [2]int{1, 1}},
		{"unreachable, relayed at once", nil, true, []error{nil}, nil, [2]int{0, 1}},
		{"unreachable, second peer", nil, true, []error{describer.ErrNotDone, nil}, nil, [2]int{0, 2}},
		{"unreachable for all", nil, true, []error{describer.ErrNotDone, describer.ErrNotDone}, describer.ErrNotDone, [2]int{0, 2}},
		{"uncertain at a peer", nil, true, []error{describer.ErrUncertain, describer.ErrNotDone}, describer.ErrUncertain, [2]int{0, 2}},
		{"uncertain at first", describer.ErrUncertain, false, []error{describer.ErrNotDone, describer.ErrNotDone}, describer.ErrUncertain, [2]int{1, 2}},
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
			relayer.Contact(nil)
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

// TestChanged guards against reporting the store as unreachable when its first answer after an outage is an error
// of its own, such as a missing key.
func TestChanged(t *testing.T) {
	var reported []error
	relayer := &Relayer{
		Changed: func(err error) {
			reported = append(reported, err)
		},
	}
	relayer.Contact(describer.ErrNotDone)
	relayer.Contact(describer.ErrUncertain)
	relayer.Contact(describer.ErrNotFound)
	relayer.Contact(nil)
	if len(reported) != 2 || !errors.Is(reported[0], describer.ErrNotDone) || reported[1] != nil {
		t.Errorf("reported %v, want one loss and one recovery", reported)
	}
}
