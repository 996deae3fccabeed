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

func (faultyLeader) State(id describer.JobID) (describer.JobState, error) {
	if id == "bad" {
		panic("fault")
	}
	return describer.JobRunning, nil
}

// TestContainedCall guards against a panic in one call of another instance that ends the process.
func TestContainedCall(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(listener.Addr().String())
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		// The test ends it.
		_ = Serve(ctx, address, faultyLeader{}, nil, nil, nil)
	}()
	connector, closeConnector := New()
	defer closeConnector()
	callCtx, cancelCall := context.WithTimeout(ctx, 10*time.Second)
	defer cancelCall()
	var state describer.JobState
	for callCtx.Err() == nil && state != describer.JobRunning {
		// The server may not listen yet.
		state, err = connector.State(callCtx, address, "good")
	}
	if err != nil {
		t.Fatal(err)
	}
	if _, err := connector.State(callCtx, address, "bad"); err == nil {
		t.Error("a call that panicked was answered")
	}
	if state, err := connector.State(callCtx, address, "good"); err != nil || state != describer.JobRunning {
		t.Errorf("after the panic: %s, %v", state, err)
	}
	cancel()
	<-done
}
