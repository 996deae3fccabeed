package connector

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"pomelomoor/internal/cell/cellpb"
	"pomelomoor/internal/cell/describer"
)

// path forwards connections to an address. It can drop or hold back what its open connections carry, without a reset.
type path struct {
	listener net.Listener

	mutex sync.Mutex
	conns []*pathConn
	held  chan struct{}
}

// pathConn is one of the connections of a path.
type pathConn struct {
	net.Conn

	path   *path
	silent bool
}

// Write drops what is written to a silent connection, and waits while the path holds everything back.
func (conn *pathConn) Write(buffer []byte) (int, error) {
	conn.path.mutex.Lock()
	silent, held := conn.silent, conn.path.held
	conn.path.mutex.Unlock()
	if silent {
		return len(buffer), nil
	}
	if held != nil {
		<-held
	}
	return conn.Conn.Write(buffer)
}

// newPath returns a path to the address and the address at which it listens.
func newPath(t *testing.T, target netip.AddrPort) (*path, netip.AddrPort) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	created := &path{
		listener: listener,
	}
	go created.run(target)
	t.Cleanup(func() {
		_ = listener.Close()
		created.mutex.Lock()
		defer created.mutex.Unlock()
		for _, conn := range created.conns {
			_ = conn.Close()
		}
	})
	return created, netip.MustParseAddrPort(listener.Addr().String())
}

func (path *path) run(target netip.AddrPort) {
	for {
		near, err := path.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", target.String())
		if err != nil {
			_ = near.Close()
			continue
		}
		nearConn, farConn := path.add(near), path.add(far)
		go forward(farConn, nearConn)
		go forward(nearConn, farConn)
	}
}

func (path *path) add(conn net.Conn) *pathConn {
	path.mutex.Lock()
	defer path.mutex.Unlock()
	added := &pathConn{
		Conn: conn,
		path: path,
	}
	path.conns = append(path.conns, added)
	return added
}

// forward copies until the connections end.
func forward(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
}

// silence drops what the open connections carry from now on.
func (path *path) silence() {
	path.mutex.Lock()
	defer path.mutex.Unlock()
	for _, conn := range path.conns {
		conn.silent = true
	}
}

// hold holds back what all connections carry, new ones too, for a while.
func (path *path) hold(duration time.Duration) {
	held := make(chan struct{})
	path.mutex.Lock()
	defer path.mutex.Unlock()
	path.held = held
	time.AfterFunc(duration, func() {
		path.mutex.Lock()
		defer path.mutex.Unlock()
		path.held = nil
		close(held)
	})
}

// TestSilentConnection guards against calls to another instance that wait for seconds because the connection to it has
// gone silent without a reset: states could not be told, and requests for advice were lost. The calls to an instance
// that is only slow must not be ended.
func TestSilentConnection(t *testing.T) {
	for _, test := range []struct {
		name     string
		disturb  func(path *path)
		answered bool
		replaced int
	}{
		{name: "silent", disturb: (*path).silence, replaced: 1},
		{name: "slow", disturb: func(path *path) { path.hold(1200 * time.Millisecond) }, answered: true},
		// The instance comes to both connections at the same time.
		{name: "slow for a moment", disturb: func(path *path) { path.hold(450 * time.Millisecond) }, answered: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, address := serve(t, nil)
			path, pathAddress := newPath(t, address)
			connector, closeConnector := New()
			defer closeConnector()
			replaced := make(chan netip.AddrPort, 10)
			connector.OnReplaced = func(address netip.AddrPort) {
				replaced <- address
			}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			if _, err := connector.State(ctx, pathAddress, "good"); err != nil {
				t.Fatal(err)
			}
			test.disturb(path)
			start := time.Now()
			_, err := connector.State(ctx, pathAddress, "good")
			if (err == nil) != test.answered {
				t.Errorf("call on the disturbed connection: %v", err)
			}
			if took := time.Since(start); took > 2*time.Second {
				t.Errorf("the call took %s, want at most 2s", took)
			}
			if status, err := connector.State(ctx, pathAddress, "good"); err != nil || status.State != describer.JobRunning {
				t.Errorf("next call: %+v, %v", status, err)
			}
			if count := len(replaced); count != test.replaced {
				t.Errorf("the connection was replaced %d times, want %d", count, test.replaced)
			}
		})
	}
}

// TestSilentStream guards against orders that are lost on a stream to a courier whose connection has gone silent without
// a reset, and on those that are opened after it over the same connection.
func TestSilentStream(t *testing.T) {
	_, address := serve(t, nil)
	path, pathAddress := newPath(t, address)
	connector, closeConnector := New()
	defer closeConnector()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for silences := range 2 {
		stream, err := connector.Carry(ctx, pathAddress)
		if err != nil {
			t.Fatal(err)
		}
		// An order that cannot be read is answered at once.
		if err := stream.Send(&cellpb.CarryRequest{
			Orders: []*cellpb.WorkerOrder{{}},
		}); err != nil {
			t.Fatal(err)
		}
		if _, err := stream.Recv(); err != nil {
			t.Fatalf("after %d silences: %v", silences, err)
		}
		path.silence()
		start := time.Now()
		if _, err := stream.Recv(); err == nil || time.Since(start) > 3*time.Second {
			t.Errorf("the silent stream ended after %s: %v", time.Since(start), err)
		}
	}
}
