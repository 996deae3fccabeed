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

// runner keeps the ID of the last attempt.
type runner struct {
	id string
}

func (runner *runner) Send(_ context.Context, _ netip.AddrPort, request requester.Request) (requester.Response, error) {
	runner.id = request.ID
	return requester.Response{
		ID:     request.ID,
		Status: 200,
	}, nil
}

// TestRequestID guards against attempts that cannot be found by the ID that the caller was told.
func TestRequestID(t *testing.T) {
	runner := &runner{}
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
	if err != nil || runner.id != "r1.1" {
		t.Errorf("got attempt %q, %v", runner.id, err)
	}
}
