package connector

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"pomelomoor/internal/cell/cellpb"
	"pomelomoor/internal/cell/courier"
)

const (
	// connectTimeout bounds a connection attempt. The round trip between regions takes 60 ms.
	connectTimeout = 500 * time.Millisecond
	// maxBackoff bounds the delay between connection attempts.
	maxBackoff = 500 * time.Millisecond
	// checkDelay is how long a call waits for its answer before its connection is checked, and checkInterval the minimum
	// time between two checks of a connection.
	checkDelay    = 150 * time.Millisecond
	checkInterval = 500 * time.Millisecond
	// checkTimeout is how long a check waits for an answer before it tries a new connection, and again once that one has
	// answered: an instance that was slow for a moment answers on both at about the same time.
	checkTimeout = 100 * time.Millisecond
	// trialInterval is the minimum time between two new connections that are tried beside one that does not answer. The
	// other instance may just be slow, and must not have to accept many.
	trialInterval = 2 * time.Second
)

// Connector calls other instances over one connection each. It is safe for concurrent use.
//
// A connection may go silent for good without a reset, while new ones work. So a connection is checked while a call on it
// waits for an answer, and replaced if it does not answer although a new one does. Silence alone does not tell, since the
// other instance may be slow or gone: ending the calls to it would be of no use then.
type Connector struct {
	// OnReplaced, if set, is called when the connection to the instance at address was replaced.
	OnReplaced func(address netip.AddrPort)

	mutex sync.Mutex
	conns map[netip.AddrPort]*instanceConn
}

// instanceConn is the connection to another instance.
type instanceConn struct {
	conn *grpc.ClientConn
	// checkedAt is when the last check began, and triedAt when a new connection was last tried.
	checkedAt, triedAt time.Time
}

// New returns a Connector and a function that closes its connections.
func New() (*Connector, func()) {
	connector := &Connector{
		conns: map[netip.AddrPort]*instanceConn{},
	}
	return connector, connector.close
}

func (connector *Connector) close() {
	connector.CloseExcept(nil)
}

// CloseExcept closes the connections to all instances except those at addresses.
func (connector *Connector) CloseExcept(addresses map[netip.AddrPort]bool) {
	connector.mutex.Lock()
	defer connector.mutex.Unlock()
	for address, current := range connector.conns {
		if !addresses[address] {
			// An error on closing an unused connection has no consequence.
			_ = current.conn.Close()
			delete(connector.conns, address)
		}
	}
}

func (connector *Connector) client(address netip.AddrPort) (cellpb.CellClient, error) {
	conn, err := connector.connTo(address)
	if err != nil {
		return nil, err
	}
	return cellpb.NewCellClient(conn), nil
}

func (connector *Connector) connTo(address netip.AddrPort) (*grpc.ClientConn, error) {
	connector.mutex.Lock()
	defer connector.mutex.Unlock()
	if current := connector.conns[address]; current != nil {
		return current.conn, nil
	}
	conn, err := connector.newConn(address)
	if err != nil {
		return nil, err
	}
	connector.conns[address] = &instanceConn{
		conn: conn,
	}
	return conn, nil
}

// newConn returns a connection to the instance at address. Its unary calls have it checked while they wait.
func (connector *Connector) newConn(address netip.AddrPort) (*grpc.ClientConn, error) {
	conn, err := grpc.NewClient("passthrough:///"+address.String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time:    keepaliveTime,
			Timeout: keepaliveTimeout,
		}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  connectTimeout / 5,
				Multiplier: 1.6,
				Jitter:     0.2,
				MaxDelay:   maxBackoff,
			},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithUnaryInterceptor(func(ctx context.Context, method string, request, reply any, conn *grpc.ClientConn, invoke grpc.UnaryInvoker, options ...grpc.CallOption) error {
			if method != healthpb.Health_Check_FullMethodName {
				callCtx, cancel := context.WithCancel(ctx)
				defer cancel()
				timer := time.AfterFunc(checkDelay, func() {
					connector.keepChecking(callCtx, address, conn)
				})
				defer timer.Stop()
			}
			return invoke(ctx, method, request, reply, conn, options...)
		}),
	)
	if err != nil {
		return nil, errors.Wrap(err, "create client connection to instance")
	}
	return conn, nil
}

