// Package balancer simulates the platform's TCP load balancer. It distributes connections over the ready
// backends by round-robin.
package balancer

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/gateway/sender"
)

const (
	defaultInterval = time.Second
	defaultTimeout  = time.Second
	readyPath       = "/v1/ready"
	// maxReadyBodyBytes is the maximum size of the body of a readiness response.
	maxReadyBodyBytes = 64 << 10
)

// Options configures a balancer. Zero values select the defaults.
type Options struct {
	// Address is the listen address; port 0 picks a free port.
	Address netip.AddrPort
	// Backends are the HTTP addresses of the entry instances.
	Backends []netip.AddrPort
	// Interval is the time between readiness checks.
	Interval time.Duration
	// Timeout applies to each readiness check and to each connection attempt.
	Timeout time.Duration
	// Dial opens connections to backends. The default is that of net.Dialer.
	Dial sender.DialFunc
}

// Balancer is a simulated TCP load balancer.
type Balancer struct {
	options  Options
	listener net.Listener
	client   *http.Client
	ctx      context.Context
	group    sync.WaitGroup

	mutex        sync.Mutex
	backends     []netip.AddrPort
	ready        []netip.AddrPort
	nextIndex    int
	readyChanged chan struct{} // closed and replaced when ready changes
	conns        map[net.Conn]struct{}
	closed       bool
}

// Start returns a listening balancer and a function that stops it and closes its connections.
func Start(options Options) (*Balancer, func(), error) {
	if options.Interval == 0 {
		options.Interval = defaultInterval
	}
	if options.Timeout == 0 {
		options.Timeout = defaultTimeout
	}
	if options.Dial == nil {
		options.Dial = (&net.Dialer{}).DialContext
	}
	ctx, cancel := context.WithCancel(context.Background())
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", options.Address.String())
	if err != nil {
		cancel()
		return nil, nil, errors.Wrap(err, "listen")
	}
	balancer := &Balancer{
		options:  options,
		listener: listener,
		client: sender.NewClient(sender.ClientOptions{
			Dial: options.Dial,
		}),
		ctx:          ctx,
		backends:     options.Backends,
		readyChanged: make(chan struct{}),
		conns:        make(map[net.Conn]struct{}),
	}
	balancer.group.Go(balancer.accept)
	balancer.group.Go(balancer.checkPeriodically)
	return balancer, sync.OnceFunc(func() {
		cancel()
		_ = listener.Close()
		balancer.closeConns()
		balancer.group.Wait()
		balancer.client.CloseIdleConnections()
	}), nil
}

// Address returns the bound address.
func (balancer *Balancer) Address() netip.AddrPort {
	return netip.MustParseAddrPort(balancer.listener.Addr().String())
}

// SetBackends replaces the backends. It takes effect with the next readiness check.
func (balancer *Balancer) SetBackends(backends []netip.AddrPort) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	balancer.backends = backends
}

// AwaitReady waits until exactly count backends are ready.
func (balancer *Balancer) AwaitReady(ctx context.Context, count int) error {
	for {
		balancer.mutex.Lock()
		ready, readyChanged := len(balancer.ready), balancer.readyChanged
		balancer.mutex.Unlock()
		if ready == count {
			return nil
		}
		select {
		case <-readyChanged:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Shutdown stops accepting connections and waits until the open ones have ended.
func (balancer *Balancer) Shutdown(ctx context.Context) error {
	_ = balancer.listener.Close()
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for {
		balancer.mutex.Lock()
		open := len(balancer.conns)
		balancer.mutex.Unlock()
		if open == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

const shutdownPollInterval = 50 * time.Millisecond

func (balancer *Balancer) checkPeriodically() {
	ticker := time.NewTicker(balancer.options.Interval)
	defer ticker.Stop()
	for {
		balancer.checkBackends()
		select {
		case <-ticker.C:
		case <-balancer.ctx.Done():
			return
		}
	}
}

func (balancer *Balancer) checkBackends() {
	balancer.mutex.Lock()
	backends := balancer.backends
	balancer.mutex.Unlock()
	results := make([]bool, len(backends))
	var group sync.WaitGroup
	for index, backend := range backends {
		group.Go(func() {
			results[index] = balancer.isReady(backend)
		})
	}
	group.Wait()
	var ready []netip.AddrPort
	for index, backend := range backends {
		if results[index] {
			ready = append(ready, backend)
		}
	}
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	balancer.ready = ready
	close(balancer.readyChanged)
	balancer.readyChanged = make(chan struct{})
}

func (balancer *Balancer) isReady(backend netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(balancer.ctx, balancer.options.Timeout)
	defer cancel()
	response, err := sender.Send(ctx, balancer.client, sender.Request{
		Method:           http.MethodGet,
		Address:          backend,
		Path:             readyPath,
		MaxResponseBytes: maxReadyBodyBytes,
	})
	return err == nil && response.Status == http.StatusOK
}

func (balancer *Balancer) accept() {
	for {
		conn, err := balancer.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		balancer.group.Go(func() {
			balancer.serve(conn)
		})
	}
}

// serve relays the connection to the next ready backend. If a backend does not accept, it tries another, with
// as many attempts as there are ready backends.
func (balancer *Balancer) serve(client net.Conn) {
	defer closeConn(client)
	for range balancer.readyCount() {
		backend, ok := balancer.nextBackend()
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(balancer.ctx, balancer.options.Timeout)
		server, err := balancer.options.Dial(ctx, "tcp", backend.String())
		cancel()
		if err != nil {
			continue
		}
		defer closeConn(server)
		balancer.relay(client, server)
		return
	}
}

func closeConn(conn net.Conn) {
	_ = conn.Close()
}

func (balancer *Balancer) readyCount() int {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	return len(balancer.ready)
}

func (balancer *Balancer) nextBackend() (netip.AddrPort, bool) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	if len(balancer.ready) == 0 {
		return netip.AddrPort{}, false
	}
	balancer.nextIndex++
	return balancer.ready[balancer.nextIndex%len(balancer.ready)], true
}

// relay copies in both directions. When one side closes its half of the connection, the other direction stays
// open.
func (balancer *Balancer) relay(client, server net.Conn) {
	if !balancer.track(client, server) {
		return
	}
	defer balancer.untrack(client, server)
	var group sync.WaitGroup
	group.Go(func() {
		copyOneWay(server, client)
	})
	copyOneWay(client, server)
	group.Wait()
}

func copyOneWay(destination, source net.Conn) {
	_, err := io.Copy(destination, source)
	halfCloser, ok := destination.(interface{ CloseWrite() error })
	if err != nil || !ok {
		_ = destination.Close()
		_ = source.Close()
		return
	}
	_ = halfCloser.CloseWrite()
}

func (balancer *Balancer) track(conns ...net.Conn) bool {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	for _, conn := range conns {
		balancer.conns[conn] = struct{}{}
	}
	return !balancer.closed
}

func (balancer *Balancer) untrack(conns ...net.Conn) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	for _, conn := range conns {
		delete(balancer.conns, conn)
	}
}

func (balancer *Balancer) closeConns() {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	balancer.closed = true
	for conn := range balancer.conns {
		_ = conn.Close()
	}
}
