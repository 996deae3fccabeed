// Package handler serves the public HTTP API of an entry instance. The operations themselves are behind small
// interfaces. The package limits the size, time and number of calls and gives every error a stable code.
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

// Jobs submits and manages jobs. Only errors that are a *descriptor.Problem are shown to callers.
type Jobs interface {
	// Submit returns once the job is durable. Created is false for a repeated submission.
	Submit(ctx context.Context, job descriptor.Job) (status descriptor.JobStatus, created bool, err error)
	// Status returns the state of a job, including the trail of decisions if explain is set.
	Status(ctx context.Context, id descriptor.JobID, explain bool) (descriptor.JobStatus, error)
	// Await returns the state of a job once its fate is final, or when wait has passed.
	Await(ctx context.Context, id descriptor.JobID, wait time.Duration) (descriptor.JobStatus, error)
	// Cancel requests the cancellation of a job. It is no error if the job is already cancelled or has ended.
	Cancel(ctx context.Context, id descriptor.JobID) (descriptor.JobStatus, error)
}

// Requests carries out interactive requests.
type Requests interface {
	// Handle returns the complete response to request, or an error, by its deadline or shortly after. After an
	// error that is not a *descriptor.Problem, the fate of the request is unknown.
	Handle(ctx context.Context, request presenter.Request) (presenter.Response, error)
}

// Configs manages the operators' configuration.
type Configs interface {
	Current(ctx context.Context) (presenter.ConfigDocument, error)
	// Apply replaces the configuration of revision base and waits up to wait for all instances to confirm the
	// new revision. It returns a *presenter.Conflict if base is not the current revision.
	Apply(ctx context.Context, base uint64, config parser.Config, wait time.Duration) (presenter.ApplyResult, error)
	// Diff compares config with the configuration in force.
	Diff(ctx context.Context, config parser.Config) (presenter.ConfigDiff, error)
}

// Instances lists the entry instances.
type Instances interface {
	Instances(ctx context.Context) ([]presenter.Instance, error)
}

// Readiness reports and changes the serving state of this instance.
type Readiness interface {
	// Ready returns nil if the load balancer may send calls to this instance.
	Ready() error
	// Live returns an error if the platform should replace this instance.
	Live() error
	// Drain starts a graceful shutdown of this instance and returns without waiting for its end.
	Drain(ctx context.Context) error
}

// Handler serves the public API. Jobs, Requests, Configs, Instances and Readiness are required.
type Handler struct {
	Jobs      Jobs
	Requests  Requests
	Configs   Configs
	Instances Instances
	Readiness Readiness
	// Metrics and Traces serve the resources of the same name. If nil, the resource is not found.
	Metrics http.Handler
	Traces  http.Handler
	// Tracer, Scope and Log may be nil.
	Tracer *tracer.Tracer
	Scope  tally.Scope
	Log    *slog.Logger
	// Limits and Timeouts default to those of loader.Defaults if the whole struct is zero.
	Limits   loader.Limits
	Timeouts loader.Timeouts
}

// bounds limit the number of calls of one class that are in progress, and the total size of their bodies.
type bounds struct {
	calls *semaphore.Weighted
	bytes *semaphore.Weighted
}

// server is a Handler with defaults filled in and its bounds.
type server struct {
	Handler

	// work limits submissions and requests, longPolls limits calls that wait for a job, and control limits all
	// other calls. Control calls have a separate limiter so that operators can act during an overload, even
	// while many callers wait for their jobs.
	work      bounds
	longPolls bounds
	control   bounds
}

// controlDivisor divides the configured limits to get those of control calls and of long polls. They apply in
// addition to the limits of submissions and requests.
const controlDivisor = 8

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
	server.work = bounds{
		calls: semaphore.NewWeighted(calls),
		bytes: semaphore.NewWeighted(bytes),
	}
	server.longPolls = bounds{
		calls: semaphore.NewWeighted(max(calls/controlDivisor, 1)),
	}
	server.control = bounds{
		calls: semaphore.NewWeighted(max(calls/controlDivisor, 1)),
		bytes: semaphore.NewWeighted(max(bytes/controlDivisor, 2*parser.MaxDocumentBytes)),
	}
	return server
}

// Routes returns the HTTP handler that serves all routes of the API.
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

// Server returns an HTTP server for the API with its timeouts set. The caller has to start it on a listener.
func (handler *Handler) Server() *http.Server {
	server := handler.server()
	return &http.Server{
		Handler:           handler.Routes(),
		ReadHeaderTimeout: server.Timeouts.Header.Duration,
		IdleTimeout:       server.Timeouts.Idle.Duration,
		// net/http rejects calls beyond this limit without a problem document. It is twice the documented limit,
		// which checkHeader enforces.
		MaxHeaderBytes: 2 * server.Limits.HeaderBytes,
		ErrorLog:       slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
	}
}
