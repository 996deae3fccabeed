package adapter

import (
	"context"
	"net/netip"
	"testing"

	"pomelomoor/internal/entry/presenter"
	"pomelomoor/internal/gateway/lister"
	"pomelomoor/internal/gateway/requester"
	"pomelomoor/internal/request/forwarder"
)

// fakeRunner records the ID of the last attempt sent to it.
type fakeRunner struct {
	attemptID string
}

func (fakeRunner *fakeRunner) Send(_ context.Context, _ netip.AddrPort, request requester.Request) (requester.Response, error) {
	fakeRunner.attemptID = request.ID
	return requester.Response{
		ID:     request.ID,
		Status: 200,
	}, nil
}

// TestRequestID guards against attempt IDs that do not contain the request ID returned to the caller, which
// would make the attempts impossible to find.
func TestRequestID(t *testing.T) {
	runner := &fakeRunner{}
	requests, stop := forwarder.New(forwarder.Options{
		Self:      "a",
		Requester: runner,
	})
	defer stop()
	requests.SetInstances(lister.List{
		Instances: []lister.Instance{
			{
				ID:      "runner",
				Role:    lister.RoleRunner,
				State:   lister.StateLive,
				Service: "desk",
			},
		},
	})
	_, err := Requests{Forwarder: requests}.Handle(t.Context(), presenter.Request{
		ID:      "r1",
		Service: "desk",
		Caller:  "kiosk",
	})
	if err != nil || runner.attemptID != "r1.1" {
		t.Errorf("got attempt %q, %v", runner.attemptID, err)
	}
}
