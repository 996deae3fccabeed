// Package messenger carries the messages between entry instances over gRPC and counts their bytes.
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

// MaxMessage bounds a message in bytes. It leaves room for a request body of 1 MB.
const MaxMessage = 4 << 20

// ErrListen means that the peer address could not be opened.
var ErrListen = errors.New("messenger: cannot listen")

// Options configures a Messenger. Listen and Server have to be set.
type Options struct {
	// Listen is the address for calls from peers; port 0 lets the system choose.
	Listen netip.AddrPort
	// Server answers calls from peers.
	Server peerpb.PeerServer
	// Region is the own region, for the byte counts.
	Region string
	// Dial opens connections to peers; nil means plain TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// ServerOptions and DialOptions are added, for instance for tracing.
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

// Flow is one kind of call to the instances of one region.
type Flow struct {
	Region string
	// Method is the short name of the call, such as Exchange.
	Method string
}

// Traffic counts the bytes of messages in both directions, without the overhead of TCP and HTTP/2 frames.
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

// New opens the endpoint. The returned function closes it and waits for calls in progress.
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
	serverOptions := append([]grpc.ServerOption{grpc.MaxRecvMsgSize(MaxMessage)}, options.ServerOptions...)
	messenger.server = grpc.NewServer(serverOptions...)
	peerpb.RegisterPeerServer(messenger.server, options.Server)
	return messenger, messenger.close, nil
}

// Address returns the address on which peers are served.
func (messenger *Messenger) Address() netip.AddrPort {
	address, _ := netip.ParseAddrPort(messenger.listener.Addr().String())
	return address
}

// Serve answers peers until ctx ends.
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

// Client returns a client of the instance at address, which is in region.
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

// Retry pauses of a lost connection. They are short, since a peer that restarts is back within seconds.
const (
	reconnectBase = 100 * time.Millisecond
	reconnectMax  = time.Second
	connectWithin = 2 * time.Second
)

func (messenger *Messenger) dialOptions(region string) []grpc.DialOption {
	dialOptions := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessage)),
		grpc.WithStatsHandler(&counter{
			messenger: messenger,
			region:    region,
		}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  reconnectBase,
				Multiplier: 2,
				Jitter:     0.2,
				MaxDelay:   reconnectMax,
			},
			MinConnectTimeout: connectWithin,
		}),
	}
	if messenger.options.Dial != nil {
		dialOptions = append(dialOptions, grpc.WithContextDialer(messenger.options.Dial))
	}
	return append(dialOptions, messenger.options.DialOptions...)
}

func (messenger *Messenger) flow(flow Flow) *Traffic {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	traffic, ok := messenger.traffic[flow]
	if !ok {
		traffic = &Traffic{}
		messenger.traffic[flow] = traffic
	}
	return traffic
}

// Traffic returns the counts of the calls that this instance began.
func (messenger *Messenger) Traffic() map[Flow]*Traffic {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	return maps.Clone(messenger.traffic)
}

// NotSent reports whether a call failed because no connection could be made, so that it had no effect.
func NotSent(err error) bool {
	return status.Code(err) == codes.Unavailable && strings.Contains(err.Error(), "connection error")
}

// Forget closes the connections to instances that keep reports as gone.
func (messenger *Messenger) Forget(keep func(netip.AddrPort) bool) {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	for address, connection := range messenger.connections {
		if !keep(address) {
			_ = connection.Close()
			delete(messenger.connections, address)
		}
	}
}

// counter adds up the wire lengths of the calls to one region.
type counter struct {
	messenger *Messenger
	region    string
}

type trafficKey struct{}

// TagRPC implements stats.Handler.
func (counter *counter) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, trafficKey{}, counter.messenger.flow(Flow{
		Region: counter.region,
		Method: path.Base(info.FullMethodName),
	}))
}

// HandleRPC implements stats.Handler.
func (counter *counter) HandleRPC(ctx context.Context, event stats.RPCStats) {
	traffic, ok := ctx.Value(trafficKey{}).(*Traffic)
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
