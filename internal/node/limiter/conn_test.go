package limiter

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const testTimeout = 20 * time.Second

// startServer serves handler, with the limits of port if it is not nil, and returns a function that opens a connection.
func startServer(tb testing.TB, port *Port, handler http.HandlerFunc) func() net.Conn {
	tb.Helper()
	listener, err := Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	address := listener.Addr().String()
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: testTimeout,
	}
	if port != nil {
		listener = port.Limit(server, listener)
	}
	var serving sync.WaitGroup
	serving.Go(func() {
		// It ends with the close of the server.
		_ = server.Serve(listener)
	})
	tb.Cleanup(func() {
		// Connections that clients have closed are no error.
		_ = server.Close()
		serving.Wait()
	})
	return func() net.Conn {
		conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", address)
		if err != nil {
			tb.Fatal(err)
		}
		tb.Cleanup(func() {
			_ = conn.Close()
		})
		return conn
	}
}

func receive(conn net.Conn) (status int, err error) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

func post(length, sent int) []byte {
	return fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: server\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", sent))
}

// answerBody reads the body as the handlers of calls do.
func answerBody(writer http.ResponseWriter, request *http.Request) {
	if _, err := ReadBody(request, 1<<18); err != nil {
		writer.Header().Set("Connection", "close")
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

// TestStalledBodyGivesWay guards against a body that is refused although another, which has stopped short of its end,
// holds the budget; and against connections of other callers that are closed with it.
func TestStalledBodyGivesWay(t *testing.T) {
	const bodyBytes = 100 << 10
	limiter := New(5 * bodyBytes / 2)
	dial := startServer(t, limiter.NewPort("Front", 10), answerBody)
	stalled, waiting := dial(), dial()
	if _, err := stalled.Write(post(bodyBytes, bodyBytes-1)); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(testTimeout); limiter.Usage().Bytes == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the body was not read")
		}
	}
	status := 0
	for deadline := time.Now().Add(testTimeout); status != http.StatusOK && time.Now().Before(deadline); {
		if _, err := waiting.Write(post(bodyBytes, bodyBytes)); err != nil {
			t.Fatal(err)
		}
		var err error
		if status, err = receive(waiting); err != nil {
			t.Fatal(err)
		}
		if status != http.StatusOK {
			waiting = dial()
		}
	}
	if status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	if _, err := receive(stalled); err == nil {
		t.Error("the stalled body was answered")
	}
}

// TestReceiveBufferGrows guards against long bodies that are slow over long links, whoever reserves their memory.
func TestReceiveBufferGrows(t *testing.T) {
	handlers := map[string]http.HandlerFunc{
		"budget of the port": answerBody,
		"other budget": func(writer http.ResponseWriter, request *http.Request) {
			if _, err := ReadReserved(request, 1<<18, func(int64) error {
				return nil
			}); err != nil {
				writer.WriteHeader(http.StatusServiceUnavailable)
			}
		},
	}
	for name, handler := range handlers {
		t.Run(name, func(t *testing.T) {
			for _, bodyBytes := range []int{FirstBufferBytes / 2, 2 * FirstBufferBytes} {
				limiter := New(1 << 20)
				conn := startServer(t, limiter.NewPort("Front", 1), handler)()
				if _, err := conn.Write(post(bodyBytes, bodyBytes)); err != nil {
					t.Fatal(err)
				}
				if status, err := receive(conn); status != http.StatusOK || err != nil {
					t.Errorf("status %d, %v", status, err)
				}
				limiter.mutex.Lock()
				if isGrown := limiter.grown == 1; isGrown != (bodyBytes > FirstBufferBytes) {
					t.Errorf("body of %d bytes: large buffer is %v", bodyBytes, isGrown)
				}
				limiter.mutex.Unlock()
			}
		})
	}
}

