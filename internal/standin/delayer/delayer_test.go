package delayer_test

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"pomelomoor/internal/standin/delayer"
)

// connect returns both ends of a connection over a link with a latency of 30 ms. It runs inside synctest.
func connect(t *testing.T) (link *delayer.Link, near, far net.Conn) {
	t.Helper()
	linkEnd, far := net.Pipe()
	link, stop := delayer.New(30*time.Millisecond, func(context.Context, string, string) (net.Conn, error) {
		return linkEnd, nil
	})
	t.Cleanup(stop)
	near, err := link.Dial(t.Context(), "tcp", "")
	if err != nil {
		t.Fatal(err)
	}
	return link, near, far
}

// TestLatency guards against data or a close that arrives early, late or not at all.
func TestLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		link, near, far := connect(t)
		if took := time.Since(began); took != 60*time.Millisecond {
			t.Errorf("dial took %v, want one round trip of 60 ms", took)
		}
		began = time.Now()
		// Data that was written before the close must still arrive.
		_, _ = near.Write([]byte("one "))
		_, _ = near.Write([]byte("two"))
		_ = near.Close()
		got, err := io.ReadAll(far)
		if took := time.Since(began); took != 30*time.Millisecond || string(got) != "one two" || err != nil {
			t.Errorf("read %q, %v after %v, want all data after 30 ms", got, err, took)
		}
		if sent, received := link.Bytes(); sent != 7 || received != 0 {
			t.Errorf("link counted %d bytes sent and %d received, want 7 and 0", sent, received)
		}
	})
}

// TestCut guards against data and connections that pass a link while it is cut, and against data that is lost
// when the cut ends.
func TestCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link, near, far := connect(t)
		link.Cut()
		_, _ = far.Write([]byte("held up"))
		_ = near.SetReadDeadline(time.Now().Add(time.Hour))
		buffer := make([]byte, 16)
		if length, err := near.Read(buffer); err == nil {
			t.Errorf("read %q over a cut link", buffer[:length])
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := link.Dial(ctx, "tcp", ""); err == nil {
			t.Error("dial succeeded over a cut link")
		}
		link.Heal()
		_ = near.SetReadDeadline(time.Time{})
		if length, err := near.Read(buffer); string(buffer[:length]) != "held up" {
			t.Errorf("read %q, %v after the cut ended", buffer[:length], err)
		}
		_ = far.Close()
		if _, err := near.Read(buffer); err == nil {
			t.Error("the far end's close did not arrive")
		}
	})
}
