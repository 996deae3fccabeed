package relayer

import (
	"context"
	"net/netip"
	"testing"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/describer"
)

type stub struct {
	describer.Store

	err   error
	calls int
}

func (stub *stub) Commit(context.Context, describer.Change) (describer.Revision, error) {
	stub.calls++
	return 1, stub.err
}

type peer struct {
	errs  []error
	calls int
}

func (peer *peer) Read(context.Context, netip.AddrPort, string) (describer.Item, error) {
	return describer.Item{}, describer.ErrNotDone
}

func (peer *peer) Commit(context.Context, netip.AddrPort, describer.Change) (describer.Revision, error) {
	err := peer.errs[peer.calls]
	peer.calls++
	return 1, err
}

// TestCommit guards against a change that may have been made and is told as one that was not, and
// against an instance that rejects calls although its neighbours reach the store.
func TestCommit(t *testing.T) {
	conflict := &describer.ConflictError{}
	tests := []struct {
		name   string
		direct error
		lost   bool
		peers  []error
		want   error
		// calls are the direct calls and those at peers.
		calls [2]int
	}{
		{"direct", nil, false, nil, nil, [2]int{1, 0}},
		{"conflict", conflict, false, nil, conflict, [2]int{1, 0}},
		{"refused, relayed", describer.ErrNotDone, false, []error{nil}, nil, [2]int{1, 1}},
		{"lost, relayed at once", nil, true, []error{nil}, nil, [2]int{0, 1}},
		{"lost, second peer", nil, true, []error{describer.ErrNotDone, nil}, nil, [2]int{0, 2}},
		{"lost for all", nil, true, []error{describer.ErrNotDone, describer.ErrNotDone}, describer.ErrNotDone, [2]int{0, 2}},
		{"open at a peer", nil, true, []error{describer.ErrUncertain, describer.ErrNotDone}, describer.ErrUncertain, [2]int{0, 2}},
		{"open at first", describer.ErrUncertain, false, []error{describer.ErrNotDone, describer.ErrNotDone}, describer.ErrUncertain, [2]int{1, 2}},
	}
	for _, test := range tests {
		store := &stub{
			err: test.direct,
		}
		peers := &peer{
			errs: test.peers,
		}
		relayer := &Relayer{
			Direct: store,
			Peer:   peers,
			Peers: func() []netip.AddrPort {
				return make([]netip.AddrPort, len(test.peers))
			},
		}
		if !test.lost {
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

// TestChanged guards against a store that is told as lost when its first answer after an outage is an error
// of its own, such as a key that is not there.
func TestChanged(t *testing.T) {
	var told []error
	relayer := &Relayer{
		Changed: func(err error) {
			told = append(told, err)
		},
	}
	relayer.Contact(describer.ErrNotDone)
	relayer.Contact(describer.ErrUncertain)
	relayer.Contact(describer.ErrNotFound)
	relayer.Contact(nil)
	if len(told) != 2 || !errors.Is(told[0], describer.ErrNotDone) || told[1] != nil {
		t.Errorf("told %v, want one loss and one return", told)
	}
}
