// Package connector implements the gRPC calls between the instances of a cell.
package connector

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"pomelomoor/internal/cell/cellpb"
	"pomelomoor/internal/cell/courier"
	"pomelomoor/internal/cell/describer"
)

const (
	// keepaliveTime and keepaliveTimeout detect dead connections: a ping is sent after keepaliveTime without
	// activity and must be acknowledged within keepaliveTimeout.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = time.Second
	// handshakeTimeout limits how long a connection may take until its first call can be made.
	handshakeTimeout = 5 * time.Second
	// maxConcurrentStreams limits the calls in progress on one connection; further ones wait at the caller.
	maxConcurrentStreams = 1024
	// maxHeaderBytes limits the header of a call between instances.
	maxHeaderBytes = 16 << 10
)

// ErrNotLeader means that the instance is not the leader, or cannot answer as leader yet.
var ErrNotLeader = errors.New("instance is not the leader")

// LeaderHandler handles the calls that only the leader can answer. Its methods return ErrNotLeader if the instance
// is not the leader.
type LeaderHandler interface {
	State(id describer.JobID) (describer.JobStatus, error)
	Pending(queue string) (int, error)
	// Announce receives a stored job, or the ID of a job whose cancellation was stored.
	Announce(job []byte, cancelled describer.JobID) error
}

// LocalStore accesses the store on behalf of other instances, without a further relay.
type LocalStore interface {
	LocalRead(ctx context.Context, key string) (describer.Item, error)
	LocalCommit(ctx context.Context, change describer.Change) (describer.Revision, error)
}

// server implements cellpb.CellServer.
type server struct {
	cellpb.UnimplementedCellServer

	leader  LeaderHandler
	adviser describer.Adviser
	store   LocalStore
	workers describer.Workers
}

// Serve serves the calls of other instances that arrive on listener until ctx is done, and closes listener.
func Serve(ctx context.Context, listener net.Listener, leader LeaderHandler, adviser describer.Adviser, store LocalStore, workers describer.Workers) error {
	grpcServer := grpc.NewServer(
		grpc.UnaryInterceptor(containPanic),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.MaxConcurrentStreams(maxConcurrentStreams),
		grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             keepaliveTime / 2,
			PermitWithoutStream: true,
		}),
	)
	healthpb.RegisterHealthServer(grpcServer, health.NewServer())
	cellpb.RegisterCellServer(grpcServer, &server{
		leader:  leader,
		adviser: adviser,
		store:   store,
		workers: workers,
	})
	stop := context.AfterFunc(ctx, grpcServer.Stop)
	defer stop()
	if err := grpcServer.Serve(listener); err != nil && ctx.Err() == nil {
		return errors.Wrap(err, "serve calls of other instances")
	}
	return ctx.Err()
}

// containPanic turns a panic in the handling of one call into an error, so that the process goes on. The caller takes
// the outcome for uncertain.
func containPanic(ctx context.Context, request any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (reply any, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			slog.ErrorContext(ctx, "panic in a call of another instance", slog.String("Method", info.FullMethod), slog.Any("Cause", cause), slog.String("Stack", string(debug.Stack())))
			reply, err = nil, status.Errorf(codes.Internal, "panic in %s: %v", info.FullMethod, cause)
		}
	}()
	return handle(ctx, request)
}

func unavailableError(err error) error {
	return status.Error(codes.Unavailable, err.Error())
}

// State implements cellpb.CellServer.
func (server *server) State(_ context.Context, request *cellpb.StateRequest) (*cellpb.StateReply, error) {
	status, err := server.leader.State(describer.JobID(request.GetJob()))
	if err != nil {
		return nil, unavailableError(err)
	}
	return &cellpb.StateReply{
		State:        int32(status.State),
		Organisation: status.Organisation,
	}, nil
}

// Pending implements cellpb.CellServer.
func (server *server) Pending(_ context.Context, request *cellpb.PendingRequest) (*cellpb.PendingReply, error) {
	count, err := server.leader.Pending(request.GetQueue())
	if err != nil {
		return nil, unavailableError(err)
	}
	return &cellpb.PendingReply{
		Count: int64(count),
	}, nil
}

