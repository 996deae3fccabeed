package connector

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"pomelomoor/internal/cell/describer"
)

// faultyLeader panics for one job and tells that all others run.
type faultyLeader struct {
	LeaderHandler
}

func (faultyLeader) State(id describer.JobID) (describer.JobStatus, error) {
	if id == "bad" {
		panic("fault")
	}
	return describer.JobStatus{
		State:        describer.JobRunning,
		Organisation: "customer",
	}, nil
}

// serve serves calls until the test ends, and returns a connector and the address once it is served.
func serve(t *testing.T, workers describer.Workers) (*Connector, netip.AddrPort) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(listener.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		// The test ends it.
		_ = Serve(ctx, listener, faultyLeader{}, nil, nil, workers)
	}()
	connector, closeConnector := New()
	t.Cleanup(func() {
		closeConnector()
		cancel()
		<-done
	})
	callCtx, cancelCall := context.WithTimeout(ctx, 10*time.Second)
	defer cancelCall()
	var status describer.JobStatus
	for callCtx.Err() == nil && status.State != describer.JobRunning {
		// The server may not listen yet.
		status, err = connector.State(callCtx, address, "good")
	}
	if err != nil {
		t.Fatal(err)
	}
	return connector, address
}

// TestContainedCall guards against a panic in one call of another instance that ends the process.
func TestContainedCall(t *testing.T) {
	connector, address := serve(t, nil)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if _, err := connector.State(ctx, address, "bad"); err == nil {
		t.Error("a call that panicked was answered")
	}
	if status, err := connector.State(ctx, address, "good"); err != nil || status.State != describer.JobRunning || status.Organisation != "customer" {
		t.Errorf("after the panic: %+v, %v", status, err)
	}
}
