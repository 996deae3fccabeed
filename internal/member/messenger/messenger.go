// Package messenger serves and makes gRPC calls between entry instances and counts their bytes.
package messenger

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"path"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

	"pomelomoor/internal/member/peerpb"
)

// MaxMessageBytes is the maximum size of a message. It leaves room for a request body of 1 MB.
const MaxMessageBytes = 4 << 20

// ErrListen means that the endpoint could not listen or failed to serve.
var ErrListen = errors.New("messenger: cannot listen")

// Options configures a Messenger. Listen and Server are required.
type Options struct {
	// Listen is the address for calls from peers; with port 0 the system chooses a port.
	Listen netip.AddrPort
	// Server handles calls from peers.
	Server peerpb.PeerServer
	// Region is the region of this instance.
	Region string
	// Dial opens connections to peers; nil means plain TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// ServerOptions and DialOptions are additional gRPC options, for example for tracing.
	ServerOptions []grpc.ServerOption
	DialOptions   []grpc.DialOption
}

// Messenger is the gRPC endpoint of one entry instance.
type Messenger struct {
	options  Options
	listener net.Listener
	server   *grpc.Server

	mutex       sync.Mutex
	connections map[netip.AddrPort]*grpc.ClientConn
	traffic     map[Flow]*Traffic
}

// Flow identifies the calls of one method to the instances of one region.
type Flow struct {
	Region string
	// Method is the short name of the call, such as Exchange.
	Method string
}

// Traffic counts the bytes of messages in both directions, excluding the overhead of TCP and HTTP/2 frames.
type Traffic struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

// Sent returns the bytes sent.
func (traffic *Traffic) Sent() uint64 {
	return traffic.sent.Load()
}

// Received returns the bytes received.
func (traffic *Traffic) Received() uint64 {
	return traffic.received.Load()
}

// New starts listening. The returned function stops the server and closes all connections.
func New(options Options) (*Messenger, func(), error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", options.Listen.String())
	if err != nil {
		return nil, nil, errors.Wrap(ErrListen, err.Error())
	}
	messenger := &Messenger{
		options:     options,
		listener:    listener,
		connections: map[netip.AddrPort]*grpc.ClientConn{},
		traffic:     map[Flow]*Traffic{},
	}
	serverOptions := append([]grpc.ServerOption{grpc.MaxRecvMsgSize(MaxMessageBytes)}, options.ServerOptions...)
	messenger.server = grpc.NewServer(serverOptions...)
	peerpb.RegisterPeerServer(messenger.server, options.Server)
	return messenger, messenger.close, nil
}

// Address returns the address on which the server listens.
func (messenger *Messenger) Address() netip.AddrPort {
	address, _ := netip.ParseAddrPort(messenger.listener.Addr().String())
	return address
}

// Serve serves calls from peers until ctx is cancelled, then finishes the calls in progress.
func (messenger *Messenger) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, messenger.server.GracefulStop)
	defer stop()
	if err := messenger.server.Serve(messenger.listener); err != nil && ctx.Err() == nil {
		return errors.Wrap(ErrListen, err.Error())
	}
	return ctx.Err()
}

func (messenger *Messenger) close() {
	messenger.server.Stop()
	_ = messenger.listener.Close()
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	for address, connection := range messenger.connections {
		_ = connection.Close()
		delete(messenger.connections, address)
	}
}

// Client returns a client of the instance at address. Its bytes are counted for region.
func (messenger *Messenger) Client(address netip.AddrPort, region string) (peerpb.PeerClient, error) {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	connection, ok := messenger.connections[address]
	if !ok {
		var err error
		connection, err = grpc.NewClient("passthrough:///"+address.String(), messenger.dialOptions(region)...)
		if err != nil {
			return nil, errors.Wrap(err, "messenger: client")
		}
		messenger.connections[address] = connection
	}
	return peerpb.NewPeerClient(connection), nil
}

// Backoff and timeout of connection attempts. They are short, because a peer that restarts is back within
// seconds.
const (
	reconnectBaseDelay = 100 * time.Millisecond
	reconnectMaxDelay  = time.Second
	minConnectTimeout  = 2 * time.Second
)

func (messenger *Messenger) dialOptions(region string) []grpc.DialOption {
	dialOptions := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes)),
		grpc.WithStatsHandler(&counter{
			messenger: messenger,
			region:    region,
		}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  reconnectBaseDelay,
				Multiplier: 2,
				Jitter:     0.2,
				MaxDelay:   reconnectMaxDelay,
			},
			MinConnectTimeout: minConnectTimeout,
		}),
	}
	if messenger.options.Dial != nil {
		dialOptions = append(dialOptions, grpc.WithContextDialer(messenger.options.Dial))
	}
	return append(dialOptions, messenger.options.DialOptions...)
}

func (messenger *Messenger) trafficOf(flow Flow) *Traffic {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	traffic, ok := messenger.traffic[flow]
	if !ok {
		traffic = &Traffic{}
		messenger.traffic[flow] = traffic
	}
	return traffic
}

// Traffic returns the byte counts of the calls that this instance made.
func (messenger *Messenger) Traffic() map[Flow]*Traffic {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	return maps.Clone(messenger.traffic)
}

// IsNotSent reports whether a call failed because no connection could be established, so that it had no effect.
func IsNotSent(err error) bool {
	return status.Code(err) == codes.Unavailable && strings.Contains(err.Error(), "connection error")
}

// CloseExcept closes the connections to addresses for which keep returns false.
func (messenger *Messenger) CloseExcept(keep func(netip.AddrPort) bool) {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	for address, connection := range messenger.connections {
		if !keep(address) {
			_ = connection.Close()
			delete(messenger.connections, address)
		}
	}
}

// counter is a stats.Handler that adds up the bytes of the calls to one region.
type counter struct {
	messenger *Messenger
	region    string
}

type trafficContextKey struct{}

// TagRPC implements stats.Handler.
func (counter *counter) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, trafficContextKey{}, counter.messenger.trafficOf(Flow{
		Region: counter.region,
		Method: path.Base(info.FullMethodName),
	}))
}

// HandleRPC implements stats.Handler.
func (counter *counter) HandleRPC(ctx context.Context, event stats.RPCStats) {
	traffic, ok := ctx.Value(trafficContextKey{}).(*Traffic)
	if !ok {
		return
	}
	switch event := event.(type) {
	case *stats.InPayload:
		traffic.received.Add(uint64(event.WireLength))
	case *stats.OutPayload:
		traffic.sent.Add(uint64(event.WireLength))
	case *stats.InHeader:
		traffic.received.Add(uint64(event.WireLength))
	}
}

// TagConn implements stats.Handler.
func (counter *counter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

// HandleConn implements stats.Handler.
func (counter *counter) HandleConn(context.Context, stats.ConnStats) {}
