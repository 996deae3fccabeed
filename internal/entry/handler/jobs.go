package handler

import (
	"net/http"
	"net/url"
	"regexp"
	"time"

	"github.com/go-chi/chi/v5"

	"pomelomoor/internal/entry/presenter"
	"pomelomoor/internal/work/descriptor"
)

var jobIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,255}$`)

func (server *server) submit(writer http.ResponseWriter, request *http.Request) {
	body, release, ok := server.readJSON(server.work, writer, request, presenter.MaxJobDocumentBytes)
	if !ok {
		return
	}
	defer release()
	job, err := presenter.ParseJob(body)
	if err != nil {
		server.writeError(writer, request, invalidProblem("job description", err))
		return
	}
	status, created, err := server.Jobs.Submit(request.Context(), job)
	if err != nil {
		server.writeError(writer, request, err)
		return
	}
	writer.Header().Set("Location", "/v1/jobs/"+url.PathEscape(string(status.ID)))
	if created {
		server.writeJSON(writer, http.StatusCreated, status)
		return
	}
	server.writeJSON(writer, http.StatusOK, status)
}

// jobID returns the job ID in the path of a call. If it is malformed, it writes a NotFound response and returns
// false.
func (server *server) jobID(writer http.ResponseWriter, request *http.Request) (descriptor.JobID, bool) {
	id := chi.URLParam(request, "id")
	if !jobIDPattern.MatchString(id) {
		server.writeError(writer, request, descriptor.NewProblem(descriptor.CodeNotFound, 0, "the job ID is malformed, so no such job exists"))
		return "", false
	}
	return descriptor.JobID(id), true
}

func (server *server) status(writer http.ResponseWriter, request *http.Request) {
	wait, ok := server.parseWait(writer, request, presenter.MaxJobWait)
	switch {
	case !ok:
	case wait > 0:
		server.await(writer, request, wait)
	default:
		server.writeStatus(writer, request, false)
	}
}

// await responds with the state of a job once its fate is final or wait has passed.
func (server *server) await(writer http.ResponseWriter, request *http.Request, wait time.Duration) {
	id, ok := server.jobID(writer, request)
	if !ok {
		return
	}
	status, err := server.Jobs.Await(request.Context(), id, wait)
	if err != nil {
		server.writeError(writer, request, err)
		return
	}
	server.writeJSON(writer, http.StatusOK, status)
}

// parseWait returns the optional query parameter Wait. If it is invalid, it writes the error response and returns
// false.
func (server *server) parseWait(writer http.ResponseWriter, request *http.Request, limit time.Duration) (time.Duration, bool) {
	text := request.URL.Query().Get("Wait")
	if text == "" {
		return 0, true
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > limit {
		server.writeBodyError(writer, request, descriptor.NewProblem(descriptor.CodeInvalid, 0,
			"the query parameter Wait must be a duration up to %s", limit))
		return 0, false
	}
	return wait, true
}

func (server *server) explain(writer http.ResponseWriter, request *http.Request) {
	server.writeStatus(writer, request, true)
}

func (server *server) writeStatus(writer http.ResponseWriter, request *http.Request, explain bool) {
	id, ok := server.jobID(writer, request)
	if !ok {
		return
	}
	status, err := server.Jobs.Status(request.Context(), id, explain)
	if err != nil {
		server.writeError(writer, request, err)
		return
	}
	server.writeJSON(writer, http.StatusOK, status)
}

func (server *server) cancel(writer http.ResponseWriter, request *http.Request) {
	id, ok := server.jobID(writer, request)
	if !ok {
		return
	}
	status, err := server.Jobs.Cancel(request.Context(), id)
	if err != nil {
		server.writeError(writer, request, err)
		return
	}
	server.writeJSON(writer, http.StatusOK, status)
}
