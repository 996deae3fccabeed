// Package adapter implements the interfaces that the handler of the public API requires, using the
// components of an entry instance.
package adapter

import (
	"context"
	"time"

	"pomelomoor/internal/entry/jobrouter"
	"pomelomoor/internal/entry/presenter"
	"pomelomoor/internal/request/forwarder"
	"pomelomoor/internal/work/descriptor"
)

// Jobs implements handler.Jobs.
type Jobs struct {
	JobRouter *jobrouter.JobRouter
}

// Submit implements handler.Jobs.
func (jobs Jobs) Submit(ctx context.Context, job descriptor.Job) (descriptor.JobStatus, bool, error) {
	status, existed, err := jobs.JobRouter.Submit(ctx, job)
	return status, !existed, err
}

// Status implements handler.Jobs.
func (jobs Jobs) Status(ctx context.Context, id descriptor.JobID, explain bool) (descriptor.JobStatus, error) {
	return jobs.JobRouter.Status(ctx, id, explain)
}

// Await implements handler.Jobs.
func (jobs Jobs) Await(ctx context.Context, id descriptor.JobID, wait time.Duration) (descriptor.JobStatus, error) {
	return jobs.JobRouter.Await(ctx, id, wait)
}

// Cancel implements handler.Jobs.
func (jobs Jobs) Cancel(ctx context.Context, id descriptor.JobID) (descriptor.JobStatus, error) {
	return jobs.JobRouter.Cancel(ctx, id)
}

// Requests implements handler.Requests.
type Requests struct {
	Forwarder *forwarder.Forwarder
}

// Handle implements handler.Requests.
func (requests Requests) Handle(ctx context.Context, request presenter.Request) (presenter.Response, error) {
	result := requests.Forwarder.Do(ctx, forwarder.Request{
		ID:         request.ID,
		Service:    request.Service,
		Caller:     request.Caller,
		Labels:     request.Labels,
		Deadline:   request.Deadline,
		Idempotent: request.Idempotent,
		Body:       request.Body,
	})
	if result.Problem != nil {
		return presenter.Response{}, result.Problem
	}
	return presenter.Response{
		Status: result.Status,
		Body:   result.Body,
		Fate:   result.Fate,
	}, nil
}
