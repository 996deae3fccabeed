package connector

import (
	"context"
	"net/netip"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/cellpb"
	"pomelomoor/internal/cell/describer"
)

// outcomeFromError returns the outcome that represents err on the wire.
func outcomeFromError(err error) cellpb.Outcome {
	var conflict *describer.ConflictError
	switch {
	case err == nil:
		return cellpb.Outcome_OUTCOME_DONE
	case errors.As(err, &conflict):
		return cellpb.Outcome_OUTCOME_CONFLICT
	case errors.Is(err, describer.ErrNotFound):
		return cellpb.Outcome_OUTCOME_NOT_FOUND
	case errors.Is(err, describer.ErrNoEffect):
		return cellpb.Outcome_OUTCOME_NOT_DONE
	default:
		return cellpb.Outcome_OUTCOME_UNCERTAIN
	}
}

// errorFromOutcome returns the error that an outcome represents. An unrecognised outcome is treated as
// uncertain.
func errorFromOutcome(outcome cellpb.Outcome, items []*cellpb.Item) error {
	switch outcome {
	case cellpb.Outcome_OUTCOME_DONE:
		return nil
	case cellpb.Outcome_OUTCOME_CONFLICT:
		conflict := &describer.ConflictError{}
		for _, item := range items {
			conflict.Items = append(conflict.Items, itemFromProto(item))
		}
		return conflict
	case cellpb.Outcome_OUTCOME_NOT_FOUND:
		return describer.ErrNotFound
	case cellpb.Outcome_OUTCOME_NOT_DONE:
		return errors.Wrap(describer.ErrNoEffect, "store call through another instance")
	default:
		return errors.Wrap(describer.ErrUncertain, "store call through another instance")
	}
}

func itemToProto(item describer.Item) *cellpb.Item {
	return &cellpb.Item{
		Key:      item.Key,
		Value:    item.Value,
		Revision: int64(item.Revision),
	}
}

func itemFromProto(item *cellpb.Item) describer.Item {
	return describer.Item{
		Key:      item.GetKey(),
		Value:    item.GetValue(),
		Revision: describer.Revision(item.GetRevision()),
	}
}

// Read implements cellpb.CellServer.
func (server *server) Read(ctx context.Context, request *cellpb.ReadRequest) (*cellpb.ReadReply, error) {
	item, err := server.store.LocalRead(ctx, request.GetKey())
	return &cellpb.ReadReply{
		Outcome: outcomeFromError(err),
		Item:    itemToProto(item),
	}, nil
}

// Commit implements cellpb.CellServer.
func (server *server) Commit(ctx context.Context, request *cellpb.CommitRequest) (*cellpb.CommitReply, error) {
	change := describer.Change{
		Remove: request.GetRemove(),
	}
	for _, item := range request.GetExpect() {
		change.Expect = append(change.Expect, describer.Expectation{
			Key:      item.GetKey(),
			Revision: describer.Revision(item.GetRevision()),
		})
	}
	for _, item := range request.GetWrites() {
		change.Writes = append(change.Writes, describer.Write{
			Key:   item.GetKey(),
			Value: item.GetValue(),
		})
	}
	revision, err := server.store.LocalCommit(ctx, change)
	reply := &cellpb.CommitReply{
		Outcome:  outcomeFromError(err),
		Revision: int64(revision),
	}
	var conflict *describer.ConflictError
	if errors.As(err, &conflict) {
		for _, item := range conflict.Items {
			reply.Items = append(reply.Items, itemToProto(item))
		}
	}
	return reply, nil
}

// Read reads a key of the store through the instance at address.
func (connector *Connector) Read(ctx context.Context, address netip.AddrPort, key string) (describer.Item, error) {
	client, err := connector.client(address)
	if err != nil {
		return describer.Item{}, errors.Wrap(describer.ErrNoEffect, err.Error())
	}
	reply, err := client.Read(ctx, &cellpb.ReadRequest{
		Key: key,
	})
	if err != nil {
		return describer.Item{}, errors.Wrap(describer.ErrUncertain, err.Error())
	}
	return itemFromProto(reply.GetItem()), errorFromOutcome(reply.GetOutcome(), nil)
}

// Commit commits a change through the instance at address. The leases of its writes are not transmitted.
func (connector *Connector) Commit(ctx context.Context, address netip.AddrPort, change describer.Change) (describer.Revision, error) {
	client, err := connector.client(address)
	if err != nil {
		return 0, errors.Wrap(describer.ErrNoEffect, err.Error())
	}
	request := &cellpb.CommitRequest{
		Remove: change.Remove,
	}
	for _, expectation := range change.Expect {
		request.Expect = append(request.Expect, &cellpb.Item{
			Key:      expectation.Key,
			Revision: int64(expectation.Revision),
		})
	}
	for _, write := range change.Writes {
		request.Writes = append(request.Writes, &cellpb.Item{
			Key:   write.Key,
			Value: write.Value,
		})
	}
	reply, err := client.Commit(ctx, request)
	if err != nil {
		return 0, errors.Wrap(describer.ErrUncertain, err.Error())
	}
	return describer.Revision(reply.GetRevision()), errorFromOutcome(reply.GetOutcome(), reply.GetItems())
}
