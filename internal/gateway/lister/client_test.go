package lister_test

import (
	"net/netip"
	"testing"

	"github.com/go-faster/errors"

	"pomelomoor/internal/gateway/lister"
	"pomelomoor/internal/standin/keeper"
)

// TestClient guards against an announced state that does not reach the list, and against an unavailable list that
// is returned as an empty one.
func TestClient(t *testing.T) {
	server, stopServer, err := keeper.Start(keeper.Options{
		Address: netip.MustParseAddrPort("127.0.0.1:0"),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer stopServer()
	client, closeIdle, err := lister.New([]netip.AddrPort{server.Address()}, lister.Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer closeIdle()
	instance := lister.Instance{
		ID:      "runner-1",
		Role:    lister.RoleRunner,
		State:   lister.StateLive,
		Address: netip.MustParseAddrPort("10.0.0.1:80"),
	}
	announcer, stopAnnouncing := lister.StartAnnouncing(client, instance, 0)
	defer stopAnnouncing()
	awaitState := func(state lister.State, etag string) string {
		for {
			list, err := client.List(t.Context(), etag)
			if err != nil {
				t.Fatal(err)
			}
			instance.State = state
			if len(list.Instances) == 1 && list.Instances[0] == instance {
				return list.ETag
			}
		}
	}
	etag := awaitState(lister.StateLive, "")
	list, err := client.List(t.Context(), etag)
	if err != nil || list.Instances != nil || list.ETag != etag {
		t.Errorf("unchanged list: %+v, %v", list, err)
	}
	announcer.SetState(lister.StateLeaving)
	awaitState(lister.StateLeaving, etag)
	server.SetFaults(keeper.Faults{
		ListDown: true,
	})
	if _, err := client.List(t.Context(), ""); !errors.Is(err, lister.ErrUnavailable) {
		t.Errorf("unavailable list: %v", err)
	}
}
