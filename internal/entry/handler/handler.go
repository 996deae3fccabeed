// Package handler serves the public HTTP API of an entry instance over small interfaces.
// It bounds what a call may take, and gives every error a stable code.
package handler

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/semaphore"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/entry/presenter"
	"pomelomoor/internal/node/loader"
	"pomelomoor/internal/node/tracer"
	"pomelomoor/internal/work/descriptor"
)

// Jobs takes and manages jobs. Errors that callers should see are *descriptor.Problem.
type Jobs interface {
	// Submit returns when the job is durable. Created is false for a repeated submission.
	Submit(ctx context.Context, job descriptor.Job) (status descriptor.JobStatus, created bool, err error)
	// Status returns the state of a job, with its trail when explain is set.
	Status(ctx context.Context, id descriptor.JobID, explain bool) (descriptor.JobStatus, error)
	// Await returns the state of a job when its fate is final or after wait.
	Await(ctx context.Context, id descriptor.JobID, wait time.Duration) (descriptor.JobStatus, error)
	// Cancel asks for the end of a job. Cancelling twice, or a job that ended, is no error.
	Cancel(ctx context.Context, id descriptor.JobID) (descriptor.JobStatus, error)
}

// Requests carries out interactive requests.
type Requests interface {
	// Handle returns a complete answer to request, or an error, by its deadline or shortly after. An error that is not a
	// *descriptor.Problem counts as unknown fate.
	Handle(ctx context.Context, request presenter.Request) (presenter.Response, error)
}

// Configs manages the operators' configuration.
type Configs interface {
	Current(ctx context.Context) (presenter.ConfigDocument, error)
	// Apply replaces the configuration of revision base and waits up to wait for all instances to
	// confirm it. It returns a *presenter.Conflict when the current revision is another one.
	Apply(ctx context.Context, base uint64, config parser.Config, wait time.Duration) (presenter.Applied, error)
	// Diff compares config with the configuration in force.
	Diff(ctx context.Context, config parser.Config) (presenter.Difference, error)
}

// Instances lists the entry instances.
type Instances interface {
	Instances(ctx context.Context) ([]presenter.Instance, error)
}

// Readiness tells the state of this instance.
type Readiness interface {
	// Ready returns nil when the balancer may send calls.
	Ready() error
	// Live returns an error when the platform should replace the instance.
	Live() error
	// Drain begins a planned stop of this instance and returns.
	Drain(ctx context.Context) error
}

// Handler serves the public API. Jobs, Requests, Configs, Instances and Readiness are required.
type Handler struct {
	Jobs      Jobs
	Requests  Requests
	Configs   Configs
	Instances Instances
	Readiness Readiness
	// Metrics and Traces serve their resources; nil answers NotFound.
	Metrics http.Handler
	Traces  http.Handler
	// Tracer, Scope and Log may be nil.
	Tracer *tracer.Tracer
	Scope  tally.Scope
	Log    *slog.Logger
	// Limits and Timeouts are those of loader.Defaults when they are zero as a whole.
	Limits   loader.Limits
	Timeouts loader.Timeouts
}

// gate bounds the calls in progress of one class and their bodies together.
type gate struct {
	calls *semaphore.Weighted
	bytes *semaphore.Weighted
}

// server is a Handler with its defaults and gates in place.
type server struct {
	Handler

	// work is the gate of submissions and requests, waits that of calls that wait for a job, and control
	// that of all other calls. Control calls have room of their own so that operators can act during an
	// overload, also while many callers wait for their jobs.
	work    gate
	waits   gate
	control gate
}

// controlShare is the part of the limits that control calls have in addition, and waits as well.
const controlShare = 8

func (handler *Handler) server() *server {
	server := &server{
		Handler: *handler,
	}
	defaults := loader.Defaults()
	if server.Limits == (loader.Limits{}) {
		server.Limits = defaults.Limits
	}
	if server.Timeouts == (loader.Timeouts{}) {
		server.Timeouts = defaults.Timeouts
	}
	if server.Scope == nil {
		server.Scope = tally.NoopScope
	}
	calls, bytes := int64(server.Limits.Calls), int64(server.Limits.BufferBytes)
	server.work = gate{
		calls: semaphore.NewWeighted(calls),
		bytes: semaphore.NewWeighted(bytes),
	}
	server.waits = gate{
		calls: semaphore.NewWeighted(max(calls/controlShare, 1)),
	}
	server.control = gate{
		calls: semaphore.NewWeighted(max(calls/controlShare, 1)),
		bytes: semaphore.NewWeighted(max(bytes/controlShare, 2*parser.MaxDocument)),
	}
	return server
}

// Routes returns the HTTP handler of the whole API.
func (handler *Handler) Routes() http.Handler {
	server := handler.server()
	router := chi.NewRouter()
	router.Use(server.observe, server.checkHeader)
	router.NotFound(server.notFound)
	router.MethodNotAllowed(server.methodNotAllowed)
	router.Get("/v1/ready", server.ready)
	router.Get("/v1/live", server.live)
	router.Group(func(router chi.Router) {
		router.Use(server.admit(server.work))
		router.Post("/v1/jobs", server.submit)
		router.Post("/v1/requests/{service}", server.request)
	})
	router.With(server.admitStatus).Get("/v1/jobs/{id}", server.status)
	router.Group(func(router chi.Router) {
		router.Use(server.admit(server.control))
		router.Get("/v1/jobs/{id}/explain", server.explain)
		router.Delete("/v1/jobs/{id}", server.cancel)
		router.Get("/v1/config", server.config)
		router.Put("/v1/config", server.apply)
		router.Post("/v1/config/diff", server.diff)
		router.Get("/v1/instances", server.instances)
		router.Post("/v1/drain", server.drain)
		if server.Metrics != nil {
			router.Method(http.MethodGet, "/v1/metrics", server.Metrics)
		}
		if server.Traces != nil {
			router.Method(http.MethodGet, "/v1/traces", server.Traces)
		}
	})
	return router
}

// Server returns an HTTP server of the API with its time limits. The caller listens and serves.
func (handler *Handler) Server() *http.Server {
	server := handler.server()
	return &http.Server{
		Handler:           handler.Routes(),
		ReadHeaderTimeout: server.Timeouts.Header.Duration,
		IdleTimeout:       server.Timeouts.Idle.Duration,
		// net/http refuses without a problem document, so the documented limit is checked before this one.
		MaxHeaderBytes: 2 * server.Limits.HeaderBytes,
		ErrorLog:       slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
	}
}