// TestShortHeaderLines guards against headers that take much memory although they have few bytes, and against ordinary
// headers that draw on the budget.
func TestShortHeaderLines(t *testing.T) {
	const lineCount = 600
	var lines strings.Builder
	for index := range lineCount {
		fmt.Fprintf(&lines, "%x:\r\n", index)
	}
	head := "POST / HTTP/1.1\r\nHost: server\r\nContent-Length: 10\r\n"
	calls := []struct {
		name     string
		sent     string
		minBytes int64
		maxBytes int64
	}{
		{
			name:     "ordinary",
			sent:     head + strings.Repeat("Name: value\r\n", 30) + "\r\n" + strings.Repeat("\n", 9),
			maxBytes: 0,
		},
		{
			name:     "first call",
			sent:     head + lines.String() + "\r\n",
			minBytes: lineCount * headerLineBytes,
			maxBytes: 2 * lineCount * headerLineBytes,
		},
		{
			name:     "pipelined call",
			sent:     "GET / HTTP/1.1\r\nHost: server\r\n\r\n" + head + lines.String() + "\r\n",
			minBytes: lineCount * headerLineBytes,
			maxBytes: 2 * lineCount * headerLineBytes,
		},
	}
	for _, call := range calls {
		t.Run(call.name, func(t *testing.T) {
			if len(call.sent) > freeHeaderBytes {
				t.Fatalf("%d bytes", len(call.sent))
			}
			limiter := New(1 << 20)
			reading := make(chan struct{}, 1)
			conn := startServer(t, limiter.NewPort("Front", 1), func(_ http.ResponseWriter, request *http.Request) {
				if request.Method == http.MethodPost {
					reading <- struct{}{}
					// The test closes the connection.
					_, _ = ReadBody(request, 1<<18)
				}
			})()
			if _, err := io.WriteString(conn, call.sent); err != nil {
				t.Fatal(err)
			}
			select {
			case <-reading:
			case <-time.After(testTimeout):
				t.Fatal("the call has not begun")
			}
			if used := limiter.Usage().Bytes; used < call.minBytes || used > call.maxBytes {
				t.Errorf("%d bytes in use, want %d to %d", used, call.minBytes, call.maxBytes)
			}
		})
	}
}

// TestConnectionsAreBounded guards against more connections than the port may have, and against a call that is not
// answered since others hold all of them.
func TestConnectionsAreBounded(t *testing.T) {
	const maxConnections = 4
	limiter := New(1 << 20)
	dial := startServer(t, limiter.NewPort("Front", maxConnections), answerBody)
	for range 5 * maxConnections {
		if _, err := dial().Write(post(100, 99)); err != nil {
			t.Fatal(err)
		}
		if usage := limiter.Usage(); usage.Ports[0].Connections > maxConnections {
			t.Fatalf("%d connections", usage.Ports[0].Connections)
		}
	}
	conn := dial()
	if _, err := conn.Write(post(100, 100)); err != nil {
		t.Fatal(err)
	}
	if status, err := receive(conn); status != http.StatusOK || err != nil {
		t.Errorf("status %d, %v", status, err)
	}
}

// TestOtherProtocol guards against a connection between instances that is closed since it carries more than the budget, or
// since it has been open for longer than others.
func TestOtherProtocol(t *testing.T) {
	const (
		maxConnections = 3
		budgetBytes    = 1 << 10
	)
	limiter := New(budgetBytes)
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := limiter.NewPort("Peers", maxConnections).LimitListener(plain)
	var serving sync.WaitGroup
	defer serving.Wait()
	defer func() {
		_ = listener.Close()
	}()
	serving.Go(func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			serving.Go(func() {
				// The echo ends with the connection.
				_, _ = io.Copy(accepted, accepted)
				_ = accepted.Close()
			})
		}
	})
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", plain.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		return conn
	}
	peer := dial()
	defer func() {
		_ = peer.Close()
	}()
	message, echo := bytes.Repeat([]byte("message\n"), budgetBytes), make([]byte, 8*budgetBytes)
	for range 4 * maxConnections {
		silent := dial()
		defer func() {
			_ = silent.Close()
		}()
		if _, err := peer.Write(message); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(peer, echo); err != nil {
			t.Fatal(err)
		}
	}
	if usage := limiter.Usage(); usage.Bytes != 0 || usage.Ports[0].Connections > maxConnections {
		t.Errorf("%d bytes and %d connections", usage.Bytes, usage.Ports[0].Connections)
	}
}

// BenchmarkCall compares calls on a connection with and without limits.
func BenchmarkCall(b *testing.B) {
	for _, bodyBytes := range []int{0, 300, 9600} {
		for _, isLimited := range []bool{false, true} {
			b.Run(fmt.Sprintf("bytes=%d/limited=%v", bodyBytes, isLimited), func(b *testing.B) {
				var port *Port
				if isLimited {
					port = New(1<<24).NewPort("Front", 100)
				}
				conn := startServer(b, port, func(_ http.ResponseWriter, request *http.Request) {
					if isLimited {
						_, _ = ReadBody(request, 1<<18)
						return
					}
					_, _ = io.ReadAll(request.Body)
				})()
				call := post(bodyBytes, bodyBytes)
				reader := bufio.NewReader(conn)
				for b.Loop() {
					if _, err := conn.Write(call); err != nil {
						b.Fatal(err)
					}
					response, err := http.ReadResponse(reader, nil)
					if err != nil {
						b.Fatal(err)
					}
					_ = response.Body.Close()
				}
			})
		}
	}
}

// BenchmarkDecodedBytes measures the bound on the memory of an ordinary document.
func BenchmarkDecodedBytes(b *testing.B) {
	document := bytes.Repeat([]byte(`{"count":1},`), 800)
	for b.Loop() {
		DecodedBytes(document)
	}
}
