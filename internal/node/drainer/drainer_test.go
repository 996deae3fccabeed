package drainer

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const testTimeout = 20 * time.Second

// start serves handler and returns a function that opens a connection.
func start(t *testing.T, handler http.HandlerFunc) (*Drainer, func() *client) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	drainer := New(&http.Server{
		Handler:     handler,
		IdleTimeout: testTimeout,
	}, listener)
	drainer.minIdle = 0
	var serving sync.WaitGroup
	serving.Go(func() {
		_ = drainer.Serve()
	})
	t.Cleanup(func() {
		if err := drainer.Close(); err != nil {
			t.Error(err)
		}
		serving.Wait()
	})
	return drainer, func() *client {
		netConn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", drainer.Address().String())
		if err != nil {
			t.Fatal(err)
		}
		if err := netConn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			_ = netConn.Close()
		})
		return &client{
			Conn:   netConn,
			reader: bufio.NewReader(netConn),
		}
	}
}

// client is a caller's connection.
type client struct {
	net.Conn

	reader *bufio.Reader
}

// receive returns whether the response is complete, and whether it closes the connection.
func (client *client) receive() (closing bool, err error) {
	response, err := http.ReadResponse(client.reader, nil)
	if err != nil {
		return false, err
	}
	_, err = io.ReadAll(response.Body)
	_ = response.Body.Close()
	return response.Close, err
}

// call sends the parts of a request and returns what receive returns.
func (client *client) call(t *testing.T) (closing bool) {
	t.Helper()
	if _, err := io.WriteString(client, firstPart+secondPart); err != nil {
		t.Fatal(err)
	}
	closing, err := client.receive()
	if err != nil {
		t.Fatal(err)
	}
	return closing
}

const (
	firstPart  = "POST / HTTP/1.1\r\nHost: server\r\n"
	secondPart = "Content-Length: 4\r\n\r\ncall"
)

// shutdown starts the shutdown and returns a function that awaits its end.
func shutdown(t *testing.T, stop func(ctx context.Context) error) (await func()) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	ended := make(chan error, 1)
	go func() {
		ended <- stop(ctx)
	}()
	return func() {
		t.Helper()
		defer cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

func answer(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = io.WriteString(writer, "answer")
}

// TestCallBeforeDrain guards against a response that leaves a connection open which the server then closes: the call
// arrived before the drain and is answered during it.
func TestCallBeforeDrain(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	drainer, dial := start(t, func(writer http.ResponseWriter, request *http.Request) {
		close(arrived)
		<-release
		answer(writer, request)
	})
	go func() {
		<-arrived
		drainer.Start()
		close(release)
	}()
	if closing := dial().call(t); !closing {
		t.Error("the response left the connection open")
	}
}

// TestCallsDuringDrain guards against a connection that is closed between two calls: it is open before the drain, and its
// next call is served.
func TestCallsDuringDrain(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"body":      answer,
		"status":    func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusNoContent) },
		"no output": func(http.ResponseWriter, *http.Request) {},
	} {
		t.Run(name, func(t *testing.T) {
			drainer, dial := start(t, handler)
			client := dial()
			if closing := client.call(t); closing {
				t.Error("a response before the drain closed the connection")
			}
			drainer.Start()
			if closing := client.call(t); !closing {
				t.Error("a response during the drain left the connection open")
			}
			shutdown(t, drainer.Shutdown)()
		})
	}
}

// TestRequestPartlyRead guards against a connection that is closed as idle while a request is being read.
func TestRequestPartlyRead(t *testing.T) {
	drainer, dial := start(t, answer)
	client := dial()
	client.call(t)
	if _, err := io.WriteString(client, firstPart); err != nil {
		t.Fatal(err)
	}
	for reading := false; !reading; {
		time.Sleep(time.Millisecond)
		drainer.mutex.Lock()
		for conn := range drainer.conns {
			conn.mutex.Lock()
			reading = conn.idleUntil.IsZero()
			conn.mutex.Unlock()
		}
		drainer.mutex.Unlock()
	}
	await := shutdown(t, drainer.Shutdown)
	time.Sleep(5 * pollInterval)
	if _, err := io.WriteString(client, secondPart); err != nil {
		t.Error(err)
	}
	if closing, err := client.receive(); err != nil || !closing {
		t.Errorf("got closing %v and %v, want a complete response that closes the connection", closing, err)
	}
	await()
}

