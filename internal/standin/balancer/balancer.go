// Package balancer is a stand-in for the platform's balancer: TCP round-robin over the ready backends.
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
	// readyLimit is the largest acceptable body of a readiness answer in bytes.
	readyLimit = 64 << 10
)

// Options describe a balancer. Zero values mean the defaults.
type Options struct {
	// Address is where to listen; port 0 takes a free one.
	Address netip.AddrPort
	// Backends are HTTP addresses of entry instances.
	Backends []netip.AddrPort
	// Interval is the time between readiness checks.
	Interval time.Duration
	// Timeout is for one readiness check and one connection.
	Timeout time.Duration
	// Dial replaces that of net.Dialer.
	Dial sender.DialFunc
}

// Balancer is a running balancer.
type Balancer struct {
	options  Options
	listener net.Listener
	client   *http.Client
	ctx      context.Context
	group    sync.WaitGroup

	mutex    sync.Mutex
	backends []netip.AddrPort
	ready    []netip.AddrPort
	next     int
	changed  chan struct{} // closed and replaced when ready changes
	conns    map[net.Conn]struct{}
	closed   bool
}

// Start returns a listening balancer and a function that ends it and its connections.
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
		ctx:      ctx,
		backends: options.Backends,
		changed:  make(chan struct{}),
		conns:    make(map[net.Conn]struct{}),
	}
	balancer.group.Go(balancer.accept)
	balancer.group.Go(balancer.check)
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

// SetBackends replaces the backends. Their readiness is known after the next check.
func (balancer *Balancer) SetBackends(backends []netip.AddrPort) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	balancer.backends = backends
}

// AwaitReady returns when count backends are ready.
func (balancer *Balancer) AwaitReady(ctx context.Context, count int) error {
	for {
		balancer.mutex.Lock()
		ready, changed := len(balancer.ready), balancer.changed
		balancer.mutex.Unlock()
		if ready == count {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Shutdown takes no new connections and waits for the open ones.
func (balancer *Balancer) Shutdown(ctx context.Context) error {
	_ = balancer.listener.Close()
	ticker := time.NewTicker(pollInterval)
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

const pollInterval = 50 * time.Millisecond

func (balancer *Balancer) check() {
	ticker := time.NewTicker(balancer.options.Interval)
	defer ticker.Stop()
	for {
		balancer.checkAll()
		select {
		case <-ticker.C:
		case <-balancer.ctx.Done():
			return
		}
	}
}

func (balancer *Balancer) checkAll() {
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
	close(balancer.changed)
	balancer.changed = make(chan struct{})
}

func (balancer *Balancer) isReady(backend netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(balancer.ctx, balancer.options.Timeout)
	defer cancel()
	answer, err := sender.Send(ctx, balancer.client, sender.Request{
		Method:           http.MethodGet,
		Address:          backend,
		Path:             readyPath,
		MaxResponseBytes: readyLimit,
	})
	return err == nil && answer.Status == http.StatusOK
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

// serve connects to the next ready backend; it tries each of them once.
func (balancer *Balancer) serve(client net.Conn) {
	defer closeConn(client)
	for range balancer.readyCount() {
		backend, ok := balancer.pick()
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

func (balancer *Balancer) pick() (netip.AddrPort, bool) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	if len(balancer.ready) == 0 {
		return netip.AddrPort{}, false
	}
	balancer.next++
	return balancer.ready[balancer.next%len(balancer.ready)], true
}

// relay copies both ways. When one side ends its half, the other side's half goes on.
func (balancer *Balancer) relay(client, server net.Conn) {
	if !balancer.track(client, server) {
		return
	}
	defer balancer.untrack(client, server)
	var group sync.WaitGroup
	group.Go(func() {
		forward(server, client)
	})
	forward(client, server)
	group.Wait()
}

func forward(to, from net.Conn) {
	_, err := io.Copy(to, from)
	half, ok := to.(interface{ CloseWrite() error })
	if err != nil || !ok {
		_ = to.Close()
		_ = from.Close()
		return
	}
	_ = half.CloseWrite()
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