// Announce implements cellpb.CellServer.
func (server *server) Announce(_ context.Context, request *cellpb.AnnounceRequest) (*cellpb.AnnounceReply, error) {
	if err := server.leader.Announce(request.GetJob(), describer.JobID(request.GetCancelled())); err != nil {
		return nil, unavailableError(err)
	}
	return &cellpb.AnnounceReply{}, nil
}

// Advise implements cellpb.CellServer.
func (server *server) Advise(ctx context.Context, request *cellpb.AdviseRequest) (*cellpb.AdviseReply, error) {
	workers := make([]describer.WorkerID, 0, len(request.GetWorkers()))
	for _, worker := range request.GetWorkers() {
		workers = append(workers, describer.WorkerID(worker))
	}
	step := describer.StepID{
		Job:        describer.JobID(request.GetJob()),
		Occurrence: int(request.GetOccurrence()),
		Step:       int(request.GetStep()),
	}
	advice, err := server.adviser.Advise(ctx, step, workers)
	if err != nil {
		return nil, unavailableError(err)
	}
	reply := &cellpb.AdviseReply{
		ValidityMs: advice.Validity.Milliseconds(),
	}
	for _, ticket := range advice.Tickets {
		reply.Tickets = append(reply.Tickets, &cellpb.Ticket{
			Worker: string(ticket.Worker),
			Ticket: ticket.Ticket,
		})
	}
	return reply, nil
}

// Carry implements cellpb.CellServer.
func (server *server) Carry(stream grpc.BidiStreamingServer[cellpb.CarryRequest, cellpb.CarryReply]) error {
	return courier.Serve(stream, server.workers)
}

// State returns the status of a job from the leader at address.
func (connector *Connector) State(ctx context.Context, address netip.AddrPort, id describer.JobID) (describer.JobStatus, error) {
	client, err := connector.client(address)
	if err != nil {
		return describer.JobStatus{}, err
	}
	reply, err := client.State(ctx, &cellpb.StateRequest{
		Job: string(id),
	})
	if err != nil {
		return describer.JobStatus{}, errors.Wrap(err, "query job state from leader")
	}
	return describer.JobStatus{
		State:        describer.JobState(reply.GetState()),
		Organisation: reply.GetOrganisation(),
	}, nil
}

// Pending returns the number of jobs of a queue that have not started, from the leader at address.
func (connector *Connector) Pending(ctx context.Context, address netip.AddrPort, queue string) (int, error) {
	client, err := connector.client(address)
	if err != nil {
		return 0, err
	}
	reply, err := client.Pending(ctx, &cellpb.PendingRequest{
		Queue: queue,
	})
	if err != nil {
		return 0, errors.Wrap(err, "query pending jobs from leader")
	}
	return int(reply.GetCount()), nil
}

// Announce notifies the leader at address of a stored job or of a stored cancellation.
func (connector *Connector) Announce(ctx context.Context, address netip.AddrPort, job []byte, cancelled describer.JobID) error {
	client, err := connector.client(address)
	if err != nil {
		return err
	}
	_, err = client.Announce(ctx, &cellpb.AnnounceRequest{
		Job:       job,
		Cancelled: string(cancelled),
	})
	if err != nil {
		return errors.Wrap(err, "announce to leader")
	}
	return nil
}

// Advise calls the advice service through the instance at address.
func (connector *Connector) Advise(ctx context.Context, address netip.AddrPort, step describer.StepID, workers []describer.WorkerID) (describer.Advice, error) {
	client, err := connector.client(address)
	if err != nil {
		return describer.Advice{}, err
	}
	workerIDs := make([]string, 0, len(workers))
	for _, worker := range workers {
		workerIDs = append(workerIDs, string(worker))
	}
	reply, err := client.Advise(ctx, &cellpb.AdviseRequest{
		Job:        string(step.Job),
		Occurrence: int32(step.Occurrence),
		Step:       int32(step.Step),
		Workers:    workerIDs,
	})
	if err != nil {
		return describer.Advice{}, errors.Wrap(err, "call advice service through instance")
	}
	advice := describer.Advice{
		Validity: time.Duration(reply.GetValidityMs()) * time.Millisecond,
	}
	for _, ticket := range reply.GetTickets() {
		advice.Tickets = append(advice.Tickets, describer.Ticket{
			Worker: describer.WorkerID(ticket.GetWorker()),
			Ticket: ticket.GetTicket(),
		})
	}
	return advice, nil
}