// TestRequestNotRead guards against a request that is dropped because this process got to read it late: it has arrived
// when its connection is closed as idle.
func TestRequestNotRead(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	drainer := New(&http.Server{}, listener)
	defer func() {
		_ = drainer.Close()
	}()
	sender, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		_ = sender.Close()
	}()
	accepted, err := drainer.listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		_ = accepted.Close()
	}()
	if _, err := io.WriteString(sender, firstPart); err != nil {
		t.Fatal(err)
	}
	for !pending(accepted.(*conn).Conn) {
		time.Sleep(time.Millisecond)
	}
	accepted.(*conn).closeIdle(time.Now().Add(minUnused))
	buffer := make([]byte, len(firstPart))
	if _, err := io.ReadFull(accepted, buffer); err != nil || string(buffer) != firstPart {
		t.Errorf("got %q and %v", buffer, err)
	}
}

// TestIdleConnections guards against a shutdown that waits for connections which no caller uses.
func TestIdleConnections(t *testing.T) {
	drainer, dial := start(t, answer)
	client := dial()
	client.call(t)
	shutdown(t, drainer.Shutdown)()
	if _, err := client.receive(); err == nil {
		t.Error("the connection is open")
	}
}

// TestCallAtShutdown guards against a call that is carried out and not answered: its request arrives on an idle
// connection in the moment of the shutdown.
func TestCallAtShutdown(t *testing.T) {
	const (
		rounds   = 300
		maxPause = time.Millisecond
	)
	carriedOut := 0
	for range rounds {
		var calls atomic.Int64
		drainer, dial := start(t, func(writer http.ResponseWriter, request *http.Request) {
			calls.Add(1)
			answer(writer, request)
		})
		client := dial()
		client.call(t)
		pause := rand.N(maxPause)
		await := shutdown(t, func(ctx context.Context) error {
			time.Sleep(rand.N(maxPause))
			return drainer.Shutdown(ctx)
		})
		time.Sleep(pause)
		_, writeErr := io.WriteString(client, firstPart+secondPart)
		_, receiveErr := client.receive()
		await()
		if calls.Load() == 1 {
			continue
		}
		carriedOut++
		if writeErr != nil || receiveErr != nil {
			t.Errorf("a call was carried out and not answered: %v, %v", writeErr, receiveErr)
		}
	}
	t.Logf("%d of %d calls were carried out", carriedOut, rounds)
}

// TestCallsEnd guards against a call that a stopping server reads and holds until its process exits (review/10): each is told
// when it has to be answered, whether it came before the drain or late in it, and without a deadline of its own.
func TestCallsEnd(t *testing.T) {
	arrived := make(chan struct{}, 1)
	drainer, dial := start(t, func(writer http.ResponseWriter, request *http.Request) {
		arrived <- struct{}{}
		select {
		case <-request.Context().Done():
			writer.WriteHeader(http.StatusServiceUnavailable)
		case <-time.After(testTimeout):
		}
	})
	calls := make(chan bool, 2)
	for _, client := range []*client{dial(), dial()} {
		go func() {
			_, _ = io.WriteString(client, firstPart+secondPart)
			closing, err := client.receive()
			calls <- err == nil && closing
		}()
		<-arrived
		drainer.Start()
		drainer.EndCallsAt(time.Now().Add(300 * time.Millisecond))
	}
	for range 2 {
		select {
		case answered := <-calls:
			if !answered {
				t.Error("a call got no complete answer, or one that leaves its connection open")
			}
		case <-time.After(testTimeout / 2):
			t.Fatal("a call was held after the end of the calls")
		}
	}
}
