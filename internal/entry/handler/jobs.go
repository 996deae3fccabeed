package handler

import (
	"net/http"
	"net/url"
	"regexp"

	"github.com/go-chi/chi/v5"

	"pomelomoor/internal/entry/presenter"
	"pomelomoor/internal/work/descriptor"
)

var jobPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,255}$`)

func (server *server) submit(writer http.ResponseWriter, request *http.Request) {
	body, release, ok := server.readJSON(server.work, writer, request, presenter.MaxJobDocument)
	if !ok {
		return
	}
	defer release()
	job, err := presenter.ParseJob(body)
	if err != nil {
		server.fail(writer, request, invalid("job description", err))
		return
	}
	status, created, err := server.Jobs.Submit(request.Context(), job)
	if err != nil {
		server.fail(writer, request, err)
		return
	}
	writer.Header().Set("Location", "/v1/jobs/"+url.PathEscape(string(status.ID)))
	if created {
		server.answer(writer, http.StatusCreated, status)
		return
	}
	server.answer(writer, http.StatusOK, status)
}

// jobID returns the job that the path names, or answers that there is none.
func (server *server) jobID(writer http.ResponseWriter, request *http.Request) (descriptor.JobID, bool) {
	id := chi.URLParam(request, "id")
	if !jobPattern.MatchString(id) {
		server.fail(writer, request, descriptor.NewProblem(descriptor.CodeNotFound, 0, "no job has such an ID"))
		return "", false
	}
	return descriptor.JobID(id), true
}

func (server *server) status(writer http.ResponseWriter, request *http.Request) {
	server.answerStatus(writer, request, false)
}

func (server *server) explain(writer http.ResponseWriter, request *http.Request) {
	server.answerStatus(writer, request, true)
}

func (server *server) answerStatus(writer http.ResponseWriter, request *http.Request, explain bool) {
	id, ok := server.jobID(writer, request)
	if !ok {
		return
	}
	status, err := server.Jobs.Status(request.Context(), id, explain)
	if err != nil {
		server.fail(writer, request, err)
		return
	}
	server.answer(writer, http.StatusOK, status)
}

func (server *server) cancel(writer http.ResponseWriter, request *http.Request) {
	id, ok := server.jobID(writer, request)
	if !ok {
		return
	}
	status, err := server.Jobs.Cancel(request.Context(), id)
	if err != nil {
		server.fail(writer, request, err)
		return
	}
	server.answer(writer, http.StatusOK, status)
}
