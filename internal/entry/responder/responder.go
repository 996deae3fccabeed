// Package responder serves the calls of other entry instances.
package responder

import (
	"context"

	"pomelomoor/internal/member/peerpb"
)

// Members handles membership exchanges. *exchanger.Exchanger implements it.
type Members interface {
	Respond(ctx context.Context, view *peerpb.View) *peerpb.View
}

// Jobs handles calls about jobs. *jobrouter.JobRouter implements it.
type Jobs interface {
	ServeSubmit(ctx context.Context, request *peerpb.SubmitRequest) *peerpb.SubmitReply
	ServeAccept(ctx context.Context, request *peerpb.AcceptRequest) *peerpb.AcceptReply
	ServeQuery(ctx context.Context, request *peerpb.QueryRequest) *peerpb.QueryReply
	ServeCancel(ctx context.Context, request *peerpb.QueryRequest) *peerpb.QueryReply
}

// Requests handles forwarded requests. *forwarder.Forwarder implements it.
type Requests interface {
	ServeForward(ctx context.Context, request *peerpb.ForwardRequest) *peerpb.ForwardReply
}

// Configs returns the configuration in force. *applier.Applier implements it.
type Configs interface {
	Document() (revision uint64, document []byte)
}

// Responder implements peerpb.PeerServer. All fields must be set before the first call.
type Responder struct {
	peerpb.UnimplementedPeerServer

	Members  Members
	Jobs     Jobs
	Requests Requests
	Configs  Configs
}

// Exchange implements peerpb.PeerServer.
func (responder *Responder) Exchange(ctx context.Context, view *peerpb.View) (*peerpb.View, error) {
	return responder.Members.Respond(ctx, view), nil
}

// FetchConfig implements peerpb.PeerServer.
func (responder *Responder) FetchConfig(_ context.Context, request *peerpb.FetchConfigRequest) (*peerpb.FetchConfigReply, error) {
	revision, document := responder.Configs.Document()
	response := &peerpb.FetchConfigReply{
		Revision: revision,
	}
	if revision > request.GetAbove() {
		response.Document = document
	}
	return response, nil
}

// Submit implements peerpb.PeerServer.
func (responder *Responder) Submit(ctx context.Context, request *peerpb.SubmitRequest) (*peerpb.SubmitReply, error) {
	return responder.Jobs.ServeSubmit(ctx, request), nil
}

// Accept implements peerpb.PeerServer.
func (responder *Responder) Accept(ctx context.Context, request *peerpb.AcceptRequest) (*peerpb.AcceptReply, error) {
	return responder.Jobs.ServeAccept(ctx, request), nil
}

// Query implements peerpb.PeerServer.
func (responder *Responder) Query(ctx context.Context, request *peerpb.QueryRequest) (*peerpb.QueryReply, error) {
	return responder.Jobs.ServeQuery(ctx, request), nil
}

// Cancel implements peerpb.PeerServer.
func (responder *Responder) Cancel(ctx context.Context, request *peerpb.QueryRequest) (*peerpb.QueryReply, error) {
	return responder.Jobs.ServeCancel(ctx, request), nil
}

// Forward implements peerpb.PeerServer.
func (responder *Responder) Forward(ctx context.Context, request *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	return responder.Requests.ServeForward(ctx, request), nil
}