// Carry opens a stream of orders to the instance at address.
func (connector *Connector) Carry(ctx context.Context, address netip.AddrPort) (courier.ClientStream, error) {
	conn, err := connector.connTo(address)
	if err != nil {
		return nil, err
	}
	stream, err := cellpb.NewCellClient(conn).Carry(ctx, grpc.MaxCallRecvMsgSize(courier.MaxMessageBytes))
	if err != nil {
		return nil, errors.Wrap(err, "open stream to courier")
	}
	go connector.keepChecking(stream.Context(), address, conn)
	return stream, nil
}

// keepChecking checks the connection to the instance at address until ctx ends.
func (connector *Connector) keepChecking(ctx context.Context, address netip.AddrPort, conn *grpc.ClientConn) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		connector.check(address, conn)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// check replaces the connection to the instance at address if it does not answer although a new one does.
func (connector *Connector) check(address netip.AddrPort, conn *grpc.ClientConn) {
	if !connector.beginCheck(address, conn) {
		return
	}
	// The check may outlast the call that caused it.
	ctx, cancel := context.WithTimeout(context.Background(), 2*checkTimeout+2*connectTimeout)
	defer cancel()
	answered := make(chan struct{})
	go func() {
		if answers(ctx, conn) {
			close(answered)
		}
	}()
	select {
	case <-answered:
		return
	case <-time.After(checkTimeout):
	}
	if !connector.beginTrial(address, conn) {
		return
	}
	created, err := connector.newConn(address)
	if err != nil {
		// The next check tries again.
		return
	}
	replaced := false
	if answers(ctx, created) {
		select {
		case <-answered:
		case <-time.After(checkTimeout):
			replaced = connector.replace(address, conn, created)
		}
	}
	superseded := created
	if replaced {
		superseded = conn
	}
	// Closing ends the calls that wait on a silent connection. An error has no consequence.
	_ = superseded.Close()
	if replaced && connector.OnReplaced != nil {
		connector.OnReplaced(address)
	}
}

// answers reports whether the other instance answers on a connection before ctx ends. An error that it sent is an answer.
func answers(ctx context.Context, conn *grpc.ClientConn) bool {
	_, err := healthpb.NewHealthClient(conn).Check(ctx, &healthpb.HealthCheckRequest{})
	return err == nil || status.Code(err) == codes.Unimplemented
}

// beginCheck reports whether conn is in use and due for a check.
func (connector *Connector) beginCheck(address netip.AddrPort, conn *grpc.ClientConn) bool {
	connector.mutex.Lock()
	defer connector.mutex.Unlock()
	current := connector.conns[address]
	if current == nil || current.conn != conn || time.Since(current.checkedAt) < checkInterval {
		return false
	}
	current.checkedAt = time.Now()
	return true
}

// beginTrial reports whether a new connection may be tried beside conn.
func (connector *Connector) beginTrial(address netip.AddrPort, conn *grpc.ClientConn) bool {
	connector.mutex.Lock()
	defer connector.mutex.Unlock()
	current := connector.conns[address]
	if current == nil || current.conn != conn || time.Since(current.triedAt) < trialInterval {
		return false
	}
	current.triedAt = time.Now()
	return true
}

// replace uses created in place of conn, unless conn is not in use any more.
func (connector *Connector) replace(address netip.AddrPort, conn, created *grpc.ClientConn) bool {
	connector.mutex.Lock()
	defer connector.mutex.Unlock()
	current := connector.conns[address]
	if current == nil || current.conn != conn {
		return false
	}
	current.conn = created
	return true
}
